//! Tests of updates of the endpoint list and of the calls to discovery.

mod common;
use balancer_core::*;
use common::*;

fn settings() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent)
}

#[test]
fn a_draining_or_removed_upstream_gets_no_new_requests() {
    let draining = EndpointBuilder::new(1).availability(Availability::Draining).build();
    let removed = UpstreamId(2);
    let remaining = UpstreamId(3);
    let mut harness = BalancerHarness::new(settings().build(), &endpoints(3));
    harness.simulate_requests(20, ms(5), |_| Some(Outcome::Ok));
    let attempts_before = [harness.attempts_sent_to(draining.id), harness.attempts_sent_to(removed)];

    harness.update_endpoints(UpdateScope::Delta, std::slice::from_ref(&draining));
    // The snapshot omits upstream 2 and lists upstream 1 as ready again.
    harness.update_endpoints(UpdateScope::Snapshot, &[endpoint(1), endpoint(remaining.0)]);
    harness.update_endpoints(UpdateScope::Delta, std::slice::from_ref(&draining));
    harness.simulate_requests(60, ms(30), |_| Some(Outcome::Ok));

    let attempts = [harness.attempts_sent_to(draining.id), harness.attempts_sent_to(removed)];
    assert_eq!(attempts_before, attempts);
    assert!(harness.attempts_sent_to(remaining) > 20);
}

#[test]
fn requests_are_rejected_without_upstreams_and_served_once_one_is_listed() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &[]);
    let id = harness.send_request(0, 0, ms(1000));
    assert_eq!(harness.response(id), Some(FinalResponse::Rejected));

    harness.update_endpoints(UpdateScope::Snapshot, &endpoints(1));
    harness.advance(ms(3000));
    harness.simulate_requests(100, ms(100), |_| Some(Outcome::Ok));

    assert!(harness.attempts_sent_to(UpstreamId(1)) > 0);
}

/// A discovery service that is down must not be flooded with calls. The known endpoints most likely still
/// exist, so they stay in use.
#[test]
fn failed_calls_to_discovery_are_repeated_with_backoff_and_the_known_endpoint_list_stays_in_use() {
    let mut harness = BalancerHarness::new(settings().starts_watches(true).build(), &endpoints(2));

    for _ in 0..6000 {
        let calls_before = harness.discovery_calls.len();
        harness.advance(ms(10));
        if harness.discovery_calls.len() > calls_before {
            harness.update_endpoints(UpdateScope::Failed, &[]);
        }
    }

    let calls = harness.discovery_calls.len();
    assert!((5..=30).contains(&calls), "discovery got {calls} calls in a minute");
    let id = harness.send_request(0, 0, ms(1000));
    assert!(harness.is_forwarded(id));
}

/// A balancer counts as notified of a change 6 s after discovery has the change and can be reached. A call to
/// discovery that fails late, the backoff after it and the next call must together take less than these 6 s,
/// however many calls have failed before and however long the poll interval is.
#[test]
fn calls_to_discovery_are_close_enough_to_notice_a_change_in_time_after_discovery_has_recovered() {
    for poll_interval_ms in [2_000, 10_000, 60_000] {
        let poll_interval = ms(poll_interval_ms);
        let settings = settings().starts_watches(true).poll_interval(poll_interval).build();
        let mut harness = BalancerHarness::new(settings, &endpoints(2));

        let mut last_call_at = harness.now;
        for call in 0..40 {
            while harness.discovery_calls.len() == call {
                harness.advance(ms(10));
                let elapsed = harness.now - last_call_at;
                assert!(
                    elapsed < ms(5_700),
                    "call {call} with poll interval {poll_interval:?} is late: {elapsed:?} since the last one"
                );
            }
            last_call_at = harness.now;
            // Every other call fails at once. The rest fail late, because nothing follows the response
            // header.
            let fails_after = ms(if call % 2 == 0 { 2_500 } else { 1 });
            harness.advance(fails_after);
            harness.update_endpoints(UpdateScope::Failed, &[]);
        }
    }
}

/// A call without a response is reported as failed after 1 s and may have been made in vain, while discovery
/// was down. The next call may be answered after 3 s. Guards against calls so far apart that the list then
/// arrives later than 6 s after discovery can be reached, and against more calls than its load allows.
#[test]
fn calls_without_a_response_are_close_enough_for_a_slow_discovery() {
    const CALLS: usize = 60;
    let settings = settings().starts_watches(true).poll_interval(ms(60_000)).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    let mut call_times = Vec::new();

    for call in 0..CALLS {
        while harness.discovery_calls.len() == call {
            harness.advance(ms(10));
        }
        call_times.push(harness.now);
        harness.advance(ms(1_000));
        harness.update_endpoints(UpdateScope::Failed, &[]);
    }

    for (call, pair) in call_times.windows(2).enumerate() {
        let gap = pair[1] - pair[0];
        assert!(gap < ms(3_200), "call {call} is followed by the next one after {gap:?}");
    }
    for (call, later) in call_times.windows(31).enumerate() {
        let time = later[30] - later[0];
        assert!(time > ms(60_000), "30 calls within {time:?} from call {call} on");
    }
}
