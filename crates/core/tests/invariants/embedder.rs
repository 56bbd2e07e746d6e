//! An embedder that plays a generated history and checks every action against the rules.

use crate::common::{EndpointBuilder, ms};
use crate::operation::{EndpointChange, Operation};
use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ZONES: u64 = 2;
const CELLS: u64 = 4;
/// How long ago the process of an endpoint started that has just started.
const JUST_STARTED: Duration = Duration::from_millis(500);
/// Any latency of a health check.
const HEALTH_CHECK_LATENCY: Duration = Duration::from_millis(1);

/// An attempt that the balancer had sent.
#[derive(Debug)]
struct Attempt {
    upstream: UpstreamId,
    sent_at: Duration,
    times_out_at: Duration,
    is_in_flight: bool,
    is_possibly_executed: bool,
}

impl Attempt {
    /// Whether the upstream may have executed the request, or may still do so.
    fn may_execute(&self) -> bool {
        self.is_in_flight || self.is_possibly_executed
    }
}

/// What happened to a request so far.
#[derive(Debug)]
pub struct Request {
    /// Position of its class in the settings.
    pub class: usize,
    /// How long its client waits.
    pub deadline: Duration,
    /// When it got its final response.
    pub finished_at: Option<Duration>,
    /// Its client has disconnected.
    pub is_disconnected: bool,
    attempts: Vec<Attempt>,
    is_streaming: bool,
}

impl Request {
    fn is_finished(&self) -> bool {
        self.finished_at.is_some() || self.is_disconnected
    }
}

/// An attempt in flight: the request, and the position of the attempt.
#[derive(Clone, Copy)]
pub struct InFlight {
    id: RequestId,
    attempt: usize,
}

struct PendingTimer {
    due_at: Duration,
    timer: TimerId,
}

/// Two balancers with the same settings and seed that get the same events, and what their embedder knows.
pub struct World {
    /// The settings of both balancers.
    pub settings: Settings,
    /// All requests so far.
    pub requests: BTreeMap<RequestId, Request>,
    balancer: Balancer,
    replica: Balancer,
    now: Duration,
    pending_timers: Vec<PendingTimer>,
    health_checks: Vec<UpstreamId>,
    availability: BTreeMap<UpstreamId, Availability>,
    known_upstreams: BTreeSet<UpstreamId>,
}

