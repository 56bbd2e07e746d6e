//! Requests in flight: their admission, attempts, retries, hedged requests and final responses.

mod arrival;
mod attempt;
mod hedging;
mod overdue;
mod retry;

pub(crate) use retry::RetryBudget;

use crate::ids::{AttemptIndex, CellId, RequestId, UpstreamId, ZoneId};
use crate::time::Timestamp;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Timestamp,
    pub(crate) in_flight: bool,
    /// Whether the upstream may have executed the request, according to the outcome. `false` while in flight.
    pub(crate) possibly_executed: bool,
    /// Whether a check has found the attempt in flight for longer than most attempts of its class.
    pub(crate) overdue: bool,
    /// Time for which the upstream's connections had been idle when the attempt was sent.
    pub(crate) connection_idle_seconds: f64,
}

/// A request that has no final response yet or still has attempts in flight.
pub(crate) struct Request {
    pub(crate) class: usize,
    /// Time after which a response has no value.
    pub(crate) useful_until: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the request has its final response or its client has disconnected.
    pub(crate) finished: bool,
    /// Whether its response is being streamed.
    pub(crate) streaming: bool,
}

impl Request {
    fn new(class: usize, useful_until: Timestamp, deadline: Timestamp) -> Self {
        Self { class, useful_until, deadline, attempts: Vec::new(), finished: false, streaming: false }
    }

    /// Returns whether an attempt is in flight.
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns the attempt at an index if it is in flight.
    fn attempt_in_flight(&mut self, index: AttemptIndex) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(index.0)).filter(|attempt| attempt.in_flight)
    }
}

/// A scheduled check of whether an attempt is still in flight and thus overdue. Ordered by due time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueCheck {
    /// Due time on the embedder's clock.
    due_at: Duration,
    request: RequestId,
    attempt: AttemptIndex,
}

/// All requests in flight and the scheduled checks of their attempts.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: FxHashMap<RequestId, Request>,
    overdue_checks: BTreeSet<OverdueCheck>,
}

impl RequestTable {
    /// Returns the number of requests and scheduled checks.
    pub(crate) fn state_entry_count(&self) -> usize {
        self.requests.len() + self.overdue_checks.len()
    }

    /// Adds an admitted request.
    fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    /// Records that the response of a request is being streamed.
    pub(crate) fn record_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    fn schedule_check(&mut self, check: OverdueCheck) {
        self.overdue_checks.insert(check);
    }

    /// Removes and returns the earliest check that is due.
    fn pop_due_check(&mut self, now: Duration) -> Option<OverdueCheck> {
        let check = *self.overdue_checks.first().filter(|check| check.due_at <= now)?;
        self.overdue_checks.remove(&check);
        Some(check)
    }
}
