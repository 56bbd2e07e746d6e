//! Processes of the balancer in a fleet of thousands of servers, under faults drawn from a seed.
//!
//! By hand, with more seeds: `SOAK_SEEDS=50 cargo test --release -p balancer-proxy --test large_fleet -- --nocapture`.

use std::path::Path;
use std::time::Duration;
use testbed::agent::AgentFaults;
use testbed::client::Answers;
use testbed::soak::{Outcome, Plan, play};

/// The grace for servers that drain, and what a busy machine may add to it.
const GRACE: Duration = Duration::from_millis(300 + 100);
/// Seeds played where no number of them is asked for. The code before 34b7ad0 broke the rule with each.
const FEW_SEEDS: [u64; 3] = [1, 8, 10];

/// Breaches of a seed that are shown with the log of their process.
const SHOWN_BREACHES: usize = 1;

fn summary(outcome: &Outcome) -> String {
    let Outcome { starts, drains, hold_ups, moves, silences, answers, crashes, breaches, .. } = outcome;
    let Answers { served, not_served, lost } = answers;
    let breaches = breaches.len();
    format!(
        "{starts} starts, {drains} drains, {hold_ups} hold-ups, {moves} moves of discovery, {silences} silences; \
         {served} served, {not_served} not served, {lost} lost, {crashes} crashes, {breaches} breaches"
    )
}

fn seeds() -> Vec<u64> {
    let asked = std::env::var("SOAK_SEEDS").ok().and_then(|count| count.parse().ok());
    asked.map_or_else(|| FEW_SEEDS.to_vec(), |count: u64| (1..=count).collect())
}

/// A fleet of the largest size.
const LARGE_FLEET: Plan = Plan {
    servers: 3200,
    groups: 40,
    balancers: 3,
    lasts: Duration::from_secs(6),
    grace: GRACE,
    faults: AgentFaults { broken_off: 0.03, ended: 0.03, whole: 0.5, longest_piece: 16 * 1024 },
    system_faults_per_mille: 0,
};

/// Plays all seeds, and fails with those that broke a rule or were hardly served.
fn play_seeds(name: &str, plan: Plan) {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut failed = Vec::new();
    for seed in seeds() {
        let outcome = play(plan, seed, Path::new(env!("CARGO_BIN_EXE_balancer-proxy")), &folder).unwrap();
        println!("{name}, seed {seed}: {}", summary(&outcome));
        for breach in outcome.breaches.iter().take(SHOWN_BREACHES) {
            println!("  {breach:?}");
            outcome.logs[&breach.sender].iter().for_each(|line| println!("    {line}"));
        }
        let Answers { served, not_served, lost } = outcome.answers;
        let works = served > 100 && not_served * 50 < served && lost == 0 && outcome.crashes == 0;
        if !outcome.breaches.is_empty() || !works {
            failed.push(seed);
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Guards the drain rule in large fleets, with lists in pieces, broken watches and processes that start with an old list.
#[test]
fn a_large_fleet_drains_safely() {
    play_seeds("large-fleet", LARGE_FLEET);
}

/// Guards the same, and each request's answer, where system calls fail in the ways that they may: reads and writes are
/// interrupted or short, accept, socket and connect lack resources for a moment.
#[test]
fn failing_system_calls_lose_no_request() {
    let plan = Plan { servers: 400, groups: 20, system_faults_per_mille: 50, ..LARGE_FLEET };
    play_seeds("system-faults", plan);
}
