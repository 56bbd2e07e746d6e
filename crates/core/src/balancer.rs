//! The balancer: delivers each event to the modules that decide on it, and runs the tick.
//!
//! On the ordinary path, every tick refills one token bucket per tenant by a guaranteed rate and a share, in
//! proportion to demand, of the spare capacity W of the upstreams. A request that finds a token is admitted,
//! any other is rejected on arrival. Admitted requests go round robin over the ready upstreams, skipping one
//! that holds clearly more than the next ones. The other modules handle the exceptions to that path.

use crate::action::Action;
use crate::admission::Admission;
use crate::capacity::SpareCapacity;
use crate::event::{EndpointEntry, Event, UpdateScope};
use crate::idle_connections::IdleConnections;
use crate::ids::TimerId;
use crate::latency::LatencyStatistics;
use crate::random::Random;
use crate::requests::{RequestTable, RetryBudget};
use crate::round_robin::RoundRobin;
use crate::settings::{Settings, SettingsError};
use crate::time::{TICK_SECONDS, Timestamp};
use crate::upstreams::{Upstream, UpstreamSet, WeightInputs, mean_utilization};
use crate::watch_schedule::WatchSchedule;
use std::time::Duration;

/// The longest time that one tick accounts for.
const MAX_TICK_SECONDS: f64 = 1.0;
/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// The decisions of one balancer. See the documentation of the crate for its use.
///
/// `Balancer::default()` has no request classes and fails every request.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Time of the present event on the embedder's clock.
    pub(crate) elapsed: Duration,
    /// The same in seconds.
    pub(crate) now: Timestamp,
    /// Actions in response to the present event.
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Random,
    pub(crate) upstreams: UpstreamSet,
    pub(crate) round_robin: RoundRobin,
    pub(crate) requests: RequestTable,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: Admission,
    pub(crate) capacity: SpareCapacity,
    pub(crate) latency: LatencyStatistics,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) last_tick_at: Timestamp,
    watch_schedule: WatchSchedule,
    /// Requests per second that the tenants' quotas let this balancer expect.
    expected_rate: f64,
    /// The first event has been handled.
    started: bool,
}

impl Balancer {
    /// Creates a balancer. `seed` is its only source of chance.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid, see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let expected_rate = expected_rate(&settings);
        Ok(Self {
            random: Random::with_seed(seed),
            upstreams: UpstreamSet::new(&settings, expected_rate),
            retry_budget: RetryBudget::new(expected_rate),
            admission: Admission::new(&settings),
            capacity: SpareCapacity::new(expected_rate),
            latency: LatencyStatistics::new(&settings.classes),
            expected_rate,
            settings,
            ..Self::default()
        })
    }

    /// Number of entries of state: upstreams (removed ones included until they are dropped), requests, and
    /// checks of attempts, which outlive their attempts until they fall due.
    pub fn state_entry_count(&self) -> usize {
        self.upstreams.state_entry_count() + self.requests.entries()
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` must not be less than at the
    /// event before.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        self.elapsed = now;
        self.now = Timestamp::from_duration(now);
        if !self.started {
            self.start();
        }
        self.dispatch(event);
        std::mem::swap(&mut self.actions, actions);
    }

    fn start(&mut self) {
        self.started = true;
        self.last_tick_at = self.now;
        self.watch_schedule.start(self.now, self.settings.poll_interval, &mut self.random);
        let first_tick_after = Duration::from_secs_f64(TICK_SECONDS * self.random.fraction());
        self.actions.push(Action::SetTimer { after: first_tick_after, timer: TICK_TIMER });
    }

    fn dispatch(&mut self, event: Event<'_>) {
        match event {
            Event::EndpointUpdate { scope, entries } => self.handle_endpoint_update(scope, entries),
            Event::RequestArrived { id, class, tenant, time_left, .. } => {
                self.handle_arrival(id, class, tenant, time_left);
            }
            Event::StreamStarted { id, .. } => self.requests.record_stream_started(id),
            Event::AttemptEnded {
                id,
                attempt,
                upstream,
                outcome,
                latency,
                request_finished,
                load_report,
            } => {
                self.upstreams.record_load_report(self.now, upstream, load_report, &self.settings);
                self.handle_attempt_end(id, attempt, outcome, latency, request_finished);
            }
            Event::ClientDisconnected { id } => self.finish_request(id),
            Event::HealthCheckEnded { upstream, load_report, .. } => {
                self.upstreams.record_load_report(self.now, upstream, load_report, &self.settings);
            }
            Event::TimerFired { timer: TICK_TIMER } => self.tick(),
            Event::TimerFired { .. } => {}
        }
    }

    fn handle_endpoint_update(&mut self, scope: UpdateScope, entries: &[EndpointEntry]) {
        if scope == UpdateScope::Failed {
            let poll_interval = self.settings.poll_interval;
            self.watch_schedule.record_failure(self.now, poll_interval, &mut self.random);
            return;
        }
        if scope != UpdateScope::Cached {
            self.watch_schedule.record_response();
        }
        let needs_selection =
            self.upstreams.apply_update(self.now, scope, entries, &self.settings, &mut self.random);
        if needs_selection {
            self.select_subset();
        } else {
            self.update_weights(0.0);
        }
    }

    /// Refills the buckets from the capacity, then looks after overdue attempts and discovery.
    fn tick(&mut self) {
        let since_last_tick = (self.now - self.last_tick_at).clamp(0.0, MAX_TICK_SECONDS);
        self.last_tick_at = self.now;
        if self.upstreams.is_selection_due(self.now) {
            self.select_subset();
        }
        self.update_weights(since_last_tick);
        self.refill_buckets(since_last_tick);
        self.handle_overdue_attempts();
        self.poll_endpoints_if_due();
        self.actions
            .push(Action::SetTimer { after: Duration::from_secs_f64(TICK_SECONDS), timer: TICK_TIMER });
    }

    fn select_subset(&mut self) {
        self.upstreams.select_subset(self.now, &self.settings, &mut self.random, &mut self.actions);
        self.round_robin.reset();
        self.update_weights(0.0);
    }

    fn update_weights(&mut self, elapsed: f64) {
        self.upstreams.update_weights(&WeightInputs {
            now: self.now,
            elapsed,
            settings: &self.settings,
            rate_per_weight: self.capacity.rate(),
            expected_rate: self.expected_rate,
        });
    }

    fn refill_buckets(&mut self, elapsed: f64) {
        self.latency.decay(self.now, elapsed, &self.settings);
        let upstreams: Vec<&Upstream> = self.upstreams.subset_members().collect();
        let utilization = mean_utilization(upstreams.iter().copied(), self.now);
        let latency = self.latency.summary(&self.settings, utilization.is_some());
        self.capacity.estimate(elapsed, &self.settings, &latency, utilization, &upstreams);
        self.admission.refill(elapsed, &self.capacity);
    }

    fn poll_endpoints_if_due(&mut self) {
        let poll_interval = self.settings.poll_interval;
        if self.settings.starts_watches
            && self.watch_schedule.take_due_call(self.now, poll_interval, &mut self.random)
        {
            self.actions.push(Action::WatchEndpoints);
        }
    }
}

/// Requests per second that the tenants' quotas let each balancer expect.
fn expected_rate(settings: &Settings) -> f64 {
    let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_second);
    let total: f64 = quotas.filter(|quota| quota.is_finite()).sum();
    total.max(1.0) / f64::from(settings.balancers)
}
