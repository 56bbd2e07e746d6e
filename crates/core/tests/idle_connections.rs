//! Tests of idle connections that a middlebox has silently dropped.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Idle time after which the simulated middlebox drops a connection.
const MIDDLEBOX_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// The only sign of connections that were dropped while idle is that requests sent after a pause time out.
/// Once the balancer has learned this, it must close idle connections before such a request. Requests that
/// soon follow another one may reuse connections.
#[test]
fn idle_connections_that_time_out_after_a_pause_are_closed_before_use() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));

    let mut closed_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut last_used_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut timed_out = 0;
    let mut timed_out_in_second_half = 0;
    for request in 0..300u64 {
        let id = harness.send_request(0, 0, ms(600));
        let Some(upstream) = harness.upstream_of(id, 0) else { continue };
        if harness.last_actions.contains(&Action::CloseIdleConnections { upstream }) {
            closed_at.insert(upstream, harness.now);
        }
        let idle_time = last_used_at.get(&upstream).map_or(Duration::ZERO, |used_at| harness.now - *used_at);
        let connection_is_dropped =
            idle_time > MIDDLEBOX_IDLE_TIMEOUT && closed_at.get(&upstream) != Some(&harness.now);
        if connection_is_dropped {
            harness.advance(ms(600));
            harness.end_attempt(id, 0, Outcome::TimedOut);
            timed_out += 1;
            timed_out_in_second_half += u32::from(request > 150);
        } else {
            harness.advance(ms(20));
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        last_used_at.insert(upstream, harness.now);
        let is_before_pause = request % 6 == 0;
        harness.advance(ms(if is_before_pause { 2500 } else { 60 }));
    }

    assert!(
        timed_out > 0 && !closed_at.is_empty(),
        "no request met a dropped connection, or no idle connection was closed"
    );
    assert!(
        timed_out_in_second_half <= 12,
        "{timed_out_in_second_half} of the last 50 requests after a pause timed out, {timed_out} in total"
    );
}
