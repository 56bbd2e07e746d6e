//! The estimate of spare capacity: it follows a loss of capacity, and recovers.

mod common;
use balancer_core::*;
use common::*;
use std::collections::VecDeque;
use std::time::Duration;

/// When no attempt is served in time there is no spare capacity, and even requests within quota are rejected,
/// except a few that show whether the overload has passed.
#[test]
fn requests_within_quota_are_rejected_while_no_attempt_is_served() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).quotas(&[100.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    harness.play_requests(200, ms(10), |_| Some(Outcome::Ok));

    let mut forwarded = 0;
    let mut pending = PendingRequests::default();
    for request in 0..600 {
        let id = harness.send_request(0, 0, ms(1000));
        if harness.is_forwarded(id) {
            pending.push(id, harness.now + ms(1000), Outcome::TimedOut);
            forwarded += usize::from(request >= 200);
        }
        harness.advance(ms(10));
        pending.end_due(&mut harness);
    }

    assert!(forwarded < 200, "{forwarded} of 400 forwarded to overloaded upstreams");
    assert!(forwarded > 0, "some are forwarded, to find out whether the overload has passed");
}

/// Sends requests one after another; all attempts of each end with this outcome after `latency`. Returns how
/// many were served.
fn play_phase(harness: &mut BalancerHarness, requests: usize, outcome: Outcome, latency: Duration) -> usize {
    let mut served = 0;
    for _ in 0..requests {
        let id = harness.send_request(0, 0, ms(1000));
        harness.advance(latency);
        let mut attempt = 0;
        while harness.upstream_of(id, attempt).is_some() {
            harness.end_attempt(id, attempt, outcome);
            attempt += 1;
        }
        served += usize::from(harness.response(id) == Some(FinalResponse::Served));
        harness.advance(ms(200));
    }
    served
}

/// All attempts timed out until nothing was admitted any more. The balancer must find out that this has
/// passed.
#[test]
fn a_balancer_that_rejected_everything_recovers() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).balancers(500).quotas(&[1000.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(40));
    play_phase(&mut harness, 50, Outcome::Ok, ms(50));
    play_phase(&mut harness, 60, Outcome::TimedOut, ms(990));
    play_phase(&mut harness, 100, Outcome::Ok, ms(50));

    let served = play_phase(&mut harness, 50, Outcome::Ok, ms(50));

    assert!(served >= 40, "{served} of 50 served long after the overload");
}

/// Many balancers in front of upstreams that are modelled as one queue, and that lose most of their capacity.
mod capacity_loss {
    use super::*;

    pub const BALANCERS: u32 = 40;
    pub const UPSTREAMS: u64 = 8;
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
}

/// Each of many balancers sees few responses: an average over dozens of load reports would show a loss of
/// capacity only when the queues of the upstreams are full. Little more than the remaining capacity may be
/// admitted in the seconds after the loss.
#[test]
fn admission_follows_a_loss_of_capacity_within_half_a_second() {
    use capacity_loss::{END, Fleet, LOST_AT, REACTION_TIME, SERVICE_TIME_AFTER_LOSS};
    let mut fleet = Fleet::start();

    fleet.run();

    let capacity = (END - LOST_AT - REACTION_TIME).div_duration_f64(SERVICE_TIME_AFTER_LOSS);
    let admitted = f64::from(fleet.admitted_after_loss);
    assert!(admitted < capacity, "{admitted} admitted, capacity for {capacity}");
    assert!(admitted > 0.4 * capacity, "{admitted} admitted, capacity for {capacity}");
}
