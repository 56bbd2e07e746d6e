//! Admission: token buckets, tenants' quotas and the rejection of what exceeds them.

mod common;
use balancer_core::*;
use common::*;

/// Settings with one idempotent class and tenants of these quotas.
fn settings(balancers: u32, quotas_per_second: &[f64]) -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).balancers(balancers).quotas(quotas_per_second)
}

/// Each of a thousand balancers has capacity for a fraction of a request at a time. Rounding that down to
/// nothing would starve its tenants for good.
#[test]
fn one_of_a_thousand_balancers_admits_all_requests_of_tenants_within_quota() {
    let settings = settings(1000, &[600.0, 500.0, 400.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(60));
    harness.advance(ms(100));

    let mut rejected = 0;
    for request in 0..60 {
        let id = harness.send_request(0, request % 3, ms(1000));
        harness.advance(ms(50));
        if harness.is_forwarded(id) {
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        rejected += usize::from(harness.response(id) == Some(FinalResponse::Rejected));
        harness.advance(ms(450));
    }

    assert_eq!(rejected, 0, "two requests per second, with capacity for all of them");
}

/// While one tenant sends far over its quota and no request is served in time, a tenant within its quota
/// still gets about all of it.
#[test]
fn a_tenant_far_over_quota_does_not_take_the_quota_of_another() {
    const SURGING_TENANT: u32 = 0;
    const TENANT_WITHIN_QUOTA: u32 = 1;
    let mut harness = BalancerHarness::new(settings(1, &[20.0, 20.0]).build(), &endpoints(2));
    harness.advance(ms(100));

    let mut admitted = 0;
    let mut sent = 0;
    let mut surge = PendingRequests::default();
    for step in 0..400 {
        // No request of the surge is served in time, so there is no spare capacity beyond the quotas.
        for _ in 0..4 {
            let id = harness.send_request(0, SURGING_TENANT, ms(1000));
            if harness.is_forwarded(id) {
                surge.push(id, harness.now + ms(1000), Outcome::TimedOut);
            }
        }
        surge.end_due(&mut harness);
        if step % 10 == 0 {
            let id = harness.send_request(0, TENANT_WITHIN_QUOTA, ms(1000));
            sent += 1;
            if harness.is_forwarded(id) {
                admitted += 1;
                harness.end_attempt(id, 0, Outcome::Ok);
            }
        }
        harness.advance(ms(10));
    }

    assert!(admitted * 10 >= sent * 9, "{admitted} of {sent} within the quota were admitted");
}

/// A new bucket holds the quota of the longest latency objective, of one second at most, before anything is
/// granted. More tokens, saved while there was spare capacity, would be admitted to upstreams that have just
/// lost theirs.
#[test]
fn a_new_token_bucket_starts_full() {
    for (longest_objective_ms, tokens) in [(400, 11), (1000, 23), (3000, 23)] {
        let settings = settings(1, &[20.0])
            .add_class(request_class(longest_objective_ms, 5000, RetrySafety::AtMostOnce))
            .build();
        let mut harness = BalancerHarness::new(settings, &endpoints(4));

        let mut forwarded = 0;
        for _ in 0..40 {
            let id = harness.send_request(0, 0, ms(1000));
            forwarded += usize::from(harness.is_forwarded(id));
        }

        assert_eq!(forwarded, tokens, "longest latency objective {longest_objective_ms} ms");
    }
}

/// Each of many balancers admits little, but the tokens that all have saved would overload the upstreams for
/// seconds. No tenant is over its quota here.
#[test]
fn saved_tokens_are_dropped_once_no_upstream_has_spare_capacity() {
    const LAST_SERVED_REQUEST: u32 = 200;
    let mut harness = BalancerHarness::new(settings(1, &[3.0; 9]).build(), &endpoints(4));

    let mut pending = PendingRequests::default();
    let mut forwarded_while_overloaded = 0;
    for request in 0..240 {
        let is_overloaded = request >= LAST_SERVED_REQUEST;
        let id = harness.send_request(0, request % 9, ms(1000));
        if harness.is_forwarded(id) {
            if is_overloaded {
                forwarded_while_overloaded += 1;
                pending.push(id, harness.now + ms(1000), Outcome::TimedOut);
            } else {
                pending.push(id, harness.now + ms(60), Outcome::Ok);
            }
        }
        harness.advance(ms(50));
        pending.end_due(&mut harness);
    }

    assert!(
        forwarded_while_overloaded <= 20,
        "{forwarded_while_overloaded} of 40 forwarded in two seconds in which no attempt is served"
    );
}
