//! Clients that go on using each connection until it ends.

use super::plan::{Class, Plan};
use crate::message::Message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for a response: longer than any run.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_PAUSE_MS: u64 = 30;
/// Pause before the next connection after one has ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// What became of a request.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) correlation_id: String,
    /// How long the client waits.
    pub(super) time_left: Duration,
    /// When its last byte was written.
    pub(super) sent_at: Instant,
    /// The status of the response, and when its last byte came; `None` if the connection ended instead.
    pub(super) response: Option<(u16, Instant)>,
}

/// When new connections end; `None` while they may come.
type ConnectUntil = Arc<Mutex<Option<Instant>>>;

/// The running clients.
pub(super) struct Clients {
    connect_until: ConnectUntil,
    threads: Vec<JoinHandle<Vec<SentRequest>>>,
    /// Connections that carry no request.
    _idle: Vec<TcpStream>,
}

impl Clients {
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
        Self { connect_until, threads, _idle: idle }
    }

    /// Ends new connections at this time. Those that are open are used as long as they stay so.
    pub(super) fn stop_connecting_at(&self, time: Instant) {
        *self.connect_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(time);
    }

    /// Waits until all connections have ended. Returns all requests.
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
                // Any error is the end of the connection, and is recorded with its request.
                let _ = self.use_connection(&stream);
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
    fn use_connection(&mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut reader = BufReader::new(stream);
        loop {
            let class = self.classes[self.random.usize(..self.classes.len())].clone();
            let correlation_id = format!("c{}-{}", self.number, self.requests.len());
            let text = request_text(&class, &correlation_id);
            (&mut &*stream).write_all(text.as_bytes())?;
            let sent_at = Instant::now();
            let received = Message::read(&mut reader);
            let status = received.as_ref().ok().and_then(Option::as_ref).and_then(Message::status);
            let response = status.map(|status| (status, Instant::now()));
            self.requests.push(SentRequest { correlation_id, time_left: class.deadline, sent_at, response });
            if received?.is_none() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(self.random.u64(..MAX_PAUSE_MS)));
        }
    }
}

fn request_text(class: &Class, correlation_id: &str) -> String {
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
