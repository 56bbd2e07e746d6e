//! Failures listed or not: what users would want of a balancer alone.

mod common;
use balancer_core::*;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

fn settings(effect: RetrySafety) -> Settings {
    Settings { classes: vec![class(400, 1000, effect)], ..Settings::default() }
}

fn fleet(n: u64) -> Vec<EndpointEntry> {
    (1..=n).map(listed).collect()
}

#[test]
fn a_second_copy_goes_out_when_the_first_is_overdue() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(3));
    let id = bench.request(0, 0, ms(1000));
    bench.run(ms(300));
    let (first, second) = (bench.at(id, 0).unwrap(), bench.at(id, 1).expect("a second copy"));
    assert_ne!(first, second);
    bench.ended(id, 1, Outcome::Ok);
    assert!(bench.actions.contains(&Action::CancelAttempt { id, attempt: AttemptIndex(0) }));
}

/// Guards a crowded fleet against copies of what it is late with: each of many balancers sees one request late at a time,
/// and all their second copies together would make more of them late.
#[test]
fn no_second_copy_goes_out_while_room_is_missing() {
    let mut set = settings(RetrySafety::Idempotent);
    (set.balancers, set.tenants) = (300, vec![Tenant { quota_per_second: 900.0 }]);
    let mut bench = Bench::new(set, &fleet(6));
    let (mut sent, mut copies) = (0, 0);
    for k in 0..60 {
        let id = bench.request(0, 0, ms(1000));
        bench.run(ms(270));
        let attempts = bench.sent.get(&id).map_or(0, Vec::len);
        (0..attempts).for_each(|k| bench.ended(id, k, Outcome::Ok));
        // Latency shows in the first ones.
        if k >= 20 {
            (sent, copies) = (sent + attempts.min(1), copies + attempts.saturating_sub(1));
        }
    }
    assert!(sent > 10, "{sent} sent");
    assert_eq!(copies, 0, "of {sent} sent");
}

#[test]
fn an_effect_that_must_not_run_twice_gets_no_second_try_once_it_may_have_run() {
    let mut bench = Bench::new(settings(RetrySafety::AtMostOnce), &fleet(3));
    let id = bench.request(0, 0, ms(1000));
    bench.run(ms(600));
    assert_eq!(bench.at(id, 1), None, "no second copy");
    bench.ended(id, 0, Outcome::Reset);
    assert_eq!(bench.at(id, 1), None);
    assert_eq!(
        bench.answers.get(&id),
        Some(&"failed"),
        "a refusal would promise that it is harmless to retry"
    );
    let id = bench.request(0, 0, ms(1000));
    bench.ended(id, 0, Outcome::ConnectFailed);
    assert!(bench.at(id, 1).is_some(), "what never ran may go elsewhere");
}

/// An upstream that fails at once holds nothing and so looks the least loaded: it must be ejected, for a while.
#[test]
fn one_that_fails_at_once_is_ejected_and_comes_back() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(4));
    let bad = UpstreamId(2);
    bench.traffic(100, ms(10), |u| Some(if u == bad { Outcome::Reset } else { Outcome::Ok }));
    let early = bench.attempts_at(bad);
    assert!(early <= 4, "{early} attempts at one that breaks every connection");
    bench.traffic(3000, ms(10), |_| Some(Outcome::Ok));
    assert!(bench.attempts_at(bad) > early + 50, "it serves again after it has recovered");
}

/// Takes connections and never answers.
/// Guards against a fleet emptied by single broken connections, which any network has: as many attempts reach
/// each upstream as without them, while one that breaks them all is left alone, as above.
#[test]
fn a_connection_broken_now_and_then_ejects_nobody() {
    let attempts = |broken: Outcome| {
        let mut bench = Bench::new(settings(RetrySafety::AtMostOnce), &fleet(4));
        let count = std::cell::Cell::new(0);
        bench.traffic(2000, ms(5), |_| {
            count.set(count.get() + 1);
            Some(if count.get() % 10 < 3 { broken } else { Outcome::Ok })
        });
        (1..=4).map(|u| bench.attempts_at(UpstreamId(u))).min()
    };
    let (with, without) = (attempts(Outcome::Reset).unwrap(), attempts(Outcome::Ok).unwrap());
    assert!(with * 10 >= without * 9, "{with} attempts at the least used, {without} where nothing breaks");
}

