//! The list of servers as discovery has it.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How a server stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    #[serde(rename = "Terminating")]
    Draining,
}

/// A server in the list, in the form of the wire.
#[derive(Clone, Debug, Serialize)]
pub struct Server {
    /// Its name, the same for all balancers.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: &'static str,
    /// Its kind.
    pub model: &'static str,
    /// Its cell.
    pub pod_group: u16,
    /// How it stands.
    pub state: ServerState,
    /// Its weight.
    pub capacity_hint: f64,
    /// When it last started; 0: long ago.
    pub boot_ms: u64,
}

#[derive(Serialize)]
struct List<'a> {
    rev: u64,
    all: bool,
    targets: Vec<&'a Server>,
}

/// All servers, and which of them changed in each version.
pub struct Registry {
    servers: Vec<Server>,
    version: u64,
    changes: BTreeMap<u64, Vec<usize>>,
}

impl Registry {
    /// Servers that are all ready, in version 1.
    pub fn new(servers: Vec<Server>) -> Self {
        Self { servers, version: 1, changes: BTreeMap::new() }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Applies a change to some servers, by number, as a new version.
    pub fn change(&mut self, numbers: Vec<usize>, apply: impl Fn(&mut Server)) {
        numbers.iter().for_each(|number| apply(&mut self.servers[*number]));
        self.version += 1;
        self.changes.insert(self.version, numbers);
    }

    /// The whole list. Servers that drain may be left out of it: they are then as good as gone.
    pub fn whole(&self, with_draining: bool) -> String {
        let listed = self.servers.iter().filter(|s| with_draining || s.state == ServerState::Ready);
        self.render(true, listed.collect())
    }

    /// What has changed after a version, as one list.
    pub fn since(&self, version: u64) -> String {
        let changed: BTreeSet<usize> =
            self.changes.range(version + 1..).flat_map(|(_, numbers)| numbers).copied().collect();
        self.render(false, changed.iter().map(|number| &self.servers[*number]).collect())
    }

    fn render(&self, all: bool, targets: Vec<&Server>) -> String {
        let list = List { rev: self.version, all, targets };
        serde_json::to_string(&list).expect("a list has a form in JSON")
    }
}
