//! The events that an embedder delivers to a balancer.

use crate::ids::{
    AttemptIndex, CellId, ClassId, HardwareId, RequestId, TenantId, TimerId, UpstreamId, ZoneId,
};
use std::time::Duration;

/// Whether an upstream takes requests, according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes the requests it has and must get no new ones.
    Draining,
    /// It no longer exists.
    Removed,
}

/// One upstream in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The upstream.
    pub id: UpstreamId,
    /// The failure domain it runs in.
    pub zone: ZoneId,
    /// The hardware it runs on. Not used by the present decisions.
    pub hardware: HardwareId,
    /// The cell it belongs to.
    pub cell: CellId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// Its weight, to be read as [`Settings::weight_kind`](crate::Settings::weight_kind) says.
    pub weight: f64,
    /// When its process last started.
    pub process_start: ProcessStart,
}

/// When the process of an upstream last started, as an endpoint list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// Long ago, or at a time that is not stated.
    Unknown,
    /// At this time on the embedder's clock.
    At(Duration),
    /// At a time on a wall clock, which may be stepped.
    ByWallClock {
        /// Tells one start of an upstream from another; equal for the same one.
        incarnation: u64,
        /// How long ago it was by the wall clock of this machine; zero if it lies ahead.
        age: Duration,
    },
}

/// How complete an update of the endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the entries that changed.
    Delta,
    /// The complete list: an upstream that it does not name has been removed.
    Snapshot,
    /// The complete list as this balancer last knew it, possibly out of date.
    Cached,
    /// A call failed or the watch broke. The known list stays valid.
    Failed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream served the request.
    Ok,
    /// The upstream responded with an error. The request may have been executed.
    Error,
    /// The upstream rejected the request without executing it: its queue is full, or it is draining.
    Rejected,
    /// No response in time. The request may have been executed, or may still be.
    TimedOut,
    /// No connection was established in time. The request was not executed.
    ConnectFailed,
    /// The connection broke. The request may have been executed.
    Reset,
    /// The attempt was cancelled. The request may have been executed.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the upstream did not execute the request.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Something that has happened, delivered to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// An update of the endpoint list. The first event that a balancer gets is a [`UpdateScope::Cached`] one.
    EndpointUpdate {
        /// How complete the update is.
        scope: UpdateScope,
        /// The entries of the update.
        entries: &'a [EndpointEntry],
    },
    /// A client has sent a request.
    RequestArrived {
        /// The request.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The tenant that sent it.
        tenant: TenantId,
        /// How long the client is still going to wait.
        time_left: Duration,
        /// Expected work on a standard core in milliseconds, where known. Not used by the present decisions.
        expected_work_ms: Option<f64>,
        /// The client marks the request as a retry of its own. Not used by the present decisions.
        is_client_retry: bool,
    },
    /// A streamed response has started: the request no longer has a deadline.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: AttemptIndex,
        /// Time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt has ended. Delivered once for each attempt.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The upstream that it was sent to.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// The request has its final response, by this outcome or an earlier one.
        request_finished: bool,
        /// The load report that came with the response, its values in the order of
        /// [`Settings::load_report_fields`](crate::Settings::load_report_fields); empty if none came.
        load_report: &'a [f32],
    },
    /// The client has disconnected. It needs no response.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The upstream that was checked.
        upstream: UpstreamId,
        /// How the check ended.
        outcome: Outcome,
        /// Time since the check was sent.
        latency: Duration,
        /// The load report that came with the response; empty if none came.
        load_report: &'a [f32],
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
}
