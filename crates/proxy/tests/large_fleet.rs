//! Soak test of balancer processes in front of thousands of servers, with faults drawn from a seed.
//!
//! To run more seeds: `SOAK_SEEDS=50 cargo test --release -p balancer-proxy --test large_fleet --
//! --nocapture`.

use std::path::Path;
use std::time::Duration;
use testbed::agent::AgentFaults;
use testbed::client::ResponseCounts;
use testbed::soak::{self, Plan, Report};

/// Grace period for requests to a draining server, 300 ms, plus a tolerance of 100 ms for a busy machine.
const DRAIN_GRACE: Duration = Duration::from_millis(300 + 100);
/// Seeds to run if `SOAK_SEEDS` is not set to a number. The code before commit 34b7ad0 broke the drain rule
/// with each of them.
const DEFAULT_SEEDS: [u64; 3] = [1, 8, 10];
/// Number of violations that are printed for each seed, each with the log of its process.
const PRINTED_VIOLATIONS: usize = 1;
/// Number of served requests that a run has to exceed to be meaningful.
const MIN_SERVED: usize = 100;
/// Ratio of served requests to rejected or failed ones that a run has to exceed.
const MIN_SERVED_PER_NOT_SERVED: usize = 50;

/// A fleet of the maximum size.
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

/// Returns the seeds 1 to `SOAK_SEEDS`, or the default seeds if this variable is not set to a number.
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

/// Returns whether enough requests were served, nearly all requests were served, each request got a response
/// and no process crashed.
fn has_served_reliably(report: &Report) -> bool {
    let ResponseCounts { served, not_served, unanswered } = report.responses;
    served > MIN_SERVED
        && not_served * MIN_SERVED_PER_NOT_SERVED < served
        && unanswered == 0
        && report.crashes == 0
}

/// Runs a plan with each seed. Panics with the seeds whose run broke the drain rule or did not serve
/// reliably.
fn run_seeds(name: &str, plan: Plan) {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory for configurations can be created");
    let program = Path::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    let mut failed_seeds = Vec::new();
    for seed in seeds() {
        let report = soak::run(plan, seed, program, &directory).expect("the run can be carried out");
        println!("{name}, seed {seed}: {}", summary(&report));
        print_violations(&report);
        if !report.violations.is_empty() || !has_served_reliably(&report) {
            failed_seeds.push(seed);
        }
    }
    // Files that remain in the temporary directory do no harm.
    let _ = std::fs::remove_dir_all(&directory);
    assert!(failed_seeds.is_empty(), "failed seeds: {failed_seeds:?}");
}

/// Guards against requests to draining servers after the grace period, caused by updates in chunks, truncated
/// updates, closed watches or processes that start with an outdated list.
#[test]
fn draining_servers_of_a_large_fleet_get_no_requests_after_the_grace_period() {
    run_seeds("large-fleet", LARGE_FLEET);
}

/// Guards against lost requests, and against requests to draining servers after the grace period, when system
/// calls fail in ways that their manual pages allow: reads and writes are interrupted or incomplete, and
/// accept, socket and connect temporarily lack resources.
#[test]
fn no_request_is_lost_when_system_calls_fail() {
    let plan = Plan { servers: 400, groups: 20, system_faults_per_mille: 50, ..LARGE_FLEET };
    run_seeds("system-faults", plan);
}
