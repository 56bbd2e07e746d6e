//! Simulation of many balancers with ten warm upstreams, to which one in slow start is added.

use crate::common::*;
use crate::utilization::UtilizationReports;
use balancer_core::*;
use std::time::Duration;

/// The upstream that is added in slow start.
pub const NEW_UPSTREAM: UpstreamId = UpstreamId(99);
const WARM_UPSTREAMS: u64 = 10;
/// Time at which the new upstream starts and is listed.
const NEW_UPSTREAM_AT: Duration = Duration::from_secs(4);
/// Time at which the simulation ends.
const END: Duration = Duration::from_secs(12);
/// Load of the warm upstreams as a share of their capacity.
const LOAD_SHARE: f64 = 0.7;
const LATENCY: Duration = Duration::from_millis(30);
/// Latency of the warm upstreams after the start of the new one in
/// [`Disturbance::RestartsWithSlowUpstreams`].
const SLOW_LATENCY: Duration = Duration::from_millis(250);
/// Time between the restarts of two successive groups of balancers.
const RESTART_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of groups of balancers; one group is restarted at a time.
const RESTART_GROUPS: u32 = 10;
/// Offset of the seeds for each restart, so that a restarted balancer gets a seed that none had before.
const SEED_OFFSET_PER_RESTART: u32 = 1000;
/// Time from the start of the new upstream to the beginning of the pause.
const PAUSE_BEGINS_AFTER: Duration = Duration::from_millis(500);
/// Time from the start of the new upstream to the end of the pause.
const PAUSE_ENDS_AFTER: Duration = Duration::from_millis(5500);

/// A disturbance in addition to the start of the new upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// There is no disturbance.
    None,
    /// One in ten balancers restarts every second.
    Restarts,
    /// One in ten balancers restarts every second. In addition, half of the warm upstreams are removed and
    /// the others become slow when the new one starts, so that the new one is by far the fastest.
    RestartsWithSlowUpstreams,
    /// Clients send no requests for some seconds, and then all of them continue at once.
    Pause,
    /// At the new upstream, the attempts of every second request of a balancer fail.
    Failures,
}

/// Load reports of the upstreams, and the capacity of the new one that they show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NewUpstreamReports {
    /// No upstream reports its utilization.
    None,
    /// All upstreams report their utilization. The capacity of the new one is this multiple of the capacity
    /// that the settings state, up to the capacity of a warm one.
    CapacityMultiple(f64),
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of balancers.
    pub balancers: u32,
    /// Requests per second of each balancer.
    pub requests_per_second: f64,
    /// Disturbance in addition to the start of the new upstream.
    pub disturbance: Disturbance,
    /// Load reports of the upstreams.
    pub reports: NewUpstreamReports,
}

impl Scenario {
    /// Returns the settings of the balancer with this index.
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

    /// Returns the capacity of a warm upstream in requests per second.
    pub fn warm_capacity(&self) -> f64 {
        self.requests_per_second * f64::from(self.balancers) / LOAD_SHARE / WARM_UPSTREAMS as f64
    }

    fn total_requests_per_second(&self) -> f64 {
        self.requests_per_second * f64::from(self.balancers)
    }

    /// Returns the capacity of an upstream at this time, in requests per second.
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

/// Returns the capacity that the settings state for the new upstream at this time, as a share of the capacity
/// of a warm one.
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
    /// The endpoint list from the start of the new upstream on.
    endpoints_with_new: Vec<EndpointEntry>,
    has_new_upstream: bool,
    /// Number of restarts of groups of balancers so far.
    restarts: u32,
    in_flight: Vec<RequestInFlight>,
    utilization: UtilizationReports,
    /// When each request to the new upstream was sent.
    sent_to_new_upstream: Vec<Duration>,
}

impl Fleet {
    /// Simulates a scenario. Returns the times at which requests were sent to the new upstream, in ascending
    /// order.
    pub fn requests_to_new_upstream(scenario: Scenario) -> Vec<Duration> {
        let mut fleet = Self::start(scenario);
        let interval = Duration::from_secs_f64(1.0 / scenario.total_requests_per_second());
        let mut request_number = 0;
        while fleet.now < END {
            fleet.now += interval;
            request_number += 1;
            fleet.step(request_number);
        }
        fleet.sent_to_new_upstream
    }

    fn start(scenario: Scenario) -> Self {
        let warm_endpoints = endpoints(WARM_UPSTREAMS);
        let removes_half = scenario.disturbance == Disturbance::RestartsWithSlowUpstreams;
        let removed_count = if removes_half { WARM_UPSTREAMS as usize / 2 } else { 0 };
        let mut endpoints_with_new = warm_endpoints[removed_count..].to_vec();
        endpoints_with_new.push(EndpointBuilder::new(NEW_UPSTREAM.0).started_at(NEW_UPSTREAM_AT).build());
        let start_balancer =
            |index| scenario.start_balancer(index, u64::from(index), &warm_endpoints, Duration::ZERO);
        Self {
            scenario,
            settings: scenario.settings(0),
            now: Duration::ZERO,
            balancers: (0..scenario.balancers).map(start_balancer).collect(),
            endpoints_with_new,
            has_new_upstream: false,
            restarts: 0,
            in_flight: Vec::new(),
            utilization: UtilizationReports::default(),
            sent_to_new_upstream: Vec::new(),
        }
    }

    fn step(&mut self, request_number: usize) {
        let capacity_of = |upstream| self.scenario.capacity(&self.settings, self.now, upstream);
        self.utilization.advance_to(self.now, capacity_of);
        self.add_new_upstream_when_due();
        self.restart_balancers_when_due();
        self.end_due_requests();
        self.send_request(request_number);
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
            let group = self.restarts % RESTART_GROUPS;
            for index in (group..self.scenario.balancers).step_by(RESTART_GROUPS as usize) {
                self.restart_balancer(index);
            }
            self.restarts += 1;
        }
    }

    fn restart_balancer(&mut self, index: u32) {
        let seed = u64::from(index + SEED_OFFSET_PER_RESTART * (self.restarts + 1));
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
        let has_even_id = request.id.0 % 2 == 0;
        let fails =
            self.scenario.disturbance == Disturbance::Failures && upstream == NEW_UPSTREAM && has_even_id;
        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
        match self.scenario.reports {
            NewUpstreamReports::None => balancer.end_attempt(request.id, 0, outcome),
            NewUpstreamReports::CapacityMultiple(_) => {
                let report = self.utilization.load_report(upstream);
                balancer.end_attempt_with_report(request.id, 0, outcome, &report);
            }
        }
    }

    fn send_request(&mut self, request_number: usize) {
        let position = request_number * 7919 % self.balancers.len();
        let balancer = &mut self.balancers[position];
        balancer.advance_to(self.now);
        if self.scenario.is_paused(self.now) {
            return;
        }
        let class = (request_number % 2) as u16;
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
        let are_warm_upstreams_slow =
            self.has_new_upstream && self.scenario.disturbance == Disturbance::RestartsWithSlowUpstreams;
        if are_warm_upstreams_slow && upstream != NEW_UPSTREAM { SLOW_LATENCY } else { LATENCY }
    }
}
