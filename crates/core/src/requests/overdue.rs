//! Handling of overdue attempts. An attempt is overdue when it has been in flight for longer than most
//! attempts of its class; see
//! [`overdue_after_seconds`](crate::latency::ClassLatency::overdue_after_seconds).

use crate::action::Action;
use crate::balancer::Balancer;
use crate::requests::OverdueCheck;
use crate::requests::retry::RETRY_COST;
use crate::settings::RetrySafety;
use crate::time::Timestamp;
use std::time::Duration;

/// Minimum number of overdue attempts at an upstream that counts as unresponsive. The upstream must also have
/// sent no response since the checked attempt was sent. Fewer overdue attempts can be normal, because one
/// attempt in twenty takes longer than the quantile from which attempts count as overdue.
const MIN_OVERDUE_ATTEMPTS_IF_UNRESPONSIVE: u32 = 3;
/// Minimum time until the next check, in seconds.
const MIN_CHECK_DELAY_SECONDS: f64 = 1e-6;

/// An attempt that a check found to be overdue.
struct OverdueAttempt {
    class: usize,
    /// Number of attempts of its request, ended ones included.
    attempt_count: usize,
    /// Whether this check is the first to find it overdue.
    newly_overdue: bool,
    /// Whether its upstream has several overdue attempts and has not responded since this attempt was sent.
    /// Also `true` if the upstream is no longer known.
    upstream_is_unresponsive: bool,
    /// Time from which it may be cancelled in favour of a retry.
    long_overdue_at: Timestamp,
    /// Time after which its response has no value.
    useful_until: Timestamp,
    deadline: Timestamp,
}

impl Balancer {
    /// Runs all overdue checks that are due.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        while let Some(check) = self.requests.pop_due_check(self.event_time) {
            self.handle_overdue_attempt(check);
        }
    }

    /// Cancels an overdue attempt or schedules its next check. Then hedges its request, if hedging is
    /// possible and the attempt has just become overdue. Later checks are due when the attempt is long
    /// overdue, which still leaves time for a retry, and when the response becomes useless.
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

    /// Marks an attempt as overdue, which raises its upstream's estimated load. Returns `None` if the attempt
    /// has ended.
    fn mark_overdue(&mut self, check: OverdueCheck) -> Option<OverdueAttempt> {
        let request = self.requests.get_mut(check.request)?;
        let class = request.class;
        let attempt_count = request.attempts.len();
        let useful_until = request.useful_until;
        let deadline = request.deadline;
        let attempt = request.attempt_in_flight(check.attempt)?;
        let newly_overdue = !std::mem::replace(&mut attempt.overdue, true);
        let mut upstream_is_unresponsive = true;
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.overdue_attempts += u32::from(newly_overdue);
            upstream_is_unresponsive = upstream.outlier.last_response_at() <= attempt.sent_at
                && upstream.overdue_attempts >= MIN_OVERDUE_ATTEMPTS_IF_UNRESPONSIVE;
        }
        let long_overdue_after_seconds =
            self.latency.class(class).long_overdue_after_seconds(&self.settings.classes[class]);
        Some(OverdueAttempt {
            class,
            attempt_count,
            newly_overdue,
            upstream_is_unresponsive,
            long_overdue_at: attempt.sent_at + long_overdue_after_seconds,
            useful_until,
            deadline,
        })
    }

    /// Returns whether to cancel an attempt. Attempts are cancelled only at an unresponsive upstream. At a
    /// responsive upstream, the work done so far would be wasted or, with a retry, done twice. A single
    /// attempt without a response does not show that an upstream is unresponsive, because each balancer gets
    /// few responses from one upstream.
    fn should_cancel(&self, attempt: &OverdueAttempt) -> bool {
        let is_useless = self.now >= attempt.useful_until;
        self.settings.cancellation
            && attempt.upstream_is_unresponsive
            && (is_useless || self.may_cancel_for_retry(attempt))
    }

    /// Returns whether an attempt may be cancelled in favour of a retry. Applies only if the settings do not
    /// allow hedged requests.
    fn may_cancel_for_retry(&self, attempt: &OverdueAttempt) -> bool {
        let class = &self.settings.classes[attempt.class];
        class.retry_safety != RetrySafety::AtMostOnce
            && !class.streamed
            && attempt.attempt_count < usize::from(self.settings.max_attempts)
            && self.now >= attempt.long_overdue_at
            && !self.settings.hedging
            && self.retry_budget.covers(RETRY_COST)
    }

    /// Schedules the next check of an attempt at `long_overdue_at` or `useful_until`, whichever comes next.
    /// Does not schedule a check at the deadline or later.
    fn schedule_next_check(&mut self, check: OverdueCheck, attempt: &OverdueAttempt) {
        let times = [attempt.long_overdue_at, attempt.useful_until];
        let next = times
            .into_iter()
            .filter(|time| *time > self.now && *time < attempt.deadline)
            .fold(Timestamp::DISTANT_FUTURE, Timestamp::min);
        if next < Timestamp::DISTANT_FUTURE {
            let delay = Duration::from_secs_f64((next - self.now).max(MIN_CHECK_DELAY_SECONDS));
            self.requests.schedule_check(OverdueCheck { due_at: self.event_time + delay, ..check });
        }
    }
}
