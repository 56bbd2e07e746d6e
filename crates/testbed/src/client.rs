//! A client that sends one request after another to one process of the balancer.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The longest wait for an answer.
const ANSWER_MOST: Duration = Duration::from_secs(10);
/// Pause before another connection, when one has failed.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Answers by status.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    /// Served.
    pub served: usize,
    /// Refused or failed.
    pub not_served: usize,
    /// Never answered: the connection ended, or nothing came.
    pub lost: usize,
}

/// A running client.
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl Client {
    /// Starts one whose requests bear ids that begin with `sender`, each after a pause.
    pub fn start(address: SocketAddr, sender: String, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut answers = Answers::default();
            let mut number = 0;
            while !stopped.load(Ordering::Relaxed) {
                // A connection ends when the balancer is killed.
                if converse(address, &sender, &mut number, pause, &stopped, &mut answers).is_err() {
                    thread::sleep(CONNECT_PAUSE);
                }
            }
            answers
        });
        Self { stop, thread }
    }

    /// Ends it and returns what it was answered.
    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// Sends requests on one connection until it ends or the client is stopped.
fn converse(
    address: SocketAddr,
    sender: &str,
    number: &mut u64,
    pause: Duration,
    stopped: &AtomicBool,
    answers: &mut Answers,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_MOST))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while !stopped.load(Ordering::Relaxed) {
        *number += 1;
        let request = format!(
            "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {sender}-{number}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: 3000\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        match read_answer(&mut reader) {
            Ok(200) => answers.served += 1,
            Ok(_) => answers.not_served += 1,
            Err(e) => {
                answers.lost += 1;
                return Err(e);
            }
        }
        thread::sleep(pause);
    }
    Ok(())
}

/// Reads an answer and returns its status.
fn read_answer(reader: &mut impl BufRead) -> io::Result<u16> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut length = 0;
    loop {
        line.clear();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().map_err(|_| io::ErrorKind::InvalidData)?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(status)
}
