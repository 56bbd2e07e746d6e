//! The rule on draining servers: no request reaches one later than a grace period after the balancer was
//! notified.

use crate::servers::Arrival;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Separates the name of the sending process from the rest of a correlation id.
const PROCESS_SEPARATOR: char = '-';

/// A time during which a group of servers drained.
#[derive(Clone, Debug)]
pub struct DrainPeriod {
    /// The group.
    pub group: usize,
    /// When the registry had the group as draining.
    pub began: Instant,
    /// When the group was ready again; `None` while it drains.
    pub ended: Option<Instant>,
}

impl DrainPeriod {
    /// Whether the group was ready again at a time.
    fn is_over_at(&self, at: Instant) -> bool {
        self.ended.is_some_and(|ended| at >= ended)
    }
}

/// A time during which a discovery agent delivered nothing.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryStall {
    /// When the agent was stalled.
    pub began: Instant,
    /// When it was resumed.
    pub ended: Instant,
}

/// When a process of the balancer could be notified.
#[derive(Clone, Debug)]
pub struct ProcessHistory {
    /// The index of its balancer.
    pub balancer: usize,
    /// When it was started.
    pub started_at: Instant,
    /// The stalls of its agent, in order.
    pub discovery_stalls: Vec<DiscoveryStall>,
}

impl ProcessHistory {
    /// Returns when the process counts as notified of a change: not before its start, and not while its agent
    /// was stalled.
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
    /// The request.
    pub arrival: Arrival,
    /// The name of the process that sent it.
    pub process: String,
    /// Time from the notification of the process to the arrival.
    pub delay: Duration,
}

/// Returns the requests that broke the rule. The part of a correlation id before the first `-` is the name of
/// the process; requests of other senders are skipped.
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
