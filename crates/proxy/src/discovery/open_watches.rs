//! The calls to discovery that are open, and the watches that they become once discovery responds.
//!
//! Contains no I/O and no clock: each watch is a task, of which only the handle is kept here.

#[cfg(test)]
mod tests;

use std::ops::AddAssign;
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
/// Time from the start of one long call to the start of the next.
const LONG_CALL_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of open calls, which bounds the file descriptors in use. It is more than the number of long
/// calls to one address, and leaves out no call that is started 200 ms after the one before it.
const MAX_OPEN_CALLS: usize = 16;

/// Identifies a call and the watch that it becomes. Later calls have greater ids.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WatchId(u64);

/// Number of the discovery address that a call was made to. Later addresses have greater numbers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Epoch(u64);

/// What the open calls and watches at the current address of discovery are doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchState {
    /// No call and no watch is open.
    Idle,
    /// Calls are open, but discovery has responded to none of them.
    Calling,
    /// Discovery has responded, and the watch has not ended.
    Watching,
}

/// The calls that were given up because they had no response.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct CallsGivenUp {
    /// Number of calls given up.
    pub count: u64,
    /// Number of those that had no response and had not been overdue before.
    pub not_overdue: u64,
}

impl AddAssign for CallsGivenUp {
    fn add_assign(&mut self, other: Self) {
        self.count += other.count;
        self.not_overdue += other.not_overdue;
    }
}

/// How far a call has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The head of the response has not arrived.
    Calling,
    /// The head of the response has arrived, but none of its body.
    Responded,
    /// As [`Stage::Responded`], for so long that another call is needed.
    Silent,
    /// A part of the body has arrived.
    Receiving,
}

/// A call to discovery, or the watch that it has become.
struct OpenWatch {
    id: WatchId,
    epoch: Epoch,
    started_at: Instant,
    /// Whether the call stays open up to [`MAX_LONG_CALL_AGE`].
    is_long_call: bool,
    /// Whether the call had no response in time.
    is_overdue: bool,
    /// Whether the balancer knows that it needs another call in place of this one.
    is_failure_reported: bool,
    stage: Stage,
    task: AbortHandle,
}

impl OpenWatch {
    /// Returns whether discovery keeps the call waiting.
    fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Calling | Stage::Silent)
    }

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
    epoch: Epoch,
}

impl OpenWatches {
    /// Adds a call that starts at `now`. `spawn` starts the task that makes the call with this id.
    pub fn add(&mut self, now: Instant, spawn: impl FnOnce(WatchId) -> AbortHandle) {
        self.last_id += 1;
        let id = WatchId(self.last_id);
        let is_long_call = !self.has_recent_long_call(now);
        let task = spawn(id);
        self.watches.push(OpenWatch {
            id,
            epoch: self.epoch,
            started_at: now,
            is_long_call,
            is_overdue: false,
            is_failure_reported: false,
            stage: Stage::Calling,
            task,
        });
    }

    /// Returns whether a long call at the current address is open that was started less than
    /// [`LONG_CALL_INTERVAL`] ago.
    fn has_recent_long_call(&self, now: Instant) -> bool {
        let mut long_calls = self.calls().filter(|call| call.is_long_call && call.epoch == self.epoch);
        long_calls.any(|call| now - call.started_at < LONG_CALL_INTERVAL)
    }

    /// Returns whether a call has ever been started.
    pub fn has_started(&self) -> bool {
        self.last_id > 0
    }

    /// Lets later calls belong to a new address of discovery. The calls and watches at earlier addresses stay
    /// open until discovery responds at a later one: it may be slow, or be moved again before it responds.
    pub fn start_epoch(&mut self) {
        self.epoch = Epoch(self.epoch.0 + 1);
    }

    /// Returns what the open calls and watches at the current address are doing.
    pub fn state(&self) -> WatchState {
        let mut state = WatchState::Idle;
        for watch in self.watches.iter().filter(|watch| watch.epoch == self.epoch) {
            if !watch.is_waiting() {
                return WatchState::Watching;
            }
            state = WatchState::Calling;
        }
        state
    }

    /// Records that the head of the response to a call has arrived. The other calls to the same address are
    /// ended, since one watch is enough.
    pub fn record_response(&mut self, id: WatchId) {
        let Some(watch) = self.get_mut(id) else { return };
        watch.stage = Stage::Responded;
        watch.is_failure_reported = false;
        let epoch = watch.epoch;
        self.end_where(|watch| watch.id != id && watch.epoch == epoch && watch.stage == Stage::Calling);
    }

