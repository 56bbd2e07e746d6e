//! The faults of a run. A seed stands for a certain sequence of draws, so the order of the draws must not
//! change.

use super::fleet::{Fleet, draw_weight};
use crate::agent::Agent;
use crate::balancer_process::Signal;
use crate::drain_rule::{DiscoveryStall, DrainPeriod};
use crate::registry::ServerState;
use std::io;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of the time between the kill and the restart of a balancer.
const MAX_DOWNTIME_MS: u64 = 400;
/// Time for which a balancer is paused.
const PAUSE_DURATION: Duration = Duration::from_millis(150);
/// Bounds of the time for which a discovery agent is stalled.
const STALL_DURATION_MS: Range<u64> = 500..4000;
/// Shortest time between two stalls of an agent, so that it can send the changes made during the first stall.
const MIN_TIME_BETWEEN_STALLS: Duration = Duration::from_secs(1);
/// Each change of weights applies to one in this many servers.
const WEIGHT_CHANGE_STRIDE: usize = 4;

/// A stall of a discovery agent that has not ended.
pub(super) struct ActiveStall {
    began: Instant,
    scheduled_end: Instant,
}

impl Fleet<'_> {
    /// Injects a random fault. The number of values in the range of a fault determines its probability.
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

    /// Resumes the agents whose stall has reached its scheduled end.
    pub fn end_due_stalls(&mut self) {
        let now = Instant::now();
        self.end_stalls(|stall| stall.scheduled_end <= now);
    }

    /// Resumes all stalled agents.
    pub fn end_all_stalls(&mut self) {
        self.end_stalls(|_| true);
    }

    fn end_stalls(&mut self, should_end: impl Fn(&ActiveStall) -> bool) {
        for index in 0..self.balancers.len() {
            if let Some(stall) = self.balancers[index].stall.take_if(|stall| should_end(stall)) {
                self.resume_discovery(index, &stall);
            }
        }
    }

    /// Resumes the agent of a balancer and records the stall for all processes of this balancer.
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

    /// Stalls the agent of a random balancer, unless it is stalled or has just been resumed.
    fn stall_discovery(&mut self) {
        let index = self.draw_balancer();
        let balancer = &mut self.balancers[index];
        let resumed_at = balancer.resumed_at;
        let is_too_soon = resumed_at.is_some_and(|at| at.elapsed() < MIN_TIME_BETWEEN_STALLS);
        if balancer.stall.is_some() || is_too_soon {
            return;
        }
        let began = Instant::now();
        let scheduled_end = began + Duration::from_millis(self.random.u64(STALL_DURATION_MS));
        balancer.agent.set_stalled(true);
        balancer.stall = Some(ActiveStall { began, scheduled_end });
        self.report.discovery_stalls += 1;
    }

    /// Moves a random balancer to a new agent, unless its agent is stalled.
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

    /// Pauses the process of a random balancer for [`PAUSE_DURATION`]. A group may begin to drain during the
    /// pause.
    fn pause_balancer(&mut self) -> io::Result<()> {
        let index = self.draw_balancer();
        let Some(running) = &self.balancers[index].running else { return Ok(()) };
        running.process.signal(Signal::Stop)?;
        self.drain_group();
        thread::sleep(PAUSE_DURATION);
        self.report.pauses += 1;
        match &self.balancers[index].running {
            Some(running) => running.process.signal(Signal::Continue),
            None => Ok(()),
        }
    }

    /// Kills a random balancer and restarts it with the endpoint list from the time of the kill. A group may
    /// begin to drain while the balancer is down.
    fn restart_balancer(&mut self) -> io::Result<()> {
        let index = self.draw_balancer();
        self.kill_balancer(index)?;
        let cached_endpoints = self.endpoint_list_json();
        if self.random.bool() {
            self.drain_group();
        }
        thread::sleep(Duration::from_millis(self.random.u64(..MAX_DOWNTIME_MS)));
        self.start_balancer(index, &cached_endpoints)
    }

    /// Makes a random group drain, unless at least half of the groups are draining.
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

    /// Makes a random draining group ready again.
    fn restore_group(&mut self) {
        let unfinished: Vec<usize> = (0..self.drain_periods.len())
            .filter(|index| self.drain_periods[*index].ended.is_none())
            .collect();
        if unfinished.is_empty() {
            return;
        }
        let chosen = unfinished[self.random.usize(..unfinished.len())];
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

    /// Changes the weights of many servers at once, as discovery does with live weights.
    fn change_weights(&mut self) {
        let first = self.random.usize(..WEIGHT_CHANGE_STRIDE);
        let servers = (first..self.plan.servers).step_by(WEIGHT_CHANGE_STRIDE).collect();
        let weight = draw_weight(&mut self.random);
        self.registry.modify(|registry| registry.change(servers, |server| server.weight = weight));
    }
}
