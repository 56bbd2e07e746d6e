//! Detection of idle connections that a middlebox has dropped without notice.
//!
//! If attempts on connections that had been idle get no response, while attempts on connections in use do,
//! idle connections are closed before use for a while. If the suspicion is wrong, it costs one handshake per
//! use.

use crate::time::Timestamp;

/// Idle time from which a connection may have been dropped.
const MIN_IDLE_SECONDS: f64 = 0.3;
/// How long the suspicion holds.
const SUSPICION_SECONDS: f64 = 15.0;
/// Weight of the newest attempt in the unanswered shares.
const NEWEST_WEIGHT: f64 = 0.2;
/// Unanswered share of attempts on idle connections above which they are suspected ...
const SUSPICIOUS_SHARE: f64 = 0.3;
/// ... if it also exceeds the unanswered share on connections in use by this factor.
const SUSPICIOUS_RATIO: f64 = 2.0;

/// The shares of unanswered attempts, and what follows from them.
#[derive(Default)]
pub(crate) struct IdleConnections {
    unanswered_share_in_use: f64,
    unanswered_share_idle: f64,
    close_after_seconds: f64,
    suspected_until: Timestamp,
}

impl IdleConnections {
    /// Records whether an attempt got a response; its connection had been idle for `idle_seconds`.
    pub(crate) fn record(&mut self, now: Timestamp, idle_seconds: f64, answered: bool) {
        let was_idle = idle_seconds > MIN_IDLE_SECONDS;
        let share =
            if was_idle { &mut self.unanswered_share_idle } else { &mut self.unanswered_share_in_use };
        *share += NEWEST_WEIGHT * (f64::from(u8::from(!answered)) - *share);
        if !answered && was_idle && self.unanswered_share_idle > SUSPICIOUS_SHARE && self.idle_is_worse() {
            let previous = if now < self.suspected_until { self.close_after_seconds } else { f64::INFINITY };
            self.close_after_seconds = previous.min(idle_seconds / 2.0).max(MIN_IDLE_SECONDS);
            self.suspected_until = now + SUSPICION_SECONDS;
        }
    }

    /// Whether a connection that has been idle for `idle_seconds` should be closed instead of used.
    pub(crate) fn should_close(&self, now: Timestamp, idle_seconds: f64) -> bool {
        idle_seconds > self.close_after_seconds && now < self.suspected_until && self.idle_is_worse()
    }

    fn idle_is_worse(&self) -> bool {
        self.unanswered_share_idle > SUSPICIOUS_RATIO * self.unanswered_share_in_use
    }
}
