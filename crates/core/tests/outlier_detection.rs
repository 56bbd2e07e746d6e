//! Outlier detection: upstreams that fail, time out or reject are ejected, per class where others are served,
//! and return once they have recovered.

mod common;
use balancer_core::*;
use common::*;
use std::cell::Cell;

/// Settings with two alike classes of at-most-once requests.
fn settings_of_two_classes() -> Settings {
    SettingsBuilder::new(RetrySafety::AtMostOnce).class_count(2).build()
}

/// An upstream that fails at once has no requests in flight and looks the least loaded: without ejection it
/// would attract most requests.
#[test]
fn an_upstream_that_resets_every_connection_is_ejected_and_returns_once_it_has_recovered() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let faulty = UpstreamId(2);

    harness.simulate_requests(100, ms(10), |upstream| {
        Some(if upstream == faulty { Outcome::Reset } else { Outcome::Ok })
    });
    let attempts_while_faulty = harness.attempts_sent_to(faulty);
    assert!(attempts_while_faulty <= 4, "{attempts_while_faulty} attempts at the faulty upstream");

    harness.simulate_requests(3000, ms(10), |_| Some(Outcome::Ok));
    let attempts = harness.attempts_sent_to(faulty);
    assert!(attempts > attempts_while_faulty + 50, "it serves again after it has recovered");
}

/// How many attempts the least used upstream gets where three of ten attempts end with this outcome.
fn least_attempts_with_occasional(outcome: Outcome) -> usize {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let attempts = Cell::new(0);
    harness.simulate_requests(2000, ms(5), |_| {
        attempts.set(attempts.get() + 1);
        Some(if attempts.get() % 10 < 3 { outcome } else { Outcome::Ok })
    });
    (1..=4).map(|id| harness.attempts_sent_to(UpstreamId(id))).min().expect("there are upstreams")
}

/// Single connection resets occur in any network and must not eject upstreams one after another.
#[test]
fn occasional_connection_resets_eject_no_upstream() {
    let with_resets = least_attempts_with_occasional(Outcome::Reset);
    let without_resets = least_attempts_with_occasional(Outcome::Ok);

    assert!(
        with_resets * 10 >= without_resets * 9,
        "{with_resets} attempts at the least used upstream, {without_resets} without resets"
    );
}

/// An upstream that accepts connections and never responds.
#[test]
fn an_upstream_that_never_responds_gets_few_requests() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let unresponsive = UpstreamId(3);

    harness.simulate_requests(400, ms(10), |upstream| (upstream != unresponsive).then_some(Outcome::Ok));

    let attempts = harness.attempts_sent_to(unresponsive);
    assert!(attempts * 8 < 400, "{attempts} of 400 went to it");
}

/// When all upstreams seem faulty the cause is probably elsewhere, and there is no better choice.
#[test]
fn requests_are_still_forwarded_when_all_upstreams_are_ejected() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    harness.simulate_requests(40, ms(10), |_| Some(Outcome::Reset));
    harness.advance(ms(1500));
    let forwarded_before = harness.forwarded_requests();

    harness.simulate_requests(20, ms(50), |_| Some(Outcome::Ok));

    assert!(harness.forwarded_requests() > forwarded_before, "some request was forwarded");
}

/// Whether the upstream responds to requests of the first class.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstClass {
    Served,
    TimesOut,
}

/// How many requests of each class went to one upstream.
#[derive(Default)]
struct AttemptsByClass {
    first: usize,
    second: usize,
}

/// Sends requests of two classes, `rounds` of each, to upstreams of which one treats the first class as
/// stated.
fn play_two_classes(
    harness: &mut BalancerHarness,
    rounds: u64,
    affected_upstream: UpstreamId,
    first_class: FirstClass,
) -> AttemptsByClass {
    let mut attempts = AttemptsByClass::default();
    for request in 0..2 * rounds {
        let class = (request / 3 % 2) as u16;
        let id = harness.send_request(class, 0, ms(450));
        let Some(upstream) = harness.upstream_of(id, 0) else { continue };
        let is_affected = upstream == affected_upstream;
        if is_affected && class == 0 {
            attempts.first += 1;
        } else if is_affected {
            attempts.second += 1;
        }
        harness.advance(ms(10));
        if is_affected && class == 0 && first_class == FirstClass::TimesOut {
            harness.advance(ms(440));
            harness.end_attempt(id, 0, Outcome::TimedOut);
        } else {
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        harness.advance(ms(40));
    }
    attempts
}

/// An upstream may serve one class and time out for another. Only the class that times out goes elsewhere,
/// and it returns some time after the upstream has recovered.
#[test]
fn timeouts_of_one_class_eject_the_upstream_for_that_class_alone() {
    let mut harness = BalancerHarness::new(settings_of_two_classes(), &endpoints(4));
    let affected = UpstreamId(3);
    play_two_classes(&mut harness, 50, affected, FirstClass::Served);

    let ejected = play_two_classes(&mut harness, 400, affected, FirstClass::TimesOut);
    assert!(ejected.first <= 20, "{} of 400 went where they time out", ejected.first);
    assert!(ejected.second >= 100, "{} of 400 of the class that is served there", ejected.second);

    let recovered = play_two_classes(&mut harness, 600, affected, FirstClass::Served);
    assert!(recovered.first >= 60, "{} of 600 after it has recovered", recovered.first);
}

/// Where many balancers and classes share an upstream that responds to none of them, the requests that find
/// that out would keep it overloaded: two of each balancer are enough, not two of each class.
#[test]
fn an_overloaded_upstream_is_ejected_for_all_classes_after_two_requests() {
    const OVERLOADED_FROM_REQUEST: u16 = 300;
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).class_count(4).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(8));
    let overloaded = UpstreamId(3);

    let mut pending = PendingRequests::default();
    let mut attempts_before = 0;
    for request in 0..400 {
        if request == OVERLOADED_FROM_REQUEST {
            attempts_before = harness.attempts_sent_to(overloaded);
        }
        let id = harness.send_request(request / 8 % 4, 0, ms(450));
        match harness.upstream_of(id, 0) {
            Some(upstream) if request >= OVERLOADED_FROM_REQUEST && upstream == overloaded => {
                pending.push(id, harness.now + ms(450), Outcome::TimedOut);
            }
            Some(_) => harness.end_attempt(id, 0, Outcome::Ok),
            None => {}
        }
        harness.advance(ms(15));
        pending.end_due(&mut harness);
    }

    let attempts = harness.attempts_sent_to(overloaded) - attempts_before;
    assert!(attempts <= 2, "{attempts} requests were sent to it in one and a half seconds");
}

/// An upstream that rejects a class at once has no requests in flight and looks the least loaded.
#[test]
fn an_upstream_that_rejects_a_class_at_once_does_not_attract_it() {
    let mut harness = BalancerHarness::new(settings_of_two_classes(), &endpoints(4));
    let rejecting = UpstreamId(2);

    let mut rejected = 0;
    let mut served_there = 0;
    for request in 0..600u64 {
        let class = (request / 3 % 2) as u16;
        let id = harness.send_request(class, 0, ms(900));
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            if upstream == rejecting && class == 0 {
                rejected += 1;
                harness.end_attempt(id, attempt, Outcome::Rejected);
            } else {
                served_there += usize::from(upstream == rejecting);
                harness.advance(ms(60));
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        harness.advance(ms(10));
    }

    assert!(rejected <= 12, "{rejected} rejected by an upstream that takes none of the class");
    assert!(served_there >= 60, "{served_there} of the other class served there");
}
