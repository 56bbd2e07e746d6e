use super::*;
use crate::memory_budget::budget_of;
use std::future::poll_fn;

async fn ready(memory: &mut HeadMemory) -> Result<(), BudgetExhausted> {
    poll_fn(|context| memory.poll_ready(context)).await
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_small_head_needs_no_memory() {
    let mut memory = HeadMemory::new(budget_of(0));

    for _ in 0..10 {
        memory.on_bytes_received(SMALL_HEAD_BYTES - 1);
        assert!(ready(&mut memory).await.is_ok());
        assert!(!memory.on_head_received());
    }
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_head_reserves_memory_until_the_connection_ends() {
    let budget = budget_of(LONG_HEAD_BUFFER_BYTES);
    let mut memory = HeadMemory::new(budget.clone());

    memory.on_bytes_received(SMALL_HEAD_BYTES);
    assert!(ready(&mut memory).await.is_ok());
    assert!(budget.try_reserve(1).is_err());
    assert!(memory.on_head_received());

    assert!(budget.try_reserve(1).is_err());
    drop(memory);
    assert!(budget.try_reserve(LONG_HEAD_BUFFER_BYTES).is_ok());
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_long_head_is_not_read_further_without_memory() {
    let mut memory = HeadMemory::new(budget_of(0));

    memory.on_bytes_received(SMALL_HEAD_BYTES);

    assert!(ready(&mut memory).await.is_err());
    assert!(ready(&mut memory).await.is_err(), "a connection that reads again fails again");
}
