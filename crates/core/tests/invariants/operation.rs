//! Operations of a generated history, and the strategy that generates them.

use balancer_core::*;
use proptest::prelude::*;

/// One step of a history. A `pick` selects one of the candidates that exist when the operation is applied.
#[derive(Clone, Debug)]
pub enum Operation {
    /// A client sends a request. Its class is taken modulo the number of classes in the settings.
    SendRequest { class: u16, tenant: u32, time_left_ms: u64, expected_work_ms: Option<f64> },
    /// An attempt in flight ends.
    EndAttempt { pick: usize, outcome: Outcome, reported_in_flight: f32 },
    /// A health check that the balancer requested ends.
    EndHealthCheck { pick: usize, is_healthy: bool, reported_in_flight: f32 },
    /// The response to an attempt in flight starts to stream.
    StartStream { pick: usize },
    /// The client of an unfinished request disconnects.
    DisconnectClient { pick: usize },
    /// An update of the endpoint list arrives.
    UpdateEndpoints { scope: UpdateScope, changes: Vec<EndpointChange> },
    /// Time passes.
    Advance { milliseconds: u64 },
}

/// Entry in an update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    pub id: u64,
    pub availability: Availability,
    /// Whether the endpoint's process started a short time ago. Otherwise, the start is unknown.
    pub has_just_started: bool,
}

/// Returns a strategy that generates any operation.
pub fn any_operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => send_request(),
        6 => end_attempt(),
        3 => end_health_check(),
        1 => any::<usize>().prop_map(|pick| Operation::StartStream { pick }),
        1 => any::<usize>().prop_map(|pick| Operation::DisconnectClient { pick }),
        2 => update_endpoints(),
        6 => prop_oneof![0u64..30, 0u64..400].prop_map(|milliseconds| Operation::Advance { milliseconds }),
    ]
}

fn send_request() -> impl Strategy<Value = Operation> {
    let expected_work = prop::option::of(prop_oneof![1.0..500.0f64, Just(f64::NAN)]);
    let values = (0u16..6, 0u32..5, 0u64..1500, expected_work);
    values.prop_map(|(class, tenant, time_left_ms, expected_work_ms)| Operation::SendRequest {
        class,
        tenant,
        time_left_ms,
        expected_work_ms,
    })
}

fn end_attempt() -> impl Strategy<Value = Operation> {
    let values = (any::<usize>(), 0u8..7, prop_oneof![0.0..9.0f32, Just(f32::NAN)]);
    values.prop_map(|(pick, outcome, reported_in_flight)| Operation::EndAttempt {
        pick,
        outcome: outcome_of(outcome),
        reported_in_flight,
    })
}

/// Returns the outcome for a random number below 7. Success is twice as likely as each other outcome.
fn outcome_of(number: u8) -> Outcome {
    match number {
        0 | 1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        _ => Outcome::Cancelled,
    }
}

fn end_health_check() -> impl Strategy<Value = Operation> {
    let values = (any::<usize>(), any::<bool>(), 0.0..4.0f32);
    values.prop_map(|(pick, is_healthy, reported_in_flight)| Operation::EndHealthCheck {
        pick,
        is_healthy,
        reported_in_flight,
    })
}

fn update_endpoints() -> impl Strategy<Value = Operation> {
    let changes = prop::collection::vec((1u64..12, 0u8..4, any::<bool>()), 0..8);
    (0u8..4, changes).prop_map(|(scope, changes)| {
        let changes = changes.into_iter().map(|(id, availability, has_just_started)| EndpointChange {
            id,
            availability: availability_of(availability),
            has_just_started,
        });
        Operation::UpdateEndpoints { scope: scope_of(scope), changes: changes.collect() }
    })
}

fn scope_of(number: u8) -> UpdateScope {
    match number {
        0 => UpdateScope::Failed,
        1 => UpdateScope::Snapshot,
        2 => UpdateScope::Cached,
        _ => UpdateScope::Delta,
    }
}

/// Returns the availability for a random number below 4. Ready is twice as likely as each other one.
fn availability_of(number: u8) -> Availability {
    match number {
        0 => Availability::Draining,
        1 => Availability::Removed,
        _ => Availability::Ready,
    }
}
