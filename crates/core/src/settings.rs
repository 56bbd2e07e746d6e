//! The settings of a balancer and their validation.

use crate::ids::ZoneId;
use std::fmt;
use std::time::Duration;
use thiserror::Error;

const MS_PER_SECOND: f64 = 1e3;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing the request again is harmless.
    Idempotent,
    /// The request bears an idempotency key: upstreams of one scope drop a copy that reaches them within
    /// `ttl` of the first attempt that may have been executed.
    Deduplicated {
        /// The upstreams that share the record of a key.
        scope: DeduplicationScope,
        /// How long they remember a key.
        ttl: Duration,
    },
    /// The request must never be executed twice.
    AtMostOnce,
}

/// The upstreams that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of the request's own work. The present decisions only ask
    /// whether it is positive: a response is then of use until the deadline.
    pub latency_objective_stretch: f64,
    /// The longest that a client waits. Not used by the present decisions.
    pub deadline: Duration,
    /// The value of one response in time. Not used by the present decisions.
    pub priority_weight: f64,
    /// The share of the priority weight that a response after the latency objective still earns. The present
    /// decisions only ask whether it is positive.
    pub late_priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub retry_safety: RetrySafety,
    /// The response is a stream: [`Event::StreamStarted`](crate::Event::StreamStarted) is delivered.
    pub streamed: bool,
}

impl Default for RequestClass {
    /// A class that may not be executed twice, with a latency objective of one second.
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

/// A customer whose requests share the upstreams with those of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Guaranteed requests per second over all balancers; 0 if none is stated.
    pub quota_per_second: f64,
}

/// What the weight of an endpoint entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// It has no meaning.
    Ignored,
    /// The size of the upstream, at least approximately.
    Size,
    /// The size of the upstream divided by 1 + the requests that each core held a while ago.
    Live,
}

/// How upstreams report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// They do not.
    Off,
    /// With every response and health check.
    Inline,
    /// With health checks only.
    OnHealthCheck,
}

/// The meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight at the upstream.
    InFlight,
    /// Requests in the upstream's queue.
    Queue,
    /// Share of the CPU in use.
    Utilization,
    /// Recent service time in milliseconds.
    ServiceTimeMs,
    /// Requests served per second.
    RequestRate,
    /// Errors per second.
    ErrorRate,
    /// A value that this version does not know.
    Other,
}

/// What actions cost, in units of the priority weight of an average request. The present decisions use
/// `cross_zone` only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A hundred connections to an upstream that are held open all the time.
    pub connection: f64,
    /// A new connection.
    pub handshake: f64,
    /// A request that fails only after its latency objective.
    pub late_failure: f64,
    /// A health check.
    pub health_check: f64,
    /// Work of an upstream that served nobody, in the amount that an average request takes.
    pub wasted_work: f64,
}

/// The settings of one balancer. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers share the upstreams, this one included.
    pub balancers: u32,
    /// The position of this balancer among them, from 0.
    pub index: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its class's priority weight that a request over its tenant's quota earns.
    pub over_quota_weight: f64,
    /// The priority weight of a request is proportional to its work. Not used by the present decisions.
    pub weight_by_work: bool,
    /// The balancer begins each watch of the endpoint list itself, by
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints), and begins another when one has failed.
    pub starts_watches: bool,
    /// A balancer that has not polled for this long counts as notified of all changes until then.
    pub poll_interval: Duration,
    /// The share of its full capacity that an upstream has at least when slow start begins.
    pub slow_start_floor: f64,
    /// How long slow start takes.
    pub slow_start_duration: Duration,
    /// An upstream in slow start collapses when it gets more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_duration: Duration,
    /// The most attempts that one request may have.
    pub max_attempts: u8,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Health checks may be sent. Not used by the present decisions.
    pub health_checks: bool,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Duration,
    /// An attempt to connect that takes longer counts as failed.
    pub connect_timeout: Duration,
    /// Upstreams close a connection that has been idle for this long. Not used by the present decisions.
    pub connection_idle_timeout: Duration,
    /// Attempts that one connection carries at once. Not used by the present decisions.
    pub max_streams: u32,
    /// The share of requests of a class that may miss the latency objective, where the goal values the
    /// slowest responses. Not used by the present decisions.
    pub tolerated_miss_ratio: Option<f64>,
    /// CPU time that a request and its attempts may cost; zero for no limit. Not used by the present
    /// decisions.
    pub cpu_per_request: Duration,
    /// What the weights in the endpoint list mean.
    pub weight_kind: WeightKind,
    /// How upstreams report their load. Not used by the present decisions.
    pub load_reporting: LoadReporting,
    /// The values of a load report, in order.
    pub load_report_fields: Vec<LoadField>,
    /// What actions cost.
    pub prices: Prices,
}

