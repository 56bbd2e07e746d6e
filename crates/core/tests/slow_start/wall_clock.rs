//! Tests of process starts that are stated by a wall clock. Steps of that clock must neither prevent slow
//! start nor keep it from ending.

use crate::common::*;
use balancer_core::*;
use std::collections::VecDeque;
use std::time::Duration;

const UPSTREAMS: u64 = 10;
/// The upstream whose process is restarted.
const RESTARTED_UPSTREAM: UpstreamId = UpstreamId(1);
/// Duration of slow start.
const SLOW_START_DURATION: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const REQUESTS_IN_FLIGHT: usize = 4;
/// Incarnation of the processes that started long ago.
const OLD_INCARNATION: u64 = 1_700_000_000_000;
/// Incarnation of a process that has been restarted.
const NEW_INCARNATION: u64 = OLD_INCARNATION + 500_000;
/// Ages of a process that has just started, according to a wall clock that was stepped.
const STATED_AGES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_secs(3),
    Duration::from_secs(60),
    Duration::from_secs(3600),
    Duration::from_secs(3700),
];

fn settings() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).slow_start(0.1, SLOW_START_DURATION).quotas(&[1000.0])
}

/// Returns an entry whose process started so long ago that steps of the wall clock do not make it recent.
fn old_process_entry(id: u64) -> EndpointEntry {
    EndpointBuilder::new(id).started_by_wall_clock(OLD_INCARNATION, 10 * STATED_AGES[4]).build()
}

/// Returns an entry whose process has just started.
fn new_process_entry(id: u64, incarnation: u64, age: Duration) -> EndpointEntry {
    EndpointBuilder::new(id).started_by_wall_clock(incarnation, age).build()
}

fn old_endpoints() -> Vec<EndpointEntry> {
    (1..=UPSTREAMS).map(old_process_entry).collect()
}

/// Returns a balancer that has got the first list from discovery and has served requests.
fn balancer_with_traffic() -> BalancerHarness {
    let mut harness = BalancerHarness::new(settings().build(), &old_endpoints());
    harness.update_endpoints(UpdateScope::Snapshot, &old_endpoints());
    simulate_traffic(&mut harness, Duration::from_secs(3));
    harness
}

/// Sends requests for this duration. Each request is served after a few others were sent.
fn simulate_traffic(harness: &mut BalancerHarness, duration: Duration) {
    let requests = duration.as_millis() / REQUEST_INTERVAL.as_millis();
    let mut in_flight = VecDeque::new();
    for _ in 0..requests {
        in_flight.push_back(harness.send_request(0, 0, ms(1000)));
        harness.advance(REQUEST_INTERVAL);
        if in_flight.len() > REQUESTS_IN_FLIGHT {
            end_oldest_request(harness, &mut in_flight);
        }
    }
    while !in_flight.is_empty() {
        end_oldest_request(harness, &mut in_flight);
    }
}

fn end_oldest_request(harness: &mut BalancerHarness, in_flight: &mut VecDeque<RequestId>) {
    let id = in_flight.pop_front().expect("a request should be in flight");
    harness.end_all_attempts(id, Outcome::Ok);
}

/// Sends requests for two seconds. Returns the share of the attempts that goes to the restarted upstream, as
/// a multiple of the mean share of an upstream.
fn relative_share(harness: &mut BalancerHarness) -> f64 {
    const WINDOW: Duration = Duration::from_secs(2);
    let attempts_before = harness.total_attempts();
    let sent_before = harness.attempts_sent_to(RESTARTED_UPSTREAM);
    simulate_traffic(harness, WINDOW);
    let attempts = harness.total_attempts() - attempts_before;
    let sent = harness.attempts_sent_to(RESTARTED_UPSTREAM) - sent_before;
    sent as f64 * UPSTREAMS as f64 / attempts as f64
}

/// Asserts that slow start of the restarted upstream begins now, progresses and ends in time.
fn assert_slow_start_runs_from_now(harness: &mut BalancerHarness, case: &str) {
    let shares: Vec<f64> = (0..5).map(|_| relative_share(harness)).collect();
    assert!(shares[0] < 0.6, "{case}: slow start does not begin with a low share, {shares:.2?}");
    assert!(
        shares[1] > shares[0] && shares[1] < 0.95,
        "{case}: slow start does not progress or ends too early, {shares:.2?}"
    );
    assert!(shares[4] > 0.9, "{case}: slow start does not end, {shares:.2?}");
}

#[test]
fn slow_start_after_a_restart_follows_the_monotonic_clock_whatever_the_age_by_the_wall_clock() {
    for age in STATED_AGES {
        for incarnation in [NEW_INCARNATION, OLD_INCARNATION - 3_600_000] {
            let mut harness = balancer_with_traffic();

            harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, incarnation, age)]);

            assert_slow_start_runs_from_now(&mut harness, &format!("incarnation {incarnation}, age {age:?}"));
        }
    }
}

/// Endpoint lists state a known start again, with an age that grows or that a step of the clock has changed.
#[test]
fn a_known_start_that_is_listed_again_does_not_restart_slow_start() {
    for age in STATED_AGES {
        let mut harness = balancer_with_traffic();
        harness
            .update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION, Duration::ZERO)]);
        for _ in 0..8 {
            simulate_traffic(&mut harness, Duration::from_secs(1));
            harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION, age)]);
        }

        let share = relative_share(&mut harness);

        assert!(share > 0.9, "age {age:?}: slow start did not end, with a share of {share:.2}");
    }
}

