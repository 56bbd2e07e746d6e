//! The rule on servers that drain: none is sent to later than a grace after the balancer was told.

use crate::servers::Arrival;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A time during which a group of servers drained.
#[derive(Clone, Debug)]
pub struct Drained {
    /// The group.
    pub group: usize,
    /// When discovery's agent had it.
    pub from: Instant,
    /// When the group was ready again, if it was.
    pub until: Option<Instant>,
}

/// When a process was started, and the times in which its agent was silent, each with its end.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its start.
    pub started: Instant,
    /// Silences.
    pub silences: Vec<(Instant, Instant)>,
}

impl Process {
    /// When it counts as told of what discovery had at a time: at its start at the earliest, and not while its agent was
    /// silent, which then learnt nothing.
    fn told(&self, at: Instant) -> Instant {
        let mut told = at.max(self.started);
        for (from, until) in &self.silences {
            if (*from..*until).contains(&told) {
                told = *until;
            }
        }
        told
    }
}

/// A request that reached a server too late.
#[derive(Debug)]
pub struct Breach {
    /// The request.
    pub arrival: Arrival,
    /// The name of the process that sent it.
    pub sender: String,
    /// How long after its balancer was told.
    pub after: Duration,
}

/// The requests that broke the rule; `processes` are known by the sender's part of the id.
pub fn breaches(
    arrivals: &[Arrival],
    drained: &[Drained],
    processes: &HashMap<String, Process>,
    grace: Duration,
) -> Vec<Breach> {
    let mut found = Vec::new();
    for arrival in arrivals {
        let sender = arrival.correlation_id.split('-').next().unwrap_or_default();
        let Some(process) = processes.get(sender) else { continue };
        for times in drained.iter().filter(|times| times.group == arrival.group) {
            let told = process.told(times.from);
            let over = times.until.is_some_and(|until| arrival.at >= until);
            let after = arrival.at.saturating_duration_since(told);
            if !over && after > grace {
                found.push(Breach { arrival: arrival.clone(), sender: sender.to_owned(), after });
            }
        }
    }
    found
}
