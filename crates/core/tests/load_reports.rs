//! Tests of load reports from upstreams and of their effect on admission and on the choice of an upstream.

mod common;
use balancer_core::*;
use common::*;

/// Returns settings with one tenant of this quota, for upstreams that report these values with every
/// response.
fn settings(quota_per_second: f64, fields: &[LoadField]) -> Settings {
    SettingsBuilder::new(RetrySafety::Idempotent)
        .quotas(&[quota_per_second])
        .load_reports(LoadReporting::Inline, fields)
        .build()
}

/// Sends requests at 500 per second against a quota of 20 per second, while the upstreams report this
/// utilization and respond well within the latency objective. Returns how many of the last 1,000 requests are
/// admitted.
fn admitted_over_quota(utilization: f32) -> usize {
    let mut harness = BalancerHarness::new(settings(20.0, &[LoadField::Utilization]), &endpoints(4));
    let mut admitted = 0;
    let mut pending = PendingRequests::default();
    for request in 0..10_000 {
        let id = harness.send_request(0, 0, ms(1000));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            admitted += usize::from(request >= 9000);
            pending.push(id, harness.now + ms(60), Outcome::Ok);
            harness.report_load(upstream, &[utilization]);
        }
        harness.advance(ms(2));
        pending.end_due(&mut harness);
    }
    admitted
}

/// Requests over quota must not be rejected while the upstreams have spare capacity. Most of them are
/// admitted at a utilization of 72 %, and most of them are rejected at 99 %.
#[test]
fn requests_over_quota_are_admitted_until_the_upstreams_are_fully_utilized() {
    let admitted_at_72_percent = admitted_over_quota(0.72);
    let admitted_at_99_percent = admitted_over_quota(0.99);

    assert!(
        admitted_at_72_percent > 600,
        "only {admitted_at_72_percent} of 1000 requests were admitted at a utilization of 72 %"
    );
    assert!(
        admitted_at_99_percent < 450,
        "{admitted_at_99_percent} of 1000 requests were admitted at a utilization of 99 %"
    );
}

/// Balancers are also restarted under load. If a new balancer averaged the first reports with an initial
/// zero, the upstreams would look idle at first, and the balancer would admit too many requests.
#[test]
fn a_new_balancer_does_not_average_its_first_load_reports_with_zero() {
    let mut harness = BalancerHarness::new(settings(20.0, &[LoadField::Utilization]), &endpoints(4));

    let mut admitted = 0;
    let mut pending = PendingRequests::default();
    for request in 0..4000 {
        let id = harness.send_request(0, 0, ms(1000));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            admitted += usize::from(request >= 500);
            pending.push(id, harness.now + ms(60), Outcome::Ok);
            // Only a few responses carry a report.
            if request % 40 == 0 {
                harness.report_load(upstream, &[1.0]);
            }
        }
        harness.advance(ms(2));
        pending.end_due(&mut harness);
    }

    assert!(
        admitted < 1000,
        "{admitted} requests were admitted in the seven seconds after the first second, with 140 within quota"
    );
}

/// Load reports include the load from other balancers. A single balancer has no others, so only its own
/// requests in flight count, and an outdated report must not divert requests from an upstream.
#[test]
fn a_single_balancer_counts_its_own_requests_in_flight_and_ignores_outdated_reports() {
    let mut harness = BalancerHarness::new(settings(1000.0, &[LoadField::InFlight]), &endpoints(3));

    for request in 0..300 {
        let id = harness.send_request(0, 0, ms(1000));
        assert!(harness.is_forwarded(id), "the request was not forwarded although there is capacity for it");
        harness.advance(ms(5));
        harness.end_attempt(id, 0, Outcome::Ok);
        let reported_in_flight = if request % 2 == 0 { 9.0 } else { 0.0 };
        harness.report_load(UpstreamId(1), &[reported_in_flight]);
    }

    let attempts = harness.attempts_sent_to(UpstreamId(1));
    assert!(
        (85..=115).contains(&attempts),
        "{attempts} of 300 requests went to the upstream with outdated reports"
    );
}
