//! Soak test of the shutdown of a single balancer process.
//!
//! It guards against requests that the process has read, but that get no response, or a late one, because the
//! process is shutting down. The process gets SIGTERM under traffic, and SIGKILL at the earliest time at
//! which the platform may send it. Meanwhile, clients go on using the connections that stay open.
//!
//! - `plan`: draws the parameters of a run from a seed;
//! - `upstreams`: upstreams that respond immediately, with a delay or never, and record the requests;
//! - `clients`: clients that use each connection until it ends, and idle connections;
//! - `evaluation`: finds the requests that were lost.

mod clients;
mod evaluation;
mod plan;
mod upstreams;

pub use evaluation::LostRequest;

use crate::agent::{Agent, AgentFaults};
use crate::balancer_process::{BalancerProcess, ProcessOptions, Signal};
use crate::registry::{Registry, Server, ServerState, UpdateScope};
use crate::shared_registry::SharedRegistry;
use crate::shim::{Shim, SystemFaults};
use clients::Clients;
use plan::{Plan, ScheduledSignal};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use upstreams::Upstreams;

/// The discovery agent injects no faults, because this test is about the shutdown only.
const NO_AGENT_FAULTS: AgentFaults =
    AgentFaults { truncated_update: 0.0, closed_watch: 0.0, snapshot: 0.0, max_chunk_bytes: 64 * 1024 };
/// The platform counts longer deadlines as this one when it determines the time of SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the end of the longest deadline, counted from SIGTERM, and SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The plan that was drawn from the seed, as text for a reader.
    pub plan: String,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of requests that got a response with status 200.
    pub served: usize,
    /// Number of requests that got no response, but do not count as lost, because the balancer had not read
    /// them.
    pub not_read: usize,
    /// Requests that got a late response, or none although the balancer had read them.
    pub lost: Vec<LostRequest>,
    /// Whether the process ended before the first signal of the run, or ended with an error.
    pub has_crashed: bool,
    /// Whether the process was still running at the time of SIGKILL.
    pub was_killed: bool,
}

/// Runs the plan that is drawn from `seed`. `program` is the executable of the balancer, and `directory` an
/// existing directory for its configuration file and the shim.
///
/// Returns an error if a stand-in or the balancer process cannot be started or controlled. Faults of the
/// balancer are in the report instead.
pub fn run(seed: u64, program: &Path, directory: &Path) -> io::Result<Report> {
    let plan = Plan::draw(seed);
    let upstreams = Upstreams::start(&plan)?;
    let registry = SharedRegistry::new(Registry::new(servers(&upstreams)));
    let agent = Agent::start(&registry, NO_AGENT_FAULTS, seed)?;
    let shim = Shim::build(directory)?;
    let faults =
        SystemFaults { per_mille: plan.system_faults_per_mille, seed, steps_clock: plan.steps_clock };
    let mut process = BalancerProcess::start(&ProcessOptions {
        program,
        index: 0,
        balancers: 1,
        discovery: agent.address(),
        cached_endpoints: &registry.update(UpdateScope::Snapshot { include_draining: true }).json,
        directory,
        environment: &shim.environment(faults),
        classes: Some(plan.classes_json()),
        log_level: "debug",
    })?;
    let address = process.wait_until_serving()?;
    let clients = Clients::start(address, &plan);
    thread::sleep(plan.traffic_before_signals);
    let has_ended_early = process.has_ended()?;
    let terminated_at = send_signals(&process, &plan.signals)?;
    clients.stop_connecting_at(terminated_at + plan.new_connections_after_sigterm);
    let kill_at = terminated_at + plan.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let process_end = process.kill_and_wait()?;
    let requests = clients.finish();
    let log = process.complete_log();
    Ok(evaluation::evaluate(&plan, &requests, &upstreams.arrivals(), &log, process_end, has_ended_early))
}

/// Sends the signals of a plan. Returns the time of the first SIGTERM.
fn send_signals(process: &BalancerProcess, signals: &[ScheduledSignal]) -> io::Result<Instant> {
    let began_at = Instant::now();
    let mut terminated_at = None;
    for ScheduledSignal { offset, signal } in signals {
        thread::sleep((began_at + *offset).saturating_duration_since(Instant::now()));
        if *signal == Signal::Terminate {
            terminated_at.get_or_insert_with(Instant::now);
        }
        // A signal after SIGTERM may fail because the process has already ended.
        if process.signal(*signal).is_err() && terminated_at.is_none() {
            return Err(io::Error::other(
                "sending a signal before SIGTERM failed; the balancer process may have ended",
            ));
        }
    }
    terminated_at.ok_or_else(|| io::Error::other("the signals to send contain no SIGTERM"))
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
        started_at_unix_ms: 0,
    };
    upstreams.addresses().iter().copied().enumerate().map(server).collect()
}
