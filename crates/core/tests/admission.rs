//! Buckets, grants and refusals.

mod common;
use balancer_core::*;
use common::*;
use std::collections::VecDeque;
use std::time::Duration;

fn settings(balancers: u32, allowances: &[f64]) -> Settings {
    Settings {
        balancers,
        classes: vec![class(400, 1000, RetrySafety::Idempotent)],
        tenants: allowances.iter().map(|a| Tenant { quota_per_second: *a }).collect(),
        ..Settings::default()
    }
}

fn fleet(n: u64) -> Vec<EndpointEntry> {
    (1..=n).map(listed).collect()
}

/// A thousand balancers, each with a fraction of a request's room: none may starve its tenants for good.
#[test]
fn a_balancer_that_sees_little_admits_what_its_tenants_send() {
    let mut bench = Bench::new(settings(1000, &[600.0, 500.0, 400.0]), &fleet(60));
    bench.run(ms(100));
    let mut refused = 0;
    for k in 0..60 {
        let id = bench.request(0, k % 3, ms(1000));
        bench.run(ms(50));
        if bench.at(id, 0).is_some() {
            bench.ended(id, 0, Outcome::Ok);
        }
        refused += usize::from(bench.answers.get(&id) == Some(&"refused"));
        bench.run(ms(450));
    }
    assert_eq!(refused, 0, "two requests a second against room for all");
}

/// Every tenant over its share: each still gets about its guarantee, the rest is refused on arrival.
#[test]
fn a_surging_tenant_does_not_take_another_ones_guarantee() {
    let mut bench = Bench::new(settings(1, &[20.0, 20.0]), &fleet(2));
    bench.run(ms(100));
    let (mut inside, mut out, mut open) = (0, 0, Vec::new());
    for step in 0..400 {
        // Nothing of the surge is answered in time: there is no room at all but the guarantee.
        for _ in 0..4 {
            let id = bench.request(0, 0, ms(1000));
            open.extend(bench.at(id, 0).map(|_| (bench.now, id)));
        }
        while open.first().is_some_and(|(at, _)| bench.now >= *at + ms(1000)) {
            let id = open.remove(0).1;
            (0..bench.sent[&id].len()).for_each(|k| bench.ended(id, k, Outcome::TimedOut));
        }
        if step % 10 == 0 {
            let id = bench.request(0, 1, ms(1000));
            inside += usize::from(bench.at(id, 0).is_some());
            out += 1;
            if bench.at(id, 0).is_some() {
                bench.ended(id, 0, Outcome::Ok);
            }
        }
        bench.run(ms(10));
    }
    assert!(inside * 10 >= out * 9, "{inside} of {out} inside the share were admitted");
}

#[test]
fn an_unknown_class_is_failed_and_an_unknown_tenant_served() {
    let mut bench = Bench::new(settings(1, &[20.0]), &fleet(2));
    let id = bench.request(9, 0, ms(1000));
    assert_eq!(bench.answers.get(&id), Some(&"failed"));
    let id = bench.request(0, 77, ms(1000));
    assert!(bench.at(id, 0).is_some());
}

#[test]
fn settings_that_permit_no_decision_name_the_figure() {
    let ok = || settings(1, &[1.0]);
    let error = |s: Settings| Balancer::new(s, 1).err().map(|e| e.to_string());
    assert_eq!(error(ok()), None);
    assert_eq!(Balancer::new(Settings::default(), 1).err(), Some(SettingsError::NoClasses));
    assert_eq!(Balancer::new(Settings { balancers: 0, ..ok() }, 1).err(), Some(SettingsError::NoBalancers));
    for (s, name) in [
        (Settings { max_attempts: 0, ..ok() }, "max_attempts"),
        (Settings { slow_start_floor: f64::NAN, ..ok() }, "slow_start_floor"),
        (Settings { overload_factor: f64::INFINITY, ..ok() }, "overload_factor"),
        (Settings { over_quota_weight: -1.0, ..ok() }, "over_quota_weight"),
        (settings(1, &[f64::NAN]), "quota_per_second"),
        (Settings { classes: vec![class(0, 5, RetrySafety::Idempotent)], ..ok() }, "class latency_objective"),
    ] {
        let text = error(s).expect(name);
        assert!(text.contains(name), "{text} names {name}");
    }
}

