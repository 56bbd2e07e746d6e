//! A fleet played against processes of the balancer: groups of servers drain and come back, weights change by
//! the hundred, lists come in pieces and watches break, and balancers are killed and start again with the
//! list that they had.

use crate::agent::{self, AgentFaults, SharedRegistry};
use crate::balancer::{Balancer, Setup};
use crate::client::{Answers, Client};
use crate::drain::{self, Breach, Drained};
use crate::registry::{Registry, Server, ServerState};
use crate::servers::ServerGroups;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two requests of a client, and its clients for each balancer.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);
const CLIENTS_EACH: usize = 2;
/// Longest and shortest time between two changes of the fleet.
const STEP_MILLISECONDS: std::ops::Range<u64> = 100..300;
/// The longest time for which a killed balancer is down.
const DOWN_MILLISECONDS: u64 = 400;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Servers, and the groups that they are in.
    pub servers: usize,
    /// Groups of servers.
    pub groups: usize,
    /// Balancers.
    pub balancers: usize,
    /// How long.
    pub lasts: Duration,
    /// Time after which a request to a server that drains breaks the rule.
    pub grace: Duration,
    /// What goes wrong with discovery.
    pub faults: AgentFaults,
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that broke the rule.
    pub breaches: Vec<Breach>,
    /// Answers to all clients.
    pub answers: Answers,
    /// Processes that ended by themselves.
    pub crashes: usize,
    /// Processes that were started.
    pub starts: usize,
    /// Times at which a group drained.
    pub drains: usize,
    /// Lines of the logs that tell of watches and calls that failed.
    pub warnings: Vec<String>,
}

/// A balancer with its clients.
struct Running {
    balancer: Balancer,
    clients: Vec<Client>,
}

struct Fleet<'a> {
    plan: Plan,
    program: &'a Path,
    folder: &'a Path,
    random: fastrand::Rng,
    registry: Arc<SharedRegistry>,
    groups: ServerGroups,
    discovery: SocketAddr,
    drained: Vec<Drained>,
    /// When each process was started, by its sender's name.
    started: HashMap<String, Instant>,
    running: Vec<Option<Running>>,
    outcome: Outcome,
}

/// Plays a plan with a seed. `folder` holds the configurations meanwhile.
pub fn play(plan: Plan, seed: u64, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let mut fleet = Fleet::new(plan, seed, program, folder)?;
    let known = fleet.registry.with(|registry| registry.whole(true));
    for index in 0..plan.balancers {
        fleet.start(index, &known)?;
    }
    let end = Instant::now() + plan.lasts;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(fleet.random.u64(STEP_MILLISECONDS)));
        fleet.step()?;
    }
    for index in 0..plan.balancers {
        fleet.kill(index)?;
    }
    let arrivals = fleet.groups.arrivals();
    fleet.outcome.breaches = drain::breaches(&arrivals, &fleet.drained, &fleet.started, plan.grace);
    Ok(fleet.outcome)
}

impl<'a> Fleet<'a> {
    fn new(plan: Plan, seed: u64, program: &'a Path, folder: &'a Path) -> io::Result<Self> {
        let mut random = fastrand::Rng::with_seed(seed);
        let groups = ServerGroups::start(plan.groups)?;
        let servers = (0..plan.servers).map(|number| Server {
            uid: format!("s-{:08x}", random.u32(..)),
            endpoint: groups.addresses()[number % plan.groups],
            az: "a",
            model: "m",
            pod_group: (number % 60) as u16,
            state: ServerState::Ready,
            capacity_hint: weight(&mut random),
            boot_ms: 0,
        });
        let registry = SharedRegistry::new(Registry::new(servers.collect()));
        let discovery = agent::start(&registry, plan.faults, random.u64(..))?;
        let outcome = Outcome {
            breaches: Vec::new(),
            answers: Answers::default(),
            crashes: 0,
            starts: 0,
            drains: 0,
            warnings: Vec::new(),
        };
        Ok(Self {
            running: (0..plan.balancers).map(|_| None).collect(),
            plan,
            program,
            folder,
            random,
            registry,
            groups,
            discovery,
            drained: Vec::new(),
            started: HashMap::new(),
            outcome,
        })
    }

