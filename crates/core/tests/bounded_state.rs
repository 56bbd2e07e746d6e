//! Tests that the state of a balancer stays bounded, however long it runs.

mod common;
use balancer_core::*;
use common::*;

const UPSTREAM_COUNT: u64 = 4;

fn harness() -> BalancerHarness {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).quotas(&[50.0]).build();
    BalancerHarness::new(settings, &endpoints(UPSTREAM_COUNT))
}

/// When all upstreams are replaced again and again, the removed ones must get no requests, and their state
/// must be dropped.
#[test]
fn state_of_replaced_upstreams_is_dropped_and_they_get_no_requests() {
    let mut harness = harness();

    for round in 1..200u64 {
        let first_id = UPSTREAM_COUNT * round;
        let replacement: Vec<_> = (first_id..first_id + UPSTREAM_COUNT).map(endpoint).collect();
        harness.update_endpoints(UpdateScope::Snapshot, &replacement);
        harness.advance(ms(200));
        let id = harness.send_request(0, 0, ms(1000));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            assert!(
                replacement.iter().any(|entry| entry.id == upstream),
                "a request was sent to {upstream:?}, which was removed"
            );
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }

    let entries = harness.balancer.state_entry_count();
    assert!(entries <= 40, "{entries} state entries are left after four upstreams were replaced 199 times");
}

#[test]
fn state_of_finished_requests_is_dropped() {
    let mut harness = harness();

    harness.simulate_requests(2000, ms(20), |_| Some(Outcome::Ok));
    harness.advance(ms(2000));

    let entries = harness.balancer.state_entry_count();
    assert!(entries <= 20, "{entries} state entries are left after two thousand requests");
}
