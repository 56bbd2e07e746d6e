//! Tests of input that is out of range, malformed or unknown: it is rejected or ignored, and never causes a
//! panic.

mod common;
use balancer_core::*;
use common::*;

fn settings() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent)
}

#[test]
fn a_request_of_an_unknown_class_fails_and_one_of_an_unknown_tenant_is_forwarded() {
    const UNKNOWN_CLASS: u16 = 9;
    const UNKNOWN_TENANT: u32 = 77;
    let mut harness = BalancerHarness::new(settings().quotas(&[20.0]).build(), &endpoints(2));

    let id = harness.send_request(UNKNOWN_CLASS, 0, ms(1000));
    assert_eq!(harness.response(id), Some(FinalResponse::Failed));

    let id = harness.send_request(0, UNKNOWN_TENANT, ms(1000));
    assert!(harness.is_forwarded(id));
}

/// The error must tell the operator which value is wrong.
#[test]
fn settings_out_of_range_are_rejected_and_the_error_names_the_value() {
    let valid = || settings().quotas(&[1.0]).build();
    let error_of = |settings: Settings| Balancer::new(settings, 1).err();

    assert_eq!(error_of(valid()).map(|error| error.to_string()), None);
    assert_eq!(error_of(Settings::default()), Some(SettingsError::NoClasses));
    assert_eq!(error_of(Settings { balancers: 0, ..valid() }), Some(SettingsError::NoBalancers));
    let zero_objective = request_class(0, 5, RetrySafety::Idempotent);
    for (invalid, name) in [
        (Settings { max_attempts: 0, ..valid() }, "max_attempts"),
        (Settings { slow_start_floor: f64::NAN, ..valid() }, "slow_start_floor"),
        (Settings { overload_factor: f64::INFINITY, ..valid() }, "overload_factor"),
        (Settings { over_quota_weight: -1.0, ..valid() }, "over_quota_weight"),
        (settings().quotas(&[f64::NAN]).build(), "quota_per_second"),
        (settings().quotas(&[1.0]).classes(vec![zero_objective]).build(), "class latency_objective"),
    ] {
        let error = error_of(invalid).expect(name).to_string();
        assert!(error.contains(name), "the error {error} does not name {name}");
    }
}

/// A default balancer has no request classes, so it cannot forward any request.
#[test]
fn a_default_balancer_fails_requests_and_does_not_panic() {
    let mut harness = BalancerHarness::new(settings().quotas(&[20.0]).build(), &endpoints(1));
    harness.balancer = Balancer::default();
    harness.advance(ms(200));

    let id = harness.send_request(0, 0, ms(1000));

    assert_eq!(harness.response(id), Some(FinalResponse::Failed));
}

/// Values that are far out of range or not finite must not corrupt the state of the upstreams.
#[test]
fn upstreams_still_get_requests_after_malformed_load_reports_and_weights() {
    let settings =
        settings().load_reports(LoadReporting::Inline, &[LoadField::Utilization, LoadField::Queue]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    for value in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -3.0, 1e30] {
        harness.report_load(UpstreamId(1), &[value, value]);
    }
    let malformed = [
        EndpointBuilder::new(1).weight(f64::NAN).build(),
        EndpointBuilder::new(2).weight(f64::INFINITY).build(),
    ];
    harness.update_endpoints(UpdateScope::Snapshot, &malformed);
    harness.advance(ms(10_000));

    harness.simulate_requests(200, ms(30), |_| Some(Outcome::Ok));

    let served = harness.response_count(FinalResponse::Served);
    assert!(served > 180, "only {served} of 200 requests were served");
    assert!(harness.attempts_sent_to(UpstreamId(1)) > 20 && harness.attempts_sent_to(UpstreamId(2)) > 20);
}

/// An embedder may still deliver events for requests, upstreams and timers that the balancer no longer knows.
#[test]
fn events_with_unknown_ids_cause_no_action() {
    let mut harness = BalancerHarness::new(settings().build(), &endpoints(2));
    let id = RequestId(99);
    let attempt = AttemptIndex(3);
    let upstream = UpstreamId(42);
    let latency = ms(1);
    let outcome = Outcome::Ok;
    for event in [
        Event::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            request_finished: false,
            load_report: &[],
        },
        Event::HealthCheckEnded { upstream, outcome, latency, load_report: &[] },
        Event::StreamStarted { id, attempt, latency },
        Event::ClientDisconnected { id },
        Event::TimerFired { timer: TimerId(12345) },
    ] {
        harness.deliver(event);

        assert!(harness.last_actions.is_empty(), "{:?}", harness.last_actions);
    }
}

/// Settings that pass validation must not make a balancer panic later.
#[test]
fn a_request_of_a_class_with_a_latency_objective_under_two_ticks_is_served() {
    let class = request_class(20, 1000, RetrySafety::Idempotent);
    let mut harness = BalancerHarness::new(settings().classes(vec![class]).build(), &endpoints(2));

    let id = harness.send_request(0, 0, ms(1000));
    harness.end_attempt(id, 0, Outcome::Ok);

    assert_eq!(harness.response(id), Some(FinalResponse::Served));
}

/// The load of an upstream follows from the largest live weight seen, divided by the present one. If the
/// quotient exceeded the range of floating-point numbers, the upstream would never be chosen again.
#[test]
fn an_upstream_with_extreme_live_weights_still_takes_requests() {
    const CHECKED_UPSTREAM: UpstreamId = UpstreamId(1);
    let settings = Settings { weight_kind: WeightKind::Live, ..settings().build() };
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    for weight in [f64::MAX, f64::MIN_POSITIVE] {
        let entries = [1, 2].map(|id| EndpointBuilder::new(id).weight(weight).build());
        harness.update_endpoints(UpdateScope::Delta, &entries);
    }
    harness.advance(ms(20_000));

    harness.simulate_requests(100, ms(30), |_| Some(Outcome::Ok));

    assert!(
        harness.attempts_sent_to(CHECKED_UPSTREAM) > 20,
        "only {} of 100 requests went to the upstream",
        harness.attempts_sent_to(CHECKED_UPSTREAM)
    );
}
