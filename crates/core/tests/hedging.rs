//! Tests of hedged requests, which send a second attempt while the first one is overdue.

mod common;
use balancer_core::*;
use common::*;

#[test]
fn an_overdue_attempt_is_hedged_at_another_upstream_and_cancelled_when_the_hedged_request_is_served() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(3));

    let id = harness.send_request(0, 0, ms(1000));
    harness.advance(ms(300));

    let first_upstream = harness.upstream_of(id, 0).expect("the request should be forwarded");
    let hedge_upstream = harness.upstream_of(id, 1).expect("the request should be hedged");
    assert_ne!(first_upstream, hedge_upstream);

    harness.end_attempt(id, 1, Outcome::Ok);
    assert!(harness.has_cancelled(id, 0));
}

/// Each of many balancers sees only one late request at a time, but the hedged requests of all balancers
/// would delay upstreams without spare capacity even more.
#[test]
fn late_requests_are_not_hedged_without_spare_capacity() {
    const FIRST_COUNTED_REQUEST: usize = 20; // the balancer learns the latency from earlier requests
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).balancers(300).quotas(&[900.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(6));

    let mut forwarded = 0;
    let mut hedged = 0;
    for request in 0..60 {
        let id = harness.send_request(0, 0, ms(1000));
        harness.advance(ms(270));
        let attempts = harness.attempt_count(id);
        harness.end_all_attempts(id, Outcome::Ok);
        if request >= FIRST_COUNTED_REQUEST {
            forwarded += attempts.min(1);
            hedged += attempts.saturating_sub(1);
        }
    }

    assert!(forwarded > 10, "only {forwarded} requests were forwarded");
    assert_eq!(hedged, 0, "some of {forwarded} forwarded requests were hedged");
}
