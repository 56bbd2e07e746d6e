//! Errors of calls to discovery and of watches.

use crate::discovery::endpoint_list::EndpointListError;
use crate::discovery::json_stream::SplitError;
use hyper::StatusCode;
use std::error::Error;
use std::io;
use thiserror::Error;

/// The reason why a call to discovery or a watch failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// No connection to discovery was established.
    #[error("connection to discovery failed: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("request to discovery could not be built: {0}")]
    Request(#[from] hyper::http::Error),
    /// The HTTP exchange failed before the head of the response, or within the body of a watch.
    #[error("HTTP exchange with discovery failed: {0}")]
    Http(#[from] hyper::Error),
    /// The head of the response did not arrive in time. The connection may not have been established either.
    #[error("no response from discovery in time")]
    ResponseHeadTimeout,
    /// The response has a status other than 200.
    #[error("discovery responded with status {0}")]
    Status(StatusCode),
    /// The response body of a fetch broke off or is too long.
    #[error("response body could not be received: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The response body of a fetch stalled or arrived too slowly.
    #[error("response body stalled or arrived too slowly")]
    BodyTimeout,
    /// Neither a list nor an empty line arrived on a watch in time, or a list arrived too slowly.
    #[error("watch was silent for too long, or a list on it arrived too slowly")]
    WatchTimeout,
    /// The response body of a watch is not a sequence of JSON objects.
    #[error("watch stream is unreadable: {0}")]
    Split(#[from] SplitError),
    /// A JSON object from discovery is not an endpoint list.
    #[error("endpoint list is unreadable: {0}")]
    EndpointList(#[from] EndpointListError),
}
