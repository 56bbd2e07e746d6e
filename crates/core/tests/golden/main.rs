//! A golden test of the decisions: a generated history of events for each of several settings, and a hash
//! over every action that a balancer returns. A change that is meant to leave the decisions as they are
//! leaves the hashes as they are.
//!
//! Only numbers enter the hashes, never a type's name, so that renaming a type changes nothing here. The end
//! of a health check is not covered, as the balancer sends none.

mod action_hash;
mod generator;
mod scenario;
mod world;

use scenario::scenarios;
use std::collections::BTreeMap;
use world::World;

/// Events that are generated for each scenario, the answers to the balancer's own actions included.
const EVENTS_PER_SCENARIO: usize = 40_000;
/// What is left of a scenario: the hash of all actions, and the entries of state at its end.
#[derive(Debug, PartialEq)]
struct Recorded {
    scenario: &'static str,
    action_hash: u64,
    state_entries: usize,
}

const fn recorded(scenario: &'static str, action_hash: u64, state_entries: usize) -> Recorded {
    Recorded { scenario, action_hash, state_entries }
}

/// Recorded before the code was rearranged. Changed only together with an intended change of the decisions.
const RECORDED: [Recorded; 8] = [
    recorded("small fleet", 0x9e28_9340_fc2b_ffd7, 154),
    recorded("large fleet", 0xceb0_7a67_3d84_7fed, 749),
    recorded("polled list", 0x5d87_0e67_8667_ab54, 202),
    recorded("live weights", 0xd00e_6464_67f9_8f8f, 148),
    recorded("no cancelling", 0x7869_b94a_d9af_ba6c, 138),
    recorded("thin traffic", 0x74ce_a040_3b28_e480, 567),
    recorded("crowded", 0x9a5d_1cfb_5384_30cf, 408),
    recorded("outage", 0xd7e1_bdea_d09f_cb7c, 344),
];

/// Plays a scenario to its end.
fn play(position: usize, scenario: scenario::Scenario) -> World {
    let mut world = World::new(scenario, 23 + position as u64);
    for _ in 0..EVENTS_PER_SCENARIO {
        world.step();
    }
    world
}

#[test]
fn the_decisions_are_those_that_were_recorded() {
    let mut found = Vec::new();
    for (position, scenario) in scenarios().into_iter().enumerate() {
        let name = scenario.name;
        let world = play(position, scenario);
        found.push(recorded(name, world.hash.0, world.balancer.state_entry_count()));
    }
    assert_eq!(found, RECORDED);
}

/// A history in which some decision is never made would prove nothing about it.
#[test]
fn every_outcome_and_every_emitted_action_occurs() {
    let mut seen: BTreeMap<&'static str, usize> = BTreeMap::new();
    for (position, scenario) in scenarios().into_iter().enumerate() {
        for (what, count) in play(position, scenario).seen {
            *seen.entry(what).or_default() += count;
        }
    }
    for what in [
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
        "close idle",
        "watch",
    ] {
        assert!(seen.get(what).is_some_and(|count| *count >= 5), "{what}: {seen:?}");
    }
}
