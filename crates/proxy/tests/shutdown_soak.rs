//! Soak test of the shutdown of a process under traffic, with a plan drawn from a seed.
//!
//! To run more seeds: `SOAK_SEEDS=50 cargo test --release -p balancer-proxy --test shutdown_soak --
//! --nocapture`.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use testbed::shutdown::{self, Report};

/// Seeds to run if `SOAK_SEEDS` is not set to a number.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];
/// Number of runs that are carried out at once.
const PARALLEL_RUNS: usize = 3;
/// Minimum mean number of requests per run for the soak test to be meaningful. A single run may have fewer,
/// since all its upstreams may be of the kind that never responds.
const MIN_MEAN_REQUESTS: usize = 20;

/// Returns the seeds 1 to `SOAK_SEEDS`, or the default seeds if this variable is not set to a number.
fn seeds() -> Vec<u64> {
    let count = std::env::var("SOAK_SEEDS").ok().and_then(|count| count.parse().ok());
    count.map_or_else(|| DEFAULT_SEEDS.to_vec(), |count: u64| (1..=count).collect())
}

/// Returns whether a request was lost or the process crashed.
fn has_failed(report: &Report) -> bool {
    !report.lost.is_empty() || report.has_crashed
}

/// Runs the plan that is drawn from a seed, and prints the result.
fn run_seed(seed: u64, directory: &Path) -> Report {
    let directory = directory.join(seed.to_string());
    std::fs::create_dir_all(&directory).expect("the directory of a run can be created");
    let program = Path::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    let report = shutdown::run(seed, program, &directory).expect("the run can be carried out");
    let Report { requests, served, not_read, lost, has_crashed, was_killed, .. } = &report;
    println!(
        "seed {seed}: requests={requests} served={served} not_read={not_read} lost={} crashed={has_crashed} \
         killed={was_killed}",
        lost.len()
    );
    if has_failed(&report) {
        println!("  {}\n  {:#?}", report.plan, report.lost.iter().take(2).collect::<Vec<_>>());
    }
    report
}

/// Combined results of several runs.
#[derive(Default)]
struct Summary {
    requests: usize,
    failed_seeds: Vec<u64>,
}

/// Runs the seeds that no other thread has started, until none is left. Returns their combined results.
fn run_remaining_seeds(seeds: &[u64], next_seed: &AtomicUsize, directory: &Path) -> Summary {
    let mut summary = Summary::default();
    while let Some(seed) = seeds.get(next_seed.fetch_add(1, Ordering::Relaxed)) {
        let report = run_seed(*seed, directory);
        summary.requests += report.requests;
        if has_failed(&report) {
            summary.failed_seeds.push(*seed);
        }
    }
    summary
}

/// Guards against requests that the process has read, but that get no response or a late one because it shuts
/// down after SIGTERM.
#[test]
fn no_request_is_lost_on_shutdown() {
    let directory: PathBuf = std::env::temp_dir().join(format!("shutdown-soak-{}", std::process::id()));
    let seeds = seeds();
    let next_seed = AtomicUsize::new(0);
    let summaries: Vec<Summary> = thread::scope(|scope| {
        let run = || run_remaining_seeds(&seeds, &next_seed, &directory);
        let runs: Vec<_> = (0..PARALLEL_RUNS).map(|_| scope.spawn(run)).collect();
        runs.into_iter().map(|run| run.join().expect("the soak thread does not panic")).collect()
    });
    // Files that remain in the temporary directory do no harm.
    let _ = std::fs::remove_dir_all(&directory);
    let requests: usize = summaries.iter().map(|summary| summary.requests).sum();
    let failed_seeds: Vec<u64> = summaries.into_iter().flat_map(|summary| summary.failed_seeds).collect();
    assert!(failed_seeds.is_empty(), "failed seeds: {failed_seeds:?}");
    assert!(requests >= MIN_MEAN_REQUESTS * seeds.len(), "only {requests} requests were sent");
}
