use super::*;
use std::pin::pin;
use tokio::task::{spawn_local, yield_now};

const BUDGET_BYTES: usize = 100 * 1024;
const CONNECTION_BYTES: usize = 10_000;
const HEADROOM: usize = 4000;

fn budgets_that_borrow() -> MemoryBudgets {
    let plan = MemoryPlan {
        connections: CONNECTION_BYTES,
        connection_headroom: HEADROOM,
        requests: 1000,
        responses: 1000,
    };
    MemoryBudgets::new(&plan)
}

#[tokio::test(flavor = "local")]
async fn a_dropped_reservation_is_available_again() {
    let budget = budget_of(BUDGET_BYTES);

    let reservation = budget.try_reserve(BUDGET_BYTES).expect("the budget is unused");
    assert_eq!(budget.try_reserve(1).unwrap_err(), BudgetExhausted { bytes: 1 });
    drop(reservation);

    assert!(budget.try_reserve(BUDGET_BYTES).is_ok());
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_reservation_waits_until_others_release_their_bytes() {
    let budget = budget_of(BUDGET_BYTES);
    let mut other = budget.try_reserve(BUDGET_BYTES).expect("the budget is unused");
    let waiting_budget = budget.clone();
    let waiting = spawn_local(async move { waiting_budget.reserve(10).await });

    budget.shortage().await;
    other.shrink_to(BUDGET_BYTES - 10);

    assert_eq!(waiting.await.unwrap().expect("ten bytes are released").bytes(), 10);
    assert_eq!(budget.waiting(), 0);
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_reservation_fails_if_nothing_is_released_in_time() {
    let budget = budget_of(BUDGET_BYTES);
    let _other = budget.try_reserve(BUDGET_BYTES).expect("the budget is unused");
    let started_at = Instant::now();

    assert_eq!(budget.reserve(10).await.unwrap_err(), BudgetExhausted { bytes: 10 });

    assert!(started_at.elapsed() >= RESERVATION_TIMEOUT);
    assert_eq!(budget.waiting(), 0);
}

/// Guards against a reservation that is counted as waiting although nobody waits for it any more.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_reservation_that_is_given_up_waits_no_more() {
    let budget = budget_of(BUDGET_BYTES);
    let _other = budget.try_reserve(BUDGET_BYTES).expect("the budget is unused");
    {
        let mut reservation = pin!(budget.reserve(10));
        tokio::select! {
            biased;
            _ = reservation.as_mut() => panic!("nothing was released"),
            () = yield_now() => {}
        }
        assert_eq!(budget.waiting(), 1);
    }
    assert_eq!(budget.waiting(), 0);
}

#[tokio::test(flavor = "local")]
async fn requests_and_responses_borrow_what_connections_do_not_need() {
    let budgets = budgets_that_borrow();
    let _connection = budgets.connections.try_reserve(1000).expect("no connection is open");
    let _own = budgets.requests.try_reserve(1000).expect("the budget is unused");

    let borrowed = CONNECTION_BYTES - 1000 - HEADROOM;
    assert!(budgets.requests.try_reserve(borrowed + 1).is_err(), "the headroom is not lent");
    let reservation = budgets.requests.try_reserve(borrowed).expect("the rest is lent");

    assert!(budgets.responses.try_reserve(1001).is_err(), "everything is lent");
    assert!(budgets.responses.try_reserve(1000).is_ok(), "each has a budget of its own");
    drop(reservation);
    assert!(budgets.responses.try_reserve(borrowed).is_ok());
}

#[tokio::test(flavor = "local")]
async fn a_connection_waits_for_memory_that_is_lent() {
    let budgets = budgets_that_borrow();
    let mut reservation = budgets.requests.try_reserve(5000).expect("connections need nothing");
    let connections = budgets.connections.clone();
    let waiting = spawn_local(async move { connections.reserve(CONNECTION_BYTES).await });
    yield_now().await;
    assert!(!waiting.is_finished());

    reservation.shrink_to(0);

    assert_eq!(waiting.await.unwrap().expect("the memory is returned").bytes(), CONNECTION_BYTES);
}

#[tokio::test(flavor = "local")]
async fn reservations_of_both_kinds_are_merged_and_borrowed_bytes_are_returned_first() {
    let budgets = budgets_that_borrow();
    let mut reservation = budgets.requests.try_reserve(800).expect("the budget is unused");
    reservation.merge(budgets.requests.try_reserve(600).expect("connections need nothing"));
    assert_eq!(reservation.bytes(), 1400);

    reservation.shrink_to(800);

    assert!(budgets.connections.try_reserve(CONNECTION_BYTES).is_ok());
    assert_eq!(reservation.bytes(), 800);
}
