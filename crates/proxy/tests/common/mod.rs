//! The proxy as a process, and stand-ins on loopback for its upstreams, its discovery service and its
//! clients. The system chooses all ports; every wait is for a condition, up to [`TIMEOUT`].
#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod client;
mod config;
mod discovery;
mod endpoint_list;
mod http;
pub mod log_text;
mod process;
mod upstream;
mod wait;
mod watching_proxy;

pub use client::{Client, READINESS_CHECK, at_most_once_request, idempotent_request};
pub use config::{DiscoveryMode, ProxyConfig};
pub use discovery::{DiscoveryCall, RESPONSE_HEAD, StubDiscovery, WatchStream};
pub use endpoint_list::{EndpointState, delta, endpoint, snapshot};
pub use http::Message;
pub use process::ProxyProcess;
pub use upstream::{Behavior, OK_RESPONSE, StubUpstream, unused_address};
pub use wait::{TIMEOUT, wait_until};
pub use watching_proxy::WatchingProxy;
