//! Some clients write their requests slowly, in small pieces. Checks that the balancer stays within the memory
//! limit of its configuration. The stand-in for the platform kills it over that limit.

use stand_ins::*;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 256;
/// Clients that send ordinary requests all the time.
const ORDINARY_CLIENTS: u64 = 8;
/// Clients that write slowly. With the ordinary ones they hold fewer than a third of the descriptors.
const SLOW_CLIENTS: u64 = 60;
const BODY_BYTES: usize = 2400;
const PIECE_BYTES: usize = 16;
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(8);
const ZONES: [&str; 3] = ["gasan", "pangyo", "ilsan"];

#[derive(Default)]
struct State {
    stopped: AtomicBool,
    answers: AtomicU64,
    served: AtomicU64,
    unanswered: AtomicU64,
}

impl State {
    fn record_result(&self, name: &str, result: &io::Result<Message>) {
        match result {
            Ok(answer) => {
                self.answers.fetch_add(1, Ordering::Relaxed);
                self.served.fetch_add(u64::from(answer.status() == 200), Ordering::Relaxed);
                record(format_args!("{name} got {}", answer.status()));
            }
            Err(error) => {
                self.unanswered.fetch_add(1, Ordering::Relaxed);
                record(format_args!("{name} got no answer: {error}"));
            }
        }
    }
}

fn run_ordinary_client(number: u64, address: SocketAddr, state: &State) -> io::Result<()> {
    let mut client = Client::connect(address)?;
    for index in 0.. {
        if state.stopped.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{number:08x}{index:08x}");
        record(format_args!("ordinary client {number}: sends payment {id}"));
        let result = client.exchange(&request("payment", &id, 3000, "x=1"));
        state.record_result(&format!("ordinary client {number}: {id}"), &result);
        result?;
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Sends one request. Without trouble, it is written at once.
fn run_slow_client(number: u64, address: SocketAddr, state: &State) -> io::Result<()> {
    let id = format!("51{number:06x}00000000");
    let request = request("payment", &id, 3000, &"x".repeat(BODY_BYTES));
    let mut client = Client::connect(address)?;
    let (head, body) = request.split_at(request.len() - BODY_BYTES);
    client.stream.write_all(head)?;
    record(format_args!("slow client {number}: wrote the head of payment {id}"));
    if trouble() {
        for piece in body.chunks(PIECE_BYTES) {
            client.stream.write_all(piece)?;
            sleep(PIECE_INTERVAL);
        }
    } else {
        client.stream.write_all(body)?;
    }
    record(format_args!("slow client {number}: wrote the last byte of {id}"));
    state.record_result(&format!("slow client {number}: {id}"), &client.response());
    Ok(())
}

fn case() -> io::Result<i32> {
    let mut upstreams = Vec::new();
    for number in 0..9 {
        let behavior: Behavior = Arc::new(move |request, stream| {
            let id = request.header("x-correlation-id");
            record(format_args!("upstream u{number}: runs {id}, {} bytes", request.body.len()));
            sleep(Duration::from_millis(60));
            (&**stream).write_all(&response("200 OK", "", &format!("answer to {id}"))).is_ok()
        });
        upstreams.push(Upstream::start(&format!("u{number}"), ZONES[number % 3], behavior)?);
    }
    let discovery = Discovery::start(&upstreams)?;
    let mut balancer = Balancer::start(&discovery, MEMORY_MB, DESCRIPTORS)?;
    let state = Arc::new(State::default());
    let address = balancer.address;
    for number in 0..ORDINARY_CLIENTS {
        let state = Arc::clone(&state);
        spawn(move || run_ordinary_client(number, address, &state));
    }
    sleep(Duration::from_secs(1));
    report(format_args!("before the slow clients: {} kB of memory", balancer.memory_kb("RssAnon")));
    for number in 0..SLOW_CLIENTS {
        let state = Arc::clone(&state);
        spawn(move || {
            if let Err(error) = run_slow_client(number, address, &state) {
                record(format_args!("slow client {number} could not write its request: {error}"));
            }
        });
    }
    let code = watch_memory(&mut balancer);
    sleep(Duration::from_millis(200));
    state.stopped.store(true, Ordering::Relaxed);
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    report(format_args!(
        "{} answers, {} of them 200; {} requests without an answer",
        count(&state.answers),
        count(&state.served),
        count(&state.unanswered)
    ));
    if count(&state.served) == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(code)
}

/// Stands in for the platform: kills the balancer once it is over its memory limit. In favour of the balancer,
/// the pages of files, such as its program, are not counted. Returns the code of the case.
fn watch_memory(balancer: &mut Balancer) -> i32 {
    let steps = RUN_TIME.as_millis() / 50;
    let mut most_kb = 0;
    for step in 0..steps {
        sleep(Duration::from_millis(50));
        if !balancer.is_running() {
            report("BROKEN: the balancer ended by itself");
            return BROKEN;
        }
        let anonymous_kb = balancer.memory_kb("RssAnon");
        most_kb = most_kb.max(anonymous_kb);
        if step % 5 == 0 {
            record(format_args!("{anonymous_kb} kB of memory, without the pages of files"));
        }
        if anonymous_kb > MEMORY_MB * 1024 {
            report(format_args!(
                "BROKEN: {anonymous_kb} kB of memory, without the pages of files; the limit is {} kB; killed",
                MEMORY_MB * 1024
            ));
            signal(balancer.pid(), SIGKILL);
            return BROKEN;
        }
    }
    report(format_args!("at most {most_kb} kB of memory; the limit is {} kB", MEMORY_MB * 1024));
    HELD
}

fn main() {
    run_case(case)
}
