//! Groups of servers. All servers of a group share an address and a state, so that a few listeners stand in
//! for thousands of servers; each request is noted with its group, its sender and its time.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A request that a server has read whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The server's group.
    pub group: usize,
    /// Who sent it, as the client wrote it into the id.
    pub correlation_id: String,
    /// When.
    pub at: Instant,
}

/// All groups.
pub struct ServerGroups {
    addresses: Vec<SocketAddr>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl ServerGroups {
    /// Starts so many groups.
    pub fn start(count: usize) -> io::Result<Self> {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let mut addresses = Vec::with_capacity(count);
        for group in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let arrivals = Arc::clone(&arrivals);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let arrivals = Arc::clone(&arrivals);
                    // It ends with its connection.
                    thread::spawn(move || serve(&stream, group, &arrivals));
                }
            });
        }
        Ok(Self { addresses, arrivals })
    }

    /// Where each group listens.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The requests so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Answers requests without a body until the connection ends.
fn serve(stream: &TcpStream, group: usize, arrivals: &Mutex<Vec<Arrival>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut correlation_id = String::new();
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("x-correlation-id")
            {
                correlation_id = value.trim().to_owned();
            }
            line.clear();
        }
        if line.is_empty() {
            return Ok(());
        }
        let arrival = Arrival { group, correlation_id, at: Instant::now() };
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        (&mut &*stream).write_all(ANSWER)?;
    }
}
