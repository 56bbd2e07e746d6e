//! A fleet played against processes of the balancer: groups of servers drain and come back, weights change by
//! the hundred, lists come in pieces and watches break, discovery moves or is silent for a while, and balancers
//! are held up, or killed and started again with the list that they had.

use crate::agent::{Agent, AgentFaults, SharedRegistry};
use crate::balancer::{Balancer, Setup, Signal};
use crate::client::{Answers, Client};
use crate::drain::{self, Breach, Drained, Process};
use crate::registry::{Registry, Server, ServerState};
use crate::servers::ServerGroups;
use crate::shim::{Shim, SystemFaults};
use std::collections::HashMap;
use std::io;
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
/// How long a balancer is held up.
const HELD_UP: Duration = Duration::from_millis(150);
/// How long discovery may be silent.
const SILENT_MILLISECONDS: std::ops::Range<u64> = 500..4000;

/// How long an agent has to be back before it may be silent again: what it has to tell needs time to come.
const BACK_LEAST: Duration = Duration::from_secs(1);

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
    /// How many of a thousand system calls of a balancer fail.
    pub system_faults_per_mille: u32,
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
    /// Times at which a balancer was held up.
    pub hold_ups: usize,
    /// Times at which a balancer's discovery moved.
    pub moves: usize,
    /// Times at which a balancer's discovery was silent.
    pub silences: usize,
    /// The log of each process, by its sender's name.
    pub logs: HashMap<String, Vec<String>>,
}

/// A balancer with its clients.
struct Running {
    balancer: Balancer,
    clients: Vec<Client>,
    sender: String,
}

/// A silence of a balancer's agent that has begun.
struct Silence {
    index: usize,
    from: Instant,
    until: Instant,
}

struct Fleet<'a> {
    plan: Plan,
    program: &'a Path,
    folder: &'a Path,
    shim: Option<Shim>,
    random: fastrand::Rng,
    registry: Arc<SharedRegistry>,
    groups: ServerGroups,
    /// One for each balancer.
    agents: Vec<Agent>,
    silences: Vec<Silence>,
    /// Since when each agent is back from its latest silence.
    back_since: Vec<Option<Instant>>,
    drained: Vec<Drained>,
    /// All processes so far, by their senders' names.
    processes: HashMap<String, Process>,
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
        fleet.end_silences();
        fleet.step()?;
    }
    for silence in &mut fleet.silences {
        silence.until = Instant::now();
    }
    fleet.end_silences();
    for index in 0..plan.balancers {
        fleet.kill(index)?;
    }
    let arrivals = fleet.groups.arrivals();
    fleet.outcome.breaches = drain::breaches(&arrivals, &fleet.drained, &fleet.processes, plan.grace);
    Ok(fleet.outcome)
}

impl<'a> Fleet<'a> {
    fn new(plan: Plan, seed: u64, program: &'a Path, folder: &'a Path) -> io::Result<Self> {
        let mut random = fastrand::Rng::with_seed(seed);
        let shim = if plan.system_faults_per_mille > 0 { Some(Shim::build(folder)?) } else { None };
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
        let agent = |_| Agent::start(&registry, plan.faults, random.u64(..));
        let agents = (0..plan.balancers).map(agent).collect::<io::Result<_>>()?;
        let outcome = Outcome {
            breaches: Vec::new(),
            answers: Answers::default(),
            crashes: 0,
            starts: 0,
            drains: 0,
            hold_ups: 0,
            moves: 0,
            silences: 0,
            logs: HashMap::new(),
        };
        Ok(Self {
            running: (0..plan.balancers).map(|_| None).collect(),
            plan,
            program,
            folder,
            shim,
            random,
            registry,
            groups,
            agents,
            silences: Vec::new(),
            back_since: vec![None; plan.balancers],
            drained: Vec::new(),
            processes: HashMap::new(),
            outcome,
        })
    }

    /// One change of the fleet.
    fn step(&mut self) -> io::Result<()> {
        match self.random.u32(..16) {
            0..=4 => self.drain(),
            5..=7 => self.restore(),
            8..=9 => self.reweigh(),
            10..=11 => self.restart()?,
            12 => self.hold_up()?,
            13 => self.move_discovery()?,
            _ => self.silence(),
        }
        Ok(())
    }

    fn any_balancer(&mut self) -> usize {
        self.random.usize(..self.plan.balancers)
    }

    fn is_silent(&self, index: usize) -> bool {
        self.silences.iter().any(|silence| silence.index == index)
    }

