//! Discovery's agent beside a balancer: it answers calls with a watch on a [`Registry`], in pieces of any
//! length, now and then breaks a watch off, and can be silent or closed.

use crate::registry::Registry;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time between two words while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Between two looks at whether a silent agent is back.
const SILENCE_LOOK: Duration = Duration::from_millis(2);
/// After an agent is closed its open watches stay for so long.
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What goes wrong, as a share of the lists told.
#[derive(Clone, Copy, Debug)]
pub struct AgentFaults {
    /// The watch is broken off within a list.
    pub broken_off: f64,
    /// The watch ends instead of telling.
    pub ended: f64,
    /// A call is answered with the whole list, without servers that drain.
    pub whole: f64,
    /// The longest piece of a list.
    pub longest_piece: usize,
}

/// The registry, and the signal that it has changed.
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    changed: Condvar,
}

impl SharedRegistry {
    /// Shares a registry.
    pub fn new(registry: Registry) -> Arc<Self> {
        Arc::new(Self { registry: Mutex::new(registry), changed: Condvar::new() })
    }

    /// Reads or changes the registry, and wakes the watches.
    pub fn with<T>(&self, act: impl FnOnce(&mut Registry) -> T) -> T {
        let result = act(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
        result
    }

    /// What there is to tell after a version, and up to which; `None` if nothing came within the heartbeat.
    fn wait_after(&self, version: u64, render: impl Fn(&Registry) -> String) -> Option<(String, u64)> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let unchanged = |registry: &mut Registry| registry.version() <= version;
        let waited = self.changed.wait_timeout_while(registry, HEARTBEAT, unchanged);
        let (registry, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        (!timeout.timed_out()).then(|| (render(&registry), registry.version()))
    }
}

/// What is asked of an agent from outside.
#[derive(Default)]
struct Orders {
    silent: AtomicBool,
    closed: AtomicBool,
}

impl Orders {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// A running agent. It answers until the process ends, or it is closed.
pub struct Agent {
    address: SocketAddr,
    orders: Arc<Orders>,
}

impl Agent {
    /// Starts one.
    pub fn start(registry: &Arc<SharedRegistry>, faults: AgentFaults, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let registry = Arc::clone(registry);
        let orders: Arc<Orders> = Arc::default();
        let obeyed = Arc::clone(&orders);
        thread::spawn(move || {
            let mut random = fastrand::Rng::with_seed(seed);
            for stream in listener.incoming().map_while(Result::ok) {
                if obeyed.is_closed() {
                    return;
                }
                let random = random.fork();
                let registry = Arc::clone(&registry);
                let orders = Arc::clone(&obeyed);
                thread::spawn(move || {
                    let mut watch = Watch { stream, random, faults, orders };
                    // It ends when the balancer or a fault ends it.
                    let _ = watch.serve(&registry);
                    let _ = watch.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self { address, orders })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has it fall silent, or be back. Calls made while it is silent are never answered; watches that were open
    /// before go on when it is back.
    pub fn set_silent(&self, silent: bool) {
        self.orders.silent.store(silent, Ordering::SeqCst);
    }

    /// Has it take no more calls; open watches end a moment later.
    pub fn close(self) {
        let orders = self.orders;
        thread::spawn(move || {
            thread::sleep(CLOSE_AFTER);
            orders.closed.store(true, Ordering::SeqCst);
        });
    }
}

/// One open watch.
struct Watch {
    stream: TcpStream,
    random: fastrand::Rng,
    faults: AgentFaults,
    orders: Arc<Orders>,
}

impl Watch {
    fn serve(&mut self, registry: &SharedRegistry) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut version = self.read_call()?;
        if self.orders.is_silent() {
            return self.wait_for_end();
        }
        self.stream.write_all(HEAD)?;
        let mut first = true;
        loop {
            let whole = first && (version == 0 || self.random.f64() < self.faults.whole);
            let with_draining = self.random.bool();
            let render = |registry: &Registry| {
                if whole { registry.whole(with_draining) } else { registry.since(version) }
            };
            // The first list comes at once, whether anything has changed or not.
            let asked = if first { None } else { Some(version) };
            let told = match asked {
                None => Some(registry.with(|registry| (render(registry), registry.version()))),
                Some(version) => registry.wait_after(version, render),
            };
            first = false;
            if self.orders.is_closed() {
                return Ok(());
            }
            let told = if self.orders.is_silent() {
                self.wait_for_return();
                // More may have changed meanwhile.
                Some(registry.with(|registry| (registry.since(version), registry.version())))
            } else {
                told
            };
            match told {
                None => self.write_chunk(b"\n")?,
                Some(_) if self.random.f64() < self.faults.ended => return Ok(()),
                Some((list, to)) => {
                    if !self.tell(&list)? {
                        return Ok(());
                    }
                    version = to;
                }
            }
        }
    }

    /// Waits until the agent is no longer silent.
    fn wait_for_return(&self) {
        while self.orders.is_silent() {
            thread::sleep(SILENCE_LOOK);
        }
    }

    /// Waits until the balancer closes the connection.
    fn wait_for_end(&mut self) -> io::Result<()> {
        io::copy(&mut self.stream, &mut io::sink()).map(|_| ())
    }

    /// Reads a call and returns the version that it asks to go on from.
    fn read_call(&mut self) -> io::Result<u64> {
        let mut reader = BufReader::new(&self.stream);
        let mut target = String::new();
        reader.read_line(&mut target)?;
        let mut header = String::new();
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        let index = target.split("index=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        index.and_then(|index| index.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Writes a list in pieces; `false` if it was broken off.
    fn tell(&mut self, list: &str) -> io::Result<bool> {
        let bytes = [list.as_bytes(), b"\n"].concat();
        let broken_off = self.random.f64() < self.faults.broken_off;
        let mut rest = if broken_off { &bytes[..self.random.usize(..bytes.len())] } else { &bytes[..] };
        let mut buffer = Vec::new();
        while !rest.is_empty() {
            let length = self.random.usize(1..=self.faults.longest_piece).min(rest.len());
            let (piece, after) = rest.split_at(length);
            write!(buffer, "{length:x}\r\n")?;
            buffer.extend_from_slice(piece);
            buffer.extend_from_slice(b"\r\n");
            rest = after;
            // Some pieces go out by themselves, some with the next.
            if self.random.bool() {
                self.stream.write_all(&buffer)?;
                buffer.clear();
            }
        }
        self.stream.write_all(&buffer)?;
        Ok(!broken_off)
    }

    fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        write!(self.stream, "{:x}\r\n", chunk.len())?;
        self.stream.write_all(chunk)?;
        self.stream.write_all(b"\r\n")
    }
}
