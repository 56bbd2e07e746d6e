//! Answers one call to an agent with a watch: a chunked HTTP response of updates and heartbeats.

use super::{AgentControl, AgentFaults};
use crate::registry::{ListUpdate, UpdateScope};
use crate::shared_registry::SharedRegistry;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two heartbeats while the registry does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HEARTBEAT: &[u8] = b"\n";
/// Time between two checks of whether a stalled agent has been resumed.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Version that a balancer without an endpoint list states in its call.
const NO_VERSION: u64 = 0;
/// Length of the empty line, `\r\n`, that ends the header section of a request.
const EMPTY_LINE_BYTES: usize = 2;
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An open watch and its connection.
pub(super) struct Watch {
    pub stream: TcpStream,
    pub random: fastrand::Rng,
    pub faults: AgentFaults,
    pub control: Arc<AgentControl>,
}

/// Whether an update was sent completely, or a fault ended the watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delivery {
    Complete,
    Aborted,
}

impl Watch {
    /// Reads the call and sends updates until a fault ends the watch, the agent is closed, or the connection
    /// ends.
    pub fn serve(&mut self, registry: &SharedRegistry) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut version = self.read_call()?;
        if self.control.is_stalled() {
            return self.wait_for_disconnect();
        }
        self.stream.write_all(RESPONSE_HEAD)?;
        // The first update is sent at once, even if nothing has changed.
        let first_scope = self.draw_first_scope(version);
        let mut update = Some(registry.update(first_scope));
        while !self.control.is_closed() {
            if self.control.is_stalled() {
                self.wait_until_resumed();
                // The registry may have changed during the stall.
                update = Some(registry.update(UpdateScope::Delta { since: version }));
            }
            match update {
                None => self.write_chunk(HEARTBEAT)?,
                Some(ListUpdate { json, version: new_version }) => {
                    if self.deliver(&json)? == Delivery::Aborted {
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

    /// Draws the scope of the first update for a balancer that has the endpoint list in this version.
    fn draw_first_scope(&mut self, version: u64) -> UpdateScope {
        let is_snapshot = version == NO_VERSION || self.random.f64() < self.faults.snapshot;
        let include_draining = self.draw_include_draining();
        if is_snapshot {
            UpdateScope::Snapshot { include_draining }
        } else {
            UpdateScope::Delta { since: version }
        }
    }

    /// Draws whether a snapshot includes draining servers. The draw also takes place for deltas and
    /// heartbeats, which do not use the result, because each seed stands for a certain sequence of draws.
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

    /// Reads a call and returns the version of the endpoint list that the balancer has.
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

    /// Sends an update, unless a fault ends the watch before or during the update.
    fn deliver(&mut self, json: &str) -> io::Result<Delivery> {
        if self.random.f64() < self.faults.closed_watch {
            return Ok(Delivery::Aborted);
        }
        let message = [json.as_bytes(), b"\n"].concat();
        if self.random.f64() < self.faults.truncated_update {
            let length = self.random.usize(..message.len());
            self.write_in_chunks(&message[..length])?;
            return Ok(Delivery::Aborted);
        }
        self.write_in_chunks(&message)?;
        Ok(Delivery::Complete)
    }

    /// Sends a message in chunks of random length. Some chunks are written together with the next one.
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

/// Writes a chunk in the chunked transfer coding of HTTP/1.1.
fn encode_chunk(output: &mut impl Write, chunk: &[u8]) -> io::Result<()> {
    write!(output, "{:x}\r\n", chunk.len())?;
    output.write_all(chunk)?;
    output.write_all(b"\r\n")
}

/// Returns the value of the query parameter `index` in a request line.
fn requested_version(request_line: &str) -> Option<u64> {
    let value = request_line.split("index=").nth(1)?;
    let digits = value.split([' ', '&']).next()?;
    digits.parse().ok()
}
