//! The scenarios of the golden test: settings of the balancer, number of upstreams, load and faults.

use balancer_core::*;
use std::time::Duration;

/// Settings of a balancer and the conditions that it runs under.
pub struct Scenario {
    pub name: &'static str,
    pub settings: Settings,
    /// Number of upstreams at the start.
    pub upstreams: u64,
    /// Mean time between two requests outside of bursts.
    pub mean_request_interval: Duration,
    /// Probability, in percent, that an upstream whose condition changes becomes unreachable, in addition to
    /// the small probability that applies in every scenario.
    pub unreachable_percent: u64,
}

/// Returns all scenarios. The recorded results depend on their order, because it determines the seeds.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        scenario("small fleet", 6, 4000, Settings { balancers: 1, index: 0, ..base_settings() }),
        scenario("large fleet", 300, 4000, large_fleet()),
        scenario("watches started by balancer", 40, 4000, watches_started_by_balancer()),
        scenario("live weights", 30, 2000, live_weights()),
        scenario("no cancellation", 20, 4000, no_cancellation()),
        scenario("sparse traffic", 60, 30_000, Settings { balancers: 24, index: 17, ..base_settings() }),
        scenario("crowded", 8, 1000, steep_slow_start()),
        outage(),
    ]
}

fn scenario(
    name: &'static str,
    upstreams: u64,
    mean_request_interval_us: u64,
    settings: Settings,
) -> Scenario {
    let mean_request_interval = Duration::from_micros(mean_request_interval_us);
    Scenario { name, settings, upstreams, mean_request_interval, unreachable_percent: 0 }
}

fn large_fleet() -> Settings {
    Settings {
        balancers: 240,
        index: 77,
        prices: Prices { cross_zone: 0.02, ..Prices::default() },
        ..base_settings()
    }
}

fn watches_started_by_balancer() -> Settings {
    Settings {
        starts_watches: true,
        poll_interval: Duration::from_secs(3),
        hedging: false,
        ..base_settings()
    }
}

fn live_weights() -> Settings {
    Settings {
        weight_kind: WeightKind::Live,
        prices: Prices { cross_zone: 0.06, ..Prices::default() },
        load_report_fields: vec![LoadField::Queue, LoadField::ServiceTimeMs],
        ..base_settings()
    }
}

fn no_cancellation() -> Settings {
    Settings {
        cancellation: false,
        weight_kind: WeightKind::Ignored,
        load_reporting: LoadReporting::Off,
        load_report_fields: Vec::new(),
        max_attempts: 2,
        ..base_settings()
    }
}

fn steep_slow_start() -> Settings {
    Settings { overload_factor: 1.5, slow_start_floor: 0.1, ..base_settings() }
}

fn outage() -> Scenario {
    let settings = Settings { cancellation: false, ..base_settings() };
    Scenario { unreachable_percent: 80, ..scenario("outage", 24, 20_000, settings) }
}

fn base_settings() -> Settings {
    let quotas = [400.0, 200.0, 90.0, 0.0];
    Settings {
        balancers: 4,
        index: 1,
        classes: classes(),
        tenants: quotas.map(|quota_per_second| Tenant { quota_per_second }).to_vec(),
        over_quota_weight: 0.2,
        slow_start_duration: Duration::from_secs(4),
        load_report_fields: vec![LoadField::InFlight, LoadField::Utilization, LoadField::Other],
        load_reporting: LoadReporting::Inline,
        ..Settings::default()
    }
}

/// Returns request classes of each retry safety, and others with a late priority weight, streamed responses
/// or a stretched latency objective.
fn classes() -> Vec<RequestClass> {
    vec![
        class(300, 1500, RetrySafety::Idempotent),
        class(500, 2500, RetrySafety::AtMostOnce),
        RequestClass { late_priority_weight: 0.4, ..class(250, 1200, deduplicated(DeduplicationScope::All)) },
        class(400, 2000, deduplicated(DeduplicationScope::Zone)),
        class(400, 2000, deduplicated(DeduplicationScope::Cell)),
        RequestClass { streamed: true, ..class(600, 3000, RetrySafety::Idempotent) },
        RequestClass { latency_objective_stretch: 1.5, ..class(900, 3000, RetrySafety::Idempotent) },
    ]
}

fn class(latency_objective_ms: u64, deadline_ms: u64, retry_safety: RetrySafety) -> RequestClass {
    RequestClass {
        latency_objective: Duration::from_millis(latency_objective_ms),
        deadline: Duration::from_millis(deadline_ms),
        retry_safety,
        ..RequestClass::default()
    }
}

fn deduplicated(scope: DeduplicationScope) -> RetrySafety {
    RetrySafety::Deduplicated { scope, ttl: Duration::from_millis(800) }
}
