//! The exchange of one request and its complete response on a connection.

use crate::memory_budget::{BudgetExhausted, MemoryBudget};
use crate::upstream::connection::Connection;
use crate::upstream::response_body::{MAX_RESPONSE_BODY_BYTES, read_body};
use balancer_core::Outcome;
use bytes::Bytes;
use http_body_util::{Full, LengthLimitError};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};
use std::error::Error;
use std::io;

#[cfg(test)]
mod tests;

type BoxError = Box<dyn Error + Send + Sync>;

/// The reason why an exchange produced no response that can be forwarded.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended or failed before the response was complete.
    #[error("connection lost: {0}")]
    ConnectionLost(BoxError),
    /// The response cannot be parsed, or the received part of its body exceeds the maximum length.
    #[error("malformed response: {0}")]
    MalformedResponse(BoxError),
    /// The response specifies the length of its body both by `Content-Length` and by `Transfer-Encoding`.
    #[error("response has both Content-Length and Transfer-Encoding")]
    ConflictingLengths,
    /// The `Content-Length` of the response exceeds the maximum.
    #[error("response body of {length} bytes exceeds the maximum of {MAX_RESPONSE_BODY_BYTES}")]
    BodyTooLong {
        /// The value of `Content-Length`, in bytes.
        length: u64,
    },
    /// The budget for responses cannot hold this body beside those already in memory.
    #[error("no memory for the response body: {0}")]
    BodyBudgetExhausted(#[from] BudgetExhausted),
}

impl ExchangeError {
    /// Classifies an error that occurred while a response body was read.
    pub fn from_body_error(error: BoxError) -> Self {
        // hyper reports malformed body framing as an I/O error of one of these kinds.
        let io_kind = error.source().and_then(|e| e.downcast_ref::<io::Error>()).map(io::Error::kind);
        let malformed = matches!(io_kind, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput));
        if malformed || error.is::<LengthLimitError>() {
            Self::MalformedResponse(error)
        } else {
            Self::ConnectionLost(error)
        }
    }

    /// Returns the outcome of an attempt that failed with this error. `request_complete` states whether the
    /// kernel had accepted the whole request.
    pub fn outcome(&self, request_complete: bool) -> Outcome {
        match self {
            Self::ConnectionLost(_) if request_complete => Outcome::Reset,
            Self::ConnectionLost(_) => Outcome::ConnectFailed,
            // The upstream is alive and has read at least a part of the request, which it may have executed.
            Self::MalformedResponse(_) | Self::ConflictingLengths | Self::BodyTooLong { .. } => {
                Outcome::Error
            }
            // The upstream responded correctly. The proxy ends the attempt because its memory budget is
            // exhausted.
            Self::BodyBudgetExhausted(_) => Outcome::Cancelled,
        }
    }
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() {
            Self::MalformedResponse(error.into())
        } else {
            Self::ConnectionLost(error.into())
        }
    }
}

/// Sends a request and receives the complete response. Reserves bytes in `budget` for the response body.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    budget: &MemoryBudget,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = connection.send(request).await?;
    let (head, body) = response.into_parts();
    if has_conflicting_lengths(&head.headers) {
        return Err(ExchangeError::ConflictingLengths);
    }
    let body = read_body(body, budget).await?;
    Ok(Response::from_parts(head, body))
}

/// Returns whether a response has both headers that determine the length of its body. Recipients may disagree
/// on which of them to follow.
fn has_conflicting_lengths(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
}
