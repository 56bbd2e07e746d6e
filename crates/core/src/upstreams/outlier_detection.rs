//! Outlier detection: upstreams that fail are ejected, for the class that failed or entirely, and probed with
//! single requests until they serve again.

use crate::event::Outcome;
use crate::random::Random;
use crate::time::Timestamp;
use crate::upstreams::ejection_limit::MAX_EJECTED_SHARE;
use crate::upstreams::upstream::OVERDUE_ATTEMPT_EXTRA_LOAD;
use crate::upstreams::{UpstreamPosition, UpstreamSet};

/// Consecutive failures after which an upstream is ejected for the class that met them, or for all classes
/// where none was served meanwhile. Low, because the failed attempts of every balancer add to the queue of a
/// stuck upstream.
const FAILURES_TO_EJECT: u32 = 2;
/// One failure is enough where the upstream has served no request of the class for this long ...
const UNRESPONSIVE_SECONDS: f64 = 3.0;
/// ... while the class is served within this share of its latency objective elsewhere. Not so under overload,
/// when all upstreams are slow and ejecting some makes it worse.
const FAST_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// Consecutive connection resets after which an upstream counts as unreachable. Where one connection in ten
/// breaks, three in a row occur every few seconds, hence [`MIN_UNREACHABLE_SECONDS`] as well.
const RESETS_TO_EJECT: u32 = 3;
/// What a connection that is not established counts for in broken ones.
const RESETS_PER_FAILED_CONNECT: u32 = 2;
/// Time without any response that an unreachable upstream has at least.
const MIN_UNREACHABLE_SECONDS: f64 = 0.25;
/// Duration of the first ejection. Each further one without a success doubles it.
const BASE_EJECTION_SECONDS: f64 = 1.5;
/// How often the duration of an ejection doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// How often the time between two probe requests of a class doubles at most.
const MAX_PROBE_DOUBLINGS: u32 = 4;

/// Whether the upstreams' typical response to a class is fast enough to tell an outlier from overload.
pub(crate) fn is_fast(served_mean: f64, latency_objective: f64) -> bool {
    served_mean < FAST_SHARE_OF_OBJECTIVE * latency_objective
}

/// What outlier detection knows of one upstream.
pub(crate) struct OutlierState {
    /// Failures of any class since the last success.
    consecutive_failures: u32,
    /// Broken connections since the last response.
    consecutive_resets: u32,
    /// When it last responded, whatever the response was.
    last_response_at: Timestamp,
    /// Ejections since the last success in time.
    ejections: u32,
    ejected_until: Timestamp,
    classes: Vec<ClassOutlierState>,
}

/// What outlier detection knows of one class at one upstream.
#[derive(Clone, Default)]
struct ClassOutlierState {
    /// Failures since the last success.
    consecutive_failures: u32,
    last_served_at: Timestamp,
    /// It is ejected for this class.
    ejected: bool,
    /// When it was ejected or last probed.
    last_probed_at: Timestamp,
}

impl OutlierState {
    /// The state of an upstream that has not been used.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_resets: 0,
            last_response_at: Timestamp::DISTANT_PAST,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            classes: vec![ClassOutlierState::default(); class_count],
        }
    }

    /// Whether it is ejected for all classes.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// When the latest ejection for all classes ends.
    pub(crate) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    /// Whether it is ejected for one class.
    pub(crate) fn is_ejected_for(&self, class: usize) -> bool {
        self.classes[class].ejected
    }

    /// When it last responded.
    pub(crate) fn last_response_at(&self) -> Timestamp {
        self.last_response_at
    }

    /// Clears ejections and failures after a restart. The count of resets and the time of the last response
    /// stay.
    pub(crate) fn reset(&mut self) {
        self.ejections = 0;
        self.ejected_until = Timestamp::ZERO;
        self.consecutive_failures = 0;
        self.classes.fill(ClassOutlierState::default());
    }

    /// Records a success. Returns whether it ends an ejection for the class.
    fn record_success(&mut self, now: Timestamp, class: usize, was_overdue: bool) -> bool {
        let state = &mut self.classes[class];
        state.consecutive_failures = 0;
        state.last_served_at = now;
        self.consecutive_failures = 0;
        if was_overdue {
            return false;
        }
        self.ejections = 0;
        std::mem::take(&mut state.ejected)
    }

    /// Records what an outcome says of the connection to the upstream.
    fn record_reachability(&mut self, now: Timestamp, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.consecutive_resets = 0;
                self.last_response_at = now;
            }
            Outcome::Reset => self.consecutive_resets += 1,
            Outcome::ConnectFailed => self.consecutive_resets += RESETS_PER_FAILED_CONNECT,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn is_unreachable(&self, now: Timestamp) -> bool {
        self.consecutive_resets >= RESETS_TO_EJECT && now - self.last_response_at > MIN_UNREACHABLE_SECONDS
    }

    fn eject(&mut self, now: Timestamp, random: &mut Random) {
        self.consecutive_resets = 0;
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = BASE_EJECTION_SECONDS * f64::from(1 << doublings);
        self.ejections += 1;
        self.ejected_until = now + duration * random.jitter_factor();
    }
}

