//! Outlier detection: ejects upstreams that fail.
//!
//! An upstream that is unreachable is ejected for all classes for a limited time. An upstream that responds
//! to requests of a class with failures, or not in time, is ejected for that class. If it serves no class, it
//! is ejected for each class separately. It is then probed with single requests until it serves one in time.

use crate::event::Outcome;
use crate::random::Random;
use crate::time::Timestamp;
use crate::upstreams::ejection_limit::MAX_EJECTED_SHARE;
use crate::upstreams::upstream::OVERDUE_ATTEMPT_EXTRA_LOAD;
use crate::upstreams::{UpstreamPosition, UpstreamSet};

/// Number of consecutive failures of a class after which an upstream is ejected for that class. Rejected and
/// abandoned attempts are also counted over all classes: after this many of them, with no class served in
/// between, the upstream is ejected for each class. The number is low because the failed attempts of all
/// balancers add to the queue of a stuck upstream.
const FAILURES_TO_EJECT: u32 = 2;
/// Minimum time without a served request of a class after which a single failure other than an error response
/// ejects the upstream for that class, provided that the class as a whole is well within its latency
/// objective.
const MIN_UNSERVED_SECONDS: f64 = 3.0;
/// Share of the latency objective below which the mean latency of a class is well within the objective. A
/// higher mean latency can be a sign of overload: then all upstreams are slow, and ejecting some of them
/// would increase the load on the others.
const WELL_WITHIN_OBJECTIVE_SHARE: f64 = 0.5;
/// Number of consecutive connection resets from which an upstream may count as unreachable. If one
/// connection in ten breaks, three resets in a row occur every few seconds, so [`MIN_UNREACHABLE_SECONDS`]
/// is required as well.
const RESETS_TO_EJECT: u32 = 3;
/// Number of connection resets that a failure to connect counts as.
const RESETS_PER_FAILED_CONNECT: u32 = 2;
/// Minimum time without any response before an upstream counts as unreachable.
const MIN_UNREACHABLE_SECONDS: f64 = 0.25;
/// Duration of the first ejection for all classes, and of the wait before the first probe request of a
/// class. Each further ejection without a success in between doubles the duration, up to
/// [`MAX_EJECTION_DOUBLINGS`] times. Each further probe request doubles the wait, up to
/// [`MAX_PROBE_DOUBLINGS`] times.
const BASE_EJECTION_SECONDS: f64 = 1.5;
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Maximum number of times that the wait between two probe requests of a class is doubled.
const MAX_PROBE_DOUBLINGS: u32 = 4;

/// Returns whether a class with this mean latency of served attempts is so far below its latency objective
/// that a slow upstream is an outlier and not a sign of overload.
pub(crate) fn is_well_within_objective(served_mean_seconds: f64, objective_seconds: f64) -> bool {
    served_mean_seconds < WELL_WITHIN_OBJECTIVE_SHARE * objective_seconds
}

/// The state of outlier detection for one upstream.
pub(crate) struct OutlierState {
    /// Rejected and abandoned attempts of all classes since the last success of any class.
    consecutive_failures: u32,
    /// Connection resets since the last response or ejection for all classes. A failure to connect counts as
    /// [`RESETS_PER_FAILED_CONNECT`] resets.
    consecutive_resets: u32,
    /// Time of the last response, which is a success, an error or a rejection; [`Timestamp::DISTANT_PAST`] if
    /// the upstream has not responded.
    last_response_at: Timestamp,
    /// Ejections for all classes since the last success that was not overdue.
    consecutive_ejections: u32,
    /// Time at which the latest ejection for all classes ends; [`Timestamp::ZERO`] if there was none.
    ejected_until: Timestamp,
    classes: Vec<ClassOutlierState>,
}

/// The state of outlier detection for one class at one upstream.
#[derive(Clone, Default)]
struct ClassOutlierState {
    /// Failures of the class since its last success or ejection.
    consecutive_failures: u32,
    last_served_at: Timestamp,
    /// Whether the upstream is ejected for this class.
    ejected: bool,
    /// Time at which the upstream was last probed for this class, or ejected if it has not been probed since.
    last_probed_at: Timestamp,
}

