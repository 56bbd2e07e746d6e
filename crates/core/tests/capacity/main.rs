//! Tests of the estimate of spare capacity: it follows a loss of capacity, and recovers afterwards.

mod capacity_loss;
#[path = "../common/mod.rs"]
mod common;
use balancer_core::*;
use capacity_loss::{CAPACITY_LOST_AT, END, Fleet, REACTION_TIME, SERVICE_TIME_AFTER_LOSS};
use common::*;
use std::time::Duration;

/// If no attempt is served in time, there is no spare capacity. Even requests within quota are then rejected,
/// except for a few that show whether the overload has passed.
#[test]
fn requests_within_quota_are_rejected_while_no_attempt_is_served() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).quotas(&[100.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    harness.simulate_requests(200, ms(10), |_| Some(Outcome::Ok));

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

    assert!(forwarded < 200, "{forwarded} of 400 requests were forwarded to overloaded upstreams");
    assert!(forwarded > 0, "no request was forwarded to find out whether the overload has passed");
}

/// Sends requests one after another. All attempts of a request end with this outcome, `latency` after the
/// request was sent. Returns how many requests were served.
fn simulate_requests_with_latency(
    harness: &mut BalancerHarness,
    request_count: usize,
    outcome: Outcome,
    latency: Duration,
) -> usize {
    let mut served = 0;
    for _ in 0..request_count {
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

/// All attempts time out for about a minute, so that the balancer rejects most requests. Then the upstreams
/// recover, and the balancer must notice the recovery.
#[test]
fn a_balancer_that_rejected_most_requests_recovers() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).balancers(500).quotas(&[1000.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(40));
    simulate_requests_with_latency(&mut harness, 50, Outcome::Ok, ms(50));
    simulate_requests_with_latency(&mut harness, 60, Outcome::TimedOut, ms(990));
    simulate_requests_with_latency(&mut harness, 100, Outcome::Ok, ms(50));

    let served = simulate_requests_with_latency(&mut harness, 50, Outcome::Ok, ms(50));

    assert!(served >= 40, "only {served} of 50 requests were served long after the overload");
}

/// Each of many balancers sees few responses, so an average over dozens of load reports would show a loss of
/// capacity only once the queues of the upstreams are full. From half a second after the loss, the balancers
/// must admit less than the remaining capacity, but more than 40 % of it.
#[test]
fn admission_follows_a_loss_of_capacity_within_half_a_second() {
    let mut fleet = Fleet::start();

    fleet.run();

    let capacity = (END - CAPACITY_LOST_AT - REACTION_TIME).div_duration_f64(SERVICE_TIME_AFTER_LOSS);
    let admitted = f64::from(fleet.admitted_after_reaction_time);
    assert!(admitted < capacity, "{admitted} requests were admitted with capacity for {capacity}");
    assert!(admitted > 0.4 * capacity, "only {admitted} requests were admitted with capacity for {capacity}");
}
