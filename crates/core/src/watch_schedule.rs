//! When a balancer begins a watch of the endpoint list, where the settings leave that to it.
//!
//! A watch is begun at start and again once it has failed. The wait doubles after each failed call and is
//! jittered, so that many balancers do not call at once when discovery has recovered. It stays short enough
//! that a call which fails late, the wait after it and the next call together end before a change counts as
//! delivered.

use crate::random::Random;
use crate::time::Timestamp;
use std::time::Duration;

/// The longest wait for the first call.
const MAX_FIRST_WAIT_SECONDS: f64 = 1.0;
/// Share of the poll interval within which the first call is made.
const FIRST_WAIT_SHARE: f64 = 0.1;
/// The longest wait after a failed call.
const MAX_RETRY_WAIT_SECONDS: f64 = 3.0;
/// The longest wait after a failed call, as a share of the poll interval.
const MAX_RETRY_WAIT_SHARE: f64 = 0.8;
/// How often the wait after a failed call doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Share of the poll interval after which a call without any response is repeated.
const UNANSWERED_SHARE: f64 = 0.4;
/// Jitter that is added to [`UNANSWERED_SHARE`].
const UNANSWERED_JITTER: f64 = 0.2;

/// The schedule of one balancer's calls to discovery.
#[derive(Default)]
pub(crate) struct WatchSchedule {
    watching: bool,
    next_call_at: Timestamp,
    consecutive_failures: u32,
}

impl WatchSchedule {
    /// The balancer starts: the first call is due after a short random wait.
    pub(crate) fn start(&mut self, now: Timestamp, poll_interval: Duration, random: &mut Random) {
        let longest = (poll_interval.as_secs_f64() * FIRST_WAIT_SHARE).min(MAX_FIRST_WAIT_SECONDS);
        self.next_call_at = now + longest * random.fraction();
    }

    /// A call failed or the watch broke.
    pub(crate) fn record_failure(&mut self, now: Timestamp, poll_interval: Duration, random: &mut Random) {
        let longest = (poll_interval.as_secs_f64() * MAX_RETRY_WAIT_SHARE).min(MAX_RETRY_WAIT_SECONDS);
        let shortest = longest / f64::from(1u32 << MAX_DOUBLINGS);
        let wait = shortest * f64::from(1u32 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
        self.watching = false;
        self.next_call_at = now + wait * (0.5 + 0.5 * random.fraction());
    }

    /// Discovery has responded: the watch is established.
    pub(crate) fn record_response(&mut self) {
        self.watching = true;
        self.consecutive_failures = 0;
    }

    /// Whether a call is due. If so, the next one is scheduled in case that this one gets no response.
    pub(crate) fn take_due_call(
        &mut self,
        now: Timestamp,
        poll_interval: Duration,
        random: &mut Random,
    ) -> bool {
        if self.watching || now < self.next_call_at {
            return false;
        }
        let wait_share = UNANSWERED_SHARE + UNANSWERED_JITTER * random.fraction();
        self.next_call_at = now + poll_interval.as_secs_f64() * wait_share;
        true
    }
}
