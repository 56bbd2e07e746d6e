//! A property test of rules that must hold for every request, regardless of the events that the embedder
//! delivers.

#[path = "../common/mod.rs"]
mod common;
mod embedder;
mod operation;

use balancer_core::*;
use common::{Traffic, settings_of_all_classes};
use embedder::CheckingEmbedder;
use operation::{EndpointChange, Operation, any_operation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Time after which the deadline of every request has passed.
const ALL_DEADLINES_PASSED_AFTER_MS: u64 = 1600;
/// Time after its deadline within which a request must get its final response.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(20);

/// Returns the first operation, which delivers the cached endpoint list.
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

    /// Each request gets exactly one final response, and gets it in time. No request is executed twice if
    /// that is unsafe. Upstreams that are not ready get no attempts. The same events always cause the same
    /// actions. [`CheckingEmbedder`] checks the rules that concern a single action.
    #[test]
    fn the_rules_for_attempts_and_responses_hold_under_any_events(
        operations in prop::collection::vec(any_operation(), 1..160),
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
        let mut embedder = CheckingEmbedder::new(settings, seed);
        embedder.apply(&cached_endpoints(), 0);

        for (index, operation) in operations.iter().enumerate() {
            embedder.apply(operation, index as u32);
        }
        embedder.advance(ALL_DEADLINES_PASSED_AFTER_MS);
        // Only streamed responses are still in flight, as they have no deadline.
        for in_flight in embedder.attempts_in_flight() {
            embedder.end_attempt(in_flight, Outcome::Ok, 0.0);
        }
        embedder.advance(200);

        for (id, request) in &embedder.requests {
            let finished_at = request.finished_at.or(request.is_disconnected.then_some(Duration::ZERO));
            prop_assert!(finished_at.is_some(), "{id:?} got no final response: {request:?}");
            let is_streamed = embedder.settings.classes[request.class].streamed;
            let latest_allowed = request.deadline + RESPONSE_TOLERANCE;
            prop_assert!(
                is_streamed || finished_at <= Some(latest_allowed),
                "{id:?} got its final response late: {request:?}"
            );
        }
    }
}