#[test]
fn one_that_never_answers_is_passed_over() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(4));
    let silent = UpstreamId(3);
    bench.traffic(400, ms(10), |u| (u != silent).then_some(Outcome::Ok));
    let got = bench.attempts_at(silent);
    assert!(got * 8 < 400, "{got} of 400 went to it");
}

/// When all seem ill, the fault is not theirs: with nothing better at hand requests still go out.
#[test]
fn all_ejected_is_no_empty_choice() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(4));
    bench.traffic(40, ms(10), |_| Some(Outcome::Reset));
    bench.run(ms(1500));
    let before = bench.sent.len();
    bench.traffic(20, ms(50), |_| Some(Outcome::Ok));
    assert!(bench.sent.len() > before, "something was tried");
}

/// Failures everywhere must not multiply the load: further attempts stay within the retry budget.
#[test]
fn no_retry_storm() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(20));
    bench.traffic(500, ms(10), |_| Some(Outcome::Error));
    let (requests, attempts) = (bench.sent.len(), bench.sent.values().map(Vec::len).sum::<usize>());
    let most = requests + requests / 10 + 11;
    assert!(attempts <= most, "{attempts} attempts for {requests} requests");
}

/// Guards a crowded fleet against what many balancers have saved up and spend together: what one that sees little may add
/// is a share of what it sees.
#[test]
fn what_many_balancers_save_up_is_a_share_of_the_load() {
    let mut set = settings(RetrySafety::Idempotent);
    (set.balancers, set.tenants) = (300, vec![Tenant { quota_per_second: 4800.0 }]);
    let mut bench = Bench::new(set, &fleet(12));
    bench.traffic(600, ms(62), |_| Some(Outcome::Ok));
    bench.sent.clear();
    bench.traffic(16, ms(62), |_| Some(Outcome::Error));
    let further = bench.sent.values().map(|sent| sent.len() - 1).sum::<usize>();
    assert!(further <= 4, "{further} further attempts for 16 requests in a second");
}

#[test]
fn nothing_new_goes_to_one_that_drains_or_is_gone() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(3));
    bench.traffic(20, ms(5), |_| Some(Outcome::Ok));
    let (mut drains, before) =
        (listed(1), [bench.attempts_at(UpstreamId(1)), bench.attempts_at(UpstreamId(2))]);
    drains.availability = Availability::Draining;
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Delta, entries: &[drains] });
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &[listed(1), listed(3)] });
    let mut drains = listed(1);
    drains.availability = Availability::Draining;
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Delta, entries: &[drains] });
    bench.traffic(60, ms(30), |_| Some(Outcome::Ok));
    assert_eq!(before, [bench.attempts_at(UpstreamId(1)), bench.attempts_at(UpstreamId(2))]);
    assert!(bench.attempts_at(UpstreamId(3)) > 20);
}

/// Guards against work done twice for one answer where no second copy may run beside the first: an attempt that
/// takes long is left where others are answered meanwhile, and called back from an upstream gone silent; not at
/// once when it is overdue, as where little is sent nothing else may have been there to be answered.
#[test]
fn only_an_upstream_gone_silent_has_its_attempt_called_back() {
    for silent in [false, true] {
        let mut set = settings(RetrySafety::Idempotent);
        (set.hedging, set.classes[0].late_priority_weight) = (false, 0.5);
        let mut bench = Bench::new(set, &fleet(2));
        // Long enough to learn that answers usually come at once.
        bench.traffic(800, ms(20), |_| Some(Outcome::Ok));
        let long = bench.request(0, 0, ms(1000));
        let Some(&Action::SendAttempt { upstream, timeout: None, .. }) = bench.actions.last() else {
            panic!("sent with no time-out of its own: {:?}", bench.actions)
        };
        let mut called_back = None;
        for k in 1..=30 {
            bench.run(ms(10));
            if bench.actions.contains(&Action::CancelAttempt { id: long, attempt: AttemptIndex(0) }) {
                called_back.get_or_insert(10 * k);
            }
            let other = bench.request(0, 0, ms(1000));
            if bench.at(other, 0).is_some_and(|u| !silent || u != upstream) {
                bench.ended(other, 0, Outcome::Ok);
            }
        }
        assert_eq!(called_back.is_some(), silent);
        if let Some(at) = called_back {
            assert!((240..=290).contains(&at), "at {at} of 400 ms, when another may still be in time");
            bench.ended(long, 0, Outcome::Cancelled);
            assert!(bench.at(long, 1).is_some_and(|u| u != upstream), "it goes elsewhere");
        }
    }
}

