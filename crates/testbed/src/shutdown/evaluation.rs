//! Finds the requests of a run that were lost.

use super::Report;
use super::clients::SentRequest;
use super::plan::Plan;
use crate::balancer_process::ProcessEnd;
use std::collections::HashSet;
use std::time::Duration;

/// How long after the deadline of a request its response may arrive without counting as late.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
const STATUS_OK: u16 = 200;

/// The reason why a request counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// An upstream received the request, but the client got no response.
    Forwarded,
    /// The balancer read the request, and no upstream received it, but the client got no response.
    Read,
    /// The client got a response, but too long after the deadline.
    Late,
}

/// A request that was lost.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// Correlation id of the request, as in the log of the process.
    pub correlation_id: String,
    /// Why the request counts as lost.
    pub cause: LossCause,
    /// Log lines of the process that contain the correlation id.
    pub log: Vec<String>,
}

/// Creates the report of a run. A request counts as lost if its response was late, or if it got no response
/// and either reached an upstream or is in the log, which shows that the balancer has read it.
pub(super) fn evaluate(
    plan: &Plan,
    requests: &[SentRequest],
    arrivals: &HashSet<String>,
    log: &[String],
    end: ProcessEnd,
    has_ended_early: bool,
) -> Report {
    let mut lost = Vec::new();
    let mut not_read = 0;
    for request in requests {
        let lines = || log.iter().filter(|line| line.contains(&format!("\"{}\"", request.correlation_id)));
        let cause = find_loss_cause(request, arrivals, || lines().next().is_some());
        not_read += usize::from(cause.is_none() && request.response.is_none());
        if let Some(cause) = cause {
            let correlation_id = request.correlation_id.clone();
            lost.push(LostRequest { correlation_id, cause, log: lines().cloned().collect() });
        }
    }
    let served =
        requests.iter().filter(|request| request.response.is_some_and(|(status, _)| status == STATUS_OK));
    Report {
        plan: format!("{plan:?}"),
        requests: requests.len(),
        served: served.count(),
        not_read,
        lost,
        has_crashed: has_ended_early || end == ProcessEnd::Failed,
        was_killed: end == ProcessEnd::Killed,
    }
}

fn find_loss_cause(
    request: &SentRequest,
    arrivals: &HashSet<String>,
    was_read: impl Fn() -> bool,
) -> Option<LossCause> {
    match request.response {
        Some((_, received_at)) => {
            let is_late = received_at > request.sent_at + request.deadline + DEADLINE_TOLERANCE;
            is_late.then_some(LossCause::Late)
        }
        None if arrivals.contains(&request.correlation_id) => Some(LossCause::Forwarded),
        None => was_read().then_some(LossCause::Read),
    }
}
