//! Sending of attempts, handling of their outcomes, and the end of requests.

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

/// Maximum remaining time of a request, in seconds; keeps the conversion to a `Duration` in range.
const MAX_TIME_LEFT_SECONDS: f64 = 1e6;
/// Minimum timeout of an attempt, in seconds.
const MIN_TIMEOUT_SECONDS: f64 = 1e-3;

/// Data of an ended attempt that the statistics and outlier detection need.
struct EndedAttempt {
    upstream: UpstreamId,
    class: usize,
    was_overdue: bool,
    connection_idle_seconds: f64,
    outcome: Outcome,
    /// Time since the attempt was sent.
    latency_seconds: f64,
}

impl EndedAttempt {
    fn is_served(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    /// Returns the attempt's sample for the latency statistics; `None` if it was neither served nor abandoned
    /// (see [`AttemptResult::is_abandoned`]).
    fn latency_sample(&self, result: &AttemptResult) -> Option<LatencySample> {
        if self.is_served() {
            Some(LatencySample::Served(self.latency_seconds))
        } else {
            result.is_abandoned().then_some(LatencySample::Abandoned(self.latency_seconds))
        }
    }
}

impl Balancer {
    /// Sends the next attempt of a request to the upstream at a position, and schedules the check that finds
    /// it overdue.
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
        let overdue_after_seconds = self.latency.class(request.class).overdue_after_seconds(class);
        // An attempt that cannot be cancelled later gets a timeout, which ends the wait once its response is
        // useless.
        let useful_seconds =
            (request.useful_until - self.now).clamp(MIN_TIMEOUT_SECONDS, MAX_TIME_LEFT_SECONDS);
        let needs_timeout = !self.settings.cancellation && request.useful_until < request.deadline;
        let timeout = needs_timeout.then(|| Duration::from_secs_f64(useful_seconds));
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
            due_at: self.event_time + Duration::from_secs_f64(overdue_after_seconds),
            request: id,
            attempt: index,
        });
    }

    /// Handles the end of an attempt and records it in the statistics. Finishes its request if that has its
    /// final response. Otherwise, retries the request or sends its final response, unless another attempt is
    /// in flight.
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
            latency_seconds: latency.as_secs_f64(),
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

    /// Retries a request whose last attempt in flight ended, or sends its final response if no retry is
    /// possible.
    fn retry_or_finish(&mut self, id: RequestId, possibly_executed: bool) {
        let cost = if possibly_executed { RETRY_COST } else { RETRY_COST_NOT_EXECUTED };
        if !self.retry(id, cost) {
            self.reject_or_fail(id);
        }
    }

    /// Records the end of an attempt in the capacity and latency statistics, for the detection of dropped
    /// idle connections, and for outlier detection.
    fn record_attempt_end(&mut self, ended: &EndedAttempt) {
        let class = &self.settings.classes[ended.class];
        let class_latency = self.latency.class_mut(ended.class);
        // The mean here does not include this attempt yet.
        let relative_latency = ended.latency_seconds / class_latency.mean_seconds().max(1e-6);
        if ended.is_served() {
            self.capacity.record_completion();
            class_latency.record_served(ended.latency_seconds);
        }
        let objective_seconds = class.latency_objective.as_secs_f64();
        let result = AttemptResult {
            class: ended.class,
            outcome: ended.outcome,
            was_overdue: ended.was_overdue,
            class_is_well_within_objective: is_well_within_objective(
                class_latency.served_mean_seconds(),
                objective_seconds,
            ),
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

    /// Sends the final response of a request that has no attempt in flight and cannot be retried. The request
    /// is rejected if the client can safely send it again; otherwise it fails.
    fn reject_or_fail(&mut self, id: RequestId) {
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

    /// Marks a request as finished, so that no more attempts are sent for it. Cancels its attempts in flight
    /// if the settings allow cancellation.
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
