//! Upstreams that respond at once, late or never.

use super::plan::{Behavior, Plan};
use crate::message::Message;
use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// The correlation ids of the requests that came completely.
type Arrivals = Arc<Mutex<HashSet<String>>>;

/// All upstreams of a run. They listen until the process of the test ends.
pub(super) struct Upstreams {
    addresses: Vec<SocketAddr>,
    arrivals: Arrivals,
}

impl Upstreams {
    pub(super) fn start(plan: &Plan) -> io::Result<Self> {
        let arrivals = Arrivals::default();
        let mut addresses = Vec::new();
        for (index, behavior) in plan.upstreams.iter().copied().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let arrivals = Arc::clone(&arrivals);
            let seed = plan.seed ^ index as u64;
            thread::spawn(move || accept_connections(&listener, behavior, seed, &arrivals));
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

fn accept_connections(listener: &TcpListener, behavior: Behavior, seed: u64, arrivals: &Arrivals) {
    for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
        let arrivals = Arc::clone(arrivals);
        let random = fastrand::Rng::with_seed(seed.wrapping_add((number as u64) << 8));
        thread::spawn(move || serve_connection(&stream, behavior, random, &arrivals));
    }
}

/// Serves requests until the connection ends.
fn serve_connection(
    stream: &TcpStream,
    behavior: Behavior,
    mut random: fastrand::Rng,
    arrivals: &Arrivals,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader)? {
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).insert(request.correlation_id);
        match behavior {
            Behavior::AtOnce => {}
            Behavior::Late(longest) => {
                thread::sleep(Duration::from_millis(random.u64(..=longest.as_millis() as u64)));
            }
            Behavior::Never => continue,
        }
        (&mut &*stream).write_all(RESPONSE)?;
    }
    Ok(())
}
