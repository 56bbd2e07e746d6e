//! The estimate of spare capacity: it follows a loss of capacity, and recovers.

mod capacity_loss;
#[path = "../common/mod.rs"]
mod common;
use balancer_core::*;
use capacity_loss::{END, Fleet, LOST_AT, REACTION_TIME, SERVICE_TIME_AFTER_LOSS};
use common::*;
use std::time::Duration;

/// When no attempt is served in time there is no spare capacity, and even requests within quota are rejected,
/// except a few that show whether the overload has passed.
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

/// Each of many balancers sees few responses: an average over dozens of load reports would show a loss of
/// capacity only when the queues of the upstreams are full. From half a second after the loss, less than the
/// remaining capacity is admitted, and more than 40 % of it.
#[test]
fn admission_follows_a_loss_of_capacity_within_half_a_second() {
    let mut fleet = Fleet::start();

    fleet.run();

    let capacity = (END - LOST_AT - REACTION_TIME).div_duration_f64(SERVICE_TIME_AFTER_LOSS);
    let admitted = f64::from(fleet.admitted_after_loss);
    assert!(admitted < capacity, "{admitted} admitted, capacity for {capacity}");
    assert!(admitted > 0.4 * capacity, "{admitted} admitted, capacity for {capacity}");
}