/// Lets the `step`th 10 ms go on, in which a request's first attempt is not called back.
fn run_uncancelled(bench: &mut Bench, id: RequestId, step: u32) {
    bench.run(ms(10));
    let called_back = Action::CancelAttempt { id, attempt: AttemptIndex(0) };
    assert!(!bench.actions.contains(&called_back), "after {step}0 ms");
}

/// Guards a fleet of many balancers, each of which has an answer from an upstream only now and then, against calling
/// back what is merely slow: the work goes on, and is done again elsewhere. No answer for a moment is no silence there.
#[test]
fn an_upstream_that_is_seldom_asked_is_not_silent() {
    let mut set = settings(RetrySafety::Idempotent);
    set.hedging = false;
    let mut bench = Bench::new(set, &fleet(8));
    // An answer from each every 0.8 s.
    bench.traffic(200, ms(100), |_| Some(Outcome::Ok));
    let slow = bench.request(0, 0, ms(1000));
    let upstream = bench.at(slow, 0).expect("sent");
    for k in 1..=60 {
        run_uncancelled(&mut bench, slow, k);
        if k % 10 == 0 {
            let other = bench.request(0, 0, ms(1000));
            if bench.at(other, 0).is_some_and(|u| u != upstream) {
                bench.ended(other, 0, Outcome::Ok);
            }
        }
    }
    assert_eq!(bench.sent[&slow].len(), 1, "the work is asked for once");
}

/// Guards a process that has just started, as all may at once, against taking upstreams for silent from which it has
/// asked next to nothing yet.
#[test]
fn an_upstream_that_was_not_heard_of_yet_is_not_silent() {
    let mut set = settings(RetrySafety::Idempotent);
    set.hedging = false;
    let mut bench = Bench::new(set, &fleet(8));
    let slow = bench.request(0, 0, ms(1000));
    for k in 1..=90 {
        run_uncancelled(&mut bench, slow, k);
    }
    assert_eq!(bench.sent[&slow].len(), 1, "the work is asked for once");
}

/// Guards against a fleet made slower by calling back what would have been answered: where most answers take longer
/// than the earliest moment for that, and an upstream is asked too seldom to show that it lives, what was given up
/// counts as longer than usual too, so that few are.
#[test]
fn what_was_called_back_counts_as_longer_than_usual() {
    let mut set = settings(RetrySafety::Idempotent);
    set.hedging = false;
    let mut bench = Bench::new(set, &fleet(8));
    let mut called_back = 0;
    for _ in 0..400 {
        let id = bench.request(0, 0, ms(1000));
        let mut attempt = 0;
        while bench.at(id, attempt).is_some() {
            let cancel = Action::CancelAttempt { id, attempt: AttemptIndex(attempt as u8) };
            let cancelled = (0..30).any(|_| {
                bench.run(ms(10));
                bench.actions.contains(&cancel)
            });
            called_back += usize::from(cancelled);
            bench.ended(id, attempt, if cancelled { Outcome::Cancelled } else { Outcome::Ok });
            attempt += 1;
        }
    }
    assert!(called_back <= 30, "{called_back} of 400 would have been answered");
}

/// Guards against a circle: who has little to go by admits little, so that cold upstreams earn few turns and little is
/// answered. What the settings say of the load stands for what is not seen.
#[test]
fn cold_upstreams_earn_turns_though_nothing_was_answered_for_long() {
    let mut set = settings(RetrySafety::AtMostOnce);
    (set.slow_start_floor, set.slow_start_duration, set.tenants) =
        (0.2, ms(60_000), vec![Tenant { quota_per_second: 20.0 }]);
    (set.load_reporting, set.load_report_fields) = (LoadReporting::Inline, vec![LoadField::Utilization]);
    let mut bench = Bench::new(set, &fleet(8));
    let started = Some(bench.now);
    let restarted: Vec<_> = (1..=8).map(|id| EndpointEntry { started_at: started, ..listed(id) }).collect();
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Delta, entries: &restarted });
    for _ in 0..40 {
        let id = bench.request(0, 0, ms(450));
        bench.run(ms(450));
        if let Some(upstream) = bench.at(id, 0) {
            bench.ended(id, 0, Outcome::TimedOut);
            let (outcome, latency, report) = (Outcome::Ok, ms(1), &[0.5][..]);
            bench.tell(Event::HealthCheckEnded { upstream, outcome, latency, load_report: report });
        }
    }
    // A third of what is stated: a fifth of the fleet's strength, grown to a half meanwhile, can do that.
    let before = bench.sent.len();
    bench.traffic(40, ms(150), |_| Some(Outcome::Ok));
    let sent = bench.sent.len() - before;
    assert!(sent >= 36, "{sent} of 40 sent once all is well");
}

