use super::*;

const FIELDS: [LoadField; 2] = [LoadField::Queue, LoadField::InFlight];

#[test]
fn values_are_in_the_order_of_the_settings() {
    assert_eq!(parse("inflight=7,queue=2,util=0.61", &FIELDS), Some(vec![2.0, 7.0]));
}

#[test]
fn an_unreadable_value_is_nan_if_another_value_is_readable() {
    let values = parse("depth=3, inflight=many", &FIELDS).unwrap();
    assert_eq!(values[0], 3.0);
    assert!(values[1].is_nan());
}

#[test]
fn a_report_without_a_readable_value_is_unreadable() {
    for report in ["", "queue", "queue=nan", "a=1", "=,=,=", "queue=inf"] {
        assert_eq!(parse(report, &FIELDS), None, "{report}");
    }
}
