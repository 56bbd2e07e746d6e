//! Runs the adapter as a process, which reads batches from standard input, writes replies to standard output
//! and reports malformed input with one line on standard error.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "classes": [{"aim_ms": 500.0, "hard_limit_ms": 1500.0,
    "effect": "idempotent", "worth": 1.0, "name": "a", "unknown": [1]}], "unknown": {"key": "value"}}"#;

/// The instance that [`start_batch`] starts.
const RUNNING_INSTANCE: u32 = 3;
/// An instance that is never started.
const UNSTARTED_INSTANCE: u32 = 4;
const REQUEST_ID: u32 = 77;

/// Offset of the first record in a frame, after the length field and the clock.
const FIRST_RECORD_OFFSET: usize = 12;
/// Code of the `FORWARD` action, which sends an attempt.
const FORWARD_CODE: u8 = 72;
/// Size of a `FORWARD` action, including its code.
const FORWARD_BYTES: usize = 23;

/// Runs the adapter on an input until the process ends.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter may end before it has read the whole input, so a broken pipe is not an error here.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = clock_ms.to_be_bytes().into_iter().chain(records.concat()).collect();
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// Encodes a `POWER_ON` event, which starts an instance.
fn start(instance: u32, settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    [&[5][..], &instance.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()].concat()
}

/// Encodes a `DETACH` event, which kills an instance.
fn kill(instance: u32) -> Vec<u8> {
    [&[8][..], &instance.to_be_bytes()].concat()
}

/// Encodes a `DIRECTORY` event, which defines an endpoint list. Its upstreams are ready and have the
/// addresses `10.0.0.id:0x2bc0`.
fn endpoint_list(number: u32, ids: &[u8]) -> Vec<u8> {
    let mut record = [&[4][..], &number.to_be_bytes(), &(ids.len() as u32).to_be_bytes()].concat();
    for id in ids {
        record.extend([10, 0, 0, *id, 0x2b, 0xc0, 0, 0, 0, 0, 0, 1]);
        record.extend(1f32.to_be_bytes());
        record.extend(0f64.to_be_bytes());
    }
    record
}

/// Encodes a `FLEET` event, which delivers an endpoint update.
fn endpoint_update(instance: u32, scope: u8, list: u32) -> Vec<u8> {
    [&[9][..], &instance.to_be_bytes(), &[scope], &1u32.to_be_bytes(), &list.to_be_bytes()].concat()
}

/// Encodes an `ASK` event, which delivers a request of class 0 and tenant 0 with 1500 ms left.
fn request(instance: u32, id: u32) -> Vec<u8> {
    let mut record = [&[11][..], &instance.to_be_bytes(), &id.to_be_bytes(), &[0; 2], &[0; 4]].concat();
    record.extend(0u64.to_be_bytes());
    record.extend(1500f64.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record.push(0);
    record
}

/// Returns a valid batch that starts [`RUNNING_INSTANCE`] and gives it two upstreams.
fn start_batch() -> Vec<u8> {
    batch(
        100.0,
        &[
            start(RUNNING_INSTANCE, SETTINGS),
            endpoint_list(0, &[1, 2]),
            endpoint_update(RUNNING_INSTANCE, 2, 0),
        ],
    )
}

/// Returns the replies in order, without their length fields.
fn replies(output: &Output) -> Vec<Vec<u8>> {
    let mut replies = Vec::new();
    let mut rest = &output.stdout[..];
    while let Some((field, after)) = rest.split_first_chunk() {
        let length = u32::from_be_bytes(*field) as usize;
        let (reply, next) = after.split_at(length);
        replies.push(reply.to_vec());
        rest = next;
    }
    assert!(rest.is_empty(), "a part of a length field: {rest:?}");
    replies
}

/// Asserts that the adapter rejects a malformed batch that follows a valid one: it exits with code 1, writes
/// one line to standard error that names the offset `byte` and contains `text`, and writes no part of a reply
/// to the malformed batch.
fn assert_malformed(second_batch: &[u8], byte: usize, text: &str) {
    let output = run_adapter(&[&start_batch()[..], second_batch].concat());

    let line = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}: {line}");
    assert_eq!(line.lines().count(), 1, "{text}: {line}");
    assert!(line.contains(&format!("byte {byte}")), "{text}: no byte {byte} in {line}");
    assert!(line.contains(text), "{text}: {line}");
    assert_eq!(replies(&output).len(), 1, "{text}: no part of a reply");
}

