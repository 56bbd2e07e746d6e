//! Overdue attempts: those that take longer than is typical of their class.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::requests::OverdueCheck;
use crate::settings::RetrySafety;
use crate::time::Timestamp;
use std::time::Duration;

/// Overdue attempts at an upstream without any response meanwhile that show that it is silent. One or two may
/// be among the one in twenty that takes long anyway.
const SILENT_OVERDUE_ATTEMPTS: u32 = 3;
/// Budget that a retry in place of a cancelled attempt needs.
const RETRY_COST: f64 = 1.0;
/// The shortest time to the next check, in seconds.
const MIN_CHECK_SECONDS: f64 = 1e-6;

impl Balancer {
    /// Handles all attempts whose overdue check has fallen due.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        while let Some(check) = self.requests.pop_due_check(self.elapsed) {
            self.handle_overdue_attempt(check);
        }
    }

    /// An attempt takes longer than is typical. Its upstream counts as loaded, and a hedged request may be
    /// sent. The attempt is checked again when a retry would still be in time, and when its response is no
    /// longer of use.
    fn handle_overdue_attempt(&mut self, check: OverdueCheck) {
        let Some(request) = self.requests.requests.get_mut(&check.request) else { return };
        let class_index = request.class;
        let attempt_count = request.attempts.len();
        let useful_until = request.useful_until;
        let deadline = request.deadline;
        let Some(attempt) = request.attempt_in_flight(check.attempt) else { return };
        let was_overdue = std::mem::replace(&mut attempt.overdue, true);
        let sent_at = attempt.sent_at;
        let mut upstream_is_silent = true;
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.overdue_attempts += u32::from(!was_overdue);
            upstream_is_silent = upstream.outlier.last_response_at() <= sent_at
                && upstream.overdue_attempts >= SILENT_OVERDUE_ATTEMPTS;
        }
        let class = &self.settings.classes[class_index];
        let long_overdue_at = sent_at + self.latency.class(class_index).long_overdue_after(class);
        let may_retry_instead =
            self.may_retry_instead(class_index, attempt_count) && self.now >= long_overdue_at;
        // An attempt is cancelled only at a silent upstream: at any other its work would be done for nobody,
        // or twice. A single attempt without a response is no sign of silence, as each balancer gets few
        // responses of one upstream.
        if self.settings.cancellation && upstream_is_silent && (may_retry_instead || self.now >= useful_until)
        {
            self.actions.push(Action::CancelAttempt { id: check.request, attempt: check.attempt });
        } else {
            self.schedule_next_check(check, [long_overdue_at, useful_until], deadline);
        }
        if !was_overdue {
            self.hedge(check.request);
        }
    }

    /// Whether an attempt may be given up for a retry, where hedged requests are not allowed.
    fn may_retry_instead(&self, class: usize, attempt_count: usize) -> bool {
        let class = &self.settings.classes[class];
        class.retry_safety != RetrySafety::AtMostOnce
            && !class.streamed
            && attempt_count < usize::from(self.settings.max_attempts)
            && !self.settings.hedging
            && self.retry_budget.covers(RETRY_COST)
    }

    /// Checks an attempt again at the first of these times that lies ahead, if it is before the deadline.
    fn schedule_next_check(&mut self, check: OverdueCheck, times: [Timestamp; 2], deadline: Timestamp) {
        let next = times.into_iter().find(|time| *time > self.now && *time < deadline);
        if let Some(next) = next {
            let wait = Duration::from_secs_f64((next - self.now).max(MIN_CHECK_SECONDS));
            self.requests.overdue_checks.insert(OverdueCheck { due: self.elapsed + wait, ..check });
        }
    }
}
