use super::*;

const MAX_OBJECT_BYTES: usize = 64;

/// Returns all items of a stream that arrives in chunks of `chunk_length` bytes.
fn split(text: &[u8], chunk_length: usize) -> Result<Vec<StreamItem>, SplitError> {
    let mut splitter = JsonSplitter::new(MAX_OBJECT_BYTES);
    let mut items = Vec::new();
    for chunk in text.chunks(chunk_length) {
        splitter.push(chunk);
        while let Some(item) = splitter.next_item()? {
            items.push(item);
        }
    }
    Ok(items)
}

fn object(text: &'static str) -> StreamItem {
    StreamItem::Object(Bytes::from_static(text.as_bytes()))
}

#[test]
fn objects_and_line_ends_are_split_for_every_chunk_length() {
    let text = "{\"a\": [1, {}]}\n\n {\n  \"b\": \"}{\\\"\"\n}{}";
    for chunk_length in 1..=text.len() {
        let items = split(text.as_bytes(), chunk_length).unwrap();
        let expected = [
            object("{\"a\": [1, {}]}"),
            StreamItem::LineEnd,
            StreamItem::LineEnd,
            object("{\n  \"b\": \"}{\\\"\"\n}"),
            object("{}"),
        ];
        assert_eq!(items, expected, "chunks of {chunk_length}");
    }
}

#[test]
fn an_object_is_returned_only_once_it_is_complete() {
    let mut splitter = JsonSplitter::new(MAX_OBJECT_BYTES);
    assert!(!splitter.is_within_object());
    splitter.push(b"{\"a\": 1");
    assert_eq!(splitter.next_item().unwrap(), None);
    assert!(splitter.is_within_object());
    splitter.push(b"2}");
    assert_eq!(splitter.next_item().unwrap(), Some(object("{\"a\": 12}")));
    assert!(!splitter.is_within_object());
}

#[test]
fn malformed_json_and_bytes_outside_of_objects_are_errors() {
    assert!(matches!(split(b"{}x", 1), Err(SplitError::OutsideOfObject(b'x'))));
    assert!(matches!(split(b"[]", 2), Err(SplitError::OutsideOfObject(b'['))));
    assert!(matches!(split(b"{\"a\": ]", 7), Err(SplitError::Json { .. })));
}

#[test]
fn an_object_incomplete_after_too_many_bytes_is_an_error() {
    let unterminated = [b"{\"a\": \"".as_slice(), &[b'x'; MAX_OBJECT_BYTES]].concat();
    assert!(matches!(split(&unterminated, 8), Err(SplitError::TooLong(MAX_OBJECT_BYTES))));
}
