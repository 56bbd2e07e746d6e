//! An embedder for tests: it keeps the time, fires timers and records what the balancer did for each request.

use super::ms;
use balancer_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of a balancer where a test needs no particular one.
const DEFAULT_SEED: u64 = 7;

/// The one final response that a client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// An upstream served the request.
    Served,
    /// The balancer rejected the request: it was not executed, or executing it again is harmless.
    Rejected,
    /// The request failed and may have been executed.
    Failed,
}

/// An attempt that the balancer asked the harness to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// The upstream it went to.
    pub upstream: UpstreamId,
    /// When it was sent.
    pub sent_at: Duration,
}

struct PendingTimer {
    due_at: Duration,
    timer: TimerId,
}

/// A balancer with its clock, its pending timers and a record of its actions.
pub struct BalancerHarness {
    /// The balancer under test.
    pub balancer: Balancer,
    /// The present time.
    pub now: Duration,
    /// The actions that followed the last event.
    pub last_actions: Vec<Action>,
    /// The attempts of each request that was forwarded.
    pub attempts: BTreeMap<RequestId, Vec<SentAttempt>>,
    /// When the balancer polled for the endpoint list.
    pub endpoint_polls: Vec<Duration>,
    responses: BTreeMap<RequestId, FinalResponse>,
    health_checks: Vec<UpstreamId>,
    pending_timers: Vec<PendingTimer>,
    last_request: u32,
}

impl BalancerHarness {
    /// Starts a balancer at time zero with this endpoint list as its cached one.
    pub fn new(settings: Settings, endpoints: &[EndpointEntry]) -> Self {
        Self::starting_at(Duration::ZERO, settings, DEFAULT_SEED, endpoints)
    }

