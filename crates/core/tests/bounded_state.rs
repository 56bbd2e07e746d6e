//! The state of a balancer stays bounded, however long it runs.

mod common;
use balancer_core::*;
use common::*;

const UPSTREAMS: u64 = 4;

fn harness() -> BalancerHarness {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).quotas(&[50.0]).build();
    BalancerHarness::new(settings, &endpoints(UPSTREAMS))
}

/// When all upstreams are replaced again and again, the removed ones are forgotten and no request is sent to
/// them.
#[test]
fn replaced_upstreams_are_forgotten_and_get_no_requests() {
    let mut harness = harness();

    for round in 1..200u64 {
        let first = UPSTREAMS * round;
        let replacement: Vec<_> = (first..first + UPSTREAMS).map(endpoint).collect();
        harness.update_endpoints(UpdateScope::Snapshot, &replacement);
        harness.advance(ms(200));
        let id = harness.send_request(0, 0, ms(1000));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            assert!(replacement.iter().any(|entry| entry.id == upstream), "{upstream:?} is removed");
            harness.end_attempt(id, 0, Outcome::Ok);
        }
    }

    let entries = harness.balancer.state_entry_count();
    assert!(entries <= 40, "{entries} entries after four upstreams were replaced 199 times");
}

#[test]
fn finished_requests_are_forgotten() {
    let mut harness = harness();

    harness.play_requests(2000, ms(20), |_| Some(Outcome::Ok));
    harness.advance(ms(2000));

    let entries = harness.balancer.state_entry_count();
    assert!(entries <= 20, "{entries} entries after two thousand requests");
}
