//! The decoded records of a batch.

use balancer_core::{
    AttemptIndex, ClassId, EndpointEntry, Outcome, RequestId, TenantId, TimerId, UpdateScope, UpstreamId,
};
use std::time::Duration;

/// A batch of records, all at one time.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The simulated time.
    pub clock: Duration,
    /// The records in order.
    pub records: Vec<Record>,
}

/// A record and its place.
#[derive(Debug, PartialEq)]
pub struct Record {
    /// Offset of the record in its frame.
    pub offset: usize,
    /// The record.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Debug, PartialEq)]
pub enum RecordBody {
    /// Defines a numbered list, for the endpoint updates of all instances.
    EndpointList {
        /// The number; an earlier list of this number is replaced.
        number: u32,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// Starts an instance.
    Start {
        /// The instance.
        instance: u32,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings object, as JSON.
        settings: String,
    },
    /// Kills an instance.
    Kill {
        /// The instance.
        instance: u32,
    },
    /// Carries a message from a peer, which balancers do not use.
    PeerMessage {
        /// The instance that receives it.
        instance: u32,
    },
    /// Something has happened to a balancer.
    BalancerEvent {
        /// The instance.
        instance: u32,
        /// What has happened.
        event: BalancerEvent,
    },
}

/// The counterpart of [`balancer_core::Event`] that owns its load report and refers to endpoints by list
/// number.
#[derive(Debug, PartialEq)]
pub enum BalancerEvent {
    /// An update of the endpoint list.
    EndpointUpdate {
        /// How complete it is.
        scope: UpdateScope,
        /// The number of the list with its entries; without meaning for a failed call.
        list: u32,
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
        /// Expected work on a standard core in milliseconds, where known.
        expected_work_ms: Option<f64>,
        /// The client marks the request as a retry.
        is_client_retry: bool,
    },
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
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
        /// The request has its final response.
        request_finished: bool,
        /// How the attempt ended.
        result: UpstreamResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// How it ended.
        result: UpstreamResult,
    },
    /// The client has disconnected.
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

/// How an attempt or a health check ended.
#[derive(Debug, PartialEq)]
pub struct UpstreamResult {
    /// The upstream it was sent to.
    pub upstream: UpstreamId,
    /// The outcome.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The values of the load report; empty if none came.
    pub load_report: Vec<f32>,
}
