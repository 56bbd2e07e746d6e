//! Decoding of each kind of record. The bytes are the examples in the description of the wire format, where
//! there are any.

use super::*;
use balancer_core::UpstreamId;
use std::time::Duration;

const INSTANCE: u32 = 3;
/// Offset of the first record in a frame, after the length field and the clock.
const FIRST_RECORD_OFFSET: usize = 12;
const UPSTREAM: UpstreamId = UpstreamId(0x0a12_4a07_2bc3);

/// Returns a frame with the clock at 15600 ms and with the given records, which are written in hexadecimal
/// digits. Whitespace between digits is skipped.
fn frame(records: &str) -> Vec<u8> {
    let digits: String = records.split_whitespace().collect();
    let records: Vec<u8> = (0..digits.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).expect("the test states hexadecimal digits"))
        .collect();
    let length = (8 + records.len()) as u32;
    [&length.to_be_bytes()[..], &15600f64.to_be_bytes(), &records].concat()
}

fn decoded_bodies(records: &str) -> Vec<RecordBody> {
    let batch = decode_batch(&frame(records)).expect("the batch is valid");
    batch.records.into_iter().map(|record| record.body).collect()
}

fn decoded_event(record: &str) -> BalancerEvent {
    let mut bodies = decoded_bodies(record);
    match (bodies.pop(), bodies.is_empty()) {
        (Some(RecordBody::BalancerEvent { instance: INSTANCE, event }), true) => event,
        other => panic!("not one event for the instance: {other:?}"),
    }
}

fn decode_error(records: &str) -> String {
    decode_batch(&frame(records)).expect_err("the batch is malformed").to_string()
}

#[test]
fn an_empty_batch_is_decoded_with_its_clock() {
    let bytes = [0, 0, 0, 8, 0x40, 0xc0, 0x6e, 0x20, 0, 0, 0, 0];

    let batch = decode_batch(&bytes).expect("the batch is valid");

    assert_eq!(
        batch,
        Batch { clock: Duration::from_millis(8412) + Duration::from_micros(250), records: vec![] }
    );
}

#[test]
fn each_record_has_its_offset_in_the_frame() {
    let batch =
        decode_batch(&frame("06 00000003 0000004d 08 00000003 08 00000004")).expect("the batch is valid");

    let offsets: Vec<usize> = batch.records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [FIRST_RECORD_OFFSET, FIRST_RECORD_OFFSET + 9, FIRST_RECORD_OFFSET + 14]);
}

#[test]
fn a_start_is_decoded_with_its_seed_and_settings() {
    let bodies = decoded_bodies("05 00000003 000000000000002a 00000002 7b7d");

    assert_eq!(bodies, [RecordBody::Start { instance: INSTANCE, seed: 42, settings: "{}".into() }]);
}

#[test]
fn a_kill_is_decoded() {
    assert_eq!(decoded_bodies("08 00000003"), [RecordBody::Kill { instance: INSTANCE }]);
}

#[test]
fn the_content_of_a_peer_message_is_skipped() {
    let bodies = decoded_bodies("01 00000003 0002 0004 68692037 08 00000003");

    let expected = [RecordBody::PeerMessage { instance: INSTANCE }, RecordBody::Kill { instance: INSTANCE }];
    assert_eq!(bodies, expected);
}

#[test]
fn an_endpoint_list_is_decoded_with_its_entries() {
    let bodies = decoded_bodies(
        "04 00000000 00000002
         0a124a07 2bc3 00 0000 0000 01 3f800000 0000000000000000
         0a9011f2 2bec 01 0002 0003 02 3fc00000 40b7d40000000000",
    );

    let first = EndpointEntry {
        id: UPSTREAM,
        zone: ZoneId(0),
        hardware: HardwareId(0),
        cell: CellId(0),
        availability: Availability::Ready,
        weight: 1.0,
        process_start: ProcessStart::Unknown,
    };
    let second = EndpointEntry {
        id: UpstreamId(0x0a90_11f2_2bec),
        zone: ZoneId(1),
        hardware: HardwareId(2),
        cell: CellId(3),
        availability: Availability::Draining,
        weight: 1.5,
        process_start: ProcessStart::At(Duration::from_millis(6100)),
    };
    assert_eq!(bodies, [RecordBody::EndpointList { number: 0, entries: vec![first, second] }]);
}

#[test]
fn an_endpoint_update_is_decoded_with_its_scope_and_list_number() {
    for (code, scope) in [
        ("00", UpdateScope::Failed),
        ("01", UpdateScope::Snapshot),
        ("02", UpdateScope::Cached),
        ("03", UpdateScope::Delta),
    ] {
        let event = decoded_event(&format!("09 00000003 {code} 00000029 00000007"));

        assert_eq!(event, BalancerEvent::EndpointUpdate { scope, list: 7 });
    }
}

#[test]
fn a_request_is_decoded_with_its_work_hint_and_flags() {
    for (flags, expected_work_ms, is_client_retry) in
        [("01", Some(12.0), false), ("02", None, true), ("03", Some(12.0), true), ("04", None, false)]
    {
        let event = decoded_event(&format!(
            "0b 00000003 5d3a91c4 0001 00000002 91f03b7c55d20a64 406e000000000000 4028000000000000 {flags}"
        ));

        let expected = BalancerEvent::RequestArrived {
            id: RequestId(0x5d3a_91c4),
            class: ClassId(1),
            tenant: TenantId(2),
            time_left: Duration::from_millis(240),
            expected_work_ms,
            is_client_retry,
        };
        assert_eq!(event, expected, "flags {flags}");
    }
}

