//! Some clients send a payment and much more at once, and go. Checks that no attempt for such a payment begins
//! more than 0.1 s after its client closed the connection.

use stand_ins::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const UPSTREAMS: usize = 9;
const ORDINARY_CLIENTS: u64 = 6;
const ORDINARY_REQUESTS: u64 = 100;
/// Clients that go, one after another.
const GOING_CLIENTS: u64 = 60;
/// What such a client sends behind its payment. The pages name up to 60 MB.
const SURPLUS_BYTES: usize = 250_000;
/// One request in this many is turned away after a wait in the queue.
const TURNED_AWAY: u64 = 4;
const QUEUE_WAIT_MS: (u64, u64) = (200, 400);
/// The 0.1 s of the rule, and 50 ms by which each time limit on sockets is longer.
const LIMIT_SECONDS: f64 = 0.1 + 0.05;
const ZONES: [&str; 3] = ["gasan", "pangyo", "ilsan"];

/// An attempt: the upstream, the time at which its last byte came, and whether the upstream ran it.
type Attempts = Arc<Mutex<HashMap<String, Vec<(String, f64, bool)>>>>;

fn behavior(name: String, random: Arc<Random>, attempts: Attempts) -> Behavior {
    Arc::new(move |request, stream| {
        let id = request.header("x-correlation-id");
        let runs = random.between(0, TURNED_AWAY) != 0;
        lock(&attempts).entry(id.to_owned()).or_default().push((name.clone(), now(), runs));
        let (wait, answer) = if runs {
            record(format_args!("upstream {name}: runs {id}"));
            (random.between(20, 70), response("200 OK", "", &format!("answer to {id}")))
        } else {
            record(format_args!("upstream {name}: queues {id}, and will turn it away"));
            let wait = random.between(QUEUE_WAIT_MS.0, QUEUE_WAIT_MS.1);
            (wait, response("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""))
        };
        sleep(Duration::from_millis(wait));
        (&**stream).write_all(&answer).is_ok()
    })
}

/// Sends ordinary payments and returns how many were served.
fn run_ordinary_client(number: u64, address: SocketAddr) -> io::Result<u64> {
    let mut client = Client::connect(address)?;
    let mut served = 0;
    for index in 0..ORDINARY_REQUESTS {
        let id = format!("{number:08x}{index:08x}");
        record(format_args!("ordinary client {number}: sends payment {id}"));
        let answer = client.exchange(&request("payment", &id, 3000, "x=1"))?;
        record(format_args!("ordinary client {number}: {id} got {}", answer.status()));
        served += u64::from(answer.status() == 200);
        sleep(Duration::from_millis(100));
    }
    Ok(served)
}

/// Sends a payment, with surplus bytes behind it if there is trouble, and closes the connection at once. Returns
/// the time of the close.
fn send_and_go(id: &str, address: SocketAddr) -> io::Result<f64> {
    let mut client = Client::connect(address)?;
    client.stream.set_write_timeout(Some(Duration::from_millis(50)))?;
    let mut bytes = request("payment", id, 3000, "x=1");
    if trouble() {
        bytes.resize(bytes.len() + SURPLUS_BYTES, b'x');
    }
    // A client that can not write all of it within 50 ms goes as well.
    let result = client.stream.write_all(&bytes);
    drop(client);
    let closed_at = now();
    record(format_args!("client of {id}: sent {} bytes ({result:?}), closed at {closed_at:.4}", bytes.len()));
    Ok(closed_at)
}

fn case() -> io::Result<i32> {
    let random = Arc::new(Random::new(33));
    let attempts = Attempts::default();
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let name = format!("u{number}");
        let behavior = behavior(name.clone(), Arc::clone(&random), Arc::clone(&attempts));
        upstreams.push(Upstream::start(&name, ZONES[number % 3], behavior)?);
    }
    let discovery = Discovery::start(&upstreams)?;
    let mut balancer = Balancer::start(&discovery, 192, 1024)?;
    let address = balancer.address;
    let ordinary: Vec<_> =
        (0..ORDINARY_CLIENTS).map(|number| spawn(move || run_ordinary_client(number, address))).collect();
    let mut closed_at = Vec::new();
    for number in 0..GOING_CLIENTS {
        sleep(Duration::from_millis(200));
        let id = format!("60{number:06x}00000000");
        closed_at.push((id.clone(), send_and_go(&id, address)?));
    }
    let mut served = 0;
    for client in ordinary {
        served += client.join().ok().and_then(Result::ok).unwrap_or(0);
    }
    sleep(Duration::from_secs(1));
    if !balancer.is_running() {
        return Err(io::Error::other("the balancer has ended"));
    }
    let attempts = lock(&attempts);
    let (mut late, mut ran) = (0, 0);
    for (id, closed_at) in &closed_at {
        for (upstream, began_at, runs) in attempts.get(id).into_iter().flatten() {
            let delay = began_at - closed_at;
            if delay > LIMIT_SECONDS {
                late += 1;
                ran += u32::from(*runs);
                record(format_args!(
                    "BROKEN: an attempt for {id} began at {upstream} {delay:.3} s after the close, runs: {runs}"
                ));
            }
        }
    }
    report(format_args!(
        "{GOING_CLIENTS} clients went; {late} attempts began over {LIMIT_SECONDS:.2} s after the close, and {ran} of \
         them ran; {served} of {} ordinary payments were served",
        ORDINARY_CLIENTS * ORDINARY_REQUESTS
    ));
    if served < ORDINARY_CLIENTS * ORDINARY_REQUESTS / 4 {
        return Err(io::Error::other("too few ordinary requests were served"));
    }
    Ok(if late > 0 { BROKEN } else { HELD })
}

fn main() {
    run_case(case)
}