/// An empty fleet: a refusal, at once, and service again as soon as there is one.
#[test]
fn none_ready_is_refused_and_a_newcomer_serves() {
    let mut bench = Bench::new(settings(RetrySafety::AtMostOnce), &[]);
    let id = bench.request(0, 0, ms(1000));
    assert_eq!(bench.answers.get(&id), Some(&"refused"));
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &fleet(1) });
    bench.run(ms(3000));
    bench.traffic(100, ms(100), |_| Some(Outcome::Ok));
    assert!(bench.attempts_at(UpstreamId(1)) > 0);
}

/// The list service is down: calls repeat with growing waits, the list held stays in use.
#[test]
fn a_failing_list_service_is_asked_ever_more_seldom_and_the_old_list_stays() {
    let settings = Settings { poll_endpoints: true, ..settings(RetrySafety::Idempotent) };
    let mut bench = Bench::new(settings, &fleet(2));
    for _ in 0..6000 {
        let calls = bench.list_calls.len();
        bench.run(ms(10));
        if bench.list_calls.len() > calls {
            bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] });
        }
    }
    let calls = bench.list_calls.len();
    assert!((5..=30).contains(&calls), "{calls} calls in a minute");
    let id = bench.request(0, 0, ms(1000));
    assert!(bench.at(id, 0).is_some());
}

/// Guards against a change that counts as told before it has come, 6 s after discovery had it and could be reached: however
/// often it was called in vain before, and however seldom the settings have it asked, calls are never so far apart
/// that one which fails late, the wait after it and the next one together take that long.
#[test]
fn a_list_service_that_is_back_is_asked_in_time() {
    for poll_interval in [2_000, 10_000, 60_000] {
        let poll_interval = ms(poll_interval);
        let settings = Settings { poll_endpoints: true, poll_interval, ..settings(RetrySafety::Idempotent) };
        let mut bench = Bench::new(settings, &fleet(2));
        let mut begun = bench.now;
        for k in 0..40 {
            while bench.list_calls.len() == k {
                bench.run(ms(10));
                assert!(
                    bench.now - begun < ms(5_700),
                    "call {k} after {poll_interval:?}: {:?}",
                    bench.now - begun
                );
            }
            // Half of them fail at once, half after a head with no word behind it.
            begun = bench.now;
            bench.run(ms(if k % 2 == 0 { 2_500 } else { 1 }));
            bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, entries: &[] });
        }
    }
}

/// Load reports full of nonsense neither panic nor poison what is known.
#[test]
fn bad_reports_are_passed_over() {
    let mut s = settings(RetrySafety::Idempotent);
    s.load_reporting = LoadReporting::Inline;
    s.load_report_fields = vec![LoadField::Utilization, LoadField::Queue];
    let mut bench = Bench::new(s, &fleet(2));
    for bad in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -3.0, 1e30] {
        let (upstream, outcome, latency, report) = (UpstreamId(1), Outcome::Ok, ms(1), &[bad, bad][..]);
        bench.tell(Event::HealthCheckEnded { upstream, outcome, latency, load_report: report });
    }
    let mut odd = [listed(1), listed(2)];
    (odd[0].weight, odd[1].weight) = (f64::NAN, f64::INFINITY);
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &odd });
    bench.run(ms(10_000));
    bench.traffic(200, ms(30), |_| Some(Outcome::Ok));
    let served = bench.answers.values().filter(|a| **a == "served").count();
    assert!(served > 180, "{served} of 200 served");
    assert!(bench.attempts_at(UpstreamId(1)) > 20 && bench.attempts_at(UpstreamId(2)) > 20);
}

/// Events for what is not known are passed over.
#[test]
fn strangers_are_passed_over() {
    let mut bench = Bench::new(settings(RetrySafety::Idempotent), &fleet(2));
    let (id, attempt, upstream, latency) = (RequestId(99), AttemptIndex(3), UpstreamId(42), ms(1));
    let (outcome, report) = (Outcome::Ok, &[][..]);
    for event in [
        Event::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            request_finished: false,
            load_report: report,
        },
        Event::HealthCheckEnded { upstream, outcome, latency, load_report: report },
        Event::StreamStarted { id, attempt, latency },
        Event::ClientDisconnected { id },
        Event::TimerFired { timer: TimerId(12345) },
    ] {
        bench.tell(event);
        assert!(bench.actions.is_empty(), "{:?}", bench.actions);
    }
}

