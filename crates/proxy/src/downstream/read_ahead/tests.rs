use super::*;

#[test]
fn bytes_are_kept_in_order_up_to_the_maximum() {
    let mut read_ahead = ReadAhead::new();
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
    let mut read_ahead = ReadAhead::new();
    read_ahead.push(&[b'a'; MAX_KEPT_BYTES]);
    read_ahead.push(b"b");
    read_ahead.push(b"c");

    assert!(read_ahead.is_discarded());
    assert!(read_ahead.take(usize::MAX).is_empty());
}
