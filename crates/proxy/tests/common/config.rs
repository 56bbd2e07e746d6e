//! A builder for the configuration file of a proxy.

use super::{EndpointState, ProxyProcess, endpoint, snapshot, unused_address, wait_until};
use std::net::SocketAddr;

/// The part of the proxy that starts the watch of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The proxy starts the watch when the process starts.
    Automatic,
    /// The decision logic (`balancer-core`) requests the watch.
    Subscribe,
}

impl DiscoveryMode {
    const fn wire_name(self) -> &'static str {
        match self {
            Self::Automatic => "automatic",
            Self::Subscribe => "subscribe",
        }
    }
}

/// Builds the configuration of a proxy with three request classes: `look` is idempotent, `book` at-most-once,
/// `keyed` deduplicated.
#[derive(Clone)]
pub struct ProxyConfig {
    discovery: SocketAddr,
    discovery_mode: DiscoveryMode,
    cached_list: String,
    sockets: usize,
    memory_mb: u64,
    deadline_ms: u64,
    balancers: u32,
}

impl ProxyConfig {
    /// Creates a configuration whose cached endpoint list contains these upstreams, named `s-0`, `s-1` and so
    /// on. Nothing listens at the address of discovery, as if it were down.
    pub fn new(upstreams: &[SocketAddr]) -> Self {
        let ready_endpoint = |(number, address): (usize, &SocketAddr)| {
            endpoint(&format!("s-{number}"), *address, EndpointState::Ready)
        };
        let endpoints: Vec<_> = upstreams.iter().enumerate().map(ready_endpoint).collect();
        Self {
            discovery: unused_address(),
            discovery_mode: DiscoveryMode::Automatic,
            cached_list: snapshot(1, &endpoints),
            sockets: 256,
            memory_mb: 192,
            deadline_ms: 8000,
            balancers: 1,
        }
    }

    /// Sets the address of the discovery service.
    pub fn discovery(mut self, address: SocketAddr) -> Self {
        self.discovery = address;
        self
    }

    /// Sets which part of the proxy starts the watch.
    pub fn discovery_mode(mut self, mode: DiscoveryMode) -> Self {
        self.discovery_mode = mode;
        self
    }

    /// Replaces the cached endpoint list.
    pub fn cached_list(mut self, list: String) -> Self {
        self.cached_list = list;
        self
    }

    /// Sets how many sockets the proxy may have open at once.
    pub fn sockets(mut self, sockets: usize) -> Self {
        self.sockets = sockets;
        self
    }

    /// Sets the memory limit of the proxy, in MiB.
    pub fn memory_mb(mut self, memory_mb: u64) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets the latency objective and the deadline of each class, in milliseconds.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets how many balancers share the upstreams. The proxy is the last of them.
    pub fn balancers(mut self, balancers: u32) -> Self {
        self.balancers = balancers;
        self
    }

    /// Returns the content of the configuration file, as JSON.
    pub fn to_json(&self) -> String {
        let Self { discovery, discovery_mode, cached_list, sockets, memory_mb, balancers, .. } = self;
        let index = balancers - 1;
        let discovery_mode = discovery_mode.wire_name();
        let classes = [
            self.class_json("look", "idempotent"),
            self.class_json("book", "at_most_once"),
            self.class_json("keyed", "deduplicated"),
        ]
        .join(",");
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{cached_list},
            "settings":{{"balancers":{balancers},"me":{index},"classes":[{classes}],"discovery":"{discovery_mode}",
            "failure_domains":["a","b"],"skus":["m"],"locality":0,
            "limits":{{"conn_idle_ms":60000,"connect_timeout_ms":2000,"try_limit":5,"retry_after":false}},
            "parties":[{{"name":"acme","allowance_per_s":1000.0}}]}}}}"#
        )
    }

    fn class_json(&self, name: &str, retry_safety: &str) -> String {
        let deadline_ms = self.deadline_ms;
        format!(
            r#"{{"name":"{name}","aim_ms":{deadline_ms},"hard_limit_ms":{deadline_ms},"late_worth":0.5,"effect":"{retry_safety}","dedup_scope":"all","key_ttl_ms":5000}}"#
        )
    }

    /// Starts a proxy and waits until it listens for clients. Panics if the process ends before that.
    pub fn start(&self) -> ProxyProcess {
        let mut proxy = self.launch();
        wait_until("the proxy listens", || {
            assert!(proxy.is_running(), "the proxy ended before it listened");
            proxy.is_listening()
        });
        proxy
    }

    /// Starts a proxy without waiting until it listens.
    pub fn launch(&self) -> ProxyProcess {
        ProxyProcess::launch(&self.to_json(), self.sockets)
    }
}
