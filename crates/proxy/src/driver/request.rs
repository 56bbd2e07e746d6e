//! What the driver and the clients' side exchange: a request, and its final response.

use crate::driver::Driver;
use crate::driver::event_queue::DriverEvent;
use crate::metrics::ResponseKind;
use crate::upstream::{OutgoingRequest, UpstreamResponse};
use balancer_core::{ClassId, RejectionReason, RequestId, TenantId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request for the balancer to decide on.
pub struct IncomingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds, where the client states it.
    pub expected_work_ms: Option<f64>,
    /// The client marks the request as a retry of its own.
    pub is_client_retry: bool,
    /// The request as it is forwarded.
    pub outgoing: OutgoingRequest,
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The response of an upstream.
    Served(UpstreamResponse),
    /// The request was not executed: the client may safely send it again.
    Rejected {
        /// How long the client should wait before it sends the request again.
        retry_after: Option<Duration>,
        /// Why the request was rejected.
        reason: RejectionReason,
    },
    /// No response; the request may have been executed.
    Failed,
}

impl FinalResponse {
    /// What the metrics count this response as.
    pub(super) fn kind(&self) -> ResponseKind {
        match self {
            Self::Served(_) => ResponseKind::Served,
            Self::Rejected { reason, .. } => ResponseKind::from(*reason),
            Self::Failed => ResponseKind::Failed,
        }
    }
}

/// A submitted request that has not had its final response. Dropping it tells the driver that the client has
/// disconnected.
pub struct PendingResponse {
    driver: Rc<Driver>,
    id: RequestId,
    /// Taken once the final response has come.
    receiver: Option<oneshot::Receiver<FinalResponse>>,
}

impl PendingResponse {
    /// The pending response of request `id`.
    pub(super) fn new(driver: Rc<Driver>, id: RequestId, receiver: oneshot::Receiver<FinalResponse>) -> Self {
        Self { driver, id, receiver: Some(receiver) }
    }

    /// Waits for the final response.
    pub async fn response(mut self) -> FinalResponse {
        let Some(receiver) = &mut self.receiver else { return FinalResponse::Failed };
        let received = receiver.await;
        self.receiver = None;
        received.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.receiver.take().is_some() {
            self.driver.deliver(DriverEvent::ClientDisconnected { id: self.id });
        }
    }
}
