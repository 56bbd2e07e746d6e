//! Simulation of many balancers with loaded upstreams, to which an idle one is added.

use crate::common::*;
use crate::fleet::NEW_UPSTREAM;
use balancer_core::*;
use std::time::Duration;

const WARM_UPSTREAMS: u64 = 10;
/// Duration of the simulation.
const DURATION_SECONDS: u64 = 12;
/// Requests that all clients together send.
const REQUESTS_PER_SECOND: u64 = 700;
const LATENCY: Duration = Duration::from_millis(20);
/// Time for which the attempts of a request are tracked.
const TRACKED_FOR: Duration = Duration::from_millis(100);
/// Capacity of a warm upstream, in requests per second.
pub const WARM_CAPACITY_PER_SECOND: f64 = 100.0;
/// Time at which the new upstream starts and is listed.
pub const NEW_UPSTREAM_AT: Duration = Duration::from_secs(3);

/// A request whose attempts are tracked.
struct TrackedRequest {
    balancer: usize,
    id: RequestId,
    /// Number of attempts that have ended.
    ended_attempts: usize,
    sent_at: Duration,
}

/// Ends the attempts of a request that were sent at least [`LATENCY`] ago. For those at the new upstream,
/// adds the time of sending to `sent_to_new`. Returns whether the request must be tracked further.
fn end_due_attempts(
    request: &mut TrackedRequest,
    harness: &mut BalancerHarness,
    now: Duration,
    sent_to_new: &mut Vec<Duration>,
) -> bool {
    while request.ended_attempts < harness.attempt_count(request.id) {
        let attempt = harness.attempts[&request.id][request.ended_attempts];
        if now < attempt.sent_at + LATENCY {
            return true;
        }
        if attempt.upstream == NEW_UPSTREAM {
            sent_to_new.push(attempt.sent_at);
        }
        harness.end_attempt(request.id, request.ended_attempts, Outcome::Ok);
        request.ended_attempts += 1;
    }
    now < request.sent_at + TRACKED_FOR && harness.response(request.id).is_none()
}

/// Answers the health checks that a balancer asked for. The new upstream reports no requests in flight, the
/// others report two.
fn answer_health_checks(harness: &mut BalancerHarness) {
    for upstream in harness.take_health_checks() {
        let in_flight = if upstream == NEW_UPSTREAM { 0.0 } else { 2.0 };
        harness.report_load(upstream, &[in_flight]);
    }
}

/// Simulates ten warm upstreams at 70 % of their capacity and a new one. Returns the times at which attempts
/// were sent to the new one, in ascending order.
pub fn attempts_at_new_upstream(settings_of: impl Fn(u32) -> Settings, balancers: u32) -> Vec<Duration> {
    let start_balancer = |index| {
        BalancerHarness::starting_at(ms(0), settings_of(index), u64::from(index), &endpoints(WARM_UPSTREAMS))
    };
    let mut harnesses: Vec<_> = (0..balancers).map(start_balancer).collect();
    let mut sent_to_new = Vec::new();
    let mut tracked_requests: Vec<TrackedRequest> = Vec::new();
    for step in 0..DURATION_SECONDS * REQUESTS_PER_SECOND {
        let now = Duration::from_micros(step * 1_000_000 / REQUESTS_PER_SECOND);
        for harness in &mut harnesses {
            harness.advance_to(now);
            if now == NEW_UPSTREAM_AT {
                let new_endpoint = EndpointBuilder::new(NEW_UPSTREAM.0).started_at(now).build();
                harness.update_endpoints(UpdateScope::Delta, &[new_endpoint]);
            }
            answer_health_checks(harness);
        }
        let balancer = (step as usize * 7919) % harnesses.len();
        let id = harnesses[balancer].send_request(0, 0, ms(600));
        tracked_requests.push(TrackedRequest { balancer, id, ended_attempts: 0, sent_at: now });
        tracked_requests.retain_mut(|request| {
            let harness = &mut harnesses[request.balancer];
            end_due_attempts(request, harness, now, &mut sent_to_new)
        });
    }
    sent_to_new.sort();
    sent_to_new
}
