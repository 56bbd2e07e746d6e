//! Cancelling overdue attempts: only where the upstream has become unresponsive, and where the response is
//! not worth waiting for.

mod common;
use balancer_core::*;
use common::*;

/// Settings under which no request is hedged.
fn settings_without_hedging() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).hedging(false)
}

/// Advances by 10 ms, in which the first attempt of the request must not be cancelled.
fn advance_without_cancelling(harness: &mut BalancerHarness, id: RequestId, step: u32) {
    harness.advance(ms(10));
    assert!(!harness.has_cancelled(id, 0), "cancelled after {step}0 ms");
}

/// Cancelling an attempt wastes the work done so far, and the retry does it again. Without hedging a slow
/// attempt is left alone while its upstream serves other requests, and cancelled once the upstream has become
/// unresponsive. That takes longer than being overdue: with few requests there may have been nothing else to
/// respond to.
#[test]
fn a_slow_attempt_is_cancelled_and_retried_only_where_its_upstream_is_unresponsive() {
    for is_unresponsive in [false, true] {
        let settings = settings_without_hedging().late_priority_weight(0.5).build();
        let mut harness = BalancerHarness::new(settings, &endpoints(2));
        // Long enough to learn that responses usually come at once.
        harness.simulate_requests(800, ms(20), |_| Some(Outcome::Ok));

        let slow = harness.send_request(0, 0, ms(1000));
        let Some(&Action::SendAttempt { upstream, timeout: None, .. }) = harness.last_actions.last() else {
            panic!("not sent without a timeout of its own: {:?}", harness.last_actions)
        };
        let mut cancelled_after_ms = None;
        for step in 1..=30 {
            harness.advance(ms(10));
            if harness.has_cancelled(slow, 0) {
                cancelled_after_ms.get_or_insert(10 * step);
            }
            let other = harness.send_request(0, 0, ms(1000));
            if harness.upstream_of(other, 0).is_some_and(|used| !is_unresponsive || used != upstream) {
                harness.end_attempt(other, 0, Outcome::Ok);
            }
        }

        assert_eq!(cancelled_after_ms.is_some(), is_unresponsive);
        if let Some(elapsed_ms) = cancelled_after_ms {
            assert!(
                (240..=290).contains(&elapsed_ms),
                "after {elapsed_ms} of 400 ms, when a retry may still be in time"
            );
            harness.end_attempt(slow, 0, Outcome::Cancelled);
            assert!(
                harness.upstream_of(slow, 1).is_some_and(|used| used != upstream),
                "it is retried elsewhere"
            );
        }
    }
}

/// One of many balancers sees a response of each upstream only now and then: a short time without one does
/// not mean that the upstream is unresponsive.
#[test]
fn an_upstream_with_few_requests_is_not_taken_for_unresponsive() {
    let mut harness = BalancerHarness::new(settings_without_hedging().build(), &endpoints(8));
    // A response of each upstream every 0.8 s.
    harness.simulate_requests(200, ms(100), |_| Some(Outcome::Ok));

    let slow = harness.send_request(0, 0, ms(1000));
    let upstream = harness.upstream_of(slow, 0).expect("the request is forwarded");
    for step in 1..=60 {
        advance_without_cancelling(&mut harness, slow, step);
        if step % 10 == 0 {
            let other = harness.send_request(0, 0, ms(1000));
            if harness.upstream_of(other, 0).is_some_and(|used| used != upstream) {
                harness.end_attempt(other, 0, Outcome::Ok);
            }
        }
    }

    assert_eq!(harness.attempts[&slow].len(), 1, "the request is executed once");
}

/// A balancer that has just started, perhaps with all others, has sent next to nothing to most upstreams yet.
#[test]
fn an_upstream_without_any_response_yet_is_not_taken_for_unresponsive() {
    let mut harness = BalancerHarness::new(settings_without_hedging().build(), &endpoints(8));

    let slow = harness.send_request(0, 0, ms(1000));
    for step in 1..=90 {
        advance_without_cancelling(&mut harness, slow, step);
    }

    assert_eq!(harness.attempts[&slow].len(), 1, "the request is executed once");
}