    /// One change of the fleet.
    fn step(&mut self) -> io::Result<()> {
        match self.random.u32(..10) {
            0..=3 => self.drain(),
            4..=5 => self.restore(),
            6..=7 => self.reweigh(),
            _ => self.restart()?,
        }
        Ok(())
    }

    fn servers_of(&self, group: usize) -> Vec<usize> {
        (group..self.plan.servers).step_by(self.plan.groups).collect()
    }

    /// Has a group drain, unless half of them do.
    fn drain(&mut self) {
        let draining = |group| self.drained.iter().any(|d| d.group == group && d.until.is_none());
        let ready: Vec<usize> = (0..self.plan.groups).filter(|group| !draining(*group)).collect();
        if ready.len() * 2 <= self.plan.groups {
            return;
        }
        let group = ready[self.random.usize(..ready.len())];
        let servers = self.servers_of(group);
        self.outcome.drains += 1;
        self.drained.push(Drained { group, from: Instant::now(), until: None });
        self.registry.with(|r| r.change(servers, |server| server.state = ServerState::Draining));
    }

    /// Has a group that drains take requests again.
    fn restore(&mut self) {
        let open: Vec<usize> = (0..self.drained.len()).filter(|k| self.drained[*k].until.is_none()).collect();
        if open.is_empty() {
            return;
        }
        let chosen = open[self.random.usize(..open.len())];
        let servers = self.servers_of(self.drained[chosen].group);
        self.drained[chosen].until = Some(Instant::now());
        self.registry.with(|r| r.change(servers, |server| server.state = ServerState::Ready));
    }

    /// Changes the weights of a quarter of the servers, as live weights do.
    fn reweigh(&mut self) {
        let first = self.random.usize(..4);
        let servers: Vec<usize> = (first..self.plan.servers).step_by(4).collect();
        let weight = weight(&mut self.random);
        self.registry.with(|r| r.change(servers, |server| server.capacity_hint = weight));
    }

    /// Kills a balancer and starts it again with the list that it had.
    fn restart(&mut self) -> io::Result<()> {
        let index = self.random.usize(..self.plan.balancers);
        self.kill(index)?;
        let known = self.registry.with(|registry| registry.whole(true));
        if self.random.bool() {
            self.drain();
        }
        thread::sleep(Duration::from_millis(self.random.u64(..DOWN_MILLISECONDS)));
        self.start(index, &known)
    }

    fn start(&mut self, index: usize, known: &str) -> io::Result<()> {
        let mut balancer = Balancer::start(&Setup {
            program: self.program,
            index,
            balancers: self.plan.balancers,
            discovery: self.discovery,
            known,
            folder: self.folder,
        })?;
        let sender = format!("b{index}r{}", self.outcome.starts);
        self.outcome.starts += 1;
        self.started.insert(sender.clone(), balancer.started());
        let address = balancer.address()?;
        let client = |number| Client::start(address, format!("{sender}-c{number}"), REQUEST_PAUSE);
        self.running[index] = Some(Running { balancer, clients: (0..CLIENTS_EACH).map(client).collect() });
        Ok(())
    }

    fn kill(&mut self, index: usize) -> io::Result<()> {
        let Some(mut running) = self.running[index].take() else { return Ok(()) };
        self.outcome.crashes += usize::from(!running.balancer.kill()?);
        for client in running.clients {
            let answers = client.stop();
            self.outcome.answers.served += answers.served;
            self.outcome.answers.not_served += answers.not_served;
        }
        let log = running.balancer.log();
        self.outcome.warnings.extend(log.into_iter().filter(|line| line.contains("WARN")));
        Ok(())
    }
}

fn weight(random: &mut fastrand::Rng) -> f64 {
    (random.f64() * 800.0 + 600.0).round() / 1000.0
}
