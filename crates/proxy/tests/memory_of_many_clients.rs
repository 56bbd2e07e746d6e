//! The memory of a proxy with the smallest memory limit and hundreds of clients that are connected at once.

mod common;

use common::*;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The smallest memory limit that a deployment sets, in MiB.
const MEMORY_LIMIT_MB: u64 = 32;
const KIB_PER_MIB: u64 = 1024;
/// The most sockets that a deployment allows.
const SOCKETS: usize = 1024;
/// Fewer than the proxy accepts at a time, so that no client is closed to make room for another one.
const CLIENTS: usize = 400;
/// How many of the clients may have a request in flight at the same time, as far as the platform promises.
const REQUESTING_CLIENTS: usize = SOCKETS / 3;
/// The longest body that the platform allows.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A response that does not fit into the buffers of a connection at which the client does not read.
const LONG_RESPONSE_BYTES: usize = 400 * 1024;
/// How long an upstream works on a request, so that many requests are in flight at the same time.
const UPSTREAM_DELAY: Duration = Duration::from_millis(400);
/// The number of pieces in which a slow client writes its request, and the time between two of them.
const PIECES: usize = 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
/// How long clients do not read a response that has arrived.
const READ_DELAY: Duration = Duration::from_millis(1500);

/// How the responses to the clients of a test ended. A connection that ended without a response has no status.
type Responses = BTreeMap<Option<u16>, usize>;

/// A proxy with the smallest memory limit, and its clients.
struct Fixture {
    proxy: ProxyProcess,
    clients: Vec<Client>,
    _exclusive: MutexGuard<'static, ()>,
}

impl Fixture {
    /// Starts a proxy whose upstreams send `response_bytes`, and connects the clients. Waits until no other test
    /// of this file runs, because each of them needs thousands of sockets and threads.
    fn start(response_bytes: usize) -> Self {
        static EXCLUSIVE: Mutex<()> = Mutex::new(());
        let exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
        let behavior = Behavior::RespondAfter { delay: UPSTREAM_DELAY, body_bytes: response_bytes };
        let upstreams: Vec<_> = (0..3).map(|_| StubUpstream::start(behavior).address).collect();
        let proxy = ProxyConfig::new(&upstreams).sockets(SOCKETS).memory_mb(MEMORY_LIMIT_MB).start();
        let clients = (0..CLIENTS).map(|_| proxy.connect()).collect();
        Self { proxy, clients, _exclusive: exclusive }
    }

    /// Sends the text that `text_of` returns for the number of each client. A client whose connection the proxy
    /// has closed sends nothing.
    fn send(&mut self, text_of: impl Fn(usize) -> String) {
        for (number, client) in self.clients.iter_mut().enumerate() {
            client.try_send(&text_of(number));
        }
    }

    /// Sends the texts that `text_of` returns, each in several pieces.
    fn send_in_pieces(&mut self, text_of: impl Fn(usize) -> String) {
        let texts: Vec<_> = (0..CLIENTS).map(text_of).collect();
        for piece in 0..PIECES {
            for (client, text) in self.clients.iter_mut().zip(&texts) {
                let start = text.len() * piece / PIECES;
                let end = text.len() * (piece + 1) / PIECES;
                client.try_send(&text[start..end]);
            }
            std::thread::sleep(PIECE_INTERVAL);
        }
    }

    /// Reads the response to each client.
    fn responses(&mut self) -> Responses {
        let mut responses = Responses::new();
        for client in &mut self.clients {
            let status = client.response().map(|response| response.status());
            *responses.entry(status).or_default() += 1;
        }
        responses
    }

