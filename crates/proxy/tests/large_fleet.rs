//! Processes of the balancer in a fleet of thousands of servers, under faults drawn from a seed.
//!
//! By hand, with more seeds: `SOAK_SEEDS=50 cargo test --release -p balancer-proxy --test large_fleet --
//! --nocapture`.

use std::path::Path;
use std::time::Duration;
use testbed::agent::AgentFaults;
use testbed::client::ResponseCounts;
use testbed::soak::{self, Plan, Report};

/// The grace for draining servers, 300 ms, and what a busy machine may add to it.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 100);
/// Seeds used where `SOAK_SEEDS` states no number of them. The code before 34b7ad0 broke the rule with each.
const DEFAULT_SEEDS: [u64; 3] = [1, 8, 10];
/// Violations of a seed that are printed with the log of their process.
const PRINTED_VIOLATIONS: usize = 1;
/// A run with fewer served requests has tested too little.
const MIN_SERVED: usize = 100;
/// One request in so many may be rejected or fail.
const MAX_NOT_SERVED_DIVISOR: usize = 50;

/// A fleet of the largest size.
const LARGE_FLEET: Plan = Plan {
    servers: 3200,
    groups: 40,
    balancers: 3,
    duration: Duration::from_secs(6),
    drain_grace: DRAIN_GRACE,
    agent_faults: AgentFaults {
        truncated_update: 0.03,
        closed_watch: 0.03,
        snapshot: 0.5,
        max_chunk_bytes: 16 * 1024,
    },
    system_faults_per_mille: 0,
    steps_clock: true,
};

/// The seeds 1 to `SOAK_SEEDS`, or the default ones.
fn seeds() -> Vec<u64> {
    let count = std::env::var("SOAK_SEEDS").ok().and_then(|count| count.parse().ok());
    count.map_or_else(|| DEFAULT_SEEDS.to_vec(), |count: u64| (1..=count).collect())
}

fn summary(report: &Report) -> String {
    let Report { starts, drains, pauses, discovery_moves, discovery_stalls, crashes, .. } = report;
    let ResponseCounts { served, not_served, unanswered } = report.responses;
    let violations = report.violations.len();
    format!(
        "starts={starts} drains={drains} pauses={pauses} discovery_moves={discovery_moves} \
         discovery_stalls={discovery_stalls} served={served} not_served={not_served} unanswered={unanswered} \
         crashes={crashes} violations={violations}"
    )
}

fn print_violations(report: &Report) {
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation:?}");
        for line in &report.logs[&violation.process] {
            println!("    {line}");
        }
    }
}

/// Whether requests were served, nearly all of them, and no request or process was lost.
fn has_served(report: &Report) -> bool {
    let ResponseCounts { served, not_served, unanswered } = report.responses;
    served > MIN_SERVED
        && not_served * MAX_NOT_SERVED_DIVISOR < served
        && unanswered == 0
        && report.crashes == 0
}

/// Runs a plan with all seeds and fails with those that broke the drain rule or were hardly served.
fn run_seeds(name: &str, plan: Plan) {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for configurations can be created");
    let program = Path::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    let mut failed = Vec::new();
    for seed in seeds() {
        let report = soak::run(plan, seed, program, &folder).expect("the run can be carried out");
        println!("{name}, seed {seed}: {}", summary(&report));
        print_violations(&report);
        if !report.violations.is_empty() || !has_served(&report) {
            failed.push(seed);
        }
    }
    // What is left in the temporary folder fails no test.
    let _ = std::fs::remove_dir_all(&folder);
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Guards the drain rule in large fleets, with updates in chunks, broken watches and processes that start
/// with an old list.
#[test]
fn a_large_fleet_drains_safely() {
    run_seeds("large-fleet", LARGE_FLEET);
}

/// Guards the same, and the response to each request, where system calls fail in permitted ways: reads and
/// writes are interrupted or short; accept, socket and connect lack resources for a moment.
#[test]
fn failing_system_calls_lose_no_request() {
    let plan = Plan { servers: 400, groups: 20, system_faults_per_mille: 50, ..LARGE_FLEET };
    run_seeds("system-faults", plan);
}
