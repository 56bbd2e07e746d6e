//! What a seed draws. A seed stands for a certain sequence of draws: their order must stay.

use crate::balancer_process::Signal;
use serde_json::{Value, json};
use std::time::Duration;

const DEADLINES_MS: [u64; 7] = [50, 100, 250, 600, 1200, 2500, 4000];
const RETRY_SAFETIES: [&str; 3] = ["idempotent", "at_most_once", "deduplicated"];
const UPSTREAMS: usize = 6;
/// The crowd of some runs.
const IDLE_CLIENTS: usize = 120;

/// How an upstream responds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Behavior {
    AtOnce,
    /// After a time up to this one.
    Late(Duration),
    Never,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) retry_safety: &'static str,
    pub(super) deadline: Duration,
}

/// A signal and when it is sent, from the first one on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SignalAt {
    pub(super) after: Duration,
    pub(super) signal: Signal,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) classes: Vec<Class>,
    pub(super) upstreams: Vec<Behavior>,
    pub(super) clients: usize,
    pub(super) idle_clients: usize,
    /// How long there is traffic before the first signal.
    pub(super) traffic_before: Duration,
    pub(super) signals: Vec<SignalAt>,
    /// How long new connections come behind SIGTERM.
    pub(super) connections_come_for: Duration,
    pub(super) system_faults_per_mille: u32,
    pub(super) steps_clock: bool,
}

impl Plan {
    pub(super) fn draw(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let longest = DEADLINES_MS[random.usize(..DEADLINES_MS.len())];
        let classes = RETRY_SAFETIES.into_iter().enumerate().map(|(index, retry_safety)| {
            let deadline_ms = if index == 0 { longest } else { (longest * random.u64(3..=10) / 10).max(50) };
            let deadline = Duration::from_millis(deadline_ms);
            Class { name: format!("class{index}"), retry_safety, deadline }
        });
        let classes = classes.collect();
        let upstreams = (0..UPSTREAMS).map(|_| draw_behavior(&mut random, longest)).collect();
        Self {
            seed,
            classes,
            upstreams,
            clients: random.usize(4..14),
            idle_clients: if random.u8(..3) == 0 { IDLE_CLIENTS } else { 0 },
            traffic_before: Duration::from_millis(random.u64(200..700)),
            signals: draw_signals(&mut random),
            connections_come_for: Duration::from_millis(random.u64(200..=400)),
            system_faults_per_mille: if random.bool() { 20 } else { 0 },
            steps_clock: random.bool(),
        }
    }

    pub(super) fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// The classes in the form of the settings.
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

fn draw_behavior(random: &mut fastrand::Rng, longest_ms: u64) -> Behavior {
    match random.u8(..4) {
        0 | 1 => Behavior::AtOnce,
        2 => Behavior::Late(Duration::from_millis(longest_ms * random.u64(2..14) / 10)),
        _ => Behavior::Never,
    }
}

/// SIGTERM, in some runs more than once, with SIGHUP before it and behind it.
fn draw_signals(random: &mut fastrand::Rng) -> Vec<SignalAt> {
    let mut signals = Vec::new();
    let mut after = Duration::ZERO;
    for _ in 0..random.usize(..3) {
        signals.push(SignalAt { after, signal: Signal::Hangup });
        after += Duration::from_millis(random.u64(..80));
    }
    signals.push(SignalAt { after, signal: Signal::Terminate });
    for _ in 0..random.usize(..4) {
        after += Duration::from_millis(random.u64(..150));
        let signal = if random.bool() { Signal::Terminate } else { Signal::Hangup };
        signals.push(SignalAt { after, signal });
    }
    signals
}
