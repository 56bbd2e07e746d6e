//! Set-up shared by the tests: builders for settings and endpoint lists, and a harness that plays the
//! embedder.
#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod builders;
mod harness;
mod pending_requests;

pub use builders::{
    EndpointBuilder, SettingsBuilder, Traffic, endpoint, endpoints, ms, request_class,
    settings_of_all_classes,
};
pub use harness::{BalancerHarness, FinalResponse, SentAttempt};
pub use pending_requests::PendingRequests;
