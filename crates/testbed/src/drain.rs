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

/// A request that reached a server too late.
#[derive(Debug)]
pub struct Breach {
    /// The request.
    pub arrival: Arrival,
    /// How long after its balancer was told.
    pub after: Duration,
}

/// The requests that broke the rule. What the agent has counts as told to a process from its start, which
/// `started` holds by the sender's part of the id.
pub fn breaches(
    arrivals: &[Arrival],
    drained: &[Drained],
    started: &HashMap<String, Instant>,
    grace: Duration,
) -> Vec<Breach> {
    let mut found = Vec::new();
    for arrival in arrivals {
        let sender = arrival.correlation_id.split('-').next().unwrap_or_default();
        let Some(start) = started.get(sender) else { continue };
        for times in drained.iter().filter(|times| times.group == arrival.group) {
            let told = times.from.max(*start);
            let over = times.until.is_some_and(|until| arrival.at >= until);
            let after = arrival.at.saturating_duration_since(told);
            if !over && after > grace {
                found.push(Breach { arrival: arrival.clone(), after });
            }
        }
    }
    found
}
