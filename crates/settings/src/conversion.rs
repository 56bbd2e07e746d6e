//! Conversion of the deserialized settings object into the types of `balancer_core`.

use crate::duration::duration_from_ms;
use crate::error::SettingsParseError;
use crate::site::{Site, SiteNames};
use crate::warning::unknown_value_warnings;
use crate::wire_format::{ClassObject, GoalObject, PricesObject, SettingsObject, TenantObject};
use balancer_core::{
    DeduplicationScope, LoadField, LoadReporting, Prices, RequestClass, RetrySafety, Settings, Tenant,
    WeightKind, ZoneId,
};
use std::time::Duration;

const US_PER_MS: f64 = 1e3;
/// Maximum of `limits.try_limit`. Larger values are reduced to it, because the core counts attempts in a
/// `u8`.
const MAX_ATTEMPTS_CAP: u32 = 250;

impl TryFrom<SettingsObject> for Site {
    type Error = SettingsParseError;

    fn try_from(object: SettingsObject) -> Result<Self, Self::Error> {
        let settings = Settings::try_from(&object)?;
        let warnings = unknown_value_warnings(&object);
        let names = SiteNames::from(object);
        Ok(Self { settings, names, warnings })
    }
}

impl From<SettingsObject> for SiteNames {
    fn from(object: SettingsObject) -> Self {
        Self {
            classes: object.classes.into_iter().map(|class| class.name).collect(),
            tenants: object.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: object.zone_names,
            hardware: object.hardware_names,
        }
    }
}

impl TryFrom<&SettingsObject> for Settings {
    type Error = SettingsParseError;

    fn try_from(object: &SettingsObject) -> Result<Self, Self::Error> {
        let default = Settings::default();
        let guarantees = &object.guarantees;
        let limits = &object.limits;
        Ok(Self {
            balancers: object.balancers.unwrap_or(default.balancers),
            index: object.index,
            zone: ZoneId(object.zone),
            classes: object.classes.iter().map(RequestClass::try_from).collect::<Result<_, _>>()?,
            tenants: object.tenants.iter().map(Tenant::from).collect(),
            over_quota_weight: object.over_quota_weight.unwrap_or(default.over_quota_weight),
            weight_by_work: object.priority_weight_by.as_deref() == Some("work"),
            // With "subscribe", the balancer itself starts each watch of the endpoint list.
            starts_watches: object.discovery.as_deref() == Some("subscribe"),
            poll_interval: duration_or(guarantees.poll_interval_ms, default.poll_interval),
            slow_start_floor: guarantees.slow_start_floor.unwrap_or(default.slow_start_floor),
            slow_start_duration: duration_or(guarantees.slow_start_duration_ms, default.slow_start_duration),
            overload_factor: guarantees.overload_factor.unwrap_or(default.overload_factor),
            overload_duration: duration_or(guarantees.overload_duration_ms, default.overload_duration),
            max_attempts: limits.max_attempts.map_or(default.max_attempts, capped_attempts),
            hedging: limits.hedging.unwrap_or(default.hedging),
            cancellation: limits.cancellation.unwrap_or(default.cancellation),
            health_checks: limits.health_checks.unwrap_or(default.health_checks),
            max_retry_after: duration_or(limits.max_retry_after_ms, default.max_retry_after),
            connect_timeout: duration_or(limits.connect_timeout_ms, default.connect_timeout),
            connection_idle_timeout: duration_or(
                limits.connection_idle_timeout_ms,
                default.connection_idle_timeout,
            ),
            max_streams: limits.max_streams.unwrap_or(default.max_streams),
            tolerated_miss_ratio: tolerated_miss_ratio(&object.goal),
            cpu_per_request: duration_from_ms(limits.cpu_per_request_us / US_PER_MS),
            weight_kind: weight_kind(object.weight_kind.as_deref()),
            load_reporting: load_reporting(object.telemetry.load_reporting.as_deref()),
            load_report_fields: object.telemetry.load_report_fields.iter().map(|f| load_field(f)).collect(),
            prices: Prices::from(&object.prices),
        })
    }
}

