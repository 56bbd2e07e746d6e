//! Handles requests: answers health checks of this proxy and submits valid requests to the driver.

use crate::compact_head;
use crate::downstream::client::Client;
use crate::downstream::client_stream::ClientSocket;
use crate::downstream::request::{RequestValidator, ValidRequest};
use crate::downstream::request_error::RequestError;
use crate::downstream::response::{ClientResponse, plain_text, render_error, render_response};
use crate::driver::Driver;
use crate::lifecycle_phase::LifecyclePhase;
use crate::memory_budget::MemoryBudget;
use balancer_settings::Site;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, StatusCode};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::Instant;

/// A health check of this proxy by its platform.
enum HealthCheck {
    /// Asks whether the platform may assign new connections to this proxy.
    Ready,
    /// Asks whether the process is running.
    Live,
}

impl HealthCheck {
    /// Returns the kind of health check, or `None` if the request has another path or a body.
    fn from_request(request: &Request<Incoming>) -> Option<Self> {
        if !request.body().is_end_stream() {
            return None;
        }
        match request.uri().path() {
            "/health/ready" => Some(Self::Ready),
            "/health/live" => Some(Self::Live),
            _ => None,
        }
    }
}

/// Handles the requests of all clients.
pub struct RequestHandler {
    driver: Rc<Driver>,
    validator: RequestValidator,
    phase: watch::Receiver<LifecyclePhase>,
}

impl RequestHandler {
    /// Returns a handler that validates requests against the settings of `site` and submits them to `driver`.
    /// Their memory is reserved in `memory`. Its answers to health checks depend on `phase`.
    pub fn new(
        driver: Rc<Driver>,
        site: &Site,
        phase: watch::Receiver<LifecyclePhase>,
        memory: MemoryBudget,
    ) -> Self {
        Self { driver, validator: RequestValidator::new(site, memory), phase }
    }

    /// Handles a request whose head has just arrived and returns its response. `client` and `socket` belong
    /// to the connection that the request arrived on.
    pub async fn handle(
        &self,
        client: &Client,
        socket: &ClientSocket,
        request: Request<Incoming>,
    ) -> ClientResponse {
        let read_deadline = client.on_head_received();
        let has_large_head = socket.on_head_received();
        let mut response = match HealthCheck::from_request(&request) {
            Some(health_check) => {
                client.on_request_received();
                self.answer_health_check(&health_check)
            }
            None => self.forward(client, socket, request, read_deadline).await.unwrap_or_else(render_error),
        };
        if has_large_head || !compact_head::is_small(response.headers()) {
            // The buffers of the connection have grown. They are freed with the connection.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.on_response_ready();
        response
    }

    fn answer_health_check(&self, health_check: &HealthCheck) -> ClientResponse {
        let is_serving = *self.phase.borrow() == LifecyclePhase::Serving;
        match health_check {
            HealthCheck::Ready if !is_serving => plain_text(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            HealthCheck::Ready | HealthCheck::Live => plain_text(StatusCode::OK, "ok"),
        }
    }

    /// Reads a request, submits it to the driver and waits for the final response.
    async fn forward(
        &self,
        client: &Client,
        socket: &ClientSocket,
        request: Request<Incoming>,
        read_deadline: Instant,
    ) -> Result<ClientResponse, RequestError> {
        let request = self.read_request(client, socket, request, read_deadline).await;
        match &request {
            Ok(_) => client.on_request_received(),
            Err(RequestError::OutOfMemory) => {
                client.on_request_received();
                self.driver.metrics().requests_out_of_memory.inc();
            }
            Err(_) => {}
        }
        let request = request?;
        socket.read_ahead_before_submission().await;
        let ValidRequest { incoming, correlation_id, head_memory: _head_memory } = request;
        let response = self.driver.submit(incoming).response().await;
        correlation_id.release();
        Ok(render_response(response))
    }

    /// Reads and validates a request, its body included.
    async fn read_request(
        &self,
        client: &Client,
        socket: &ClientSocket,
        request: Request<Incoming>,
        read_deadline: Instant,
    ) -> Result<ValidRequest, RequestError> {
        let (parts, body) = request.into_parts();
        if socket.has_conflicting_lengths(&parts.headers) {
            return Err(RequestError::ConflictingLengths);
        }
        let head = self.validator.validate_head(parts)?;
        self.validator.read_and_validate_body(head, body, read_deadline, client).await
    }
}
