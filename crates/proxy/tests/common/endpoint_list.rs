//! Endpoint lists in the wire format of discovery.

use std::net::SocketAddr;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes the requests it has.
    Draining,
    /// It no longer exists.
    Removed,
}

impl EndpointState {
    /// The name of the state on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Draining => "Terminating",
            Self::Removed => "Gone",
        }
    }
}

/// An entry of a list.
pub fn endpoint(uid: &str, address: SocketAddr, state: EndpointState) -> String {
    let state = state.wire_name();
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// A complete list: an endpoint that it does not name has been removed.
pub fn snapshot(revision: u64, endpoints: &[String]) -> String {
    endpoint_list(revision, true, endpoints)
}

/// The entries that have changed.
pub fn delta(revision: u64, endpoints: &[String]) -> String {
    endpoint_list(revision, false, endpoints)
}

fn endpoint_list(revision: u64, is_complete: bool, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":{is_complete},"targets":[{}]}}"#, endpoints.join(","))
}
