//! A property test: rules that hold for every request under any sequence of events that an embedder may
//! deliver.

#[path = "../common/mod.rs"]
mod common;
mod operation;
mod world;

use balancer_core::*;
use common::{Traffic, settings_of_all_classes};
use operation::{EndpointChange, Operation, operation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use world::World;

/// Longer than the deadline of every class.
const AFTER_ALL_DEADLINES_MS: u64 = 1600;
/// How long after its deadline a request may get its final response.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(20);

/// The endpoints that a balancer knows at its start.
fn cached_endpoints() -> Operation {
    let ready = |id| EndpointChange { id, availability: Availability::Ready, has_just_started: false };
    Operation::UpdateEndpoints { scope: UpdateScope::Cached, changes: (1..9).map(ready).collect() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Each request gets exactly one final response, in time; nothing is executed twice that must not be;
    /// upstreams that are not ready get no attempts; and the same events always cause the same actions.
    /// [`World`] checks the rules that concern a single action.
    #[test]
    fn the_rules_for_attempts_and_responses_hold_under_any_events(
        operations in prop::collection::vec(operation(), 1..160),
        (hedging, is_sparse, cancellation) in any::<(bool, bool, bool)>(),
        max_attempts in 1u8..5,
        seed in any::<u64>(),
    ) {
        let traffic = if is_sparse { Traffic::Sparse } else { Traffic::Dense };
        let settings = settings_of_all_classes(traffic)
            .hedging(hedging)
            .cancellation(cancellation)
            .max_attempts(max_attempts)
            .build();
        let mut world = World::new(settings, seed);
        world.play(&cached_endpoints(), 0);

        for (number, operation) in operations.iter().enumerate() {
            world.play(operation, number as u32);
        }
        world.advance(AFTER_ALL_DEADLINES_MS);
        // Only streams are still in flight.
        for in_flight in world.attempts_in_flight() {
            world.end_attempt(in_flight, Outcome::Ok, 0.0);
        }
        world.advance(200);

        for (id, request) in &world.requests {
            let finished_at = request.finished_at.or(request.is_disconnected.then_some(Duration::ZERO));
            prop_assert!(finished_at.is_some(), "{id:?} got no final response: {request:?}");
            let is_streamed = world.settings.classes[request.class].streamed;
            let latest = request.deadline + RESPONSE_TOLERANCE;
            prop_assert!(is_streamed || finished_at <= Some(latest), "{id:?} got a late response: {request:?}");
        }
    }
}
