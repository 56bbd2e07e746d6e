//! Tests of slow start: an upstream that has just started gets few requests at first. All balancers together
//! must not send it more requests than the settings allow, but enough for it to warm up.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod idle_new_upstream;
mod utilization;
mod wall_clock;
mod windows;

use balancer_core::*;
use common::*;
use fleet::{Disturbance, Fleet, NewUpstreamReports, Scenario};
use idle_new_upstream::{NEW_UPSTREAM_AT, WARM_CAPACITY_PER_SECOND};
use std::time::Duration;
use windows::WindowCounts;

/// Each balancer's share of the request budget is less than one request. The requests of all balancers
/// together must stay within the budget in every window: with many balancers, while balancers restart, after
/// a pause in which all of them have saved turns, and when attempts fail, so that the upstream is ejected and
/// probed repeatedly.
#[test]
fn an_upstream_in_slow_start_is_not_overloaded_by_all_balancers_together() {
    for (balancers, requests_per_second) in [(20, 14.0), (30, 14.0), (350, 2.0)] {
        for disturbance in [
            Disturbance::Restarts,
            Disturbance::RestartsWithSlowUpstreams,
            Disturbance::Pause,
            Disturbance::Failures,
        ] {
            for reports in [NewUpstreamReports::None, NewUpstreamReports::CapacityMultiple(1.0)] {
                let scenario = Scenario { balancers, requests_per_second, disturbance, reports };

                let sent_at = Fleet::requests_to_new_upstream(scenario);

                assert!(
                    sent_at.len() > 20,
                    "{scenario:?}: the new upstream got too few requests to warm up: {}",
                    sent_at.len()
                );
                assert_within_budget(scenario, &sent_at);
            }
        }
    }
}

/// Asserts that every window has at most as many requests as the settings allow, with a margin for chance.
fn assert_within_budget(scenario: Scenario, sent_at: &[Duration]) {
    let settings = scenario.settings(0);
    for window in WindowCounts::new(sent_at, settings.overload_duration) {
        let capacity =
            scenario.warm_capacity() * fleet::configured_capacity_share(&settings, window.begins_at);
        let budget = settings.overload_factor * capacity * settings.overload_duration.as_secs_f64();
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        let requests = window.requests;
        assert!(
            requests <= limit,
            "{scenario:?}: {requests} requests exceed the limit of {limit:.0} in the window from {:?}",
            window.begins_at
        );
    }
}

/// The settings state the least capacity of an upstream in slow start. An upstream that reports more spare
/// capacity gets more requests, so that it is not idle while others are overloaded.
#[test]
fn an_upstream_in_slow_start_that_reports_spare_capacity_gets_more_requests() {
    for (balancers, requests_per_second) in [(20, 14.0), (100, 10.0)] {
        let requests_to_new_upstream = |reports| {
            let disturbance = Disturbance::None;
            let scenario = Scenario { balancers, requests_per_second, disturbance, reports };
            Fleet::requests_to_new_upstream(scenario).len() as f64
        };

        let without_reports = requests_to_new_upstream(NewUpstreamReports::None);
        let with_stated_capacity = requests_to_new_upstream(NewUpstreamReports::CapacityMultiple(1.0));
        let with_twice_the_capacity = requests_to_new_upstream(NewUpstreamReports::CapacityMultiple(2.0));

        assert!(
            with_twice_the_capacity > 1.3 * without_reports,
            "{balancers} balancers: {with_twice_the_capacity} requests with twice the stated capacity, \
             {without_reports} without reports"
        );
        assert!(
            with_twice_the_capacity > with_stated_capacity,
            "{balancers} balancers: {with_twice_the_capacity} requests with twice the stated capacity, \
             {with_stated_capacity} with the stated capacity"
        );
    }
}

/// A balancer that has seen few responses admits few requests. Upstreams in slow start would then get few
/// turns and return few responses. The expected rate that follows from the quotas breaks this feedback loop.
#[test]
fn upstreams_in_slow_start_get_requests_again_after_a_long_time_without_served_attempts() {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce)
        .slow_start(0.2, ms(60_000))
        .quotas(&[20.0])
        .load_reports(LoadReporting::Inline, &[LoadField::Utilization])
        .build();
    let mut harness = BalancerHarness::new(settings, &endpoints(8));
    let started_at = harness.now;
    let restarted: Vec<_> =
        (1..=8).map(|id| EndpointBuilder::new(id).started_at(started_at).build()).collect();
    harness.update_endpoints(UpdateScope::Delta, &restarted);
    for _ in 0..40 {
        let id = harness.send_request(0, 0, ms(450));
        harness.advance(ms(450));
        if let Some(upstream) = harness.upstream_of(id, 0) {
            harness.end_attempt(id, 0, Outcome::TimedOut);
            harness.report_load(upstream, &[0.5]);
        }
    }
    let forwarded_before = harness.forwarded_requests();

    // The rate is a third of the quota. The upstreams have half of their capacity by now and can serve it.
    harness.simulate_requests(40, ms(150), |_| Some(Outcome::Ok));

    let forwarded = harness.forwarded_requests() - forwarded_before;
    assert!(forwarded >= 36, "only {forwarded} of 40 requests were forwarded once the upstreams responded");
}

/// A new upstream is idle while the others are loaded, so every balancer prefers it. All balancers together
/// must still not send it more than the configured multiple of its capacity in any window.
#[test]
fn an_idle_new_upstream_is_not_overloaded_by_all_balancers_together() {
    const OVERLOAD_FACTOR: f64 = 3.0;
    const OVERLOAD_SECONDS: f64 = 2.0;
    const OVERLOAD_DURATION: Duration = Duration::from_secs(2);
    for (traffic, balancers) in [(Traffic::Dense, 20), (Traffic::Sparse, 400)] {
        let settings_of = |index| {
            settings_of_all_classes(traffic)
                .balancers(balancers)
                .index(index)
                .max_attempts(4)
                .starts_watches(false)
                .slow_start(0.1, ms(20_000))
                .overload(OVERLOAD_FACTOR, OVERLOAD_DURATION)
                .quotas(&[700.0])
                .build()
        };

        let sent_at = idle_new_upstream::attempts_at_new_upstream(settings_of, balancers);

        assert!(sent_at.len() > 10, "the new upstream got too few requests to warm up: {}", sent_at.len());
        for window in WindowCounts::new(&sent_at, OVERLOAD_DURATION) {
            let age = window.begins_at.saturating_sub(NEW_UPSTREAM_AT).as_secs_f64();
            // One second is added to the age as a tolerance.
            let capacity = WARM_CAPACITY_PER_SECOND * (0.1 + 0.9 * ((age + 1.0) / 20.0).min(1.0));
            let budget = OVERLOAD_FACTOR * capacity * OVERLOAD_SECONDS;
            let requests = window.requests;
            assert!(
                requests <= budget,
                "{requests} requests in two seconds from {:?} exceed the budget of {budget}",
                window.begins_at
            );
        }
    }
}
