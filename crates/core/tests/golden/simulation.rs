//! Everything around one balancer, generated from a seed: clients, upstreams and their faults, and the list
//! of them.

use crate::action_hash::ActionHash;
use crate::generator::Generator;
use crate::scenario::Scenario;
use balancer_core::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Time between two changes of the list of upstreams or of the condition of one of them.
const MEAN_CHANGE_GAP: Duration = Duration::from_millis(120);
/// Time after which an attempt that has no answer ends at the latest.
const LONGEST_ATTEMPT: Duration = Duration::from_secs(3);

/// What an upstream does with the requests that it gets.
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

/// An upstream, as it is listed and as it behaves.
struct SimulatedUpstream {
    entry: EndpointEntry,
    condition: Condition,
}

/// An event that is planned.
enum Pending {
    Arrival,
    Change,
    PollResponse,
    Timer(TimerId),
    AttemptEnds { id: RequestId, attempt: u8, outcome: Outcome },
    StreamStarts { id: RequestId, attempt: u8 },
    ClientLeaves { id: RequestId },
    HealthCheckEnds { upstream: UpstreamId },
}

struct SentAttempt {
    upstream: UpstreamId,
    sent: Duration,
    in_flight: bool,
}

#[derive(Default)]
struct SentRequest {
    attempts: Vec<SentAttempt>,
    answered: bool,
}

