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
/// A client that has taken nothing of a response for longer than this reads slowly.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(250);

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

impl EvictionPriority {
    /// Returns whether the connection has started a request so recently that the request may have arrived
    /// completely without having been read.
    pub fn is_reading(&self) -> bool {
        self.rank == EvictionRank::Reading
    }
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
    /// Since when the next bytes of the request are not read because the budget for requests is exhausted.
    waiting_for_memory_since: Cell<Option<Instant>>,
    /// When bytes were last read from the connection.
    last_received_at: Cell<Instant>,
    /// When a write of the response began to wait for the client. `None` if no write waits.
    write_blocked_at: Cell<Option<Instant>>,
    is_evicted: Cell<bool>,
    /// Whether the connection is closed without waiting for the end of its response.
    is_evicted_at_once: Cell<bool>,
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
            waiting_for_memory_since: Cell::new(None),
            last_received_at: Cell::new(Instant::now()),
            write_blocked_at: Cell::new(None),
            is_evicted: Cell::new(false),
            is_evicted_at_once: Cell::new(false),
            eviction: Notify::new(),
        }
    }

    /// Returns the current state of the connection.
    pub fn state(&self) -> ClientState {
        self.state.get()
    }

    /// Records that bytes have arrived.
    pub fn on_bytes_received(&self) {
        self.last_received_at.set(Instant::now());
        if self.state.get() == ClientState::Idle && self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Returns whether the next bytes belong to the head of a request.
    pub fn is_receiving_head(&self) -> bool {
        matches!(self.state.get(), ClientState::New | ClientState::Idle)
    }

    /// Records whether the proxy leaves the next bytes of the request unread for lack of memory. The client is
    /// not stalled then, and the wait does not count against it afterwards.
    pub fn set_waiting_for_memory(&self, is_waiting: bool) {
        match (is_waiting, self.waiting_for_memory_since.get()) {
            (true, None) => self.waiting_for_memory_since.set(Some(Instant::now())),
            (false, Some(since)) => {
                self.waiting_for_memory_since.set(None);
                let started_at = self.request_started_at.get();
                self.request_started_at.set(started_at.map(|started_at| started_at + since.elapsed()));
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Waits for a reservation of memory.
    pub async fn wait_for_memory<T>(&self, reservation: impl Future<Output = T>) -> T {
        self.set_waiting_for_memory(true);
        let reservation = reservation.await;
        self.set_waiting_for_memory(false);
        reservation
    }

    /// Records that bytes of a response were written, or that a write waits for the client.
    pub fn on_write(&self, is_blocked: bool) {
        let blocked_at = is_blocked.then(|| self.write_blocked_at.get().unwrap_or_else(Instant::now));
        self.write_blocked_at.set(blocked_at);
    }

    /// Returns whether a write of a response waits for the client.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_at.get().is_some()
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

    /// Causes the connection to be closed without waiting for the client to read its response.
    pub fn evict_at_once(&self) {
        self.is_evicted_at_once.set(true);
        self.evict();
    }

    /// Returns whether the connection has to be closed without waiting for the end of its response.
    pub fn is_evicted_at_once(&self) -> bool {
        self.is_evicted_at_once.get()
    }

    /// Returns when the last byte of an unfinished request arrived, if that is more than [`STALL_THRESHOLD`]
    /// ago. `None` if the client has not stalled or must not be evicted.
    pub fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let priority = self.eviction_priority(now)?;
        let received_at = self.last_received_at.get();
        let has_stalled = priority.rank == EvictionRank::Stalled
            && now.saturating_duration_since(received_at) > STALL_THRESHOLD;
        has_stalled.then_some(received_at)
    }

    /// Returns since when the client has taken nothing of its response. `None` if it does not read slowly, or
    /// if its connection is already being closed at once.
    pub fn slow_reader_since(&self, now: Instant) -> Option<Instant> {
        let blocked_at = self.write_blocked_at.get()?;
        let is_slow = now.saturating_duration_since(blocked_at) > SLOW_READ_THRESHOLD;
        (is_slow && !self.is_evicted_at_once.get()).then_some(blocked_at)
    }

    /// Returns the connection's eviction priority, or `None` if it must not be evicted or has already been
    /// evicted. A request that waits for memory may have arrived completely.
    pub fn eviction_priority(&self, now: Instant) -> Option<EvictionPriority> {
        if self.is_evicted.get() || self.waiting_for_memory_since.get().is_some() {
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