#[test]
fn a_work_hint_that_is_not_positive_and_finite_counts_as_absent() {
    for (name, hint) in
        [("zero", "0000000000000000"), ("infinite", "7ff0000000000000"), ("not a number", "7ff8000000000000")]
    {
        let event = decoded_event(&format!(
            "0b 00000003 5d3a91c4 0001 00000002 91f03b7c55d20a64 406e000000000000 {hint} 01"
        ));

        assert!(
            matches!(event, BalancerEvent::RequestArrived { expected_work_ms: None, .. }),
            "{name}: {event:?}"
        );
    }
}

#[test]
fn a_stream_start_is_decoded() {
    let event = decoded_event("03 00000003 5d3a91c4 0a124a07 2bc3 01 4022800000000000");

    let id = RequestId(0x5d3a_91c4);
    let latency = Duration::from_micros(9250);
    assert_eq!(event, BalancerEvent::StreamStarted { id, attempt: AttemptIndex(1), latency });
}

#[test]
fn an_ended_attempt_is_decoded_with_its_load_report() {
    let event =
        decoded_event("0a 00000003 5d3a91c4 01 0a124a07 2bc3 0064 4032800000000000 01 02 3f1eb852 3f000000");

    let expected = BalancerEvent::AttemptEnded {
        id: RequestId(0x5d3a_91c4),
        attempt: AttemptIndex(1),
        request_finished: true,
        result: UpstreamResult {
            upstream: UPSTREAM,
            outcome: Outcome::Ok,
            latency: Duration::from_micros(18500),
            load_report: vec![0.62, 0.5],
        },
    };
    assert_eq!(event, expected);
}

#[test]
fn an_ended_health_check_is_decoded_with_its_load_report() {
    let event = decoded_event("07 00000003 0a124a07 2bc3 3ff8000000000000 0130 01 3f000000");

    let result = UpstreamResult {
        upstream: UPSTREAM,
        outcome: Outcome::ConnectFailed,
        latency: Duration::from_micros(1500),
        load_report: vec![0.5],
    };
    assert_eq!(event, BalancerEvent::HealthCheckEnded { result });
}

#[test]
fn each_outcome_code_is_decoded() {
    for (code, outcome) in [
        (100u16, Outcome::Ok),
        (301, Outcome::Error),
        (302, Outcome::Rejected),
        (303, Outcome::TimedOut),
        (304, Outcome::ConnectFailed),
        (305, Outcome::Reset),
        (306, Outcome::Cancelled),
        (307, Outcome::NotSent),
    ] {
        let event = decoded_event(&format!("07 00000003 0a124a07 2bc3 0000000000000000 {code:04x} 00"));

        assert!(
            matches!(event, BalancerEvent::HealthCheckEnded { result } if result.outcome == outcome),
            "{code}"
        );
    }
}

#[test]
fn a_client_disconnect_is_decoded() {
    let event = decoded_event("02 00000003 0e6f2b19");

    assert_eq!(event, BalancerEvent::ClientDisconnected { id: RequestId(0x0e6f_2b19) });
}

#[test]
fn a_fired_timer_is_decoded() {
    assert_eq!(decoded_event("06 00000003 0000004d"), BalancerEvent::TimerFired { timer: TimerId(0x4d) });
}

#[test]
fn unknown_codes_and_list_numbers_out_of_range_are_reported_with_their_offsets() {
    for (records, message) in [
        ("63", "byte 12: unknown event code 99"),
        ("00", "byte 12: unknown event code 0"),
        ("09 00000003 04 00000029 00000000", "byte 17: unknown scope 4"),
        ("07 00000003 0a124a07 2bc3 0000000000000000 012c 00", "byte 31: unknown outcome 300"),
        (
            "04 00000000 00000001 0a124a07 2bc3 00 0000 0000 03 3f800000 0000000000000000",
            "byte 32: unknown availability 3",
        ),
        ("04 00000010 00000000", "byte 13: list number 16 is over 15"),
    ] {
        assert_eq!(decode_error(records), message);
    }
}

#[test]
fn truncated_content_is_reported_with_its_offset() {
    for (records, message) in [
        ("06 0000", "byte 13: instance needs 4 bytes, 2 are left"),
        ("04 00000000 00000002", "byte 17: number of entries is 2, but only 0 bytes are left"),
        (
            "05 00000003 000000000000002a 00000003 7b7d",
            "byte 25: settings' length is 3, but only 2 bytes are left",
        ),
        ("01 00000003 0002 0004 6869", "byte 21: message needs 4 bytes, 2 are left"),
    ] {
        assert_eq!(decode_error(records), message);
    }
}

#[test]
fn settings_that_are_not_utf8_are_rejected() {
    let error = decode_error("05 00000003 000000000000002a 00000001 ff");

    assert_eq!(error, "byte 29: settings: invalid utf-8 sequence of 1 bytes from index 0");
}

#[test]
fn a_length_field_that_differs_from_the_frame_is_rejected() {
    let mut bytes = frame("");
    bytes[3] = 9;

    let error = decode_batch(&bytes).expect_err("the length is wrong");

    assert_eq!(error.to_string(), "byte 0: length is 9, but 8 bytes follow");
}
