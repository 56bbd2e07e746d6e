//! Soak test of balancer processes in a fleet of servers, with faults drawn from a seed.
//!
//! It guards against balancer processes that go on sending requests to a draining server after a grace
//! period, which begins when the process is notified. This can happen, for example, when a watch breaks
//! during the update, or when the process starts with an old endpoint list.
//!
//! - `fleet`: the servers, the discovery agents and the balancer processes of a run;
//! - `faults`: groups of servers drain and become ready again, the weights of a quarter of the servers (often
//!   hundreds) change at once, discovery moves or stalls, and balancers are paused, or killed and restarted
//!   with an old endpoint list.

mod faults;
mod fleet;

use crate::agent::AgentFaults;
use crate::client::ResponseCounts;
use crate::drain_rule::DrainViolation;
use fleet::Fleet;
use std::collections::HashMap;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the time between two faults.
const FAULT_INTERVAL_MS: Range<u64> = 100..300;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of servers.
    pub servers: usize,
    /// Number of groups among which the servers are divided.
    pub groups: usize,
    /// Number of balancers, each with its own discovery agent.
    pub balancers: usize,
    /// How long the run injects faults.
    pub duration: Duration,
    /// How long after its notification a balancer process may still send requests to a draining server.
    pub drain_grace: Duration,
    /// Faults of the discovery agents.
    pub agent_faults: AgentFaults,
    /// How many of a thousand network calls of the balancer processes fail, on average.
    pub system_faults_per_mille: u32,
    /// Whether the wall clocks of the balancer processes are stepped.
    pub steps_clock: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests that reached a draining server after the grace period.
    pub violations: Vec<DrainViolation>,
    /// Numbers of requests of all clients, by outcome.
    pub responses: ResponseCounts,
    /// Number of balancer processes that ended before they were killed.
    pub crashes: usize,
    /// Number of balancer processes that were started.
    pub starts: usize,
    /// How often a group began to drain.
    pub drains: usize,
    /// How often a balancer was paused.
    pub pauses: usize,
    /// How often a balancer was moved to another discovery agent.
    pub discovery_moves: usize,
    /// How often the discovery agent of a balancer was stalled.
    pub discovery_stalls: usize,
    /// Log lines of each balancer process, by the name of the process.
    pub logs: HashMap<String, Vec<String>>,
}

/// Runs a plan with the faults that `seed` determines. `program` is the executable of the balancer, and
/// `directory` an existing directory for its configuration files and the shim.
///
/// Returns an error if a stand-in or a balancer process cannot be started or controlled. Faults of the
/// balancers are in the report instead.
pub fn run(plan: Plan, seed: u64, program: &Path, directory: &Path) -> io::Result<Report> {
    let mut fleet = Fleet::new(plan, seed, program, directory)?;
    fleet.start_all_balancers()?;
    let end = Instant::now() + plan.duration;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(fleet.random.u64(FAULT_INTERVAL_MS)));
        fleet.end_due_stalls();
        fleet.inject_fault()?;
    }
    fleet.finish()
}
