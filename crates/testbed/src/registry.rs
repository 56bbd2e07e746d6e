//! The list of servers as discovery has it, in versions, and its form on the wire.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes the requests it has and must get no new ones.
    #[serde(rename = "Terminating")]
    Draining,
}

/// A server in the list. Field names on the wire are those of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Server {
    /// Its id, the same for all balancers.
    #[serde(rename = "uid")]
    pub id: String,
    /// Where it listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "az")]
    pub zone: &'static str,
    /// Its kind of hardware.
    #[serde(rename = "model")]
    pub hardware: &'static str,
    /// Its cell.
    #[serde(rename = "pod_group")]
    pub cell: u16,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its weight.
    #[serde(rename = "capacity_hint")]
    pub weight: f64,
    /// When it last started; 0: long ago.
    #[serde(rename = "boot_ms")]
    pub started_at_ms: u64,
}

/// The part of the list that an update holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateScope {
    /// The complete list.
    Snapshot {
        /// Draining servers are in the list. If they are not, a balancer has to take them for removed.
        include_draining: bool,
    },
    /// The servers that changed after a version.
    Delta {
        /// The version.
        since: u64,
    },
}

/// An update of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListUpdate {
    /// The update as JSON, in discovery's form.
    pub json: String,
    /// The version that it leads to.
    pub version: u64,
}

#[derive(Serialize)]
struct ListMessage<'a> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    servers: Vec<&'a Server>,
}

/// All servers, and which of them changed in each version.
pub struct Registry {
    servers: Vec<Server>,
    version: u64,
    /// The indices of the servers that changed in each version.
    changes: BTreeMap<u64, Vec<usize>>,
}

impl Registry {
    /// Creates a registry of servers, in version 1.
    pub fn new(servers: Vec<Server>) -> Self {
        Self { servers, version: 1, changes: BTreeMap::new() }
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change to the servers at these indices, as a new version.
    pub fn change(&mut self, indices: Vec<usize>, apply: impl Fn(&mut Server)) {
        for index in &indices {
            apply(&mut self.servers[*index]);
        }
        self.version += 1;
        self.changes.insert(self.version, indices);
    }

    /// Returns an update to the current version.
    pub fn update(&self, scope: UpdateScope) -> ListUpdate {
        let message = match scope {
            UpdateScope::Snapshot { include_draining } => self.snapshot(include_draining),
            UpdateScope::Delta { since } => self.delta(since),
        };
        let json = serde_json::to_string(&message).expect("a list has a form in JSON");
        ListUpdate { json, version: self.version }
    }

    fn snapshot(&self, include_draining: bool) -> ListMessage<'_> {
        let is_listed = |server: &&Server| include_draining || server.state == ServerState::Ready;
        let servers = self.servers.iter().filter(is_listed).collect();
        ListMessage { version: self.version, is_snapshot: true, servers }
    }

    fn delta(&self, since: u64) -> ListMessage<'_> {
        let later = self.changes.range(since + 1..);
        let changed: BTreeSet<usize> = later.flat_map(|(_, indices)| indices).copied().collect();
        let servers = changed.into_iter().map(|index| &self.servers[index]).collect();
        ListMessage { version: self.version, is_snapshot: false, servers }
    }
}
