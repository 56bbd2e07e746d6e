//! Retries: the budget for them, which upstreams may take one, and whether it is safe.

use crate::balancer::Balancer;
use crate::ids::RequestId;
use crate::requests::Request;
use crate::settings::{DeduplicationScope, RetrySafety};
use crate::upstreams::{Upstream, UpstreamPosition};

/// What a retry costs, in retries of the budget.
pub(super) const RETRY_COST: f64 = 1.0;
/// What a retry costs where the attempt before it was not executed: it adds no work to the upstreams.
pub(super) const RETRY_COST_NOT_EXECUTED: f64 = 0.1;
/// What a hedged request costs.
pub(super) const HEDGE_COST: f64 = 1.0;
/// Retries that each admitted request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Seconds of the expected rate whose retries can be saved up. Short, because the savings of all balancers
/// fall due together.
const SAVED_SECONDS: f64 = 1.5;
/// The least number of retries that can be saved up.
const MIN_SAVED_RETRIES: f64 = 1.0;
/// The largest number of retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Upstreams that are compared for a retry.
const MAX_CANDIDATES: usize = 6;
/// The least time that a retry needs before the deadline, in seconds.
const MIN_SECONDS_BEFORE_DEADLINE: f64 = 1e-3;
/// Share of the class's mean latency that must be left before the response becomes useless.
const MIN_LATENCY_LEFT: f64 = 0.5;
/// Time that an attempt may need to reach its upstream beyond the connect timeout, in seconds.
const TRANSIT_SECONDS: f64 = 0.05;
/// Load that an upstream in another zone counts as having more.
const OTHER_ZONE_LOAD: f64 = 1e6;
/// Load that an upstream outside the subset counts as having more: it is used only where none inside will do,
/// as for an idempotency key known to one cell.
const OUTSIDE_SUBSET_LOAD: f64 = 2e6;

/// The retries and hedged requests that may be sent now.
#[derive(Default)]
pub(crate) struct RetryBudget {
    available: f64,
    capacity: f64,
}

impl RetryBudget {
    /// The initial budget of a balancer that expects so many requests per second.
    pub(crate) fn new(expected_rate: f64) -> Self {
        let saved = SAVED_SECONDS * RETRIES_PER_REQUEST * expected_rate;
        Self { available: MIN_SAVED_RETRIES, capacity: saved.clamp(MIN_SAVED_RETRIES, MAX_SAVED_RETRIES) }
    }

    /// Adds what an admitted request earns.
    pub(crate) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(self.capacity);
    }

    /// Whether the budget covers a cost.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.available >= cost
    }

    fn withdraw(&mut self, cost: f64) {
        self.available -= cost;
    }
}

impl Balancer {
    /// Sends a retry of a request, if the class, the time left and the budget allow one. Returns
    /// whether it was sent.
    pub(crate) fn retry(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if !self.may_retry(request) || !self.retry_budget.covers(cost) || self.upstreams.len() == 0 {
            return false;
        }
        self.upstreams.decay_abandoned_outside_subset(self.now, &self.settings);
        let start = self.random.any_usize();
        let Some(position) = self.retry_upstream(request, start) else { return false };
        self.retry_budget.withdraw(cost);
        self.send_attempt(id, position);
        true
    }

    fn may_retry(&self, request: &Request) -> bool {
        let mean_latency = self.latency.class(request.class).mean_seconds();
        !request.finished
            && !request.streaming
            && request.attempts.len() < usize::from(self.settings.max_attempts)
            && self.now + MIN_SECONDS_BEFORE_DEADLINE < request.deadline
            && self.now + MIN_LATENCY_LEFT * mean_latency < request.useful_until
    }

    /// The least loaded of the first upstreams that may take a retry: the subset from the present turn on,
    /// then the others from a random start.
    fn retry_upstream(&self, request: &Request, start: usize) -> Option<UpstreamPosition> {
        let subset = self.upstreams.subset();
        let turn = self.round_robin.turn();
        let subset_from_turn = (1..=subset.len()).map(|step| subset[(turn + step) % subset.len()]);
        let others_from_random_start =
            self.upstreams.positions_from(start).filter(|position| !self.upstreams.at(*position).in_subset);
        let load = |position: UpstreamPosition| self.retry_load(self.upstreams.at(position));
        subset_from_turn
            .chain(others_from_random_start)
            .filter(|position| self.may_take_retry(request, self.upstreams.at(*position)))
            .take(MAX_CANDIDATES)
            .min_by(|a, b| load(*a).total_cmp(&load(*b)))
    }

    fn retry_load(&self, upstream: &Upstream) -> f64 {
        let mut penalty = 0.0;
        if upstream.zone != self.settings.zone {
            penalty += OTHER_ZONE_LOAD;
        }
        if !upstream.in_subset {
            penalty += OUTSIDE_SUBSET_LOAD;
        }
        penalty + upstream.estimated_load(self.last_tick_at)
    }

    /// Whether an upstream may take a retry of a request. Not one in slow start: the retries that follow a
    /// failure arrive together and could overload it.
    fn may_take_retry(&self, request: &Request, upstream: &Upstream) -> bool {
        upstream.is_ready()
            && !self.is_warming_up(upstream)
            && !upstream.outlier.is_ejected(self.now)
            && !upstream.outlier.is_ejected_for(request.class)
            && request.attempts.iter().all(|attempt| attempt.upstream != upstream.id)
            && self.is_retry_safe(request, upstream)
    }

    /// Whether an upstream is in slow start. Outside the subset nothing notes its end.
    fn is_warming_up(&self, upstream: &Upstream) -> bool {
        if upstream.in_subset {
            upstream.slow_start.is_active()
        } else {
            upstream.slow_start.is_warming_up(self.now, &self.settings)
        }
    }

    /// Whether an attempt at an upstream cannot execute the request a second time.
    fn is_retry_safe(&self, request: &Request, upstream: &Upstream) -> bool {
        let executed = request.attempts.iter().find(|attempt| attempt.in_flight || attempt.possibly_executed);
        let Some(first) = executed else { return true };
        let (scope, ttl) = match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => return true,
            RetrySafety::AtMostOnce => return false,
            RetrySafety::Deduplicated { scope, ttl } => (scope, ttl),
        };
        let shares_keys = match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => upstream.zone == first.zone,
            DeduplicationScope::Cell => upstream.cell == first.cell,
        };
        // A connection may have to be established first.
        let margin = self.settings.connect_timeout.as_secs_f64() + TRANSIT_SECONDS;
        shares_keys && self.now + margin < first.sent_at + ttl.as_secs_f64()
    }
}
