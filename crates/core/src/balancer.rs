//! The balancer: dispatches each event to the modules that handle it, and runs the tick.
//!
//! In normal operation, each tick refills one token bucket per tenant. A bucket gets a guaranteed rate and,
//! in proportion to the tenant's demand, a share of the upstreams' spare capacity W. A request is admitted if
//! its tenant's bucket has a token, and rejected on arrival otherwise. Admitted requests are distributed over
//! the ready upstreams by weighted round robin, which skips an upstream whose load is clearly higher than
//! that of the next ones. The other modules handle failures, overload and changes of the endpoint list.

use crate::action::Action;
use crate::admission::Admission;
use crate::capacity::SpareCapacity;
use crate::event::{EndpointEntry, Event, UpdateScope};
use crate::idle_connections::IdleDropDetector;
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

/// Maximum elapsed time that one tick accounts for.
const MAX_TICK_SECONDS: f64 = 1.0;
/// Identifier of the timer that runs the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// A load balancer that turns events into actions. See the documentation of the crate for its use.
///
/// `Balancer::default()` has no request classes and answers every request with [`Action::Fail`].
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Time of the current event on the embedder's clock.
    pub(crate) event_time: Duration,
    /// Time of the current event as a [`Timestamp`].
    pub(crate) now: Timestamp,
    /// Actions that result from the current event.
    pub(crate) actions: Vec<Action>,
    pub(crate) random: Random,
    pub(crate) upstreams: UpstreamSet,
    pub(crate) round_robin: RoundRobin,
    pub(crate) requests: RequestTable,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: Admission,
    pub(crate) capacity: SpareCapacity,
    pub(crate) latency: LatencyStatistics,
    pub(crate) idle_connections: IdleDropDetector,
    pub(crate) last_tick_at: Timestamp,
    watch_schedule: WatchSchedule,
    /// Requests per second that this balancer expects, derived from the tenants' quotas.
    expected_rate: f64,
    /// Whether the first event has been handled.
    started: bool,
}

impl Balancer {
    /// Creates a balancer. All its random decisions derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid; see [`Settings::validate`].
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

    /// Returns the number of entries in the collections that hold the balancer's state: those of upstreams
    /// (removed ones until they are dropped), of process starts of dropped upstreams, of requests, and of
    /// scheduled checks of attempts (until they are due, even if the attempt has ended).
    pub fn state_entry_count(&self) -> usize {
        self.upstreams.state_entry_count() + self.requests.state_entry_count()
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` is the time on the embedder's
    /// clock and must not be earlier than at the previous event.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        self.event_time = now;
        self.now = Timestamp::from_duration(now);
        if !self.started {
            self.start();
        }
        self.dispatch(event);
        std::mem::swap(&mut self.actions, actions);
    }

    /// Schedules the first tick and the first watch. Runs at the first event.
    fn start(&mut self) {
        self.started = true;
        self.last_tick_at = self.now;
        self.watch_schedule.start(self.now, self.settings.poll_interval, &mut self.random);
        let first_tick_delay = Duration::from_secs_f64(TICK_SECONDS * self.random.fraction());
        self.actions.push(Action::SetTimer { after: first_tick_delay, timer: TICK_TIMER });
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
        let needs_subset_selection =
            self.upstreams.apply_update(self.now, scope, entries, &self.settings, &mut self.random);
        if needs_subset_selection {
            self.select_subset();
        } else {
            self.update_weights(0.0);
        }
    }

    /// Runs the periodic work: selects the subset again if that is due, updates the weights, refills the
    /// token buckets, handles overdue attempts and starts a watch if one is due.
    fn tick(&mut self) {
        let seconds_since_last_tick = (self.now - self.last_tick_at).clamp(0.0, MAX_TICK_SECONDS);
        self.last_tick_at = self.now;
        if self.upstreams.is_selection_due(self.now) {
            self.select_subset();
        }
        self.update_weights(seconds_since_last_tick);
        self.refill_buckets(seconds_since_last_tick);
        self.handle_overdue_attempts();
        self.start_watch_if_due();
        self.actions
            .push(Action::SetTimer { after: Duration::from_secs_f64(TICK_SECONDS), timer: TICK_TIMER });
    }

    fn select_subset(&mut self) {
        self.upstreams.select_subset(self.now, &self.settings, &mut self.random, &mut self.actions);
        self.round_robin.reset();
        self.update_weights(0.0);
    }

    /// Updates the upstreams' weights. `elapsed_seconds` is the time since the last tick, or 0 outside a
    /// tick.
    fn update_weights(&mut self, elapsed_seconds: f64) {
        self.upstreams.update_weights(&WeightInputs {
            now: self.now,
            elapsed_seconds,
            settings: &self.settings,
            rate_per_weight: self.capacity.service_rate(),
            expected_rate: self.expected_rate,
        });
    }

    /// Estimates the spare capacity and refills the token buckets for the time since the last tick.
    fn refill_buckets(&mut self, elapsed_seconds: f64) {
        self.latency.decay(self.now, elapsed_seconds, &self.settings);
        let upstreams: Vec<&Upstream> = self.upstreams.subset_members().collect();
        let utilization = mean_utilization(upstreams.iter().copied(), self.now);
        let latency = self.latency.summary(&self.settings, utilization.is_some());
        self.capacity.estimate(elapsed_seconds, &self.settings, &latency, utilization, &upstreams);
        self.admission.refill(elapsed_seconds, &self.capacity);
    }

    fn start_watch_if_due(&mut self) {
        let poll_interval = self.settings.poll_interval;
        if self.settings.starts_watches
            && self.watch_schedule.take_due_call(self.now, poll_interval, &mut self.random)
        {
            self.actions.push(Action::WatchEndpoints);
        }
    }
}

/// Returns the expected requests per second at each balancer: an equal part of the sum of the tenants' finite
/// quotas, or of 1 if the sum is lower.
fn expected_rate(settings: &Settings) -> f64 {
    let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_second);
    let total: f64 = quotas.filter(|quota| quota.is_finite()).sum();
    total.max(1.0) / f64::from(settings.balancers)
}
