//! The actions that a balancer asks its embedder to carry out.

use crate::ids::{AttemptIndex, RequestId, TimerId, UpstreamId};
use std::time::Duration;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The tenant's token bucket is empty.
    OverQuota,
    /// No upstream can take a request.
    NoUpstream,
    /// All attempts failed and no retry is possible. The request was not executed, or its class is
    /// idempotent.
    NoRetry,
}

/// Something that [`Balancer`](crate::Balancer) wants done. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// How long to wait for the response; `None` waits until the client's deadline.
        timeout: Option<Duration>,
    },
    /// Stop waiting for one attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Final response: the client can safely send the request again, because it was not executed or is
    /// idempotent.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it sends the request again.
        retry_after: Option<Duration>,
        /// Why the request is rejected.
        reason: RejectionReason,
    },
    /// Final response: the request failed and may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::TimerFired`](crate::Event::TimerFired) after some time.
    SetTimer {
        /// Time until the timer fires.
        after: Duration,
        /// The timer.
        timer: TimerId,
    },
    /// Begin to watch the endpoint list for changes.
    WatchEndpoints,
    /// Fetch a snapshot of the endpoint list once. Not emitted at present.
    FetchEndpoints,
    /// Close the idle connections to an upstream. Connections in use stay open.
    CloseIdleConnections {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Send a health check to an upstream. Not emitted at present.
    CheckHealth {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Write a line to the log. Not emitted at present.
    Log {
        /// The text of the line.
        line: String,
    },
}
