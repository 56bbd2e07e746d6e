use super::*;

/// Lines that begin with the name, in upper or lower case, are counted wherever the bytes are split between
/// calls.
#[test]
fn headers_are_counted_wherever_the_bytes_are_split() {
    let text = b"POST / HTTP/1.1\r\nX: content-length\r\ncOntent-Length: 4\r\nContent-Lengt: 1\r\n\r\nabcd";
    let counter_after = |chunk_length| {
        let mut counter = ContentLengthCounter::new();
        text.chunks(chunk_length).for_each(|chunk| counter.scan(chunk));
        counter
    };
    for chunk_length in 1..text.len() {
        assert!(counter_after(chunk_length).has_hidden_header(0), "{chunk_length}");
        assert!(!counter_after(chunk_length).has_hidden_header(1), "{chunk_length}");
    }
}