impl OutlierState {
    /// Creates the state of an upstream that has not been used.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_resets: 0,
            last_response_at: Timestamp::DISTANT_PAST,
            consecutive_ejections: 0,
            ejected_until: Timestamp::ZERO,
            classes: vec![ClassOutlierState::default(); class_count],
        }
    }

    /// Returns whether the upstream is ejected for all classes because it was unreachable. An upstream that
    /// is ejected for each class separately does not count.
    pub(crate) fn is_ejected_for_all_classes(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Returns the time at which the latest ejection for all classes ends, or [`Timestamp::ZERO`] if there
    /// was none.
    pub(crate) fn ejected_until(&self) -> Timestamp {
        self.ejected_until
    }

    /// Returns whether the upstream is ejected for this class in particular. An ejection for all classes
    /// does not count.
    pub(crate) fn is_ejected_for_class(&self, class: usize) -> bool {
        self.classes[class].ejected
    }

    /// Returns the time of the last response, which is a success, an error or a rejection, or
    /// [`Timestamp::DISTANT_PAST`] if the upstream has not responded.
    pub(crate) fn last_response_at(&self) -> Timestamp {
        self.last_response_at
    }

    /// Clears ejections and failures after a restart of the upstream. Keeps the number of connection resets
    /// and the time of the last response.
    pub(crate) fn clear_after_restart(&mut self) {
        self.consecutive_ejections = 0;
        self.ejected_until = Timestamp::ZERO;
        self.consecutive_failures = 0;
        self.classes.fill(ClassOutlierState::default());
    }

    /// Records a success. Returns whether it ends an ejection for the class, which only a success that was
    /// not overdue does.
    fn record_success(&mut self, now: Timestamp, class: usize, was_overdue: bool) -> bool {
        let state = &mut self.classes[class];
        state.consecutive_failures = 0;
        state.last_served_at = now;
        self.consecutive_failures = 0;
        if was_overdue {
            return false;
        }
        self.consecutive_ejections = 0;
        std::mem::take(&mut state.ejected)
    }

    /// Records whether the outcome of an attempt shows that the upstream is reachable.
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

    /// Returns whether the upstream counts as unreachable: there were [`RESETS_TO_EJECT`] connection resets
    /// in a row, and it has not responded for [`MIN_UNREACHABLE_SECONDS`].
    fn is_unreachable(&self, now: Timestamp) -> bool {
        self.consecutive_resets >= RESETS_TO_EJECT && now - self.last_response_at > MIN_UNREACHABLE_SECONDS
    }

    /// Starts an ejection for all classes.
    fn eject(&mut self, now: Timestamp, random: &mut Random) {
        self.consecutive_resets = 0;
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration_seconds = BASE_EJECTION_SECONDS * f64::from(1 << doublings);
        self.consecutive_ejections += 1;
        self.ejected_until = now + duration_seconds * random.jitter_factor();
    }
}

/// The schedule of the probe requests of one class, which the upstreams ejected for that class share.
#[derive(Clone, Default)]
pub(crate) struct ProbeSchedule {
    /// Probe requests since the last success that ended an ejection. An ejection while no probe request is
    /// scheduled sets it to 0.
    unsuccessful_probes: u32,
    next_probe_at: Timestamp,
}

impl ProbeSchedule {
    /// Records that an upstream was ejected for the class. Schedules a probe request after the base duration
    /// of an ejection, unless one is scheduled already.
    fn record_ejection(&mut self, now: Timestamp, random: &mut Random) {
        if self.next_probe_at <= now {
            self.unsuccessful_probes = 0;
            self.next_probe_at = now + BASE_EJECTION_SECONDS * random.jitter_factor();
        }
    }

    /// Records that a probe request is being sent. The wait before the next one is twice as long, up to a
    /// limit.
    fn record_probe(&mut self, now: Timestamp, random: &mut Random) {
        self.unsuccessful_probes += 1;
        let doublings = self.unsuccessful_probes.min(MAX_PROBE_DOUBLINGS);
        let wait_seconds = BASE_EJECTION_SECONDS * f64::from(1 << doublings);
        self.next_probe_at = now + wait_seconds * random.jitter_factor();
    }

    /// Records that an ejected upstream serves again. The other ejected upstreams may have failed for the
    /// same reason, so the next one is probed at once.
    fn record_success(&mut self, now: Timestamp) {
        self.unsuccessful_probes = 0;
        self.next_probe_at = now;
    }
}

/// The result of an attempt, reduced to what outlier detection needs.
#[derive(Clone, Copy)]
pub(crate) struct AttemptResult {
    pub(crate) class: usize,
    pub(crate) outcome: Outcome,
    /// Whether a check found the attempt in flight for longer than most attempts of its class.
    pub(crate) was_overdue: bool,
    /// Whether the mean latency of the class is well within its objective, so that a failure of this attempt
    /// is probably not due to overload. See [`is_well_within_objective`].
    pub(crate) class_is_well_within_objective: bool,
}

impl AttemptResult {
    /// Returns whether the attempt was overdue and then cancelled or timed out.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.was_overdue && matches!(self.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }

    /// Returns whether the attempt counts as a failure of the upstream for its class.
    fn is_class_failure(&self) -> bool {
        self.is_abandoned() || matches!(self.outcome, Outcome::Rejected | Outcome::Error)
    }

    /// Returns whether the attempt counts as a failure of the upstream regardless of its class.
    fn is_upstream_failure(&self) -> bool {
        self.is_abandoned() || self.outcome == Outcome::Rejected
    }
}

