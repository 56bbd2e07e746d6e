//! Tests of admission control: token buckets, the quotas of tenants, and the rejection of requests over
//! quota.

mod common;
use balancer_core::*;
use common::*;

/// Returns settings with one idempotent class and a tenant for each quota.
fn settings(balancers: u32, quotas_per_second: &[f64]) -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).balancers(balancers).quotas(quotas_per_second)
}

/// Each of a thousand balancers sees spare capacity for only a fraction of a request at a time. If that were
/// rounded down to zero, the tenants would get no tokens from the spare capacity. Each tenant here sends more
/// than this balancer's part of its quota.
#[test]
fn one_of_a_thousand_balancers_rejects_no_request_while_there_is_spare_capacity() {
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

    assert_eq!(rejected, 0, "requests were rejected although there is capacity for two per second");
}

/// One tenant sends far over its quota, and none of its requests is served in time. A tenant within its quota
/// must still have nearly all of its requests admitted.
#[test]
fn a_tenant_far_over_quota_does_not_take_the_quota_of_another() {
    const SURGING_TENANT: u32 = 0;
    const TENANT_WITHIN_QUOTA: u32 = 1;
    let mut harness = BalancerHarness::new(settings(1, &[20.0, 20.0]).build(), &endpoints(2));
    harness.advance(ms(100));

    let mut admitted = 0;
    let mut sent = 0;
    let mut surging_requests = PendingRequests::default();
    for step in 0..400 {
        // None of the surging tenant's requests is served in time, so there is no spare capacity beyond the
        // quotas.
        for _ in 0..4 {
            let id = harness.send_request(0, SURGING_TENANT, ms(1000));
            if harness.is_forwarded(id) {
                surging_requests.push(id, harness.now + ms(1000), Outcome::TimedOut);
            }
        }
        surging_requests.end_due(&mut harness);
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

    assert!(admitted * 10 >= sent * 9, "only {admitted} of {sent} requests within quota were admitted");
}

/// Before any refill, a bucket holds three tokens plus those that the quota grants in the time of the longest
/// latency objective, but in one second at most. With a larger bucket, tokens saved while there was spare
/// capacity would admit requests to upstreams that have just lost their capacity.
#[test]
fn a_new_token_bucket_starts_full() {
    for (longest_objective_ms, expected_tokens) in [(400, 11), (1000, 23), (3000, 23)] {
        let settings = settings(1, &[20.0])
            .add_class(request_class(longest_objective_ms, 5000, RetrySafety::AtMostOnce))
            .build();
        let mut harness = BalancerHarness::new(settings, &endpoints(4));

        let mut forwarded = 0;
        for _ in 0..40 {
            let id = harness.send_request(0, 0, ms(1000));
            forwarded += usize::from(harness.is_forwarded(id));
        }

        assert_eq!(
            forwarded, expected_tokens,
            "requests forwarded with a longest latency objective of {longest_objective_ms} ms"
        );
    }
}

/// Each of many balancers admits few requests, but the saved tokens of all of them would overload the
/// upstreams for seconds, even though no tenant exceeds its quota.
#[test]
fn saved_tokens_are_dropped_once_no_upstream_has_spare_capacity() {
    const FIRST_UNSERVED_REQUEST: u32 = 200;
    let mut harness = BalancerHarness::new(settings(1, &[3.0; 9]).build(), &endpoints(4));

    let mut pending = PendingRequests::default();
    let mut forwarded_while_overloaded = 0;
    for request in 0..240 {
        let is_overloaded = request >= FIRST_UNSERVED_REQUEST;
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
        "{forwarded_while_overloaded} of 40 requests were forwarded in two seconds without a served attempt"
    );
}
