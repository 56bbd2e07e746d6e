//! Which requests count as violations of the drain rule.

use std::collections::HashMap;
use std::time::{Duration, Instant};
use testbed::drain_rule::{DiscoveryStall, DrainPeriod, DrainViolation, ProcessHistory, find_violations};
use testbed::servers::Arrival;

const GRACE: Duration = Duration::from_millis(300);
const GROUP: usize = 5;
const PROCESS: &str = "b0r0";

/// Times in milliseconds after the start of the test.
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

    /// A process that was started at 0, with stalls of its discovery.
    fn process(&self, stalls: &[(u64, u64)]) -> ProcessHistory {
        let stall =
            |(began, ended): &(u64, u64)| DiscoveryStall { began: self.at(*began), ended: self.at(*ended) };
        let discovery_stalls = stalls.iter().map(stall).collect();
        ProcessHistory { balancer: 0, started_at: self.origin, discovery_stalls }
    }

    /// The violations by a request that arrives at `arrival_ms`, while the group drains from 1000 to 5000 ms.
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
fn a_request_within_the_grace_is_permitted() {
    let time = Timeline::new();

    assert!(time.violations(time.process(&[]), 900).is_empty());
    assert!(time.violations(time.process(&[]), 1300).is_empty());
}

#[test]
fn a_request_after_the_grace_is_a_violation() {
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
fn a_group_that_still_drains_has_no_end() {
    let time = Timeline::new();
    let arrival = Arrival { group: GROUP, correlation_id: format!("{PROCESS}-c0-1"), at: time.at(60_000) };
    let period = DrainPeriod { group: GROUP, began: time.at(1000), ended: None };
    let processes = HashMap::from([(PROCESS.to_owned(), time.process(&[]))]);

    assert_eq!(find_violations(&[arrival], &[period], &processes, GRACE).len(), 1);
}

#[test]
fn a_process_is_notified_at_its_start_at_the_earliest() {
    let time = Timeline::new();
    let process = || ProcessHistory { started_at: time.at(2000), ..time.process(&[]) };

    assert!(time.violations(process(), 2300).is_empty());
    assert_eq!(time.violations(process(), 2301).len(), 1);
}

#[test]
fn a_process_is_notified_when_its_discovery_is_resumed() {
    let time = Timeline::new();
    let process = || time.process(&[(500, 2000), (2000, 3000)]);

    assert!(time.violations(process(), 3300).is_empty());
    assert_eq!(time.violations(process(), 3301).len(), 1);
}

#[test]
fn a_stall_after_the_change_does_not_excuse() {
    let time = Timeline::new();

    assert_eq!(time.violations(time.process(&[(1100, 3000)]), 1301).len(), 1);
}

#[test]
fn requests_to_other_groups_and_of_other_senders_are_skipped() {
    let time = Timeline::new();

    assert!(time.violations_of(PROCESS, GROUP + 1, time.process(&[]), 2000).is_empty());
    assert!(time.violations_of("b9r9", GROUP, time.process(&[]), 2000).is_empty());
}