#[test]
fn a_second_restart_during_slow_start_begins_slow_start_again() {
    for age in STATED_AGES {
        let mut harness = balancer_with_traffic();
        harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION, age)]);
        simulate_traffic(&mut harness, SLOW_START_DURATION / 2);

        harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION + 3000, age)]);

        assert_slow_start_runs_from_now(&mut harness, &format!("{age:?}"));
    }
}

#[test]
fn an_upstream_first_listed_in_a_delta_begins_slow_start_at_that_time() {
    for age in STATED_AGES {
        let others: Vec<_> = (2..=UPSTREAMS).map(old_process_entry).collect();
        let mut harness = BalancerHarness::new(settings().build(), &others);
        harness.update_endpoints(UpdateScope::Snapshot, &others);
        simulate_traffic(&mut harness, Duration::from_secs(3));

        harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION, age)]);

        assert_slow_start_runs_from_now(&mut harness, &format!("{age:?}"));
    }
}

/// Delivers a list that omits upstreams 1 and 2 and adds upstream 11. The addition makes the balancer drop
/// the state of the omitted ones.
fn remove_upstreams_1_and_2(harness: &mut BalancerHarness) {
    let others: Vec<_> = (3..=UPSTREAMS + 1).map(old_process_entry).collect();
    harness.update_endpoints(UpdateScope::Snapshot, &others);
}

/// The upstream was cut off from discovery and not restarted.
#[test]
fn a_removed_upstream_that_is_listed_again_with_the_same_start_stays_warm() {
    let mut harness = balancer_with_traffic();
    remove_upstreams_1_and_2(&mut harness);
    simulate_traffic(&mut harness, Duration::from_secs(3));

    harness.update_endpoints(UpdateScope::Delta, &[old_process_entry(1)]);

    let share = relative_share(&mut harness);
    assert!(share > 0.8, "{share:.2}");
}

#[test]
fn a_removed_upstream_that_is_listed_again_with_another_start_begins_slow_start() {
    let mut harness = balancer_with_traffic();
    remove_upstreams_1_and_2(&mut harness);
    simulate_traffic(&mut harness, Duration::from_secs(3));

    harness.update_endpoints(UpdateScope::Delta, &[new_process_entry(1, NEW_INCARNATION, STATED_AGES[4])]);

    assert_slow_start_runs_from_now(&mut harness, "removed and restarted");
}

/// The end of an ejection begins slow start as well. A restart during the ejection must still be recognized,
/// and ends the ejection.
#[test]
fn a_restart_during_an_ejection_is_recognized_and_ends_it() {
    let by_wall_clock = |_| new_process_entry(1, NEW_INCARNATION, Duration::ZERO);
    let by_embedder_clock = |now| EndpointBuilder::new(1).started_at(now).build();
    assert_restart_ends_ejection(by_wall_clock);
    assert_restart_ends_ejection(by_embedder_clock);
}

fn assert_restart_ends_ejection(restarted: impl Fn(Duration) -> EndpointEntry) {
    let mut harness = balancer_with_traffic();
    let outcome_of =
        |upstream| Some(if upstream == RESTARTED_UPSTREAM { Outcome::ConnectFailed } else { Outcome::Ok });
    harness.simulate_requests(100, REQUEST_INTERVAL, outcome_of);
    let sent_while_ejected = harness.attempts_sent_to(RESTARTED_UPSTREAM);
    harness.simulate_requests(20, REQUEST_INTERVAL, outcome_of);
    assert_eq!(
        harness.attempts_sent_to(RESTARTED_UPSTREAM),
        sent_while_ejected,
        "the failing upstream is not ejected"
    );

    let entry = restarted(harness.now);
    harness.update_endpoints(UpdateScope::Delta, &[entry]);

    simulate_traffic(&mut harness, Duration::from_secs(1));
    assert!(
        harness.attempts_sent_to(RESTARTED_UPSTREAM) > sent_while_ejected,
        "the restart did not end the ejection"
    );
}

/// A new balancer can tell an old start from a recent one only by the wall clock.
#[test]
fn slow_start_of_upstreams_in_initial_lists_follows_the_wall_clock() {
    for scope in [UpdateScope::Cached, UpdateScope::Snapshot] {
        let start_with_age = |age| {
            let mut list = old_endpoints();
            list[0] = new_process_entry(1, NEW_INCARNATION, age);
            let cached = if scope == UpdateScope::Cached { list.clone() } else { old_endpoints() };
            let mut harness = BalancerHarness::new(settings().build(), &cached);
            harness.update_endpoints(UpdateScope::Snapshot, &list);
            harness
        };

        let share_if_recent = relative_share(&mut start_with_age(Duration::ZERO));
        let share_if_halfway = relative_share(&mut start_with_age(SLOW_START_DURATION / 2));
        let share_if_old = relative_share(&mut start_with_age(SLOW_START_DURATION));

        assert!(share_if_recent < 0.6, "{scope:?}: slow start does not begin low, {share_if_recent:.2}");
        assert!(
            share_if_recent < share_if_halfway && share_if_halfway < share_if_old,
            "{scope:?}: the shares do not rise with the age: {share_if_recent:.2} {share_if_halfway:.2} \
             {share_if_old:.2}"
        );
        assert!(share_if_old > 0.9, "{scope:?}: an old process has a low share, {share_if_old:.2}");
    }
}
