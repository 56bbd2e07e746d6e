//! The reasons for rejecting a request before it reaches the balancer, and the statuses of the responses.

use crate::memory_budget::BudgetExhausted;
use hyper::StatusCode;
use thiserror::Error;

/// The reason for rejecting a request before it reaches the balancer. The error message is the body of the
/// response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The head has both `Content-Length` and `Transfer-Encoding`. If the proxy and the upstream used
    /// different ones, a second request could be smuggled in the body of the first.
    #[error("Content-Length beside Transfer-Encoding")]
    ConflictingLengths,
    /// The head is longer than [`MAX_REQUEST_HEAD_BYTES`](crate::downstream::request::MAX_REQUEST_HEAD_BYTES).
    #[error("the head is too long")]
    HeadTooLong,
    /// The `Host` header is missing or occurs several times.
    #[error("not one Host")]
    MissingOrRepeatedHost,
    /// The first segment of the path is not the name of a request class in the settings.
    #[error("unknown class")]
    UnknownClass,
    /// The method differs from the only one that the request class accepts.
    #[error("the class has another method")]
    MethodNotAllowed,
    /// A header that may occur only once is repeated. The proxy and the upstream might disagree on which of its
    /// values counts.
    #[error("a header twice that may stand once")]
    RepeatedHeader,
    /// `X-Correlation-Id` is missing, empty or not printable ASCII text.
    #[error("no readable X-Correlation-Id")]
    InvalidCorrelationId,
    /// The class deduplicates requests by `Idempotency-Key`, and that header is missing.
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    /// The settings list tenants, and `X-Account` is missing or names none of them.
    #[error("unknown account")]
    UnknownTenant,
    /// `X-Time-Left-Ms` is missing or not an unsigned 64-bit integer, written in digits only.
    #[error("no readable X-Time-Left-Ms")]
    InvalidTimeLeft,
    /// `X-Weight-Hint` is not a finite number, or is negative.
    #[error("unreadable X-Weight-Hint")]
    InvalidExpectedWork,
    /// The body is longer than [`MAX_REQUEST_BODY_BYTES`](crate::downstream::request_body::MAX_REQUEST_BODY_BYTES).
    #[error("the body is too long")]
    BodyTooLong,
    /// Reading the body failed before its end, for example because the client closed the connection.
    #[error("the body broke off")]
    IncompleteBody,
    /// The body was not complete by the read deadline.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// A GET request has a body.
    #[error("a GET with a body")]
    UnexpectedBody,
    /// Another request in flight has the same correlation id. An upstream would mistake one for a retry of
    /// the other.
    #[error("a request with this id is open")]
    DuplicateCorrelationId,
    /// The budget for requests cannot hold the request. It was not forwarded, and the client can safely send
    /// it again.
    #[error("out of memory")]
    OutOfMemory,
}

impl From<BudgetExhausted> for RequestError {
    fn from(_: BudgetExhausted) -> Self {
        Self::OutOfMemory
    }
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::UnknownTenant => StatusCode::FORBIDDEN,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::DuplicateCorrelationId => StatusCode::CONFLICT,
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::ConflictingLengths
            | Self::MissingOrRepeatedHost
            | Self::RepeatedHeader
            | Self::InvalidCorrelationId
            | Self::MissingIdempotencyKey
            | Self::InvalidTimeLeft
            | Self::InvalidExpectedWork
            | Self::IncompleteBody
            | Self::UnexpectedBody => StatusCode::BAD_REQUEST,
        }
    }
}
