//! A soak test: a fleet of servers against processes of the balancer, under faults drawn from a seed.
//!
//! - `fleet`: the servers, the discovery agents and the processes of a run;
//! - `faults`: groups of servers drain and come back, weights change by the hundred, discovery moves or stalls, and
//!   balancers are paused, or killed and restarted with the list that they had.

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

/// Time between two faults.
const FAULT_INTERVAL_MS: Range<u64> = 100..300;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Servers.
    pub servers: usize,
    /// Groups that share out the servers.
    pub groups: usize,
    /// Balancers.
    pub balancers: usize,
    /// How long the run takes.
    pub duration: Duration,
    /// How long after its notification a balancer may still send requests to a draining server.
    pub drain_grace: Duration,
    /// Faults of discovery.
    pub agent_faults: AgentFaults,
    /// How many of a thousand system calls of a balancer fail.
    pub system_faults_per_mille: u32,
    /// The wall clocks of the balancers are stepped.
    pub steps_clock: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests that reached a draining server too late.
    pub violations: Vec<DrainViolation>,
    /// How the requests of all clients ended.
    pub responses: ResponseCounts,
    /// Processes that ended by themselves.
    pub crashes: usize,
    /// Processes that were started.
    pub starts: usize,
    /// How often a group drained.
    pub drains: usize,
    /// How often a balancer was paused.
    pub pauses: usize,
    /// How often a balancer's discovery moved.
    pub discovery_moves: usize,
    /// How often a balancer's discovery stalled.
    pub discovery_stalls: usize,
    /// The log of each process, by its name.
    pub logs: HashMap<String, Vec<String>>,
}

/// Runs a plan with a seed. `folder` holds the balancers' configurations meanwhile.
///
/// Fails if a stand-in or a process of the balancer cannot be started or controlled. What balancers do wrong
/// is in the report.
pub fn run(plan: Plan, seed: u64, program: &Path, folder: &Path) -> io::Result<Report> {
    let mut fleet = Fleet::new(plan, seed, program, folder)?;
    fleet.start_all()?;
    let end = Instant::now() + plan.duration;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(fleet.random.u64(FAULT_INTERVAL_MS)));
        fleet.end_due_stalls();
        fleet.inject_fault()?;
    }
    fleet.finish()
}
