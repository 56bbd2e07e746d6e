//! Tests of outlier detection. An upstream that fails, times out or rejects requests is ejected, but only for
//! the affected class if it serves other classes. An ejected upstream returns once it has recovered.

mod common;
use balancer_core::*;
use common::*;
use std::cell::Cell;

/// Returns settings with two identical classes of at-most-once requests.
fn settings_of_two_classes() -> Settings {
    SettingsBuilder::new(RetrySafety::AtMostOnce).class_count(2).build()
}

/// An upstream that fails at once has no requests in flight and looks the least loaded. Without ejection, it
/// would get at least its share of the requests.
#[test]
fn an_upstream_that_resets_every_connection_is_ejected_and_returns_once_it_has_recovered() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let faulty = UpstreamId(2);

    harness.simulate_requests(100, ms(10), |upstream| {
        Some(if upstream == faulty { Outcome::Reset } else { Outcome::Ok })
    });
    let attempts_while_faulty = harness.attempts_sent_to(faulty);
    assert!(attempts_while_faulty <= 4, "the faulty upstream got {attempts_while_faulty} attempts");

    harness.simulate_requests(3000, ms(10), |_| Some(Outcome::Ok));
    let attempts = harness.attempts_sent_to(faulty);
    assert!(attempts > attempts_while_faulty + 50, "the upstream did not return after it had recovered");
}

/// Returns the number of attempts at the least used upstream if three in ten attempts end with this outcome.
fn attempts_at_least_used_upstream_with_occasional(outcome: Outcome) -> usize {
    let settings = SettingsBuilder::new(RetrySafety::AtMostOnce).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let attempts = Cell::new(0);
    harness.simulate_requests(2000, ms(5), |_| {
        attempts.set(attempts.get() + 1);
        Some(if attempts.get() % 10 < 3 { outcome } else { Outcome::Ok })
    });
    (1..=4).map(|id| harness.attempts_sent_to(UpstreamId(id))).min().expect("there are upstreams")
}

/// Occasional connection resets occur in any network. They must not eject one upstream after another.
#[test]
fn occasional_connection_resets_eject_no_upstream() {
    let attempts_with_resets = attempts_at_least_used_upstream_with_occasional(Outcome::Reset);
    let attempts_without_resets = attempts_at_least_used_upstream_with_occasional(Outcome::Ok);

    assert!(
        attempts_with_resets * 10 >= attempts_without_resets * 9,
        "{attempts_with_resets} attempts at the least used upstream, {attempts_without_resets} without resets"
    );
}

/// The upstream accepts connections and never responds.
#[test]
fn an_upstream_that_never_responds_gets_few_requests() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    let unresponsive = UpstreamId(3);

    harness.simulate_requests(400, ms(10), |upstream| (upstream != unresponsive).then_some(Outcome::Ok));

    let attempts = harness.attempts_sent_to(unresponsive);
    assert!(attempts * 8 < 400, "{attempts} of 400 requests went to the unresponsive upstream");
}

/// If all upstreams seem faulty, the cause is probably elsewhere, and no upstream is a better choice.
#[test]
fn requests_are_forwarded_soon_after_all_upstreams_were_ejected() {
    let settings = SettingsBuilder::new(RetrySafety::Idempotent).build();
    let mut harness = BalancerHarness::new(settings, &endpoints(4));
    harness.simulate_requests(40, ms(10), |_| Some(Outcome::Reset));
    harness.advance(ms(1500));
    let forwarded_before = harness.forwarded_requests();

    harness.simulate_requests(20, ms(50), |_| Some(Outcome::Ok));

    assert!(
        harness.forwarded_requests() > forwarded_before,
        "no request was forwarded after all upstreams had been ejected"
    );
}

/// How the affected upstream handles requests of the first class.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FirstClassHandling {
    Served,
    TimesOut,
}

/// Number of attempts of each class at the affected upstream.
#[derive(Default)]
struct AttemptsByClass {
    first_class: usize,
    second_class: usize,
}

