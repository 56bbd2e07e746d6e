//! An embedder that applies a generated history to a balancer and checks every action against the rules.

use crate::common::{EndpointBuilder, ms};
use crate::operation::{EndpointChange, Operation};
use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ZONE_COUNT: u64 = 2;
const CELL_COUNT: u64 = 4;
/// Time since the process start of an endpoint that has just started.
const AGE_WHEN_JUST_STARTED: Duration = Duration::from_millis(500);
/// Latency of every health check; arbitrary, because the balancer does not use it.
const HEALTH_CHECK_LATENCY: Duration = Duration::from_millis(1);

/// Attempt that the balancer asked the embedder to send.
#[derive(Debug)]
struct Attempt {
    upstream: UpstreamId,
    sent_at: Duration,
    times_out_at: Duration,
    is_in_flight: bool,
    /// Whether the attempt has ended without proof that the request was not executed.
    may_have_been_executed: bool,
}

impl Attempt {
    /// Returns whether the upstream may have executed the request or may still execute it.
    fn may_execute(&self) -> bool {
        self.is_in_flight || self.may_have_been_executed
    }
}

/// State of a request from the embedder's view.
#[derive(Debug)]
pub struct Request {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Time at which the client stops waiting.
    pub deadline: Duration,
    /// Time of the final response; `None` if there is none yet.
    pub finished_at: Option<Duration>,
    /// Whether the client has disconnected.
    pub is_disconnected: bool,
    attempts: Vec<Attempt>,
    /// Whether an attempt's response is being streamed to the client.
    is_streaming: bool,
}

impl Request {
    fn is_finished(&self) -> bool {
        self.finished_at.is_some() || self.is_disconnected
    }
}

/// Identifies an attempt in flight by its request and its index among the request's attempts.
#[derive(Clone, Copy)]
pub struct AttemptInFlight {
    id: RequestId,
    attempt: usize,
}

struct PendingTimer {
    due_at: Duration,
    timer: TimerId,
}

/// Embedder of two balancers that have the same settings and seed and get the same events. It checks that
/// both return the same actions and that the rules allow them.
pub struct CheckingEmbedder {
    /// Settings of both balancers.
    pub settings: Settings,
    /// Requests that were delivered so far.
    pub requests: BTreeMap<RequestId, Request>,
    balancer: Balancer,
    replica: Balancer,
    now: Duration,
    pending_timers: Vec<PendingTimer>,
    health_checks: Vec<UpstreamId>,
    /// Availability of each upstream in the current endpoint list.
    availability: BTreeMap<UpstreamId, Availability>,
    /// Upstreams that have ever been in the endpoint list.
    known_upstreams: BTreeSet<UpstreamId>,
}

impl CheckingEmbedder {
    /// Creates both balancers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = || Balancer::new(settings.clone(), seed).expect("the settings are valid");
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