    /// Records that nothing of the body of a response has arrived in time. Returns whether another call is
    /// needed: not if a later one is open.
    pub fn record_silence(&mut self, id: WatchId) -> bool {
        let needs_another_call = self.is_latest(id);
        if let Some(watch) = self.get_mut(id) {
            watch.stage = Stage::Silent;
            watch.is_failure_reported = needs_another_call;
        }
        needs_another_call
    }

    /// Records that a part of the body of a response has arrived. All other calls and watches are ended,
    /// except for those at later addresses: nothing that an earlier address sends may override what a later
    /// one has sent.
    pub fn record_data(&mut self, id: WatchId) {
        let Some(watch) = self.get_mut(id) else { return };
        if watch.stage == Stage::Receiving {
            return;
        }
        watch.stage = Stage::Receiving;
        watch.is_failure_reported = false;
        let epoch = watch.epoch;
        self.end_where(|watch| watch.id != id && watch.epoch <= epoch);
    }

    /// Records that the balancer has got an update of the endpoint list. It takes the watch for established
    /// then, and has to be told of later failures.
    pub fn record_update(&mut self) {
        for watch in &mut self.watches {
            watch.is_failure_reported = false;
        }
    }

    fn get_mut(&mut self, id: WatchId) -> Option<&mut OpenWatch> {
        self.watches.iter_mut().find(|watch| watch.id == id)
    }

    /// Records that a call had no response in time. Returns whether another call is needed: not if a later one
    /// is open.
    pub fn record_overdue(&mut self, id: WatchId) -> bool {
        let needs_another_call = self.is_latest(id);
        if let Some(watch) = self.get_mut(id) {
            watch.is_overdue = true;
            watch.is_failure_reported = needs_another_call;
        }
        needs_another_call
    }

    /// Returns whether a call had no response in time.
    pub fn is_overdue(&self, id: WatchId) -> bool {
        self.watches.iter().any(|watch| watch.id == id && watch.is_overdue)
    }

    /// Removes a watch whose task has ended by itself. Returns whether another call is needed: not if a later
    /// one is open, and not if the balancer knows already.
    pub fn remove(&mut self, id: WatchId) -> bool {
        let is_known = self.get_mut(id).is_none_or(|watch| watch.is_failure_reported);
        let needs_another_call = self.is_latest(id) && !is_known;
        self.watches.retain(|watch| watch.id != id);
        needs_another_call
    }

    /// Returns whether a call or watch is the latest of those that are open.
    fn is_latest(&self, id: WatchId) -> bool {
        self.watches.last().is_some_and(|latest| latest.id == id)
    }

    /// Ends the calls that have been open for too long without a response, and others if there are too many for
    /// another one.
    ///
    /// A call that is answered late cannot be told from one that will never be answered, because discovery
    /// was down when it was made. So calls are repeated soon, but enough of the earlier ones stay open for an
    /// answer that takes seconds.
    pub fn give_up_calls(&mut self, now: Instant) -> CallsGivenUp {
        let mut given_up = self.end_old_calls(now);
        while self.calls().count() >= MAX_OPEN_CALLS {
            let Some(id) = self.least_useful_call() else { break };
            given_up += self.end_where(|watch| watch.id == id);
        }
        given_up
    }

    fn end_old_calls(&mut self, now: Instant) -> CallsGivenUp {
        let oldest = self.calls().find(|call| call.epoch == self.epoch).map(|call| call.id);
        self.end_where(|watch| watch.is_waiting() && now - watch.started_at >= watch.max_age(oldest))
    }

    /// Returns the oldest short call. If there is none, returns the oldest call at an earlier address.
    fn least_useful_call(&self) -> Option<WatchId> {
        let short_call = self.calls().find(|call| !call.is_long_call);
        let call = short_call.or_else(|| self.calls().find(|call| call.epoch < self.epoch));
        call.map(|call| call.id)
    }

    /// Returns the calls that discovery keeps waiting, the oldest first.
    fn calls(&self) -> impl Iterator<Item = &OpenWatch> {
        self.watches.iter().filter(|watch| watch.is_waiting())
    }

    /// Ends the calls and watches for which `is_ended` holds.
    fn end_where(&mut self, is_ended: impl Fn(&OpenWatch) -> bool) -> CallsGivenUp {
        let mut ended = CallsGivenUp::default();
        self.watches.retain(|watch| {
            if !is_ended(watch) {
                return true;
            }
            watch.task.abort();
            ended.count += 1;
            ended.not_overdue += u64::from(watch.stage == Stage::Calling && !watch.is_overdue);
            false
        });
        ended
    }
}
