//! Clients that use each connection until it ends, and connections without requests.

use super::plan::{Class, Plan};
use crate::message::Message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for a response. This is longer than any run.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
/// Upper bound of the pause between a response and the next request.
const MAX_PAUSE_MS: u64 = 30;
/// Pause before a new connection is opened after the previous one has ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// A request that a client has sent, and its response.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) correlation_id: String,
    /// Time left for the response when the request is sent, as stated in `X-Time-Left-Ms`.
    pub(super) deadline: Duration,
    /// When the last byte of the request was written.
    pub(super) sent_at: Instant,
    /// Status of the response and the time of its last byte; `None` if no complete response came.
    pub(super) response: Option<(u16, Instant)>,
}

/// Time after which clients open no new connections; `None` until it is set.
type ConnectUntil = Arc<Mutex<Option<Instant>>>;

/// The running clients.
pub(super) struct Clients {
    connect_until: ConnectUntil,
    threads: Vec<JoinHandle<Vec<SentRequest>>>,
    /// Connections on which no requests are sent.
    _idle_connections: Vec<TcpStream>,
}

impl Clients {
    /// Opens the idle connections and starts the clients of a plan.
    pub(super) fn start(address: SocketAddr, plan: &Plan) -> Self {
        let connect_until = ConnectUntil::default();
        let idle = (0..plan.idle_clients).filter_map(|_| TcpStream::connect(address).ok()).collect();
        let client = |number| {
            let client = Client {
                address,
                number,
                classes: plan.classes.clone(),
                random: fastrand::Rng::with_seed(plan.seed.wrapping_mul(1000) + number as u64),
                connect_until: Arc::clone(&connect_until),
                requests: Vec::new(),
            };
            thread::spawn(move || client.run())
        };
        let threads = (0..plan.clients).map(client).collect();
        Self { connect_until, threads, _idle_connections: idle }
    }

    /// Makes the clients open no new connections from this time on. They use open connections until these
    /// end.
    pub(super) fn stop_connecting_at(&self, time: Instant) {
        *self.connect_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(time);
    }

    /// Waits until all clients have ended, and returns all requests that they have sent.
    pub(super) fn finish(self) -> Vec<SentRequest> {
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

struct Client {
    address: SocketAddr,
    number: usize,
    classes: Vec<Class>,
    random: fastrand::Rng,
    connect_until: ConnectUntil,
    requests: Vec<SentRequest>,
}

impl Client {
    fn run(mut self) -> Vec<SentRequest> {
        while self.may_connect() {
            if let Ok(stream) = TcpStream::connect(self.address) {
                // An error only ends the connection. A request that was sent but got no response is recorded.
                let _ = self.send_on_connection(&stream);
            }
            thread::sleep(RECONNECT_PAUSE);
        }
        self.requests
    }

    fn may_connect(&self) -> bool {
        let until = *self.connect_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_none_or(|until| Instant::now() < until)
    }

    /// Sends requests one after another until the connection ends.
    fn send_on_connection(&mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut reader = BufReader::new(stream);
        loop {
            let class = self.classes[self.random.usize(..self.classes.len())].clone();
            let correlation_id = format!("c{}-{}", self.number, self.requests.len());
            let text = format_request(&class, &correlation_id);
            (&mut &*stream).write_all(text.as_bytes())?;
            let sent_at = Instant::now();
            let received = Message::read(&mut reader);
            let status = received.as_ref().ok().and_then(Option::as_ref).and_then(Message::status);
            let response = status.map(|status| (status, Instant::now()));
            self.requests.push(SentRequest { correlation_id, deadline: class.deadline, sent_at, response });
            if received?.is_none() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(self.random.u64(..MAX_PAUSE_MS)));
        }
    }
}

fn format_request(class: &Class, correlation_id: &str) -> String {
    let Class { name, retry_safety, deadline } = class;
    let common = format!(
        "Host: app.svc\r\nX-Correlation-Id: {correlation_id}\r\nX-Account: acme\r\nX-Time-Left-Ms: {}\r\n",
        deadline.as_millis()
    );
    match *retry_safety {
        "idempotent" => format!("GET /{name} HTTP/1.1\r\n{common}\r\n"),
        "deduplicated" => format!(
            "POST /{name} HTTP/1.1\r\n{common}Idempotency-Key: k-{correlation_id}\r\nContent-Length: 1\r\n\r\nx"
        ),
        _ => format!("POST /{name} HTTP/1.1\r\n{common}Content-Length: 1\r\n\r\nx"),
    }
}