/// Silent for one class, well for the other: the class goes elsewhere, the other stays, and in time it is tried again.
#[test]
fn silence_for_one_class_moves_that_class_alone() {
    let mut set = settings(RetrySafety::AtMostOnce);
    set.classes.push(class(400, 1000, RetrySafety::AtMostOnce));
    let mut bench = Bench::new(set, &fleet(4));
    let silent = UpstreamId(3);
    let mut sent = [0; 2];
    let mut round = |bench: &mut Bench, rounds: u64, ill: bool| {
        let before = sent;
        for k in 0..2 * rounds {
            let class = (k / 3 % 2) as u16;
            let id = bench.request(class, 0, ms(450));
            let Some(upstream) = bench.at(id, 0) else { continue };
            sent[usize::from(class)] += usize::from(upstream == silent);
            bench.run(ms(10));
            if upstream == silent && class == 0 && ill {
                bench.run(ms(440));
                bench.ended(id, 0, Outcome::TimedOut);
            } else {
                bench.ended(id, 0, Outcome::Ok);
            }
            bench.run(ms(40));
        }
        [sent[0] - before[0], sent[1] - before[1]]
    };
    round(&mut bench, 50, false);
    let [ill, well] = round(&mut bench, 400, true);
    assert!(ill <= 20, "{ill} of 400 went where they get no answer");
    assert!(well >= 100, "{well} of 400 of the class that is served there");
    let [back, _] = round(&mut bench, 600, false);
    assert!(back >= 60, "{back} of 600 after it has recovered");
}

/// Guards a jam against being kept up by the search for it: where many balancers and classes share an upstream that
/// says nothing to any of them, two requests of each balancer find that out, not two of each class.
#[test]
fn a_jammed_upstream_is_left_alone_by_all_classes_at_once() {
    let mut set = settings(RetrySafety::AtMostOnce);
    set.classes = vec![class(400, 1000, RetrySafety::AtMostOnce); 4];
    let mut bench = Bench::new(set, &fleet(8));
    let (jammed, mut out, mut before) = (UpstreamId(3), VecDeque::new(), 0);
    for k in 0..400 {
        if k == 300 {
            before = bench.attempts_at(jammed);
        }
        let id = bench.request(k / 8 % 4, 0, ms(450));
        match bench.at(id, 0) {
            Some(upstream) if k >= 300 && upstream == jammed => out.push_back((bench.now + ms(450), id)),
            Some(_) => bench.ended(id, 0, Outcome::Ok),
            None => {}
        }
        bench.run(ms(15));
        while let Some((_, id)) = out.front().copied().filter(|(until, _)| *until <= bench.now) {
            out.pop_front();
            bench.ended(id, 0, Outcome::TimedOut);
        }
    }
    let met = bench.attempts_at(jammed) - before;
    assert!(met <= 2, "it met {met} requests in one and a half seconds");
}

/// Something drops idle connections unseen: silence meets sends after a pause only. Before the next such send the
/// connections are closed; sends soon after another need no new one.
#[test]
fn idle_connections_that_go_silent_are_closed_before_use() {
    let mut bench = Bench::new(settings(RetrySafety::AtMostOnce), &fleet(2));
    let mut closed: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let mut used: BTreeMap<UpstreamId, Duration> = BTreeMap::new();
    let (mut lost, mut late_lost) = (0, 0);
    for k in 0..300u64 {
        let id = bench.request(0, 0, ms(600));
        let Some(upstream) = bench.at(id, 0) else { continue };
        if bench.actions.contains(&Action::CloseIdleConnections { upstream }) {
            closed.insert(upstream, bench.now);
        }
        let idle = used.get(&upstream).map_or(ms(0), |at| bench.now - *at);
        let dead = idle > ms(900) && closed.get(&upstream) != Some(&bench.now);
        bench.run(ms(if dead { 600 } else { 20 }));
        bench.ended(id, 0, if dead { Outcome::TimedOut } else { Outcome::Ok });
        used.insert(upstream, bench.now);
        (lost, late_lost) = (lost + u32::from(dead), late_lost + u32::from(dead && k > 150));
        bench.run(ms(if k % 6 == 0 { 2500 } else { 60 }));
    }
    assert!(lost > 0 && !closed.is_empty(), "the trouble was met and answered");
    assert!(late_lost <= 12, "{late_lost} of the last 50 after a pause still lost, {lost} in all");
}

