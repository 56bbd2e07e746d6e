//! The settings and the loads that are played.

use balancer_core::*;
use std::time::Duration;

/// One balancer with its surroundings.
pub struct Scenario {
    pub name: &'static str,
    pub settings: Settings,
    pub upstreams: u64,
    /// Mean time between two requests outside of bursts.
    pub request_gap: Duration,
    /// Share of the upstreams that become unreachable at each change of conditions, in percent.
    pub unreachable_percent: u64,
}

pub fn scenarios() -> Vec<Scenario> {
    let ms = Duration::from_millis;
    let tenants = |quotas: &[f64]| quotas.iter().map(|q| Tenant { quota_per_second: *q }).collect::<Vec<_>>();
    let deduplicated = |scope| RetrySafety::Deduplicated { scope, ttl: ms(800) };
    let class = |aim, deadline, effect| RequestClass {
        latency_objective: ms(aim),
        deadline: ms(deadline),
        retry_safety: effect,
        ..RequestClass::default()
    };
    let classes = vec![
        class(300, 1500, RetrySafety::Idempotent),
        class(500, 2500, RetrySafety::AtMostOnce),
        RequestClass { late_priority_weight: 0.4, ..class(250, 1200, deduplicated(DeduplicationScope::All)) },
        class(400, 2000, deduplicated(DeduplicationScope::Zone)),
        class(400, 2000, deduplicated(DeduplicationScope::Cell)),
        RequestClass { streamed: true, ..class(600, 3000, RetrySafety::Idempotent) },
        RequestClass { latency_objective_stretch: 1.5, ..class(900, 3000, RetrySafety::Idempotent) },
    ];
    let base = Settings {
        balancers: 4,
        index: 1,
        classes,
        tenants: tenants(&[400.0, 200.0, 90.0, 0.0]),
        over_quota_weight: 0.2,
        slow_start_duration: ms(4000),
        load_report_fields: vec![LoadField::InFlight, LoadField::Utilization, LoadField::Other],
        load_reporting: LoadReporting::Inline,
        ..Settings::default()
    };
    let scenario = |name, upstreams, gap, settings| Scenario {
        name,
        settings,
        upstreams,
        request_gap: Duration::from_micros(gap),
        unreachable_percent: 0,
    };
    vec![
        scenario("small fleet", 6, 4000, Settings { balancers: 1, index: 0, ..base.clone() }),
        scenario(
            "large fleet",
            300,
            4000,
            Settings {
                balancers: 240,
                index: 77,
                prices: Prices { cross_zone: 0.02, ..Prices::default() },
                ..base.clone()
            },
        ),
        scenario(
            "polled list",
            40,
            4000,
            Settings { poll_endpoints: true, poll_interval: ms(3000), hedging: false, ..base.clone() },
        ),
        scenario(
            "live weights",
            30,
            2000,
            Settings {
                weight_kind: WeightKind::Live,
                prices: Prices { cross_zone: 0.06, ..Prices::default() },
                load_report_fields: vec![LoadField::Queue, LoadField::ServiceMs],
                ..base.clone()
            },
        ),
        scenario(
            "no cancelling",
            20,
            4000,
            Settings {
                cancellation: false,
                weight_kind: WeightKind::Ignored,
                load_reporting: LoadReporting::Off,
                load_report_fields: Vec::new(),
                max_attempts: 2,
                ..base.clone()
            },
        ),
        scenario("thin traffic", 60, 30_000, Settings { balancers: 24, index: 17, ..base.clone() }),
        scenario(
            "crowded",
            8,
            1000,
            Settings { overload_factor: 1.5, slow_start_floor: 0.1, ..base.clone() },
        ),
        Scenario {
            unreachable_percent: 80,
            ..scenario("outage", 24, 20_000, Settings { cancellation: false, ..base })
        },
    ]
}
