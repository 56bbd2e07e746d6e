//! Settings of a balancer and their validation.

use crate::ids::ZoneId;
use std::fmt;
use std::time::Duration;
use thiserror::Error;

const MS_PER_SECOND: f64 = 1e3;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may be executed any number of times without harm.
    Idempotent,
    /// The request carries an idempotency key. Upstreams of one scope drop a copy that reaches them within
    /// `ttl` of the first attempt that may have been executed.
    Deduplicated {
        /// Group of upstreams that share the record of a key.
        scope: DeduplicationScope,
        /// Time for which the upstreams remember a key.
        ttl: Duration,
    },
    /// The request must never be executed twice.
    AtMostOnce,
}

/// Group of upstreams that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All upstreams share one record.
    All,
    /// The upstreams of one zone share a record.
    Zone,
    /// The upstreams of one cell share a record.
    Cell,
}

/// Settings of one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time within which a response earns the full priority weight; above zero.
    pub latency_objective: Duration,
    /// Multiple of the request's own work, its execution time on a standard core, by which the latency
    /// objective grows. Currently, the balancer only checks whether it is positive: a response then counts as
    /// useful until the deadline.
    pub latency_objective_stretch: f64,
    /// Longest time that a client waits for a response. Currently used by embedders only.
    pub deadline: Duration,
    /// Value of a response within the latency objective. Currently not used by the balancer.
    pub priority_weight: f64,
    /// Share of the priority weight that a response after the latency objective still earns. Currently, the
    /// balancer only checks whether it is positive: a response then counts as useful until the deadline.
    pub late_priority_weight: f64,
    /// Whether a request of this class may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Whether responses are streams. If so, the embedder delivers
    /// [`Event::StreamStarted`](crate::Event::StreamStarted) when one starts.
    pub streamed: bool,
}

impl Default for RequestClass {
    /// Returns a class whose requests must not be executed twice, with a latency objective of one second.
    fn default() -> Self {
        Self {
            latency_objective: Duration::from_secs(1),
            latency_objective_stretch: 0.0,
            deadline: Duration::from_secs(3),
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            retry_safety: RetrySafety::AtMostOnce,
            streamed: false,
        }
    }
}

/// Settings of one tenant, a customer that shares the upstreams with other tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Guaranteed requests per second over all balancers; 0 if no quota is set.
    pub quota_per_second: f64,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// The weight has no meaning.
    Ignored,
    /// The weight is the size of the upstream: its full capacity relative to that of the others, at least
    /// approximately.
    Size,
    /// The weight is the size of the upstream divided by one plus the number of requests that each of its
    /// cores held some time ago.
    Live,
}

/// Way in which upstreams report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Upstreams do not report their load.
    Off,
    /// Upstreams report their load with every response and health check.
    Inline,
    /// Upstreams report their load with health checks only.
    OnHealthCheck,
}

/// Meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight at the upstream.
    InFlight,
    /// Requests in the upstream's queue.
    Queue,
    /// Share of the CPU in use, from 0 to 1.
    Utilization,
    /// Recent service time in milliseconds.
    ServiceTimeMs,
    /// Requests served per second.
    RequestRate,
    /// Errors per second.
    ErrorRate,
    /// Value of an unknown kind, which is ignored.
    Other,
}

/// Prices of the balancer's actions and their consequences, in units of the priority weight of an average
/// request. Currently, the balancer uses only `cross_zone`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of an attempt in a zone other than the balancer's.
    pub cross_zone: f64,
    /// Price of a hundred connections to an upstream that are held open all the time.
    pub connection: f64,
    /// Price of a new connection.
    pub handshake: f64,
    /// Price of a request that fails only after its latency objective.
    pub late_failure: f64,
    /// Price of a health check.
    pub health_check: f64,
    /// Price of as much wasted work at an upstream as an average request takes.
    pub wasted_work: f64,
}

