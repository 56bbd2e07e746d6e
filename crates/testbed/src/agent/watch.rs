//! One call to an agent, and the watch that answers it: a chunked response of updates and heartbeats.

use super::{AgentControl, AgentFaults};
use crate::registry::{ListUpdate, UpdateScope};
use crate::shared_registry::SharedRegistry;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HEARTBEAT: &[u8] = b"\n";
/// Time between two checks whether a stalled agent has been resumed.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The version that a balancer without a list asks to go on from.
const NO_VERSION: u64 = 0;
/// The length of a header line without content.
const EMPTY_LINE_BYTES: usize = 2;
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An open watch.
pub(super) struct Watch {
    pub stream: TcpStream,
    pub random: fastrand::Rng,
    pub faults: AgentFaults,
    pub control: Arc<AgentControl>,
}

/// Whether a watch goes on after an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delivery {
    Complete,
    BrokenOff,
}

impl Watch {
    /// Reads the call and delivers updates until a fault ends the watch, the agent is closed, or the
    /// connection ends.
    pub fn serve(&mut self, registry: &SharedRegistry) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut version = self.read_call()?;
        if self.control.is_stalled() {
            return self.wait_for_disconnect();
        }
        self.stream.write_all(RESPONSE_HEAD)?;
        // The first update comes at once, whether anything has changed or not.
        let first_scope = self.draw_first_scope(version);
        let mut update = Some(registry.update(first_scope));
        while !self.control.is_closed() {
            if self.control.is_stalled() {
                self.wait_until_resumed();
                // More may have changed meanwhile.
                update = Some(registry.update(UpdateScope::Delta { since: version }));
            }
            match update {
                None => self.write_chunk(HEARTBEAT)?,
                Some(ListUpdate { json, version: new_version }) => {
                    if self.deliver(&json)? == Delivery::BrokenOff {
                        return Ok(());
                    }
                    version = new_version;
                }
            }
            self.draw_include_draining();
            update = registry.wait_for_change(version, HEARTBEAT_INTERVAL);
        }
        Ok(())
    }

    fn draw_first_scope(&mut self, version: u64) -> UpdateScope {
        let is_snapshot = version == NO_VERSION || self.random.f64() < self.faults.snapshot;
        let include_draining = self.draw_include_draining();
        if is_snapshot {
            UpdateScope::Snapshot { include_draining }
        } else {
            UpdateScope::Delta { since: version }
        }
    }

    /// Draws whether a snapshot includes draining servers. Drawn for every update, although deltas do not use
    /// it: each seed stands for a certain sequence of draws.
    fn draw_include_draining(&mut self) -> bool {
        self.random.bool()
    }

    /// Waits until the agent is no longer stalled.
    fn wait_until_resumed(&self) {
        while self.control.is_stalled() {
            thread::sleep(STALL_POLL_INTERVAL);
        }
    }

    /// Waits until the balancer closes the connection.
    fn wait_for_disconnect(&mut self) -> io::Result<()> {
        io::copy(&mut self.stream, &mut io::sink())?;
        Ok(())
    }

    /// Reads a call and returns the version that it asks to go on from.
    fn read_call(&mut self) -> io::Result<u64> {
        let mut reader = BufReader::new(&self.stream);
        let mut request_line = String::new();
        reader.read_line(&mut request_line)?;
        let mut header = String::new();
        while reader.read_line(&mut header)? > EMPTY_LINE_BYTES {
            header.clear();
        }
        requested_version(&request_line).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Delivers an update, unless a fault ends the watch before it or within it.
    fn deliver(&mut self, json: &str) -> io::Result<Delivery> {
        if self.random.f64() < self.faults.closed_watch {
            return Ok(Delivery::BrokenOff);
        }
        let message = [json.as_bytes(), b"\n"].concat();
        if self.random.f64() < self.faults.truncated_update {
            let length = self.random.usize(..message.len());
            self.write_in_chunks(&message[..length])?;
            return Ok(Delivery::BrokenOff);
        }
        self.write_in_chunks(&message)?;
        Ok(Delivery::Complete)
    }

    /// Writes a message in chunks of random length, some of them together with the next.
    fn write_in_chunks(&mut self, message: &[u8]) -> io::Result<()> {
        let mut rest = message;
        let mut buffer = Vec::new();
        while !rest.is_empty() {
            let length = self.random.usize(1..=self.faults.max_chunk_bytes).min(rest.len());
            let (chunk, after) = rest.split_at(length);
            encode_chunk(&mut buffer, chunk)?;
            rest = after;
            if self.random.bool() {
                self.stream.write_all(&buffer)?;
                buffer.clear();
            }
        }
        self.stream.write_all(&buffer)
    }

    fn write_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        encode_chunk(&mut self.stream, chunk)
    }
}

/// Writes a chunk in the form of HTTP/1.1's chunked transfer coding.
fn encode_chunk(output: &mut impl Write, chunk: &[u8]) -> io::Result<()> {
    write!(output, "{:x}\r\n", chunk.len())?;
    output.write_all(chunk)?;
    output.write_all(b"\r\n")
}

/// Returns the value of `index=` in a request line.
fn requested_version(request_line: &str) -> Option<u64> {
    let value = request_line.split("index=").nth(1)?;
    let digits = value.split([' ', '&']).next()?;
    digits.parse().ok()
}
