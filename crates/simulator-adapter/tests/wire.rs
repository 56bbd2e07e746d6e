//! The adapter as a process: batches on standard input, replies on standard output, and one line on standard
//! error for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "classes": [{"aim_ms": 500.0, "hard_limit_ms": 1500.0,
    "effect": "idempotent", "worth": 1.0, "name": "a", "unknown": [1]}], "unknown": {"key": "value"}}"#;

/// The instance that [`first_batch`] starts.
const RUNNING: u32 = 3;
/// An instance that is never started.
const NOT_RUNNING: u32 = 4;
const REQUEST: u32 = 77;

/// Offset of the first record in a frame.
const FIRST_RECORD: usize = 12;
const FORWARD_CODE: u8 = 72;
const FORWARD_BYTES: usize = 23;

/// Runs the adapter on an input until it ends.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter may have ended at an earlier byte; the closed pipe is then no error of the test.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = clock_ms.to_be_bytes().into_iter().chain(records.concat()).collect();
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

/// `POWER_ON`
fn start(instance: u32, settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    [&[5][..], &instance.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()].concat()
}

/// `DETACH`
fn kill(instance: u32) -> Vec<u8> {
    [&[8][..], &instance.to_be_bytes()].concat()
}

/// `DIRECTORY`, with the upstreams `10.0.0.id:0x2bc0`
fn endpoint_list(number: u32, ids: &[u8]) -> Vec<u8> {
    let mut record = [&[4][..], &number.to_be_bytes(), &(ids.len() as u32).to_be_bytes()].concat();
    for id in ids {
        record.extend([10, 0, 0, *id, 0x2b, 0xc0, 0, 0, 0, 0, 0, 1]);
        record.extend(1f32.to_be_bytes());
        record.extend(0f64.to_be_bytes());
    }
    record
}

/// `FLEET`
fn endpoint_update(instance: u32, scope: u8, list: u32) -> Vec<u8> {
    [&[9][..], &instance.to_be_bytes(), &[scope], &1u32.to_be_bytes(), &list.to_be_bytes()].concat()
}

/// `ASK`, of class 0 and tenant 0 with 1500 ms left
fn request(instance: u32, id: u32) -> Vec<u8> {
    let mut record = [&[11][..], &instance.to_be_bytes(), &id.to_be_bytes(), &[0; 2], &[0; 4]].concat();
    record.extend(0u64.to_be_bytes());
    record.extend(1500f64.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record.push(0);
    record
}

/// Starts [`RUNNING`] with two upstreams.
fn first_batch() -> Vec<u8> {
    batch(100.0, &[start(RUNNING, SETTINGS), endpoint_list(0, &[1, 2]), endpoint_update(RUNNING, 2, 0)])
}

/// The replies in order, without their length fields.
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

/// Asserts that the adapter ends at a batch after the first, with exit code 1, with one line that names the
/// byte and holds a text, and with no part of a reply to that batch.
fn assert_malformed(second_batch: &[u8], byte: usize, text: &str) {
    let output = run_adapter(&[&first_batch()[..], second_batch].concat());

    let line = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}: {line}");
    assert_eq!(line.lines().count(), 1, "{text}: {line}");
    assert!(line.contains(&format!("byte {byte}")), "{text}: no byte {byte} in {line}");
    assert!(line.contains(text), "{text}: {line}");
    assert_eq!(replies(&output).len(), 1, "{text}: no part of a reply");
}

#[test]
fn a_request_is_sent_to_a_listed_upstream() {
    let request_batch = batch(105.0, &[request(RUNNING, REQUEST)]);

    let output = run_adapter(&[batch(90.0, &[]), first_batch(), request_batch].concat());

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert_eq!(replies.len(), 3, "one reply for each batch");
    assert_eq!(replies[0], [0u8; 0]);
    let forward = &replies[2];
    assert_eq!(forward[0], FORWARD_CODE);
    assert_eq!(forward[1..5], RUNNING.to_be_bytes());
    assert_eq!(forward[5..9], REQUEST.to_be_bytes());
    assert_eq!(forward[9..12], [10, 0, 0]);
    assert!([1, 2].contains(&forward[12]), "upstream {}", forward[12]);
    assert_eq!(forward[13..15], [0x2b, 0xc0]);
    assert_eq!(forward.len(), FORWARD_BYTES, "no other action");
}

#[test]
fn a_truncated_frame() {
    let complete = batch(105.0, &[request(RUNNING, REQUEST)]);
    let truncated = &complete[..complete.len() - 5];

    assert_malformed(truncated, truncated.len(), "cut short");
    assert_malformed(&complete[..2], 2, "cut short");
}

#[test]
fn an_impossible_length() {
    assert_malformed(&[0xff, 0xff, 0xff, 0xff, 0, 0], 0, "length");
    assert_malformed(&[0, 0, 0, 3, 0, 0, 0], 0, "length");
}

#[test]
fn a_record_that_stops_short() {
    let mut truncated = request(RUNNING, REQUEST);
    truncated.truncate(20);

    assert_malformed(&batch(105.0, &[truncated]), 27, "needs");
}

#[test]
fn an_unknown_record_code() {
    let valid = request(RUNNING, REQUEST);
    let byte = FIRST_RECORD + valid.len();

    assert_malformed(&batch(105.0, &[valid, vec![99, 0, 0, 0, 3]]), byte, "99");
}

#[test]
fn a_list_number_never_defined() {
    assert_malformed(&batch(105.0, &[endpoint_update(RUNNING, 1, 9)]), FIRST_RECORD, "list");
}

#[test]
fn an_instance_never_started() {
    assert_malformed(&batch(105.0, &[request(NOT_RUNNING, REQUEST)]), FIRST_RECORD, "never started");
}

#[test]
fn settings_that_are_not_json() {
    assert_malformed(&batch(105.0, &[start(NOT_RUNNING, "{\"balancers\": ")]), FIRST_RECORD, "settings");
}

#[test]
fn settings_that_no_balancer_can_run_with() {
    assert_malformed(&batch(105.0, &[start(NOT_RUNNING, "{\"balancers\": 1}")]), FIRST_RECORD, "class");
    let negative = SETTINGS.replace("\"worth\": 1.0", "\"worth\": -1.0");
    assert_malformed(&batch(105.0, &[start(NOT_RUNNING, &negative)]), FIRST_RECORD, "worth");
}

#[test]
fn a_list_longer_than_its_frame_is_rejected_before_memory_is_allocated() {
    let mut huge = endpoint_list(0, &[]);
    huge[5..9].copy_from_slice(&u32::MAX.to_be_bytes());

    assert_malformed(&batch(105.0, &[huge]), 17, "left");
}

#[test]
fn actions_of_a_killed_instance_do_not_reach_its_next_life() {
    let records = [request(RUNNING, REQUEST), kill(RUNNING), start(RUNNING, SETTINGS)];

    let output = run_adapter(&[first_batch(), batch(105.0, &records)].concat());

    assert!(output.status.success());
    assert_eq!(replies(&output)[1], [0u8; 0], "no FORWARD for the request of the killed instance");
}