    /// Asserts that the proxy has stayed within its memory limit and that it serves a new client.
    fn assert_within_memory_limit(mut self) {
        drop(std::mem::take(&mut self.clients));
        let peak_kib = self.proxy.peak_memory_kib();
        assert!(peak_kib < MEMORY_LIMIT_MB * KIB_PER_MIB, "{peak_kib} KiB");
        assert_eq!(self.proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
    }
}

/// Returns a valid request with a body of `body_bytes`, whose id is derived from the number of its client.
fn request(client: usize, body_bytes: usize) -> String {
    let request = at_most_once_request(8000, &"x".repeat(body_bytes));
    request.replacen("9b1f03aa", &format!("{client:08x}"), 1)
}

/// Returns the request of [`request`] with these lines added to its head.
fn with_header_lines(client: usize, lines: &str) -> String {
    request(client, 1).replacen("Cookie", &format!("{lines}Cookie"), 1)
}

/// Asserts that each client whose request was complete got a final response: a success, or a rejection that was
/// not forwarded.
fn assert_answered(responses: &Responses, clients: usize) {
    let served = responses.get(&Some(200)).copied().unwrap_or_default();
    let rejected = responses.get(&Some(503)).copied().unwrap_or_default();
    assert!(served > 0, "{responses:?}");
    assert_eq!(served + rejected, clients, "{responses:?}");
}

/// Guards against a process that is killed for its memory: nothing limited the memory of bodies that were being
/// read. As many clients as may do so send a complete request, and the others stop in the middle of one.
#[test]
fn clients_that_stop_in_a_large_request_beside_others_that_complete_one() {
    let mut fixture = Fixture::start(MAX_BODY_BYTES);

    fixture.send(|number| {
        let request = request(number, MAX_BODY_BYTES);
        let is_complete = number < REQUESTING_CLIENTS;
        if is_complete { request } else { request[..request.len() - 1000].to_owned() }
    });
    let stalled = fixture.clients.split_off(REQUESTING_CLIENTS);
    assert_answered(&fixture.responses(), REQUESTING_CLIENTS);

    fixture.clients.extend(stalled);
    fixture.assert_within_memory_limit();
}

/// Guards against a process that is killed for its memory: nothing limited the memory of bodies that were being
/// read.
#[test]
fn clients_that_write_a_large_request_slowly() {
    let mut fixture = Fixture::start(MAX_BODY_BYTES);

    fixture.send_in_pieces(|number| request(number, MAX_BODY_BYTES));

    assert_answered(&fixture.responses(), CLIENTS);
    fixture.assert_within_memory_limit();
}

/// Guards against a process that is killed for its memory: nothing limited the memory of heads.
#[test]
fn clients_that_send_very_many_short_headers() {
    let mut fixture = Fixture::start(1);
    let lines: String = (0..90).map(|number| format!("x{number}: y\r\n")).collect();

    fixture.send(|number| with_header_lines(number, &lines));

    assert_answered(&fixture.responses(), CLIENTS);
    fixture.assert_within_memory_limit();
}

/// Guards against a process that is killed for its memory: nothing limited the memory of heads, and a
/// connection kept a buffer for the longest one.
#[test]
fn clients_that_send_long_heads() {
    let mut fixture = Fixture::start(1);
    let line = format!("X-Long: {}\r\n", "v".repeat(31_000));

    fixture.send_in_pieces(|number| with_header_lines(number, &line));

    assert_answered(&fixture.responses(), CLIENTS);
    fixture.assert_within_memory_limit();
}

/// Guards against a process that is killed for its memory: nothing limited the memory of heads.
#[test]
fn clients_that_stop_in_a_long_head() {
    let mut fixture = Fixture::start(1);
    let line = format!("X-Long: {}", "v".repeat(31_000));

    fixture.send_in_pieces(|number| {
        let request = with_header_lines(number, &line);
        let stop = request.find("Cookie").expect("the request has a cookie");
        request[..stop].to_owned()
    });

    let responses = fixture.responses();
    assert!(!responses.contains_key(&Some(200)), "{responses:?}");
    fixture.assert_within_memory_limit();
}

/// Guards against a process that is killed for its memory: nothing limited the memory of responses of up to
/// 64 KiB, and clients that read nothing kept the memory of longer ones.
#[test]
fn clients_that_read_long_responses_slowly() {
    for response_bytes in [MAX_BODY_BYTES, LONG_RESPONSE_BYTES] {
        let mut fixture = Fixture::start(response_bytes);

        fixture.send(|number| request(number, 1));
        std::thread::sleep(READ_DELAY);
        let responses = fixture.responses();

        assert!(responses.get(&Some(200)).copied().unwrap_or_default() > 0, "{responses:?}");
        fixture.assert_within_memory_limit();
    }
}

/// Guards against a process that is killed for its memory: up to 64 KiB behind each request were kept without a
/// limit on their sum.
#[test]
fn clients_that_send_much_behind_their_request() {
    let mut fixture = Fixture::start(1);

    fixture.send(|number| request(number, 1) + &"z".repeat(60_000));

    assert_answered(&fixture.responses(), CLIENTS);
    fixture.assert_within_memory_limit();
}
