use super::*;

/// The lines are found however the bytes are cut, and whatever the case of the name.
#[test]
fn headers_are_counted_however_the_bytes_are_cut() {
    let text = b"POST / HTTP/1.1\r\nX: content-length\r\ncOntent-Length: 4\r\nContent-Lengt: 1\r\n\r\nabcd";
    let counter_after = |cut| {
        let mut counter = ContentLengthCounter::new();
        text.chunks(cut).for_each(|chunk| counter.scan(chunk));
        counter
    };
    for cut in 1..text.len() {
        assert!(counter_after(cut).has_hidden_header(0), "{cut}");
        assert!(!counter_after(cut).has_hidden_header(1), "{cut}");
    }
}
