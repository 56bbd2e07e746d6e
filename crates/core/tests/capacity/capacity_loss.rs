//! Simulation of many balancers whose upstreams are modelled as one queue and lose most of their capacity.

use crate::common::*;
use balancer_core::*;
use std::collections::VecDeque;
use std::time::Duration;

const BALANCERS: u32 = 40;
const UPSTREAMS: u64 = 8;
/// Time at which the upstreams lose most of their capacity.
pub const CAPACITY_LOST_AT: Duration = Duration::from_secs(8);
/// Time that the balancers have to notice the loss of capacity.
pub const REACTION_TIME: Duration = Duration::from_millis(500);
/// Time at which the simulation ends.
pub const END: Duration = Duration::from_secs(12);
/// Time that the upstreams together take to serve one request after the loss of capacity.
pub const SERVICE_TIME_AFTER_LOSS: Duration = Duration::from_millis(5);
/// Time that the upstreams together take to serve one request before the loss of capacity.
const SERVICE_TIME_BEFORE_LOSS: Duration = Duration::from_micros(500);
/// Time between two requests, counted over all balancers.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1250);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Latency of an attempt in addition to its time in the queue and in service.
const BASE_LATENCY: Duration = Duration::from_millis(60);

/// An attempt in flight, for which the time of its end is known.
struct AttemptInFlight {
    balancer: usize,
    id: RequestId,
    times_out_at: Duration,
    /// When the response arrives at the balancer.
    served_at: Duration,
}

/// The balancers and the queue of their upstreams.
pub struct Fleet {
    now: Duration,
    balancers: Vec<BalancerHarness>,
    /// The attempts in flight, in the order in which they were sent.
    attempts_in_flight: VecDeque<AttemptInFlight>,
    /// When the upstreams will have served all queued attempts.
    queue_empty_at: Duration,
    has_lost_capacity: bool,
    /// Number of requests admitted after the balancers had [`REACTION_TIME`] to notice the loss.
    pub admitted_after_reaction_time: u32,
}

impl Fleet {
    /// Starts the balancers at time zero, with an empty queue.
    pub fn start() -> Self {
        let start_balancer = |index| BalancerHarness::new(settings(index), &endpoints(UPSTREAMS));
        Self {
            now: Duration::ZERO,
            balancers: (0..BALANCERS).map(start_balancer).collect(),
            attempts_in_flight: VecDeque::new(),
            queue_empty_at: Duration::ZERO,
            has_lost_capacity: false,
            admitted_after_reaction_time: 0,
        }
    }

    /// Sends requests to the balancers in turn until [`END`].
    pub fn run(&mut self) {
        for balancer in (0..BALANCERS as usize).cycle() {
            if self.now >= END {
                break;
            }
            self.has_lost_capacity = self.now >= CAPACITY_LOST_AT;
            self.send_request(balancer);
            self.now += REQUEST_INTERVAL;
            self.end_due_attempts();
        }
    }

    fn send_request(&mut self, balancer: usize) {
        let service_time =
            if self.has_lost_capacity { SERVICE_TIME_AFTER_LOSS } else { SERVICE_TIME_BEFORE_LOSS };
        let harness = &mut self.balancers[balancer];
        harness.advance(self.now - harness.now);
        let tenant = (balancer % 2) as u32;
        let id = harness.send_request(0, tenant, ms(1000));
        if !harness.is_forwarded(id) {
            return;
        }
        self.admitted_after_reaction_time += u32::from(self.now >= CAPACITY_LOST_AT + REACTION_TIME);
        self.queue_empty_at = self.queue_empty_at.max(self.now) + service_time;
        self.attempts_in_flight.push_back(AttemptInFlight {
            balancer,
            id,
            times_out_at: self.now + ATTEMPT_TIMEOUT,
            served_at: self.queue_empty_at + BASE_LATENCY,
        });
    }

    fn end_due_attempts(&mut self) {
        while let Some(attempt) = self.attempts_in_flight.pop_front() {
            if self.now < attempt.served_at.min(attempt.times_out_at) {
                self.attempts_in_flight.push_front(attempt);
                return;
            }
            self.end_attempt(&attempt);
        }
    }

    fn end_attempt(&mut self, attempt: &AttemptInFlight) {
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
