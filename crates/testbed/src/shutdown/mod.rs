//! A soak test of the end of a process: it gets SIGTERM under traffic and SIGKILL at the earliest moment that
//! the platform allows, while clients go on using the connections that stay open.
//!
//! - `plan`: what a seed draws;
//! - `upstreams`: upstreams that respond at once, late or never, and record what they got;
//! - `clients`: clients that use their connections to the end, and a crowd of idle ones;
//! - `verdict`: which requests were lost.

mod clients;
mod plan;
mod upstreams;
mod verdict;

pub use verdict::LostRequest;

use crate::agent::{Agent, AgentFaults};
use crate::balancer_process::{BalancerProcess, ProcessOptions, Signal};
use crate::registry::{Registry, Server, ServerState, UpdateScope};
use crate::shared_registry::SharedRegistry;
use crate::shim::{Shim, SystemFaults};
use clients::Clients;
use plan::{Plan, SignalAt};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use upstreams::Upstreams;

/// Discovery without faults: this soak is about the shutdown.
const NO_AGENT_FAULTS: AgentFaults =
    AgentFaults { truncated_update: 0.0, closed_watch: 0.0, snapshot: 0.0, max_chunk_bytes: 64 * 1024 };
/// The longest deadline that the platform counts before it kills a process.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the longest deadline and the kill.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// What the seed drew, for people.
    pub plan: String,
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that got status 200.
    pub served: usize,
    /// Requests that got no response and were not lost: the balancer had not read them.
    pub not_read: usize,
    /// Requests that were lost.
    pub lost: Vec<LostRequest>,
    /// The process ended before SIGTERM, or with an error.
    pub has_crashed: bool,
    /// The process had not ended by itself when it was killed.
    pub was_killed: bool,
}

/// Runs the plan that a seed draws. `folder` holds the configuration meanwhile.
///
/// Fails if a stand-in or the process cannot be started or controlled.
pub fn run(seed: u64, program: &Path, folder: &Path) -> io::Result<Report> {
    let plan = Plan::draw(seed);
    let upstreams = Upstreams::start(&plan)?;
    let registry = SharedRegistry::new(Registry::new(servers(&upstreams)));
    let agent = Agent::start(&registry, NO_AGENT_FAULTS, seed)?;
    let shim = Shim::build(folder)?;
    let faults =
        SystemFaults { per_mille: plan.system_faults_per_mille, seed, steps_clock: plan.steps_clock };
    let mut process = BalancerProcess::start(&ProcessOptions {
        program,
        index: 0,
        balancers: 1,
        discovery: agent.address(),
        cached_endpoints: &registry.update(UpdateScope::Snapshot { include_draining: true }).json,
        folder,
        environment: &shim.environment(faults),
        classes: Some(plan.classes_json()),
        log_level: "debug",
    })?;
    let address = process.wait_until_serving()?;
    let clients = Clients::start(address, &plan);
    thread::sleep(plan.traffic_before);
    let has_ended_early = process.has_ended()?;
    let terminated_at = send_signals(&process, &plan.signals)?;
    clients.stop_connecting_at(terminated_at + plan.connections_come_for);
    let kill_at = terminated_at + plan.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let ended = process.kill_and_wait()?;
    let requests = clients.finish();
    let log = process.complete_log();
    Ok(verdict::report(&plan, &requests, &upstreams.arrivals(), &log, ended, has_ended_early))
}

/// Sends a series of signals. Returns when SIGTERM was sent first.
fn send_signals(process: &BalancerProcess, signals: &[SignalAt]) -> io::Result<Instant> {
    let began_at = Instant::now();
    let mut terminated_at = None;
    for SignalAt { after, signal } in signals {
        thread::sleep((began_at + *after).saturating_duration_since(Instant::now()));
        if *signal == Signal::Terminate {
            terminated_at.get_or_insert_with(Instant::now);
        }
        // The process may have ended by itself behind SIGTERM.
        if process.signal(*signal).is_err() && terminated_at.is_none() {
            return Err(io::Error::other("the process has ended before SIGTERM"));
        }
    }
    terminated_at.ok_or_else(|| io::Error::other("a plan without SIGTERM"))
}

fn servers(upstreams: &Upstreams) -> Vec<Server> {
    let server = |(index, address)| Server {
        id: format!("s-{index}"),
        address,
        zone: "a",
        hardware: "m",
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at_ms: 0,
    };
    upstreams.addresses().iter().copied().enumerate().map(server).collect()
}
