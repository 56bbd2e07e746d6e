//! Handles the driver's events: updates the requests and upstreams, and notifies the balancer.

use crate::discovery::endpoint_list::EndpointUpdate;
use crate::driver::clock::WallClockReading;
use crate::driver::event_queue::DriverEvent;
use crate::driver::in_flight::ResponseSender;
use crate::driver::request::FinalResponse;
use crate::driver::{Driver, DriverState};
use crate::headers::CORRELATION_ID;
use crate::metrics::ResponseKind;
use crate::upstream::AttemptResult;
use balancer_core::{AttemptIndex, EndpointEntry, Event, RequestId, UpdateScope, UpstreamId};
use rustc_hash::FxHashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Driver {
    /// Handles one event and carries out the actions that the balancer returns for it.
    pub(super) fn handle_event(self: &Rc<Self>, state: &mut DriverState, event: DriverEvent) {
        let now = self.clock.now();
        match event {
            DriverEvent::EndpointUpdate { update } => self.handle_endpoint_update(state, now, &update),
            DriverEvent::RequestArrived { id } => self.handle_request_arrived(state, now, id),
            DriverEvent::AttemptEnded { id, attempt, result } => {
                self.handle_attempt_ended(state, now, id, attempt, result);
            }
            DriverEvent::HealthCheckEnded { upstream, latency, result } => {
                handle_health_check_ended(state, now, upstream, latency, &result);
            }
            DriverEvent::ClientDisconnected { id } => self.handle_client_disconnected(state, now, id),
            DriverEvent::TimerFired { timer } => state.notify_balancer(now, Event::TimerFired { timer }),
        }
        // The empty vector is put back so that its allocation is reused.
        let mut actions = std::mem::take(&mut state.actions);
        for action in actions.drain(..) {
            self.carry_out(state, action);
        }
        state.actions = actions;
    }

    fn handle_endpoint_update(&self, state: &mut DriverState, now: Duration, update: &EndpointUpdate) {
        let entries = self.apply_endpoint_update(update);
        state.notify_balancer(now, Event::EndpointUpdate { scope: update.scope, entries: &entries });
    }

    /// Applies an update of the endpoint list to the upstreams and returns its entries for the balancer.
    fn apply_endpoint_update(&self, update: &EndpointUpdate) -> Vec<EndpointEntry> {
        if matches!(update.scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            let listed: FxHashSet<UpstreamId> = update.entries.iter().map(|endpoint| endpoint.id).collect();
            self.upstreams.retain_listed(|id| listed.contains(&id));
        }
        let wall_clock = WallClockReading::now();
        let mut entries = Vec::with_capacity(update.entries.len());
        for endpoint in &update.entries {
            self.upstreams.apply_entry(endpoint.id, &endpoint.state);
            entries.push(EndpointEntry {
                id: endpoint.id,
                zone: endpoint.zone,
                hardware: endpoint.hardware,
                cell: endpoint.cell,
                availability: endpoint.state.availability,
                weight: endpoint.weight,
                process_start: wall_clock.process_start(endpoint.state.started_at_unix_ms),
            });
        }
        entries
    }

    fn handle_request_arrived(&self, state: &mut DriverState, now: Duration, id: RequestId) {
        let Some(request) = state.requests.get(id) else { return };
        let incoming = &request.incoming;
        self.metrics.requests.inc();
        let correlation_id = incoming.outgoing.headers.get(CORRELATION_ID);
        tracing::debug!(id = id.0, ?correlation_id, class = incoming.class.0, "request");
        let event = Event::RequestArrived {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            time_left: incoming.deadline.saturating_duration_since(Instant::now()),
            expected_work_ms: incoming.expected_work_ms,
            is_client_retry: incoming.is_client_retry,
        };
        state.notify_balancer(now, event);
    }

    fn handle_attempt_ended(
        &self,
        state: &mut DriverState,
        now: Duration,
        id: RequestId,
        index: AttemptIndex,
        result: AttemptResult,
    ) {
        let Some(request) = state.requests.get_mut(id) else { return };
        // An attempt that ended by itself just before it was cancelled has two `AttemptEnded` events in the
        // queue. Only the first one counts.
        let Some(attempt) = request.attempt_in_flight(index) else { return };
        attempt.is_in_flight = false;
        let upstream = attempt.upstream;
        let latency = attempt.started_at.elapsed();
        let outcome = result.outcome;
        tracing::debug!(
            id = id.0,
            attempt = index.0,
            upstream = upstream.0,
            ?latency,
            ?outcome,
            "attempt ended"
        );
        self.metrics.record_attempt(outcome.into());
        // The response is dropped if the request already has its final response, for instance from another
        // attempt.
        if let Some(response) = result.response
            && let Some(response_sender) = request.response_sender.take()
        {
            self.send_response(id, response_sender, FinalResponse::Served(response));
        }
        let event = Event::AttemptEnded {
            id,
            attempt: index,
            upstream,
            outcome,
            latency,
            request_finished: request.response_sender.is_none(),
            load_report: &result.load_report,
        };
        state.notify_balancer(now, event);
        state.requests.remove_if_finished(id);
    }

    fn handle_client_disconnected(&self, state: &mut DriverState, now: Duration, id: RequestId) {
        let Some(request) = state.requests.get_mut(id) else { return };
        if request.response_sender.take().is_some() {
            tracing::debug!(id = id.0, "client disconnected");
            self.metrics.record_response(ResponseKind::ClientDisconnected);
            state.notify_balancer(now, Event::ClientDisconnected { id });
        }
        state.requests.remove_if_finished(id);
    }

    /// Sends the final response of a request and counts it in the metrics.
    pub(super) fn send_response(&self, id: RequestId, sender: ResponseSender, response: FinalResponse) {
        let kind = response.kind();
        tracing::debug!(id = id.0, ?kind, "final response");
        self.metrics.record_response(kind);
        sender.send(response);
    }
}

fn handle_health_check_ended(
    state: &mut DriverState,
    now: Duration,
    upstream: UpstreamId,
    latency: Duration,
    result: &AttemptResult,
) {
    let event = Event::HealthCheckEnded {
        upstream,
        outcome: result.outcome,
        latency,
        load_report: &result.load_report,
    };
    state.notify_balancer(now, event);
}
