use super::*;
use crate::discovery::client::DiscoveryClient;
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::metrics::Metrics;
use crate::upstream::Upstreams;
use balancer_core::Balancer;
use std::io::Write;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinHandle;

const LIVE_REQUEST: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n";
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// The response of an upstream that has not executed the request, which may therefore be retried on another
/// upstream.
const NOT_EXECUTED_RESPONSE: &[u8] = b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const BALANCER_SEED: u64 = 7;
const MAX_UPSTREAM_CONNECTIONS: usize = 8;
/// The budgets for requests and for responses, which no test exhausts.
const MEMORY_BUDGET_BYTES: usize = 1024 * 1024;

/// The configuration of a proxy that runs in the test's process.
struct TestProxy<'a> {
    settings: String,
    upstreams: &'a [TcpListener],
    phase: LifecyclePhase,
    max_connections: usize,
}

impl TestProxy<'static> {
    /// Returns a proxy in its lame duck phase, without upstreams.
    fn lame_duck() -> Self {
        let settings = r#"{"classes":[{"name":"look"}]}"#.to_owned();
        Self { settings, upstreams: &[], phase: LifecyclePhase::LameDuck, max_connections: 8 }
    }
}

impl<'a> TestProxy<'a> {
    /// Returns a proxy that forwards requests of one class to `upstreams` and never cancels an attempt.
    fn serving(class: &str, retry_safety: &str, upstreams: &'a [TcpListener]) -> Self {
        let settings = format!(
            r#"{{"classes":[{{"name":"{class}","aim_ms":60000,"hard_limit_ms":60000,"effect":"{retry_safety}"}}],
            "limits":{{"cancelling":false}},"parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}"#
        );
        Self { settings, upstreams, phase: LifecyclePhase::Serving, max_connections: 8 }
    }

    async fn start(self) -> RunningTestProxy {
        let site = balancer_settings::parse(&self.settings).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let metrics = Rc::<Metrics>::default();
        let discovery = DiscoveryClient::new(address, &site, Rc::clone(&metrics));
        let cached_endpoints = match self.upstreams {
            [] => EndpointUpdate::failed(),
            upstreams => discovery.read_cached(&endpoint_list(upstreams)),
        };
        let balancer = Balancer::new(site.settings.clone(), BALANCER_SEED).unwrap();
        let max_connections = MAX_UPSTREAM_CONNECTIONS + self.max_connections;
        let memory = MemoryBudgets::for_upstream_connections(max_connections, MEMORY_BUDGET_BYTES);
        let upstreams = Upstreams::new(&site.settings, MAX_UPSTREAM_CONNECTIONS, &memory, Rc::default());
        let driver = Driver::start(balancer, upstreams, discovery, cached_endpoints, true, metrics);
        let (phase, phase_receiver) = watch::channel(self.phase);
        let clients = Listener::new(driver, &site, phase_receiver, memory);
        let accept_loop = spawn_local(clients.run(listener, self.max_connections));
        RunningTestProxy { address, phase, accept_loop }
    }
}

/// Returns an endpoint list with these upstreams, in discovery's format.
fn endpoint_list(upstreams: &[TcpListener]) -> String {
    let entries = upstreams.iter().enumerate().map(|(index, upstream)| {
        let endpoint = upstream.local_addr().unwrap();
        format!(r#"{{"uid":"s-{index}","endpoint":"{endpoint}","state":"Ready"}}"#)
    });
    format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.collect::<Vec<_>>().join(","))
}

struct RunningTestProxy {
    address: SocketAddr,
    phase: watch::Sender<LifecyclePhase>,
    accept_loop: JoinHandle<()>,
}

impl RunningTestProxy {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    fn drain(&self) {
        self.phase.send_replace(LifecyclePhase::Draining);
    }

    /// Connects and sends a request line and headers. `rest` has further headers, the empty line after them
    /// and all bytes that follow.
    async fn send(&self, request_line: &str, correlation_id: &str, rest: &str) -> TcpStream {
        let mut client = self.connect().await;
        let request = format!(
            "{request_line} HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\nX-Time-Left-Ms: 60000\r\n\
             X-Correlation-Id: {correlation_id}\r\n{rest}"
        );
        client.write_all(request.as_bytes()).await.unwrap();
        client
    }
}

async fn bind_upstream() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Reads the bytes that arrive next and returns them as text.
async fn read_text(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 1024];
    let length = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// The proxy that replaces this one may not be ready yet, so connections must stay usable in the lame duck
