//! Tests of the cancellation of overdue attempts. An attempt is cancelled only if its upstream is
//! unresponsive and its response is not worth waiting for.

mod common;
use balancer_core::*;
use common::*;

/// Returns settings under which no request is hedged.
fn settings_without_hedging() -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).hedging(false)
}

/// Advances by 10 ms and asserts that the first attempt of the request is not cancelled meanwhile. `step` is
/// the number of such advances since the attempt was sent.
fn advance_and_assert_not_cancelled(harness: &mut BalancerHarness, id: RequestId, step: u32) {
    harness.advance(ms(10));
    assert!(!harness.has_cancelled(id, 0), "the attempt was cancelled after {step}0 ms");
}

/// Cancelling an attempt wastes the work done so far, and a retry repeats that work. Without hedging, a slow
/// attempt therefore continues while its upstream serves other requests. It is cancelled in favour of a retry
/// only if the upstream is unresponsive and the attempt is long overdue. Being merely overdue is not enough,
/// because with few requests the upstream may have had no other request to respond to.
#[test]
fn a_slow_attempt_is_cancelled_and_retried_only_if_its_upstream_is_unresponsive() {
    for is_unresponsive in [false, true] {
        let settings = settings_without_hedging().late_priority_weight(0.5).build();
        let mut harness = BalancerHarness::new(settings, &endpoints(2));
        // Enough requests to learn that responses usually arrive at once.
        harness.simulate_requests(800, ms(20), |_| Some(Outcome::Ok));

        let slow_request = harness.send_request(0, 0, ms(1000));
        let Some(&Action::SendAttempt { upstream, timeout: None, .. }) = harness.last_actions.last() else {
            panic!("the request was not sent, or has a timeout of its own: {:?}", harness.last_actions)
        };
        let mut cancelled_after_ms = None;
        for step in 1..=30 {
            harness.advance(ms(10));
            if harness.has_cancelled(slow_request, 0) {
                cancelled_after_ms.get_or_insert(10 * step);
            }
            let other_request = harness.send_request(0, 0, ms(1000));
            if harness
                .upstream_of(other_request, 0)
                .is_some_and(|other_upstream| !is_unresponsive || other_upstream != upstream)
            {
                harness.end_attempt(other_request, 0, Outcome::Ok);
            }
        }

        assert_eq!(cancelled_after_ms.is_some(), is_unresponsive);
        if let Some(elapsed_ms) = cancelled_after_ms {
            assert!(
                (240..=290).contains(&elapsed_ms),
                "cancelled after {elapsed_ms} of 400 ms, too early, or too late for a retry in time"
            );
            harness.end_attempt(slow_request, 0, Outcome::Cancelled);
            assert!(
                harness.upstream_of(slow_request, 1).is_some_and(|retry_upstream| retry_upstream != upstream),
                "the request was not retried at another upstream"
            );
        }
    }
}

/// One of many balancers gets a response from each upstream only now and then. A short time without one does
/// not mean that the upstream is unresponsive.
#[test]
fn an_upstream_with_few_requests_does_not_count_as_unresponsive() {
    let mut harness = BalancerHarness::new(settings_without_hedging().build(), &endpoints(8));
    // Each upstream responds every 0.8 s.
    harness.simulate_requests(200, ms(100), |_| Some(Outcome::Ok));

    let slow_request = harness.send_request(0, 0, ms(1000));
    let upstream = harness.upstream_of(slow_request, 0).expect("the request should be forwarded");
    for step in 1..=60 {
        advance_and_assert_not_cancelled(&mut harness, slow_request, step);
        if step % 10 == 0 {
            let other_request = harness.send_request(0, 0, ms(1000));
            if harness.upstream_of(other_request, 0).is_some_and(|other_upstream| other_upstream != upstream)
            {
                harness.end_attempt(other_request, 0, Outcome::Ok);
            }
        }
    }

    assert_eq!(harness.attempts[&slow_request].len(), 1, "the request was sent more than once");
}

/// A balancer that has just started, perhaps together with all others, has sent hardly any requests to most
/// upstreams. Missing responses do not mean that an upstream is unresponsive.
#[test]
fn an_upstream_that_has_not_responded_yet_does_not_count_as_unresponsive() {
    let mut harness = BalancerHarness::new(settings_without_hedging().build(), &endpoints(8));

    let slow_request = harness.send_request(0, 0, ms(1000));
    for step in 1..=90 {
        advance_and_assert_not_cancelled(&mut harness, slow_request, step);
    }

    assert_eq!(harness.attempts[&slow_request].len(), 1, "the request was sent more than once");
}

/// Most responses take longer than the earliest time of a cancellation, and each upstream gets too few
/// requests to show that it responds. The balancer must still cancel only few attempts, because all of them
/// would be served.
#[test]
fn few_attempts_are_cancelled_if_most_responses_take_long() {
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

    assert!(
        cancelled_attempts <= 30,
        "{cancelled_attempts} attempts of 400 requests were cancelled although all would have been served"
    );
}

/// If every attempt is cancelled, the cancelled attempts are the only sign that responses take long. They
/// must count as slow ones and raise the estimated latency quantile, so that later attempts are cancelled
/// later. Otherwise, attempts that would be served would be cancelled again and again.
#[test]
fn attempts_are_cancelled_later_after_all_earlier_ones_were_cancelled() {
    const EARLIEST_CANCELLATION_MS: u64 = 240;
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
            assert!(waited_ms < 1000, "no attempt was cancelled");
        }
        cancelled_after_ms.push(waited_ms);
        for id in requests {
            harness.deliver(Event::ClientDisconnected { id });
            harness.end_all_attempts(id, Outcome::Cancelled);
        }
    }

    let first_ms = cancelled_after_ms[0];
    let last_ms = cancelled_after_ms[ROUNDS - 1];
    assert!(
        (EARLIEST_CANCELLATION_MS..EARLIEST_CANCELLATION_MS + 50).contains(&first_ms),
        "{cancelled_after_ms:?}"
    );
    assert!(last_ms > first_ms + 50, "the latency quantile did not rise: {cancelled_after_ms:?}");
}

