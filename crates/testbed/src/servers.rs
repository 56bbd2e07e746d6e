//! Groups of servers. All servers of a group share one address and one state, so that a few listeners can
//! stand in for thousands of servers. Each request is recorded with its group, correlation id and time of
//! arrival.

use crate::message::Message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A request that a server has read completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Index of the group whose listener received the request.
    pub group: usize,
    /// Correlation id that the client gave the request.
    pub correlation_id: String,
    /// When the server had read the complete request.
    pub at: Instant,
}

/// All server groups, which listen until the test process ends.
pub struct ServerGroups {
    addresses: Vec<SocketAddr>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl ServerGroups {
    /// Starts `count` groups on free ports. Returns an error if a group cannot listen.
    pub fn start(count: usize) -> io::Result<Self> {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let mut addresses = Vec::with_capacity(count);
        for group in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let arrivals = Arc::clone(&arrivals);
            thread::spawn(move || accept_connections(&listener, group, &arrivals));
        }
        Ok(Self { addresses, arrivals })
    }

    /// Returns the addresses of the groups, in the order of their indices.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns all requests that the servers have received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Serves each connection in its own thread.
fn accept_connections(listener: &TcpListener, group: usize, arrivals: &Arc<Mutex<Vec<Arrival>>>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let arrivals = Arc::clone(arrivals);
        thread::spawn(move || serve_connection(&stream, group, &arrivals));
    }
}

/// Records each request on a connection and responds to it, until the connection ends.
fn serve_connection(stream: &TcpStream, group: usize, arrivals: &Mutex<Vec<Arrival>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader)? {
        let arrival = Arrival { group, correlation_id: request.correlation_id, at: Instant::now() };
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        (&mut &*stream).write_all(RESPONSE)?;
    }
    Ok(())
}
