//! Tests of the drain rule: a request that reaches a draining group more than 300 ms after its balancer
//! process was notified is a violation. An error in the rule would hide violations in the soak tests, or
//! report requests of processes that had not been notified.

use std::collections::HashMap;
use std::time::{Duration, Instant};
use testbed::drain_rule::{DiscoveryStall, DrainPeriod, DrainViolation, ProcessHistory, find_violations};
use testbed::servers::Arrival;

const GRACE: Duration = Duration::from_millis(300);
const GROUP: usize = 5;
const PROCESS: &str = "b0r0";

/// Converts milliseconds since the start of the test into instants.
struct Timeline {
    origin: Instant,
}

impl Timeline {
    fn new() -> Self {
        Self { origin: Instant::now() }
    }

    fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    /// Returns a process that was started at 0 ms, with stalls of its discovery that begin and end at these
    /// times.
    fn process(&self, stalls: &[(u64, u64)]) -> ProcessHistory {
        let stall =
            |(began, ended): &(u64, u64)| DiscoveryStall { began: self.at(*began), ended: self.at(*ended) };
        let discovery_stalls = stalls.iter().map(stall).collect();
        ProcessHistory { balancer: 0, started_at: self.origin, discovery_stalls }
    }

    /// Returns the violations if a request of the process arrives at `arrival_ms`. The group drains from 1 s
    /// to 5 s.
    fn violations(&self, process: ProcessHistory, arrival_ms: u64) -> Vec<DrainViolation> {
        self.violations_of(PROCESS, GROUP, process, arrival_ms)
    }

    fn violations_of(
        &self,
        sender: &str,
        group: usize,
        process: ProcessHistory,
        arrival_ms: u64,
    ) -> Vec<DrainViolation> {
        let arrival = Arrival { group, correlation_id: format!("{sender}-c1-17"), at: self.at(arrival_ms) };
        let period = DrainPeriod { group: GROUP, began: self.at(1000), ended: Some(self.at(5000)) };
        let processes = HashMap::from([(PROCESS.to_owned(), process)]);
        find_violations(&[arrival], &[period], &processes, GRACE)
    }
}

#[test]
fn a_request_within_the_grace_period_is_permitted() {
    let time = Timeline::new();

    assert!(time.violations(time.process(&[]), 900).is_empty());
    assert!(time.violations(time.process(&[]), 1300).is_empty());
}

#[test]
fn a_request_after_the_grace_period_is_a_violation() {
    let time = Timeline::new();

    let violations = time.violations(time.process(&[]), 1301);

    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].process, PROCESS);
    assert_eq!(violations[0].delay, Duration::from_millis(301));
    assert_eq!(violations[0].arrival.correlation_id, "b0r0-c1-17");
}

#[test]
fn a_request_after_the_group_is_ready_again_is_permitted() {
    let time = Timeline::new();

    assert_eq!(time.violations(time.process(&[]), 4999).len(), 1);
    assert!(time.violations(time.process(&[]), 5000).is_empty());
}

#[test]
fn a_drain_period_without_an_end_covers_all_later_requests() {
    let time = Timeline::new();
    let arrival = Arrival { group: GROUP, correlation_id: format!("{PROCESS}-c0-1"), at: time.at(60_000) };
    let period = DrainPeriod { group: GROUP, began: time.at(1000), ended: None };
    let processes = HashMap::from([(PROCESS.to_owned(), time.process(&[]))]);

    assert_eq!(find_violations(&[arrival], &[period], &processes, GRACE).len(), 1);
}

#[test]
fn a_process_started_after_the_change_is_notified_at_its_start() {
    let time = Timeline::new();
    let process = || ProcessHistory { started_at: time.at(2000), ..time.process(&[]) };

    assert!(time.violations(process(), 2300).is_empty());
    assert_eq!(time.violations(process(), 2301).len(), 1);
}

#[test]
fn a_process_with_stalled_discovery_is_notified_when_the_stall_ends() {
    let time = Timeline::new();
    let process = || time.process(&[(500, 2000), (2000, 3000)]);

    assert!(time.violations(process(), 3300).is_empty());
    assert_eq!(time.violations(process(), 3301).len(), 1);
}

#[test]
fn a_stall_after_the_change_does_not_delay_the_notification() {
    let time = Timeline::new();

    assert_eq!(time.violations(time.process(&[(1100, 3000)]), 1301).len(), 1);
}

#[test]
fn requests_to_other_groups_and_from_unknown_processes_are_ignored() {
    let time = Timeline::new();

    assert!(time.violations_of(PROCESS, GROUP + 1, time.process(&[]), 2000).is_empty());
    assert!(time.violations_of("b9r9", GROUP, time.process(&[]), 2000).is_empty());
}
