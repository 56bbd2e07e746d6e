//! Starts the proxy as a process, with stubs of its upstreams and its discovery service and with clients, all
//! on the loopback interface. The operating system chooses all ports. Tests wait for conditions, for up to
//! [`TIMEOUT`].
#![allow(dead_code, unused_imports, reason = "each test binary uses only some of the helpers")]

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
