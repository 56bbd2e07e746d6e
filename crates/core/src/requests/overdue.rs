//! Overdue attempts: those that take longer than is typical of their class.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::requests::OverdueCheck;
use crate::requests::retry::RETRY_COST;
use crate::settings::RetrySafety;
use crate::time::Timestamp;
use std::time::Duration;

/// Overdue attempts, with no response since they were sent, from which an upstream counts as silent. Fewer
/// can be normal: one attempt in twenty exceeds the typical latency.
const SILENT_OVERDUE_ATTEMPTS: u32 = 3;
/// The shortest time to the next check, in seconds.
const MIN_CHECK_SECONDS: f64 = 1e-6;

/// An attempt that was found to be overdue.
struct OverdueAttempt {
    class: usize,
    /// How many attempts its request has.
    attempt_count: usize,
    /// It was not overdue before.
    newly_overdue: bool,
    /// Its upstream has several overdue attempts and has not responded since this one was sent, or is no
    /// longer known.
    upstream_is_silent: bool,
    /// When it has taken so long that it may be given up for a retry.
    long_overdue_at: Timestamp,
    /// When its response is no longer of use.
    useful_until: Timestamp,
    deadline: Timestamp,
}

impl Balancer {
    /// Handles all attempts whose overdue check has fallen due.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        while let Some(check) = self.requests.pop_due_check(self.elapsed) {
            self.handle_overdue_attempt(check);
        }
    }

    /// An attempt takes longer than is typical: it may be cancelled or hedged. It is checked again when a
    /// retry would still be in time, and when its response is no longer of use.
    fn handle_overdue_attempt(&mut self, check: OverdueCheck) {
        let Some(attempt) = self.mark_overdue(check) else { return };
        if self.should_cancel(&attempt) {
            self.actions.push(Action::CancelAttempt { id: check.request, attempt: check.attempt });
        } else {
            self.schedule_next_check(check, &attempt);
        }
        if attempt.newly_overdue {
            self.hedge(check.request);
        }
    }

    /// Marks an attempt as overdue, so that its upstream counts as loaded. Returns `None` if it has ended.
    fn mark_overdue(&mut self, check: OverdueCheck) -> Option<OverdueAttempt> {
        let request = self.requests.get_mut(check.request)?;
        let class = request.class;
        let attempt_count = request.attempts.len();
        let useful_until = request.useful_until;
        let deadline = request.deadline;
        let attempt = request.attempt_in_flight(check.attempt)?;
        let newly_overdue = !std::mem::replace(&mut attempt.overdue, true);
        let mut upstream_is_silent = true;
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.overdue_attempts += u32::from(newly_overdue);
            upstream_is_silent = upstream.outlier.last_response_at() <= attempt.sent_at
                && upstream.overdue_attempts >= SILENT_OVERDUE_ATTEMPTS;
        }
        let long_overdue_after =
            self.latency.class(class).long_overdue_after_seconds(&self.settings.classes[class]);
        Some(OverdueAttempt {
            class,
            attempt_count,
            newly_overdue,
            upstream_is_silent,
            long_overdue_at: attempt.sent_at + long_overdue_after,
            useful_until,
            deadline,
        })
    }

    /// Whether an attempt is cancelled: only at a silent upstream, because any other would do its work for
    /// nobody, or twice. A single attempt without a response is no sign of silence, as each balancer gets few
    /// responses of one upstream.
    fn should_cancel(&self, attempt: &OverdueAttempt) -> bool {
        let is_useless = self.now >= attempt.useful_until;
        self.settings.cancellation
            && attempt.upstream_is_silent
            && (is_useless || self.may_retry_instead(attempt))
    }

    /// Whether an attempt may be given up for a retry, where hedged requests are not allowed.
    fn may_retry_instead(&self, attempt: &OverdueAttempt) -> bool {
        let class = &self.settings.classes[attempt.class];
        class.retry_safety != RetrySafety::AtMostOnce
            && !class.streamed
            && attempt.attempt_count < usize::from(self.settings.max_attempts)
            && self.now >= attempt.long_overdue_at
            && !self.settings.hedging
            && self.retry_budget.covers(RETRY_COST)
    }

    /// Checks an attempt again at `long_overdue_at` and at `useful_until`, whichever comes next; never at the
    /// deadline or later.
    fn schedule_next_check(&mut self, check: OverdueCheck, attempt: &OverdueAttempt) {
        let times = [attempt.long_overdue_at, attempt.useful_until];
        let next = times
            .into_iter()
            .filter(|time| *time > self.now && *time < attempt.deadline)
            .fold(Timestamp::DISTANT_FUTURE, Timestamp::min);
        if next < Timestamp::DISTANT_FUTURE {
            let wait = Duration::from_secs_f64((next - self.now).max(MIN_CHECK_SECONDS));
            self.requests.schedule_check(OverdueCheck { due: self.elapsed + wait, ..check });
        }
    }
}
