//! Schedule by which a balancer starts watches of the endpoint list, used if
//! [`Settings::starts_watches`](crate::Settings::starts_watches) is set.
//!
//! The balancer starts a watch when it starts and again after each failure. The wait doubles after each
//! failed call and is jittered, so that many balancers do not call at the same moment when discovery
//! recovers. The wait is limited and counts from the start of the failed call, so that a call that fails late
//! and the next call, which may be answered late, together end before a change counts as delivered to the
//! balancer; see [`Settings::poll_interval`](crate::Settings::poll_interval).

use crate::random::Random;
use crate::time::Timestamp;
use std::time::Duration;

/// Maximum wait before the first call.
const MAX_FIRST_WAIT_SECONDS: f64 = 1.0;
/// Maximum wait before the first call, as a share of the poll interval.
const MAX_FIRST_WAIT_SHARE: f64 = 0.1;
/// Maximum wait from the start of a failed call to the next one.
const MAX_RETRY_WAIT_SECONDS: f64 = 3.0;
/// Maximum wait from the start of a failed call to the next one, as a share of the poll interval.
const MAX_RETRY_WAIT_SHARE: f64 = 0.8;
/// Maximum number of times that the wait after failed calls doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Minimum wait before a call without a response is repeated, as a share of the poll interval.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.4;
/// Maximum jitter that is added to [`RESPONSE_TIMEOUT_SHARE`].
const RESPONSE_TIMEOUT_JITTER: f64 = 0.2;

/// Schedule of one balancer's calls to discovery.
#[derive(Default)]
pub(crate) struct WatchSchedule {
    watch_is_established: bool,
    last_call_at: Timestamp,
    next_call_at: Timestamp,
    consecutive_failures: u32,
}

impl WatchSchedule {
    /// Schedules the first call after a short random wait.
    pub(crate) fn start(&mut self, now: Timestamp, poll_interval: Duration, random: &mut Random) {
        let max_wait_seconds =
            (poll_interval.as_secs_f64() * MAX_FIRST_WAIT_SHARE).min(MAX_FIRST_WAIT_SECONDS);
        self.next_call_at = now + max_wait_seconds * random.fraction();
    }

    /// Records that a call failed or that the watch ended, and schedules the next call.
    pub(crate) fn record_failure(&mut self, now: Timestamp, poll_interval: Duration, random: &mut Random) {
        let max_wait_seconds =
            (poll_interval.as_secs_f64() * MAX_RETRY_WAIT_SHARE).min(MAX_RETRY_WAIT_SECONDS);
        let min_wait_seconds = max_wait_seconds / f64::from(1u32 << MAX_DOUBLINGS);
        let wait_seconds = min_wait_seconds * f64::from(1u32 << self.consecutive_failures.min(MAX_DOUBLINGS));
        let jitter = 0.5 + 0.5 * random.fraction();
        self.consecutive_failures += 1;
        self.watch_is_established = false;
        let min_next_call_at = now + min_wait_seconds * jitter;
        self.next_call_at = min_next_call_at.max(self.last_call_at + wait_seconds * jitter);
    }

    /// Records that discovery responded, so that the watch is established.
    pub(crate) fn record_response(&mut self) {
        self.watch_is_established = true;
        self.consecutive_failures = 0;
    }

    /// Returns whether a call is due. If it is, schedules the next call in case this one gets no response.
    pub(crate) fn take_due_call(
        &mut self,
        now: Timestamp,
        poll_interval: Duration,
        random: &mut Random,
    ) -> bool {
        if self.watch_is_established || now < self.next_call_at {
            return false;
        }
        self.last_call_at = now;
        let timeout_share = RESPONSE_TIMEOUT_SHARE + RESPONSE_TIMEOUT_JITTER * random.fraction();
        self.next_call_at = now + poll_interval.as_secs_f64() * timeout_share;
        true
    }
}
