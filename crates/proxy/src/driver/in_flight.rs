//! The requests in flight, their attempts, and the channels to the clients that wait for a response.

use crate::driver::request::{FinalResponse, IncomingRequest};
use balancer_core::{AttemptIndex, RequestId, UpstreamId};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// One attempt of a request.
pub(super) struct Attempt {
    /// The upstream that the attempt is for.
    pub(super) upstream: UpstreamId,
    /// When the attempt was started. Its latency and its timeout count from then, and so include the time to
    /// obtain a connection.
    pub(super) started_at: Instant,
    /// The task that sends the request and waits for the response.
    pub(super) task: AbortHandle,
    /// `true` until the balancer has been notified of the attempt's end.
    pub(super) is_in_flight: bool,
}

/// The sending end of the channel to the client that waits for a final response.
pub(super) struct ResponseSender {
    response: oneshot::Sender<FinalResponse>,
    /// Dropping it tells the attempts that nobody waits for the response any more. An attempt whose request
    /// has not been written completely by then ends.
    abandonment_guard: watch::Sender<()>,
}

impl ResponseSender {
    /// Creates a sender, and the receiver of its response.
    pub(super) fn new() -> (Self, oneshot::Receiver<FinalResponse>) {
        let (response, receiver) = oneshot::channel();
        (Self { response, abandonment_guard: watch::Sender::new(()) }, receiver)
    }

    /// Returns a channel that closes when nobody waits for the response any more. Its `changed()` resolves to
    /// an error once the sender is dropped; no value is ever sent.
    pub(super) fn abandonment(&self) -> watch::Receiver<()> {
        self.abandonment_guard.subscribe()
    }

    /// Sends the final response to the waiting client.
    pub(super) fn send(self, response: FinalResponse) {
        // Fails if the client has just disconnected. Nobody waits for the response in this case.
        let _ = self.response.send(response);
    }
}

/// A request that waits for its final response or still has attempts in flight.
pub(super) struct InFlightRequest {
    /// The request that was submitted to the driver.
    pub(super) incoming: Rc<IncomingRequest>,
    /// `None` once the final response has been sent or the client has disconnected.
    pub(super) response_sender: Option<ResponseSender>,
    attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Returns the index of the next attempt. The index does not wrap, since `Settings::max_attempts` is a
    /// `u8`.
    pub(super) fn next_attempt_index(&self) -> AttemptIndex {
        AttemptIndex(self.attempts.len() as u8)
    }

    /// Adds an attempt under the next index.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Returns the attempt with this index. Returns `None` if there is none, or if the balancer has already
    /// been notified of its end.
    pub(super) fn attempt_in_flight(&mut self, index: AttemptIndex) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(index.0)).filter(|attempt| attempt.is_in_flight)
    }

    fn is_finished(&self) -> bool {
        self.response_sender.is_none() && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// The requests in flight, by id.
#[derive(Default)]
pub(super) struct InFlightRequests {
    requests: FxHashMap<RequestId, InFlightRequest>,
    next_id: u32,
}

impl InFlightRequests {
    /// Adds a request and returns its id. Ids repeat after 2^32 requests; the earlier request with the same
    /// id is assumed to have finished by then.
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

    /// Returns the request with this id if it is in flight.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// Returns the request with this id if it is in flight.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Removes a request if nobody waits for its final response and none of its attempts is in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(InFlightRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}
