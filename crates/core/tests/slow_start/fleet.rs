//! Many balancers in front of ten warm upstreams, to which one in slow start is added.

use crate::common::*;
use crate::utilization::UtilizationReports;
use balancer_core::*;
use std::time::Duration;

/// The upstream in slow start.
pub const NEW_UPSTREAM: UpstreamId = UpstreamId(99);
const WARM_UPSTREAMS: u64 = 10;
/// When the new upstream starts.
const NEW_UPSTREAM_AT: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(12);
/// Load of the warm upstreams as a share of their capacity.
const LOAD: f64 = 0.7;
const LATENCY: Duration = Duration::from_millis(30);
/// Latency of the upstreams that are slow by [`Disturbance::RestartsWithSlowUpstreams`].
const SLOW_LATENCY: Duration = Duration::from_millis(250);
const RESTART_INTERVAL: Duration = Duration::from_millis(1000);
/// One in so many balancers restarts at a time.
const BALANCERS_PER_RESTART: u32 = 10;
/// Distinguishes the seed of a restarted balancer from those before.
const SEEDS_PER_RESTART: u32 = 1000;
const PAUSE_BEGINS_AFTER: Duration = Duration::from_millis(500);
const PAUSE_ENDS_AFTER: Duration = Duration::from_millis(5500);

/// What happens besides the start of the new upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// One in ten balancers restarts every second.
    Restarts,
    /// The same, while half of the warm upstreams are removed and the others are slow: the new one is the
    /// fastest by far.
    RestartsWithSlowUpstreams,
    /// Clients send nothing for some seconds and then continue all at once.
    Pause,
    /// Attempts at the new upstream fail for every second request of a balancer.
    Failures,
}

/// What the upstreams report, and so the capacity that the new one shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NewUpstreamReports {
    /// No upstream reports its utilization.
    None,
    /// The upstreams report their utilization. The new one has this multiple of the configured capacity, up
    /// to that of a warm one.
    CapacityMultiple(f64),
}

/// One run of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// How many balancers there are.
    pub balancers: u32,
    /// Requests per second of each balancer.
    pub requests_per_second: f64,
    /// What happens besides.
    pub disturbance: Disturbance,
    /// What the upstreams report.
    pub reports: NewUpstreamReports,
}

impl Scenario {
    /// The settings of one balancer.
    pub fn settings(&self, index: u32) -> Settings {
        let reporting = match self.reports {
            NewUpstreamReports::None => LoadReporting::Off,
            NewUpstreamReports::CapacityMultiple(_) => LoadReporting::Inline,
        };
        SettingsBuilder::new(RetrySafety::AtMostOnce)
            .class_count(2)
            .load_reports(reporting, &[LoadField::Utilization])
            .balancers(self.balancers)
            .index(index)
            .quotas(&[self.total_requests_per_second()])
            .slow_start(0.15, ms(12_000))
            .overload(2.0, ms(2000))
            .build()
    }

    /// The capacity of a warm upstream in requests per second.
    pub fn warm_capacity(&self) -> f64 {
        self.requests_per_second * f64::from(self.balancers) / LOAD / WARM_UPSTREAMS as f64
    }

    fn total_requests_per_second(&self) -> f64 {
        self.requests_per_second * f64::from(self.balancers)
    }

    /// The capacity of an upstream at this time in requests per second.
    fn capacity(&self, settings: &Settings, now: Duration, upstream: UpstreamId) -> f64 {
        match self.reports {
            NewUpstreamReports::CapacityMultiple(multiple) if upstream == NEW_UPSTREAM => {
                self.warm_capacity() * (multiple * configured_capacity_share(settings, now)).min(1.0)
            }
            _ => self.warm_capacity(),
        }
    }

    fn has_restarts(&self) -> bool {
        matches!(self.disturbance, Disturbance::Restarts | Disturbance::RestartsWithSlowUpstreams)
    }

    fn is_paused(&self, now: Duration) -> bool {
        self.disturbance == Disturbance::Pause
            && now > NEW_UPSTREAM_AT + PAUSE_BEGINS_AFTER
            && now < NEW_UPSTREAM_AT + PAUSE_ENDS_AFTER
    }

    fn start_balancer(
        &self,
        index: u32,
        seed: u64,
        endpoints: &[EndpointEntry],
        now: Duration,
    ) -> BalancerHarness {
        BalancerHarness::starting_at(now, self.settings(index), seed, endpoints)
    }
}

/// The share of a warm upstream's capacity that the settings state for the new one.
pub fn configured_capacity_share(settings: &Settings, now: Duration) -> f64 {
    let age = now.saturating_sub(NEW_UPSTREAM_AT).as_secs_f64();
    let warm_up_progress = (age / settings.slow_start_duration.as_secs_f64()).min(1.0);
    settings.slow_start_floor + (1.0 - settings.slow_start_floor) * warm_up_progress
}

struct RequestInFlight {
    balancer: usize,
    id: RequestId,
    ends_at: Duration,
}

/// The balancers of a scenario and their requests in flight.
pub struct Fleet {
    scenario: Scenario,
    settings: Settings,
    now: Duration,
    balancers: Vec<BalancerHarness>,
    endpoints_with_new: Vec<EndpointEntry>,
    has_new_upstream: bool,
    restarts: u32,
    in_flight: Vec<RequestInFlight>,
    utilization: UtilizationReports,
    sent_to_new_upstream: Vec<Duration>,
}

