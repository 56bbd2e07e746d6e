//! Encoding of each kind of action. The bytes are the examples in the description of the wire format, where
//! there are any.

use super::*;
use balancer_core::{AttemptIndex, RejectionReason, TimerId};

const INSTANCE: u32 = 3;
const UPSTREAM: UpstreamId = UpstreamId(0x0a12_4a07_2bc3);

/// Encodes a reply and returns its hexadecimal digits without the length field, whose value is checked here.
fn encoded_digits(actions: &[Action]) -> String {
    let mut reply = Reply::default();
    reply.clear();
    for action in actions {
        reply.push(INSTANCE, action);
    }
    let frame = reply.finish();
    let length = (frame.len() - LENGTH_BYTES) as u32;
    assert_eq!(frame[..LENGTH_BYTES], length.to_be_bytes());
    frame[LENGTH_BYTES..].iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn a_reply_without_actions_has_only_a_length_field() {
    assert_eq!(encoded_digits(&[]), "");
}

#[test]
fn a_sent_attempt_is_encoded_with_its_timeout() {
    let timeout = Some(Duration::from_millis(80));
    let action = Action::SendAttempt { id: RequestId(0x5d3a_91c4), upstream: UPSTREAM, timeout };

    assert_eq!(encoded_digits(&[action]), "48000000035d3a91c40a124a072bc34054000000000000");
}

#[test]
fn a_missing_timeout_is_encoded_as_zero() {
    let action = Action::SendAttempt { id: RequestId(0x5d3a_91c4), upstream: UPSTREAM, timeout: None };

    assert_eq!(encoded_digits(&[action]), "48000000035d3a91c40a124a072bc30000000000000000");
}

#[test]
fn a_cancelled_attempt_is_encoded() {
    let action = Action::CancelAttempt { id: RequestId(0x5d3a_91c4), attempt: AttemptIndex(2) };

    assert_eq!(encoded_digits(&[action]), "4b000000035d3a91c402");
}

#[test]
fn a_rejection_is_encoded_with_its_retry_after() {
    let retry_after = Some(Duration::from_millis(250));
    let action =
        Action::Reject { id: RequestId(0x0e6f_2b19), retry_after, reason: RejectionReason::OverQuota };

    assert_eq!(encoded_digits(&[action]), "41000000030e6f2b19406f400000000000");
}

#[test]
fn a_missing_retry_after_is_encoded_as_zero() {
    let action =
        Action::Reject { id: RequestId(0x0e6f_2b19), retry_after: None, reason: RejectionReason::NoUpstream };

    assert_eq!(encoded_digits(&[action]), "41000000030e6f2b190000000000000000");
}

#[test]
fn a_failed_request_is_encoded() {
    assert_eq!(encoded_digits(&[Action::Fail { id: RequestId(0x0e6f_2b19) }]), "42000000030e6f2b19");
}

#[test]
fn a_timer_is_encoded_with_its_delay() {
    let action = Action::SetTimer { after: Duration::from_millis(500), timer: TimerId(0x4d) };

    assert_eq!(encoded_digits(&[action]), "4400000003407f4000000000000000004d");
}

#[test]
fn a_watch_and_a_fetch_of_endpoints_are_encoded() {
    assert_eq!(encoded_digits(&[Action::WatchEndpoints]), "490000000301");
    assert_eq!(encoded_digits(&[Action::FetchEndpoints]), "4700000003");
}

#[test]
fn a_close_of_idle_connections_is_encoded() {
    assert_eq!(
        encoded_digits(&[Action::CloseIdleConnections { upstream: UPSTREAM }]),
        "4c000000030a124a072bc3"
    );
}

#[test]
fn a_health_check_is_encoded() {
    assert_eq!(encoded_digits(&[Action::CheckHealth { upstream: UPSTREAM }]), "4a000000030a124a072bc3");
}

#[test]
fn a_log_line_is_encoded() {
    let action = Action::Log { line: "two servers known".into() };

    assert_eq!(encoded_digits(&[action]), "4500000003001174776f2073657276657273206b6e6f776e");
}

#[test]
fn a_log_line_too_long_for_its_length_field_is_truncated() {
    let action = Action::Log { line: "x".repeat(70_000) };

    let digits = encoded_digits(&[action]);

    assert_eq!(digits[10..14], *"ffff");
    assert_eq!(digits.len(), 14 + 2 * 65_535);
}

#[test]
fn actions_keep_their_order() {
    let fail = |id| Action::Fail { id: RequestId(id) };

    assert_eq!(encoded_digits(&[fail(2), fail(1)]), "420000000300000002420000000300000001");
}
