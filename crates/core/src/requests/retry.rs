//! Retries: their budget, the choice of an upstream, and whether a retry is safe.

use crate::balancer::Balancer;
use crate::ids::RequestId;
use crate::requests::Request;
use crate::settings::{DeduplicationScope, RetrySafety};
use crate::upstreams::{Upstream, UpstreamPosition};

/// Budget that a retry takes, in retries.
pub(super) const RETRY_COST: f64 = 1.0;
/// Budget that a retry takes, in retries, if the previous attempt was not executed. The retry then adds no
/// work to the upstreams.
pub(super) const RETRY_COST_NOT_EXECUTED: f64 = 0.1;
/// Budget that a hedged request takes, in retries.
pub(super) const HEDGE_COST: f64 = 1.0;
/// Budget that each admitted request adds, in retries.
const BUDGET_PER_ADMITTED_REQUEST: f64 = 0.1;
/// Seconds in which the expected rate of requests fills an empty budget. The time is short because all
/// balancers may spend their accumulated budgets at the same time.
const BUDGET_FILL_SECONDS: f64 = 1.5;
/// Minimum capacity of the budget, and its initial content, in retries.
const MIN_BUDGET_CAPACITY: f64 = 1.0;
/// Maximum capacity of the budget, in retries.
const MAX_BUDGET_CAPACITY: f64 = 10.0;
/// Maximum number of upstreams whose loads are compared for a retry.
const MAX_CANDIDATES: usize = 6;
/// Minimum time that must be left before the deadline to send a retry, in seconds.
const MIN_SECONDS_BEFORE_DEADLINE: f64 = 1e-3;
/// Minimum time that must be left before a response becomes useless to send a retry, as a share of the
/// class's mean latency.
const MIN_SHARE_OF_MEAN_LATENCY_LEFT: f64 = 0.5;
/// Time that an attempt may take to reach its upstream in addition to the connect timeout, in seconds.
const TRANSIT_SECONDS: f64 = 0.05;
/// Load added to an upstream in another zone when upstreams are compared for a retry.
const OTHER_ZONE_LOAD_PENALTY: f64 = 1e6;
/// Load added to an upstream outside the subset when upstreams are compared for a retry. Such an upstream is
/// used only if no member of the subset may take the retry, for example because only the upstreams of one
/// cell know the idempotency key.
const OUTSIDE_SUBSET_LOAD_PENALTY: f64 = 2e6;

/// Budget that limits retries and hedged requests to a share of the admitted requests. Amounts are in
/// retries.
#[derive(Default)]
pub(crate) struct RetryBudget {
    available: f64,
    /// Maximum of `available`.
    capacity: f64,
}

impl RetryBudget {
    /// Creates the initial budget of a balancer that expects `expected_rate` requests per second.
    pub(crate) fn new(expected_rate: f64) -> Self {
        let capacity = BUDGET_FILL_SECONDS * BUDGET_PER_ADMITTED_REQUEST * expected_rate;
        Self {
            available: MIN_BUDGET_CAPACITY,
            capacity: capacity.clamp(MIN_BUDGET_CAPACITY, MAX_BUDGET_CAPACITY),
        }
    }

    /// Adds the budget for one admitted request.
    pub(crate) fn deposit(&mut self) {
        self.available = (self.available + BUDGET_PER_ADMITTED_REQUEST).min(self.capacity);
    }

    /// Returns whether the budget covers a cost.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.available >= cost
    }

    fn withdraw(&mut self, cost: f64) {
        self.available -= cost;
    }
}

impl Balancer {
    /// Sends a retry or a hedged request if the request, the time left, the budget and the upstreams allow
    /// it. Returns whether it was sent.
    pub(crate) fn retry(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if !self.may_retry(request) || !self.retry_budget.covers(cost) || self.upstreams.len() == 0 {
            return false;
        }
        self.upstreams.decay_abandoned_outside_subset(self.now, &self.settings);
        let random_start = self.random.any_usize();
        let Some(position) = self.choose_retry_upstream(request, random_start) else { return false };
        self.retry_budget.withdraw(cost);
        self.send_attempt(id, position);
        true
    }