/// A new bucket starts full: the guarantee of the longest aim, a second at most, passes at once, before anything
/// is granted. More, saved up while all was well, would be admitted into a fleet that has just lost its room.
#[test]
fn a_new_bucket_starts_full() {
    for (aim, tokens) in [(400, 11), (1000, 23), (3000, 23)] {
        let mut set = settings(1, &[20.0]);
        set.classes.push(class(aim, 5000, RetrySafety::AtMostOnce));
        let mut bench = Bench::new(set, &fleet(4));
        let sent = (0..40)
            .filter(|_| {
                let id = bench.request(0, 0, ms(1000));
                bench.at(id, 0).is_some()
            })
            .count();
        assert_eq!(sent, tokens, "aim {aim}");
    }
}

/// A balancer without settings has nothing to decide by: it fails what it is given and lives.
#[test]
fn a_default_balancer_does_not_panic() {
    let mut bench = Bench::new(settings(1, &[20.0]), &fleet(1));
    bench.balancer = Balancer::default();
    bench.run(ms(200));
    let id = bench.request(0, 0, ms(1000));
    assert_eq!(bench.answers.get(&id), Some(&"failed"));
}

/// Everything is stuck: nothing is answered in time, so there is no room, and guarantees give way too.
#[test]
fn a_total_jam_cuts_the_guarantee() {
    let mut bench = Bench::new(settings(1, &[100.0]), &fleet(4));
    bench.traffic(200, ms(10), |_| Some(Outcome::Ok));
    let (mut open, mut sent) = (Vec::new(), 0);
    for step in 0..600 {
        let id = bench.request(0, 0, ms(1000));
        if bench.at(id, 0).is_some() {
            open.push((bench.now, id));
            sent += usize::from(step >= 200);
        }
        bench.run(ms(10));
        while open.first().is_some_and(|(at, _)| bench.now >= *at + ms(1000)) {
            let id = open.remove(0).1;
            for k in 0..bench.sent[&id].len() {
                bench.ended(id, k, Outcome::TimedOut);
            }
        }
    }
    assert!(sent < 200, "{sent} of 400 sent into the jam");
    assert!(sent > 0, "some go on, to see whether it has passed");
}

/// Guards a fleet of many balancers against what each has saved up: each admits little, and all saved tokens together
/// would keep the upstreams jammed for seconds. Nobody is over their share here.
#[test]
fn saved_tokens_go_when_room_is_gone_for_all() {
    let mut bench = Bench::new(settings(1, &[3.0; 9]), &fleet(4));
    let (mut open, mut late) = (Vec::new(), 0);
    for step in 0..240 {
        let id = bench.request(0, step % 9, ms(1000));
        let jam = step >= 200;
        if bench.at(id, 0).is_some() {
            late += usize::from(jam);
            open.push((bench.now + ms(if jam { 1000 } else { 60 }), id, jam));
        }
        bench.run(ms(50));
        while let Some(k) = open.iter().position(|(at, ..)| *at <= bench.now) {
            let (_, id, jam) = open.remove(k);
            let outcome = if jam { Outcome::TimedOut } else { Outcome::Ok };
            (0..bench.sent[&id].len()).for_each(|k| bench.ended(id, k, outcome));
        }
    }
    assert!(late <= 20, "{late} of 40 sent in the two seconds in which nothing comes back");
}

/// Guards against refusals while the fleet has room: at cores busy to seven tenths and answers that come well
/// within their aim, demand over the guarantees is admitted; at cores busy throughout it is not.
#[test]
fn demand_over_the_guarantees_is_admitted_until_the_cores_are_busy() {
    let admitted = |utilization: f32| {
        let mut set = settings(1, &[20.0]);
        (set.load_reporting, set.load_report_fields) = (LoadReporting::Inline, vec![LoadField::Utilization]);
        let mut bench = Bench::new(set, &fleet(4));
        let (mut open, mut admitted) = (Vec::new(), 0);
        for step in 0..10_000 {
            let id = bench.request(0, 0, ms(1000));
            if let Some(upstream) = bench.at(id, 0) {
                admitted += usize::from(step >= 9000);
                open.push((bench.now, id));
                let (outcome, latency, report) = (Outcome::Ok, ms(1), &[utilization][..]);
                bench.tell(Event::HealthCheckEnded { upstream, outcome, latency, load_report: report });
            }
            bench.run(ms(2));
            while open.first().is_some_and(|(at, _)| bench.now >= *at + ms(60)) {
                let id = open.remove(0).1;
                (0..bench.sent[&id].len()).for_each(|k| bench.ended(id, k, Outcome::Ok));
            }
        }
        admitted
    };
    let (some, all) = (admitted(0.72), admitted(0.99));
    assert!(some > 600, "{some} of 1000 at seven tenths");
    assert!(all < 450, "{all} of 1000 where no core is free");
}

