//! Builders for the settings and the endpoint entries of a test.

use balancer_core::*;
use std::time::Duration;

/// Latency objective of the class that [`SettingsBuilder::new`] starts with.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 400;
/// Deadline of the class that [`SettingsBuilder::new`] starts with.
const DEFAULT_DEADLINE_MS: u64 = 1000;

/// Shorthand for a duration in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request class that differs from the default in these values.
pub fn request_class(latency_objective_ms: u64, deadline_ms: u64, retry_safety: RetrySafety) -> RequestClass {
    RequestClass {
        latency_objective: ms(latency_objective_ms),
        deadline: ms(deadline_ms),
        retry_safety,
        ..RequestClass::default()
    }
}

/// A ready endpoint of weight 1 that is not in slow start.
pub fn endpoint(id: u64) -> EndpointEntry {
    EndpointBuilder::new(id).build()
}

/// Ready endpoints with the ids from 1 to `count`.
pub fn endpoints(count: u64) -> Vec<EndpointEntry> {
    (1..=count).map(endpoint).collect()
}

/// Builds an endpoint entry, from one that is ready, of weight 1 and not in slow start.
pub struct EndpointBuilder {
    entry: EndpointEntry,
}

impl EndpointBuilder {
    /// Starts with a ready endpoint.
    pub fn new(id: u64) -> Self {
        let entry = EndpointEntry {
            id: UpstreamId(id),
            zone: ZoneId(0),
            hardware: HardwareId(0),
            cell: CellId(0),
            availability: Availability::Ready,
            weight: 1.0,
            process_start: ProcessStart::Unknown,
        };
        Self { entry }
    }

    /// Places the endpoint in a zone and a cell.
    pub fn located_in(mut self, zone: ZoneId, cell: CellId) -> Self {
        self.entry.zone = zone;
        self.entry.cell = cell;
        self
    }

    /// Sets whether the endpoint takes requests.
    pub fn availability(mut self, availability: Availability) -> Self {
        self.entry.availability = availability;
        self
    }

    /// Sets the weight.
    pub fn weight(mut self, weight: f64) -> Self {
        self.entry.weight = weight;
        self
    }

    /// Sets when the process of the endpoint started: slow start begins there.
    pub fn started_at(mut self, started_at: impl Into<Option<Duration>>) -> Self {
        self.entry.process_start = started_at.into().map_or(ProcessStart::Unknown, ProcessStart::At);
        self
    }

    /// Sets the start of the process by the wall clock, and how long ago it was by that clock.
    pub fn started_by_wall_clock(mut self, incarnation: u64, age: Duration) -> Self {
        self.entry.process_start = ProcessStart::ByWallClock { incarnation, age };
        self
    }

    /// The entry.
    pub fn build(self) -> EndpointEntry {
        self.entry
    }
}

