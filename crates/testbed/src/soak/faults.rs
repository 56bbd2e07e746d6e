//! The faults of a run. A seed stands for a certain sequence of draws: their order must stay.

use super::fleet::{Fleet, draw_weight};
use crate::agent::Agent;
use crate::balancer_process::Signal;
use crate::drain_rule::{DiscoveryStall, DrainPeriod};
use crate::registry::ServerState;
use std::io;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time for which a killed balancer is down.
const MAX_DOWNTIME_MS: u64 = 400;
/// How long a balancer is paused.
const PAUSE: Duration = Duration::from_millis(150);
/// How long discovery is stalled.
const STALL_MS: Range<u64> = 500..4000;
/// Time between two stalls of an agent, so that it can deliver what has changed meanwhile.
const MIN_TIME_BETWEEN_STALLS: Duration = Duration::from_secs(1);
/// One server in so many gets another weight at once.
const WEIGHT_CHANGE_STRIDE: usize = 4;

/// A stall of a balancer's agent that has not ended.
pub(super) struct ActiveStall {
    began: Instant,
    due: Instant,
}

impl Fleet<'_> {
    /// Injects one fault, drawn by the number of cases that it has below.
    pub fn inject_fault(&mut self) -> io::Result<()> {
        match self.random.u32(..16) {
            0..=4 => self.drain_group(),
            5..=7 => self.restore_group(),
            8..=9 => self.change_weights(),
            10..=11 => self.restart_balancer()?,
            12 => self.pause_balancer()?,
            13 => self.move_discovery()?,
            _ => self.stall_discovery(),
        }
        Ok(())
    }

    /// Resumes the agents whose stall is due to end.
    pub fn end_due_stalls(&mut self) {
        let now = Instant::now();
        self.end_stalls(|stall| stall.due <= now);
    }

    /// Resumes all stalled agents.
    pub fn end_all_stalls(&mut self) {
        self.end_stalls(|_| true);
    }

    fn end_stalls(&mut self, has_ended: impl Fn(&ActiveStall) -> bool) {
        for index in 0..self.balancers.len() {
            if let Some(stall) = self.balancers[index].stall.take_if(|stall| has_ended(stall)) {
                self.resume_discovery(index, &stall);
            }
        }
    }

    /// Resumes an agent and records the stall with all processes of its balancer.
    fn resume_discovery(&mut self, index: usize, stall: &ActiveStall) {
        let balancer = &mut self.balancers[index];
        balancer.agent.set_stalled(false);
        let ended = Instant::now();
        balancer.resumed_at = Some(ended);
        let stall = DiscoveryStall { began: stall.began, ended };
        for process in self.processes.values_mut().filter(|process| process.balancer == index) {
            process.discovery_stalls.push(stall);
        }
    }

    fn draw_balancer(&mut self) -> usize {
        self.random.usize(..self.plan.balancers)
    }

    /// Stalls a balancer's agent, unless it is stalled or has just been resumed.
    fn stall_discovery(&mut self) {
        let index = self.draw_balancer();
        let balancer = &mut self.balancers[index];
        let resumed_at = balancer.resumed_at;
        let is_too_soon = resumed_at.is_some_and(|at| at.elapsed() < MIN_TIME_BETWEEN_STALLS);
        if balancer.stall.is_some() || is_too_soon {
            return;
        }
        let began = Instant::now();
        let due = began + Duration::from_millis(self.random.u64(STALL_MS));
        balancer.agent.set_stalled(true);
        balancer.stall = Some(ActiveStall { began, due });
        self.report.discovery_stalls += 1;
    }

    /// Moves a balancer's discovery to another agent, unless its agent is stalled.
    fn move_discovery(&mut self) -> io::Result<()> {
        let index = self.draw_balancer();
        if self.balancers[index].stall.is_some() {
            return Ok(());
        }
        let agent = Agent::start(&self.registry, self.plan.agent_faults, self.random.u64(..))?;
        let balancer = &mut self.balancers[index];
        if let Some(running) = &mut balancer.running {
            running.process.move_discovery(agent.address())?;
        }
        let previous = std::mem::replace(&mut balancer.agent, agent);
        previous.close();
        self.report.discovery_moves += 1;
        Ok(())
    }

    /// Pauses a balancer's process for a moment in which a group begins to drain.
    fn pause_balancer(&mut self) -> io::Result<()> {
        let index = self.draw_balancer();
        let Some(running) = &self.balancers[index].running else { return Ok(()) };
        running.process.signal(Signal::Stop)?;
        self.drain_group();
        thread::sleep(PAUSE);
        self.report.pauses += 1;
        match &self.balancers[index].running {
            Some(running) => running.process.signal(Signal::Continue),
            None => Ok(()),
        }
    }

    /// Kills a balancer and starts it again with the list that it had; a group may begin to drain in between.
    fn restart_balancer(&mut self) -> io::Result<()> {
        let index = self.draw_balancer();
        self.kill(index)?;
        let cached_endpoints = self.complete_list();
        if self.random.bool() {
            self.drain_group();
        }
        thread::sleep(Duration::from_millis(self.random.u64(..MAX_DOWNTIME_MS)));
        self.start(index, &cached_endpoints)
    }

    /// Has a group drain, unless half of the groups or more do.
    fn drain_group(&mut self) {
        let ready: Vec<usize> = (0..self.plan.groups).filter(|group| !self.is_draining(*group)).collect();
        if ready.len() * 2 <= self.plan.groups {
            return;
        }
        let group = ready[self.random.usize(..ready.len())];
        self.report.drains += 1;
        self.drain_periods.push(DrainPeriod { group, began: Instant::now(), ended: None });
        self.set_group_state(group, ServerState::Draining);
    }

    /// Has a draining group take requests again.
    fn restore_group(&mut self) {
        let open: Vec<usize> = (0..self.drain_periods.len())
            .filter(|period| self.drain_periods[*period].ended.is_none())
            .collect();
        if open.is_empty() {
            return;
        }
        let chosen = open[self.random.usize(..open.len())];
        let period = &mut self.drain_periods[chosen];
        period.ended = Some(Instant::now());
        let group = period.group;
        self.set_group_state(group, ServerState::Ready);
    }

    fn is_draining(&self, group: usize) -> bool {
        self.drain_periods.iter().any(|period| period.group == group && period.ended.is_none())
    }

    fn set_group_state(&self, group: usize, state: ServerState) {
        let servers = (group..self.plan.servers).step_by(self.plan.groups).collect();
        self.registry.modify(|registry| registry.change(servers, |server| server.state = state));
    }

    /// Changes the weights of many servers at once, as live weights do.
    fn change_weights(&mut self) {
        let first = self.random.usize(..WEIGHT_CHANGE_STRIDE);
        let servers = (first..self.plan.servers).step_by(WEIGHT_CHANGE_STRIDE).collect();
        let weight = draw_weight(&mut self.random);
        self.registry.modify(|registry| registry.change(servers, |server| server.weight = weight));
    }
}
