//! A golden test of the balancer's decisions. Each scenario runs a balancer with its own settings through a
//! generated history of events, and a hash over all actions that the balancer returns is compared with a
//! recorded one. A change that is not meant to change decisions must not change any hash.
//!
//! The hashes depend on the values in the actions, not on the names of types, so that types can be renamed.
//! The end of a health check is not covered, because the balancer requests no health checks.

mod action_hash;
mod generator;
mod scenario;
mod simulation;

use scenario::scenarios;
use simulation::Simulation;
use std::collections::BTreeMap;

/// Number of events in each scenario, including those that result from the balancer's actions.
const EVENTS_PER_SCENARIO: usize = 40_000;
/// Values at the end of a scenario that the test compares.
#[derive(Debug, PartialEq)]
struct ScenarioResult {
    scenario: &'static str,
    /// Hash over all actions that the balancer has returned.
    action_hash: u64,
    /// Number of entries in the balancer's state.
    state_entry_count: usize,
}

const fn scenario_result(
    scenario: &'static str,
    action_hash: u64,
    state_entry_count: usize,
) -> ScenarioResult {
    ScenarioResult { scenario, action_hash, state_entry_count }
}

/// Results that were recorded before the code was restructured. They are changed only together with an
/// intended change of the decisions.
const RECORDED_RESULTS: [ScenarioResult; 8] = [
    scenario_result("small fleet", 0x9e28_9340_fc2b_ffd7, 154),
    scenario_result("large fleet", 0xceb0_7a67_3d84_7fed, 749),
    scenario_result("watches started by balancer", 0x6043_2560_9d93_7b26, 231),
    scenario_result("live weights", 0xd00e_6464_67f9_8f8f, 148),
    scenario_result("no cancellation", 0x7869_b94a_d9af_ba6c, 138),
    scenario_result("sparse traffic", 0x74ce_a040_3b28_e480, 567),
    scenario_result("crowded", 0x9a5d_1cfb_5384_30cf, 408),
    scenario_result("outage", 0xd7e1_bdea_d09f_cb7c, 344),
];

/// Runs a scenario to its end. The seed depends on the scenario's index in [`scenarios`].
fn run(index: usize, scenario: scenario::Scenario) -> Simulation {
    let mut simulation = Simulation::new(scenario, 23 + index as u64);
    for _ in 0..EVENTS_PER_SCENARIO {
        simulation.step();
    }
    simulation
}

#[test]
fn decisions_match_the_recorded_hashes() {
    let mut results = Vec::new();
    for (index, scenario) in scenarios().into_iter().enumerate() {
        let name = scenario.name;
        let simulation = run(index, scenario);
        results.push(scenario_result(
            name,
            simulation.action_hash.0,
            simulation.balancer.state_entry_count(),
        ));
    }
    assert_eq!(results, RECORDED_RESULTS);
}

/// A decision that is never made in any scenario would not be covered by the hashes.
#[test]
fn every_outcome_and_every_emitted_action_occurs_in_the_scenarios() {
    let mut occurrences: BTreeMap<&'static str, usize> = BTreeMap::new();
    for (index, scenario) in scenarios().into_iter().enumerate() {
        for (kind, count) in run(index, scenario).occurrences {
            *occurrences.entry(kind).or_default() += count;
        }
    }
    for kind in [
        "ok",
        "error",
        "rejected",
        "timed out",
        "connect failed",
        "reset",
        "cancelled",
        "not sent",
        "cancel",
        "over quota",
        "no upstream",
        "no retry",
        "fail",
        "retry or hedge",
        "close idle connections",
        "watch",
    ] {
        assert!(occurrences.get(kind).is_some_and(|count| *count >= 5), "{kind}: {occurrences:?}");
    }
}
