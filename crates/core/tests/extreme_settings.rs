//! A property test with extreme values in settings, endpoint lists and load reports at the same time. A
//! balancer must never panic if its settings pass the validation.

mod common;

use balancer_core::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Outcomes that an attempt can have. The order determines which outcome a random number selects.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
/// Number of requests in each case.
const REQUESTS_PER_CASE: usize = 40;

/// Generates numbers that are finite and not negative.
fn number() -> impl Strategy<Value = f64> {
    prop::sample::select(vec![
        0.0,
        5e-324,
        1e-300,
        1e-9,
        0.01,
        0.3,
        1.0,
        2.5,
        1e3,
        1e9,
        1e18,
        1e300,
        f64::MAX,
    ])
}

/// Generates durations from zero to the maximum.
fn duration() -> impl Strategy<Value = Duration> {
    prop::sample::select(vec![
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_micros(1),
        ms(1),
        ms(20),
        ms(50),
        ms(400),
        ms(3000),
        Duration::from_secs(1 << 40),
        Duration::MAX - Duration::from_secs(1),
        Duration::MAX,
    ])
}

fn retry_safety() -> impl Strategy<Value = RetrySafety> {
    let scope = prop::sample::select(vec![
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ]);
    prop_oneof![
        Just(RetrySafety::Idempotent),
        Just(RetrySafety::AtMostOnce),
        (scope, duration()).prop_map(|(scope, ttl)| RetrySafety::Deduplicated { scope, ttl }),
    ]
}

/// Generates request classes. Their latency objective is above zero, as the validation requires.
fn class() -> impl Strategy<Value = RequestClass> {
    (duration(), duration(), number(), number(), number(), retry_safety(), any::<bool>()).prop_map(
        |(latency_objective, deadline, stretch, weight, late_weight, retry_safety, streamed)| RequestClass {
            latency_objective: latency_objective.max(Duration::from_nanos(1)),
            latency_objective_stretch: stretch,
            deadline,
            priority_weight: weight,
            late_priority_weight: late_weight,
            retry_safety,
            streamed,
        },
    )
}

prop_compose! {
    /// Generates settings that differ from the defaults in their durations only.
    fn duration_settings()(
        poll_interval in duration(),
        slow_start_duration in duration(),
        overload_duration in duration(),
        max_retry_after in duration(),
        connect_timeout in duration(),
    ) -> Settings {
        Settings {
            poll_interval,
            slow_start_duration,
            overload_duration,
            max_retry_after,
            connect_timeout,
            ..Settings::default()
        }
    }
}

prop_compose! {
    /// Generates settings that the validation accepts.
    fn settings()(
        durations in duration_settings(),
        balancers in prop::sample::select(vec![1, 2, 900, u32::MAX]),
        classes in prop::collection::vec(class(), 1..4),
        quotas in prop::collection::vec(number(), 0..4),
        slow_start_floor in number(),
        overload_factor in number(),
        over_quota_weight in number(),
        cross_zone in number(),
        max_attempts in prop::sample::select(vec![1, 2, 250, u8::MAX]),
        (hedging, cancellation, starts_watches, has_reports) in any::<(bool, bool, bool, bool)>(),
        weight_kind in prop::sample::select(vec![WeightKind::Ignored, WeightKind::Size, WeightKind::Live]),
    ) -> Settings {
        let report_fields =
            if has_reports { vec![LoadField::Utilization, LoadField::Queue] } else { Vec::new() };
        Settings {
            balancers,
            index: balancers - 1,
            classes,
            tenants: quotas.into_iter().map(|quota_per_second| Tenant { quota_per_second }).collect(),
            slow_start_floor,
            overload_factor,
            over_quota_weight,
            prices: Prices { cross_zone, ..Prices::default() },
            max_attempts,
            hedging,
            cancellation,
            starts_watches,
            weight_kind,
            load_report_fields: report_fields,
            ..durations
        }
    }
}

prop_compose! {
    /// Generates entries of the endpoint list.
    fn entry()(
        id in 1u64..6,
        weight in number(),
        started_at in prop::option::of(duration()),
    ) -> EndpointEntry {
        EndpointBuilder::new(id).weight(weight).started_at(started_at).build()
    }
}

prop_compose! {
    /// Generates requests: the class, the time for which the client waits, and the latency, the outcome and
    /// the reported load of each attempt.
    fn request()(
        class in 0u16..4,
        time_left in duration(),
        latency_ms in prop::sample::select(vec![0u64, 1, 40, 700]),
        outcome in prop::sample::select(OUTCOMES.to_vec()),
        reported in prop::sample::select(vec![0.0f32, 1e-30, 0.5, f32::MAX, f32::NAN, f32::NEG_INFINITY]),
    ) -> (u16, Duration, Duration, Outcome, f32) {
        (class, time_left, ms(latency_ms), outcome, reported)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("EXTREME_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(400),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(27),
        ..ProptestConfig::default()
    })]

    #[test]
    fn settings_that_pass_the_validation_never_make_a_balancer_panic(
        settings in settings(),
        cached_entries in prop::collection::vec(entry(), 0..5),
        changed_entries in prop::collection::vec(entry(), 0..3),
        requests in prop::collection::vec(request(), REQUESTS_PER_CASE),
        started_at in prop::sample::select(vec![Duration::ZERO, ms(3_600_000)]),
        seed in any::<u64>(),
    ) {
        let mut harness = BalancerHarness::starting_at(started_at, settings, seed, &cached_entries);
        for (index, (class, time_left, latency, outcome, reported)) in requests.into_iter().enumerate() {
            let id = harness.send_request(class, index as u32, time_left);
            harness.advance(latency);
            for attempt in 0..harness.attempt_count(id) {
                harness.end_attempt_with_report(id, attempt, outcome, &[reported, reported]);
            }
            if index == REQUESTS_PER_CASE / 2 {
                harness.update_endpoints(UpdateScope::Delta, &changed_entries);
                harness.deliver(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] });
            }
        }
        harness.advance(ms(2000));
    }
}
