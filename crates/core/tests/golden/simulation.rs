//! A simulation of one balancer with its clients, upstreams and endpoint list. All events, including faults
//! of upstreams, are generated from a seed.

use crate::action_hash::ActionHash;
use crate::generator::RandomGenerator;
use crate::scenario::Scenario;
use balancer_core::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Mean time between two changes of the endpoint list or of the upstreams' conditions.
const MEAN_CHANGE_INTERVAL: Duration = Duration::from_millis(120);
/// Time after which an attempt without a response ends at the latest. Also the deadline of requests of an
/// unknown class.
const MAX_ATTEMPT_DURATION: Duration = Duration::from_secs(3);

/// Way in which an upstream handles the requests that it gets.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Hanging,
    Erring,
    Rejecting,
    Resetting,
    Unreachable,
}

/// Upstream with its entry in the endpoint list and its condition.
struct SimulatedUpstream {
    entry: EndpointEntry,
    condition: Condition,
}

/// Event that is due at a later time.
enum ScheduledEvent {
    RequestArrives,
    UpstreamsChange,
    DiscoveryResponseArrives,
    TimerFires(TimerId),
    AttemptEnds { id: RequestId, attempt: u8, outcome: Outcome },
    StreamStarts { id: RequestId, attempt: u8 },
    ClientDisconnects { id: RequestId },
    HealthCheckEnds { upstream: UpstreamId },
}

struct SentAttempt {
    upstream: UpstreamId,
    sent_at: Duration,
    is_in_flight: bool,
}

#[derive(Default)]
struct SentRequest {
    attempts: Vec<SentAttempt>,
    /// Whether the request has its final response or its client has disconnected.
    is_finished: bool,
}

/// A balancer with simulated clients, upstreams and endpoint list.
pub struct Simulation {
    scenario: Scenario,
    random: RandomGenerator,
    /// Balancer under test.
    pub balancer: Balancer,
    /// Hash over all actions that the balancer has returned.
    pub action_hash: ActionHash,
    now: Duration,
    /// Scheduled events by sequence number.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    /// Due time and sequence number of each scheduled event, the earliest first.
    due_times: BinaryHeap<Reverse<(Duration, u64)>>,
    last_sequence_number: u64,
    upstreams: BTreeMap<UpstreamId, SimulatedUpstream>,
    /// Number that the id of the next new upstream is derived from.
    next_upstream_number: u64,
    requests: BTreeMap<RequestId, SentRequest>,
    next_request_id: u32,
    /// Number of times that each outcome, rejection reason and kind of action has occurred.
    pub occurrences: BTreeMap<&'static str, usize>,
}