/// Where most responses take longer than the earliest time for a cancellation, and an upstream gets too few
/// requests to show that it responds, cancelled attempts count as slow ones. Otherwise nearly all attempts
/// would be cancelled though they would have been served.
#[test]
fn cancelled_attempts_raise_the_typical_latency_so_that_few_are_cancelled() {
    let mut harness = BalancerHarness::new(settings_without_hedging().build(), &endpoints(8));

    let mut cancelled_attempts = 0;
    for _ in 0..400 {
        let id = harness.send_request(0, 0, ms(1000));
        let mut attempt = 0;
        while harness.upstream_of(id, attempt).is_some() {
            let is_cancelled = (0..30).any(|_| {
                harness.advance(ms(10));
                harness.has_cancelled(id, attempt)
            });
            cancelled_attempts += usize::from(is_cancelled);
            harness.end_attempt(id, attempt, if is_cancelled { Outcome::Cancelled } else { Outcome::Ok });
            attempt += 1;
        }
    }

    assert!(cancelled_attempts <= 30, "{cancelled_attempts} of 400 cancelled, all would have been served");
}

/// The same where all attempts are cancelled, so that nothing else tells that they take long.
#[test]
fn attempts_are_cancelled_later_where_none_but_cancelled_ones_were_seen() {
    const EARLIEST_MS: u64 = 240;
    const ROUNDS: usize = 3;
    let settings = settings_without_hedging().quotas(&[1000.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(1));

    let mut cancelled_after_ms = Vec::new();
    for _ in 0..ROUNDS {
        let requests: Vec<RequestId> = (0..4).map(|_| harness.send_request(0, 0, ms(1000))).collect();
        let mut waited_ms = 0;
        while !requests.iter().any(|id| harness.has_cancelled(*id, 0)) {
            harness.advance(ms(5));
            waited_ms += 5;
            assert!(waited_ms < 1000, "one is cancelled");
        }
        cancelled_after_ms.push(waited_ms);
        for id in requests {
            harness.deliver(Event::ClientDisconnected { id });
            harness.end_all_attempts(id, Outcome::Cancelled);
        }
    }

    let first = cancelled_after_ms[0];
    let last = cancelled_after_ms[ROUNDS - 1];
    assert!((EARLIEST_MS..EARLIEST_MS + 50).contains(&first), "{cancelled_after_ms:?}");
    assert!(last > first + 50, "the typical latency has risen: {cancelled_after_ms:?}");
}

/// Work for a response that is worth nothing any more serves nobody. Such an attempt is cancelled at the
/// latency objective if its upstream is unresponsive, and waited for if the upstream serves others. An
/// attempt whose late response still earns something is not cancelled.
#[test]
fn an_attempt_at_an_unresponsive_upstream_is_cancelled_once_its_response_is_worth_nothing() {
    for (late_priority_weight, is_unresponsive) in [(0.0, true), (0.0, false), (0.5, true)] {
        let settings =
            SettingsBuilder::new(RetrySafety::AtMostOnce).late_priority_weight(late_priority_weight).build();
        let mut harness = BalancerHarness::new(settings, &endpoints(1));

        let id = harness.send_request(0, 0, ms(1000));
        let mut cancelled_after_ms = None;
        for step in 0..90 {
            harness.advance(ms(10));
            if harness.has_cancelled(id, 0) {
                cancelled_after_ms.get_or_insert(10 * step);
            }
            let other = harness.send_request(0, 0, ms(1000));
            if !is_unresponsive && harness.is_forwarded(other) {
                harness.end_attempt(other, 0, Outcome::Ok);
            }
        }

        let expected = (late_priority_weight == 0.0 && is_unresponsive).then_some(390..430);
        assert_eq!(
            cancelled_after_ms.is_some(),
            expected.is_some(),
            "late priority weight {late_priority_weight}, unresponsive: {is_unresponsive}, \
             cancelled after {cancelled_after_ms:?} ms"
        );
        assert!(
            cancelled_after_ms.is_none_or(|elapsed_ms| expected.is_some_and(|e| e.contains(&elapsed_ms))),
            "cancelled after {cancelled_after_ms:?} ms"
        );
        if cancelled_after_ms.is_some() {
            harness.end_attempt(id, 0, Outcome::Cancelled);
            assert_eq!(harness.response(id), Some(FinalResponse::Failed), "at once");
        }
    }
}

/// Where attempts may not be cancelled, the timeout of an attempt takes the place of a cancellation.
#[test]
fn without_cancellation_an_attempt_times_out_once_its_response_is_worth_nothing() {
    for (late_priority_weight, expected_timeout) in [(0.0, Some(ms(392))), (0.5, None)] {
        let settings = SettingsBuilder::new(RetrySafety::AtMostOnce)
            .late_priority_weight(late_priority_weight)
            .cancellation(false)
            .build();
        let mut harness = BalancerHarness::new(settings, &endpoints(2));

        harness.send_request(0, 0, ms(1000));

        let Some(Action::SendAttempt { timeout, .. }) = harness.last_actions.last() else {
            panic!("the request is not forwarded")
        };
        assert_eq!(*timeout, expected_timeout, "late priority weight {late_priority_weight}");
    }
}

/// Where nearly all responses take as long as the latency objective, an attempt stops being of use before it
/// counts as long overdue.
#[test]
fn an_attempt_at_an_unresponsive_upstream_is_cancelled_as_soon_as_its_response_is_of_no_use() {
    const OBJECTIVE_MS: u64 = 10_000;
    const USELESS_AFTER_MS: u64 = 9_800;
    const TICK_MS: u64 = 25;
    let class = request_class(OBJECTIVE_MS, 60_000, RetrySafety::AtMostOnce);
    let settings = settings_without_hedging().classes(vec![class]).quotas(&[100.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(1));
    for _ in 0..40 {
        let id = harness.send_request(0, 0, ms(60_000));
        harness.advance(ms(OBJECTIVE_MS + 1_000));
        harness.end_all_attempts(id, Outcome::Ok);
    }

    let unanswered: Vec<RequestId> = (0..4).map(|_| harness.send_request(0, 0, ms(60_000))).collect();
    assert!(unanswered.iter().all(|id| harness.is_forwarded(*id)));
    harness.advance(ms(USELESS_AFTER_MS - TICK_MS));
    let mut cancelled_after_ms = None;
    for step in 0..OBJECTIVE_MS / 10 {
        harness.advance(ms(10));
        if unanswered.iter().any(|id| harness.has_cancelled(*id, 0)) {
            cancelled_after_ms.get_or_insert(USELESS_AFTER_MS - TICK_MS + 10 * (step + 1));
        }
    }

    let cancelled_after_ms = cancelled_after_ms.expect("they are cancelled");
    assert!(
        (USELESS_AFTER_MS..=USELESS_AFTER_MS + 2 * TICK_MS).contains(&cancelled_after_ms),
        "{cancelled_after_ms}"
    );
}

/// Leaves a request at this upstream without a response until its attempt is overdue, and its client then.
fn abandon_an_attempt_at(harness: &mut BalancerHarness, upstream: UpstreamId) {
    let id = loop {
        let id = harness.send_request(0, 0, ms(60_000));
        if harness.upstream_of(id, 0) == Some(upstream) {
            break id;
        }
        harness.end_attempt(id, 0, Outcome::Ok);
    };
    harness.advance(ms(200));
    harness.deliver(Event::ClientDisconnected { id });
    harness.end_attempt(id, 0, Outcome::Cancelled);
    // A success in between, so that it is not ejected.
    harness.simulate_requests(4, ms(10), |_| Some(Outcome::Ok));
}

/// What an upstream was still executing when it left the rotation is done by the time it comes back.
#[test]
fn an_upstream_that_comes_back_after_a_while_is_not_loaded_by_what_was_abandoned_before() {
    const OBJECTIVE_MS: u64 = 10_000;
    const RETURNING: UpstreamId = UpstreamId(1);
    let class = request_class(OBJECTIVE_MS, 60_000, RetrySafety::AtMostOnce);
    let settings = settings_without_hedging().classes(vec![class]).quotas(&[1000.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    // Long enough to learn that responses usually come at once.
    harness.simulate_requests(2500, ms(10), |_| Some(Outcome::Ok));
    for _ in 0..3 {
        abandon_an_attempt_at(&mut harness, RETURNING);
    }
    let sent_before = harness.attempts_sent_to(RETURNING);
    harness.simulate_requests(20, ms(10), |_| Some(Outcome::Ok));
    assert_eq!(harness.attempts_sent_to(RETURNING), sent_before, "it counts as loaded");

    let with_availability =
        |availability| vec![EndpointBuilder::new(RETURNING.0).availability(availability).build()];
    harness.update_endpoints(UpdateScope::Delta, &with_availability(Availability::Draining));
    harness.simulate_requests(300, ms(100), |_| Some(Outcome::Ok));
    harness.update_endpoints(UpdateScope::Delta, &with_availability(Availability::Ready));
    let sent_before = harness.attempts_sent_to(RETURNING);
    harness.simulate_requests(100, ms(10), |_| Some(Outcome::Ok));

    let sent = harness.attempts_sent_to(RETURNING) - sent_before;
    assert!(sent > 30, "{sent} of 100 after three times the latency objective");
}
