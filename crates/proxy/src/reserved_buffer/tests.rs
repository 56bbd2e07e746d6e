use super::ExpectedLength::{AtMost, Exactly};
use super::*;
use crate::memory_budget::budget_of;

const BUDGET_BYTES: usize = 100 * 1024;

async fn filled(budget: &MemoryBudget, expected: ExpectedLength, pieces: &[usize]) -> ReservedBuffer {
    let mut buffer = ReservedBuffer::new(budget, expected);
    for piece in pieces {
        buffer.extend_from_slice(&vec![b'x'; *piece]).await.expect("the budget suffices");
    }
    buffer
}

#[tokio::test(flavor = "local")]
async fn a_buffer_reserves_a_step_and_keeps_its_length_when_frozen() {
    let [_, _, step] = CAPACITY_STEPS;
    let budget = budget_of(BUDGET_BYTES);

    let buffer = filled(&budget, AtMost(BUDGET_BYTES), &[5000, 5000]).await;
    assert!(budget.try_reserve(BUDGET_BYTES - step + 1).is_err());
    let content = buffer.freeze();

    assert_eq!(content.len(), 10_000);
    assert!(budget.try_reserve(BUDGET_BYTES - 10_000 + 1).is_err());
    let released = budget.try_reserve(BUDGET_BYTES - 10_000).expect("only the length is reserved");
    drop(released);
    drop(content.clone());
    assert!(budget.try_reserve(BUDGET_BYTES).is_err(), "a reference is left");
    drop(content);
    assert!(budget.try_reserve(BUDGET_BYTES).is_ok());
}

#[tokio::test(flavor = "local")]
async fn a_small_buffer_needs_no_reservation() {
    let budget = budget_of(0);

    let buffer = filled(&budget, AtMost(64 * 1024), &[UNRESERVED_BYTES]).await;

    assert_eq!(buffer.freeze().len(), UNRESERVED_BYTES);
}

#[tokio::test(flavor = "local")]
async fn a_buffer_never_reserves_more_than_its_maximum() {
    let budget = budget_of(10_000);

    let buffer = filled(&budget, AtMost(10_000), &[9000, 1000]).await;

    assert_eq!(buffer.freeze().len(), 10_000);
}

#[tokio::test(flavor = "local")]
async fn a_buffer_that_becomes_large_reserves_its_maximum_at_once() {
    let budget = budget_of(BUDGET_BYTES);

    let _buffer = filled(&budget, AtMost(BUDGET_BYTES), &[CAPACITY_STEPS[2], 1]).await;

    assert!(budget.try_reserve(1).is_err());
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_buffer_is_unchanged_if_the_budget_cannot_hold_more() {
    let budget = budget_of(10_000);
    let mut buffer = filled(&budget, AtMost(64 * 1024), &[6000]).await;

    let result = buffer.extend_from_slice(&[b'y'; 3000]).await;

    assert!(result.is_err());
    assert!(buffer.waited() >= RESERVATION_TIMEOUT);
    assert_eq!(buffer.freeze().len(), 6000);
}

#[tokio::test(flavor = "local")]
async fn a_buffer_of_known_length_reserves_it_at_once() {
    let budget = budget_of(BUDGET_BYTES);

    let buffer = filled(&budget, Exactly(BUDGET_BYTES), &[UNRESERVED_BYTES]).await;
    assert!(budget.try_reserve(1).is_err());

    assert_eq!(buffer.freeze().len(), UNRESERVED_BYTES);
}
