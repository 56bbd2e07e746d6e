//! Detection of idle connections that something on the way drops without a sign.
//!
//! Attempts that are never answered on connections that had been idle, while those on connections in use
//! are answered, are laid to the way there: such connections are closed before use. Where that is wrong
//! it costs a handshake a use, for a while.

/// Seconds of idleness from which on a connection may have been dropped.
const IDLE: f64 = 0.3;
/// Seconds for which the suspicion is held.
const SUSPECTED_FOR: f64 = 15.0;
/// Weight of the newest attempt in the shares of those never answered.
const NEWEST: f64 = 0.2;
/// Share of attempts on idle connections never answered that is suspicious, if it is also so many times
/// the share on connections in use.
const SILENT_SHARE: f64 = 0.3;
const SILENT_RATIO: f64 = 2.0;

/// What is known of silent attempts by the idleness of their connections. Times are seconds.
#[derive(Default)]
pub(crate) struct StaleConnections {
    silent_in_use: f64,
    silent_idle: f64,
    closed_after: f64,
    suspected_until: f64,
}

impl StaleConnections {
    /// An attempt on a connection that had been `idle` was answered, or not.
    pub(crate) fn learn(&mut self, now: f64, idle: f64, answered: bool) {
        let share = if idle > IDLE { &mut self.silent_idle } else { &mut self.silent_in_use };
        *share += NEWEST * (f64::from(u8::from(!answered)) - *share);
        if !answered && idle > IDLE && self.silent_idle > SILENT_SHARE && self.idle_is_worse() {
            let before = if now < self.suspected_until { self.closed_after } else { f64::INFINITY };
            self.closed_after = before.min(idle / 2.0).max(IDLE);
            self.suspected_until = now + SUSPECTED_FOR;
        }
    }

    /// Whether a connection that has been `idle` is better closed than used.
    pub(crate) fn may_be_dead(&self, now: f64, idle: f64) -> bool {
        idle > self.closed_after && now < self.suspected_until && self.idle_is_worse()
    }

    fn idle_is_worse(&self) -> bool {
        self.silent_idle > SILENT_RATIO * self.silent_in_use
    }
}
