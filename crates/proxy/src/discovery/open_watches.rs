//! The calls to discovery that are open, and the watches that they become once discovery responds.
//!
//! Contains no I/O and no clock: each watch is a task, of which only the handle is kept here.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time after which a call without a response is given up.
const MAX_CALL_AGE: Duration = Duration::from_millis(2000);

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
    has_response: bool,
    task: AbortHandle,
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
        self.watches.push(OpenWatch { id, started_at: now, has_response: false, task: spawn(id) });
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
    pub fn give_up_calls(&mut self, now: Instant) -> usize {
        self.end_where(|watch| !watch.has_response && now - watch.started_at >= MAX_CALL_AGE)
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
