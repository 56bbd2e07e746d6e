//! The counters and gauges of the proxy, kept in a Prometheus registry. They are not exported; those that
//! have changed are logged at a fixed interval.

use balancer_core::{Outcome, RejectionReason};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the metrics that have changed are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How a request ended.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum ResponseKind {
    /// The client got the response of an upstream.
    Served,
    /// Rejected: the token bucket of the tenant was empty.
    RejectedOverQuota,
    /// Rejected: no upstream could take the request.
    RejectedNoUpstream,
    /// Rejected: all attempts failed and no retry was possible, but the client can safely send the request
    /// again.
    RejectedNoRetry,
    /// Failed: the request may have been executed.
    Failed,
    /// Ended without a response: the client disconnected first.
    ClientDisconnected,
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

/// How an attempt ended, as the label of a metric. The variants are those of [`Outcome`].
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream served the request.
    Ok,
    /// The upstream responded with an error or with a malformed response.
    Error,
    /// The upstream rejected the request without executing it.
    Rejected,
    /// No complete response arrived before the deadline or the shutdown.
    TimedOut,
    /// No connection to the upstream was established, or it was lost before the whole request was written.
    ConnectFailed,
    /// The connection was lost after the whole request was written and before the response was complete.
    Reset,
    /// The balancer cancelled the attempt, or the budget for large response bodies was exhausted.
    Cancelled,
    /// The request was not written completely, for a reason that is not a failure of the upstream.
    NotSent,
}

impl From<Outcome> for AttemptOutcome {
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
struct ResponseLabels {
    kind: ResponseKind,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AttemptLabels {
    outcome: AttemptOutcome,
}

/// All metrics of the proxy.
pub struct Metrics {
    registry: Registry,
    responses: Family<ResponseLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    /// Requests submitted to the balancer.
    pub requests: Counter,
    /// Attempts other than the first one of their request.
    pub retries_and_hedges: Counter,
    /// Attempts and health checks that were not sent because the upstream stopped being ready while they
    /// waited for a connection.
    pub withheld_attempts: Counter,
    /// Requests that were rejected without reaching the balancer, because there was no memory for them.
    pub requests_out_of_memory: Counter,
    /// Client connections that were closed because they held memory needlessly while others waited for it.
    pub clients_evicted_for_memory: Counter,
    /// Calls to discovery that were started, successful or not.
    pub discovery_calls: Counter,
    /// Calls to discovery that failed, were given up or were reported to the balancer as failed before the
    /// head of their response arrived. Each call counts once, even if it is answered late.
    pub discovery_calls_failed: Counter,
    /// Watches that discovery ended or that failed. A watch that is aborted because discovery has a new
    /// address does not count.
    pub watches_ended: Counter,
    /// Endpoint lists and changes to them that were read from discovery.
    pub endpoint_lists: Counter,
    /// Total size in bytes of the lists and changes that `endpoint_lists` counts.
    pub endpoint_list_bytes: Counter,
    /// The version of the endpoint list in use.
    pub endpoint_list_version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("balancer"),
            responses: Family::default(),
            attempts: Family::default(),
            requests: Counter::default(),
            retries_and_hedges: Counter::default(),
            withheld_attempts: Counter::default(),
            requests_out_of_memory: Counter::default(),
            clients_evicted_for_memory: Counter::default(),
            discovery_calls: Counter::default(),
            discovery_calls_failed: Counter::default(),
            watches_ended: Counter::default(),
            endpoint_lists: Counter::default(),
            endpoint_list_bytes: Counter::default(),
            endpoint_list_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("responses", "Requests that ended, by kind of response", self.responses.clone());
        registry.register("attempts", "Attempts that ended, by outcome", self.attempts.clone());
        let counters = [
            ("requests", "Requests handed to the balancer", &self.requests),
            ("retries_and_hedges", "Attempts after the first of their request", &self.retries_and_hedges),
            (
                "withheld_attempts",
                "Attempts and health checks withheld from an upstream that stopped being ready",
                &self.withheld_attempts,
            ),
            (
                "requests_out_of_memory",
                "Requests rejected because there was no memory for them",
                &self.requests_out_of_memory,
            ),
            (
                "clients_evicted_for_memory",
                "Client connections closed to release memory",
                &self.clients_evicted_for_memory,
            ),
            ("discovery_calls", "Calls to discovery", &self.discovery_calls),
            ("discovery_calls_failed", "Calls to discovery that failed", &self.discovery_calls_failed),
            ("watches_ended", "Watches that discovery ended or that failed", &self.watches_ended),
            ("endpoint_lists", "Endpoint lists and changes read", &self.endpoint_lists),
            ("endpoint_list_bytes", "Bytes of endpoint lists and changes", &self.endpoint_list_bytes),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let version = self.endpoint_list_version.clone();
        registry.register("endpoint_list_version", "Version of the endpoint list in use", version);
    }

    /// Counts a request that has ended.
    pub fn record_response(&self, kind: ResponseKind) {
        self.responses.get_or_create(&ResponseLabels { kind }).inc();
    }

    /// Counts an attempt that has ended.
    pub fn record_attempt(&self, outcome: AttemptOutcome) {
        self.attempts.get_or_create(&AttemptLabels { outcome }).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Logs, at each [`LOG_INTERVAL`], the metrics that have changed since the previous interval. Never
    /// returns.
    pub async fn log_changes(&self) {
        let mut previous = BTreeMap::new();
        loop {
            sleep(LOG_INTERVAL).await;
            let current = parse_samples(&self.render());
            let changed = changed_samples(&previous, &current);
            if !changed.is_empty() {
                tracing::info!(metrics = %changed.join(" "), "metrics changed");
            }
            previous = current;
        }
    }
}

/// The values of metrics by name and labels, both as they appear in the Prometheus text format.
type Samples = BTreeMap<String, String>;

/// Parses the samples of a text in the Prometheus text format.
fn parse_samples(text: &str) -> Samples {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let samples = lines.filter_map(|line| line.rsplit_once(' '));
    samples.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Returns the samples of `current` that are new or differ from `previous`, as `name=value`.
fn changed_samples(previous: &Samples, current: &Samples) -> Vec<String> {
    let changed = current.iter().filter(|(name, value)| previous.get(*name) != Some(*value));
    changed.map(|(name, value)| format!("{name}={value}")).collect()
}
