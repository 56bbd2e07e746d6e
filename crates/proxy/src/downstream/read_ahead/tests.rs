use super::*;
use crate::memory_budget::budget_of;

#[test]
fn bytes_are_kept_in_order_up_to_the_maximum() {
    let mut read_ahead = ReadAhead::new(budget_of(MAX_KEPT_BYTES));
    read_ahead.push(b"ab");
    read_ahead.push(&[b'c'; MAX_KEPT_BYTES - 2]);

    assert!(!read_ahead.is_discarded());
    assert_eq!(read_ahead.take(3), "abc");
    assert_eq!(read_ahead.take(usize::MAX).len(), MAX_KEPT_BYTES - 3);
    assert!(read_ahead.take(usize::MAX).is_empty());
}

/// A request must not be put together from bytes between which others were discarded.
#[test]
fn once_bytes_were_discarded_none_are_kept_any_more() {
    let mut read_ahead = ReadAhead::new(budget_of(MAX_KEPT_BYTES));
    read_ahead.push(&[b'a'; MAX_KEPT_BYTES]);
    read_ahead.push(b"b");
    read_ahead.push(b"c");

    assert!(read_ahead.is_discarded());
    assert!(read_ahead.take(usize::MAX).is_empty());
}

#[test]
fn kept_bytes_are_reserved_until_they_are_taken() {
    let budget = budget_of(MAX_KEPT_BYTES);
    let mut read_ahead = ReadAhead::new(budget.clone());
    read_ahead.push(&[b'a'; MAX_KEPT_BYTES - 1]);

    assert!(budget.try_reserve(2).is_err());
    assert_eq!(read_ahead.take(usize::MAX).len(), MAX_KEPT_BYTES - 1);

    assert!(budget.try_reserve(MAX_KEPT_BYTES).is_ok());
}

#[test]
fn bytes_that_the_budget_cannot_hold_are_discarded() {
    let mut read_ahead = ReadAhead::new(budget_of(0));
    read_ahead.push(&[b'a'; UNRESERVED_BYTES]);
    assert!(!read_ahead.is_discarded());

    read_ahead.push(b"b");

    assert!(read_ahead.is_discarded());
}
