//! The parameters of a run. A seed stands for a certain sequence of draws, so the order of the draws must not
//! change.

use crate::balancer_process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

/// Values from which the longest deadline of the request classes is drawn.
const DEADLINES_MS: [u64; 7] = [50, 100, 250, 600, 1200, 2500, 4000];
/// Values of the setting `effect`, one for each request class.
const RETRY_SAFETIES: [&str; 3] = ["idempotent", "at_most_once", "deduplicated"];
const UPSTREAM_COUNT: usize = 6;
/// Number of idle connections in the runs that have any.
const IDLE_CLIENT_COUNT: usize = 120;

/// When an upstream responds to a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResponseTiming {
    Immediate,
    /// The upstream responds after a random delay of at most this duration.
    Delayed(Duration),
    Never,
}

/// A request class in the settings of the balancer.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) retry_safety: &'static str,
    pub(super) deadline: Duration,
}

/// A signal, and the time from the first signal of the run until it is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledSignal {
    pub(super) offset: Duration,
    pub(super) signal: Signal,
}

/// The parameters of a run, as a seed determines them.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) classes: Vec<Class>,
    pub(super) upstreams: Vec<ResponseTiming>,
    pub(super) clients: usize,
    /// Number of connections on which no requests are sent.
    pub(super) idle_clients: usize,
    /// How long clients send requests before the first signal.
    pub(super) traffic_before_signals: Duration,
    /// Signals to the process, in the order in which they are sent.
    pub(super) signals: Vec<ScheduledSignal>,
    /// How long clients open new connections after SIGTERM.
    pub(super) new_connections_after_sigterm: Duration,
    pub(super) system_faults_per_mille: u32,
    pub(super) steps_clock: bool,
}

impl Plan {
    /// Draws a plan from a seed.
    pub(super) fn draw(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let longest_deadline_ms = DEADLINES_MS[random.usize(..DEADLINES_MS.len())];
        let classes = RETRY_SAFETIES.into_iter().enumerate().map(|(index, retry_safety)| {
            let deadline_ms = if index == 0 {
                longest_deadline_ms
            } else {
                (longest_deadline_ms * random.u64(3..=10) / 10).max(50)
            };
            let deadline = Duration::from_millis(deadline_ms);
            Class { name: format!("class{index}"), retry_safety, deadline }
        });
        let classes = classes.collect();
        let upstreams =
            (0..UPSTREAM_COUNT).map(|_| draw_response_timing(&mut random, longest_deadline_ms)).collect();
        Self {
            seed,
            classes,
            upstreams,
            clients: random.usize(4..14),
            idle_clients: if random.u8(..3) == 0 { IDLE_CLIENT_COUNT } else { 0 },
            traffic_before_signals: Duration::from_millis(random.u64(200..700)),
            signals: draw_signals(&mut random),
            new_connections_after_sigterm: Duration::from_millis(random.u64(200..=400)),
            system_faults_per_mille: if random.bool() { 20 } else { 0 },
            steps_clock: random.bool(),
        }
    }

    pub(super) fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Returns the request classes in the JSON form of the settings.
    pub(super) fn classes_json(&self) -> Value {
        let classes = self.classes.iter().map(|class| {
            let deadline_ms = class.deadline.as_millis() as u64;
            json!({
                "name": class.name, "aim_ms": deadline_ms, "hard_limit_ms": deadline_ms, "late_worth": 0.5,
                "effect": class.retry_safety, "dedup_scope": "all", "key_ttl_ms": 5000,
            })
        });
        classes.collect()
    }
}

/// Draws when an upstream responds. Delays can be longer than the longest deadline.
fn draw_response_timing(random: &mut fastrand::Rng, longest_deadline_ms: u64) -> ResponseTiming {
    match random.u8(..4) {
        0 | 1 => ResponseTiming::Immediate,
        2 => ResponseTiming::Delayed(Duration::from_millis(longest_deadline_ms * random.u64(2..14) / 10)),
        _ => ResponseTiming::Never,
    }
}

/// Draws the signals: up to two SIGHUPs, one SIGTERM, and up to three more SIGTERMs or SIGHUPs.
fn draw_signals(random: &mut fastrand::Rng) -> Vec<ScheduledSignal> {
    let mut signals = Vec::new();
    let mut offset = Duration::ZERO;
    for _ in 0..random.usize(..3) {
        signals.push(ScheduledSignal { offset, signal: Signal::Hangup });
        offset += Duration::from_millis(random.u64(..80));
    }
    signals.push(ScheduledSignal { offset, signal: Signal::Terminate });
    for _ in 0..random.usize(..4) {
        offset += Duration::from_millis(random.u64(..150));
        let signal = if random.bool() { Signal::Terminate } else { Signal::Hangup };
        signals.push(ScheduledSignal { offset, signal });
    }
    signals
}
