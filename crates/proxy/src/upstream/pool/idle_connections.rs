//! The idle connections of a pool, indexed by upstream and by the time at which they became idle.

use crate::upstream::connection::Connection;
use balancer_core::UpstreamId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use tokio::time::Instant;

/// A connection on which no request is in flight.
pub struct IdleConnection {
    /// The upstream at the other end.
    pub upstream: UpstreamId,
    /// The connection. The peer may have closed it in the meantime.
    pub connection: Connection,
    /// The time at which the connection was added to the pool.
    pub idle_since: Instant,
}

/// Idle connections. Their sequence numbers give the order in which they became idle.
#[derive(Default)]
pub struct IdleConnections {
    by_sequence_number: BTreeMap<u64, IdleConnection>,
    /// The sequence numbers of each upstream's connections in ascending order. No entry is empty.
    sequence_numbers_by_upstream: FxHashMap<UpstreamId, VecDeque<u64>>,
    next_sequence_number: u64,
}

impl IdleConnections {
    /// Adds a connection that has just become idle.
    pub fn push(&mut self, idle: IdleConnection) {
        let sequence_number = self.next_sequence_number;
        self.next_sequence_number += 1;
        let upstream = idle.upstream;
        self.by_sequence_number.insert(sequence_number, idle);
        self.sequence_numbers_by_upstream.entry(upstream).or_default().push_back(sequence_number);
    }

    /// Returns whether there is an idle connection to an upstream.
    pub fn contains(&self, upstream: UpstreamId) -> bool {
        self.sequence_numbers_by_upstream.contains_key(&upstream)
    }

    /// Removes and returns the most recently used connection to an upstream. Returns `None` if there is none.
    pub fn pop_most_recent(&mut self, upstream: UpstreamId) -> Option<IdleConnection> {
        let most_recent = *self.sequence_numbers_by_upstream.get(&upstream)?.back()?;
        self.remove(most_recent)
    }

    /// Removes and returns the connection that has been idle longest, whichever upstream it leads to. Returns
    /// `None` if there is none.
    pub fn pop_longest_idle(&mut self) -> Option<IdleConnection> {
        let longest_idle = *self.by_sequence_number.first_key_value()?.0;
        self.remove(longest_idle)
    }

    /// Closes and removes all connections to an upstream.
    pub fn close_all(&mut self, upstream: UpstreamId) {
        for sequence_number in self.sequence_numbers_by_upstream.remove(&upstream).unwrap_or_default() {
            self.by_sequence_number.remove(&sequence_number);
        }
    }

    /// Closes and removes the connections for which `should_close` returns `true`.
    pub fn close_where(&mut self, should_close: impl Fn(&IdleConnection) -> bool) {
        let sequence_numbers: Vec<u64> = self
            .by_sequence_number
            .iter()
            .filter(|(_, idle)| should_close(idle))
            .map(|(sequence_number, _)| *sequence_number)
            .collect();
        for sequence_number in sequence_numbers {
            self.remove(sequence_number);
        }
    }

    /// Returns the number of idle connections.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_sequence_number.len()
    }

    fn remove(&mut self, sequence_number: u64) -> Option<IdleConnection> {
        let idle = self.by_sequence_number.remove(&sequence_number)?;
        if let Some(sequence_numbers) = self.sequence_numbers_by_upstream.get_mut(&idle.upstream) {
            sequence_numbers.retain(|other| *other != sequence_number);
            if sequence_numbers.is_empty() {
                self.sequence_numbers_by_upstream.remove(&idle.upstream);
            }
        }
        Some(idle)
    }
}
