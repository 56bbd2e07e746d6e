//! Carries out the actions of the balancer.

use crate::deadline::earlier_deadline;
use crate::driver::event_queue::DriverEvent;
use crate::driver::in_flight::Attempt;
use crate::driver::request::FinalResponse;
use crate::driver::{Driver, DriverState};
use crate::upstream::Interruption;
use balancer_core::{Action, AttemptIndex, Outcome, RequestId, TimerId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

impl Driver {
    /// Carries out one action. Its later results are delivered as events.
    pub(super) fn carry_out(self: &Rc<Self>, state: &mut DriverState, action: Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => self.start_attempt(state, id, upstream, timeout),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(state, id, attempt),
            Action::Reject { id, retry_after, reason } => {
                self.finish_request(state, id, FinalResponse::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.finish_request(state, id, FinalResponse::Failed),
            Action::SetTimer { after, timer } => self.set_timer(after, timer),
            Action::WatchEndpoints => self.watch_endpoints(),
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            // `balancer_core` does not emit the remaining actions at present.
            Action::FetchEndpoints => self.fetch_endpoints(),
            Action::CheckHealth { upstream } => self.check_health(upstream),
            Action::Log { line } => tracing::info!("{line}"),
        }
    }

    /// Starts an attempt, unless the request already has its final response or its client has disconnected.
    fn start_attempt(
        self: &Rc<Self>,
        state: &mut DriverState,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(request) = state.requests.get_mut(id) else { return };
        let Some(response_sender) = &request.response_sender else { return };
        let mut interruption =
            Interruption::new(response_sender.abandonment(), self.abort_attempts.subscribe());
        let started_at = Instant::now();
        let index = request.next_attempt_index();
        let incoming = Rc::clone(&request.incoming);
        let deadline = timeout
            .map_or(incoming.deadline, |timeout| earlier_deadline(incoming.deadline, started_at, timeout));
        let driver = Rc::clone(self);
        let task = spawn_local(async move {
            let outgoing = &incoming.outgoing;
            let result = driver.upstreams.attempt(upstream, outgoing, deadline, &mut interruption).await;
            driver.deliver(DriverEvent::AttemptEnded { id, attempt: index, result });
        });
        tracing::debug!(id = id.0, attempt = index.0, upstream = upstream.0, "attempt");
        if index.0 > 0 {
            self.metrics.retries_and_hedges.inc();
        }
        request.add_attempt(Attempt { upstream, started_at, task: task.abort_handle(), is_in_flight: true });
    }

    /// Cancels an attempt in flight: stops its task and queues its end behind the events that have already
    /// happened.
    fn cancel_attempt(&self, state: &mut DriverState, id: RequestId, index: AttemptIndex) {
        let Some(request) = state.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempt_in_flight(index) else { return };
        attempt.task.abort();
        let result = Outcome::Cancelled.into();
        self.queue.push(DriverEvent::AttemptEnded { id, attempt: index, result });
    }

    /// Sends the final response of a request, unless one was already sent or the client has disconnected.
    fn finish_request(&self, state: &mut DriverState, id: RequestId, response: FinalResponse) {
        let Some(request) = state.requests.get_mut(id) else { return };
        if let Some(response_sender) = request.response_sender.take() {
            self.send_response(id, response_sender, response);
        }
        state.requests.remove_if_finished(id);
    }

    fn set_timer(self: &Rc<Self>, after: Duration, timer: TimerId) {
        let driver = Rc::clone(self);
        spawn_local(async move {
            sleep(after).await;
            driver.deliver(DriverEvent::TimerFired { timer });
        });
    }

    fn fetch_endpoints(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        spawn_local(async move {
            let update = driver.discovery.fetch().await;
            driver.deliver(DriverEvent::EndpointUpdate { update });
        });
    }

    fn check_health(self: &Rc<Self>, upstream: UpstreamId) {
        let driver = Rc::clone(self);
        let started_at = Instant::now();
        spawn_local(async move {
            let result = driver.upstreams.check_health(upstream).await;
            let latency = started_at.elapsed();
            driver.deliver(DriverEvent::HealthCheckEnded { upstream, latency, result });
        });
    }
}
