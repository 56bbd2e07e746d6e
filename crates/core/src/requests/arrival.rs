//! Admission and rejection of arriving requests.

use crate::action::{Action, RejectionReason};
use crate::balancer::Balancer;
use crate::ids::{ClassId, RequestId, TenantId};
use crate::random::Random;
use crate::requests::Request;
use crate::upstreams::UpstreamPosition;
use std::time::Duration;

/// Share of the latency objective after which a response is useless in a class whose late responses have no
/// value. The rest of the objective is left for sending the response to the client.
const USEFUL_SHARE_OF_OBJECTIVE: f64 = 0.98;
/// Minimum Retry-After of a rejected request, as a share of the maximum that applies to it.
const MIN_RETRY_AFTER_SHARE: f64 = 0.5;

impl Balancer {
    /// Admits a request and sends its first attempt if its tenant's bucket has a token and an upstream can
    /// take it. Rejects the request at once otherwise. Fails a request of an unknown class.
    pub(crate) fn handle_arrival(
        &mut self,
        id: RequestId,
        class: ClassId,
        tenant: TenantId,
        time_left: Duration,
    ) {
        let class = usize::from(class.0);
        let tenant = tenant.0 as usize;
        if class >= self.settings.classes.len() {
            self.actions.push(Action::Fail { id });
            return;
        }
        if !self.admission.record_arrival(tenant) {
            self.reject(id, time_left, RejectionReason::OverQuota);
            return;
        }
        let Some(position) = self.choose_upstream(class) else {
            self.reject(id, time_left, RejectionReason::NoUpstream);
            return;
        };
        self.admission.take_token(tenant);
        self.retry_budget.deposit();
        self.latency.record_admission(class);
        let request = self.new_request(class, time_left);
        self.requests.insert(id, request);
        self.send_attempt(id, position);
    }

    /// Returns the position of the upstream for a new request of a class: an ejected upstream if a probe
    /// request is due, otherwise the next one in the rotation.
    fn choose_upstream(&mut self, class: usize) -> Option<UpstreamPosition> {
        self.round_robin.drop_unusable_turns(&self.upstreams);
        if let Some(position) = self.upstreams.take_due_probe(self.now, class, &mut self.random) {
            return Some(position);
        }
        self.round_robin.next_upstream(&mut self.upstreams, class, self.last_tick_at)
    }

    /// Creates the state of an admitted request.
    fn new_request(&self, class: usize, time_left: Duration) -> Request {
        let deadline = self.now + time_left.as_secs_f64();
        let class_settings = &self.settings.classes[class];
        let is_useful_when_late = class_settings.late_priority_weight > 0.0
            || class_settings.latency_objective_stretch > 0.0
            || class_settings.streamed;
        let objective_seconds = class_settings.latency_objective.as_secs_f64();
        let objective_useful_until = self.now + USEFUL_SHARE_OF_OBJECTIVE * objective_seconds;
        let useful_until = if is_useful_when_late { deadline } else { deadline.min(objective_useful_until) };
        Request::new(class, useful_until, deadline)
    }

    /// Rejects a request. The Retry-After is jittered by the request's id, so that clients rejected at the
    /// same time do not all retry at the same time.
    pub(crate) fn reject(&mut self, id: RequestId, time_left: Duration, reason: RejectionReason) {
        let max_retry_after = self.settings.max_retry_after.min(time_left / 2);
        let jitter = Random::with_seed(u64::from(id.0)).fraction();
        let share = MIN_RETRY_AFTER_SHARE + (1.0 - MIN_RETRY_AFTER_SHARE) * jitter;
        let retry_after = Some(max_retry_after.mul_f64(share));
        self.actions.push(Action::Reject { id, retry_after, reason });
    }
}
