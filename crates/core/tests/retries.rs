//! Retries: which requests may be retried, and the retry budget.

mod common;
use balancer_core::*;
use common::*;

/// Executing an at-most-once request twice would repeat its effect. Rejecting it would tell the client that
/// it is safe to send again, so it fails instead.
#[test]
fn an_at_most_once_request_that_may_have_been_executed_fails_without_a_retry() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(3));

    let id = harness.send_request(0, 0, ms(1000));
    harness.advance(ms(600));
    assert_eq!(harness.upstream_of(id, 1), None, "it is not hedged");

    harness.end_attempt(id, 0, Outcome::Reset);
    assert_eq!(harness.upstream_of(id, 1), None, "it is not retried");
    assert_eq!(
        harness.response(id),
        Some(FinalResponse::Failed),
        "a rejection would promise that it is safe to send the request again"
    );

    let id = harness.send_request(0, 0, ms(1000));
    harness.end_attempt(id, 0, Outcome::ConnectFailed);
    assert!(harness.upstream_of(id, 1).is_some(), "a request that was not executed is retried");
}

/// When every upstream fails, unlimited retries would multiply the load on all of them.
#[test]
fn retries_stay_within_the_retry_budget_when_every_attempt_fails() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(20));

    harness.play_requests(500, ms(10), |_| Some(Outcome::Error));

    let requests = harness.forwarded_requests();
    let attempts = harness.total_attempts();
    let limit = requests + requests / 10 + 11;
    assert!(attempts <= limit, "{attempts} attempts for {requests} requests");
}

/// Hundreds of balancers that each saved a full retry budget would overload their upstreams by spending it
/// together. The budget of a balancer with few requests is a share of those.
#[test]
fn the_saved_retry_budget_of_one_of_many_balancers_is_a_share_of_its_requests() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).balancers(300).quotas(&[4800.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(12));
    harness.play_requests(600, ms(62), |_| Some(Outcome::Ok));
    harness.attempts.clear();

    harness.play_requests(16, ms(62), |_| Some(Outcome::Error));

    let retries: usize = harness.attempts.values().map(|attempts| attempts.len() - 1).sum();
    assert!(retries <= 4, "{retries} retries for 16 requests in a second");
}