/// phase.
#[tokio::test(flavor = "local")]
async fn connections_stay_open_in_the_lame_duck_phase_and_end_when_the_drain_begins() {
    let proxy = TestProxy::lame_duck().start().await;
    let mut client = proxy.connect().await;
    for (path, status) in [("ready", "503"), ("live", "200"), ("ready", "503")] {
        let request = format!("GET /health/{path} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        client.write_all(request.as_bytes()).await.unwrap();
        let response = read_text(&mut client).await.to_lowercase();
        assert!(response.starts_with(&format!("http/1.1 {status}")), "{response:?}");
        assert!(!response.contains("connection: close"), "{response:?}");
    }

    proxy.drain();

    assert_eq!(client.read(&mut [0; 1]).await.unwrap(), 0, "the connection ends between two requests");
    proxy.accept_loop.await.unwrap();
}

/// Guards against a first attempt for a client that had gone before its connection was served: the request was
/// submitted before the bytes behind it, and so the end of the connection, were read.
#[tokio::test(flavor = "local")]
async fn a_request_is_not_forwarded_if_its_client_disconnected_while_it_waited_for_a_slot() {
    for trailing_bytes in [0, 1, 60 * 1024, 250_000, 2_000_000] {
        let upstreams = [bind_upstream().await];
        let mut proxy = TestProxy::serving("book", "at_most_once", &upstreams);
        proxy.max_connections = 1;
        let proxy = proxy.start().await;
        let send = async |correlation_id, trailing_bytes| {
            let rest = format!("Content-Length: 0\r\n\r\n{}", "x".repeat(trailing_bytes));
            proxy.send("POST /book", correlation_id, &rest).await
        };
        let first = send("first", 0).await;
        let (mut attempt, _) = upstreams[0].accept().await.unwrap();
        assert!(attempt.read(&mut [0; 1024]).await.unwrap() > 0);
        drop(send("leaves", trailing_bytes).await);
        let _stays = send("stays", 0).await;

        // After its response, the first client is evicted. The next request reuses the upstream connection.
        attempt.write_all(OK_RESPONSE).await.unwrap();
        let next = read_text(&mut attempt).await;

        drop(first);
        assert!(next.contains("stays"), "{trailing_bytes} bytes follow the request: {next:?}");
    }
}

/// No attempt, neither the first one nor a retry, starts for a client that has disconnected, even if bytes
/// follow its request or the process drains.
#[tokio::test(flavor = "local")]
async fn a_request_is_not_forwarded_after_its_client_disconnected_even_if_bytes_follow_it() {
    for (is_draining, trailing_bytes) in
        [(false, 1), (true, 0), (true, 1), (false, 60 * 1024), (true, 60 * 1024)]
    {
        assert_not_forwarded_after_disconnect(is_draining, trailing_bytes).await;
    }
}

/// Guards against attempts for a client that has sent more than the proxy and the kernel buffer and has gone:
/// the end of its connection was never read.
#[tokio::test(flavor = "local")]
async fn a_request_is_not_forwarded_after_its_client_disconnected_even_if_more_follows_it_than_is_buffered() {
    for (is_draining, trailing_bytes) in
        [(false, 250_000), (true, 250_000), (false, 2_000_000), (true, 2_000_000)]
    {
        assert_not_forwarded_after_disconnect(is_draining, trailing_bytes).await;
    }
}

/// Lets clients disconnect after they have sent a request and `trailing_bytes` more bytes, while the proxy
/// drains or serves. Panics if an attempt starts for any of them afterwards.
async fn assert_not_forwarded_after_disconnect(is_draining: bool, trailing_bytes: usize) {
    let upstreams = [bind_upstream().await, bind_upstream().await];
    let proxy = TestProxy::serving("look", "idempotent", &upstreams).start().await;
    let rest = format!("\r\n{}", "x".repeat(trailing_bytes));
    let send = async |correlation_id| proxy.send("GET /look", correlation_id, &rest).await;
    let accept_attempt = async || {
        tokio::select! {
            stream = upstreams[0].accept() => stream.unwrap().0,
            stream = upstreams[1].accept() => stream.unwrap().0,
        }
    };
    // One client disconnects after its first attempt was sent, another one right after its request.
    let first_client = send("first").await;
    let mut first_attempt = accept_attempt().await;
    let mut received = [0; 1024];
    assert!(first_attempt.read(&mut received).await.unwrap() > 0);
    if is_draining {
        proxy.drain();
        yield_now().await;
    } else {
        drop(send("second").await);
    }
    drop(first_client);
    sleep(Duration::from_millis(100)).await;

    // The response to the first attempt permits a retry.
    first_attempt.write_all(NOT_EXECUTED_RESPONSE).await.unwrap();

    let retry = timeout(Duration::from_millis(200), accept_attempt()).await;
    let reused = timeout(Duration::from_millis(10), first_attempt.read(&mut received)).await;
    assert!(
        retry.is_err() && !matches!(reused, Ok(Ok(1..))),
        "draining: {is_draining}, {trailing_bytes} bytes follow the request"
    );
}

/// A client that sends more behind a request than is kept, and stays, still gets the response. Its connection
/// ends then, because the bytes in between are lost.
#[tokio::test(flavor = "local")]
async fn a_request_is_answered_even_if_more_follows_it_than_is_buffered() {
    for trailing_bytes in [250_000, 2_000_000] {
        let upstreams = [bind_upstream().await];
        let proxy = TestProxy::serving("look", "idempotent", &upstreams).start().await;
        let rest = format!("\r\n{}", "x".repeat(trailing_bytes));
        let mut client = proxy.send("GET /look", "stays", &rest).await;
        let (mut attempt, _) = upstreams[0].accept().await.unwrap();
        assert!(read_text(&mut attempt).await.contains("stays"));
        // The proxy reads the trailing bytes meanwhile.
        sleep(Duration::from_millis(100)).await;

        attempt.write_all(OK_RESPONSE).await.unwrap();

        let mut response = Vec::new();
        client.read_to_end(&mut response).await.expect("the connection ends without a reset");
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response:?}");
    }
}

