//! Helpers for the tests of the upstream module. The upstream is a listener on the loopback interface.

use crate::memory_budget::MemoryBudgets;
use crate::upstream::response_body::MAX_RESPONSE_BODY_BYTES;
use crate::upstream::{AttemptResult, EndpointState, Interruption, OutgoingRequest, Upstreams};
use balancer_core::{Availability, Settings, UpstreamId};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The upstream that each fixture contains.
pub const UPSTREAM: UpstreamId = UpstreamId(7);
/// A second upstream, which a test can add.
pub const OTHER_UPSTREAM: UpstreamId = UpstreamId(8);
/// A timeout for attempts, connects and idle connections that is longer than any test takes.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of bodies of the maximum length that fit into the budget of a fixture.
pub const MAX_LENGTH_BODIES_IN_BUDGET: usize = 4;
/// A response without a body.
pub const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A set of upstreams with one entry, and the listener at its address.
pub struct Fixture {
    /// The set under test.
    pub upstreams: Rc<Upstreams>,
    /// Accepts the connections to the upstream.
    pub listener: TcpListener,
    /// The entry of the upstream that was applied last.
    pub state: EndpointState,
}

impl Fixture {
    /// Creates a fixture with a limit on open connections and [`LONG_TIMEOUT`] as the connect timeout.
    pub async fn with_max_connections(max_connections: usize) -> Self {
        Self::with_connect_timeout(max_connections, LONG_TIMEOUT).await
    }

    /// Creates a fixture with a limit on open connections and a connect timeout.
    pub async fn with_connect_timeout(max_connections: usize, connect_timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings =
            Settings { connect_timeout, connection_idle_timeout: LONG_TIMEOUT, ..Settings::default() };
        let response_bytes = MAX_LENGTH_BODIES_IN_BUDGET * MAX_RESPONSE_BODY_BYTES;
        let memory = MemoryBudgets::for_upstream_connections(max_connections, response_bytes);
        let upstreams = Rc::new(Upstreams::new(&settings, max_connections, &memory, Rc::default()));
        let address = Some(listener.local_addr().unwrap());
        let state = EndpointState { address, availability: Availability::Ready, started_at_unix_ms: 0 };
        upstreams.apply_entry(UPSTREAM, &state);
        Self { upstreams, listener, state }
    }

    /// Adds an upstream with the address and state of [`UPSTREAM`].
    pub fn add_upstream(&self, id: UpstreamId) {
        self.upstreams.apply_entry(id, &self.state);
    }

    /// Applies an entry with a new availability of the upstream.
    pub fn set_availability(&mut self, availability: Availability) {
        self.state.availability = availability;
        self.upstreams.apply_entry(UPSTREAM, &self.state);
    }

    /// Applies an entry with a new start time of the upstream.
    pub fn set_started_at_unix_ms(&mut self, started_at_unix_ms: u64) {
        self.state.started_at_unix_ms = started_at_unix_ms;
        self.upstreams.apply_entry(UPSTREAM, &self.state);
    }

    /// Makes an attempt that is never interrupted.
    pub async fn attempt(&self, id: UpstreamId) -> AttemptResult {
        attempt(&self.upstreams, id, LONG_TIMEOUT).await
    }

    /// Makes an attempt that is never interrupted and ends at the latest after `timeout`.
    pub async fn attempt_within(&self, id: UpstreamId, timeout: Duration) -> AttemptResult {
        attempt(&self.upstreams, id, timeout).await
    }

    /// Starts an attempt that is never interrupted, in a task of its own.
    pub fn spawn_attempt(&self, id: UpstreamId) -> JoinHandle<AttemptResult> {
        let upstreams = Rc::clone(&self.upstreams);
        spawn_local(async move { attempt(&upstreams, id, LONG_TIMEOUT).await })
    }

    /// Starts an attempt in a task of its own. Dropping the returned sender abandons the attempt.
    pub fn spawn_abandonable_attempt(
        &self,
        request: OutgoingRequest,
    ) -> (watch::Sender<()>, JoinHandle<AttemptResult>) {
        let (abandonment_guard, abandonment) = watch::channel(());
        let upstreams = Rc::clone(&self.upstreams);
        let task = spawn_local(async move {
            let (_abort_guard, abort) = watch::channel(false);
            let mut interruption = Interruption::new(abandonment, abort);
            upstreams.attempt(UPSTREAM, &request, Instant::now() + LONG_TIMEOUT, &mut interruption).await
        });
        (abandonment_guard, task)
    }

    /// Accepts a connection and reads the beginning of the request on it.
    pub async fn accept_request(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream
    }

    /// Accepts a connection, reads the beginning of the request on it and writes the whole response. The
    /// connection stays open until the returned stream is dropped.
    pub async fn accept_and_respond(&self, response: &str) -> TcpStream {
        let mut stream = self.accept_request().await;
        respond(&mut stream, response).await;
        stream
    }

    /// Accepts a connection, reads the beginning of the request on it and writes the response. The proxy may
    /// close the connection before the response is complete.
    pub async fn accept_and_respond_until_closed(&self, response: &str) -> TcpStream {
        let mut stream = self.accept_request().await;
        // An error means that the proxy closed the connection, which the test allows.
        let _ = stream.write_all(response.as_bytes()).await;
        stream
    }
}

/// Returns a small request that is not safe to repeat.
pub fn post_request() -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"x"),
    }
}

/// Reads the beginning of a request, at least one byte.
pub async fn read_request(stream: &mut TcpStream) {
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
}

/// Writes the whole of `response`.
pub async fn respond(stream: &mut TcpStream, response: &str) {
    stream.write_all(response.as_bytes()).await.unwrap();
}

async fn attempt(upstreams: &Upstreams, id: UpstreamId, timeout: Duration) -> AttemptResult {
    let (_abandonment_guard, abandonment) = watch::channel(());
    let (_abort_guard, abort) = watch::channel(false);
    let mut interruption = Interruption::new(abandonment, abort);
    upstreams.attempt(id, &post_request(), Instant::now() + timeout, &mut interruption).await
}