/// Everything around one balancer, generated from a seed.
pub struct World {
    scenario: Scenario,
    generator: Generator,
    pub balancer: Balancer,
    pub hash: ActionHash,
    now: Duration,
    pending: BTreeMap<u64, Pending>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    sequence: u64,
    upstreams: BTreeMap<UpstreamId, SimulatedUpstream>,
    next_upstream: u64,
    requests: BTreeMap<RequestId, SentRequest>,
    next_request: u32,
    /// How often each kind of action was seen, and each outcome.
    pub seen: BTreeMap<&'static str, usize>,
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let balancer = Balancer::new(scenario.settings.clone(), seed).expect("valid settings");
        let mut world = Self {
            generator: Generator(seed),
            balancer,
            hash: ActionHash(0xcbf2_9ce4_8422_2325),
            now: Duration::from_secs(3600),
            pending: BTreeMap::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            upstreams: BTreeMap::new(),
            next_upstream: 1,
            requests: BTreeMap::new(),
            next_request: 1,
            seen: BTreeMap::new(),
            scenario,
        };
        for _ in 0..world.scenario.upstreams {
            world.add_upstream(false);
        }
        let known = world.list();
        world.deliver(Event::EndpointUpdate { scope: UpdateScope::Cached, entries: &known });
        world.schedule(Duration::ZERO, Pending::Arrival);
        world.schedule(MEAN_CHANGE_GAP, Pending::Change);
        world
    }

    fn schedule(&mut self, after: Duration, pending: Pending) {
        self.sequence += 1;
        self.pending.insert(self.sequence, pending);
        self.due.push(Reverse((self.now + after, self.sequence)));
    }

    fn list(&self) -> Vec<EndpointEntry> {
        self.upstreams.values().map(|upstream| upstream.entry.clone()).collect()
    }

    fn add_upstream(&mut self, starts_now: bool) -> UpstreamId {
        let id = UpstreamId(self.next_upstream * 7919);
        self.next_upstream += 1;
        let zone = ZoneId(self.generator.below(3) as u8);
        let cell = CellId(self.generator.below(5) as u16);
        let weight = [0.5, 1.0, 1.0, 2.0, 0.0, f64::NAN][self.generator.below(6) as usize];
        let started = starts_now.then_some(self.now);
        let availability = Availability::Ready;
        let entry = EndpointEntry {
            id,
            zone,
            hardware: HardwareId(0),
            cell,
            availability,
            weight,
            process_start: started.map_or(ProcessStart::Unknown, ProcessStart::At),
        };
        self.upstreams.insert(id, SimulatedUpstream { entry, condition: Condition::Healthy });
        id
    }

    fn any_upstream(&mut self) -> Option<UpstreamId> {
        let count = self.upstreams.len() as u64;
        let position = (count > 0).then(|| self.generator.below(count) as usize)?;
        self.upstreams.keys().nth(position).copied()
    }

    /// Tells the balancer one event, takes its actions into the hash and plans what follows from them.
    fn deliver(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.hash.number(actions.len() as u64);
        for action in &actions {
            self.hash.action(action);
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => self.attempt(id, upstream, timeout),
            Action::CancelAttempt { id, attempt } => {
                self.count("cancel");
                let outcome = Outcome::Cancelled;
                self.schedule(Duration::ZERO, Pending::AttemptEnds { id, attempt: attempt.0, outcome });
            }
            Action::Reject { id, reason, .. } => {
                self.count(match reason {
                    RejectionReason::OverQuota => "over quota",
                    RejectionReason::NoUpstream => "no upstream",
                    RejectionReason::NoRetry => "no retry",
                });
                self.requests.entry(id).or_default().answered = true;
            }
            Action::Fail { id } => {
                self.count("fail");
                self.requests.entry(id).or_default().answered = true;
            }
            Action::SetTimer { after, timer } => self.schedule(after, Pending::Timer(timer)),
            Action::CloseIdleConnections { .. } => self.count("close idle"),
            Action::CheckHealth { upstream } => {
                self.schedule(Duration::from_millis(5), Pending::HealthCheckEnds { upstream });
            }
            Action::WatchEndpoints => {
                self.count("watch");
                self.schedule(Duration::from_millis(30), Pending::PollResponse);
            }
            Action::FetchEndpoints | Action::Log { .. } => {}
        }
    }

    fn attempt(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let request = self.requests.entry(id).or_default();
        let attempt = request.attempts.len() as u8;
        request.attempts.push(SentAttempt { upstream, sent: self.now, in_flight: true });
        if attempt > 0 {
            self.count("retry or hedge");
        }
        let ms = Duration::from_millis;
        let condition =
            self.upstreams.get(&upstream).map_or(Condition::Unreachable, |upstream| upstream.condition);
        let (mean, outcome) = match condition {
            Condition::Healthy if self.generator.percent(2) => (ms(5), Outcome::Reset),
            Condition::Healthy if self.generator.percent(1) => (ms(1), Outcome::NotSent),
            Condition::Healthy => (ms(45), Outcome::Ok),
            Condition::Slow => (ms(350), Outcome::Ok),
            Condition::Hanging => (LONGEST_ATTEMPT, Outcome::TimedOut),
            Condition::Erring => (ms(10), Outcome::Error),
            Condition::Rejecting => (ms(3), Outcome::Rejected),
            Condition::Resetting => (ms(20), Outcome::Reset),
            Condition::Unreachable => (ms(2), Outcome::ConnectFailed),
        };
        let after = if condition == Condition::Hanging { mean } else { self.generator.around(mean) };
        let limit = timeout.unwrap_or(LONGEST_ATTEMPT);
        let (after, outcome) = if after < limit { (after, outcome) } else { (limit, Outcome::TimedOut) };
        self.schedule(after, Pending::AttemptEnds { id, attempt, outcome });
        if outcome == Outcome::Ok && self.generator.percent(10) {
            self.schedule(after / 2, Pending::StreamStarts { id, attempt });
        }
    }

    /// Plays the next event that is due.
    pub fn step(&mut self) {
        let Reverse((due, sequence)) = self.due.pop().expect("arrivals never end");
        self.now = due;
        match self.pending.remove(&sequence).expect("planned once") {
            Pending::Arrival => self.arrival(),
            Pending::Change => self.change(),
            Pending::PollResponse => self.deliver_poll_response(),
            Pending::Timer(timer) => self.deliver(Event::TimerFired { timer }),
            Pending::AttemptEnds { id, attempt, outcome } => self.attempt_ends(id, attempt, outcome),
            Pending::StreamStarts { id, attempt } => {
                let out = |a: &SentAttempt| a.in_flight.then_some(a.sent);
                let sent =
                    self.requests.get(&id).and_then(|r| r.attempts.get(usize::from(attempt)).and_then(out));
                if let Some(sent) = sent {
                    let latency = self.now - sent;
                    self.deliver(Event::StreamStarted { id, attempt: AttemptIndex(attempt), latency });
                }
            }
            Pending::ClientLeaves { id } => {
                if self.requests.get_mut(&id).is_some_and(|r| !std::mem::replace(&mut r.answered, true)) {
                    self.deliver(Event::ClientDisconnected { id });
                }
            }
            Pending::HealthCheckEnds { upstream } => {
                let report = self.report();
                let (outcome, latency) = (Outcome::Ok, Duration::from_millis(5));
                self.deliver(Event::HealthCheckEnded { upstream, outcome, latency, load_report: &report });
            }
        }
    }

    fn arrival(&mut self) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let classes = self.scenario.settings.classes.len() as u64;
        // Sometimes a class or a tenant that the settings do not name.
        let unknown = u64::from(self.generator.percent(1));
        let class = ClassId(self.generator.below(classes + unknown) as u16);
        let tenant = TenantId(self.generator.below(6) as u32);
        let deadline =
            self.scenario.settings.classes.get(usize::from(class.0)).map_or(LONGEST_ATTEMPT, |c| c.deadline);
        let time_left = deadline.mul_f64(0.25 * (1 + self.generator.below(4)) as f64);
        let expected_work_ms = self.generator.percent(30).then_some(12.5);
        let is_client_retry = self.generator.percent(5);
        self.requests.entry(id).or_default();
        self.deliver(Event::RequestArrived {
            id,
            class,
            tenant,
            time_left,
            expected_work_ms,
            is_client_retry,
        });
        if self.generator.percent(4) {
            self.schedule(Duration::from_millis(60), Pending::ClientLeaves { id });
        }
        // Quiet stretches and bursts take turns.
        let burst = (self.now.as_secs() / 5) % 3 == 0;
        let gap = self.scenario.request_gap / if burst { 3 } else { 1 };
        let gap = self.generator.around(gap);
        self.schedule(gap, Pending::Arrival);
    }

    fn report(&mut self) -> Vec<f32> {
        if self.scenario.settings.load_report_fields.is_empty() || self.generator.percent(20) {
            return Vec::new();
        }
        let held = self.generator.below(12) as f32;
        let utilization = 0.1 * self.generator.below(11) as f32;
        let rest = if self.generator.percent(5) { f32::NAN } else { 1.0 };
        vec![held, utilization, rest]
    }

    fn attempt_ends(&mut self, id: RequestId, attempt: u8, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(sent) = request.attempts.get_mut(usize::from(attempt)).filter(|a| a.in_flight) else {
            return;
        };
        sent.in_flight = false;
        let upstream = sent.upstream;
        let latency = self.now - sent.sent;
        request.answered |= outcome == Outcome::Ok;
        let finished = request.answered;
        let report = self.report();
        let attempt = AttemptIndex(attempt);
        self.count(match outcome {
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

    /// Changes the list of upstreams, or the condition of some of them.
    fn change(&mut self) {
        match self.generator.below(12) {
            0 => self.deliver(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] }),
            1 => self.deliver_poll_response(),
            2 => {
                // A whole list that leaves out what has gone, and names newcomers.
                if let Some(gone) = self.any_upstream() {
                    self.upstreams.remove(&gone);
                }
                self.add_upstream(true);
                let list = self.list();
                self.deliver(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &list });
            }
            3 => self.relist(Availability::Removed),
            4 => self.relist(Availability::Draining),
            5 | 6 => {
                let id = self.add_upstream(true);
                self.deliver_entry(id);
            }
            7 => self.restart(),
            _ => self.change_conditions(),
        }
        let gap = self.generator.around(MEAN_CHANGE_GAP);
        self.schedule(gap, Pending::Change);
    }

    /// The answer to a call for the list: most often the whole of it, sometimes a failure.
    fn deliver_poll_response(&mut self) {
        if self.generator.percent(30) {
            self.deliver(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] });
            return;
        }
        let list = self.list();
        self.deliver(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &list });
    }

    fn deliver_entry(&mut self, id: UpstreamId) {
        let entry = self.upstreams[&id].entry.clone();
        self.deliver(Event::EndpointUpdate { scope: UpdateScope::Delta, entries: &[entry] });
    }

    fn relist(&mut self, availability: Availability) {
        let Some(id) = self.any_upstream() else { return };
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.entry.availability = availability;
        }
        self.deliver_entry(id);
        if availability == Availability::Removed {
            self.upstreams.remove(&id);
        }
    }

    fn restart(&mut self) {
        let Some(id) = self.any_upstream() else { return };
        let now = self.now;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.entry.process_start = ProcessStart::At(now);
            upstream.entry.availability = Availability::Ready;
            upstream.condition = Condition::Healthy;
        }
        self.deliver_entry(id);
    }

    /// Draws no number where the scenario has no outage.
    fn is_unreachable_by_scenario(&mut self) -> bool {
        let percent = self.scenario.unreachable_percent;
        percent > 0 && self.generator.percent(percent)
    }

    fn change_conditions(&mut self) {
        let changed = 1 + self.upstreams.len() / 12;
        for _ in 0..changed {
            let condition = match self.generator.below(14) {
                _ if self.is_unreachable_by_scenario() => Condition::Unreachable,
                0 => Condition::Slow,
                1 => Condition::Hanging,
                2 => Condition::Erring,
                3 => Condition::Rejecting,
                4 => Condition::Resetting,
                5 => Condition::Unreachable,
                _ => Condition::Healthy,
            };
            if let Some(id) = self.any_upstream()
                && let Some(upstream) = self.upstreams.get_mut(&id)
            {
                upstream.condition = condition;
            }
        }
    }
}
