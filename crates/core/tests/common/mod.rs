//! Test support: builders for settings and endpoint lists, and an embedder that runs a balancer in simulated
//! time.
#![allow(dead_code, unused_imports, reason = "each test crate uses only some of the items")]

mod builders;
mod harness;
mod pending_requests;

pub use builders::{
    EndpointBuilder, SettingsBuilder, Traffic, endpoint, endpoints, ms, request_class,
    settings_of_all_classes,
};
pub use harness::{BalancerHarness, FinalResponse, SentAttempt};
pub use pending_requests::PendingRequests;