/// Settings of one balancer. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that share the upstreams, including this one.
    pub balancers: u32,
    /// Index of this balancer among all balancers, from 0.
    pub index: u32,
    /// Zone of this balancer.
    pub zone: ZoneId,
    /// Request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its class's priority weight that a request over its tenant's quota earns.
    pub over_quota_weight: f64,
    /// Whether the priority weight of a request is proportional to its work on a standard core. Currently not
    /// used by the balancer.
    pub weight_by_work: bool,
    /// Whether the balancer starts each watch of the endpoint list itself with
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints), and starts another one after a failure.
    pub starts_watches: bool,
    /// Time without a poll of discovery after which a balancer counts as notified of all changes made so far.
    pub poll_interval: Duration,
    /// Minimum share of its full capacity that an upstream has when slow start begins.
    pub slow_start_floor: f64,
    /// Duration of slow start.
    pub slow_start_duration: Duration,
    /// Multiple of its current capacity beyond which load makes an upstream in slow start collapse.
    pub overload_factor: f64,
    /// Time for which load must exceed `overload_factor` until an upstream in slow start collapses. Currently
    /// not used by the balancer.
    pub overload_duration: Duration,
    /// Maximum number of attempts of one request, including the first; above zero.
    pub max_attempts: u8,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent. Currently not used by the balancer.
    pub health_checks: bool,
    /// Maximum Retry-After that clients respect.
    pub max_retry_after: Duration,
    /// Time after which an attempt to connect to an upstream counts as failed.
    pub connect_timeout: Duration,
    /// Idle time after which upstreams close a connection. Currently used by embedders only.
    pub connection_idle_timeout: Duration,
    /// Maximum number of concurrent attempts on one connection; above zero. Currently not used by the
    /// balancer.
    pub max_streams: u32,
    /// Share of the requests of a class that may miss the latency objective; `None` if the goal does not
    /// value the slowest responses. Currently not used by the balancer.
    pub tolerated_miss_ratio: Option<f64>,
    /// CPU time that a request and its attempts may cost; zero for no limit. Currently not used by the
    /// balancer.
    pub cpu_per_request: Duration,
    /// Meaning of the weights in the endpoint list.
    pub weight_kind: WeightKind,
    /// Way in which upstreams report their load. Currently used by embedders only.
    pub load_reporting: LoadReporting,
    /// Meanings of the values in a load report, in the order of the values.
    pub load_report_fields: Vec<LoadField>,
    /// Prices of the balancer's actions and their consequences.
    pub prices: Prices,
}

impl Default for Settings {
    /// Returns the settings of a single balancer that does not start watches itself. They contain no request
    /// class, so [`Settings::validate`] rejects them.
    fn default() -> Self {
        Self {
            balancers: 1,
            index: 0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 0.1,
            weight_by_work: false,
            starts_watches: false,
            poll_interval: Duration::from_secs(10),
            slow_start_floor: 0.3,
            slow_start_duration: Duration::from_secs(10),
            overload_factor: 3.0,
            overload_duration: Duration::from_secs(2),
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            max_retry_after: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(250),
            connection_idle_timeout: Duration::from_secs(60),
            max_streams: 100,
            tolerated_miss_ratio: None,
            cpu_per_request: Duration::ZERO,
            weight_kind: WeightKind::Size,
            load_reporting: LoadReporting::Off,
            load_report_fields: Vec::new(),
            prices: Prices::default(),
        }
    }
}

/// Identifies a value in [`Settings`] that can be out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsField {
    /// Maximum number of attempts of one request.
    MaxAttempts,
    /// Index of this balancer among all balancers.
    Index,
    /// Maximum number of concurrent attempts on one connection.
    MaxStreams,
    /// Share of the priority weight that a request over quota earns.
    OverQuotaWeight,
    /// Minimum share of its full capacity that an upstream has in slow start.
    SlowStartFloor,
    /// Multiple of its capacity that overloads an upstream in slow start.
    OverloadFactor,
    /// Share of the requests that may miss the latency objective.
    ToleratedMissRatio,
    /// Price of an attempt in another zone.
    CrossZonePrice,
    /// Price of open connections.
    ConnectionPrice,
    /// Price of a new connection.
    HandshakePrice,
    /// Price of a request that fails late.
    LateFailurePrice,
    /// Price of a health check.
    HealthCheckPrice,
    /// Price of wasted work at an upstream.
    WastedWorkPrice,
    /// Latency objective of a request class.
    LatencyObjective,
    /// Priority weight of a request class.
    PriorityWeight,
    /// Share of the priority weight that a late response of a request class earns.
    LatePriorityWeight,
    /// Multiple of the request's work by which the latency objective of a class grows.
    LatencyObjectiveStretch,
    /// Quota of a tenant, in requests per second.
    QuotaPerSecond,
}

impl fmt::Display for SettingsField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MaxAttempts => "max_attempts",
            Self::Index => "index",
            Self::MaxStreams => "max_streams",
            Self::OverQuotaWeight => "over_quota_weight",
            Self::SlowStartFloor => "slow_start_floor",
            Self::OverloadFactor => "overload_factor",
            Self::ToleratedMissRatio => "tolerated_miss_ratio",
            Self::CrossZonePrice => "prices.cross_zone",
            Self::ConnectionPrice => "prices.connection",
            Self::HandshakePrice => "prices.handshake",
            Self::LateFailurePrice => "prices.late_failure",
            Self::HealthCheckPrice => "prices.health_check",
            Self::WastedWorkPrice => "prices.wasted_work",
            Self::LatencyObjective => "class latency_objective",
            Self::PriorityWeight => "class priority_weight",
            Self::LatePriorityWeight => "class late_priority_weight",
            Self::LatencyObjectiveStretch => "class latency_objective_stretch",
            Self::QuotaPerSecond => "tenant quota_per_second",
        })
    }
}