impl Fleet {
    /// Plays a scenario. Returns when requests were sent to the new upstream.
    pub fn requests_to_new_upstream(scenario: Scenario) -> Vec<Duration> {
        let mut fleet = Self::start(scenario);
        let interval = Duration::from_secs_f64(1.0 / scenario.total_requests_per_second());
        let mut request = 0;
        while fleet.now < END {
            fleet.now += interval;
            request += 1;
            fleet.step(request);
        }
        fleet.sent_to_new_upstream
    }

    fn start(scenario: Scenario) -> Self {
        let warm = endpoints(WARM_UPSTREAMS);
        let is_halved = scenario.disturbance == Disturbance::RestartsWithSlowUpstreams;
        let removed = if is_halved { WARM_UPSTREAMS as usize / 2 } else { 0 };
        let mut endpoints_with_new = warm[removed..].to_vec();
        endpoints_with_new.push(EndpointBuilder::new(NEW_UPSTREAM.0).started_at(NEW_UPSTREAM_AT).build());
        let start = |index| scenario.start_balancer(index, u64::from(index), &warm, Duration::ZERO);
        Self {
            scenario,
            settings: scenario.settings(0),
            now: Duration::ZERO,
            balancers: (0..scenario.balancers).map(start).collect(),
            endpoints_with_new,
            has_new_upstream: false,
            restarts: 0,
            in_flight: Vec::new(),
            utilization: UtilizationReports::default(),
            sent_to_new_upstream: Vec::new(),
        }
    }

    fn step(&mut self, request: usize) {
        let capacity_of = |upstream| self.scenario.capacity(&self.settings, self.now, upstream);
        self.utilization.advance_to(self.now, capacity_of);
        self.add_new_upstream_when_due();
        self.restart_balancers_when_due();
        self.end_due_requests();
        self.send_request(request);
    }

    fn add_new_upstream_when_due(&mut self) {
        if self.has_new_upstream || self.now < NEW_UPSTREAM_AT {
            return;
        }
        self.has_new_upstream = true;
        for balancer in &mut self.balancers {
            balancer.advance_to(self.now);
            balancer.update_endpoints(UpdateScope::Snapshot, &self.endpoints_with_new);
        }
    }

    fn restart_balancers_when_due(&mut self) {
        if !self.scenario.has_restarts() {
            return;
        }
        while self.now >= NEW_UPSTREAM_AT + self.restarts * RESTART_INTERVAL {
            let first = self.restarts % BALANCERS_PER_RESTART;
            for index in (first..self.scenario.balancers).step_by(BALANCERS_PER_RESTART as usize) {
                self.restart_balancer(index);
            }
            self.restarts += 1;
        }
    }

    fn restart_balancer(&mut self, index: u32) {
        let seed = u64::from(index + SEEDS_PER_RESTART * (self.restarts + 1));
        let position = index as usize;
        self.balancers[position] =
            self.scenario.start_balancer(index, seed, &self.endpoints_with_new, self.now);
        self.in_flight.retain(|request| request.balancer != position);
    }

    fn end_due_requests(&mut self) {
        while let Some(position) = self.in_flight.iter().position(|request| request.ends_at <= self.now) {
            let request = self.in_flight.swap_remove(position);
            self.end_request(&request);
        }
    }

    fn end_request(&mut self, request: &RequestInFlight) {
        let balancer = &mut self.balancers[request.balancer];
        balancer.advance_to(self.now);
        let Some(upstream) = balancer.upstream_of(request.id, 0) else { return };
        let is_every_second = request.id.0 % 2 == 0;
        let fails =
            self.scenario.disturbance == Disturbance::Failures && upstream == NEW_UPSTREAM && is_every_second;
        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
        match self.scenario.reports {
            NewUpstreamReports::None => balancer.end_attempt(request.id, 0, outcome),
            NewUpstreamReports::CapacityMultiple(_) => {
                let report = self.utilization.load_report(upstream);
                balancer.end_attempt_with_report(request.id, 0, outcome, &report);
            }
        }
    }

    fn send_request(&mut self, request: usize) {
        let position = request * 7919 % self.balancers.len();
        let balancer = &mut self.balancers[position];
        balancer.advance_to(self.now);
        if self.scenario.is_paused(self.now) {
            return;
        }
        let class = (request % 2) as u16;
        let id = balancer.send_request(class, 0, ms(600));
        let Some(upstream) = balancer.upstream_of(id, 0) else { return };
        let latency = self.latency(upstream);
        self.utilization.count_request(upstream);
        self.in_flight.push(RequestInFlight { balancer: position, id, ends_at: self.now + latency });
        if upstream == NEW_UPSTREAM {
            self.sent_to_new_upstream.push(self.now);
        }
    }

    fn latency(&self, upstream: UpstreamId) -> Duration {
        let are_others_slow =
            self.has_new_upstream && self.scenario.disturbance == Disturbance::RestartsWithSlowUpstreams;
        if are_others_slow && upstream != NEW_UPSTREAM { SLOW_LATENCY } else { LATENCY }
    }
}
