//! Upstreams that respond immediately, with a delay or never.

use super::plan::{Plan, ResponseTiming};
use crate::message::Message;
use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Correlation ids of the requests that upstreams have read completely.
type Arrivals = Arc<Mutex<HashSet<String>>>;

/// All upstreams of a run, which listen until the test process ends.
pub(super) struct Upstreams {
    addresses: Vec<SocketAddr>,
    arrivals: Arrivals,
}

impl Upstreams {
    pub(super) fn start(plan: &Plan) -> io::Result<Self> {
        let arrivals = Arrivals::default();
        let mut addresses = Vec::new();
        for (index, response_timing) in plan.upstreams.iter().copied().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let arrivals = Arc::clone(&arrivals);
            let seed = plan.seed ^ index as u64;
            thread::spawn(move || accept_connections(&listener, response_timing, seed, &arrivals));
        }
        Ok(Self { addresses, arrivals })
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    pub(super) fn arrivals(&self) -> HashSet<String> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn accept_connections(
    listener: &TcpListener,
    response_timing: ResponseTiming,
    seed: u64,
    arrivals: &Arrivals,
) {
    for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
        let arrivals = Arc::clone(arrivals);
        let random = fastrand::Rng::with_seed(seed.wrapping_add((number as u64) << 8));
        thread::spawn(move || serve_connection(&stream, response_timing, random, &arrivals));
    }
}

/// Records each request on a connection and responds to it as `response_timing` states, until the connection
/// ends.
fn serve_connection(
    stream: &TcpStream,
    response_timing: ResponseTiming,
    mut random: fastrand::Rng,
    arrivals: &Arrivals,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader)? {
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).insert(request.correlation_id);
        match response_timing {
            ResponseTiming::Immediate => {}
            ResponseTiming::Delayed(max_delay) => {
                thread::sleep(Duration::from_millis(random.u64(..=max_delay.as_millis() as u64)));
            }
            ResponseTiming::Never => continue,
        }
        (&mut &*stream).write_all(RESPONSE)?;
    }
    Ok(())
}
