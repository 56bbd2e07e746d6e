//! The calls to discovery that are open, and the watches that they become once discovery responds.
//!
//! Contains no I/O and no clock: each watch is a task, of which only the handle is kept here.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Age at which a call without a response is given up, unless it is a long call.
const MAX_CALL_AGE: Duration = Duration::from_millis(2000);
/// Age at which a long call without a response is given up. A change counts as delivered (see
/// [`discovery`](crate::discovery)) at the latest 6 s after discovery had it and could be reached, so discovery
/// may take almost that long for a call.
const MAX_LONG_CALL_AGE: Duration = Duration::from_millis(6000);
/// Age at which the oldest call without a response is given up. One such call costs little and is enough to
/// hear from a discovery that takes longer than [`MAX_LONG_CALL_AGE`] for each call.
const MAX_OLDEST_CALL_AGE: Duration = Duration::from_secs(60);
/// Time from the start of one long call to the start of the next. Together with the other times it bounds the
/// file descriptors in use: at intervals of 200 ms, at most 16 calls are open at once.
const LONG_CALL_INTERVAL: Duration = Duration::from_millis(1000);

/// Identifies a call and the watch that it becomes. Later calls have greater ids.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WatchId(u64);

/// What the open calls and watches are doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchState {
    /// No call and no watch is open.
    Idle,
    /// Calls are open, but discovery has responded to none of them.
    Calling,
    /// Discovery has responded, and the watch has not ended.
    Watching,
}

/// A call to discovery, or the watch that it has become.
struct OpenWatch {
    id: WatchId,
    started_at: Instant,
    /// Whether the call stays open up to [`MAX_LONG_CALL_AGE`].
    is_long_call: bool,
    has_response: bool,
    task: AbortHandle,
}

impl OpenWatch {
    /// Returns the age at which the call is given up if it has no response. `oldest` is the oldest such call.
    fn max_age(&self, oldest: Option<WatchId>) -> Duration {
        if Some(self.id) == oldest {
            MAX_OLDEST_CALL_AGE
        } else if self.is_long_call {
            MAX_LONG_CALL_AGE
        } else {
            MAX_CALL_AGE
        }
    }
}

/// All open calls and watches of one discovery client, in the order in which they were started.
#[derive(Default)]
pub struct OpenWatches {
    watches: Vec<OpenWatch>,
    last_id: u64,
}

impl OpenWatches {
    /// Adds a call that starts at `now`. `spawn` starts the task that makes the call with this id.
    pub fn add(&mut self, now: Instant, spawn: impl FnOnce(WatchId) -> AbortHandle) {
        self.last_id += 1;
        let id = WatchId(self.last_id);
        let is_long_call = !self.has_recent_long_call(now);
        let task = spawn(id);
        self.watches.push(OpenWatch { id, started_at: now, is_long_call, has_response: false, task });
    }

    /// Returns whether a long call is open that was started less than [`LONG_CALL_INTERVAL`] ago.
    fn has_recent_long_call(&self, now: Instant) -> bool {
        self.watches.iter().any(|watch| watch.is_long_call && now - watch.started_at < LONG_CALL_INTERVAL)
    }

    /// Returns whether a call has ever been started.
    pub fn has_started(&self) -> bool {
        self.last_id > 0
    }

    /// Returns what the open calls and watches are doing.
    pub fn state(&self) -> WatchState {
        if self.watches.is_empty() {
            WatchState::Idle
        } else if self.watches.iter().any(|watch| watch.has_response) {
            WatchState::Watching
        } else {
            WatchState::Calling
        }
    }

    /// Records that discovery has responded to a call. All other calls are ended, since one watch is enough.
    pub fn record_response(&mut self, id: WatchId) {
        for watch in &mut self.watches {
            if watch.id == id {
                watch.has_response = true;
            }
        }
        self.end_where(|watch| watch.id != id && !watch.has_response);
    }

    /// Removes a watch whose task has ended by itself.
    pub fn remove(&mut self, id: WatchId) {
        self.watches.retain(|watch| watch.id != id);
    }

    /// Ends the calls that have been open for too long without a response, and returns their number.
    ///
    /// A call that is answered late cannot be told from one that will never be answered, because discovery
    /// was down when it was made. So calls are repeated soon, but enough of the earlier ones stay open for an
    /// answer that takes seconds.
    pub fn give_up_calls(&mut self, now: Instant) -> usize {
        let oldest = self.watches.iter().find(|watch| !watch.has_response).map(|watch| watch.id);
        self.end_where(|watch| !watch.has_response && now - watch.started_at >= watch.max_age(oldest))
    }

    /// Ends all calls and watches.
    pub fn end_all(&mut self) {
        self.end_where(|_| true);
    }

    /// Ends the watches for which `is_ended` holds, and returns their number.
    fn end_where(&mut self, is_ended: impl Fn(&OpenWatch) -> bool) -> usize {
        let count_before = self.watches.len();
        self.watches.retain(|watch| {
            let is_ended = is_ended(watch);
            if is_ended {
                watch.task.abort();
            }
            !is_ended
        });
        count_before - self.watches.len()
    }
}
