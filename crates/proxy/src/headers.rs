//! The names of the headers that the proxy reads or writes, and the removal of hop-by-hop headers.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

#[cfg(test)]
mod tests;

/// The id of a request. Each retry by a client has a new id.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The tenant that a request belongs to.
pub const TENANT: HeaderName = HeaderName::from_static("x-account");
/// The time for which the sender of a request will still wait for the response, in whole milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Marks a request as a retry by the client.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The client's estimate of the work that a request takes, in microseconds.
pub const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
/// The idempotency key, by which upstreams recognize and drop a copy of a request, so that the request is
/// safe to repeat.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Has the value 1 in a response if the request was rejected without being executed.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-unprocessed");
/// The load report that an upstream adds to its response.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("x-backend-load");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = HeaderName::from_static("expect");

/// The headers that concern a single connection or the framing of a message. They are never forwarded,
/// whether or not `Connection` names them.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that must not be forwarded: those in [`HOP_BY_HOP`] and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named_by_connection) {
        headers.remove(name);
    }
}
