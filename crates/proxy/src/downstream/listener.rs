//! The clients' side: accepts connections, reads requests, writes final answers.

use crate::downstream::connection::{Client, ClientState, ClientStream, left};
use crate::downstream::request::{OpenId, RequestError, Requests};
use crate::driver::{Driver, FinalResponse, IncomingRequest};
use crate::rate_limited_log::RateLimitedLog;
use balancer_settings::Site;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

/// How long a connection that is to end may take over the rest of an answer.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// How often it is looked at meanwhile, and an accept loop that waits for a place looks for another.
const LINGER: Duration = Duration::from_millis(250);
/// Pause after an accept has failed: when descriptors have run out, trying at once only spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

/// How far the end of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecyclePhase {
    /// Not at all.
    Serving,
    /// Not ready any more. All else goes on for a moment: clients that keep their connections need no other
    /// balancer yet, and the one that is to take them may only just have started itself.
    LameDuck,
    /// Nothing new is accepted; connections end between requests.
    Draining,
}

/// What clients reach.
pub struct Server {
    driver: Rc<Driver>,
    requests: Requests,
    phase: watch::Receiver<LifecyclePhase>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    count: Cell<u64>,
    odd: RateLimitedLog,
}

impl Server {
    /// A server that hands requests to `driver`.
    pub fn new(driver: Rc<Driver>, site: &Site, phase: watch::Receiver<LifecyclePhase>) -> Rc<Self> {
        Rc::new(Self {
            driver,
            requests: Requests::new(site),
            phase,
            clients: RefCell::default(),
            count: Cell::new(0),
            odd: RateLimitedLog::default(),
        })
    }

