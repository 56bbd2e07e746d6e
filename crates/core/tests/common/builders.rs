//! Builders for a balancer's settings and for entries of the endpoint list.

use balancer_core::*;
use std::time::Duration;

/// Latency objective of the class that [`SettingsBuilder::new`] starts with.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 400;
/// Deadline of the class that [`SettingsBuilder::new`] starts with.
const DEFAULT_DEADLINE_MS: u64 = 1000;

/// Returns a duration of this many milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a request class with these values. Its other values are the defaults.
pub fn request_class(latency_objective_ms: u64, deadline_ms: u64, retry_safety: RetrySafety) -> RequestClass {
    RequestClass {
        latency_objective: ms(latency_objective_ms),
        deadline: ms(deadline_ms),
        retry_safety,
        ..RequestClass::default()
    }
}

/// Returns a ready endpoint of weight 1 whose process start is unknown. It is in slow start only if it is
/// added to a balancer that already knows other upstreams.
pub fn endpoint(id: u64) -> EndpointEntry {
    EndpointBuilder::new(id).build()
}

/// Returns ready endpoints with the ids from 1 to `count`, see [`endpoint`].
pub fn endpoints(count: u64) -> Vec<EndpointEntry> {
    (1..=count).map(endpoint).collect()
}

/// Builder for an entry of the endpoint list. It starts with the defaults of [`endpoint`].
pub struct EndpointBuilder {
    entry: EndpointEntry,
}

impl EndpointBuilder {
    /// Creates a builder for a ready endpoint with this id.
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

    /// Sets the endpoint's zone and cell.
    pub fn located_in(mut self, zone: ZoneId, cell: CellId) -> Self {
        self.entry.zone = zone;
        self.entry.cell = cell;
        self
    }

    /// Sets whether the endpoint accepts requests, is draining or was removed.
    pub fn availability(mut self, availability: Availability) -> Self {
        self.entry.availability = availability;
        self
    }

    /// Sets the endpoint's weight.
    pub fn weight(mut self, weight: f64) -> Self {
        self.entry.weight = weight;
        self
    }

    /// Sets the time on the embedder's clock at which the endpoint's process started; `None` if it is
    /// unknown. Slow start begins at that time.
    pub fn started_at(mut self, started_at: impl Into<Option<Duration>>) -> Self {
        self.entry.process_start = started_at.into().map_or(ProcessStart::Unknown, ProcessStart::At);
        self
    }

    /// Sets a start of the endpoint's process by the wall clock: `incarnation` identifies the start, and
    /// `age` is the time since then.
    pub fn started_by_wall_clock(mut self, incarnation: u64, age: Duration) -> Self {
        self.entry.process_start = ProcessStart::ByWallClock { incarnation, age };
        self
    }

    /// Returns the entry.
    pub fn build(self) -> EndpointEntry {
        self.entry
    }
}

/// Builder for the settings of one balancer. It starts with a single request class.
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Creates a builder with the default settings and one class of this retry safety.
    pub fn new(retry_safety: RetrySafety) -> Self {
        let class = request_class(DEFAULT_LATENCY_OBJECTIVE_MS, DEFAULT_DEADLINE_MS, retry_safety);
        Self { settings: Settings { classes: vec![class], ..Settings::default() } }
    }

    /// Replaces the request classes.
    pub fn classes(mut self, classes: Vec<RequestClass>) -> Self {
        self.settings.classes = classes;
        self
    }

    /// Replaces the request classes with `count` copies of the first one.
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

    /// Sets the share of the priority weight that a response of the first class earns after the latency
    /// objective.
    pub fn late_priority_weight(mut self, weight: f64) -> Self {
        self.settings.classes[0].late_priority_weight = weight;
        self
    }

    /// Sets the number of balancers that share the upstreams.
    pub fn balancers(mut self, balancers: u32) -> Self {
        self.settings.balancers = balancers;
        self
    }

    /// Sets the index of this balancer among all balancers, from 0.
    pub fn index(mut self, index: u32) -> Self {
        self.settings.index = index;
        self
    }

    /// Replaces the tenants with one for each quota, in requests per second over all balancers.
    pub fn quotas(mut self, quotas_per_second: &[f64]) -> Self {
        let tenant = |quota: &f64| Tenant { quota_per_second: *quota };
        self.settings.tenants = quotas_per_second.iter().map(tenant).collect();
        self
    }

    /// Sets the share of the priority weight that a request over its tenant's quota earns.
    pub fn over_quota_weight(mut self, weight: f64) -> Self {
        self.settings.over_quota_weight = weight;
        self
    }

    /// Sets whether two attempts of one request may be in flight at once.
    pub fn hedging(mut self, hedging: bool) -> Self {
        self.settings.hedging = hedging;
        self
    }

    /// Sets whether attempts may be cancelled.
    pub fn cancellation(mut self, cancellation: bool) -> Self {
        self.settings.cancellation = cancellation;
        self
    }

    /// Sets the maximum number of attempts of one request, including the first.
    pub fn max_attempts(mut self, max_attempts: u8) -> Self {
        self.settings.max_attempts = max_attempts;
        self
    }

    /// Sets whether health checks may be sent.
    pub fn health_checks(mut self, health_checks: bool) -> Self {
        self.settings.health_checks = health_checks;
        self
    }

    /// Sets whether the balancer starts watches of the endpoint list itself.
    pub fn starts_watches(mut self, starts_watches: bool) -> Self {
        self.settings.starts_watches = starts_watches;
        self
    }

    /// Sets the time since its last poll of discovery after which the balancer counts as notified of all
    /// changes up to then.
    pub fn poll_interval(mut self, poll_interval: Duration) -> Self {
        self.settings.poll_interval = poll_interval;
        self
    }

    /// Sets how upstreams report their load, and the meanings of the values in a load report.
    pub fn load_reports(mut self, reporting: LoadReporting, fields: &[LoadField]) -> Self {
        self.settings.load_reporting = reporting;
        self.settings.load_report_fields = fields.to_vec();
        self
    }

    /// Sets the share of its full capacity that an upstream has when slow start begins, and the duration of
    /// slow start.
    pub fn slow_start(mut self, floor: f64, duration: Duration) -> Self {
        self.settings.slow_start_floor = floor;
        self.settings.slow_start_duration = duration;
        self
    }

    /// Sets the multiple of its current capacity that overloads an upstream in slow start, and the time for
    /// which the load must exceed it.
    pub fn overload(mut self, factor: f64, duration: Duration) -> Self {
        self.settings.overload_factor = factor;
        self.settings.overload_duration = duration;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}

/// Returns six request classes: one for each retry safety and deduplication scope, and a streamed one.
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

/// Amount of traffic that each balancer gets, with the settings that are typical of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// A single balancer gets all requests. Its embedder watches the endpoint list, and upstreams report
    /// their load with every response.
    Dense,
    /// Each of 500 balancers gets few requests. It starts watches of the endpoint list itself, and upstreams
    /// report their load with health checks only.
    Sparse,
}

/// Creates a builder with six request classes, which cover each retry safety, and with three tenants: two
/// with different quotas and one without a quota.
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
