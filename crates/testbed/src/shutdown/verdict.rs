//! Which requests of a run were lost.

use super::Report;
use super::clients::SentRequest;
use super::plan::Plan;
use crate::balancer_process::ProcessEnd;
use std::collections::HashSet;
use std::time::Duration;

/// How late a final response may be.
const MAX_DELAY: Duration = Duration::from_millis(500);
const STATUS_OK: u16 = 200;

/// Why a request counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// It was forwarded: an upstream got it, and its client got no response.
    Forwarded,
    /// The balancer read it, and its client got no response.
    Read,
    /// Its response came too late.
    Late,
}

/// A request that was lost.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// Its id, by which the log of the process tells its story.
    pub correlation_id: String,
    /// Why it counts as lost.
    pub cause: LossCause,
    /// What the process logged of it.
    pub log: Vec<String>,
}

/// Judges a run by what clients and upstreams saw and by what the process logged as read.
pub(super) fn report(
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
        let cause = loss_cause(request, arrivals, || lines().next().is_some());
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

fn loss_cause(
    request: &SentRequest,
    arrivals: &HashSet<String>,
    was_read: impl Fn() -> bool,
) -> Option<LossCause> {
    match request.response {
        Some((_, received_at)) => {
            let is_late = received_at > request.sent_at + request.time_left + MAX_DELAY;
            is_late.then_some(LossCause::Late)
        }
        None if arrivals.contains(&request.correlation_id) => Some(LossCause::Forwarded),
        None => was_read().then_some(LossCause::Read),
    }
}
