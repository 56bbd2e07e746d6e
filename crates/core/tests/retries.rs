//! Tests of retries: which requests may be retried, and how the retry budget limits them.

mod common;
use balancer_core::*;
use common::*;

/// Executing an at-most-once request twice would repeat its effect. A rejection would tell the client that
/// the request is safe to send again, so the request fails instead.
#[test]
fn an_at_most_once_request_that_may_have_been_executed_fails_without_a_retry() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(3));

    let id = harness.send_request(0, 0, ms(1000));
    harness.advance(ms(600));
    assert_eq!(harness.upstream_of(id, 1), None, "the at-most-once request was hedged");

    harness.end_attempt(id, 0, Outcome::Reset);
    assert_eq!(harness.upstream_of(id, 1), None, "a request that may have been executed was retried");
    assert_eq!(
        harness.response(id),
        Some(FinalResponse::Failed),
        "the request did not fail; a rejection would tell the client that it is safe to send again"
    );

    let id = harness.send_request(0, 0, ms(1000));
    harness.end_attempt(id, 0, Outcome::ConnectFailed);
    assert!(harness.upstream_of(id, 1).is_some(), "a request that was not executed was not retried");
}

/// If every attempt fails, unlimited retries would multiply the load on all upstreams.
#[test]
fn retries_stay_within_the_retry_budget_when_every_attempt_fails() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(20));

    harness.simulate_requests(500, ms(10), |_| Some(Outcome::Error));

    let requests = harness.forwarded_requests();
    let attempts = harness.total_attempts();
    let limit = requests + requests / 10 + 11;
    assert!(attempts <= limit, "{attempts} attempts were sent for {requests} requests");
}

/// If hundreds of balancers each saved a full retry budget, they could overload their upstreams by spending
/// it at the same time. The budget that a balancer with few requests may save is therefore a share of those
/// requests.
#[test]
fn the_saved_retry_budget_of_one_of_many_balancers_is_a_share_of_its_requests() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).balancers(300).quotas(&[4800.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(12));
    harness.simulate_requests(600, ms(62), |_| Some(Outcome::Ok));
    harness.attempts.clear();

    harness.simulate_requests(16, ms(62), |_| Some(Outcome::Error));

    let retries: usize = harness.attempts.values().map(|attempts| attempts.len() - 1).sum();
    assert!(retries <= 4, "{retries} retries were sent for 16 requests in a second");
}

/// All upstreams that share an idempotency key may be outside the subset. They warm up there as well, and can
/// then take a retry.
#[test]
fn a_retry_goes_to_an_upstream_outside_the_subset_once_that_has_warmed_up() {
    const SLOW_START_MS: u64 = 2000;
    let deduplicated = RetrySafety::Deduplicated { scope: DeduplicationScope::Cell, ttl: ms(60_000) };
    let settings = SettingsBuilder::new(deduplicated)
        .balancers(240)
        .quotas(&[480.0])
        .slow_start(0.2, ms(SLOW_START_MS))
        .build();
    // Each cell has two upstreams, most of which are outside the subset. All upstreams have just started.
    let endpoints: Vec<_> = (0..48)
        .map(|number| {
            let cell = CellId(number / 2);
            let builder = EndpointBuilder::new(u64::from(number + 1) * 7919);
            builder.located_in(ZoneId(0), cell).started_at(ms(0)).build()
        })
        .collect();
    for (elapsed_ms, expects_retry) in [(SLOW_START_MS / 2, false), (2 * SLOW_START_MS, true)] {
        let mut harness = BalancerHarness::new(settings.clone(), &endpoints);
        harness.advance(ms(elapsed_ms));

        let id = harness.send_request(0, 0, ms(1000));
        harness.end_attempt(id, 0, Outcome::Reset);

        assert_eq!(
            harness.upstream_of(id, 1).is_some(),
            expects_retry,
            "whether the request is retried {elapsed_ms} ms after the start"
        );
    }
}
