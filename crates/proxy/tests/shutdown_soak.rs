//! The end of a process under traffic, with what a seed draws.
//!
//! By hand, with more seeds: `SOAK_SEEDS=50 cargo test --release -p balancer-proxy --test shutdown_soak --
//! --nocapture`.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use testbed::shutdown::{self, Report};

/// Seeds used where `SOAK_SEEDS` states no number of them.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];
/// How many runs go on at once.
const PARALLEL_RUNS: usize = 3;
/// Fewer requests a run, over all runs, have tested too little. A single run may have upstreams that never
/// respond only.
const MIN_MEAN_REQUESTS: usize = 20;

/// The seeds 1 to `SOAK_SEEDS`, or the default ones.
fn seeds() -> Vec<u64> {
    let count = std::env::var("SOAK_SEEDS").ok().and_then(|count| count.parse().ok());
    count.map_or_else(|| DEFAULT_SEEDS.to_vec(), |count: u64| (1..=count).collect())
}

fn is_at_fault(report: &Report) -> bool {
    !report.lost.is_empty() || report.has_crashed
}

fn run_seed(seed: u64, folder: &Path) -> Report {
    let folder = folder.join(seed.to_string());
    std::fs::create_dir_all(&folder).expect("the folder of a run can be created");
    let program = Path::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    let report = shutdown::run(seed, program, &folder).expect("the run can be carried out");
    let Report { requests, served, not_read, lost, has_crashed, was_killed, .. } = &report;
    println!(
        "seed {seed}: requests={requests} served={served} not_read={not_read} lost={} crashed={has_crashed} \
         killed={was_killed}",
        lost.len()
    );
    if is_at_fault(&report) {
        println!("  {}\n  {:#?}", report.plan, report.lost.iter().take(2).collect::<Vec<_>>());
    }
    report
}

/// The results of several runs.
#[derive(Default)]
struct Summary {
    requests: usize,
    seeds_at_fault: Vec<u64>,
}

fn run_remaining_seeds(seeds: &[u64], next: &AtomicUsize, folder: &Path) -> Summary {
    let mut summary = Summary::default();
    while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
        let report = run_seed(*seed, folder);
        summary.requests += report.requests;
        if is_at_fault(&report) {
            summary.seeds_at_fault.push(*seed);
        }
    }
    summary
}

/// Guards the response to each request that a process has read when it is told to end.
#[test]
fn a_process_that_is_told_to_end_loses_no_request() {
    let folder: PathBuf = std::env::temp_dir().join(format!("shutdown-soak-{}", std::process::id()));
    let seeds = seeds();
    let next = AtomicUsize::new(0);
    let summaries: Vec<Summary> = thread::scope(|scope| {
        let run = || run_remaining_seeds(&seeds, &next, &folder);
        let runs: Vec<_> = (0..PARALLEL_RUNS).map(|_| scope.spawn(run)).collect();
        runs.into_iter().map(|run| run.join().expect("a run can be carried out")).collect()
    });
    // What is left in the temporary folder fails no test.
    let _ = std::fs::remove_dir_all(&folder);
    let requests: usize = summaries.iter().map(|summary| summary.requests).sum();
    let at_fault: Vec<u64> = summaries.into_iter().flat_map(|summary| summary.seeds_at_fault).collect();
    assert!(at_fault.is_empty(), "seeds {at_fault:?}");
    assert!(requests >= MIN_MEAN_REQUESTS * seeds.len(), "only {requests} requests");
}