/// When the next of the upstreams that are ejected for a class is probed.
#[derive(Clone, Default)]
pub(crate) struct ProbeSchedule {
    /// Probe requests without a success.
    unsuccessful_probes: u32,
    next_probe_at: Timestamp,
}

impl ProbeSchedule {
    /// An upstream was ejected: the next probe request follows after the base duration, unless one is
    /// scheduled.
    fn record_ejection(&mut self, now: Timestamp, random: &mut Random) {
        if self.next_probe_at <= now {
            self.unsuccessful_probes = 0;
            self.next_probe_at = now + BASE_EJECTION_SECONDS * random.jitter_factor();
        }
    }

    /// A probe request is being sent: the next one waits twice as long.
    fn record_probe(&mut self, now: Timestamp, random: &mut Random) {
        self.unsuccessful_probes += 1;
        let doublings = self.unsuccessful_probes.min(MAX_PROBE_DOUBLINGS);
        let wait = BASE_EJECTION_SECONDS * f64::from(1 << doublings);
        self.next_probe_at = now + wait * random.jitter_factor();
    }

    /// An upstream serves again: the fault may have been a common one, so the others are probed at once.
    fn record_success(&mut self, now: Timestamp) {
        self.unsuccessful_probes = 0;
        self.next_probe_at = now;
    }
}

/// The result of an attempt, as far as outlier detection needs it.
#[derive(Clone, Copy)]
pub(crate) struct AttemptResult {
    pub(crate) class: usize,
    pub(crate) outcome: Outcome,
    /// It was overdue.
    pub(crate) was_overdue: bool,
    /// The class is served fast elsewhere, so that this attempt's failure is not due to overload.
    pub(crate) class_is_fast: bool,
}

impl AttemptResult {
    /// Whether the attempt was given up as overdue.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.was_overdue && matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }

    fn is_class_failure(&self) -> bool {
        self.is_abandoned() || matches!(self.outcome, Outcome::Rejected | Outcome::Error)
    }

    fn is_upstream_failure(&self) -> bool {
        self.is_abandoned() || self.outcome == Outcome::Rejected
    }
}

impl UpstreamSet {
    /// Records the outcome of an attempt and ejects its upstream if it is an outlier.
    pub(crate) fn detect_outlier(
        &mut self,
        now: Timestamp,
        position: UpstreamPosition,
        result: AttemptResult,
        random: &mut Random,
    ) {
        let class = result.class;
        let upstream = &mut self.upstreams[position];
        if result.outcome == Outcome::Ok && upstream.outlier.record_success(now, class, result.was_overdue) {
            self.probe_schedules[class].record_success(now);
        }
        upstream.outlier.record_reachability(now, result.outcome);
        let is_broken = matches!(result.outcome, Outcome::ConnectFailed | Outcome::Reset);
        if is_broken && upstream.outlier.is_unreachable(now) && !upstream.outlier.is_ejected(now) {
            self.eject_for_all_classes(now, position, random);
        }
        self.count_failures(now, position, result);
        self.eject_for_failed_classes(now, position, result, random);
        // Once the upstream is ejected for the class, its abandoned attempts do not reduce the spare
        // capacity.
        let upstream = &mut self.upstreams[position];
        if result.is_abandoned() && !upstream.outlier.is_ejected_for(class) {
            upstream.abandoned_attempts += 1.0;
        }
    }