impl UpstreamSet {
    /// Records the result of an attempt in the state of its upstream, and ejects the upstream if the result
    /// shows that it is an outlier.
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
        let connection_failed = matches!(result.outcome, Outcome::ConnectFailed | Outcome::Reset);
        if connection_failed
            && upstream.outlier.is_unreachable(now)
            && !upstream.outlier.is_ejected_for_all_classes(now)
        {
            self.eject_for_all_classes(now, position, random);
        }
        self.count_failures(now, position, result);
        self.eject_for_failed_classes(now, position, result, random);
        // Abandoned attempts at an upstream that is ejected for the class are not counted, so that they do
        // not reduce the spare capacity.
        let upstream = &mut self.upstreams[position];
        if result.is_abandoned() && !upstream.outlier.is_ejected_for_class(class) {
            upstream.abandoned_attempts += 1.0;
        }
    }

    /// Ejects an unreachable upstream for all classes. After the ejection, the upstream is in slow start with
    /// a random budget below one request, so that all balancers together send it requests at a low rate at
    /// first.
    fn eject_for_all_classes(&mut self, now: Timestamp, position: UpstreamPosition, random: &mut Random) {
        let upstream = &mut self.upstreams[position];
        upstream.outlier.eject(now, random);
        let ejected_until = upstream.outlier.ejected_until();
        upstream.slow_start.restart_after_ejection(ejected_until, random.fraction());
        upstream.awaits_selection = true;
        self.request_selection(now);
    }

    /// Updates the failure counts and the estimated load of an upstream with the result of an attempt.
    fn count_failures(&mut self, now: Timestamp, position: UpstreamPosition, result: AttemptResult) {
        let upstream = &mut self.upstreams[position];
        if result.outcome == Outcome::Rejected {
            // An upstream that rejects requests responds fast and has few in flight. Without this load, it
            // would look idle and attract more requests.
            upstream.reported_load.raise_in_flight(now, 2.0 * OVERDUE_ATTEMPT_EXTRA_LOAD);
        }
        if result.is_class_failure() {
            upstream.outlier.classes[result.class].consecutive_failures += 1;
        }
        if result.is_upstream_failure() {
            upstream.outlier.consecutive_failures += 1;
        }
    }

    /// Ejects an upstream for the class of an attempt, or for each class, once its failure counts reach the
    /// limits.
    fn eject_for_failed_classes(
        &mut self,
        now: Timestamp,
        position: UpstreamPosition,
        result: AttemptResult,
        random: &mut Random,
    ) {
        let outlier = &self.upstreams[position].outlier;
        let class_state = &outlier.classes[result.class];
        let single_failure_ejects =
            now - class_state.last_served_at > MIN_UNSERVED_SECONDS && result.class_is_well_within_objective;
        let failures = class_state.consecutive_failures;
        let class_failed = failures >= FAILURES_TO_EJECT
            || (single_failure_ejects && failures > 0 && result.outcome != Outcome::Error);
        let upstream_failed = outlier.consecutive_failures >= FAILURES_TO_EJECT;
        for class in 0..outlier.classes.len() {
            if upstream_failed || (class_failed && class == result.class) {
                self.eject_for_class(now, position, class, random);
            }
        }
    }

    /// Ejects an upstream for a class, unless it is ejected already or the ejected share of the subset would
    /// exceed [`MAX_EJECTED_SHARE`].
    fn eject_for_class(
        &mut self,
        now: Timestamp,
        position: UpstreamPosition,
        class: usize,
        random: &mut Random,
    ) {
        let already_ejected_count =
            self.subset_members().filter(|upstream| upstream.outlier.is_ejected_for_class(class)).count();
        let ejected_count = (already_ejected_count + 1) as f64;
        let max_ejected = MAX_EJECTED_SHARE * self.subset.len() as f64;
        let state = &mut self.upstreams[position].outlier.classes[class];
        if state.ejected || ejected_count > max_ejected {
            return;
        }
        state.consecutive_failures = 0;
        state.ejected = true;
        state.last_probed_at = now;
        self.probe_schedules[class].record_ejection(now, random);
    }

    /// Returns the number of upstreams in rotation that are ejected for a class.
    pub(crate) fn ejected_count_in_rotation(&self, class: usize) -> usize {
        self.subset.iter().filter(|position| self.is_ejected_in_rotation(**position, class)).count()
    }

    /// Returns the upstream to probe now with a request of a class, or `None` if no probe request is due,
    /// and schedules the next probe request. Selects the ejected upstream whose last probe request is the
    /// longest ago. Upstreams are probed one at a time and at increasing intervals, because a probe request
    /// that fails may be one that must not be retried.
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
        upstream.outlier.is_ejected_for_class(class) && upstream.rotation.takes_turns()
    }
}