impl TryFrom<&ClassObject> for RequestClass {
    type Error = SettingsParseError;

    fn try_from(class: &ClassObject) -> Result<Self, Self::Error> {
        Ok(Self {
            latency_objective: duration_from_ms(class.latency_objective_ms),
            latency_objective_stretch: class.latency_objective_stretch,
            deadline: duration_from_ms(class.deadline_ms),
            priority_weight: class.priority_weight,
            late_priority_weight: class.late_priority_weight,
            retry_safety: retry_safety(class)?,
            streamed: class.streamed,
        })
    }
}

impl From<&TenantObject> for Tenant {
    fn from(tenant: &TenantObject) -> Self {
        Self { quota_per_second: tenant.quota_per_second }
    }
}

impl From<&PricesObject> for Prices {
    fn from(prices: &PricesObject) -> Self {
        Self {
            cross_zone: prices.cross_zone,
            connection: prices.connection,
            handshake: prices.handshake,
            late_failure: prices.late_failure,
            health_check: prices.health_check,
            wasted_work: prices.wasted_work,
        }
    }
}

/// Returns the meaning of a load report value, given its name in `telemetry.fields` or in a load report
/// header. An unknown name gives `LoadField::Other`.
pub fn load_field(name: &str) -> LoadField {
    match name {
        "concurrent" | "inflight" => LoadField::InFlight,
        "depth" | "queue" => LoadField::Queue,
        "load_share" | "util" => LoadField::Utilization,
        "mean_ms" | "latency_ms" => LoadField::ServiceTimeMs,
        "tps" | "qps" => LoadField::RequestRate,
        "err_ps" | "eps" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

fn retry_safety(class: &ClassObject) -> Result<RetrySafety, SettingsParseError> {
    match class.retry_safety.as_str() {
        "idempotent" => Ok(RetrySafety::Idempotent),
        "at_most_once" => Ok(RetrySafety::AtMostOnce),
        "deduplicated" => Ok(RetrySafety::Deduplicated {
            scope: deduplication_scope(class)?,
            ttl: duration_from_ms(class.deduplication_ttl_ms),
        }),
        unknown => Err(SettingsParseError::UnknownRetrySafety {
            class: class.name.clone(),
            value: unknown.to_owned(),
        }),
    }
}

fn deduplication_scope(class: &ClassObject) -> Result<DeduplicationScope, SettingsParseError> {
    match class.deduplication_scope.as_deref() {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(unknown) => Err(SettingsParseError::UnknownDeduplicationScope {
            class: class.name.clone(),
            value: unknown.to_owned(),
        }),
        None => Err(SettingsParseError::MissingDeduplicationScope { class: class.name.clone() }),
    }
}

/// Returns the share of requests that may miss the latency objective, or `None` if the goal states no such
/// share or gives tail latency no positive weight.
fn tolerated_miss_ratio(goal: &GoalObject) -> Option<f64> {
    goal.tail_latency_weight.filter(|weight| *weight > 0.0).and(goal.tolerated_miss_ratio)
}

fn weight_kind(name: Option<&str>) -> WeightKind {
    match name {
        Some("live") => WeightKind::Live,
        Some("nominal" | "rough") => WeightKind::Size,
        _ => WeightKind::Ignored,
    }
}

fn load_reporting(name: Option<&str>) -> LoadReporting {
    match name {
        Some("inline") => LoadReporting::Inline,
        Some("on_probe") => LoadReporting::OnHealthCheck,
        _ => LoadReporting::Off,
    }
}

fn capped_attempts(attempts: u32) -> u8 {
    attempts.min(MAX_ATTEMPTS_CAP) as u8
}

fn duration_or(ms: Option<f64>, default: Duration) -> Duration {
    ms.map_or(default, duration_from_ms)
}
