//! A balancer that has to ask for its list starts while discovery is slow: each call is answered 3 s after it came.
//! An upstream drains. From 6 s on the change counts as told, and nothing new may be sent to that upstream.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the run.
const RUN: Duration = Duration::from_secs(30);
/// Time from a call to discovery to its answer.
const SLOW_DISCOVERY: Duration = Duration::from_secs(3);
/// "A change counts as told at the latest 6 s after discovery had it and could be reached."
const TOLD_AT_THE_LATEST: f64 = 6.0;
/// `drain_grace_ms` of the settings, and the 50 ms that every time limit is longer on sockets.
const GRACE: f64 = 0.4 + 0.05;
const CLIENTS: u64 = 6;

/// A request that reached an upstream.
struct Arrival {
    upstream: &'static str,
    at: f64,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

fn start_upstream(upstream: &'static str, record: &Arc<Record>, arrivals: &Arrivals) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (record, arrivals) = (Arc::clone(record), Arc::clone(arrivals));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals) = (Arc::clone(&record), Arc::clone(&arrivals));
            thread::spawn(move || {
                let _ = serve(stream, upstream, &record, &arrivals);
            });
        }
    });
    address
}

fn serve(
    mut stream: TcpStream,
    upstream: &'static str,
    record: &Record,
    arrivals: &Mutex<Vec<Arrival>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(request) = reader.message()? {
        let id = request.header("x-correlation-id").unwrap_or("").to_owned();
        record.line(&format!("{upstream} gets {id}"));
        arrivals.lock().unwrap().push(Arrival { upstream, at: record.seconds() });
        thread::sleep(ms(30));
        let body = format!("{{\"answer_to\":\"{id}\"}}");
        let length = body.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nX-Backend-Load: util=0.30,eps=0.0\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}

fn run_client(number: u64, address: SocketAddr, counts: &Counts, stop: &AtomicBool) {
    let mut random = Random(number.wrapping_mul(0x9e37_79b9) | 1);
    let mut connection: Option<Connection> = None;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(ms(80 + (random.fraction() * 120.0) as u64));
        let id = new_id();
        let request = Request {
            method: "GET",
            class: "chart",
            id: &id,
            tenant: "ward-a",
            key: None,
            time_left_ms: 2000,
            body: b"",
        };
        let Ok(mut open) = connection.take().map_or_else(|| Connection::open(address), Ok) else { continue };
        match open.exchange(&request.bytes(), ms(2600)) {
            Ok(answer) => {
                counts.add(&format!("status {}", answer.status()));
                connection = Some(open);
            }
            Err(_) => counts.add("no answer"),
        }
    }
}

fn main() -> ExitCode {
    let paths = Paths::from_env();
    let record = Record::create(&paths.case.join("record.txt")).unwrap();
    let counts = Arc::new(Counts::default());
    let arrivals = Arrivals::default();
    let zones = ["gasan", "pangyo", "ilsan"];
    let names = ["s-0", "s-1", "s-2"];
    let entries: Vec<Entry> = (0..3)
        .map(|index| Entry {
            uid: names[index].to_owned(),
            endpoint: start_upstream(names[index], &record, &arrivals),
            zone: zones[index].to_owned(),
            state: "Ready",
            boot_ms: 0,
            cell: index as u16,
        })
        .collect();
    let agent = Agent::start(entries.clone(), &record);
    let known = agent.whole_list();
    // Version 2: s-0 drains. The list that the new process knows is older.
    agent.change(Entry { state: "Terminating", ..entries[0].clone() });
    if trouble() {
        agent.delay_answers(SLOW_DISCOVERY);
    }
    let options = BalancerOptions {
        name: "n0",
        discovery: agent.address,
        known: &known,
        settings: &clinic_settings(1, 0, "subscribe"),
        limits: r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#,
        log_level: "info",
    };
    let Ok(mut balancer) = Balancer::start(&paths, &options) else { return exit(COULD_NOT_RUN) };
    let started_at = record.seconds();
    record.line("the balancer is started");
    if !balancer.wait_until_ready(ms(10_000)) {
        return exit(COULD_NOT_RUN);
    }
    record.line("the balancer is ready");
    let stop = flag();
    let threads: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (address, counts, stop) = (balancer.address, Arc::clone(&counts), Arc::clone(&stop));
            thread::spawn(move || run_client(number, address, &counts, &stop))
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < RUN && !balancer.has_ended() {
        thread::sleep(ms(50));
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&counts.text());
    let arrivals = arrivals.lock().unwrap();
    let limit = started_at + TOLD_AT_THE_LATEST + GRACE;
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.upstream == "s-0" && arrival.at > limit).collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "BROKEN: the draining s-0 got {} requests later than {:.2} s after the start, from {:.2} s to {:.2} s",
            late.len(),
            limit - started_at,
            first.at - started_at,
            last.at - started_at
        ));
        return exit(BROKEN);
    }
    if arrivals.len() < 100 {
        record.say("too few requests were forwarded to judge");
        return exit(COULD_NOT_RUN);
    }
    record.say("s-0 got nothing late");
    exit(HELD)
}