/// Requests that a client sends before the response to an earlier one are served in turn, as long as they fit
/// into the read-ahead.
#[tokio::test(flavor = "local")]
async fn requests_that_follow_a_request_are_served_in_turn() {
    let upstreams = [bind_upstream().await];
    let proxy = TestProxy::serving("look", "idempotent", &upstreams).start().await;
    let following = |number| {
        format!(
            "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\nX-Time-Left-Ms: 60000\r\n\
             X-Correlation-Id: following-{number}\r\n\r\n"
        )
    };
    let rest = format!("\r\n{}", (0..200).map(following).collect::<String>());
    let mut client = proxy.send("GET /look", "first", &rest).await;

    let (mut attempt, _) = upstreams[0].accept().await.unwrap();
    assert!(read_text(&mut attempt).await.contains("first"));
    for number in 0..200 {
        attempt.write_all(OK_RESPONSE).await.unwrap();
        let request = read_text(&mut attempt).await;
        assert!(request.contains(&format!("following-{number}\r\n")), "{request:?}");
    }
    attempt.write_all(OK_RESPONSE).await.unwrap();

    let mut responses = String::new();
    while responses.matches("HTTP/1.1 200").count() < 201 {
        responses += &read_text(&mut client).await;
    }
}

/// Requests that the kernel has received before the process begins to drain get their responses, both on an
/// open connection and on connections that have not been accepted yet.
#[tokio::test(flavor = "local")]
async fn requests_received_just_before_the_drain_are_answered() {
    let proxy = TestProxy::lame_duck().start().await;
    let mut used = proxy.connect().await;
    used.write_all(LIVE_REQUEST).await.unwrap();
    assert!(used.read(&mut [0; 1024]).await.unwrap() > 0);

    // There is no `await` up to the drain, so the proxy does not run before it.
    assert_eq!(used.try_write(LIVE_REQUEST).unwrap(), LIVE_REQUEST.len());
    let new: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(proxy.address).unwrap()).collect();
    new.iter().for_each(|mut stream| stream.write_all(LIVE_REQUEST).unwrap());
    proxy.drain();

    let mut streams = vec![used];
    for stream in new {
        stream.set_nonblocking(true).unwrap();
        streams.push(TcpStream::from_std(stream).unwrap());
    }
    for (index, stream) in streams.iter_mut().enumerate() {
        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response).await;
        assert!(ended.is_ok(), "{index}: {ended:?}");
        assert!(response.starts_with(b"HTTP/1.1 200"), "{index}: {:?}", String::from_utf8_lossy(&response));
    }
    proxy.accept_loop.await.unwrap();
}
