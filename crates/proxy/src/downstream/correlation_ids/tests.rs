use super::*;

#[test]
fn a_correlation_id_is_reserved_until_its_reservation_is_dropped() {
    let ids = CorrelationIds::default();
    let id = HeaderValue::from_static("9b1f");

    let reserved = ids.reserve(id.clone());

    assert!(reserved.is_some());
    assert!(ids.reserve(id.clone()).is_none());
    drop(reserved);
    assert!(ids.reserve(id).is_some());
}
