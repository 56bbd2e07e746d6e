//! Upstreams turn some requests away, and some of these answers come a second time, some milliseconds after the
//! first. Checks that no request of a class that must never run twice runs twice, and that none that ran is
//! refused.

use stand_ins::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const UPSTREAMS: usize = 9;
const CLIENTS: u64 = 12;
const RUN_TIME: Duration = Duration::from_secs(30);
const ZONES: [&str; 3] = ["gasan", "pangyo", "ilsan"];
/// One request in this many is turned away, because the queue is full.
const TURNED_AWAY: u64 = 8;
/// One answer in this many comes a second time.
const SPOILT_ANSWERS: u64 = 4;
/// How late the second answer comes, in milliseconds.
const DELAY_MS: (u64, u64) = (2, 10);

/// The upstreams that ran each request.
type Executions = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn behavior(name: String, random: Arc<Random>, executions: Executions) -> Behavior {
    Arc::new(move |request, stream| {
        let id = request.header("x-correlation-id").to_owned();
        if random.between(0, TURNED_AWAY) == 0 {
            let answer = response("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            record(format_args!("upstream {name}: turns {id} away"));
            let sent = (&**stream).write_all(&answer).is_ok();
            if trouble() && random.between(0, SPOILT_ANSWERS) == 0 {
                let delay = Duration::from_millis(random.between(DELAY_MS.0, DELAY_MS.1));
                let (stream, name) = (Arc::clone(stream), name.clone());
                spawn(move || {
                    sleep(delay);
                    let _ = (&*stream).write_all(&answer);
                    record(format_args!("upstream {name}: sent the answer to {id} again after {delay:?}"));
                });
            }
            return sent;
        }
        record(format_args!("upstream {name}: runs {} {id}", request.path()));
        lock(&executions).entry(id.clone()).or_default().push(name.clone());
        sleep(Duration::from_millis(random.between(20, 70)));
        let answer = response("200 OK", "X-Backend-Load: util=0.4,eps=0\r\n", &format!("answer to {id}"));
        (&**stream).write_all(&answer).is_ok()
    })
}

/// Sends payments one after another. Notes the status of each answer.
fn run_client(number: u64, address: SocketAddr, random: &Random, answers: &Mutex<HashMap<String, u16>>) {
    let started_at = Instant::now();
    let mut client = Client::connect(address).ok();
    let mut index = 0;
    while started_at.elapsed() < RUN_TIME {
        let id = format!("{number:08x}{index:08x}");
        index += 1;
        record(format_args!("client {number}: sends payment {id}"));
        let result = match &mut client {
            Some(client) => client.exchange(&request("payment", &id, 3000, "x=1")),
            None => Err(io::ErrorKind::NotConnected.into()),
        };
        match result {
            Ok(answer) => {
                record(format_args!("client {number}: {id} got {} {:?}", answer.status(), answer.text()));
                lock(answers).insert(id, answer.status());
            }
            Err(error) => {
                record(format_args!("client {number}: {id} got no answer: {error}"));
                client = Client::connect(address).ok();
            }
        }
        sleep(Duration::from_millis(random.between(0, 20)));
    }
}

fn case() -> io::Result<i32> {
    let random = Arc::new(Random::new(33));
    let executions = Executions::default();
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let name = format!("u{number}");
        let behavior = behavior(name.clone(), Arc::clone(&random), Arc::clone(&executions));
        upstreams.push(Upstream::start(&name, ZONES[number % 3], behavior)?);
    }
    let discovery = Discovery::start(&upstreams)?;
    let mut balancer = Balancer::start(&discovery, 192, 1024)?;
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let address = balancer.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (random, answers) = (Arc::clone(&random), Arc::clone(&answers));
            spawn(move || run_client(number, address, &random, &answers))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if !balancer.is_running() {
        return Err(io::Error::other("the balancer has ended"));
    }
    sleep(Duration::from_millis(500));
    let (executions, answers) = (lock(&executions), lock(&answers));
    let (mut twice, mut refused) = (0, 0);
    for (id, names) in executions.iter() {
        if names.len() > 1 {
            twice += 1;
            record(format_args!("BROKEN: payment {id} ran {} times, at {names:?}", names.len()));
        }
        if matches!(answers.get(id), Some(429 | 503)) {
            refused += 1;
            record(format_args!("BROKEN: payment {id} was refused, but ran at {names:?}"));
        }
    }
    let served = answers.values().filter(|status| **status == 200).count();
    report(format_args!(
        "{} answers, {served} of them 200; {twice} payments ran twice, {refused} were refused although they ran",
        answers.len()
    ));
    if served < 500 {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok(if twice + refused > 0 { BROKEN } else { HELD })
}

fn main() {
    run_case(case)
}
