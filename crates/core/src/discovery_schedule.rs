//! When the list of upstreams is asked for, where the settings say that it has to be.
//!
//! A watch is begun at start and again once it has failed. Waits after failed calls double and are
//! jittered, so that many balancers whose discovery was down do not call all at once when it is back.
//! They stay short enough that a call which fails late, the wait after it and the next call together are
//! over before a change counts as told.

use crate::stats::Chance;
use std::time::Duration;

/// The longest wait for the first call, in seconds.
const FIRST_WAIT_MOST: f64 = 1.0;
/// Part of the settings' interval within which the first call is made.
const FIRST_WAIT_PART: f64 = 0.1;
/// The longest wait for the next call after one in vain, in seconds, and as a part of the settings'
/// interval.
const RETRY_WAIT_MOST: f64 = 3.0;
const RETRY_WAIT_PART: f64 = 0.8;
/// How often the wait doubles at most.
const DOUBLINGS_MOST: u32 = 4;
/// Part of the settings' interval after which a call without any answer is made again, and its jitter.
const UNANSWERED_PART: f64 = 0.4;
const UNANSWERED_JITTER: f64 = 0.2;

/// The schedule of one balancer's calls to discovery. Times are seconds.
#[derive(Default)]
pub(crate) struct DiscoverySchedule {
    watching: bool,
    call_at: f64,
    failures: u32,
}

impl DiscoverySchedule {
    /// The balancer starts at `now`: the first call falls due after a short random wait.
    pub(crate) fn start(&mut self, now: f64, poll_interval: Duration, rng: &mut Chance) {
        let longest = (poll_interval.as_secs_f64() * FIRST_WAIT_PART).min(FIRST_WAIT_MOST);
        self.call_at = now + longest * rng.f64();
    }

    /// A call failed or the watch broke.
    pub(crate) fn failed(&mut self, now: f64, poll_interval: Duration, rng: &mut Chance) {
        let longest = (poll_interval.as_secs_f64() * RETRY_WAIT_PART).min(RETRY_WAIT_MOST);
        let shortest = longest / f64::from(1u32 << DOUBLINGS_MOST);
        let wait = shortest * f64::from(1u32 << self.failures.min(DOUBLINGS_MOST));
        self.failures += 1;
        self.watching = false;
        self.call_at = now + wait * (0.5 + 0.5 * rng.f64());
    }

    /// Discovery has answered: the watch stands.
    pub(crate) fn answered(&mut self) {
        self.watching = true;
        self.failures = 0;
    }

    /// Whether a call is due; if so, the next one is planned in case that it has no answer.
    pub(crate) fn is_due(&mut self, now: f64, poll_interval: Duration, rng: &mut Chance) -> bool {
        if self.watching || now < self.call_at {
            return false;
        }
        let wait = UNANSWERED_PART + UNANSWERED_JITTER * rng.f64();
        self.call_at = now + poll_interval.as_secs_f64() * wait;
        true
    }
}
