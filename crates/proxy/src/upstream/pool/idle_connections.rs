//! The idle connections of a pool, found by upstream and by how long they have been idle.

use crate::upstream::connection::Connection;
use balancer_core::UpstreamId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use tokio::time::Instant;

/// A connection on which no request is in flight.
pub struct IdleConnection {
    /// The upstream that it leads to.
    pub upstream: UpstreamId,
    /// The connection.
    pub connection: Connection,
    /// When it became idle.
    pub idle_since: Instant,
}

/// Idle connections, numbered in the order in which they became idle.
#[derive(Default)]
pub struct IdleConnections {
    by_number: BTreeMap<u64, IdleConnection>,
    /// The numbers of each upstream's connections, oldest first. No entry is empty.
    numbers_by_upstream: FxHashMap<UpstreamId, VecDeque<u64>>,
    next_number: u64,
}

impl IdleConnections {
    /// Adds a connection that has just become idle.
    pub fn push(&mut self, idle: IdleConnection) {
        let number = self.next_number;
        self.next_number += 1;
        let upstream = idle.upstream;
        self.by_number.insert(number, idle);
        self.numbers_by_upstream.entry(upstream).or_default().push_back(number);
    }

    /// Whether any connection to an upstream is idle.
    pub fn contains(&self, upstream: UpstreamId) -> bool {
        self.numbers_by_upstream.contains_key(&upstream)
    }

    /// Removes the connection to an upstream that became idle last.
    pub fn pop_newest(&mut self, upstream: UpstreamId) -> Option<IdleConnection> {
        let newest = *self.numbers_by_upstream.get(&upstream)?.back()?;
        self.remove(newest)
    }

    /// Removes the connection that has been idle longest, whichever upstream it leads to.
    pub fn pop_oldest(&mut self) -> Option<IdleConnection> {
        let oldest = *self.by_number.first_key_value()?.0;
        self.remove(oldest)
    }

    /// Removes and closes all connections to an upstream.
    pub fn close_all(&mut self, upstream: UpstreamId) {
        for number in self.numbers_by_upstream.remove(&upstream).unwrap_or_default() {
            self.by_number.remove(&number);
        }
    }

    /// Removes and closes the connections for which `should_close` returns `true`.
    pub fn close_where(&mut self, should_close: impl Fn(&IdleConnection) -> bool) {
        let numbers: Vec<u64> =
            self.by_number.iter().filter(|(_, idle)| should_close(idle)).map(|(number, _)| *number).collect();
        for number in numbers {
            self.remove(number);
        }
    }

    /// The number of idle connections.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    fn remove(&mut self, number: u64) -> Option<IdleConnection> {
        let idle = self.by_number.remove(&number)?;
        if let Some(numbers) = self.numbers_by_upstream.get_mut(&idle.upstream) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.numbers_by_upstream.remove(&idle.upstream);
            }
        }
        Some(idle)
    }
}