/// One that turns a class away at once holds nothing and so looks the emptiest: it must not draw the class.
#[test]
fn one_that_turns_a_class_away_at_once_does_not_draw_it() {
    let mut set = settings(RetrySafety::AtMostOnce);
    set.classes.push(class(400, 1000, RetrySafety::AtMostOnce));
    let mut bench = Bench::new(set, &fleet(4));
    let (closed, mut turned, mut served) = (UpstreamId(2), 0, 0);
    for k in 0..600u64 {
        let class = (k / 3 % 2) as u16;
        let id = bench.request(class, 0, ms(900));
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            if upstream == closed && class == 0 {
                turned += 1;
                bench.ended(id, attempt, Outcome::Rejected);
            } else {
                served += usize::from(upstream == closed);
                bench.run(ms(60));
                bench.ended(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        bench.run(ms(10));
    }
    assert!(turned <= 12, "turned away {turned} times by one that takes none of the class");
    assert!(served >= 60, "{served} of the other class served there");
}

/// One balancer alone: an old report says nothing of others, as there are none. A stale crowd must not turn it away.
#[test]
fn alone_it_goes_by_its_own_requests_not_by_old_reports() {
    let mut set = settings(RetrySafety::Idempotent);
    (set.load_reporting, set.load_report_fields) = (LoadReporting::Inline, vec![LoadField::InFlight]);
    set.tenants = vec![Tenant { quota_per_second: 1000.0 }];
    let mut bench = Bench::new(set, &fleet(3));
    for k in 0..300 {
        let id = bench.request(0, 0, ms(1000));
        assert!(bench.at(id, 0).is_some(), "room for one");
        bench.run(ms(5));
        bench.ended(id, 0, Outcome::Ok);
        let (upstream, outcome, latency) = (UpstreamId(1), Outcome::Ok, ms(1));
        let report = [if k % 2 == 0 { 9.0 } else { 0.0 }];
        bench.tell(Event::HealthCheckEnded { upstream, outcome, latency, load_report: &report });
    }
    let got = bench.attempts_at(UpstreamId(1));
    assert!((85..=115).contains(&got), "{got} of 300 at the one with old reports");
}

/// Guards against work done for nobody: an attempt whose answer is worth nothing any longer is still waited for
/// where its upstream answers others, and called back at its aim from a silent one. What still earns then stays.
#[test]
fn an_attempt_at_a_silent_upstream_ends_with_its_worth() {
    for (late_priority_weight, silent) in [(0.0, true), (0.0, false), (0.5, true)] {
        let mut set = settings(RetrySafety::AtMostOnce);
        set.classes[0].late_priority_weight = late_priority_weight;
        let mut bench = Bench::new(set, &fleet(1));
        let id = bench.request(0, 0, ms(1000));
        let (mut ends, called_back) = (None, Action::CancelAttempt { id, attempt: AttemptIndex(0) });
        for k in 0..90 {
            bench.run(ms(10));
            if bench.actions.contains(&called_back) {
                ends.get_or_insert(10 * k);
            }
            let other = bench.request(0, 0, ms(1000));
            if !silent && bench.at(other, 0).is_some() {
                bench.ended(other, 0, Outcome::Ok);
            }
        }
        let expected = (late_priority_weight == 0.0 && silent).then_some(390..430);
        assert_eq!(
            ends.is_some(),
            expected.is_some(),
            "late worth {late_priority_weight}, silent: {silent}, at {ends:?}"
        );
        assert!(ends.is_none_or(|at| expected.is_some_and(|e| e.contains(&at))), "at {ends:?}");
        if ends.is_some() {
            bench.ended(id, 0, Outcome::Cancelled);
            assert_eq!(bench.answers.get(&id), Some(&"failed"), "at once");
        }
    }
}

/// Where nothing may be called back, an attempt's own time-out ends it with its worth.
#[test]
fn an_attempt_that_cannot_be_called_back_ends_with_its_worth() {
    for (late_priority_weight, ends) in [(0.0, Some(ms(392))), (0.5, None)] {
        let mut set = settings(RetrySafety::AtMostOnce);
        (set.classes[0].late_priority_weight, set.cancellation) = (late_priority_weight, false);
        let mut bench = Bench::new(set, &fleet(2));
        bench.request(0, 0, ms(1000));
        let Some(Action::SendAttempt { timeout, .. }) = bench.actions.last() else { panic!("not sent") };
        assert_eq!(*timeout, ends, "late worth {late_priority_weight}");
    }
}
