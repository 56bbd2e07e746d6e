//! The requests in flight: admission, attempts, retries, hedged requests and final responses.

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
    /// The upstream may have executed it, by its outcome.
    pub(crate) possibly_executed: bool,
    pub(crate) overdue: bool,
    /// How long its connection had been idle.
    pub(crate) connection_idle_seconds: f64,
}

/// A request that has no final response yet, or has attempts still in flight.
pub(crate) struct Request {
    pub(crate) class: usize,
    /// A response after this time earns nothing.
    pub(crate) useful_until: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    /// It has its final response, or its client has disconnected.
    pub(crate) finished: bool,
    /// Its response has started to stream.
    pub(crate) streaming: bool,
}

impl Request {
    fn new(class: usize, useful_until: Timestamp, deadline: Timestamp) -> Self {
        Self { class, useful_until, deadline, attempts: Vec::new(), finished: false, streaming: false }
    }

    /// Whether an attempt is in flight.
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// An attempt by its index, if it is in flight.
    fn attempt_in_flight(&mut self, index: AttemptIndex) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(index.0)).filter(|attempt| attempt.in_flight)
    }
}

/// When an attempt in flight is looked at as overdue; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueCheck {
    due: Duration,
    request: RequestId,
    attempt: AttemptIndex,
}

/// All requests in flight, and when their attempts become overdue.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: FxHashMap<RequestId, Request>,
    overdue_checks: BTreeSet<OverdueCheck>,
}

impl RequestTable {
    /// Number of entries of state.
    pub(crate) fn entries(&self) -> usize {
        self.requests.len() + self.overdue_checks.len()
    }

    /// Adds a request that was admitted.
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

    /// Notes that the response of a request has started to stream.
    pub(crate) fn record_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    fn schedule_check(&mut self, check: OverdueCheck) {
        self.overdue_checks.insert(check);
    }

    /// Takes out the first check that is due.
    fn pop_due_check(&mut self, now: Duration) -> Option<OverdueCheck> {
        let check = *self.overdue_checks.first().filter(|check| check.due <= now)?;
        self.overdue_checks.remove(&check);
        Some(check)
    }
}