    /// Starts a balancer at this time, with this seed and this endpoint list as its cached one.
    pub fn starting_at(now: Duration, settings: Settings, seed: u64, endpoints: &[EndpointEntry]) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, seed).expect("valid settings"),
            now,
            last_actions: Vec::new(),
            attempts: BTreeMap::new(),
            endpoint_polls: Vec::new(),
            responses: BTreeMap::new(),
            health_checks: Vec::new(),
            pending_timers: Vec::new(),
            last_request: 0,
        };
        harness.update_endpoints(UpdateScope::Cached, endpoints);
        harness
    }

    /// Delivers one event and records the actions that follow.
    pub fn deliver(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.last_actions);
        actions.clear();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.record(action);
        }
        self.last_actions = actions;
    }

    fn record(&mut self, action: &Action) {
        match action {
            Action::SetTimer { after, timer } => {
                self.pending_timers.push(PendingTimer { due_at: self.now + *after, timer: *timer });
            }
            Action::SendAttempt { id, upstream, .. } => {
                let attempt = SentAttempt { upstream: *upstream, sent_at: self.now };
                self.attempts.entry(*id).or_default().push(attempt);
            }
            Action::Reject { id, .. } => {
                assert_eq!(self.responses.insert(*id, FinalResponse::Rejected), None, "two final responses");
            }
            Action::Fail { id } => {
                assert_eq!(self.responses.insert(*id, FinalResponse::Failed), None, "two final responses");
            }
            Action::CheckHealth { upstream } => self.health_checks.push(*upstream),
            Action::WatchEndpoints | Action::FetchEndpoints => self.endpoint_polls.push(self.now),
            Action::CancelAttempt { .. } | Action::CloseIdleConnections { .. } | Action::Log { .. } => {}
        }
    }

    /// Advances the clock by this duration and fires each timer when it falls due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(due) = self.next_timer_until(end) {
            self.now = due.due_at;
            self.deliver(Event::TimerFired { timer: due.timer });
        }
        self.now = end;
    }

    /// Advances the clock to this time; does nothing if it has passed.
    pub fn advance_to(&mut self, time: Duration) {
        self.advance(time.saturating_sub(self.now));
    }

    /// Takes the timer that falls due first, unless that is after `end`.
    fn next_timer_until(&mut self, end: Duration) -> Option<PendingTimer> {
        self.pending_timers.sort_by_key(|pending| pending.due_at);
        let is_due = self.pending_timers.first().is_some_and(|pending| pending.due_at <= end);
        is_due.then(|| self.pending_timers.remove(0))
    }

    /// Delivers an update of the endpoint list.
    pub fn update_endpoints(&mut self, scope: UpdateScope, entries: &[EndpointEntry]) {
        self.deliver(Event::EndpointUpdate { scope, entries });
    }

    /// Delivers a request of this class and tenant whose client waits for `time_left`.
    pub fn send_request(&mut self, class: u16, tenant: u32, time_left: Duration) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.deliver(Event::RequestArrived {
            id,
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left,
            expected_work_ms: None,
            is_client_retry: false,
        });
        id
    }

    /// The upstream that an attempt was sent to, if there is such an attempt.
    pub fn upstream_of(&self, id: RequestId, attempt: usize) -> Option<UpstreamId> {
        self.attempts.get(&id).and_then(|sent| sent.get(attempt)).map(|sent| sent.upstream)
    }

    /// Whether the request was forwarded to an upstream.
    pub fn is_forwarded(&self, id: RequestId) -> bool {
        self.attempt_count(id) > 0
    }

    /// How many attempts of this request were sent.
    pub fn attempt_count(&self, id: RequestId) -> usize {
        self.attempts.get(&id).map_or(0, Vec::len)
    }

    /// Whether the last event made the balancer cancel this attempt.
    pub fn has_cancelled(&self, id: RequestId, attempt: usize) -> bool {
        self.last_actions.contains(&Action::CancelAttempt { id, attempt: AttemptIndex(attempt as u8) })
    }

    /// The final response of the request, if it has one.
    pub fn response(&self, id: RequestId) -> Option<FinalResponse> {
        self.responses.get(&id).copied()
    }

    /// How many requests got this final response.
    pub fn response_count(&self, response: FinalResponse) -> usize {
        self.responses.values().filter(|recorded| **recorded == response).count()
    }

    /// Ends an attempt with this outcome, and the request with it if it was served.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.end_attempt_with_report(id, attempt, outcome, &[]);
    }

    /// Like [`Self::end_attempt`], with the load report that came with the response.
    pub fn end_attempt_with_report(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load_report: &[f32],
    ) {
        let SentAttempt { upstream, sent_at } = self.attempts[&id][attempt];
        let request_finished = outcome == Outcome::Ok || self.responses.contains_key(&id);
        if outcome == Outcome::Ok {
            self.responses.entry(id).or_insert(FinalResponse::Served);
        }
        self.deliver(Event::AttemptEnded {
            id,
            attempt: AttemptIndex(attempt as u8),
            upstream,
            outcome,
            latency: self.now - sent_at,
            request_finished,
            load_report,
        });
    }

    /// Ends the attempts that the request has by now. A retry that follows stays in flight.
    pub fn end_all_attempts(&mut self, id: RequestId, outcome: Outcome) {
        for attempt in 0..self.attempt_count(id) {
            self.end_attempt(id, attempt, outcome);
        }
    }

    /// Delivers a successful health check with this load report.
    pub fn report_load(&mut self, upstream: UpstreamId, load_report: &[f32]) {
        self.deliver(Event::HealthCheckEnded { upstream, outcome: Outcome::Ok, latency: ms(1), load_report });
    }

    /// Takes the upstreams whose health the balancer wants checked.
    pub fn take_health_checks(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.health_checks)
    }

    /// Sends requests of the first class one after another. Each attempt ends at once with the outcome that
    /// its upstream has by `outcome_of`; where that is `None`, it stays in flight.
    pub fn play_requests(
        &mut self,
        count: usize,
        interval: Duration,
        outcome_of: impl Fn(UpstreamId) -> Option<Outcome>,
    ) {
        for _ in 0..count {
            let id = self.send_request(0, 0, ms(1000));
            let mut attempt = 0;
            while let Some(upstream) = self.upstream_of(id, attempt) {
                if let Some(outcome) = outcome_of(upstream) {
                    self.end_attempt(id, attempt, outcome);
                }
                attempt += 1;
            }
            self.advance(interval);
        }
    }

    /// How many requests were forwarded.
    pub fn forwarded_requests(&self) -> usize {
        self.attempts.len()
    }

    /// How many attempts were sent, over all requests.
    pub fn total_attempts(&self) -> usize {
        self.attempts.values().map(Vec::len).sum()
    }

    /// How many attempts were sent to this upstream.
    pub fn attempts_sent_to(&self, upstream: UpstreamId) -> usize {
        self.attempts.values().flatten().filter(|sent| sent.upstream == upstream).count()
    }
}
