//! Why calls to discovery fail.

use crate::discovery::endpoint_list::EndpointListError;
use crate::discovery::json_stream::SplitError;
use hyper::StatusCode;
use std::error::Error;
use std::io;
use thiserror::Error;

/// Why a call to discovery, or a watch, has failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// No connection was established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The exchange failed before the head of the response, or within the body of a watch.
    #[error("exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The head of the response did not come in time; a connection may not have been established either.
    #[error("no response in time")]
    ResponseHeadTimeout,
    /// The response has a status other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body of a fetched list broke off or is too long.
    #[error("body of the response: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The body of a fetched list stalled, or arrived too slowly.
    #[error("body of the response stalled or too slow")]
    BodyTimeout,
    /// A watch has sent neither a list nor an empty line for too long, or a list arrives too slowly.
    #[error("watch silent or too slow for too long")]
    WatchSilent,
    /// The stream of a watch is not a sequence of JSON objects.
    #[error("unreadable stream: {0}")]
    Split(#[from] SplitError),
    /// A JSON object is not an endpoint list.
    #[error("unreadable list: {0}")]
    EndpointList(#[from] EndpointListError),
}