/// Guards a fleet whose balancers restart under load: a new one takes the first reports for what they say and does not
/// climb from nothing, as to it all cores would seem free meanwhile.
#[test]
fn a_new_balancer_believes_its_first_reports() {
    let mut set = settings(1, &[20.0]);
    (set.load_reporting, set.load_report_fields) = (LoadReporting::Inline, vec![LoadField::Utilization]);
    let mut bench = Bench::new(set, &fleet(4));
    let (mut open, mut admitted) = (Vec::new(), 0);
    for step in 0..4000 {
        let id = bench.request(0, 0, ms(1000));
        if let Some(upstream) = bench.at(id, 0) {
            admitted += usize::from(step >= 500);
            open.push((bench.now, id));
            // Few answers carry one here.
            if step % 40 == 0 {
                let (outcome, latency, report) = (Outcome::Ok, ms(1), &[1.0][..]);
                bench.tell(Event::HealthCheckEnded { upstream, outcome, latency, load_report: report });
            }
        }
        bench.run(ms(2));
        while open.first().is_some_and(|(at, _)| bench.now >= *at + ms(60)) {
            let id = open.remove(0).1;
            (0..bench.sent[&id].len()).for_each(|k| bench.ended(id, k, Outcome::Ok));
        }
    }
    assert!(admitted < 1000, "{admitted} admitted in seven seconds beyond the first, of 140 guaranteed");
}

/// Guards the queues of upstreams against balancers that learn of a loss only when they are full: each of many sees little,
/// so that what it averages twice, or over dozens of reports, tells it seconds later. Where most of what the fleet can do
/// goes in a moment, little more than the rest is admitted in the next seconds.
#[test]
fn a_loss_of_what_upstreams_can_do_is_followed_at_once() {
    const BALANCERS: u32 = 40;
    const LOSS: Duration = Duration::from_secs(8);
    const END: Duration = Duration::from_secs(12);
    const GAP: Duration = Duration::from_micros(1250);
    const WORK: Duration = Duration::from_micros(500);
    const WORK_AFTER: Duration = Duration::from_millis(5);
    const TIMED_OUT: Duration = Duration::from_millis(600);
    let set = |index| Settings {
        index,
        load_reporting: LoadReporting::Inline,
        load_report_fields: vec![LoadField::Utilization],
        over_quota_weight: 0.05,
        hedging: false,
        ..settings(BALANCERS, &[400.0, 400.0])
    };
    let mut all: Vec<_> = (0..BALANCERS).map(|k| Bench::new(set(k), &fleet(8))).collect();
    let (mut open, mut admitted) = (VecDeque::new(), 0);
    // One queue in front of all upstreams.
    let (mut now, mut served_until) = (Duration::ZERO, Duration::ZERO);
    for k in (0..BALANCERS as usize).cycle() {
        if now >= END {
            break;
        }
        let lost = now >= LOSS;
        let work = if lost { WORK_AFTER } else { WORK };
        let bench = &mut all[k];
        bench.run(now - bench.now);
        let id = bench.request(0, (k % 2) as u32, ms(1000));
        if bench.at(id, 0).is_some() {
            admitted += u32::from(now >= LOSS + ms(500));
            served_until = served_until.max(now) + work;
            open.push_back((now + TIMED_OUT, served_until + ms(60), k, id));
        }
        now += GAP;
        while let Some((timed_out, done, k, id)) = open.front().copied() {
            if now < done.min(timed_out) {
                break;
            }
            open.pop_front();
            let outcome = if done <= timed_out { Outcome::Ok } else { Outcome::TimedOut };
            let bench = &mut all[k];
            bench.run(now - bench.now);
            let told = [if lost { 1.0 } else { 0.45 }];
            let report = if outcome == Outcome::Ok { &told[..] } else { &[] };
            bench.ended_with(id, 0, outcome, report);
        }
    }
    let able = (END - LOSS - ms(500)).div_duration_f64(WORK_AFTER);
    let admitted = f64::from(admitted);
    assert!(admitted < able, "{admitted} admitted, {able} can be served");
    assert!(admitted > 0.4 * able, "{admitted} admitted, {able} can be served");
}
