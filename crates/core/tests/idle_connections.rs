//! Idle connections that a middlebox drops without notice.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Idle time after which the middlebox of this test drops a connection.
const DROPPED_AFTER: Duration = Duration::from_millis(900);

/// Connections that are dropped while idle show only by timeouts of the requests sent after a pause. Once
/// that is learned, idle connections are closed before such a request; requests that follow soon after
/// another keep theirs.
#[test]
fn idle_connections_that_time_out_after_a_pause_are_closed_before_use() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));

    let mut closed_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut last_used_at: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut timed_out = 0;
    let mut timed_out_late = 0;
    for request in 0..300u64 {
        let id = harness.send_request(0, 0, ms(600));
        let Some(upstream) = harness.upstream_of(id, 0) else { continue };
        if harness.last_actions.contains(&Action::CloseIdleConnections { upstream }) {
            closed_at.insert(upstream, harness.now);
        }
        let idle_time = last_used_at.get(&upstream).map_or(Duration::ZERO, |used_at| harness.now - *used_at);
        let is_dropped = idle_time > DROPPED_AFTER && closed_at.get(&upstream) != Some(&harness.now);
        if is_dropped {
            harness.advance(ms(600));
            harness.end_attempt(id, 0, Outcome::TimedOut);
            timed_out += 1;
            timed_out_late += u32::from(request > 150);
        } else {
            harness.advance(ms(20));
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        last_used_at.insert(upstream, harness.now);
        let pauses = request % 6 == 0;
        harness.advance(ms(if pauses { 2500 } else { 60 }));
    }

    assert!(timed_out > 0 && !closed_at.is_empty(), "dropped connections were met, and idle ones closed");
    assert!(
        timed_out_late <= 12,
        "{timed_out_late} of the last 50 after a pause timed out, {timed_out} in all"
    );
}
