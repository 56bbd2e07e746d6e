//! The decoded form of batches and their records.

use balancer_core::{
    AttemptIndex, ClassId, EndpointEntry, Outcome, RequestId, TenantId, TimerId, UpdateScope, UpstreamId,
};
use std::time::Duration;

/// A batch of records, which all happen at the same simulated time.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The simulated time of all records.
    pub clock: Duration,
    /// The records, in the order in which they are applied.
    pub records: Vec<Record>,
}

/// A record and its offset in the frame, which error messages state.
#[derive(Debug, PartialEq)]
pub struct Record {
    /// Offset of the record's first byte from the start of the frame.
    pub offset: usize,
    /// The content of the record.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Debug, PartialEq)]
pub enum RecordBody {
    /// Defines a numbered endpoint list, to which the endpoint updates of all instances can refer.
    EndpointList {
        /// The number of the list. An earlier list with this number is replaced.
        number: u32,
        /// The entries of the list.
        entries: Vec<EndpointEntry>,
    },
    /// Starts an instance, which replaces a running one of the same number.
    Start {
        /// The number of the instance.
        instance: u32,
        /// The seed of the balancer's random number generator.
        seed: u64,
        /// The JSON text of the settings object.
        settings: String,
    },
    /// Kills an instance. It need not be running.
    Kill {
        /// The number of the instance.
        instance: u32,
    },
    /// Delivers a message from another instance. Balancers do not use such messages, so the content is
    /// dropped.
    PeerMessage {
        /// The number of the receiving instance.
        instance: u32,
    },
    /// Delivers an event to the balancer of an instance.
    BalancerEvent {
        /// The number of the instance.
        instance: u32,
        /// The event.
        event: BalancerEvent,
    },
}

/// An event for a balancer: the counterpart of [`balancer_core::Event`] that owns its load report and refers
/// to endpoint entries by the number of their list.
#[derive(Debug, PartialEq)]
pub enum BalancerEvent {
    /// An update of the endpoint list has arrived, or a call to discovery or a watch has failed.
    EndpointUpdate {
        /// Extent of the update.
        scope: UpdateScope,
        /// The number of the list with the entries of the update. Ignored if the scope is `Failed`.
        list: u32,
    },
    /// A client has sent a request.
    RequestArrived {
        /// The request.
        id: RequestId,
        /// The class of the request.
        class: ClassId,
        /// The tenant that sent the request.
        tenant: TenantId,
        /// Time until the client's deadline.
        time_left: Duration,
        /// Expected work of the request in milliseconds on a standard core; `None` if unknown.
        expected_work_ms: Option<f64>,
        /// Whether the client marked the request as a retry of its own.
        is_client_retry: bool,
    },
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt whose response is streamed.
        attempt: AttemptIndex,
        /// Time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// Whether the request has its final response, from this attempt or an earlier one.
        request_finished: bool,
        /// The result of the attempt.
        result: UpstreamResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The result of the health check.
        result: UpstreamResult,
    },
    /// The client of a request has disconnected.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer has fired.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
}

/// The result of an attempt or a health check at an upstream.
#[derive(Debug, PartialEq)]
pub struct UpstreamResult {
    /// The upstream that the attempt or health check was sent to.
    pub upstream: UpstreamId,
    /// The outcome.
    pub outcome: Outcome,
    /// Time since the attempt or health check was sent.
    pub latency: Duration,
    /// The values of the load report, in the order of `Settings::load_report_fields`; empty if there was no
    /// report.
    pub load_report: Vec<f32>,
}