    /// Returns whether a request may get another attempt and has enough time left for it.
    fn may_retry(&self, request: &Request) -> bool {
        let mean_latency = self.latency.class(request.class).mean_seconds();
        !request.finished
            && !request.streaming
            && request.attempts.len() < usize::from(self.settings.max_attempts)
            && self.now + MIN_SECONDS_BEFORE_DEADLINE < request.deadline
            && self.now + MIN_SHARE_OF_MEAN_LATENCY_LEFT * mean_latency < request.useful_until
    }

    /// Returns the position of the least loaded among the first [`MAX_CANDIDATES`] upstreams that may take a
    /// retry. The members of the subset come first, from the next turn of the rotation on, then the other
    /// upstreams from a random one on.
    fn choose_retry_upstream(&self, request: &Request, random_start: usize) -> Option<UpstreamPosition> {
        let subset = self.upstreams.subset();
        let last_turn = self.round_robin.last_turn_index();
        let subset_from_turn = (1..=subset.len()).map(|step| subset[(last_turn + step) % subset.len()]);
        let others_from_random_start = self
            .upstreams
            .positions_from(random_start)
            .filter(|position| !self.upstreams.at(*position).in_subset);
        let load = |position: UpstreamPosition| self.load_for_retry(self.upstreams.at(position));
        subset_from_turn
            .chain(others_from_random_start)
            .filter(|position| self.may_take_retry(request, self.upstreams.at(*position)))
            .take(MAX_CANDIDATES)
            .min_by(|a, b| load(*a).total_cmp(&load(*b)))
    }

    /// Returns the load by which upstreams are compared for a retry.
    fn load_for_retry(&self, upstream: &Upstream) -> f64 {
        let mut penalty = 0.0;
        if upstream.zone != self.settings.zone {
            penalty += OTHER_ZONE_LOAD_PENALTY;
        }
        if !upstream.in_subset {
            penalty += OUTSIDE_SUBSET_LOAD_PENALTY;
        }
        penalty + upstream.estimated_load(self.last_tick_at)
    }

    /// Returns whether an upstream may take a retry of a request. An upstream in slow start may not,
    /// because the retries that follow a failure arrive together and could overload it.
    fn may_take_retry(&self, request: &Request, upstream: &Upstream) -> bool {
        upstream.is_ready()
            && !self.is_warming_up(upstream)
            && !upstream.outlier.is_ejected_for_all_classes(self.now)
            && !upstream.outlier.is_ejected_for_class(request.class)
            && request.attempts.iter().all(|attempt| attempt.upstream != upstream.id)
            && self.is_retry_safe(request, upstream)
    }

    /// Returns whether an upstream is in slow start. The state of slow start is updated only for members of
    /// the subset; for other upstreams, the elapsed time decides.
    fn is_warming_up(&self, upstream: &Upstream) -> bool {
        if upstream.in_subset {
            upstream.slow_start.is_active()
        } else {
            upstream.slow_start.is_warming_up(self.now, &self.settings)
        }
    }

    /// Returns whether a retry at an upstream is safe: the request cannot have been executed, is idempotent,
    /// or is deduplicated by that upstream.
    fn is_retry_safe(&self, request: &Request, upstream: &Upstream) -> bool {
        let possibly_executed =
            request.attempts.iter().find(|attempt| attempt.in_flight || attempt.possibly_executed);
        let Some(first) = possibly_executed else { return true };
        let (scope, ttl) = match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => return true,
            RetrySafety::AtMostOnce => return false,
            RetrySafety::Deduplicated { scope, ttl } => (scope, ttl),
        };
        let shares_idempotency_keys = match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => upstream.zone == first.zone,
            DeduplicationScope::Cell => upstream.cell == first.cell,
        };
        // The retry may have to establish a connection first.
        let margin = self.settings.connect_timeout.as_secs_f64() + TRANSIT_SECONDS;
        shares_idempotency_keys && self.now + margin < first.sent_at + ttl.as_secs_f64()
    }
}
