//! The endpoint list of discovery with its versions, and its JSON form on the wire.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server finishes the requests that it has received and must not get new ones.
    #[serde(rename = "Terminating")]
    Draining,
}

/// A server in the endpoint list. On the wire its fields have the names that discovery uses.
#[derive(Clone, Debug, Serialize)]
pub struct Server {
    /// Identifier, which is the same for all balancers.
    #[serde(rename = "uid")]
    pub id: String,
    /// Address on which the server listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Zone that the server is in.
    #[serde(rename = "az")]
    pub zone: &'static str,
    /// Hardware model that the server runs on.
    #[serde(rename = "model")]
    pub hardware: &'static str,
    /// Cell that the server belongs to.
    #[serde(rename = "pod_group")]
    pub cell: u16,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Weight of the server; the setting `weight_kind` of the balancer defines its meaning.
    #[serde(rename = "capacity_hint")]
    pub weight: f64,
    /// When the server last started, in milliseconds of Unix time; 0 stands for long ago.
    #[serde(rename = "boot_ms")]
    pub started_at_unix_ms: u64,
}

/// The part of the endpoint list that an update contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateScope {
    /// The complete endpoint list.
    Snapshot {
        /// Whether draining servers are included. If they are not, a balancer must treat them as removed.
        include_draining: bool,
    },
    /// The servers that changed after a version.
    Delta {
        /// Version after which the changes are included.
        since: u64,
    },
}

/// An update of the endpoint list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListUpdate {
    /// The update in the JSON form of discovery.
    pub json: String,
    /// Version of the endpoint list after the update.
    pub version: u64,
}

/// The JSON form of an update.
#[derive(Serialize)]
struct ListMessage<'a> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    servers: Vec<&'a Server>,
}

/// All servers, the current version of the endpoint list, and the changes that led to it.
pub struct Registry {
    servers: Vec<Server>,
    version: u64,
    /// Indices of the changed servers, by the version that the change led to.
    changes: BTreeMap<u64, Vec<usize>>,
}

impl Registry {
    /// Creates a registry of these servers, in version 1.
    pub fn new(servers: Vec<Server>) -> Self {
        Self { servers, version: 1, changes: BTreeMap::new() }
    }

    /// Returns the current version, which grows by 1 with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change to the servers at these indices and increments the version.
    pub fn change(&mut self, indices: Vec<usize>, apply: impl Fn(&mut Server)) {
        for index in &indices {
            apply(&mut self.servers[*index]);
        }
        self.version += 1;
        self.changes.insert(self.version, indices);
    }

    /// Returns an update that leads to the current version.
    pub fn update(&self, scope: UpdateScope) -> ListUpdate {
        let message = match scope {
            UpdateScope::Snapshot { include_draining } => self.snapshot(include_draining),
            UpdateScope::Delta { since } => self.delta(since),
        };
        let json = serde_json::to_string(&message).expect("an endpoint list can be serialized as JSON");
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
