//! Attempts: sending them, what their outcomes lead to, and the end of their requests.

use crate::action::{Action, RejectionReason};
use crate::balancer::Balancer;
use crate::event::Outcome;
use crate::ids::{AttemptIndex, RequestId, UpstreamId};
use crate::latency::LatencySample;
use crate::requests::{Attempt, OverdueCheck};
use crate::settings::RetrySafety;
use crate::upstreams::{AttemptVerdict, is_fast};
use std::time::Duration;

/// What a retry costs where the attempt before it was not executed: it adds no work to the upstreams.
const RETRY_COST_NOT_EXECUTED: f64 = 0.1;
/// What any other retry costs.
const RETRY_COST: f64 = 1.0;
/// The longest time that an action or a rejection is computed with, in seconds.
const MAX_SECONDS: f64 = 1e6;
/// The shortest timeout of an attempt, in seconds.
const MIN_TIMEOUT_SECONDS: f64 = 1e-3;

/// An attempt that has ended.
struct EndedAttempt {
    upstream: UpstreamId,
    class: usize,
    was_overdue: bool,
    connection_idle_seconds: f64,
    outcome: Outcome,
    latency: f64,
}

impl Balancer {
    /// Sends an attempt of a request to the upstream at a position.
    pub(crate) fn send_attempt(&mut self, id: RequestId, position: usize) {
        let Some(request) = self.requests.requests.get_mut(&id) else { return };
        let upstream = self.upstreams.at_mut(position);
        let mut connection_idle_seconds = upstream.idle_seconds(self.now);
        if self.idle_connections.should_close(self.now, connection_idle_seconds) {
            self.actions.push(Action::CloseIdleConnections { upstream: upstream.id });
            connection_idle_seconds = 0.0;
        }
        upstream.record_attempt_sent(self.now);
        let class = &self.settings.classes[request.class];
        let overdue_after = self.latency.class(request.class).overdue_after(class);
        // Where attempts must not be cancelled, one is waited for only as long as its response is of use.
        let useful_seconds = (request.useful_until - self.now).clamp(MIN_TIMEOUT_SECONDS, MAX_SECONDS);
        let ends_early = !self.settings.cancellation && request.useful_until < request.deadline;
        let timeout = ends_early.then(|| Duration::from_secs_f64(useful_seconds));
        self.actions.push(Action::SendAttempt { id, upstream: upstream.id, timeout });
        self.requests.overdue_checks.insert(OverdueCheck {
            due: self.elapsed + Duration::from_secs_f64(overdue_after),
            request: id,
            attempt: AttemptIndex(request.attempts.len() as u8),
        });
        request.attempts.push(Attempt {
            upstream: upstream.id,
            zone: upstream.zone,
            cell: upstream.cell,
            sent_at: self.now,
            in_flight: true,
            possibly_executed: false,
            overdue: false,
            connection_idle_seconds,
        });
    }

    /// An attempt has ended: its request ends, is retried, or gets its final response.
    pub(crate) fn handle_attempt_end(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        outcome: Outcome,
        latency: Duration,
        request_finished: bool,
    ) {
        let Some(request) = self.requests.requests.get_mut(&id) else { return };
        let class = request.class;
        let Some(attempt) = request.attempt_in_flight(index) else { return };
        attempt.in_flight = false;
        attempt.possibly_executed = !outcome.proves_not_executed();
        let ended = EndedAttempt {
            upstream: attempt.upstream,
            class,
            was_overdue: attempt.overdue,
            connection_idle_seconds: attempt.connection_idle_seconds,
            outcome,
            latency: latency.as_secs_f64(),
        };
        let was_finished = request.finished;
        let others_in_flight = request.has_attempt_in_flight();
        self.record_attempt_end(&ended);
        if request_finished {
            self.finish_request(id);
        } else if !was_finished && !others_in_flight {
            let executed = !outcome.proves_not_executed();
            let cost = if executed { RETRY_COST } else { RETRY_COST_NOT_EXECUTED };
            if !self.retry(id, cost) {
                self.finish_without_response(id);
            }
        }
        if was_finished && !others_in_flight {
            self.requests.requests.remove(&id);
        }
    }

    /// Learns from the end of an attempt: capacity, latency, idle connections and outliers.
    fn record_attempt_end(&mut self, ended: &EndedAttempt) {
        let class = &self.settings.classes[ended.class];
        let latency = self.latency.class_mut(ended.class);
        let relative_latency = ended.latency / latency.mean().max(1e-6);
        let served = ended.outcome == Outcome::Ok;
        if served {
            self.capacity.record_completion();
            latency.record_served(ended.latency);
        }
        let verdict = AttemptVerdict {
            class: ended.class,
            outcome: ended.outcome,
            was_overdue: ended.was_overdue,
            class_is_fast: is_fast(latency.served_mean(), class.latency_objective.as_secs_f64()),
        };
        let sample = if served {
            Some(LatencySample::Served(ended.latency))
        } else {
            verdict.is_abandoned().then_some(LatencySample::Abandoned(ended.latency))
        };
        if let Some(sample) = sample {
            latency.record(self.now, class, sample);
            self.idle_connections.record(self.now, ended.connection_idle_seconds, served);
        }
        let relative_latency = sample.map(|_| relative_latency);
        let upstream = ended.upstream;
        self.upstreams.record_attempt_end(self.now, upstream, verdict, relative_latency, &mut self.random);
    }

    /// Gives a request its final response when no attempt is in flight and none may follow. It is rejected
    /// only where the client can safely send it again.
    fn finish_without_response(&mut self, id: RequestId) {
        let Some(request) = self.requests.requests.remove(&id) else { return };
        let is_idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        if is_idempotent || request.attempts.iter().all(|attempt| !attempt.possibly_executed) {
            let seconds_left = (request.deadline - self.now).max(0.0);
            let time_left = Duration::from_secs_f64(seconds_left.min(MAX_SECONDS));
            self.reject(id, time_left, RejectionReason::NoRetry);
        } else {
            self.actions.push(Action::Fail { id });
        }
    }

    /// Ends a request: nothing more is sent for it, and its attempts in flight are cancelled where that is
    /// allowed.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.requests.get_mut(&id) else { return };
        let was_finished = std::mem::replace(&mut request.finished, true);
        if !was_finished && self.settings.cancellation {
            for (index, _) in request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight) {
                let attempt = AttemptIndex(index as u8);
                self.actions.push(Action::CancelAttempt { id, attempt });
            }
        }
        if !request.has_attempt_in_flight() {
            self.requests.requests.remove(&id);
        }
    }
}
