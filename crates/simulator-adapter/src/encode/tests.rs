//! Each action in the bytes of the wire format, with the examples of its description where there is one.

use super::*;
use balancer_core::{AttemptIndex, RejectionReason, TimerId};

const INSTANCE: u32 = 3;
const UPSTREAM: UpstreamId = UpstreamId(0x0a12_4a07_2bc3);

/// The hexadecimal digits of a reply without its length field, after a check of that field.
fn encoded(actions: &[Action]) -> String {
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
fn a_reply_without_actions_is_its_length_field() {
    assert_eq!(encoded(&[]), "");
}

#[test]
fn an_attempt_is_sent_with_its_timeout() {
    let timeout = Some(Duration::from_millis(80));
    let action = Action::SendAttempt { id: RequestId(0x5d3a_91c4), upstream: UPSTREAM, timeout };

    assert_eq!(encoded(&[action]), "48000000035d3a91c40a124a072bc34054000000000000");
}

#[test]
fn a_missing_timeout_is_zero() {
    let action = Action::SendAttempt { id: RequestId(0x5d3a_91c4), upstream: UPSTREAM, timeout: None };

    assert_eq!(encoded(&[action]), "48000000035d3a91c40a124a072bc30000000000000000");
}

#[test]
fn an_attempt_is_cancelled() {
    let action = Action::CancelAttempt { id: RequestId(0x5d3a_91c4), attempt: AttemptIndex(2) };

    assert_eq!(encoded(&[action]), "4b000000035d3a91c402");
}

#[test]
fn a_rejection_has_its_retry_after() {
    let retry_after = Some(Duration::from_millis(250));
    let action =
        Action::Reject { id: RequestId(0x0e6f_2b19), retry_after, reason: RejectionReason::OverQuota };

    assert_eq!(encoded(&[action]), "41000000030e6f2b19406f400000000000");
}

#[test]
fn a_rejection_without_advice_has_a_retry_after_of_zero() {
    let action =
        Action::Reject { id: RequestId(0x0e6f_2b19), retry_after: None, reason: RejectionReason::NoUpstream };

    assert_eq!(encoded(&[action]), "41000000030e6f2b190000000000000000");
}

#[test]
fn a_request_fails() {
    assert_eq!(encoded(&[Action::Fail { id: RequestId(0x0e6f_2b19) }]), "42000000030e6f2b19");
}

#[test]
fn a_timer_is_set() {
    let action = Action::SetTimer { after: Duration::from_millis(500), timer: TimerId(0x4d) };

    assert_eq!(encoded(&[action]), "4400000003407f4000000000000000004d");
}

#[test]
fn endpoints_are_watched_and_fetched() {
    assert_eq!(encoded(&[Action::WatchEndpoints]), "490000000301");
    assert_eq!(encoded(&[Action::FetchEndpoints]), "4700000003");
}

#[test]
fn idle_connections_are_closed() {
    assert_eq!(encoded(&[Action::CloseIdleConnections { upstream: UPSTREAM }]), "4c000000030a124a072bc3");
}

#[test]
fn health_is_checked() {
    assert_eq!(encoded(&[Action::CheckHealth { upstream: UPSTREAM }]), "4a000000030a124a072bc3");
}

#[test]
fn a_line_is_logged() {
    let action = Action::Log { line: "two servers known".into() };

    assert_eq!(encoded(&[action]), "4500000003001174776f2073657276657273206b6e6f776e");
}

#[test]
fn a_line_too_long_for_its_field_is_cut() {
    let action = Action::Log { line: "x".repeat(70_000) };

    let digits = encoded(&[action]);

    assert_eq!(digits[10..14], *"ffff");
    assert_eq!(digits.len(), 14 + 2 * 65_535);
}

#[test]
fn actions_keep_their_order() {
    let fail = |id| Action::Fail { id: RequestId(id) };

    assert_eq!(encoded(&[fail(2), fail(1)]), "420000000300000002420000000300000001");
}