    /// Has a balancer stand still for a moment, with a change behind it.
    fn hold_up(&mut self) -> io::Result<()> {
        let index = self.any_balancer();
        let Some(running) = &self.running[index] else { return Ok(()) };
        running.balancer.signal(Signal::Stop)?;
        self.drain();
        thread::sleep(HELD_UP);
        self.outcome.hold_ups += 1;
        match &self.running[index] {
            Some(running) => running.balancer.signal(Signal::Continue),
            None => Ok(()),
        }
    }

    /// Moves a balancer's discovery to another agent.
    fn move_discovery(&mut self) -> io::Result<()> {
        let index = self.any_balancer();
        if self.is_silent(index) {
            return Ok(());
        }
        let agent = Agent::start(&self.registry, self.plan.faults, self.random.u64(..))?;
        if let Some(running) = &mut self.running[index] {
            running.balancer.move_discovery(agent.address())?;
        }
        std::mem::replace(&mut self.agents[index], agent).close();
        self.outcome.moves += 1;
        Ok(())
    }

    /// Has a balancer's discovery fall silent.
    fn silence(&mut self) {
        let index = self.any_balancer();
        let back = self.back_since[index].is_none_or(|since| since.elapsed() >= BACK_LEAST);
        if self.is_silent(index) || !back {
            return;
        }
        let from = Instant::now();
        let until = from + Duration::from_millis(self.random.u64(SILENT_MILLISECONDS));
        self.agents[index].set_silent(true);
        self.silences.push(Silence { index, from, until });
        self.outcome.silences += 1;
    }

    /// Ends the silences that are over.
    fn end_silences(&mut self) {
        let now = Instant::now();
        let (over, open) = std::mem::take(&mut self.silences).into_iter().partition(|s| s.until <= now);
        self.silences = open;
        let over: Vec<Silence> = over;
        for silence in over {
            self.agents[silence.index].set_silent(false);
            let ended = (silence.from, Instant::now());
            self.back_since[silence.index] = Some(ended.1);
            let prefix = format!("b{}r", silence.index);
            let of_balancer = self.processes.iter_mut().filter(|(sender, _)| sender.starts_with(&prefix));
            of_balancer.for_each(|(_, process)| process.silences.push(ended));
        }
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
        let index = self.any_balancer();
        self.kill(index)?;
        let known = self.registry.with(|registry| registry.whole(true));
        if self.random.bool() {
            self.drain();
        }
        thread::sleep(Duration::from_millis(self.random.u64(..DOWN_MILLISECONDS)));
        self.start(index, &known)
    }

    fn start(&mut self, index: usize, known: &str) -> io::Result<()> {
        let per_mille = self.plan.system_faults_per_mille;
        let faults = SystemFaults { per_mille, seed: self.random.u64(..) };
        let environment = self.shim.as_ref().map_or_else(Vec::new, |shim| shim.environment(faults));
        let mut balancer = Balancer::start(&Setup {
            program: self.program,
            index,
            balancers: self.plan.balancers,
            discovery: self.agents[index].address(),
            known,
            folder: self.folder,
            environment: &environment,
        })?;
        let sender = format!("b{index}r{}", self.outcome.starts);
        self.outcome.starts += 1;
        let process = Process { started: balancer.started(), silences: Vec::new() };
        self.processes.insert(sender.clone(), process);
        let address = balancer.address()?;
        let client = |number| Client::start(address, format!("{sender}-c{number}"), REQUEST_PAUSE);
        let clients = (0..CLIENTS_EACH).map(client).collect();
        self.running[index] = Some(Running { balancer, clients, sender });
        Ok(())
    }

    fn kill(&mut self, index: usize) -> io::Result<()> {
        let Some(mut running) = self.running[index].take() else { return Ok(()) };
        // Clients stop between two requests: what is unanswered then is lost.
        let clients: Vec<Answers> = running.clients.into_iter().map(Client::stop).collect();
        self.outcome.crashes += usize::from(!running.balancer.kill()?);
        for answers in clients {
            self.outcome.answers.served += answers.served;
            self.outcome.answers.not_served += answers.not_served;
            self.outcome.answers.lost += answers.lost;
        }
        self.outcome.logs.insert(running.sender, running.balancer.log());
        Ok(())
    }
}

fn weight(random: &mut fastrand::Rng) -> f64 {
    (random.f64() * 800.0 + 600.0).round() / 1000.0
}
