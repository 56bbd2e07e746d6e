//! An embedder for tests. It simulates the clock, fires timers and records the balancer's actions.

use super::ms;
use balancer_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of a balancer whose test needs no particular one.
const DEFAULT_SEED: u64 = 7;

/// Final response to a request. A request gets at most one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// An upstream served the request.
    Served,
    /// The balancer rejected the request, which was not executed or can be executed again without harm.
    Rejected,
    /// The balancer responded with an error. The request may have been executed.
    Failed,
}

/// Attempt that the balancer asked its embedder to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Upstream that the attempt was sent to.
    pub upstream: UpstreamId,
    /// Time at which the attempt was sent.
    pub sent_at: Duration,
}

struct PendingTimer {
    due_at: Duration,
    timer: TimerId,
}

/// Embedder of one balancer, with a simulated clock, the pending timers and a record of the balancer's
/// actions.
pub struct BalancerHarness {
    /// Balancer under test.
    pub balancer: Balancer,
    /// Current time on the simulated clock.
    pub now: Duration,
    /// Actions that the balancer returned for the last event.
    pub last_actions: Vec<Action>,
    /// Attempts of each forwarded request, in the order in which they were sent.
    pub attempts: BTreeMap<RequestId, Vec<SentAttempt>>,
    /// Times at which the balancer asked for a watch or a snapshot of the endpoint list.
    pub discovery_calls: Vec<Duration>,
    responses: BTreeMap<RequestId, FinalResponse>,
    health_checks: Vec<UpstreamId>,
    pending_timers: Vec<PendingTimer>,
    last_request_id: u32,
}

impl BalancerHarness {
    /// Starts a balancer at time zero with a default seed and this cached endpoint list.
    pub fn new(settings: Settings, endpoints: &[EndpointEntry]) -> Self {
        Self::starting_at(Duration::ZERO, settings, DEFAULT_SEED, endpoints)
    }

    /// Starts a balancer at time `now` with this seed and this cached endpoint list.
    pub fn starting_at(now: Duration, settings: Settings, seed: u64, endpoints: &[EndpointEntry]) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, seed).expect("the settings are valid"),
            now,
            last_actions: Vec::new(),
            attempts: BTreeMap::new(),
            discovery_calls: Vec::new(),
            responses: BTreeMap::new(),
            health_checks: Vec::new(),
            pending_timers: Vec::new(),
            last_request_id: 0,
        };
        harness.update_endpoints(UpdateScope::Cached, endpoints);
        harness
    }

    /// Delivers one event to the balancer and records the actions that it returns.
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
            Action::WatchEndpoints | Action::FetchEndpoints => self.discovery_calls.push(self.now),
            Action::CancelAttempt { .. } | Action::CloseIdleConnections { .. } | Action::Log { .. } => {}
        }
    }

    /// Advances the clock by this duration and fires each timer at the time at which it is due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(due_timer) = self.next_timer_until(end) {
            self.now = due_timer.due_at;
            self.deliver(Event::TimerFired { timer: due_timer.timer });
        }
        self.now = end;
    }

    /// Advances the clock to this time; does nothing if the time has passed.
    pub fn advance_to(&mut self, time: Duration) {
        self.advance(time.saturating_sub(self.now));
    }

    /// Removes and returns the timer that is due first, unless it is due after `end`.
    fn next_timer_until(&mut self, end: Duration) -> Option<PendingTimer> {
        self.pending_timers.sort_by_key(|pending| pending.due_at);
        let has_due_timer = self.pending_timers.first().is_some_and(|pending| pending.due_at <= end);
        has_due_timer.then(|| self.pending_timers.remove(0))
    }

    /// Delivers an update of the endpoint list with this scope.
    pub fn update_endpoints(&mut self, scope: UpdateScope, entries: &[EndpointEntry]) {
        self.deliver(Event::EndpointUpdate { scope, entries });
    }

    /// Delivers a new request of this class and tenant, whose client waits for `time_left`.
    pub fn send_request(&mut self, class: u16, tenant: u32, time_left: Duration) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
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

    /// Returns the upstream that an attempt was sent to; `None` if there is no such attempt.
    pub fn upstream_of(&self, id: RequestId, attempt: usize) -> Option<UpstreamId> {
        self.attempts.get(&id).and_then(|sent| sent.get(attempt)).map(|sent| sent.upstream)
    }

    /// Returns whether any attempt of the request was sent.
    pub fn is_forwarded(&self, id: RequestId) -> bool {
        self.attempt_count(id) > 0
    }

    /// Returns the number of attempts of the request that were sent.
    pub fn attempt_count(&self, id: RequestId) -> usize {
        self.attempts.get(&id).map_or(0, Vec::len)
    }

    /// Returns whether the balancer cancelled this attempt in response to the last event.
    pub fn has_cancelled(&self, id: RequestId, attempt: usize) -> bool {
        self.last_actions.contains(&Action::CancelAttempt { id, attempt: AttemptIndex(attempt as u8) })
    }

    /// Returns the final response to the request; `None` if it has none yet.
    pub fn response(&self, id: RequestId) -> Option<FinalResponse> {
        self.responses.get(&id).copied()
    }

    /// Returns the number of requests with this final response.
    pub fn response_count(&self, response: FinalResponse) -> usize {
        self.responses.values().filter(|recorded| **recorded == response).count()
    }

    /// Ends an attempt with this outcome and without a load report. [`Outcome::Ok`] also finishes the
    /// request.
    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.end_attempt_with_report(id, attempt, outcome, &[]);
    }

    /// Ends an attempt with this outcome and this load report. [`Outcome::Ok`] also finishes the request.
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

    /// Ends each attempt that the request has now. A retry that the balancer then sends stays in flight.
    pub fn end_all_attempts(&mut self, id: RequestId, outcome: Outcome) {
        for attempt in 0..self.attempt_count(id) {
            self.end_attempt(id, attempt, outcome);
        }
    }

    /// Delivers a successful health check with this load report.
    pub fn report_load(&mut self, upstream: UpstreamId, load_report: &[f32]) {
        self.deliver(Event::HealthCheckEnded { upstream, outcome: Outcome::Ok, latency: ms(1), load_report });
    }

    /// Removes and returns the upstreams that the balancer has asked to check.
    pub fn take_health_checks(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.health_checks)
    }

    /// Sends `count` requests of the first class, one per `interval`. Each attempt ends at once with the
    /// outcome that `outcome_of` returns for its upstream, or stays in flight if that is `None`.
    pub fn simulate_requests(
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

    /// Returns the number of requests that were forwarded to an upstream.
    pub fn forwarded_requests(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of attempts that were sent for all requests together.
    pub fn total_attempts(&self) -> usize {
        self.attempts.values().map(Vec::len).sum()
    }

    /// Returns the number of attempts that were sent to this upstream.
    pub fn attempts_sent_to(&self, upstream: UpstreamId) -> usize {
        self.attempts.values().flatten().filter(|sent| sent.upstream == upstream).count()
    }
}
