//! What the tests of upstreams share: a set with one upstream, played by a listener on loopback.

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

/// The upstream that a fixture knows from the start.
pub const UPSTREAM: UpstreamId = UpstreamId(7);
/// Another upstream, which a test may add.
pub const OTHER_UPSTREAM: UpstreamId = UpstreamId(8);
/// How long attempts, connects and idle connections may take: longer than any test.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// How many bodies of the maximum length fit into a fixture's budget.
pub const MAX_LENGTH_BODIES_IN_BUDGET: usize = 4;
/// A response without a body.
pub const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A set of upstreams with one entry, and the listener at its address.
pub struct Fixture {
    /// The set.
    pub upstreams: Rc<Upstreams>,
    /// Plays the upstream.
    pub listener: TcpListener,
    /// What the endpoint list last said of the upstream.
    pub state: EndpointState,
}

impl Fixture {
    /// A fixture in which so many connections may be open at once.
    pub async fn with_max_connections(max_connections: usize) -> Self {
        Self::with_connect_timeout(max_connections, LONG_TIMEOUT).await
    }

    /// A fixture with a connect timeout, in which so many connections may be open at once.
    pub async fn with_connect_timeout(max_connections: usize, connect_timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings =
            Settings { connect_timeout, connection_idle_timeout: LONG_TIMEOUT, ..Settings::default() };
        let budget = MAX_LENGTH_BODIES_IN_BUDGET * MAX_RESPONSE_BODY_BYTES;
        let upstreams = Rc::new(Upstreams::new(&settings, max_connections, budget, Rc::default()));
        let address = Some(listener.local_addr().unwrap());
        let state = EndpointState { address, availability: Availability::Ready, started_at_unix_ms: 0 };
        upstreams.apply_entry(UPSTREAM, &state);
        Self { upstreams, listener, state }
    }

    /// Adds an upstream at the same address.
    pub fn add_upstream(&self, id: UpstreamId) {
        self.upstreams.apply_entry(id, &self.state);
    }

    /// Has the list name a new availability of the upstream.
    pub fn set_availability(&mut self, availability: Availability) {
        self.state.availability = availability;
        self.upstreams.apply_entry(UPSTREAM, &self.state);
    }

    /// Has the list name a new start time of the upstream.
    pub fn set_started_at_unix_ms(&mut self, started_at_unix_ms: u64) {
        self.state.started_at_unix_ms = started_at_unix_ms;
        self.upstreams.apply_entry(UPSTREAM, &self.state);
    }

    /// Makes an attempt that is not abandoned.
    pub async fn attempt(&self, id: UpstreamId) -> AttemptResult {
        attempt(&self.upstreams, id, LONG_TIMEOUT).await
    }

    /// Makes an attempt that is not abandoned and has this much time.
    pub async fn attempt_within(&self, id: UpstreamId, timeout: Duration) -> AttemptResult {
        attempt(&self.upstreams, id, timeout).await
    }

    /// Starts an attempt that is not abandoned.
    pub fn spawn_attempt(&self, id: UpstreamId) -> JoinHandle<AttemptResult> {
        let upstreams = Rc::clone(&self.upstreams);
        spawn_local(async move { attempt(&upstreams, id, LONG_TIMEOUT).await })
    }

    /// Starts an attempt that is abandoned by dropping the returned sender.
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

    /// Accepts a connection and reads from the request on it.
    pub async fn accept_request(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream
    }

    /// Accepts a connection, reads from the request on it and writes the whole response. The stream stays
    /// open.
    pub async fn accept_and_respond(&self, response: &str) -> TcpStream {
        let mut stream = self.accept_request().await;
        respond(&mut stream, response).await;
        stream
    }

    /// The same where the balancer may close the connection before it has the whole response.
    pub async fn accept_and_respond_until_closed(&self, response: &str) -> TcpStream {
        let mut stream = self.accept_request().await;
        // An error means that the balancer closed the connection, which the test allows.
        let _ = stream.write_all(response.as_bytes()).await;
        stream
    }
}

/// A small request that is not safe to repeat.
pub fn post_request() -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"x"),
    }
}

/// Reads from a request, at least one byte.
pub async fn read_request(stream: &mut TcpStream) {
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
}

/// Writes a whole response.
pub async fn respond(stream: &mut TcpStream, response: &str) {
    stream.write_all(response.as_bytes()).await.unwrap();
}

async fn attempt(upstreams: &Upstreams, id: UpstreamId, timeout: Duration) -> AttemptResult {
    let (_abandonment_guard, abandonment) = watch::channel(());
    let (_abort_guard, abort) = watch::channel(false);
    let mut interruption = Interruption::new(abandonment, abort);
    upstreams.attempt(id, &post_request(), Instant::now() + timeout, &mut interruption).await
}
