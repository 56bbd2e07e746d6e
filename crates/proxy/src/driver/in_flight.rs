//! The requests in flight, with their attempts and the clients that wait for them.

use crate::driver::request::{FinalResponse, IncomingRequest};
use balancer_core::{AttemptIndex, RequestId, UpstreamId};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// One attempt of a request.
pub(super) struct Attempt {
    /// Where it was sent.
    pub(super) upstream: UpstreamId,
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// The task that sends it and waits for the response.
    pub(super) task: AbortHandle,
    /// The balancer has not been notified of its end.
    pub(super) is_in_flight: bool,
}

/// Sends the final response to the client that waits for it.
pub(super) struct ResponseSender {
    response: oneshot::Sender<FinalResponse>,
    /// Dropping it tells the attempts that nobody waits any more: a request that has not been sent completely
    /// by then is not sent.
    abandonment_guard: watch::Sender<()>,
}

impl ResponseSender {
    /// A sender, and where its response arrives.
    pub(super) fn new() -> (Self, oneshot::Receiver<FinalResponse>) {
        let (response, receiver) = oneshot::channel();
        (Self { response, abandonment_guard: watch::Sender::new(()) }, receiver)
    }

    /// A channel that closes when nobody waits for the response any more. Its `changed()` resolves with an
    /// error once the sender is dropped; no value is ever sent.
    pub(super) fn abandonment(&self) -> watch::Receiver<()> {
        self.abandonment_guard.subscribe()
    }

    /// Sends the final response.
    pub(super) fn send(self, response: FinalResponse) {
        // Fails if the client has just disconnected: nobody waits for the response then.
        let _ = self.response.send(response);
    }
}

/// A request that waits for its final response or still has attempts in flight.
pub(super) struct InFlightRequest {
    /// The request.
    pub(super) incoming: Rc<IncomingRequest>,
    /// Taken with the final response, or when the client disconnects.
    pub(super) response_sender: Option<ResponseSender>,
    attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// The index that the next attempt gets. `Settings::max_attempts` is a `u8`, so the index does not wrap.
    pub(super) fn next_attempt(&self) -> AttemptIndex {
        AttemptIndex(self.attempts.len() as u8)
    }

    /// Adds the next attempt.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// An attempt of whose end the balancer has not been notified; `None` if there is none of this index.
    pub(super) fn attempt_in_flight(&mut self, index: AttemptIndex) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(index.0)).filter(|attempt| attempt.is_in_flight)
    }

    fn is_finished(&self) -> bool {
        self.response_sender.is_none() && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// All requests in flight.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: FxHashMap<RequestId, InFlightRequest>,
    next_id: u32,
}

impl InFlightRequests {
    /// Adds a request and gives it an id. Ids repeat after 2^32 requests; the earlier request with the same
    /// id is taken to have finished by then.
    pub(super) fn insert(&mut self, incoming: IncomingRequest, response_sender: ResponseSender) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let request = InFlightRequest {
            incoming: Rc::new(incoming),
            response_sender: Some(response_sender),
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        id
    }

    /// The request with this id, if it is in flight.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// The request with this id, if it is in flight.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request that nobody waits for and that has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(InFlightRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}
