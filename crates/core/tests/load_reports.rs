//! Load reports of upstreams: what they decide about admission and the choice of an upstream.

mod common;
use balancer_core::*;
use common::*;

/// Settings with a tenant of this quota, for upstreams that report these values with every response.
fn settings(quota_per_second: f64, fields: &[LoadField]) -> Settings {
    SettingsBuilder::new(RetrySafety::Idempotent)
        .quotas(&[quota_per_second])
        .load_reports(LoadReporting::Inline, fields)
        .build()
}

/// How many of the last 1,000 requests are admitted, sent at 500 per second against a quota of 20, where the
/// upstreams report this utilization and respond well within the latency objective.
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

/// Requests over quota are not rejected while the upstreams have spare capacity: they are admitted at a
/// utilization of 72 %, and rejected at 99 %.
#[test]
fn requests_over_quota_are_admitted_until_the_upstreams_are_fully_utilized() {
    let admitted_at_72_percent = admitted_over_quota(0.72);
    let admitted_at_99_percent = admitted_over_quota(0.99);

    assert!(admitted_at_72_percent > 600, "{admitted_at_72_percent} of 1000 at a utilization of 72 %");
    assert!(admitted_at_99_percent < 450, "{admitted_at_99_percent} of 1000 at a utilization of 99 %");
}

/// Balancers restart under load too. A new one takes the first reports at their value; averaging up from
/// zero, it would see idle upstreams meanwhile and admit too much.
#[test]
fn a_new_balancer_takes_its_first_load_reports_at_their_value() {
    let mut harness = BalancerHarness::new(settings(20.0, &[LoadField::Utilization]), &endpoints(4));

    let mut admitted = 0;
    let mut pending = PendingRequests::default();
    for request in 0..4000 {
        let id = harness.send_request(0, 0, ms(1000));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            admitted += usize::from(request >= 500);
            pending.push(id, harness.now + ms(60), Outcome::Ok);
            // Only few responses carry a report.
            if request % 40 == 0 {
                harness.report_load(upstream, &[1.0]);
            }
        }
        harness.advance(ms(2));
        pending.end_due(&mut harness);
    }

    assert!(admitted < 1000, "{admitted} admitted in the seven seconds after the first, of 140 within quota");
}

/// Reports show the load of other balancers too. A single balancer has no others, so its own requests in
/// flight count and an old report must not divert requests from an upstream.
#[test]
fn a_single_balancer_goes_by_its_own_requests_in_flight_not_by_old_reports() {
    let mut harness = BalancerHarness::new(settings(1000.0, &[LoadField::InFlight]), &endpoints(3));

    for request in 0..300 {
        let id = harness.send_request(0, 0, ms(1000));
        assert!(harness.is_forwarded(id), "there is capacity for one request");
        harness.advance(ms(5));
        harness.end_attempt(id, 0, Outcome::Ok);
        let reported_in_flight = if request % 2 == 0 { 9.0 } else { 0.0 };
        harness.report_load(UpstreamId(1), &[reported_in_flight]);
    }

    let attempts = harness.attempts_sent_to(UpstreamId(1));
    assert!((85..=115).contains(&attempts), "{attempts} of 300 to the upstream with old reports");
}
