//! Endpoint lists in the wire format of discovery.

use std::net::SocketAddr;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint completes its requests in flight and must get no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

impl EndpointState {
    /// Returns the name of the state in endpoint lists.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Draining => "Terminating",
            Self::Removed => "Gone",
        }
    }
}

/// Returns an entry of an endpoint list, as JSON.
pub fn endpoint(uid: &str, address: SocketAddr, state: EndpointState) -> String {
    let state = state.wire_name();
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Returns a complete list. An endpoint that is not in it has been removed.
pub fn snapshot(revision: u64, endpoints: &[String]) -> String {
    endpoint_list(revision, true, endpoints)
}

/// Returns a list of the entries that have changed since the previous revision.
pub fn delta(revision: u64, endpoints: &[String]) -> String {
    endpoint_list(revision, false, endpoints)
}

fn endpoint_list(revision: u64, is_complete: bool, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":{is_complete},"targets":[{}]}}"#, endpoints.join(","))
}