    /// Accepts clients, at most `most` at a time, until the process is closing; returns when the last of
    /// them has gone.
    pub async fn run(self: Rc<Self>, listener: TcpListener, most: usize) {
        let places = Arc::new(Semaphore::new(most));
        let (mut phase, mut closing) = (self.phase.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                _ = phase.wait_for(|p| *p == LifecyclePhase::Draining), if !closing => {
                    closing = true;
                    continue;
                }
                accepted = listener.accept() => accepted,
                // Those that wait to be accepted may have sent their requests; there are no more of them.
                () = yield_now(), if closing => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    self.odd.warn(|| format!("accept: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            // Again and again: all may be busy now, and keep their connections once they are not.
            let place = loop {
                if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
                    break place;
                }
                self.evict_idle_client();
                if let Ok(Ok(place)) = timeout(LINGER, Arc::clone(&places).acquire_owned()).await {
                    break place;
                }
            };
            let server = Rc::clone(&self);
            spawn_local(async move {
                server.connection(stream).await;
                drop(place);
            });
        }
        drop(listener);
        let _ = places.acquire_many(most as u32).await;
    }

    /// Ends the connection with which least is lost, for one that waits.
    fn evict_idle_client(&self) {
        let (now, clients) = (Instant::now(), self.clients.borrow());
        let worth = clients.values().filter_map(|client| Some((client.worth(now)?, client)));
        if let Some((_, client)) = worth.min_by_key(|(worth, _)| *worth) {
            client.end();
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let mut phase = self.phase.clone();
        let number = self.count.replace(self.count.get() + 1);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        let (server, of) = (Rc::clone(&self), Rc::clone(&client));
        let service = service_fn(move |request| {
            let (server, client) = (Rc::clone(&server), Rc::clone(&of));
            async move { Ok::<_, Infallible>(server.respond(&client, request).await) }
        });
        let mut builder = http1::Builder::new();
        // The head's time is the client's own affair, see `Client::overdue`.
        builder.header_read_timeout(None).max_buf_size(BUFFER);
        let stream = Rc::new(stream);
        let inbound = ClientStream::new(Rc::clone(&stream), Rc::clone(&client));
        let connection = builder.serve_connection(TokioIo::new(inbound), service);
        tokio::pin!(connection);
        let served = async {
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = client.is_to_end() => match (catch_up(connection.as_mut()).await, client.stand()) {
                    (Poll::Ready(ended), _) => ended,
                    // Part of a request at most: nothing was taken.
                    (Poll::Pending, ClientState::New | ClientState::Reading) => Ok(()),
                    (Poll::Pending, ClientState::Idle | ClientState::AwaitingResponse) => {
                        connection.as_mut().graceful_shutdown();
                        finish(&client, connection).await
                    }
                },
                _ = phase.wait_for(|p| *p == LifecyclePhase::Draining) => match catch_up(connection.as_mut()).await {
                    Poll::Ready(ended) => ended,
                    Poll::Pending => {
                        connection.as_mut().graceful_shutdown();
                        finish(&client, connection).await
                    }
                },
            }
        };
        let ended = tokio::select! {
            biased;
            ended = served => ended,
            () = left(&stream, &client) => Ok(()),
        };
        if let Err(e) = ended {
            tracing::debug!("client: {e}");
        }
        self.clients.borrow_mut().remove(&number);
    }

    async fn respond(&self, client: &Client, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let whole_by = client.reads();
        let response = match request.uri().path() {
            "/health/ready" | "/health/live" if request.body().is_end_stream() => {
                client.holds();
                let leaving = *self.phase.borrow() != LifecyclePhase::Serving;
                if leaving && request.uri().path() == "/health/ready" {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
                } else {
                    plain(StatusCode::OK, "ok")
                }
            }
            _ => match self.read(client, request, whole_by).await {
                Ok((asked, _open)) => render_response(self.driver.submit(asked).response().await),
                Err(RequestError(status, why)) => plain(status, why),
            },
        };
        client.answered();
        response
    }

    /// Reads a request, its body included.
    async fn read(
        &self,
        client: &Client,
        request: Request<Incoming>,
        whole_by: Instant,
    ) -> Result<(IncomingRequest, OpenId), RequestError> {
        let (parts, body) = request.into_parts();
        let head = self.requests.head(parts, |shown| client.has_conflicting_lengths(shown))?;
        let read = self.requests.rest(head, body, whole_by).await?;
        client.holds();
        Ok(read)
    }
}

/// Takes in what the kernel has of a connection that is to end: a request that lies there whole has been taken, and
/// would be lost with it.
async fn catch_up(
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> Poll<hyper::Result<()>> {
    // The runtime asks the kernel before this goes on.
    yield_now().await;
    poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await
}

/// Waits for the answer that a connection which shuts down is still owed, or that is on its way to a client
/// who reads slowly. Between requests such a connection ends at once.
async fn finish(
    client: &Client,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
) -> hyper::Result<()> {
    let mut answered = None;
    loop {
        if let Ok(ended) = timeout(LINGER, connection.as_mut()).await {
            return ended;
        }
        match client.stand() {
            ClientState::AwaitingResponse => {}
            // Part of a request at most: nothing was taken.
            ClientState::New | ClientState::Reading => return Ok(()),
            ClientState::Idle => {
                if answered.get_or_insert_with(Instant::now).elapsed() > ANSWER_MOST {
                    return Ok(());
                }
            }
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The words for a final answer.
fn render_response(answer: FinalResponse) -> Response<Full<Bytes>> {
    match answer {
        FinalResponse::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        FinalResponse::Rejected { retry_after, .. } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::discovery::client::Discovery;
    use crate::discovery::endpoint_list::WatchEvent;
    use crate::upstream::attempt::Upstreams;
    use balancer_core::Balancer;
    use std::net::SocketAddr;
    use std::pin::pin;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::task::JoinHandle;

    /// A server in its leave with no upstreams: its address, its phase and its task.
    async fn leaving_server() -> (SocketAddr, watch::Sender<LifecyclePhase>, JoinHandle<()>) {
        let site = balancer_settings::parse(r#"{"classes":[{"name":"look"}]}"#).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstreams = Upstreams::new(&site.settings, 8, 0, Rc::default());
        let discovery = Discovery::new(address, &site, Rc::default());
        let balancer = Balancer::new(site.settings.clone(), 7).unwrap();
        let driver = Driver::start(balancer, upstreams, discovery, WatchEvent::failed(), true);
        let (phase, phases) = watch::channel(LifecyclePhase::LameDuck);
        let serving = spawn_local(Server::new(driver, &site, phases).run(listener, 8));
        (address, phase, serving)
    }

    /// Guards the clients of a balancer that leaves: a connection in use goes on until this one is closing, as
    /// there may be no other balancer ready as yet, and ends between requests then.
    #[tokio::test(flavor = "local")]
    async fn connections_outlast_the_leave_and_end_with_the_close() {
        let (address, phase, serving) = leaving_server().await;
        let mut client = TcpStream::connect(address).await.unwrap();
        for (path, status) in [("ready", "503"), ("live", "200"), ("ready", "503")] {
            let request = format!("GET /health/{path} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            client.write_all(request.as_bytes()).await.unwrap();
            let mut answer = [0; 1024];
            let n = client.read(&mut answer).await.unwrap();
            let answer = String::from_utf8_lossy(&answer[..n]).to_lowercase();
            assert!(answer.starts_with(&format!("http/1.1 {status}")), "{answer:?}");
            assert!(!answer.contains("connection: close"), "{answer:?}");
        }
        phase.send_replace(LifecyclePhase::Draining);
        assert_eq!(client.read(&mut [0; 1]).await.unwrap(), 0, "it ends between requests");
        serving.await.unwrap();
    }

    /// Guards against work for nobody: a client that leaves while its connection waits for a place is not sent on.
    #[tokio::test(flavor = "local")]
    async fn a_client_that_leaves_before_it_has_a_place_is_not_sent_on() {
        let class = r#"{"name":"book","aim_ms":60000,"hard_limit_ms":60000,"effect":"at_most_once"}"#;
        let site = format!(
            r#"{{"classes":[{class}],"limits":{{"cancelling":false}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}"#
        );
        let site = balancer_settings::parse(&site).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstreams = Upstreams::new(&site.settings, 8, 0, Rc::default());
        let discovery = Discovery::new(address, &site, Rc::default());
        let endpoint = upstream.local_addr().unwrap();
        let entry = format!(r#"{{"uid":"s-0","endpoint":"{endpoint}","state":"Ready"}}"#);
        let known = discovery.read_cached(&format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#));
        let balancer = Balancer::new(site.settings.clone(), 7).unwrap();
        let driver = Driver::start(balancer, upstreams, discovery, known, true);
        let (_phase, phases) = watch::channel(LifecyclePhase::Serving);
        spawn_local(Server::new(driver, &site, phases).run(listener, 1));
        let ask = async |id: &str| {
            let mut client = TcpStream::connect(address).await.unwrap();
            let head = "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\nX-Time-Left-Ms: 60000\r\n";
            let request = format!("{head}X-Correlation-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            client.write_all(request.as_bytes()).await.unwrap();
            client
        };
        let held = ask("first").await;
        let (mut stream, _) = upstream.accept().await.unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        drop(ask("leaves").await);
        let _stays = ask("stays").await;
        // It makes room between two requests, and its connection to the upstream is at hand.
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let n = stream.read(&mut request).await.unwrap();
        let next = String::from_utf8_lossy(&request[..n]);
        drop(held);
        assert!(next.contains("stays"), "{next:?}");
    }

    /// Guards against work for nobody: no attempt begins, first or further, for a client that has left, though bytes lie
    /// behind its request, also while this balancer closes.
    #[tokio::test(flavor = "local")]
    async fn a_client_that_sends_more_behind_its_request_and_leaves_is_not_sent_on() {
        let class = r#"{"name":"look","aim_ms":60000,"hard_limit_ms":60000,"effect":"idempotent"}"#;
        let rest = r#""limits":{"cancelling":false},"parties":[{"name":"acme","allowance_per_s":1000.0}]"#;
        let site = balancer_settings::parse(&format!(r#"{{"classes":[{class}],{rest}}}"#)).unwrap();
        for (closing, more) in [(false, 1), (true, 0), (true, 1), (false, 60 * 1024), (true, 60 * 1024)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let peers = [
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
            ];
            let entries = peers.iter().enumerate().map(|(k, peer)| {
                format!(r#"{{"uid":"s-{k}","endpoint":"{}","state":"Ready"}}"#, peer.local_addr().unwrap())
            });
            let entries: Vec<_> = entries.collect();
            let discovery = Discovery::new(address, &site, Rc::default());
            let known = discovery
                .read_cached(&format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(",")));
            let balancer = Balancer::new(site.settings.clone(), 7).unwrap();
            let upstreams = Upstreams::new(&site.settings, 8, 0, Rc::default());
            let driver = Driver::start(balancer, upstreams, discovery, known, true);
            let (phase, phases) = watch::channel(LifecyclePhase::Serving);
            spawn_local(Server::new(driver, &site, phases).run(listener, 8));
            let ask = async |id: &str, more: usize| {
                let mut client = TcpStream::connect(address).await.unwrap();
                let head =
                    "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Account: acme\r\nX-Time-Left-Ms: 60000\r\n";
                let request = format!("{head}X-Correlation-Id: {id}\r\n\r\n{}", "x".repeat(more));
                client.write_all(request.as_bytes()).await.unwrap();
                client
            };
            let accept = async || {
                tokio::select! {
                    stream = peers[0].accept() => stream.unwrap().0,
                    stream = peers[1].accept() => stream.unwrap().0,
                }
            };
            // One that leaves once its first attempt is out, and one that leaves with its request.
            let leaves = ask("first", more).await;
            let (mut first, mut request) = (accept().await, [0; 1024]);
            assert!(first.read(&mut request).await.unwrap() > 0);
            if closing {
                phase.send_replace(LifecyclePhase::Draining);
                yield_now().await;
            } else {
                drop(ask("second", more).await);
            }
            drop(leaves);
            sleep(Duration::from_millis(100)).await;
            // The first attempt ends so that another could follow.
            first
                .write_all(b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
                .await
                .unwrap();
            let further = timeout(Duration::from_millis(200), accept()).await;
            let reused = timeout(Duration::from_millis(10), first.read(&mut request)).await;
            assert!(further.is_err() && !matches!(reused, Ok(Ok(1..))), "closing {closing}, {more} more");
        }
    }

    /// Guards what was taken at the last moment: requests that lie in the kernel when the process closes, on a
    /// connection in use or on one that is not accepted yet, have their answers.
    #[tokio::test(flavor = "local")]
    async fn requests_that_cross_the_close_are_answered() {
        const LIVE: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        let (address, phase, serving) = leaving_server().await;
        let mut used = TcpStream::connect(address).await.unwrap();
        used.write_all(LIVE).await.unwrap();
        assert!(used.read(&mut [0; 1024]).await.unwrap() > 0);
        // No task runs between these.
        assert_eq!(used.try_write(LIVE).unwrap(), LIVE.len());
        let new: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        new.iter().for_each(|mut stream| std::io::Write::write_all(&mut stream, LIVE).unwrap());
        phase.send_replace(LifecyclePhase::Draining);
        let mut all = vec![used];
        for stream in new {
            stream.set_nonblocking(true).unwrap();
            all.push(TcpStream::from_std(stream).unwrap());
        }
        for (k, stream) in all.iter_mut().enumerate() {
            let mut answer = Vec::new();
            let ended = stream.read_to_end(&mut answer).await;
            assert!(ended.is_ok(), "{k}: {ended:?}");
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{k}: {:?}", String::from_utf8_lossy(&answer));
        }
        serving.await.unwrap();
    }

    /// Guards an answer on its way to a client who reads slowly: the end of its connection waits for it.
    #[tokio::test(flavor = "local")]
    async fn an_answer_on_its_way_is_finished() {
        let (client, whole) = (Client::new(), Cell::new(false));
        client.reads();
        client.holds();
        client.answered();
        let slow = pin!(async {
            sleep(3 * LINGER).await;
            whole.set(true);
            Ok(())
        });
        finish(&client, slow).await.unwrap();
        assert!(whole.get());
        // One that never comes to an end is given up.
        finish(&client, pin!(std::future::pending())).await.unwrap();
    }
}
