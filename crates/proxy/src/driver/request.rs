//! The types that the driver exchanges with the downstream side: a request and its final response.

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
    /// The request class, which sets the latency objective and the retry safety.
    pub class: ClassId,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds; `None` if the client does not state it.
    pub expected_work_ms: Option<f64>,
    /// Whether the client marks the request as a retry of its own.
    pub is_client_retry: bool,
    /// The request as it is sent to an upstream.
    pub outgoing: OutgoingRequest,
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The response of an upstream.
    Served(UpstreamResponse),
    /// The request was rejected. The client can safely send it again, because it was not executed or is
    /// idempotent.
    Rejected {
        /// How long the client should wait before it sends the request again; `None` if no time is suggested.
        retry_after: Option<Duration>,
        /// Why the request was rejected.
        reason: RejectionReason,
    },
    /// No attempt succeeded, and the request may have been executed.
    Failed,
}

impl FinalResponse {
    /// Returns the kind under which the metrics count this response.
    pub(super) fn kind(&self) -> ResponseKind {
        match self {
            Self::Served(_) => ResponseKind::Served,
            Self::Rejected { reason, .. } => ResponseKind::from(*reason),
            Self::Failed => ResponseKind::Failed,
        }
    }
}

/// The final response of a submitted request, before it has arrived. Dropping this value tells the driver
/// that the client has disconnected.
pub struct PendingResponse {
    driver: Rc<Driver>,
    id: RequestId,
    /// `None` once the final response has arrived.
    receiver: Option<oneshot::Receiver<FinalResponse>>,
}

impl PendingResponse {
    /// Creates the pending response of request `id`, which arrives on `receiver`.
    pub(super) fn new(driver: Rc<Driver>, id: RequestId, receiver: oneshot::Receiver<FinalResponse>) -> Self {
        Self { driver, id, receiver: Some(receiver) }
    }

    /// Waits for the final response. Returns [`FinalResponse::Failed`] if the driver drops the request.
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
