use super::*;
use tokio::time::advance;

const ID: HeaderValue = HeaderValue::from_static("9b1f");

#[tokio::test(flavor = "local", start_paused = true)]
async fn a_correlation_id_is_reserved_until_its_reservation_is_released() {
    let ids = CorrelationIds::default();

    let reserved = ids.reserve(&ID).expect("the id is not reserved");

    assert!(ids.reserve(&ID).is_none());
    reserved.release();
    assert!(ids.reserve(&ID).is_some());
}

#[tokio::test(flavor = "local", start_paused = true)]
async fn the_id_of_a_request_without_a_response_stays_reserved_for_some_time() {
    let ids = CorrelationIds::default();

    drop(ids.reserve(&ID).expect("the id is not reserved"));

    advance(RETENTION - Duration::from_millis(1)).await;
    assert!(ids.reserve(&ID).is_none());
    advance(Duration::from_millis(1)).await;
    assert!(ids.reserve(&ID).is_some());
}

/// The memory for ids must not grow without end while clients leave.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_oldest_id_is_given_up_if_too_many_are_retained() {
    let ids = CorrelationIds::default();

    for number in 0..=MAX_RETAINED_IDS {
        let id = HeaderValue::from(number);
        drop(ids.reserve(&id).expect("the id is new"));
    }

    assert!(ids.reserve(&HeaderValue::from(1)).is_none(), "the second id is retained");
    assert!(ids.reserve(&HeaderValue::from(0)).is_some(), "the first id is given up");
    assert_eq!(ids.reserved.borrow().ids.len(), MAX_RETAINED_IDS);
}