impl Simulation {
    /// Creates a simulation at its start. Its events and the balancer's decisions derive from `seed`.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let balancer = Balancer::new(scenario.settings.clone(), seed).expect("the settings are valid");
        let mut simulation = Self {
            random: RandomGenerator(seed),
            balancer,
            action_hash: ActionHash(0xcbf2_9ce4_8422_2325),
            now: Duration::from_secs(3600),
            scheduled: BTreeMap::new(),
            due_times: BinaryHeap::new(),
            last_sequence_number: 0,
            upstreams: BTreeMap::new(),
            next_upstream_number: 1,
            requests: BTreeMap::new(),
            next_request_id: 1,
            occurrences: BTreeMap::new(),
            scenario,
        };
        for _ in 0..simulation.scenario.upstreams {
            simulation.add_upstream(false);
        }
        let endpoints = simulation.endpoint_list();
        simulation.deliver(Event::EndpointUpdate { scope: UpdateScope::Cached, entries: &endpoints });
        simulation.schedule(Duration::ZERO, ScheduledEvent::RequestArrives);
        simulation.schedule(MEAN_CHANGE_INTERVAL, ScheduledEvent::UpstreamsChange);
        simulation
    }

    fn schedule(&mut self, after: Duration, event: ScheduledEvent) {
        self.last_sequence_number += 1;
        self.scheduled.insert(self.last_sequence_number, event);
        self.due_times.push(Reverse((self.now + after, self.last_sequence_number)));
    }

    fn endpoint_list(&self) -> Vec<EndpointEntry> {
        self.upstreams.values().map(|upstream| upstream.entry.clone()).collect()
    }

    /// Adds a healthy, ready upstream and returns its id. Its process starts now or at an unknown time.
    fn add_upstream(&mut self, starts_now: bool) -> UpstreamId {
        let id = UpstreamId(self.next_upstream_number * 7919);
        self.next_upstream_number += 1;
        let zone = ZoneId(self.random.below(3) as u8);
        let cell = CellId(self.random.below(5) as u16);
        let weight = [0.5, 1.0, 1.0, 2.0, 0.0, f64::NAN][self.random.below(6) as usize];
        let started_at = starts_now.then_some(self.now);
        let availability = Availability::Ready;
        let entry = EndpointEntry {
            id,
            zone,
            hardware: HardwareId(0),
            cell,
            availability,
            weight,
            process_start: started_at.map_or(ProcessStart::Unknown, ProcessStart::At),
        };
        self.upstreams.insert(id, SimulatedUpstream { entry, condition: Condition::Healthy });
        id
    }

    /// Returns a random upstream; `None`, without drawing a random number, if there are no upstreams.
    fn random_upstream(&mut self) -> Option<UpstreamId> {
        let count = self.upstreams.len() as u64;
        let index = (count > 0).then(|| self.random.below(count) as usize)?;
        self.upstreams.keys().nth(index).copied()
    }

    /// Delivers one event to the balancer, adds its actions to the hash and carries them out.
    fn deliver(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.action_hash.add_number(actions.len() as u64);
        for action in &actions {
            self.action_hash.add_action(action);
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn count_occurrence(&mut self, kind: &'static str) {
        *self.occurrences.entry(kind).or_default() += 1;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => self.start_attempt(id, upstream, timeout),
            Action::CancelAttempt { id, attempt } => {
                self.count_occurrence("cancel");
                let outcome = Outcome::Cancelled;
                self.schedule(
                    Duration::ZERO,
                    ScheduledEvent::AttemptEnds { id, attempt: attempt.0, outcome },
                );
            }
            Action::Reject { id, reason, .. } => {
                self.count_occurrence(match reason {
                    RejectionReason::OverQuota => "over quota",
                    RejectionReason::NoUpstream => "no upstream",
                    RejectionReason::NoRetry => "no retry",
                });
                self.requests.entry(id).or_default().is_finished = true;
            }
            Action::Fail { id } => {
                self.count_occurrence("fail");
                self.requests.entry(id).or_default().is_finished = true;
            }
            Action::SetTimer { after, timer } => self.schedule(after, ScheduledEvent::TimerFires(timer)),
            Action::CloseIdleConnections { .. } => self.count_occurrence("close idle connections"),
            Action::CheckHealth { upstream } => {
                self.schedule(Duration::from_millis(5), ScheduledEvent::HealthCheckEnds { upstream });
            }
            Action::WatchEndpoints => {
                self.count_occurrence("watch");
                self.schedule(Duration::from_millis(30), ScheduledEvent::DiscoveryResponseArrives);
            }
            Action::FetchEndpoints | Action::Log { .. } => {}
        }
    }

    /// Sends an attempt and schedules its end, with an outcome that depends on the upstream's condition.
    fn start_attempt(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let request = self.requests.entry(id).or_default();
        let attempt = request.attempts.len() as u8;
        request.attempts.push(SentAttempt { upstream, sent_at: self.now, is_in_flight: true });
        if attempt > 0 {
            self.count_occurrence("retry or hedge");
        }
        let ms = Duration::from_millis;
        let condition =
            self.upstreams.get(&upstream).map_or(Condition::Unreachable, |upstream| upstream.condition);
        let (mean_latency, outcome) = match condition {
            Condition::Healthy if self.random.bool_with_percent(2) => (ms(5), Outcome::Reset),
            Condition::Healthy if self.random.bool_with_percent(1) => (ms(1), Outcome::NotSent),
            Condition::Healthy => (ms(45), Outcome::Ok),
            Condition::Slow => (ms(350), Outcome::Ok),
            Condition::Hanging => (MAX_ATTEMPT_DURATION, Outcome::TimedOut),
            Condition::Erring => (ms(10), Outcome::Error),
            Condition::Rejecting => (ms(3), Outcome::Rejected),
            Condition::Resetting => (ms(20), Outcome::Reset),
            Condition::Unreachable => (ms(2), Outcome::ConnectFailed),
        };
        let latency = if condition == Condition::Hanging {
            mean_latency
        } else {
            self.random.duration_with_mean(mean_latency)
        };
        let max_latency = timeout.unwrap_or(MAX_ATTEMPT_DURATION);
        let (latency, outcome) =
            if latency < max_latency { (latency, outcome) } else { (max_latency, Outcome::TimedOut) };
        self.schedule(latency, ScheduledEvent::AttemptEnds { id, attempt, outcome });
        if outcome == Outcome::Ok && self.random.bool_with_percent(10) {
            self.schedule(latency / 2, ScheduledEvent::StreamStarts { id, attempt });
        }
    }

    /// Advances the clock to the next scheduled event and processes it.
    pub fn step(&mut self) {
        let Reverse((due_at, sequence_number)) =
            self.due_times.pop().expect("the next arrival is always scheduled");
        self.now = due_at;
        match self.scheduled.remove(&sequence_number).expect("each event is scheduled once") {
            ScheduledEvent::RequestArrives => self.deliver_request(),
            ScheduledEvent::UpstreamsChange => self.change_upstreams(),
            ScheduledEvent::DiscoveryResponseArrives => self.deliver_discovery_response(),
            ScheduledEvent::TimerFires(timer) => self.deliver(Event::TimerFired { timer }),
            ScheduledEvent::AttemptEnds { id, attempt, outcome } => self.end_attempt(id, attempt, outcome),
            ScheduledEvent::StreamStarts { id, attempt } => {
                let sent_at_if_in_flight = |sent: &SentAttempt| sent.is_in_flight.then_some(sent.sent_at);
                let sent_at = self.requests.get(&id).and_then(|request| {
                    request.attempts.get(usize::from(attempt)).and_then(sent_at_if_in_flight)
                });
                if let Some(sent_at) = sent_at {
                    let latency = self.now - sent_at;
                    self.deliver(Event::StreamStarted { id, attempt: AttemptIndex(attempt), latency });
                }
            }
            ScheduledEvent::ClientDisconnects { id } => {
                if self.requests.get_mut(&id).is_some_and(|r| !std::mem::replace(&mut r.is_finished, true)) {
                    self.deliver(Event::ClientDisconnected { id });
                }
            }
            ScheduledEvent::HealthCheckEnds { upstream } => {
                let report = self.random_load_report();
                let (outcome, latency) = (Outcome::Ok, Duration::from_millis(5));
                self.deliver(Event::HealthCheckEnded { upstream, outcome, latency, load_report: &report });
            }
        }
    }

    /// Delivers a new request and schedules the next one.
    fn deliver_request(&mut self) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let class_count = self.scenario.settings.classes.len() as u64;
        // Some requests have a class or a tenant that the settings do not contain.
        let unknown_classes = u64::from(self.random.bool_with_percent(1));
        let class = ClassId(self.random.below(class_count + unknown_classes) as u16);
        let tenant = TenantId(self.random.below(6) as u32);
        let deadline = self
            .scenario
            .settings
            .classes
            .get(usize::from(class.0))
            .map_or(MAX_ATTEMPT_DURATION, |class| class.deadline);
        let time_left = deadline.mul_f64(0.25 * (1 + self.random.below(4)) as f64);
        let expected_work_ms = self.random.bool_with_percent(30).then_some(12.5);
        let is_client_retry = self.random.bool_with_percent(5);
        self.requests.entry(id).or_default();
        self.deliver(Event::RequestArrived {
            id,
            class,
            tenant,
            time_left,
            expected_work_ms,
            is_client_retry,
        });
        if self.random.bool_with_percent(4) {
            self.schedule(Duration::from_millis(60), ScheduledEvent::ClientDisconnects { id });
        }
        // Bursts of 5 s alternate with 10 s of normal load.
        let is_burst = (self.now.as_secs() / 5) % 3 == 0;
        let mean_interval = self.scenario.mean_request_interval / if is_burst { 3 } else { 1 };
        let interval = self.random.duration_with_mean(mean_interval);
        self.schedule(interval, ScheduledEvent::RequestArrives);
    }

    /// Returns a random load report, which may be empty or contain a NaN.
    fn random_load_report(&mut self) -> Vec<f32> {
        if self.scenario.settings.load_report_fields.is_empty() || self.random.bool_with_percent(20) {
            return Vec::new();
        }
        let in_flight = self.random.below(12) as f32;
        let utilization = 0.1 * self.random.below(11) as f32;
        let other = if self.random.bool_with_percent(5) { f32::NAN } else { 1.0 };
        vec![in_flight, utilization, other]
    }

    /// Ends an attempt with this outcome; does nothing if it has already ended.
    fn end_attempt(&mut self, id: RequestId, attempt: u8, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(sent) = request.attempts.get_mut(usize::from(attempt)).filter(|sent| sent.is_in_flight)
        else {
            return;
        };
        sent.is_in_flight = false;
        let upstream = sent.upstream;
        let latency = self.now - sent.sent_at;
        request.is_finished |= outcome == Outcome::Ok;
        let finished = request.is_finished;
        let report = self.random_load_report();
        let attempt = AttemptIndex(attempt);
        self.count_occurrence(match outcome {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::Rejected => "rejected",
            Outcome::TimedOut => "timed out",
            Outcome::ConnectFailed => "connect failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
        });
        self.deliver(Event::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            request_finished: finished,
            load_report: &report,
        });
    }

    /// Changes the condition of some upstreams, or delivers an update of the endpoint list: a failed one, a
    /// snapshot, or a new, removed, draining or restarted upstream. Schedules the next change.
    fn change_upstreams(&mut self) {
        match self.random.below(12) {
            0 => self.deliver(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] }),
            1 => self.deliver_discovery_response(),
            2 => {
                // The snapshot no longer contains the removed upstream, but a new one.
                if let Some(removed) = self.random_upstream() {
                    self.upstreams.remove(&removed);
                }
                self.add_upstream(true);
                let endpoints = self.endpoint_list();
                self.deliver(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &endpoints });
            }
            3 => self.change_availability(Availability::Removed),
            4 => self.change_availability(Availability::Draining),
            5 | 6 => {
                let id = self.add_upstream(true);
                self.deliver_entry(id);
            }
            7 => self.restart_upstream(),
            _ => self.change_conditions(),
        }
        let interval = self.random.duration_with_mean(MEAN_CHANGE_INTERVAL);
        self.schedule(interval, ScheduledEvent::UpstreamsChange);
    }

    /// Delivers a response from discovery, which is a snapshot of the endpoint list or a failure.
    fn deliver_discovery_response(&mut self) {
        if self.random.bool_with_percent(30) {
            self.deliver(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] });
            return;
        }
        let endpoints = self.endpoint_list();
        self.deliver(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &endpoints });
    }

    /// Delivers the current entry of one upstream as an update of the endpoint list.
    fn deliver_entry(&mut self, id: UpstreamId) {
        let entry = self.upstreams[&id].entry.clone();
        self.deliver(Event::EndpointUpdate { scope: UpdateScope::Delta, entries: &[entry] });
    }

    /// Changes the availability of a random upstream and delivers its entry.
    fn change_availability(&mut self, availability: Availability) {
        let Some(id) = self.random_upstream() else { return };
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.entry.availability = availability;
        }
        self.deliver_entry(id);
        if availability == Availability::Removed {
            self.upstreams.remove(&id);
        }
    }

    /// Restarts a random upstream, which is then ready and healthy, and delivers its entry.
    fn restart_upstream(&mut self) {
        let Some(id) = self.random_upstream() else { return };
        let now = self.now;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.entry.process_start = ProcessStart::At(now);
            upstream.entry.availability = Availability::Ready;
            upstream.condition = Condition::Healthy;
        }
        self.deliver_entry(id);
    }

    /// Returns whether the scenario makes an upstream unreachable. Draws no random number if the scenario
    /// makes none unreachable.
    fn is_unreachable_by_scenario(&mut self) -> bool {
        let percent = self.scenario.unreachable_percent;
        percent > 0 && self.random.bool_with_percent(percent)
    }

    /// Changes the condition of about one in twelve upstreams, but of at least one.
    fn change_conditions(&mut self) {
        let change_count = 1 + self.upstreams.len() / 12;
        for _ in 0..change_count {
            let condition = match self.random.below(14) {
                _ if self.is_unreachable_by_scenario() => Condition::Unreachable,
                0 => Condition::Slow,
                1 => Condition::Hanging,
                2 => Condition::Erring,
                3 => Condition::Rejecting,
                4 => Condition::Resetting,
                5 => Condition::Unreachable,
                _ => Condition::Healthy,
            };
            if let Some(id) = self.random_upstream()
                && let Some(upstream) = self.upstreams.get_mut(&id)
            {
                upstream.condition = condition;
            }
        }
    }
}