#[test]
fn a_request_is_sent_to_a_listed_upstream() {
    let request_batch = batch(105.0, &[request(RUNNING_INSTANCE, REQUEST_ID)]);

    let output = run_adapter(&[batch(90.0, &[]), start_batch(), request_batch].concat());

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert_eq!(replies.len(), 3, "one reply for each batch");
    assert_eq!(replies[0], [0u8; 0]);
    let forward = &replies[2];
    assert_eq!(forward[0], FORWARD_CODE);
    assert_eq!(forward[1..5], RUNNING_INSTANCE.to_be_bytes());
    assert_eq!(forward[5..9], REQUEST_ID.to_be_bytes());
    assert_eq!(forward[9..12], [10, 0, 0]);
    assert!([1, 2].contains(&forward[12]), "upstream {}", forward[12]);
    assert_eq!(forward[13..15], [0x2b, 0xc0]);
    assert_eq!(forward.len(), FORWARD_BYTES, "no other action");
}

#[test]
fn a_truncated_frame_is_rejected() {
    let complete = batch(105.0, &[request(RUNNING_INSTANCE, REQUEST_ID)]);
    let truncated = &complete[..complete.len() - 5];

    assert_malformed(truncated, truncated.len(), "cut short");
    assert_malformed(&complete[..2], 2, "cut short");
}

#[test]
fn a_length_out_of_range_is_rejected() {
    assert_malformed(&[0xff, 0xff, 0xff, 0xff, 0, 0], 0, "length");
    assert_malformed(&[0, 0, 0, 3, 0, 0, 0], 0, "length");
}

#[test]
fn a_truncated_record_is_rejected() {
    let mut truncated = request(RUNNING_INSTANCE, REQUEST_ID);
    truncated.truncate(20);

    assert_malformed(&batch(105.0, &[truncated]), 27, "needs");
}

#[test]
fn an_unknown_record_code_is_rejected() {
    let valid = request(RUNNING_INSTANCE, REQUEST_ID);
    let byte = FIRST_RECORD_OFFSET + valid.len();

    assert_malformed(&batch(105.0, &[valid, vec![99, 0, 0, 0, 3]]), byte, "99");
}

#[test]
fn an_endpoint_update_with_an_undefined_list_number_is_rejected() {
    assert_malformed(&batch(105.0, &[endpoint_update(RUNNING_INSTANCE, 1, 9)]), FIRST_RECORD_OFFSET, "list");
}

#[test]
fn an_event_for_an_instance_that_is_not_running_is_rejected() {
    assert_malformed(
        &batch(105.0, &[request(UNSTARTED_INSTANCE, REQUEST_ID)]),
        FIRST_RECORD_OFFSET,
        "not running",
    );
}

#[test]
fn settings_that_are_not_json_are_rejected() {
    assert_malformed(
        &batch(105.0, &[start(UNSTARTED_INSTANCE, "{\"balancers\": ")]),
        FIRST_RECORD_OFFSET,
        "settings",
    );
}

#[test]
fn invalid_settings_are_rejected() {
    assert_malformed(
        &batch(105.0, &[start(UNSTARTED_INSTANCE, "{\"balancers\": 1}")]),
        FIRST_RECORD_OFFSET,
        "class",
    );
    let negative = SETTINGS.replace("\"worth\": 1.0", "\"worth\": -1.0");
    assert_malformed(&batch(105.0, &[start(UNSTARTED_INSTANCE, &negative)]), FIRST_RECORD_OFFSET, "worth");
}

#[test]
fn a_list_longer_than_its_frame_is_rejected_before_memory_is_allocated() {
    let mut huge = endpoint_list(0, &[]);
    huge[5..9].copy_from_slice(&u32::MAX.to_be_bytes());

    assert_malformed(&batch(105.0, &[huge]), 17, "left");
}

#[test]
fn actions_of_a_killed_instance_are_discarded_when_it_is_started_again() {
    let records =
        [request(RUNNING_INSTANCE, REQUEST_ID), kill(RUNNING_INSTANCE), start(RUNNING_INSTANCE, SETTINGS)];

    let output = run_adapter(&[start_batch(), batch(105.0, &records)].concat());

    assert!(output.status.success());
    assert_eq!(replies(&output)[1], [0u8; 0], "no FORWARD for the request of the killed instance");
}
