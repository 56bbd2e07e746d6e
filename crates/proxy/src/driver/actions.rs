//! How each action of the balancer is carried out.

use crate::deadline::earlier_of;
use crate::driver::event_queue::DriverEvent;
use crate::driver::in_flight::Attempt;
use crate::driver::request::FinalResponse;
use crate::driver::{Core, Driver};
use crate::upstream::Interruption;
use balancer_core::{Action, AttemptIndex, Outcome, RequestId, TimerId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

impl Driver {
    /// Carries out one action. Whatever comes of it later is delivered as an event.
    pub(super) fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => self.send_attempt(core, id, upstream, timeout),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(core, id, attempt),
            Action::Reject { id, retry_after, reason } => {
                self.finish_request(core, id, FinalResponse::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.finish_request(core, id, FinalResponse::Failed),
            Action::SetTimer { after, timer } => self.set_timer(after, timer),
            Action::WatchEndpoints => self.watch_endpoints(),
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            // The actions from here on are not emitted by the present core.
            Action::FetchEndpoints => self.fetch_endpoints(),
            Action::CheckHealth { upstream } => self.check_health(upstream),
            Action::Log { line } => tracing::info!("{line}"),
        }
    }

    /// Sends an attempt, unless the request has had its final response or its client has disconnected.
    fn send_attempt(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(request) = core.requests.get_mut(id) else { return };
        let Some(response_sender) = &request.response_sender else { return };
        let mut interruption = Interruption::new(response_sender.abandonment(), self.abort_all.subscribe());
        let sent_at = Instant::now();
        let index = request.next_attempt();
        let incoming = Rc::clone(&request.incoming);
        let deadline =
            timeout.map_or(incoming.deadline, |timeout| earlier_of(incoming.deadline, sent_at, timeout));
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
        request.add_attempt(Attempt { upstream, sent_at, task: task.abort_handle(), is_in_flight: true });
    }

    /// Stops an attempt. Its end is queued behind the events that have already happened.
    fn cancel_attempt(&self, core: &mut Core, id: RequestId, index: AttemptIndex) {
        let Some(request) = core.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempt_in_flight(index) else { return };
        attempt.task.abort();
        let result = Outcome::Cancelled.into();
        self.queue.push(DriverEvent::AttemptEnded { id, attempt: index, result });
    }

    /// Sends the final response of a request, unless it has had one or its client has disconnected.
    fn finish_request(&self, core: &mut Core, id: RequestId, response: FinalResponse) {
        let Some(request) = core.requests.get_mut(id) else { return };
        if let Some(response_sender) = request.response_sender.take() {
            self.send_response(id, response_sender, response);
        }
        core.requests.remove_if_finished(id);
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
        let sent_at = Instant::now();
        spawn_local(async move {
            let result = driver.upstreams.check_health(upstream).await;
            let latency = sent_at.elapsed();
            driver.deliver(DriverEvent::HealthCheckEnded { upstream, latency, result });
        });
    }
}
