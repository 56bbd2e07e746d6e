//! Detection of idle connections that a middlebox, such as a firewall or NAT gateway, has silently dropped.
//!
//! If attempts on previously idle connections get no response while attempts on connections in use do, idle
//! connections are closed for some time instead of being used. A false detection costs one handshake per
//! attempt that would have used an idle connection.

use crate::time::Timestamp;

/// Minimum idle time after which a connection may have been dropped.
const MIN_IDLE_SECONDS: f64 = 0.3;
/// Time after the latest sign of a drop during which idle connections are closed instead of used.
const SUSPICION_SECONDS: f64 = 15.0;
/// Weight of the newest attempt in the moving averages of unanswered attempts.
const NEWEST_ATTEMPT_WEIGHT: f64 = 0.2;
/// Share of unanswered attempts on idle connections above which drops are suspected.
const SUSPICIOUS_UNANSWERED_SHARE: f64 = 0.3;
/// Ratio of the unanswered share on idle connections to the one on connections in use above which drops are
/// suspected. Both this limit and [`SUSPICIOUS_UNANSWERED_SHARE`] must be exceeded.
const SUSPICIOUS_IDLE_TO_IN_USE_RATIO: f64 = 2.0;

/// Detector of dropped idle connections. It covers the connections to all upstreams together.
#[derive(Default)]
pub(crate) struct IdleDropDetector {
    /// Smoothed share of the attempts without a response on connections that had been in use.
    unanswered_share_in_use: f64,
    /// Smoothed share of the attempts without a response on connections that had been idle.
    unanswered_share_idle: f64,
    /// Idle time after which a connection is closed while drops are suspected.
    close_after_seconds: f64,
    drops_suspected_until: Timestamp,
}

impl IdleDropDetector {
    /// Records whether an attempt got a response. Its connection had been idle for `idle_seconds` before.
    pub(crate) fn record(&mut self, now: Timestamp, idle_seconds: f64, answered: bool) {
        let was_idle = idle_seconds > MIN_IDLE_SECONDS;
        let share =
            if was_idle { &mut self.unanswered_share_idle } else { &mut self.unanswered_share_in_use };
        *share += NEWEST_ATTEMPT_WEIGHT * (f64::from(u8::from(!answered)) - *share);
        if !answered
            && was_idle
            && self.unanswered_share_idle > SUSPICIOUS_UNANSWERED_SHARE
            && self.idle_is_answered_less()
        {
            let previous_seconds =
                if now < self.drops_suspected_until { self.close_after_seconds } else { f64::INFINITY };
            self.close_after_seconds = previous_seconds.min(idle_seconds / 2.0).max(MIN_IDLE_SECONDS);
            self.drops_suspected_until = now + SUSPICION_SECONDS;
        }
    }

    /// Returns whether a connection that has been idle for `idle_seconds` should be closed instead of used.
    pub(crate) fn should_close(&self, now: Timestamp, idle_seconds: f64) -> bool {
        idle_seconds > self.close_after_seconds
            && now < self.drops_suspected_until
            && self.idle_is_answered_less()
    }

    fn idle_is_answered_less(&self) -> bool {
        self.unanswered_share_idle > SUSPICIOUS_IDLE_TO_IN_USE_RATIO * self.unanswered_share_in_use
    }
}