    /// Ejects an unreachable upstream. It comes back in slow start with a random budget: a slow probe by all
    /// balancers.
    fn eject_for_all_classes(&mut self, now: Timestamp, position: UpstreamPosition, random: &mut Random) {
        let upstream = &mut self.upstreams[position];
        upstream.outlier.eject(now, random);
        let ejected_until = upstream.outlier.ejected_until();
        upstream.slow_start.restart_after_ejection(ejected_until, random.fraction());
        upstream.awaits_selection = true;
        self.request_selection(now);
    }

    fn count_failures(&mut self, now: Timestamp, position: UpstreamPosition, result: AttemptResult) {
        let upstream = &mut self.upstreams[position];
        if result.outcome == Outcome::Rejected {
            // Rejections are fast: the upstream would otherwise look idle and attract more requests.
            upstream.reported_load.raise_in_flight(now, 2.0 * OVERDUE_ATTEMPT_EXTRA_LOAD);
        }
        if result.is_class_failure() {
            upstream.outlier.classes[result.class].consecutive_failures += 1;
        }
        if result.is_upstream_failure() {
            upstream.outlier.consecutive_failures += 1;
        }
    }

    fn eject_for_failed_classes(
        &mut self,
        now: Timestamp,
        position: UpstreamPosition,
        result: AttemptResult,
        random: &mut Random,
    ) {
        let outlier = &self.upstreams[position].outlier;
        let class_state = &outlier.classes[result.class];
        let is_unresponsive = now - class_state.last_served_at > UNRESPONSIVE_SECONDS && result.class_is_fast;
        let failures = class_state.consecutive_failures;
        let class_failed = failures >= FAILURES_TO_EJECT
            || (is_unresponsive && failures > 0 && result.outcome != Outcome::Error);
        let all_failed = outlier.consecutive_failures >= FAILURES_TO_EJECT;
        for class in 0..outlier.classes.len() {
            if all_failed || (class_failed && class == result.class) {
                self.eject_for_class(now, position, class, random);
            }
        }
    }

    /// Ejects an upstream for a class, unless too many are ejected.
    fn eject_for_class(
        &mut self,
        now: Timestamp,
        position: UpstreamPosition,
        class: usize,
        random: &mut Random,
    ) {
        let already_ejected =
            self.subset_members().filter(|upstream| upstream.outlier.is_ejected_for(class)).count();
        let ejected = (already_ejected + 1) as f64;
        let max_ejected = MAX_EJECTED_SHARE * self.subset.len() as f64;
        let state = &mut self.upstreams[position].outlier.classes[class];
        if state.ejected || ejected > max_ejected {
            return;
        }
        state.consecutive_failures = 0;
        state.ejected = true;
        state.last_probed_at = now;
        self.probe_schedules[class].record_ejection(now, random);
    }

    /// How many upstreams in rotation are ejected for a class.
    pub(crate) fn ejected_count_in_rotation(&self, class: usize) -> usize {
        self.subset.iter().filter(|position| self.is_ejected_in_rotation(**position, class)).count()
    }

    /// The upstream that is to be probed now with a request of a class: the one whose last probe is the
    /// longest ago. One at a time and ever more rarely, because each may cost a request that must not be
    /// retried.
    pub(crate) fn take_due_probe(
        &mut self,
        now: Timestamp,
        class: usize,
        random: &mut Random,
    ) -> Option<UpstreamPosition> {
        if now < self.probe_schedules[class].next_probe_at {
            return None;
        }
        let last_probed_at =
            |position: &UpstreamPosition| self.upstreams[*position].outlier.classes[class].last_probed_at;
        let position = self
            .subset
            .iter()
            .copied()
            .filter(|position| self.is_ejected_in_rotation(*position, class))
            .min_by(|a, b| last_probed_at(a).total_cmp(&last_probed_at(b)))?;
        self.probe_schedules[class].record_probe(now, random);
        self.upstreams[position].outlier.classes[class].last_probed_at = now;
        Some(position)
    }

    fn is_ejected_in_rotation(&self, position: UpstreamPosition, class: usize) -> bool {
        let upstream = &self.upstreams[position];
        upstream.outlier.is_ejected_for(class) && upstream.rotation.takes_turns()
    }
}
