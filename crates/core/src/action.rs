//! The actions that a balancer asks its embedder to carry out.

use crate::ids::{AttemptIndex, RequestId, TimerId, UpstreamId};
use std::time::Duration;

/// Reason for which a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The tenant's token bucket is empty.
    OverQuota,
    /// No upstream can take the request.
    NoUpstream,
    /// All attempts failed and no retry is possible. The request was not executed, or its class is
    /// idempotent, so the client can send it again.
    NoRetry,
}

/// An operation that a [`Balancer`](crate::Balancer) asks its embedder to carry out. The embedder carries out
/// actions in the order in which it gets them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an upstream.
    SendAttempt {
        /// Request to send.
        id: RequestId,
        /// Upstream that the attempt is sent to.
        upstream: UpstreamId,
        /// Time to wait for the response, counted from sending; `None` stands for the client's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Attempt to cancel.
        attempt: AttemptIndex,
    },
    /// Send the client a rejection as the final response. The client can safely send the request again,
    /// because it was not executed or is idempotent.
    Reject {
        /// Request to reject.
        id: RequestId,
        /// Time that the client should wait before it sends the request again; `None` if none is suggested.
        retry_after: Option<Duration>,
        /// Reason for the rejection.
        reason: RejectionReason,
    },
    /// Send the client an error as the final response. The request may have been executed.
    Fail {
        /// Request that failed.
        id: RequestId,
    },
    /// Deliver [`Event::TimerFired`](crate::Event::TimerFired) once after a delay.
    SetTimer {
        /// Delay until the timer fires.
        after: Duration,
        /// Identifier to deliver with the event.
        timer: TimerId,
    },
    /// Start a watch of the endpoint list.
    WatchEndpoints,
    /// Fetch a snapshot of the endpoint list once. The proxy and the simulator adapter support this action,
    /// but the balancer never emits it.
    FetchEndpoints,
    /// Close the idle connections to an upstream. Connections in use stay open.
    CloseIdleConnections {
        /// Upstream whose idle connections are closed.
        upstream: UpstreamId,
    },
    /// Send a health check to an upstream. The proxy and the simulator adapter support this action, but the
    /// balancer never emits it.
    CheckHealth {
        /// Upstream to check.
        upstream: UpstreamId,
    },
    /// Write a line to the log. The proxy and the simulator adapter support this action, but the balancer
    /// never emits it.
    Log {
        /// Text of the line.
        line: String,
    },
}
