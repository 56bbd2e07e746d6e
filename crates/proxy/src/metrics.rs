//! Counters of what this balancer does, registered in Prometheus' terms and logged while they change.

use balancer_core::{Outcome, RejectionReason};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// How often counters that have changed are logged.
const LOG_EVERY: Duration = Duration::from_secs(10);

/// The final answer that a client got.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum ResponseKind {
    /// An upstream's.
    Served,
    /// Rejected: the token bucket of the tenant was empty.
    RejectedOverQuota,
    /// Rejected: no upstream could take a request.
    RejectedNoUpstream,
    /// Rejected: no attempt was executed, and no retry was possible.
    RejectedNoRetry,
    /// Failed.
    Failed,
    /// None: the client left before.
    ClientLeft,
}

impl From<RejectionReason> for ResponseKind {
    fn from(reason: RejectionReason) -> Self {
        match reason {
            RejectionReason::OverQuota => Self::RejectedOverQuota,
            RejectionReason::NoUpstream => Self::RejectedNoUpstream,
            RejectionReason::NoRetry => Self::RejectedNoRetry,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// Answered with 200.
    Ok,
    /// Answered with an error.
    Error,
    /// Turned away unprocessed.
    Rejected,
    /// Not answered in time.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection ended without an answer.
    Reset,
    /// Cancelled by the decisions.
    Cancelled,
    /// Never written.
    NotSent,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok => Self::Ok,
            Outcome::Error => Self::Error,
            Outcome::Rejected => Self::Rejected,
            Outcome::TimedOut => Self::TimedOut,
            Outcome::ConnectFailed => Self::ConnectFailed,
            Outcome::Reset => Self::Reset,
            Outcome::Cancelled => Self::Cancelled,
            Outcome::NotSent => Self::NotSent,
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AnswerLabels {
    kind: ResponseKind,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AttemptLabels {
    end: AttemptEnd,
}

/// All metrics of one balancer.
pub struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    /// Requests handed to the decisions.
    pub requests: Counter,
    /// Attempts after the first of their request.
    pub further_attempts: Counter,
    /// Attempts not written as their upstream had begun to drain or was gone by then.
    pub withheld_attempts: Counter,
    /// Calls to discovery that have begun.
    pub discovery_calls: Counter,
    /// Calls to discovery and watches that have failed or ended.
    pub discovery_failures: Counter,
    /// Lists and changes of lists applied.
    pub lists: Counter,
    /// Their bytes.
    pub list_bytes: Counter,
    /// The version of the list in hand.
    pub list_version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("balancer"),
            answers: Family::default(),
            attempts: Family::default(),
            requests: Counter::default(),
            further_attempts: Counter::default(),
            withheld_attempts: Counter::default(),
            discovery_calls: Counter::default(),
            discovery_failures: Counter::default(),
            lists: Counter::default(),
            list_bytes: Counter::default(),
            list_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Final answers", self.answers.clone());
        registry.register("attempts", "Attempts that ended", self.attempts.clone());
        let counters = [
            ("requests", "Requests handed to the decisions", &self.requests),
            ("further_attempts", "Attempts after the first", &self.further_attempts),
            ("withheld_attempts", "Attempts withheld from upstreams not ready", &self.withheld_attempts),
            ("discovery_calls", "Calls to discovery", &self.discovery_calls),
            ("discovery_failures", "Calls and watches that failed", &self.discovery_failures),
            ("lists", "Lists and changes applied", &self.lists),
            ("list_bytes", "Bytes of lists and changes applied", &self.list_bytes),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("list_version", "Version of the list in hand", self.list_version.clone());
    }

    /// A request got its final answer, or lost its client.
    pub fn answered(&self, kind: ResponseKind) {
        self.answers.get_or_create(&AnswerLabels { kind }).inc();
    }

    /// An attempt ended.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        self.attempts.get_or_create(&AttemptLabels { end }).inc();
    }

    /// All metrics in Prometheus' text form.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Logs what has changed, again and again.
    pub async fn log_changes(&self) {
        let mut before: BTreeMap<String, String> = BTreeMap::new();
        loop {
            sleep(LOG_EVERY).await;
            let now = samples(&self.render());
            let changed: Vec<String> = now
                .iter()
                .filter(|(name, value)| before.get(*name) != Some(*value))
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            if !changed.is_empty() {
                tracing::info!("counters: {}", changed.join(" "));
            }
            before = now;
        }
    }
}

/// The samples of a text in Prometheus' form, by name and labels.
fn samples(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let samples = lines.filter_map(|line| line.rsplit_once(' '));
    samples.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
