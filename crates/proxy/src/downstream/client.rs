//! The state of one client connection, its timeouts and its priority for eviction.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

#[cfg(test)]
mod tests;

/// Time for a complete request, from the accepted connection or from a later request's first byte.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to [`READ_TIMEOUT`] once a head has arrived, so that the client gets the 408 before the connection
/// ends.
const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// How long a connection may stay open between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// How often the timeouts are checked. A new connection is checked at its timeout only.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A request that is incomplete for longer than this, counted as for [`READ_TIMEOUT`], is stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// A connection that is idle for longer than this is evicted before one that has just begun a request.
const LONG_IDLE_THRESHOLD: Duration = Duration::from_secs(2);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// No valid request has arrived yet.
    New,
    /// The head of a request has arrived, the rest of it has not.
    Reading,
    /// A complete request waits for its response.
    AwaitingResponse,
    /// The response to the last request was handed to the connection.
    Idle,
}

/// Orders connections by how little is lost with them; the smallest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    rank: EvictionRank,
    /// When the connection was accepted, began its request or fell idle.
    since: Instant,
}

/// What a connection is doing, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No complete request in [`STALL_THRESHOLD`].
    Stalled,
    /// Nothing received in [`LONG_IDLE_THRESHOLD`] since the last response.
    LongIdle,
    /// Accepted, or began a request, within [`STALL_THRESHOLD`].
    Reading,
    /// Between two requests for at most [`LONG_IDLE_THRESHOLD`].
    RecentlyIdle,
}

/// One client connection.
pub struct Client {
    state: Cell<ClientState>,
    /// Whether a valid request has ever arrived.
    has_sent_valid_request: Cell<bool>,
    /// When the connection was accepted; from the first valid request on, when the last response was ready.
    last_active_at: Cell<Instant>,
    /// When the request that is being read began.
    request_started_at: Cell<Option<Instant>>,
    /// Whether the last request has a response that may not have been written yet.
    has_response: Cell<bool>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

impl Client {
    /// A connection that has just been accepted.
    pub fn new() -> Self {
        Self {
            state: Cell::new(ClientState::New),
            has_sent_valid_request: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
            request_started_at: Cell::new(None),
            has_response: Cell::new(false),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        }
    }

    /// What the connection is doing.
    pub fn state(&self) -> ClientState {
        self.state.get()
    }

    /// Notes that bytes have arrived.
    pub fn bytes_received(&self) {
        if self.state.get() == ClientState::Idle && self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Notes that the head of a request has arrived. Returns when the request has to be complete.
    pub fn head_received(&self) -> Instant {
        self.has_response.set(false);
        let first_byte_at = self.request_started_at.take().unwrap_or_else(Instant::now);
        let previous_state = self.state.replace(ClientState::Reading);
        let started_at =
            if previous_state == ClientState::New { self.last_active_at.get() } else { first_byte_at };
        self.request_started_at.set(Some(started_at));
        started_at + READ_TIMEOUT
    }

    /// Notes that a request is complete and valid.
    pub fn request_received(&self) {
        self.request_started_at.set(None);
        self.state.set(ClientState::AwaitingResponse);
    }

    /// Notes that the response is ready to be written. A client that has only sent invalid requests stays
    /// new: its time for the first valid one goes on.
    pub fn response_ready(&self) {
        self.has_response.set(true);
        self.request_started_at.set(None);
        if self.state.get() == ClientState::AwaitingResponse {
            self.has_sent_valid_request.set(true);
        }
        if self.has_sent_valid_request.get() {
            self.state.set(ClientState::Idle);
            self.last_active_at.set(Instant::now());
        } else {
            self.state.set(ClientState::New);
        }
    }

    /// Whether the last request whose head has arrived has a response. It may not have been written yet.
    pub fn has_response(&self) -> bool {
        self.has_response.get()
    }

    /// Waits until the connection is evicted or has timed out.
    pub async fn wait_until_must_close(&self) {
        tokio::select! {
            () = self.eviction.notified() => (),
            () = self.timed_out() => (),
        }
    }

    /// Has the connection close, to make room for another one.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.eviction.notify_one();
    }

    /// The connection's priority for eviction; `None` if it must not be evicted, or already is.
    pub fn eviction_priority(&self, now: Instant) -> Option<EvictionPriority> {
        if self.is_evicted.get() {
            return None;
        }
        let request_started_at = self.request_started_at.get();
        let since = request_started_at.unwrap_or_else(|| self.last_active_at.get());
        let age = now.saturating_duration_since(since);
        let is_reading = match self.state.get() {
            ClientState::New | ClientState::Reading => true,
            ClientState::Idle => request_started_at.is_some(),
            ClientState::AwaitingResponse => return None,
        };
        let rank = if is_reading {
            if age > STALL_THRESHOLD { EvictionRank::Stalled } else { EvictionRank::Reading }
        } else if age > LONG_IDLE_THRESHOLD {
            EvictionRank::LongIdle
        } else {
            EvictionRank::RecentlyIdle
        };
        Some(EvictionPriority { rank, since })
    }

    /// When the connection times out in its present state; `None` if it waits for this balancer.
    fn timeout_at(&self) -> Option<Instant> {
        match (self.state.get(), self.request_started_at.get()) {
            (ClientState::New, _) => Some(self.last_active_at.get() + READ_TIMEOUT),
            (ClientState::Reading, Some(started_at)) => {
                Some(started_at + READ_TIMEOUT + TIMEOUT_RESPONSE_GRACE)
            }
            (ClientState::Idle, Some(started_at)) => Some(started_at + READ_TIMEOUT),
            (ClientState::Idle, None) => Some(self.last_active_at.get() + IDLE_TIMEOUT),
            (ClientState::Reading, None) | (ClientState::AwaitingResponse, _) => None,
        }
    }

    async fn timed_out(&self) {
        loop {
            let now = Instant::now();
            let timeout_at = self.timeout_at();
            if timeout_at.is_some_and(|timeout_at| timeout_at <= now) {
                return;
            }
            // A request may begin at any time, and changes the timeout.
            let next_check = now + TIMEOUT_CHECK_INTERVAL;
            let wake_at = match timeout_at {
                Some(timeout_at) if self.state.get() == ClientState::New => timeout_at,
                Some(timeout_at) => timeout_at.min(next_check),
                None => next_check,
            };
            sleep_until(wake_at).await;
        }
    }
}
