//! Many balancers in front of loaded upstreams, to which an idle one is added.

use crate::common::*;
use crate::fleet::NEW_UPSTREAM;
use balancer_core::*;
use std::time::Duration;

const WARM_UPSTREAMS: u64 = 10;
const END_SECONDS: u64 = 12;
/// Requests of all clients.
const REQUESTS_PER_SECOND: u64 = 700;
const LATENCY: Duration = Duration::from_millis(20);
/// How long a request is followed.
const FOLLOWED_FOR: Duration = Duration::from_millis(100);
/// Capacity of a warm upstream in requests per second.
pub const WARM_CAPACITY: f64 = 100.0;
/// When the new upstream is listed.
pub const NEW_UPSTREAM_AT: Duration = Duration::from_secs(3);

struct FollowedRequest {
    balancer: usize,
    id: RequestId,
    ended_attempts: usize,
    sent_at: Duration,
}

/// Ends the attempts of a request that have had their latency. Returns whether the request has to be followed
/// further, and adds the attempts at the new upstream to `sent_to_new`.
fn follow_request(
    request: &mut FollowedRequest,
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
    now < request.sent_at + FOLLOWED_FOR && harness.response(request.id).is_none()
}

/// Answers the health checks: the new upstream has no requests in flight, the others have two.
fn end_health_checks(harness: &mut BalancerHarness) {
    for upstream in harness.take_health_checks() {
        let in_flight = if upstream == NEW_UPSTREAM { 0.0 } else { 2.0 };
        harness.report_load(upstream, &[in_flight]);
    }
}

/// Plays ten warm upstreams at 70 % of their capacity and a new one. Returns when attempts were sent to the
/// new one.
pub fn attempts_at_new_upstream(settings_of: impl Fn(u32) -> Settings, balancers: u32) -> Vec<Duration> {
    let start = |index| {
        BalancerHarness::starting_at(ms(0), settings_of(index), u64::from(index), &endpoints(WARM_UPSTREAMS))
    };
    let mut harnesses: Vec<_> = (0..balancers).map(start).collect();
    let mut sent_to_new = Vec::new();
    let mut followed: Vec<FollowedRequest> = Vec::new();
    for step in 0..END_SECONDS * REQUESTS_PER_SECOND {
        let now = Duration::from_micros(step * 1_000_000 / REQUESTS_PER_SECOND);
        for harness in &mut harnesses {
            harness.advance_to(now);
            if now == NEW_UPSTREAM_AT {
                let new = EndpointBuilder::new(NEW_UPSTREAM.0).started_at(now).build();
                harness.update_endpoints(UpdateScope::Delta, &[new]);
            }
            end_health_checks(harness);
        }
        let balancer = (step as usize * 7919) % harnesses.len();
        let id = harnesses[balancer].send_request(0, 0, ms(600));
        followed.push(FollowedRequest { balancer, id, ended_attempts: 0, sent_at: now });
        followed.retain_mut(|request| {
            let harness = &mut harnesses[request.balancer];
            follow_request(request, harness, now, &mut sent_to_new)
        });
    }
    sent_to_new.sort();
    sent_to_new
}