    /// Applies one operation. A request that it sends gets the id `request_number`.
    pub fn apply(&mut self, operation: &Operation, request_number: u32) {
        match operation {
            Operation::SendRequest { class, tenant, time_left_ms, expected_work_ms } => {
                let class = usize::from(*class) % self.settings.classes.len();
                self.send_request(
                    request_number,
                    class,
                    TenantId(*tenant),
                    ms(*time_left_ms),
                    *expected_work_ms,
                );
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

    /// Advances the clock in steps of a millisecond. Times out attempts and fires timers when they are due.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += ms(1);
            self.time_out_attempts();
            self.fire_timers();
        }
    }

    /// Returns the attempts in flight, ordered by request and then by attempt.
    pub fn attempts_in_flight(&self) -> Vec<AttemptInFlight> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight {
                    in_flight.push(AttemptInFlight { id: *id, attempt: index });
                }
            }
        }
        in_flight
    }

    /// Ends an attempt with this outcome. Its load report contains this number of requests in flight.
    pub fn end_attempt(&mut self, in_flight: AttemptInFlight, outcome: Outcome, reported_in_flight: f32) {
        let now = self.now;
        let request = self.requests.get_mut(&in_flight.id).expect("the request was delivered");
        let attempt = &mut request.attempts[in_flight.attempt];
        attempt.is_in_flight = false;
        attempt.may_have_been_executed = !outcome.proves_not_executed();
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
            // A request whose response has started to stream has no deadline.
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
        request_number: u32,
        class: usize,
        tenant: TenantId,
        time_left: Duration,
        expected_work_ms: Option<f64>,
    ) {
        let id = RequestId(request_number);
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
            is_client_retry: request_number % 3 == 0,
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
        let Some(AttemptInFlight { id, attempt }) = pick_one(&candidates, pick) else { return };
        let request = self.requests.get_mut(&id).expect("the request was delivered");
        request.is_streaming = true;
        let latency = self.now - request.attempts[attempt].sent_at;
        self.deliver(Event::StreamStarted { id, attempt: AttemptIndex(attempt as u8), latency });
    }

    fn disconnect_client(&mut self, pick: usize) {
        let unfinished = self.requests.iter().filter(|(_, request)| !request.is_finished());
        let unfinished: Vec<RequestId> = unfinished.map(|(id, _)| *id).collect();
        let Some(id) = pick_one(&unfinished, pick) else { return };
        let request = self.requests.get_mut(&id).expect("the request was delivered");
        request.is_disconnected = true;
        request.is_streaming = false;
        self.deliver(Event::ClientDisconnected { id });
    }

    fn update_endpoints(&mut self, scope: UpdateScope, changes: &[EndpointChange]) {
        if scope == UpdateScope::Failed {
            self.deliver(Event::EndpointUpdate { scope, entries: &[] });
            return;
        }
        // If an endpoint occurs more than once, its last change applies.
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

    /// Returns the entry of an endpoint. Its zone and cell are derived from its id.
    fn endpoint(&self, change: &EndpointChange) -> EndpointEntry {
        let started_at = change.has_just_started.then_some(self.now.saturating_sub(AGE_WHEN_JUST_STARTED));
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
        assert_eq!(actions, replica_actions, "the same events caused different actions");
        for action in actions {
            self.check(action);
        }
    }

    /// Checks that the rules allow an action and records it. A cancelled attempt stays in flight until a
    /// later operation or its timeout ends it.
    fn check(&mut self, action: Action) {
        match action {
            Action::SetTimer { after, timer } => {
                self.pending_timers.push(PendingTimer { due_at: self.now + after, timer });
            }
            Action::CheckHealth { upstream } => {
                assert!(
                    self.settings.health_checks,
                    "requested a health check although the settings forbid it"
                );
                assert!(
                    self.known_upstreams.contains(&upstream),
                    "requested a health check of {upstream:?}, which was never listed"
                );
                self.health_checks.push(upstream);
            }
            Action::WatchEndpoints | Action::FetchEndpoints => {
                assert!(
                    self.settings.starts_watches,
                    "called discovery although the embedder watches the endpoint list"
                );
            }
            Action::Log { .. } | Action::CloseIdleConnections { .. } => {}
            Action::CancelAttempt { id, attempt } => {
                assert!(self.settings.cancellation, "cancelled an attempt although the settings forbid it");
                let attempt_count = self.requests[&id].attempts.len();
                assert!(usize::from(attempt.0) < attempt_count, "cancelled an attempt that was never sent");
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
        let request = self.requests.get_mut(&id).expect("the request was delivered");
        assert!(!request.is_finished(), "sent an attempt after the request was finished");
        assert!(!request.is_streaming, "sent an attempt after a response started to stream");
        let max_attempts = usize::from(self.settings.max_attempts);
        assert!(request.attempts.len() < max_attempts, "sent more attempts than the settings allow");
        let availability = self.availability.get(&upstream).copied();
        assert_eq!(
            availability,
            Some(Availability::Ready),
            "sent an attempt to {upstream:?}, which is not ready"
        );
        if !self.settings.hedging {
            assert!(
                request.attempts.iter().all(|earlier| !earlier.is_in_flight),
                "sent a hedged request although the settings forbid it"
            );
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
            may_have_been_executed: false,
        });
    }

    /// Checks that the client of a rejected request can safely send it again.
    fn check_rejection(&mut self, id: RequestId) {
        let request = self.finish(id);
        let may_execute = request.attempts.iter().any(Attempt::may_execute);
        let class = request.class;
        let is_safe = match self.settings.classes[class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => !may_execute,
            RetrySafety::Deduplicated { scope, .. } => scope == DeduplicationScope::All || !may_execute,
        };
        assert!(is_safe, "rejected a request that is not safe to send again");
    }

    /// Records the final response to a request and checks that it is the only one.
    fn finish(&mut self, id: RequestId) -> &Request {
        let request = self.requests.get_mut(&id).expect("the request was delivered");
        assert!(
            !request.is_disconnected && !request.is_streaming,
            "sent a final response to a disconnected client or during a stream"
        );
        assert_eq!(request.finished_at, None, "two final responses");
        request.finished_at = Some(self.now);
        request
    }
}

/// Checks that an attempt may be sent to `upstream` although an earlier attempt may have been executed.
fn check_retry_safety(retry_safety: RetrySafety, earlier: &Attempt, upstream: UpstreamId, now: Duration) {
    match retry_safety {
        RetrySafety::Idempotent => {}
        RetrySafety::AtMostOnce => panic!("retried a request that must not be executed twice"),
        RetrySafety::Deduplicated { scope, ttl } => {
            assert!(now <= earlier.sent_at + ttl, "sent an attempt after the idempotency key had expired");
            let shares_keys = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => zone_of(earlier.upstream) == zone_of(upstream),
                DeduplicationScope::Cell => cell_of(earlier.upstream) == cell_of(upstream),
            };
            assert!(
                shares_keys,
                "sent an attempt to {upstream:?}, which does not share the record of the idempotency key"
            );
        }
    }
}

fn zone_of(upstream: UpstreamId) -> ZoneId {
    ZoneId((upstream.0 % ZONE_COUNT) as u8)
}

fn cell_of(upstream: UpstreamId) -> CellId {
    CellId((upstream.0 % CELL_COUNT) as u16)
}

/// Returns the candidate that `pick` selects; `None` if there are no candidates.
fn pick_one<T: Copy>(candidates: &[T], pick: usize) -> Option<T> {
    candidates.get(pick % candidates.len().max(1)).copied()
}
