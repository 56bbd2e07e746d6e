//! Many balancers in front of upstreams that are modelled as one queue, and that lose most of their capacity.

use crate::common::*;
use balancer_core::*;
use std::collections::VecDeque;
use std::time::Duration;

const BALANCERS: u32 = 40;
const UPSTREAMS: u64 = 8;
/// When the upstreams lose most of their capacity.
pub const LOST_AT: Duration = Duration::from_secs(8);
/// How long after that the balancers have to notice.
pub const REACTION_TIME: Duration = Duration::from_millis(500);
pub const END: Duration = Duration::from_secs(12);
pub const SERVICE_TIME_AFTER_LOSS: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_micros(500);
const REQUEST_INTERVAL: Duration = Duration::from_micros(1250);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Latency of an attempt besides its time in the queue and in service.
const BASE_LATENCY: Duration = Duration::from_millis(60);

struct QueuedAttempt {
    balancer: usize,
    id: RequestId,
    times_out_at: Duration,
    served_at: Duration,
}

/// The balancers and the queue of their upstreams.
pub struct Fleet {
    now: Duration,
    balancers: Vec<BalancerHarness>,
    attempts: VecDeque<QueuedAttempt>,
    queue_empty_at: Duration,
    has_lost_capacity: bool,
    /// Requests that were admitted after the balancers had the time to notice the loss.
    pub admitted_after_loss: u32,
}

impl Fleet {
    /// Starts the balancers.
    pub fn start() -> Self {
        let harness = |index| BalancerHarness::new(settings(index), &endpoints(UPSTREAMS));
        Self {
            now: Duration::ZERO,
            balancers: (0..BALANCERS).map(harness).collect(),
            attempts: VecDeque::new(),
            queue_empty_at: Duration::ZERO,
            has_lost_capacity: false,
            admitted_after_loss: 0,
        }
    }

    /// Sends requests to the balancers in turn until the end.
    pub fn run(&mut self) {
        for balancer in (0..BALANCERS as usize).cycle() {
            if self.now >= END {
                break;
            }
            self.has_lost_capacity = self.now >= LOST_AT;
            self.send_request(balancer);
            self.now += REQUEST_INTERVAL;
            self.end_due_attempts();
        }
    }

    fn send_request(&mut self, balancer: usize) {
        let service_time = if self.has_lost_capacity { SERVICE_TIME_AFTER_LOSS } else { SERVICE_TIME };
        let harness = &mut self.balancers[balancer];
        harness.advance(self.now - harness.now);
        let tenant = (balancer % 2) as u32;
        let id = harness.send_request(0, tenant, ms(1000));
        if !harness.is_forwarded(id) {
            return;
        }
        self.admitted_after_loss += u32::from(self.now >= LOST_AT + REACTION_TIME);
        self.queue_empty_at = self.queue_empty_at.max(self.now) + service_time;
        self.attempts.push_back(QueuedAttempt {
            balancer,
            id,
            times_out_at: self.now + ATTEMPT_TIMEOUT,
            served_at: self.queue_empty_at + BASE_LATENCY,
        });
    }

    fn end_due_attempts(&mut self) {
        while let Some(attempt) = self.attempts.pop_front() {
            if self.now < attempt.served_at.min(attempt.times_out_at) {
                self.attempts.push_front(attempt);
                return;
            }
            self.end_attempt(&attempt);
        }
    }

    fn end_attempt(&mut self, attempt: &QueuedAttempt) {
        let utilization = if self.has_lost_capacity { 1.0 } else { 0.45 };
        let harness = &mut self.balancers[attempt.balancer];
        harness.advance(self.now - harness.now);
        if attempt.served_at <= attempt.times_out_at {
            harness.end_attempt_with_report(attempt.id, 0, Outcome::Ok, &[utilization]);
        } else {
            harness.end_attempt(attempt.id, 0, Outcome::TimedOut);
        }
    }
}

fn settings(index: u32) -> Settings {
    SettingsBuilder::new(RetrySafety::Idempotent)
        .balancers(BALANCERS)
        .index(index)
        .quotas(&[400.0, 400.0])
        .load_reports(LoadReporting::Inline, &[LoadField::Utilization])
        .over_quota_weight(0.05)
        .hedging(false)
        .build()
}
