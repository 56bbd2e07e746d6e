//! The upstream side of the proxy: the known upstreams, the connections to them, attempts and health checks.

pub use attempt::{AttemptResult, UpstreamResponse};
pub use interruption::Interruption;
pub use pool::CONNECTION_BYTES as UPSTREAM_CONNECTION_BYTES;
pub use request::OutgoingRequest;
pub use set::{EndpointState, Upstreams};

mod attempt;
mod checkout;
pub mod connection;
mod counting_stream;
mod exchange;
mod health_check;
mod interruption;
mod load_report;
mod pool;
mod request;
mod response_body;
mod set;
#[cfg(test)]
mod test_support;
