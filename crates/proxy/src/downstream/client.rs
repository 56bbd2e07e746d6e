//! Tracks the state of a client connection, from which its timeouts and its eviction priority follow.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

#[cfg(test)]
mod tests;

/// Time in which a request has to be complete. It counts from the first byte of the request or, until a valid
/// request has been answered on the connection, from the acceptance of the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to [`READ_TIMEOUT`] once a head has arrived, so that the client gets the response 408 before the
/// connection is closed.
const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// How long a connection may stay idle between two requests before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the timeouts are checked. A new connection is checked only when its timeout expires.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A request that is still incomplete after this time is stalled. The time counts from the same moment as
/// [`READ_TIMEOUT`].
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// A connection that has been idle for longer than this is evicted before one that has recently started a
/// request.
const LONG_IDLE_THRESHOLD: Duration = Duration::from_secs(2);

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// No valid request has arrived yet.
    New,
    /// The head of a request has arrived, and its body is being read.
    Reading,
    /// A complete and valid request awaits its response.
    AwaitingResponse,
    /// The response to the last request is ready, and the head of the next one has not arrived.
    Idle,
}

/// Orders connections by how much is lost if they are closed. The one with the smallest value is evicted
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    rank: EvictionRank,
    /// When the connection was accepted, started its request or became idle. Within a rank, the connection
    /// with the earliest time is evicted first.
    since: Instant,
}

/// The ranks of connections that may be evicted, in the order of their eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The connection was accepted, or its request started, more than [`STALL_THRESHOLD`] ago, and no
    /// complete and valid request has arrived since.
    Stalled,
    /// Nothing has arrived since the last response, which was ready more than [`LONG_IDLE_THRESHOLD`] ago.
    LongIdle,
    /// The connection was accepted, or its request started, at most [`STALL_THRESHOLD`] ago, and no
    /// complete and valid request has arrived since.
    Reading,
    /// Nothing has arrived since the last response, which was ready at most [`LONG_IDLE_THRESHOLD`] ago.
    RecentlyIdle,
}

/// One client connection: its state, and the times on which its timeouts and its eviction depend. It is
/// shared by the connection's socket, its requests and the listener.
pub struct Client {
    state: Cell<ClientState>,
    /// Whether a valid request has been answered on this connection.
    has_completed_valid_request: Cell<bool>,
    /// When the last response was ready or, until the first valid request has been answered, when the
    /// connection was accepted.
    last_active_at: Cell<Instant>,
    /// When the first byte of the request that is being read arrived or, before any valid request, when the
    /// connection was accepted. `None` if no request is being read, and always in state [`ClientState::New`].
    request_started_at: Cell<Option<Instant>>,
    /// Whether the response to the last request is ready. It may not have been written yet.
    has_response: Cell<bool>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

impl Client {
    /// Creates a client whose connection has just been accepted.
    pub fn new() -> Self {
        Self {
            state: Cell::new(ClientState::New),
            has_completed_valid_request: Cell::new(false),
            last_active_at: Cell::new(Instant::now()),
            request_started_at: Cell::new(None),
            has_response: Cell::new(false),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        }
    }

    /// Returns the current state of the connection.
    pub fn state(&self) -> ClientState {
        self.state.get()
    }

    /// Records that bytes have arrived.
    pub fn on_bytes_received(&self) {
        if self.state.get() == ClientState::Idle && self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Records that the head of a request has arrived. Returns the deadline by which the request has to be
    /// complete.
    pub fn on_head_received(&self) -> Instant {
        self.has_response.set(false);
        let first_byte_at = self.request_started_at.take().unwrap_or_else(Instant::now);
        let previous_state = self.state.replace(ClientState::Reading);
        let started_at =
            if previous_state == ClientState::New { self.last_active_at.get() } else { first_byte_at };
        self.request_started_at.set(Some(started_at));
        started_at + READ_TIMEOUT
    }

    /// Records that a request is complete and valid.
    pub fn on_request_received(&self) {
        self.request_started_at.set(None);
        self.state.set(ClientState::AwaitingResponse);
    }

    /// Records that the response to the last request is ready to be written. A connection on which only
    /// invalid requests have arrived returns to [`ClientState::New`], and its timeout for the first valid
    /// request keeps running.
    pub fn on_response_ready(&self) {
        self.has_response.set(true);
        self.request_started_at.set(None);
        if self.state.get() == ClientState::AwaitingResponse {
            self.has_completed_valid_request.set(true);
        }
        if self.has_completed_valid_request.get() {
            self.state.set(ClientState::Idle);
            self.last_active_at.set(Instant::now());
        } else {
            self.state.set(ClientState::New);
        }
    }

    /// Returns whether the response to the last request whose head has arrived is ready. It may not have been
    /// written yet.
    pub fn has_response(&self) -> bool {
        self.has_response.get()
    }

    /// Waits until the connection is evicted or times out.
    pub async fn evicted_or_timed_out(&self) {
        tokio::select! {
            () = self.eviction.notified() => (),
            () = self.timed_out() => (),
        }
    }

    /// Causes the connection to be closed: after the response if a request awaits one, and otherwise at once.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.eviction.notify_one();
    }

    /// Returns the connection's eviction priority, or `None` if it must not be evicted or has already been
    /// evicted.
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

    /// Returns when the connection times out if its state does not change, or `None` if the client waits for
    /// the proxy.
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

    /// Waits until the connection times out.
    async fn timed_out(&self) {
        loop {
            let now = Instant::now();
            let timeout_at = self.timeout_at();
            if timeout_at.is_some_and(|timeout_at| timeout_at <= now) {
                return;
            }
            // A request may start at any time and change the timeout, so it is computed again at each check.
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