/// Sends about `requests_per_class` requests of each of two classes. The affected upstream handles the first
/// class as stated; all other requests are served. Returns the number of attempts at the affected upstream.
fn simulate_two_classes(
    harness: &mut BalancerHarness,
    requests_per_class: u64,
    affected_upstream: UpstreamId,
    first_class_handling: FirstClassHandling,
) -> AttemptsByClass {
    let mut attempts = AttemptsByClass::default();
    for request in 0..2 * requests_per_class {
        let class = (request / 3 % 2) as u16;
        let id = harness.send_request(class, 0, ms(450));
        let Some(upstream) = harness.upstream_of(id, 0) else { continue };
        let is_affected = upstream == affected_upstream;
        if is_affected && class == 0 {
            attempts.first_class += 1;
        } else if is_affected {
            attempts.second_class += 1;
        }
        harness.advance(ms(10));
        if is_affected && class == 0 && first_class_handling == FirstClassHandling::TimesOut {
            harness.advance(ms(440));
            harness.end_attempt(id, 0, Outcome::TimedOut);
        } else {
            harness.end_attempt(id, 0, Outcome::Ok);
        }
        harness.advance(ms(40));
    }
    attempts
}

/// An upstream may serve one class while requests of another class time out there. Only the latter class must
/// go to other upstreams, and it must return some time after the upstream has recovered.
#[test]
fn timeouts_of_one_class_eject_the_upstream_for_that_class_alone() {
    let mut harness = BalancerHarness::new(settings_of_two_classes(), &endpoints(4));
    let affected = UpstreamId(3);
    simulate_two_classes(&mut harness, 50, affected, FirstClassHandling::Served);

    let while_timing_out = simulate_two_classes(&mut harness, 400, affected, FirstClassHandling::TimesOut);
    assert!(
        while_timing_out.first_class <= 20,
        "{} of 400 requests of the first class went to the affected upstream",
        while_timing_out.first_class
    );
    assert!(
        while_timing_out.second_class >= 100,
        "only {} of 400 requests of the second class went to the affected upstream",
        while_timing_out.second_class
    );

    let after_recovery = simulate_two_classes(&mut harness, 600, affected, FirstClassHandling::Served);
    assert!(
        after_recovery.first_class >= 60,
        "only {} of 600 requests of the first class went to the upstream after its recovery",
        after_recovery.first_class
    );
}

/// If many balancers and classes share an upstream that responds to none of them, the requests that show this
/// can themselves keep it overloaded. Two requests of each balancer must be enough to eject the upstream for
/// all classes, rather than two of each class.
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
    assert!(attempts <= 2, "the overloaded upstream got {attempts} requests in one and a half seconds");
}

/// An upstream that rejects a class at once has no requests in flight and looks the least loaded, but it must
/// not attract the class.
#[test]
fn an_upstream_that_rejects_a_class_at_once_does_not_attract_that_class() {
    let mut harness = BalancerHarness::new(settings_of_two_classes(), &endpoints(4));
    let rejecting = UpstreamId(2);

    let mut rejected = 0;
    let mut served_by_rejecting = 0;
    for request in 0..600u64 {
        let class = (request / 3 % 2) as u16;
        let id = harness.send_request(class, 0, ms(900));
        let mut attempt = 0;
        while let Some(upstream) = harness.upstream_of(id, attempt) {
            if upstream == rejecting && class == 0 {
                rejected += 1;
                harness.end_attempt(id, attempt, Outcome::Rejected);
            } else {
                served_by_rejecting += usize::from(upstream == rejecting);
                harness.advance(ms(60));
                harness.end_attempt(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        harness.advance(ms(10));
    }

    assert!(rejected <= 12, "{rejected} requests were sent to an upstream that rejects their class");
    assert!(
        served_by_rejecting >= 60,
        "only {served_by_rejecting} requests of the other class were served by the same upstream"
    );
}
