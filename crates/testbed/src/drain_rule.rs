//! Checks the rule on draining servers: no request may reach a draining server after a grace period, which
//! begins when the balancer process is notified of the draining.

use crate::servers::Arrival;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Separates the name of the balancer process from the rest of a correlation id.
const PROCESS_SEPARATOR: char = '-';

/// A period during which a group of servers was draining.
#[derive(Clone, Debug)]
pub struct DrainPeriod {
    /// Index of the group.
    pub group: usize,
    /// When the registry marked the group as draining.
    pub began: Instant,
    /// When the registry marked the group as ready again; `None` while it is draining.
    pub ended: Option<Instant>,
}

impl DrainPeriod {
    /// Returns whether the group was ready again at this time.
    fn is_over_at(&self, at: Instant) -> bool {
        self.ended.is_some_and(|ended| at >= ended)
    }
}

/// A period during which a discovery agent sent no updates.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryStall {
    /// When the stall began.
    pub began: Instant,
    /// When the agent was resumed.
    pub ended: Instant,
}

/// The start of a balancer process and the stalls of its discovery agent, which delay notifications.
#[derive(Clone, Debug)]
pub struct ProcessHistory {
    /// Index of the balancer. Processes that replace each other after a restart have the same index.
    pub balancer: usize,
    /// When the process was started.
    pub started_at: Instant,
    /// Stalls of the discovery agent, in chronological order.
    pub discovery_stalls: Vec<DiscoveryStall>,
}

impl ProcessHistory {
    /// Returns when the process counts as notified of a change: at the time of the change, but not before the
    /// process was started, and not while its discovery agent was stalled.
    pub fn notified_at(&self, changed_at: Instant) -> Instant {
        let mut notified_at = changed_at.max(self.started_at);
        for stall in &self.discovery_stalls {
            if (stall.began..stall.ended).contains(&notified_at) {
                notified_at = stall.ended;
            }
        }
        notified_at
    }
}

/// A request that reached a draining server too late.
#[derive(Debug)]
pub struct DrainViolation {
    /// The request as the server received it.
    pub arrival: Arrival,
    /// Name of the balancer process that sent the request.
    pub process: String,
    /// Time from the notification of the process to the arrival of the request.
    pub delay: Duration,
}

/// Returns the requests that reached a draining group later than `grace` after their process was notified.
///
/// The keys of `processes` are the names of the processes. The part of a correlation id before the first `-`
/// names the process that sent the request; requests of processes that are not in `processes` are ignored.
pub fn find_violations(
    arrivals: &[Arrival],
    drain_periods: &[DrainPeriod],
    processes: &HashMap<String, ProcessHistory>,
    grace: Duration,
) -> Vec<DrainViolation> {
    let mut violations = Vec::new();
    for arrival in arrivals {
        let name = arrival.correlation_id.split(PROCESS_SEPARATOR).next().unwrap_or_default();
        let Some(process) = processes.get(name) else { continue };
        for period in drain_periods.iter().filter(|period| period.group == arrival.group) {
            let delay = arrival.at.saturating_duration_since(process.notified_at(period.began));
            if !period.is_over_at(arrival.at) && delay > grace {
                violations.push(DrainViolation { arrival: arrival.clone(), process: name.to_owned(), delay });
            }
        }
    }
    violations
}
