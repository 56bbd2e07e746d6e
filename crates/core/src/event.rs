//! The events that an embedder delivers to a balancer.

use crate::ids::{
    AttemptIndex, CellId, ClassId, HardwareId, RequestId, TenantId, TimerId, UpstreamId, ZoneId,
};
use std::time::Duration;

/// State of an upstream according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The upstream accepts requests.
    Ready,
    /// The upstream finishes its requests in flight and must not get new ones.
    Draining,
    /// The upstream no longer exists.
    Removed,
}

/// Entry of the endpoint list; describes one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Upstream that the entry describes.
    pub id: UpstreamId,
    /// Failure domain that the upstream runs in.
    pub zone: ZoneId,
    /// Hardware model that the upstream runs on. The balancer does not use it.
    pub hardware: HardwareId,
    /// Cell that the upstream belongs to.
    pub cell: CellId,
    /// Whether the upstream accepts requests, is draining or has been removed.
    pub availability: Availability,
    /// Weight of the upstream; [`Settings::weight_kind`](crate::Settings::weight_kind) defines its meaning.
    pub weight: f64,
    /// Last start of the upstream's process.
    pub process_start: ProcessStart,
}

/// Time at which the process of an upstream last started, according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// The list states no time, or the process started long ago. An upstream that is added while others are
    /// known is then assumed to have just started.
    Unknown,
    /// Time on the embedder's clock.
    At(Duration),
    /// Time on a wall clock, which may be stepped forwards or backwards.
    ByWallClock {
        /// Identifies the start: equal in all entries that state the same start, different for any other
        /// start.
        incarnation: u64,
        /// Time since the start by this machine's wall clock; zero if the start is in the future.
        age: Duration,
    },
}

/// Extent of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// The update contains only the entries that changed.
    Delta,
    /// The update is the complete list. Upstreams that it does not contain have been removed.
    Snapshot,
    /// The update is a complete list that the embedder has without asking discovery, such as one from its
    /// configuration. It may be out of date or empty, and does not count as received from discovery.
    /// Upstreams that it does not contain have been removed.
    Cached,
    /// A call to discovery failed or the watch ended. The known list stays valid.
    Failed,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream executed the request and responded successfully.
    Ok,
    /// The request may have been executed. The upstream responded with an error or with a malformed response.
    Error,
    /// The request was not executed. The upstream rejected it and stated so in the response, for example
    /// because its queue is full or it is draining.
    Rejected,
    /// The request may have been executed or may still be in progress. No complete response arrived before
    /// the deadline, or before the embedder aborted the attempt at shutdown.
    TimedOut,
    /// The request was not executed. No connection to the upstream was established, or the connection was
    /// lost before the whole request was written.
    ConnectFailed,
    /// The request may have been executed. The connection was lost after the whole request was written and
    /// before the response was complete.
    Reset,
    /// The request may have been executed. The balancer cancelled the attempt, or the embedder gave it up
    /// for lack of memory for the response.
    Cancelled,
    /// The request was not executed. It was not sent, or only a part of it had been written when the attempt
    /// ended. The end was not caused by a failed connect or a lost connection.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the upstream did not execute the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Input that the embedder delivers to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list was updated, or an update failed. The first event that an embedder delivers is an
    /// update with [`UpdateScope::Cached`].
    EndpointUpdate {
        /// Extent of the update.
        scope: UpdateScope,
        /// Entries of the update; ignored with [`UpdateScope::Failed`].
        entries: &'a [EndpointEntry],
    },
    /// A request arrived from a client.
    RequestArrived {
        /// Identifier of the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant that sent the request.
        tenant: TenantId,
        /// Time until the client's deadline.
        time_left: Duration,
        /// Expected work of the request in milliseconds on a standard core; `None` if unknown. The balancer
        /// does not use it.
        expected_work_ms: Option<f64>,
        /// Whether the client marked the request as a retry of its own. The balancer does not use it.
        is_client_retry: bool,
    },
    /// A streamed response started. The request no longer has a deadline.
    StreamStarted {
        /// Request whose response is streamed.
        id: RequestId,
        /// Attempt whose response is streamed. The balancer does not use it.
        attempt: AttemptIndex,
        /// Time since the attempt was sent. The balancer does not use it.
        latency: Duration,
    },
    /// An attempt ended. The embedder delivers this event once for each attempt.
    AttemptEnded {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Attempt that ended.
        attempt: AttemptIndex,
        /// Upstream that the attempt was sent to.
        upstream: UpstreamId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: Duration,
        /// Whether the request has its final response, from this attempt or an earlier one.
        request_finished: bool,
        /// Load report of the response, with its values in the order of
        /// [`Settings::load_report_fields`](crate::Settings::load_report_fields); empty without a report.
        load_report: &'a [f32],
    },
    /// The client disconnected before the end of its request and needs no response.
    ClientDisconnected {
        /// Request of the client.
        id: RequestId,
    },
    /// A health check ended. The proxy and the simulator adapter deliver this event, but the balancer never
    /// requests a health check. The balancer uses only the load report.
    HealthCheckEnded {
        /// Upstream that was checked.
        upstream: UpstreamId,
        /// Outcome of the check. The balancer does not use it.
        outcome: Outcome,
        /// Time since the check was sent. The balancer does not use it.
        latency: Duration,
        /// Load report of the response, with its values in the order of
        /// [`Settings::load_report_fields`](crate::Settings::load_report_fields); empty without a report.
        load_report: &'a [f32],
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired {
        /// Identifier that the timer was set with.
        timer: TimerId,
    },
}
