//! Attempts: sending them, what their outcomes lead to, and the end of their requests.

use crate::action::{Action, RejectionReason};
use crate::balancer::Balancer;
use crate::event::Outcome;
use crate::ids::{AttemptIndex, RequestId, UpstreamId};
use crate::latency::LatencySample;
use crate::requests::retry::{RETRY_COST, RETRY_COST_NOT_EXECUTED};
use crate::requests::{Attempt, OverdueCheck};
use crate::settings::RetrySafety;
use crate::upstreams::{AttemptResult, UpstreamPosition, is_well_within_objective};
use std::time::Duration;

/// Longest remaining time, in seconds, so that it can be converted to a `Duration`.
const MAX_TIME_LEFT_SECONDS: f64 = 1e6;
/// The shortest timeout of an attempt, in seconds.
const MIN_TIMEOUT_SECONDS: f64 = 1e-3;

/// An attempt that has ended.
struct EndedAttempt {
    upstream: UpstreamId,
    class: usize,
    was_overdue: bool,
    connection_idle_seconds: f64,
    outcome: Outcome,
    /// Time since it was sent, in seconds.
    latency: f64,
}

impl EndedAttempt {
    fn is_served(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    /// How the attempt counts for latency; `None` if it says nothing of it.
    fn latency_sample(&self, result: &AttemptResult) -> Option<LatencySample> {
        if self.is_served() {
            Some(LatencySample::Served(self.latency))
        } else {
            result.is_abandoned().then_some(LatencySample::Abandoned(self.latency))
        }
    }
}

impl Balancer {
    /// Sends an attempt of a request to the upstream at a position.
    pub(crate) fn send_attempt(&mut self, id: RequestId, position: UpstreamPosition) {
        let Some(request) = self.requests.get_mut(id) else { return };
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
        let useful_seconds =
            (request.useful_until - self.now).clamp(MIN_TIMEOUT_SECONDS, MAX_TIME_LEFT_SECONDS);
        let ends_early = !self.settings.cancellation && request.useful_until < request.deadline;
        let timeout = ends_early.then(|| Duration::from_secs_f64(useful_seconds));
        self.actions.push(Action::SendAttempt { id, upstream: upstream.id, timeout });
        let index = AttemptIndex(request.attempts.len() as u8);
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
        self.requests.schedule_check(OverdueCheck {
            due: self.elapsed + Duration::from_secs_f64(overdue_after),
            request: id,
            attempt: index,
        });
    }

    /// An attempt has ended: the balancer learns from it, and its request ends, is retried, or gets its final
    /// response.
    pub(crate) fn handle_attempt_end(
        &mut self,
        id: RequestId,
        index: AttemptIndex,
        outcome: Outcome,
        latency: Duration,
        request_finished: bool,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let class = request.class;
        let Some(attempt) = request.attempt_in_flight(index) else { return };
        attempt.in_flight = false;
        attempt.possibly_executed = !outcome.proves_not_executed();
        let possibly_executed = attempt.possibly_executed;
        let ended = EndedAttempt {
            upstream: attempt.upstream,
            latency: latency.as_secs_f64(),
            connection_idle_seconds: attempt.connection_idle_seconds,
            class,
            outcome,
            was_overdue: attempt.overdue,
        };
        let was_finished = request.finished;
        let others_in_flight = request.has_attempt_in_flight();
        self.record_attempt_end(&ended);
        if request_finished {
            self.finish_request(id);
        } else if !was_finished && !others_in_flight {
            self.retry_or_finish(id, possibly_executed);
        }
        if was_finished && !others_in_flight {
            self.requests.remove(id);
        }
    }

    /// Retries a request whose last attempt in flight has ended, or gives it its final response.
    fn retry_or_finish(&mut self, id: RequestId, possibly_executed: bool) {
        let cost = if possibly_executed { RETRY_COST } else { RETRY_COST_NOT_EXECUTED };
        if !self.retry(id, cost) {
            self.finish_without_response(id);
        }
    }

    /// Learns from the end of an attempt: capacity, latency, idle connections and outliers.
    fn record_attempt_end(&mut self, ended: &EndedAttempt) {
        let class = &self.settings.classes[ended.class];
        let class_latency = self.latency.class_mut(ended.class);
        // Relative to the mean before this attempt is recorded.
        let relative_latency = ended.latency / class_latency.mean().max(1e-6);
        if ended.is_served() {
            self.capacity.record_completion();
            class_latency.record_served(ended.latency);
        }
        let objective = class.latency_objective.as_secs_f64();
        let result = AttemptResult {
            class: ended.class,
            outcome: ended.outcome,
            was_overdue: ended.was_overdue,
            class_is_well_within_objective: is_well_within_objective(class_latency.served_mean(), objective),
        };
        let sample = ended.latency_sample(&result);
        if let Some(sample) = sample {
            class_latency.record(self.now, class, sample);
            self.idle_connections.record(self.now, ended.connection_idle_seconds, ended.is_served());
        }
        let relative_latency = sample.map(|_| relative_latency);
        let upstream = ended.upstream;
        self.upstreams.record_attempt_end(self.now, upstream, result, relative_latency, &mut self.random);
    }

    /// Gives a request its final response when no attempt is in flight and none may follow. It is rejected
    /// only where the client can safely send it again.
    fn finish_without_response(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else { return };
        let is_idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        if is_idempotent || request.attempts.iter().all(|attempt| !attempt.possibly_executed) {
            let seconds_left = (request.deadline - self.now).max(0.0);
            let time_left = Duration::from_secs_f64(seconds_left.min(MAX_TIME_LEFT_SECONDS));
            self.reject(id, time_left, RejectionReason::NoRetry);
        } else {
            self.actions.push(Action::Fail { id });
        }
    }

    /// Ends a request: nothing more is sent for it, and its attempts in flight are cancelled where that is
    /// allowed.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let was_finished = std::mem::replace(&mut request.finished, true);
        if !was_finished && self.settings.cancellation {
            for (index, _) in request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight) {
                let attempt = AttemptIndex(index as u8);
                self.actions.push(Action::CancelAttempt { id, attempt });
            }
        }
        if !request.has_attempt_in_flight() {
            self.requests.remove(id);
        }
    }
}