impl World {
    /// Starts both balancers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = || Balancer::new(settings.clone(), seed).expect("valid settings");
        Self {
            balancer: balancer(),
            replica: balancer(),
            settings,
            now: ms(5000),
            requests: BTreeMap::new(),
            pending_timers: Vec::new(),
            health_checks: Vec::new(),
            availability: BTreeMap::new(),
            known_upstreams: BTreeSet::new(),
        }
    }

    /// Plays one operation; a request that it sends gets the id `number`.
    pub fn play(&mut self, operation: &Operation, number: u32) {
        match operation {
            Operation::SendRequest { class, tenant, time_left_ms, expected_work_ms } => {
                let class = usize::from(*class) % self.settings.classes.len();
                self.send_request(number, class, TenantId(*tenant), ms(*time_left_ms), *expected_work_ms);
            }
            Operation::EndAttempt { pick, outcome, reported_in_flight } => {
                if let Some(in_flight) = pick_one(&self.attempts_in_flight(), *pick) {
                    self.end_attempt(in_flight, *outcome, *reported_in_flight);
                }
            }
            Operation::EndHealthCheck { pick, is_healthy, reported_in_flight } => {
                self.end_health_check(*pick, *is_healthy, *reported_in_flight);
            }
            Operation::StartStream { pick } => self.start_stream(*pick),
            Operation::DisconnectClient { pick } => self.disconnect_client(*pick),
            Operation::UpdateEndpoints { scope, changes } => self.update_endpoints(*scope, changes),
            Operation::Advance { milliseconds } => self.advance(*milliseconds),
        }
    }

    /// Advances the clock a millisecond at a time, and times out attempts and fires timers when they are due.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += ms(1);
            self.time_out_attempts();
            self.fire_timers();
        }
    }

    /// The attempts in flight, in the order of their requests.
    pub fn attempts_in_flight(&self) -> Vec<InFlight> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (position, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight {
                    in_flight.push(InFlight { id: *id, attempt: position });
                }
            }
        }
        in_flight
    }

    /// Ends an attempt with this outcome; its response reports this many requests in flight.
    pub fn end_attempt(&mut self, in_flight: InFlight, outcome: Outcome, reported_in_flight: f32) {
        let now = self.now;
        let request = self.requests.get_mut(&in_flight.id).expect("a request in flight");
        let attempt = &mut request.attempts[in_flight.attempt];
        attempt.is_in_flight = false;
        attempt.is_possibly_executed = !outcome.proves_not_executed();
        let upstream = attempt.upstream;
        let latency = now - attempt.sent_at;
        let is_final = outcome == Outcome::Ok || request.is_streaming;
        if !request.is_finished() && is_final {
            request.finished_at = Some(now);
            request.is_streaming = false;
        }
        let request_finished = request.is_finished();
        self.deliver(Event::AttemptEnded {
            id: in_flight.id,
            attempt: AttemptIndex(in_flight.attempt as u8),
            upstream,
            outcome,
            latency,
            request_finished,
            load_report: &[reported_in_flight],
        });
    }

    fn time_out_attempts(&mut self) {
        for in_flight in self.attempts_in_flight() {
            let request = &self.requests[&in_flight.id];
            let attempt = &request.attempts[in_flight.attempt];
            let is_due = attempt.is_in_flight && attempt.times_out_at <= self.now;
            // A response that has started to stream has no deadline.
            if is_due && !request.is_streaming {
                self.end_attempt(in_flight, Outcome::TimedOut, 0.0);
            }
        }
    }

    fn fire_timers(&mut self) {
        let pending = std::mem::take(&mut self.pending_timers);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|timer| timer.due_at <= self.now);
        self.pending_timers = later;
        for PendingTimer { timer, .. } in due {
            self.deliver(Event::TimerFired { timer });
        }
    }

    fn send_request(
        &mut self,
        number: u32,
        class: usize,
        tenant: TenantId,
        time_left: Duration,
        expected_work_ms: Option<f64>,
    ) {
        let id = RequestId(number);
        let request = Request {
            class,
            deadline: self.now + time_left,
            finished_at: None,
            is_disconnected: false,
            attempts: Vec::new(),
            is_streaming: false,
        };
        self.requests.insert(id, request);
        self.deliver(Event::RequestArrived {
            id,
            class: ClassId(class as u16),
            tenant,
            time_left,
            expected_work_ms,
            is_client_retry: number % 3 == 0,
        });
    }

    fn end_health_check(&mut self, pick: usize, is_healthy: bool, reported_in_flight: f32) {
        if self.health_checks.is_empty() {
            return;
        }
        let upstream = self.health_checks.remove(pick % self.health_checks.len());
        let outcome = if is_healthy { Outcome::Ok } else { Outcome::ConnectFailed };
        self.deliver(Event::HealthCheckEnded {
            upstream,
            outcome,
            latency: HEALTH_CHECK_LATENCY,
            load_report: &[reported_in_flight],
        });
    }

    fn start_stream(&mut self, pick: usize) {
        let mut candidates = self.attempts_in_flight();
        candidates.retain(|in_flight| {
            let request = &self.requests[&in_flight.id];
            let is_streamed = self.settings.classes[request.class].streamed;
            is_streamed && !request.is_finished() && !request.is_streaming
        });
        let Some(InFlight { id, attempt }) = pick_one(&candidates, pick) else { return };
        let request = self.requests.get_mut(&id).expect("a request in flight");
        request.is_streaming = true;
        let latency = self.now - request.attempts[attempt].sent_at;
        self.deliver(Event::StreamStarted { id, attempt: AttemptIndex(attempt as u8), latency });
    }

    fn disconnect_client(&mut self, pick: usize) {
        let unfinished = self.requests.iter().filter(|(_, request)| !request.is_finished());
        let unfinished: Vec<RequestId> = unfinished.map(|(id, _)| *id).collect();
        let Some(id) = pick_one(&unfinished, pick) else { return };
        let request = self.requests.get_mut(&id).expect("an unfinished request");
        request.is_disconnected = true;
        request.is_streaming = false;
        self.deliver(Event::ClientDisconnected { id });
    }

    fn update_endpoints(&mut self, scope: UpdateScope, changes: &[EndpointChange]) {
        if scope == UpdateScope::Failed {
            self.deliver(Event::EndpointUpdate { scope, entries: &[] });
            return;
        }
        // The last change of an endpoint counts.
        let mut entries = BTreeMap::new();
        for change in changes {
            entries.insert(change.id, self.endpoint(change));
        }
        if scope != UpdateScope::Delta {
            self.availability.clear();
        }
        for entry in entries.values() {
            self.availability.insert(entry.id, entry.availability);
            self.known_upstreams.insert(entry.id);
        }
        let entries: Vec<_> = entries.into_values().collect();
        self.deliver(Event::EndpointUpdate { scope, entries: &entries });
    }

    /// The entry of an endpoint, whose zone and cell follow from its id.
    fn endpoint(&self, change: &EndpointChange) -> EndpointEntry {
        let started_at = change.has_just_started.then_some(self.now.saturating_sub(JUST_STARTED));
        let upstream = UpstreamId(change.id);
        EndpointBuilder::new(change.id)
            .located_in(zone_of(upstream), cell_of(upstream))
            .availability(change.availability)
            .started_at(started_at)
            .build()
    }

    fn deliver(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event.clone(), &mut actions);
        let mut replica_actions = Vec::new();
        self.replica.handle(self.now, event, &mut replica_actions);
        assert_eq!(actions, replica_actions, "the same events cause the same actions");
        for action in actions {
            self.check(action);
        }
    }

    /// Checks that the rules allow an action, and carries it out.
    fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, timer } => {
                self.pending_timers.push(PendingTimer { due_at: self.now + after, timer });
            }
            Action::CheckHealth { upstream } => {
                assert!(self.settings.health_checks, "health checks are not allowed");
                assert!(self.known_upstreams.contains(&upstream), "{upstream:?} was never listed");
                self.health_checks.push(upstream);
            }
            Action::WatchEndpoints | Action::FetchEndpoints => {
                assert!(self.settings.starts_watches, "polls are not needed");
            }
            Action::Log { .. } | Action::CloseIdleConnections { .. } => {}
            Action::CancelAttempt { id, attempt } => {
                assert!(self.settings.cancellation, "cancelling is not allowed");
                let attempts = self.requests[&id].attempts.len();
                assert!(usize::from(attempt.0) < attempts, "cancels an attempt that was not sent");
            }
            Action::SendAttempt { id, upstream, timeout } => self.check_attempt(id, upstream, timeout),
            Action::Reject { id, .. } => self.check_rejection(id),
            Action::Fail { id } => {
                self.finish(id);
            }
        }
    }

    fn check_attempt(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("a request that was delivered");
        assert!(!request.is_finished(), "an attempt after the final response or the disconnect");
        assert!(!request.is_streaming, "an attempt beside a stream");
        let max_attempts = usize::from(self.settings.max_attempts);
        assert!(request.attempts.len() < max_attempts, "too many attempts");
        let availability = self.availability.get(&upstream).copied();
        assert_eq!(availability, Some(Availability::Ready), "{upstream:?} takes no requests");
        if !self.settings.hedging {
            assert!(request.attempts.iter().all(|earlier| !earlier.is_in_flight), "hedging is not allowed");
        }
        let retry_safety = self.settings.classes[request.class].retry_safety;
        for earlier in request.attempts.iter().filter(|earlier| earlier.may_execute()) {
            check_retry_safety(retry_safety, earlier, upstream, now);
        }
        let times_out_at = timeout.map_or(request.deadline, |timeout| request.deadline.min(now + timeout));
        request.attempts.push(Attempt {
            upstream,
            sent_at: now,
            times_out_at,
            is_in_flight: true,
            is_possibly_executed: false,
        });
    }

    /// A rejection promises that the client may send the request again.
    fn check_rejection(&mut self, id: RequestId) {
        let request = self.finish(id);
        let may_execute = request.attempts.iter().any(Attempt::may_execute);
        let class = request.class;
        let is_safe = match self.settings.classes[class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => !may_execute,
            RetrySafety::Deduplicated { scope, .. } => scope == DeduplicationScope::All || !may_execute,
        };
        assert!(is_safe, "rejects a request that may have been executed");
    }

    /// Notes the final response of a request.
    fn finish(&mut self, id: RequestId) -> &Request {
        let request = self.requests.get_mut(&id).expect("a request that was delivered");
        assert!(!request.is_disconnected && !request.is_streaming, "a response to a disconnect or a stream");
        assert_eq!(request.finished_at, None, "two final responses");
        request.finished_at = Some(self.now);
        request
    }
}

/// Checks that an attempt at `upstream` may follow an earlier one that may have been executed.
fn check_retry_safety(retry_safety: RetrySafety, earlier: &Attempt, upstream: UpstreamId, now: Duration) {
    match retry_safety {
        RetrySafety::Idempotent => {}
        RetrySafety::AtMostOnce => panic!("the request may be executed twice"),
        RetrySafety::Deduplicated { scope, ttl } => {
            assert!(now <= earlier.sent_at + ttl, "the idempotency key has expired");
            let shares_keys = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => zone_of(earlier.upstream) == zone_of(upstream),
                DeduplicationScope::Cell => cell_of(earlier.upstream) == cell_of(upstream),
            };
            assert!(shares_keys, "{upstream:?} does not share the record of idempotency keys");
        }
    }
}

fn zone_of(upstream: UpstreamId) -> ZoneId {
    ZoneId((upstream.0 % ZONES) as u8)
}

fn cell_of(upstream: UpstreamId) -> CellId {
    CellId((upstream.0 % CELLS) as u16)
}

/// The element that `pick` chooses, if there is any.
fn pick_one<T: Copy>(candidates: &[T], pick: usize) -> Option<T> {
    candidates.get(pick % candidates.len().max(1)).copied()
}
