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
    recorded("small fleet", 0xebfd_5f0d_8a14_c3f5, 130),
    recorded("large fleet", 0xb8fd_9e28_4feb_1c24, 721),
    recorded("polled list", 0x81f8_7529_47fe_7987, 257),
    recorded("live weights", 0x26e1_61ba_89ed_8017, 291),
    recorded("no cancelling", 0x7c1e_62d9_29f6_3b85, 140),
    recorded("thin traffic", 0x2fa0_56ac_bb1c_3dd0, 497),
    recorded("crowded", 0x9a5d_1cfb_5384_30cf, 408),
    recorded("outage", 0x3ef0_dc32_8d06_59b5, 303),
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
        found.push(recorded(name, world.hash.0, world.balancer.entries()));
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