/// Builds the settings of one balancer with one request class.
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Starts with the default settings and one class of this retry safety.
    pub fn new(retry_safety: RetrySafety) -> Self {
        let class = request_class(DEFAULT_LATENCY_OBJECTIVE_MS, DEFAULT_DEADLINE_MS, retry_safety);
        Self { settings: Settings { classes: vec![class], ..Settings::default() } }
    }

    /// Replaces the request classes.
    pub fn classes(mut self, classes: Vec<RequestClass>) -> Self {
        self.settings.classes = classes;
        self
    }

    /// Sets how many classes like the first there are.
    pub fn class_count(mut self, count: usize) -> Self {
        let first = self.settings.classes[0].clone();
        self.settings.classes = vec![first; count];
        self
    }

    /// Adds a request class.
    pub fn add_class(mut self, class: RequestClass) -> Self {
        self.settings.classes.push(class);
        self
    }

    /// Sets the share of the priority weight that a late response of the first class earns.
    pub fn late_priority_weight(mut self, weight: f64) -> Self {
        self.settings.classes[0].late_priority_weight = weight;
        self
    }

    /// Sets how many balancers share the upstreams.
    pub fn balancers(mut self, balancers: u32) -> Self {
        self.settings.balancers = balancers;
        self
    }

    /// Sets the position of this balancer.
    pub fn index(mut self, index: u32) -> Self {
        self.settings.index = index;
        self
    }

    /// Sets the tenants, by their quotas in requests per second over all balancers.
    pub fn quotas(mut self, quotas_per_second: &[f64]) -> Self {
        let tenant = |quota: &f64| Tenant { quota_per_second: *quota };
        self.settings.tenants = quotas_per_second.iter().map(tenant).collect();
        self
    }

    /// Sets the share of the priority weight that a request over quota earns.
    pub fn over_quota_weight(mut self, weight: f64) -> Self {
        self.settings.over_quota_weight = weight;
        self
    }

    /// Sets whether two attempts of a request may be in flight at once.
    pub fn hedging(mut self, hedging: bool) -> Self {
        self.settings.hedging = hedging;
        self
    }

    /// Sets whether attempts may be cancelled.
    pub fn cancellation(mut self, cancellation: bool) -> Self {
        self.settings.cancellation = cancellation;
        self
    }

    /// Sets how many attempts a request may have.
    pub fn max_attempts(mut self, max_attempts: u8) -> Self {
        self.settings.max_attempts = max_attempts;
        self
    }

    /// Sets whether health checks may be sent.
    pub fn health_checks(mut self, health_checks: bool) -> Self {
        self.settings.health_checks = health_checks;
        self
    }

    /// Sets whether the balancer has to poll for the endpoint list.
    pub fn starts_watches(mut self, starts_watches: bool) -> Self {
        self.settings.starts_watches = starts_watches;
        self
    }

    /// Sets after how long without a poll the balancer counts as notified.
    pub fn poll_interval(mut self, poll_interval: Duration) -> Self {
        self.settings.poll_interval = poll_interval;
        self
    }

    /// Sets how upstreams report their load, and the values of a report.
    pub fn load_reports(mut self, reporting: LoadReporting, fields: &[LoadField]) -> Self {
        self.settings.load_reporting = reporting;
        self.settings.load_report_fields = fields.to_vec();
        self
    }

    /// Sets the capacity at the beginning of slow start, as a share of the full one, and how long slow start
    /// takes.
    pub fn slow_start(mut self, floor: f64, duration: Duration) -> Self {
        self.settings.slow_start_floor = floor;
        self.settings.slow_start_duration = duration;
        self
    }

    /// Sets the multiple of its capacity, and over which time, that overloads an upstream in slow start.
    pub fn overload(mut self, factor: f64, duration: Duration) -> Self {
        self.settings.overload_factor = factor;
        self.settings.overload_duration = duration;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}

/// Six request classes: each retry safety, and a streamed one.
pub fn classes_of_each_retry_safety() -> Vec<RequestClass> {
    let deduplicated = |scope, ttl_ms| RetrySafety::Deduplicated { scope, ttl: ms(ttl_ms) };
    let streamed = RequestClass { streamed: true, ..request_class(300, 900, RetrySafety::Idempotent) };
    vec![
        request_class(200, 600, RetrySafety::Idempotent),
        request_class(300, 1200, RetrySafety::AtMostOnce),
        request_class(150, 1500, deduplicated(DeduplicationScope::Cell, 700)),
        request_class(150, 1500, deduplicated(DeduplicationScope::Zone, 360)),
        request_class(150, 1500, deduplicated(DeduplicationScope::All, 60)),
        streamed,
    ]
}

/// How many requests a balancer gets, and what it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// A single balancer that is notified of endpoint updates and gets a load report with every response.
    Dense,
    /// One of hundreds of balancers. It polls for the endpoint list and learns the load by health checks.
    Sparse,
}

/// Starts with all classes and with tenants inside, above and without a quota.
pub fn settings_of_all_classes(traffic: Traffic) -> SettingsBuilder {
    let is_sparse = traffic == Traffic::Sparse;
    let reporting = if is_sparse { LoadReporting::OnHealthCheck } else { LoadReporting::Inline };
    SettingsBuilder::new(RetrySafety::Idempotent)
        .classes(classes_of_each_retry_safety())
        .balancers(if is_sparse { 500 } else { 1 })
        .quotas(&[900.0, 2000.0, 0.0])
        .starts_watches(is_sparse)
        .health_checks(is_sparse)
        .load_reports(reporting, &[LoadField::InFlight])
}