/// Range that is allowed for a value in [`Settings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedRange {
    /// Finite number that is not negative.
    FiniteNotNegative,
    /// Number above zero.
    Positive,
    /// Number below [`Settings::balancers`].
    BelowBalancerCount,
}

impl fmt::Display for AllowedRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FiniteNotNegative => "a finite number from 0",
            Self::Positive => "more than 0",
            Self::BelowBalancerCount => "less than the number of balancers",
        })
    }
}

/// Value in [`Settings`] that is out of range.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfRange {
    /// Identifies the value in the settings.
    pub field: SettingsField,
    /// Rejected value; durations are in milliseconds.
    pub value: f64,
    /// Range that is allowed for the value.
    pub allowed: AllowedRange,
}

/// Reason why a balancer cannot run with its [`Settings`].
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The settings define no request class.
    #[error("settings: no request class is defined")]
    NoClasses,
    /// The number of balancers is zero.
    #[error("settings: the number of balancers is zero")]
    NoBalancers,
    /// A value is out of the range that is allowed for it.
    #[error("settings: {} is {}, allowed is {}", .0.field, .0.value, .0.allowed)]
    OutOfRange(OutOfRange),
}

impl Settings {
    /// Checks that a balancer can run with these settings. The error names the first invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.balancers == 0 {
            return Err(SettingsError::NoBalancers);
        }
        require_positive(SettingsField::MaxAttempts, f64::from(self.max_attempts))?;
        if self.index >= self.balancers {
            let value = f64::from(self.index);
            return Err(out_of_range(SettingsField::Index, value, AllowedRange::BelowBalancerCount));
        }
        require_positive(SettingsField::MaxStreams, f64::from(self.max_streams))?;
        require_finite_not_negative(SettingsField::OverQuotaWeight, self.over_quota_weight)?;
        require_finite_not_negative(SettingsField::SlowStartFloor, self.slow_start_floor)?;
        require_finite_not_negative(SettingsField::OverloadFactor, self.overload_factor)?;
        require_finite_not_negative(
            SettingsField::ToleratedMissRatio,
            self.tolerated_miss_ratio.unwrap_or(0.0),
        )?;
        self.prices.validate()?;
        for class in &self.classes {
            class.validate()?;
        }
        for tenant in &self.tenants {
            require_finite_not_negative(SettingsField::QuotaPerSecond, tenant.quota_per_second)?;
        }
        Ok(())
    }
}

impl Prices {
    fn validate(&self) -> Result<(), SettingsError> {
        require_finite_not_negative(SettingsField::CrossZonePrice, self.cross_zone)?;
        require_finite_not_negative(SettingsField::ConnectionPrice, self.connection)?;
        require_finite_not_negative(SettingsField::HandshakePrice, self.handshake)?;
        require_finite_not_negative(SettingsField::LateFailurePrice, self.late_failure)?;
        require_finite_not_negative(SettingsField::HealthCheckPrice, self.health_check)?;
        require_finite_not_negative(SettingsField::WastedWorkPrice, self.wasted_work)
    }
}

impl RequestClass {
    fn validate(&self) -> Result<(), SettingsError> {
        let objective_ms = self.latency_objective.as_secs_f64() * MS_PER_SECOND;
        require_positive(SettingsField::LatencyObjective, objective_ms)?;
        require_finite_not_negative(SettingsField::PriorityWeight, self.priority_weight)?;
        require_finite_not_negative(SettingsField::LatePriorityWeight, self.late_priority_weight)?;
        require_finite_not_negative(SettingsField::LatencyObjectiveStretch, self.latency_objective_stretch)
    }
}

/// Returns an error unless the value is finite and not negative.
fn require_finite_not_negative(field: SettingsField, value: f64) -> Result<(), SettingsError> {
    let is_allowed = value >= 0.0 && value.is_finite();
    if is_allowed { Ok(()) } else { Err(out_of_range(field, value, AllowedRange::FiniteNotNegative)) }
}

/// Returns an error unless the value is above zero.
fn require_positive(field: SettingsField, value: f64) -> Result<(), SettingsError> {
    if value > 0.0 { Ok(()) } else { Err(out_of_range(field, value, AllowedRange::Positive)) }
}

fn out_of_range(field: SettingsField, value: f64, allowed: AllowedRange) -> SettingsError {
    SettingsError::OutOfRange(OutOfRange { field, value, allowed })
}
