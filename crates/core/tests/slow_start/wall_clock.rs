//! Starts told by a wall clock that is stepped: none of them may take slow start away or keep it from ending.

use crate::common::*;
use balancer_core::*;
use std::collections::VecDeque;
use std::time::Duration;

const UPSTREAMS: u64 = 10;
/// The upstream whose process starts.
const RESTARTED: UpstreamId = UpstreamId(1);
const SLOW_START: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const REQUESTS_IN_FLIGHT: usize = 4;
const BEFORE: u64 = 1_700_000_000_000;
const AFTER: u64 = BEFORE + 500_000;
/// What steps of the wall clock make of the age of a process that has just started.
const AGES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_secs(3),
    Duration::from_secs(60),
    Duration::from_secs(3600),
    Duration::from_secs(3700),
];

fn settings() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).slow_start(0.1, SLOW_START).quotas(&[1000.0])
}

/// An entry of a process that is old by every clock.
fn old(id: u64) -> EndpointEntry {
    EndpointBuilder::new(id).started_by_wall_clock(BEFORE, 10 * AGES[4]).build()
}

/// An entry of a process that has just started.
fn started(id: u64, incarnation: u64, age: Duration) -> EndpointEntry {
    EndpointBuilder::new(id).started_by_wall_clock(incarnation, age).build()
}

fn old_fleet() -> Vec<EndpointEntry> {
    (1..=UPSTREAMS).map(old).collect()
}

/// A balancer that follows discovery and has seen traffic.
fn following_balancer() -> BalancerHarness {
    let mut harness = BalancerHarness::new(settings().build(), &old_fleet());
    harness.update_endpoints(UpdateScope::Snapshot, &old_fleet());
    play(&mut harness, Duration::from_secs(3));
    harness
}

/// Sends requests, each of which is served after a few others were sent.
fn play(harness: &mut BalancerHarness, duration: Duration) {
    let requests = duration.as_millis() / REQUEST_INTERVAL.as_millis();
    let mut in_flight = VecDeque::new();
    for _ in 0..requests {
        in_flight.push_back(harness.send_request(0, 0, ms(1000)));
        harness.advance(REQUEST_INTERVAL);
        if in_flight.len() > REQUESTS_IN_FLIGHT {
            end_first(harness, &mut in_flight);
        }
    }
    while !in_flight.is_empty() {
        end_first(harness, &mut in_flight);
    }
}

fn end_first(harness: &mut BalancerHarness, in_flight: &mut VecDeque<RequestId>) {
    let id = in_flight.pop_front().expect("a request in flight");
    harness.end_all_attempts(id, Outcome::Ok);
}

/// The share of the requests of the next two seconds that goes to the restarted upstream, in multiples of the
/// mean.
fn relative_share(harness: &mut BalancerHarness) -> f64 {
    const WINDOW: Duration = Duration::from_secs(2);
    let attempts_before = harness.total_attempts();
    let sent_before = harness.attempts_sent_to(RESTARTED);
    play(harness, WINDOW);
    let attempts = harness.total_attempts() - attempts_before;
    let sent = harness.attempts_sent_to(RESTARTED) - sent_before;
    sent as f64 * UPSTREAMS as f64 / attempts as f64
}

/// Checks that slow start begins now, advances and ends in time.
fn assert_slow_start_runs_from_now(harness: &mut BalancerHarness, case: &str) {
    let shares: Vec<f64> = (0..5).map(|_| relative_share(harness)).collect();
    assert!(shares[0] < 0.6, "{case}: it begins low, {shares:.2?}");
    assert!(shares[1] > shares[0] && shares[1] < 0.95, "{case}: it advances, {shares:.2?}");
    assert!(shares[4] > 0.9, "{case}: it ends, {shares:.2?}");
}

#[test]
fn a_restart_is_warmed_up_on_the_monotonic_clock_whatever_its_age_by_the_wall_clock() {
    for age in AGES {
        for incarnation in [AFTER, BEFORE - 3_600_000] {
            let mut harness = following_balancer();

            harness.update_endpoints(UpdateScope::Delta, &[started(1, incarnation, age)]);

            assert_slow_start_runs_from_now(&mut harness, &format!("{incarnation}, {age:?}"));
        }
    }
}

/// Lists repeat what they told before, with an age that grows or is stepped.
#[test]
fn a_start_that_is_told_again_is_not_a_new_one() {
    for age in AGES {
        let mut harness = following_balancer();
        harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER, Duration::ZERO)]);
        for _ in 0..8 {
            play(&mut harness, Duration::from_secs(1));
            harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER, age)]);
        }

        let share = relative_share(&mut harness);

        assert!(share > 0.9, "{age:?}: {share:.2}");
    }
}