impl Default for Settings {
    /// One balancer that is notified of its endpoint list, without classes.
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

/// A value in [`Settings`] that can be out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsField {
    /// The most attempts of one request.
    MaxAttempts,
    /// The position of this balancer.
    Index,
    /// The most attempts on one connection.
    MaxStreams,
    /// The weight of requests over quota.
    OverQuotaWeight,
    /// The least capacity in slow start.
    SlowStartFloor,
    /// The multiple of its capacity that overloads an upstream in slow start.
    OverloadFactor,
    /// The tolerated share of late responses.
    ToleratedMissRatio,
    /// The price of an attempt in another zone.
    CrossZonePrice,
    /// The price of open connections.
    ConnectionPrice,
    /// The price of a new connection.
    HandshakePrice,
    /// The price of a late failure.
    LateFailurePrice,
    /// The price of a health check.
    HealthCheckPrice,
    /// The price of work that served nobody.
    WastedWorkPrice,
    /// The latency objective of a class.
    LatencyObjective,
    /// The priority weight of a class.
    PriorityWeight,
    /// The weight of a late response of a class.
    LatePriorityWeight,
    /// The stretch of the latency objective of a class.
    LatencyObjectiveStretch,
    /// The quota of a tenant.
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

/// What a value in [`Settings`] may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedRange {
    /// A finite number, not negative.
    FiniteNotNegative,
    /// More than zero.
    Positive,
    /// Less than the number of balancers.
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

/// A value in [`Settings`] that is out of range.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfRange {
    /// Where it stands.
    pub field: SettingsField,
    /// The value; durations are in milliseconds.
    pub value: f64,
    /// What is allowed.
    pub allowed: AllowedRange,
}

/// Why a balancer cannot run with some [`Settings`].
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// There are no request classes.
    #[error("settings: no request class is defined")]
    NoClasses,
    /// The number of balancers is zero.
    #[error("settings: the number of balancers is zero")]
    NoBalancers,
    /// A value is negative, not a number, or zero where it must not be.
    #[error("settings: {} is {}, allowed is {}", .0.field, .0.value, .0.allowed)]
    OutOfRange(OutOfRange),
}

impl Settings {
    /// Checks that a balancer can run with these settings. The error names the first value at fault.
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
        require_finite(SettingsField::OverQuotaWeight, self.over_quota_weight)?;
        require_finite(SettingsField::SlowStartFloor, self.slow_start_floor)?;
        require_finite(SettingsField::OverloadFactor, self.overload_factor)?;
        require_finite(SettingsField::ToleratedMissRatio, self.tolerated_miss_ratio.unwrap_or(0.0))?;
        self.prices.validate()?;
        for class in &self.classes {
            class.validate()?;
        }
        for tenant in &self.tenants {
            require_finite(SettingsField::QuotaPerSecond, tenant.quota_per_second)?;
        }
        Ok(())
    }
}

impl Prices {
    fn validate(&self) -> Result<(), SettingsError> {
        require_finite(SettingsField::CrossZonePrice, self.cross_zone)?;
        require_finite(SettingsField::ConnectionPrice, self.connection)?;
        require_finite(SettingsField::HandshakePrice, self.handshake)?;
        require_finite(SettingsField::LateFailurePrice, self.late_failure)?;
        require_finite(SettingsField::HealthCheckPrice, self.health_check)?;
        require_finite(SettingsField::WastedWorkPrice, self.wasted_work)
    }
}

impl RequestClass {
    fn validate(&self) -> Result<(), SettingsError> {
        let objective_ms = self.latency_objective.as_secs_f64() * MS_PER_SECOND;
        require_positive(SettingsField::LatencyObjective, objective_ms)?;
        require_finite(SettingsField::PriorityWeight, self.priority_weight)?;
        require_finite(SettingsField::LatePriorityWeight, self.late_priority_weight)?;
        require_finite(SettingsField::LatencyObjectiveStretch, self.latency_objective_stretch)
    }
}

/// Accepts a finite value that is not negative.
fn require_finite(field: SettingsField, value: f64) -> Result<(), SettingsError> {
    let is_allowed = value >= 0.0 && value.is_finite();
    if is_allowed { Ok(()) } else { Err(out_of_range(field, value, AllowedRange::FiniteNotNegative)) }
}

/// Accepts a value above zero.
fn require_positive(field: SettingsField, value: f64) -> Result<(), SettingsError> {
    if value > 0.0 { Ok(()) } else { Err(out_of_range(field, value, AllowedRange::Positive)) }
}

fn out_of_range(field: SettingsField, value: f64, allowed: AllowedRange) -> SettingsError {
    SettingsError::OutOfRange(OutOfRange { field, value, allowed })
}
