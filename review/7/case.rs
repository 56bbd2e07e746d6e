//! A new configuration moves discovery to an address that is slow: each call is answered 2.5 s after it came. Whatever
//! it has to report counts as reported 4 s after the signal: nothing new may be sent to an upstream that drains.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Time from a call to the new address to its answer.
const SLOW_DISCOVERY_MS: u64 = 2500;
/// "Whatever discovery has to report counts as reported 4 s after the signal."
const REPORTED_AFTER: f64 = 4.0;
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
    let old = Agent::start(entries.clone(), &record);
    let new = Agent::start(entries.clone(), &record);
    let options = BalancerOptions {
        name: "n0",
        discovery: old.address,
        known: &old.whole_list(),
        settings: &clinic_settings(1, 0, "automatic"),
        limits: r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#,
        log_level: "info",
    };
    let Ok(mut balancer) = Balancer::start(&paths, &options) else { return exit(COULD_NOT_RUN) };
    if !balancer.wait_until_ready(ms(10_000)) {
        return exit(COULD_NOT_RUN);
    }
    let stop = flag();
    let threads: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (address, counts, stop) = (balancer.address, Arc::clone(&counts), Arc::clone(&stop));
            thread::spawn(move || run_client(number, address, &counts, &stop))
        })
        .collect();
    thread::sleep(ms(3000));
    if trouble() {
        new.delay_answers(ms(SLOW_DISCOVERY_MS));
    }
    record.line("SIGHUP: discovery moves");
    let moved_at = record.seconds();
    if balancer.move_discovery(new.address).is_err() {
        return exit(COULD_NOT_RUN);
    }
    old.retire();
    thread::sleep(ms(500));
    new.change(Entry { state: "Terminating", ..entries[0].clone() });
    thread::sleep(ms(14_500));
    let ended = balancer.has_ended();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&counts.text());
    let arrivals = arrivals.lock().unwrap();
    let limit = moved_at + REPORTED_AFTER + GRACE;
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.upstream == "s-0" && arrival.at > limit).collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "BROKEN: the draining s-0 got {} requests later than {:.2} s after the signal, from {:.2} s to {:.2} s",
            late.len(),
            limit - moved_at,
            first.at - moved_at,
            last.at - moved_at
        ));
        return exit(BROKEN);
    }
    if ended || arrivals.len() < 100 {
        record.say("too few requests were forwarded to judge");
        return exit(COULD_NOT_RUN);
    }
    record.say("s-0 got nothing late");
    exit(HELD)
}
