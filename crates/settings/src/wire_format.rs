//! The serialized form of the settings object. Fields are named as in [`balancer_core::Settings`]; where the
//! JSON key differs, a `rename` attribute states it.
//!
//! `None` stands for a missing key or `null`; the module `conversion` replaces it with the default. In a
//! field that is not an `Option`, `null` is an error.

use serde::Deserialize;

/// The complete settings object.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct SettingsObject {
    pub balancers: Option<u32>,
    #[serde(rename = "me")]
    pub index: u32,
    pub goal: GoalObject,
    #[serde(rename = "locality")]
    pub zone: u8,
    pub classes: Vec<ClassObject>,
    #[serde(rename = "parties")]
    pub tenants: Vec<TenantObject>,
    pub discovery: Option<String>,
    #[serde(rename = "failure_domains")]
    pub zone_names: Vec<String>,
    pub guarantees: GuaranteesObject,
    pub limits: LimitsObject,
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: Option<f64>,
    pub prices: PricesObject,
    #[serde(rename = "skus")]
    pub hardware_names: Vec<String>,
    pub telemetry: TelemetryObject,
    pub weight_kind: Option<String>,
    #[serde(rename = "worth_by")]
    pub priority_weight_by: Option<String>,
}

/// The `goal` object, without the keys that are not converted to settings.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct GoalObject {
    #[serde(rename = "slow_end")]
    pub tail_latency_weight: Option<f64>,
    #[serde(rename = "tail_miss")]
    pub tolerated_miss_ratio: Option<f64>,
}

/// A request class, an element of `classes`.
#[derive(Deserialize)]
#[serde(default)]
pub struct ClassObject {
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    #[serde(rename = "aim_stretch")]
    pub latency_objective_stretch: f64,
    #[serde(rename = "hard_limit_ms")]
    pub deadline_ms: f64,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(rename = "late_worth")]
    pub late_priority_weight: f64,
    #[serde(rename = "effect")]
    pub retry_safety: String,
    #[serde(rename = "dedup_scope")]
    pub deduplication_scope: Option<String>,
    #[serde(rename = "key_ttl_ms")]
    pub deduplication_ttl_ms: f64,
    pub streamed: bool,
    pub name: String,
}

impl Default for ClassObject {
    /// Returns the class that the module `conversion` turns into `RequestClass::default()`.
    fn default() -> Self {
        Self {
            latency_objective_ms: 1000.0,
            latency_objective_stretch: 0.0,
            deadline_ms: 3000.0,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            retry_safety: "at_most_once".into(),
            deduplication_scope: None,
            deduplication_ttl_ms: 0.0,
            streamed: false,
            name: String::new(),
        }
    }
}

/// A tenant, an element of `parties`.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct TenantObject {
    #[serde(rename = "allowance_per_s")]
    pub quota_per_second: f64,
    pub name: String,
}

/// The `guarantees` object: the parameters of polling, slow start and overload during slow start.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct GuaranteesObject {
    #[serde(rename = "ask_every_ms")]
    pub poll_interval_ms: Option<f64>,
    #[serde(rename = "cold_from")]
    pub slow_start_floor: Option<f64>,
    #[serde(rename = "cold_ms")]
    pub slow_start_duration_ms: Option<f64>,
    #[serde(rename = "fall_multiple")]
    pub overload_factor: Option<f64>,
    #[serde(rename = "overload_for_ms")]
    pub overload_duration_ms: Option<f64>,
}

/// The `limits` object: limits of the deployment, and which optional features it permits.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct LimitsObject {
    #[serde(rename = "cancelling")]
    pub cancellation: Option<bool>,
    #[serde(rename = "conn_idle_ms")]
    pub connection_idle_timeout_ms: Option<f64>,
    pub connect_timeout_ms: Option<f64>,
    #[serde(rename = "cpu_us_per_request")]
    pub cpu_per_request_us: f64,
    pub max_streams: Option<u32>,
    #[serde(rename = "try_limit")]
    pub max_attempts: Option<u32>,
    pub max_retry_after_ms: Option<f64>,
    #[serde(rename = "may_probe")]
    pub health_checks: Option<bool>,
    #[serde(rename = "second_copies")]
    pub hedging: Option<bool>,
}

/// The `prices` object: the prices of actions and their consequences, in the units of
/// [`balancer_core::Prices`].
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct PricesObject {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    #[serde(rename = "late_fail")]
    pub late_failure: f64,
    #[serde(rename = "probe")]
    pub health_check: f64,
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

/// The `telemetry` object: how upstreams report their load, and which values a report contains.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct TelemetryObject {
    #[serde(rename = "how")]
    pub load_reporting: Option<String>,
    #[serde(rename = "fields")]
    pub load_report_fields: Vec<String>,
}