#[test]
fn a_second_restart_within_slow_start_begins_it_again() {
    for age in AGES {
        let mut harness = following_balancer();
        harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER, age)]);
        play(&mut harness, SLOW_START / 2);

        harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER + 3000, age)]);

        assert_slow_start_runs_from_now(&mut harness, &format!("{age:?}"));
    }
}

#[test]
fn an_upstream_first_seen_in_a_change_is_warmed_up_from_then_on() {
    for age in AGES {
        let others: Vec<_> = (2..=UPSTREAMS).map(old).collect();
        let mut harness = BalancerHarness::new(settings().build(), &others);
        harness.update_endpoints(UpdateScope::Snapshot, &others);
        play(&mut harness, Duration::from_secs(3));

        harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER, age)]);

        assert_slow_start_runs_from_now(&mut harness, &format!("{age:?}"));
    }
}

/// Has the list name others in place of two upstreams. One of them is new, so that the state of the removed
/// ones is dropped.
fn remove_restarted(harness: &mut BalancerHarness) {
    let others: Vec<_> = (3..=UPSTREAMS + 1).map(old).collect();
    harness.update_endpoints(UpdateScope::Snapshot, &others);
}

/// It was cut off from discovery, not restarted.
#[test]
fn an_upstream_that_was_removed_and_comes_back_with_the_same_start_stays_warm() {
    let mut harness = following_balancer();
    remove_restarted(&mut harness);
    play(&mut harness, Duration::from_secs(3));

    harness.update_endpoints(UpdateScope::Delta, &[old(1)]);

    let share = relative_share(&mut harness);
    assert!(share > 0.8, "{share:.2}");
}

#[test]
fn an_upstream_that_was_removed_and_comes_back_with_another_start_is_warmed_up() {
    let mut harness = following_balancer();
    remove_restarted(&mut harness);
    play(&mut harness, Duration::from_secs(3));

    harness.update_endpoints(UpdateScope::Delta, &[started(1, AFTER, AGES[4])]);

    assert_slow_start_runs_from_now(&mut harness, "removed and restarted");
}

/// The end of an ejection begins slow start, too; a restart meanwhile still counts, and ends the ejection.
#[test]
fn a_restart_during_an_ejection_is_recognized() {
    let by_wall_clock = |_| started(1, AFTER, Duration::ZERO);
    let by_own_clock = |now| EndpointBuilder::new(1).started_at(now).build();
    assert_restart_during_an_ejection_is_recognized(by_wall_clock);
    assert_restart_during_an_ejection_is_recognized(by_own_clock);
}

fn assert_restart_during_an_ejection_is_recognized(restarted: impl Fn(Duration) -> EndpointEntry) {
    let mut harness = following_balancer();
    let fails = |upstream| Some(if upstream == RESTARTED { Outcome::ConnectFailed } else { Outcome::Ok });
    harness.simulate_requests(100, REQUEST_INTERVAL, fails);
    let sent_while_ejected = harness.attempts_sent_to(RESTARTED);
    harness.simulate_requests(20, REQUEST_INTERVAL, fails);
    assert_eq!(harness.attempts_sent_to(RESTARTED), sent_while_ejected, "it is ejected");

    let entry = restarted(harness.now);
    harness.update_endpoints(UpdateScope::Delta, &[entry]);

    play(&mut harness, Duration::from_secs(1));
    assert!(harness.attempts_sent_to(RESTARTED) > sent_while_ejected, "the ejection has ended");
}

/// A new process can't tell an old start from a recent one but by the wall clock.
#[test]
fn the_lists_that_a_balancer_begins_with_go_by_the_wall_clock() {
    for scope in [UpdateScope::Cached, UpdateScope::Snapshot] {
        let begin_with = |age| {
            let mut list = old_fleet();
            list[0] = started(1, AFTER, age);
            let cached = if scope == UpdateScope::Cached { list.clone() } else { old_fleet() };
            let mut harness = BalancerHarness::new(settings().build(), &cached);
            harness.update_endpoints(UpdateScope::Snapshot, &list);
            harness
        };

        let recent = relative_share(&mut begin_with(Duration::ZERO));
        let halfway = relative_share(&mut begin_with(SLOW_START / 2));
        let old = relative_share(&mut begin_with(SLOW_START));

        assert!(recent < 0.6, "{scope:?}: {recent:.2}");
        assert!(recent < halfway && halfway < old, "{scope:?}: {recent:.2} {halfway:.2} {old:.2}");
        assert!(old > 0.9, "{scope:?}: {old:.2}");
    }
}
