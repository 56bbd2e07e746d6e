//! The servers, the discovery agents and the balancer processes of a run.

use super::faults::ActiveStall;
use super::{Plan, Report};
use crate::agent::Agent;
use crate::balancer_process::{BalancerProcess, ProcessOptions};
use crate::client::Client;
use crate::drain_rule::{self, DrainPeriod, ProcessHistory};
use crate::registry::{Registry, Server, ServerState, UpdateScope};
use crate::servers::ServerGroups;
use crate::shared_registry::SharedRegistry;
use crate::shim::{Shim, SystemFaults};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS_PER_BALANCER: usize = 2;
/// Pause of a client between a response and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
/// Number of cells to which the servers belong.
const CELL_COUNT: usize = 60;
/// Smallest weight of a server.
const MIN_WEIGHT_THOUSANDTHS: f64 = 600.0;
/// Difference between the largest and the smallest weight of a server.
const WEIGHT_RANGE_THOUSANDTHS: f64 = 800.0;

/// The state of a run.
pub(super) struct Fleet<'a> {
    pub plan: Plan,
    pub random: fastrand::Rng,
    pub registry: Arc<SharedRegistry>,
    pub balancers: Vec<BalancerSlot>,
    pub drain_periods: Vec<DrainPeriod>,
    /// All balancer processes that have been started, by name.
    pub processes: HashMap<String, ProcessHistory>,
    pub report: Report,
    program: &'a Path,
    directory: &'a Path,
    shim: Option<Shim>,
    groups: ServerGroups,
}

/// A balancer: its discovery agent, and its process while one is running.
pub(super) struct BalancerSlot {
    pub agent: Agent,
    /// The current stall of the discovery agent; `None` if it is not stalled.
    pub stall: Option<ActiveStall>,
    /// When the latest stall of the discovery agent ended; `None` if there was none.
    pub resumed_at: Option<Instant>,
    /// The running process; `None` while the balancer is down.
    pub running: Option<RunningBalancer>,
}

/// A running balancer process with its clients.
pub(super) struct RunningBalancer {
    pub process: BalancerProcess,
    pub clients: Vec<Client>,
    /// Name of the process, with which the correlation ids of its clients begin.
    pub name: String,
}

impl<'a> Fleet<'a> {
    /// Starts the servers and the discovery agents, but no balancers.
    pub fn new(plan: Plan, seed: u64, program: &'a Path, directory: &'a Path) -> io::Result<Self> {
        let mut random = fastrand::Rng::with_seed(seed);
        let shim = if plan.system_faults_per_mille > 0 || plan.steps_clock {
            Some(Shim::build(directory)?)
        } else {
            None
        };
        let groups = ServerGroups::start(plan.groups)?;
        let servers = (0..plan.servers).map(|index| {
            let address = groups.addresses()[index % plan.groups];
            draw_server(index, address, &mut random)
        });
        let registry = SharedRegistry::new(Registry::new(servers.collect()));
        let mut balancers = Vec::with_capacity(plan.balancers);
        for _ in 0..plan.balancers {
            let agent = Agent::start(&registry, plan.agent_faults, random.u64(..))?;
            balancers.push(BalancerSlot { agent, stall: None, resumed_at: None, running: None });
        }
        Ok(Self {
            plan,
            random,
            registry,
            balancers,
            drain_periods: Vec::new(),
            processes: HashMap::new(),
            report: Report::default(),
            program,
            directory,
            shim,
            groups,
        })
    }

    /// Starts all balancers with the current endpoint list.
    pub fn start_all_balancers(&mut self) -> io::Result<()> {
        let cached_endpoints = self.endpoint_list_json();
        for index in 0..self.plan.balancers {
            self.start_balancer(index, &cached_endpoints)?;
        }
        Ok(())
    }

    /// Starts a balancer with an endpoint list, waits until it serves, and starts its clients.
    pub fn start_balancer(&mut self, index: usize, cached_endpoints: &str) -> io::Result<()> {
        let faults = SystemFaults {
            per_mille: self.plan.system_faults_per_mille,
            seed: self.random.u64(..),
            steps_clock: self.plan.steps_clock,
        };
        let environment = self.shim.as_ref().map_or_else(Vec::new, |shim| shim.environment(faults));
        let mut process = BalancerProcess::start(&ProcessOptions {
            program: self.program,
            index,
            balancers: self.plan.balancers,
            discovery: self.balancers[index].agent.address(),
            cached_endpoints,
            directory: self.directory,
            environment: &environment,
            classes: None,
            log_level: "info",
        })?;
        let name = format!("b{index}r{}", self.report.starts);
        self.report.starts += 1;
        let history = ProcessHistory {
            balancer: index,
            started_at: process.started_at(),
            discovery_stalls: Vec::new(),
        };
        self.processes.insert(name.clone(), history);
        let clients = start_clients(process.wait_until_serving()?, &name);
        self.balancers[index].running = Some(RunningBalancer { process, clients, name });
        Ok(())
    }

    /// Stops the clients of a balancer, kills its process if it has one, and records the responses and the
    /// log.
    pub fn kill_balancer(&mut self, index: usize) -> io::Result<()> {
        let Some(mut running) = self.balancers[index].running.take() else { return Ok(()) };
        // The clients finish their current requests first, so the kill interrupts no request.
        for client in running.clients {
            self.report.responses.add(client.stop());
        }
        let was_running = running.process.kill()?;
        if !was_running {
            self.report.crashes += 1;
        }
        self.report.logs.insert(running.name, running.process.log());
        Ok(())
    }

    /// Returns the current endpoint list, including draining servers, in the JSON form of discovery.
    pub fn endpoint_list_json(&self) -> String {
        self.registry.update(UpdateScope::Snapshot { include_draining: true }).json
    }

    /// Ends the run and finds the requests that broke the drain rule.
    pub fn finish(mut self) -> io::Result<Report> {
        self.end_all_stalls();
        for index in 0..self.plan.balancers {
            self.kill_balancer(index)?;
        }
        self.report.violations = drain_rule::find_violations(
            &self.groups.arrivals(),
            &self.drain_periods,
            &self.processes,
            self.plan.drain_grace,
        );
        Ok(self.report)
    }
}

/// Starts the clients of a balancer process. Their correlation ids begin with the name of the process.
fn start_clients(address: SocketAddr, process: &str) -> Vec<Client> {
    (0..CLIENTS_PER_BALANCER)
        .map(|number| Client::start(address, format!("{process}-c{number}"), REQUEST_PAUSE))
        .collect()
}

fn draw_server(index: usize, address: SocketAddr, random: &mut fastrand::Rng) -> Server {
    Server {
        id: format!("s-{:08x}", random.u32(..)),
        address,
        zone: "a",
        hardware: "m",
        cell: (index % CELL_COUNT) as u16,
        state: ServerState::Ready,
        weight: draw_weight(random),
        started_at_unix_ms: 0,
    }
}

/// Draws a weight with three decimal places.
pub(super) fn draw_weight(random: &mut fastrand::Rng) -> f64 {
    (random.f64() * WEIGHT_RANGE_THOUSANDTHS + MIN_WEIGHT_THOUSANDTHS).round() / 1000.0
}
