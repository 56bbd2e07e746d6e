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
}

pub fn scenarios() -> Vec<Scenario> {
    let ms = Duration::from_millis;
    let tenants = |quotas: &[f64]| quotas.iter().map(|q| Tenant { allowance_per_s: *q }).collect::<Vec<_>>();
    let deduplicated = |group| Effect::Deduplicated { group, ttl: ms(800) };
    let class =
        |aim, deadline, effect| Class { aim: ms(aim), deadline: ms(deadline), effect, ..Class::default() };
    let classes = vec![
        class(300, 1500, Effect::Idempotent),
        class(500, 2500, Effect::AtMostOnce),
        Class { late_worth: 0.4, ..class(250, 1200, deduplicated(DedupGroup::All)) },
        class(400, 2000, deduplicated(DedupGroup::Zone)),
        class(400, 2000, deduplicated(DedupGroup::Cell)),
        Class { streamed: true, ..class(600, 3000, Effect::Idempotent) },
        Class { aim_stretch: 1.5, ..class(900, 3000, Effect::Idempotent) },
    ];
    let base = Settings {
        balancers: 4,
        index: 1,
        classes,
        tenants: tenants(&[400.0, 200.0, 90.0, 0.0]),
        over_share_worth: 0.2,
        cold_time: ms(4000),
        report_fields: vec![LoadField::InFlight, LoadField::Utilization, LoadField::Other],
        reports: Reports::Inline,
        ..Settings::default()
    };
    let scenario = |name, upstreams, gap, settings| Scenario {
        name,
        settings,
        upstreams,
        request_gap: Duration::from_micros(gap),
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
            Settings { ask_for_fleet: true, ask_every: ms(3000), hedging: false, ..base.clone() },
        ),
        scenario(
            "live weights",
            30,
            2000,
            Settings {
                weights: Weights::Live,
                prices: Prices { cross_zone: 0.06, ..Prices::default() },
                report_fields: vec![LoadField::Queue, LoadField::ServiceMs],
                ..base.clone()
            },
        ),
        scenario(
            "no cancelling",
            20,
            4000,
            Settings {
                cancelling: false,
                weights: Weights::Off,
                reports: Reports::Off,
                report_fields: Vec::new(),
                max_attempts: 2,
                ..base.clone()
            },
        ),
        scenario("thin traffic", 60, 30_000, Settings { balancers: 24, index: 17, ..base.clone() }),
        scenario("crowded", 8, 1000, Settings { fall_multiple: 1.5, cold_from: 0.1, ..base }),
    ]
}