/// Work for a response that no longer has any value serves nobody. At the latency objective, an attempt whose
/// late response has no value is cancelled if its upstream is unresponsive, and continues if the upstream
/// serves other requests. An attempt whose late response still has some value is not cancelled.
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
            let other_request = harness.send_request(0, 0, ms(1000));
            if !is_unresponsive && harness.is_forwarded(other_request) {
                harness.end_attempt(other_request, 0, Outcome::Ok);
            }
        }

        let expected_range_ms = (late_priority_weight == 0.0 && is_unresponsive).then_some(390..430);
        assert_eq!(
            cancelled_after_ms.is_some(),
            expected_range_ms.is_some(),
            "late priority weight {late_priority_weight}, unresponsive: {is_unresponsive}, \
             attempt cancelled after {cancelled_after_ms:?} ms"
        );
        assert!(
            cancelled_after_ms
                .is_none_or(|elapsed_ms| expected_range_ms.is_some_and(|range| range.contains(&elapsed_ms))),
            "the attempt was cancelled after {cancelled_after_ms:?} ms"
        );
        if cancelled_after_ms.is_some() {
            harness.end_attempt(id, 0, Outcome::Cancelled);
            assert_eq!(harness.response(id), Some(FinalResponse::Failed), "the request did not fail at once");
        }
    }
}

/// If the settings forbid cancellation, an attempt whose late response has no value gets a timeout instead.
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
            panic!("the request was not forwarded")
        };
        assert_eq!(*timeout, expected_timeout, "late priority weight {late_priority_weight}");
    }
}

/// If nearly all responses take as long as the latency objective, the response of an attempt becomes useless
/// before the attempt counts as long overdue. At an unresponsive upstream, the attempt must be cancelled as
/// soon as its response is useless.
#[test]
fn an_attempt_whose_response_is_useless_is_cancelled_before_it_is_long_overdue() {
    const OBJECTIVE_MS: u64 = 10_000;
    const RESPONSE_USELESS_AFTER_MS: u64 = 9_800;
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
    harness.advance(ms(RESPONSE_USELESS_AFTER_MS - TICK_MS));
    let mut cancelled_after_ms = None;
    for step in 0..OBJECTIVE_MS / 10 {
        harness.advance(ms(10));
        if unanswered.iter().any(|id| harness.has_cancelled(*id, 0)) {
            cancelled_after_ms.get_or_insert(RESPONSE_USELESS_AFTER_MS - TICK_MS + 10 * (step + 1));
        }
    }

    let cancelled_after_ms = cancelled_after_ms.expect("an attempt should be cancelled");
    assert!(
        (RESPONSE_USELESS_AFTER_MS..=RESPONSE_USELESS_AFTER_MS + 2 * TICK_MS).contains(&cancelled_after_ms),
        "{cancelled_after_ms}"
    );
}

/// Sends a request to this upstream, which does not respond. Once the attempt is overdue, the client
/// disconnects and the attempt is cancelled.
fn abandon_attempt_at(harness: &mut BalancerHarness, upstream: UpstreamId) {
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
    // These successes keep the upstream from being ejected.
    harness.simulate_requests(4, ms(10), |_| Some(Outcome::Ok));
}

/// By the time an upstream returns to the rotation, it has finished the abandoned attempts that it was still
/// executing when it left.
#[test]
fn abandoned_attempts_do_not_count_as_load_when_the_upstream_returns_after_a_while() {
    const OBJECTIVE_MS: u64 = 10_000;
    const RETURNING_UPSTREAM: UpstreamId = UpstreamId(1);
    let class = request_class(OBJECTIVE_MS, 60_000, RetrySafety::AtMostOnce);
    let settings = settings_without_hedging().classes(vec![class]).quotas(&[1000.0]).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(2));
    // Enough requests to learn that responses usually arrive at once.
    harness.simulate_requests(2500, ms(10), |_| Some(Outcome::Ok));
    for _ in 0..3 {
        abandon_attempt_at(&mut harness, RETURNING_UPSTREAM);
    }
    let sent_before = harness.attempts_sent_to(RETURNING_UPSTREAM);
    harness.simulate_requests(20, ms(10), |_| Some(Outcome::Ok));
    assert_eq!(
        harness.attempts_sent_to(RETURNING_UPSTREAM),
        sent_before,
        "the upstream with abandoned attempts does not count as loaded"
    );

    let with_availability =
        |availability| vec![EndpointBuilder::new(RETURNING_UPSTREAM.0).availability(availability).build()];
    harness.update_endpoints(UpdateScope::Delta, &with_availability(Availability::Draining));
    harness.simulate_requests(300, ms(100), |_| Some(Outcome::Ok));
    harness.update_endpoints(UpdateScope::Delta, &with_availability(Availability::Ready));
    let sent_before = harness.attempts_sent_to(RETURNING_UPSTREAM);
    harness.simulate_requests(100, ms(10), |_| Some(Outcome::Ok));

    let sent = harness.attempts_sent_to(RETURNING_UPSTREAM) - sent_before;
    assert!(
        sent > 30,
        "only {sent} of 100 requests went to the returned upstream after three times the latency objective"
    );
}
