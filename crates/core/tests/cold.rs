//! Cold upstreams under the sum of all balancers: what they are sent in any window stays within what the settings
//! allow and chance explains.

mod common;
use balancer_core::*;
use common::*;
use std::collections::BTreeMap;
use std::time::Duration;

const OLD: u64 = 10;
const NEW: UpstreamId = UpstreamId(99);
const BOOT: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(12);
/// Load of the fleet in its shares of what it can do.
const LOAD: f64 = 0.7;

/// How the balancers fare once the newcomer is there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// One in ten of them starts anew every second.
    Restart,
    /// The same, while half of the others have gone and those that stay are slow: it is the quickest by far.
    Crowd,
    /// Clients say nothing for some seconds and come back all at once.
    Pause,
    /// Every answer of the newcomer to the first class fails.
    Fail,
    /// As before.
    Fare,
}

/// Whether upstreams report how much of their cores is in use, and what a newcomer can do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    /// No reports; it can do what is stated.
    Unreported,
    /// Reports; it can do this multiple of what is stated, up to a warm one's work.
    Reported(f64),
}

/// What each upstream reports: the share of its capacity that was asked of it, over one period after another.
#[derive(Default)]
struct Reporters {
    asked: BTreeMap<UpstreamId, u32>,
    told: BTreeMap<UpstreamId, f32>,
    until: Duration,
}

impl Reporters {
    const PERIOD: Duration = Duration::from_millis(1000);

    fn ask(&mut self, upstream: UpstreamId) {
        *self.asked.entry(upstream).or_default() += 1;
    }

    /// Ends the period when it is over; `capacity`: requests a second that one can do.
    fn go_on(&mut self, now: Duration, capacity: impl Fn(UpstreamId) -> f64) {
        if now >= self.until {
            self.until = now + Self::PERIOD;
            for (upstream, asked) in std::mem::take(&mut self.asked) {
                let most = capacity(upstream) * Self::PERIOD.as_secs_f64();
                self.told.insert(upstream, (f64::from(asked) / most).min(1.0) as f32);
            }
        }
    }

    fn report(&self, upstream: UpstreamId) -> [f32; 1] {
        [self.told.get(&upstream).copied().unwrap_or(0.0)]
    }
}

/// What a warm upstream can do a second.
fn full(balancers: u32, each: f64) -> f64 {
    each * f64::from(balancers) / LOAD / OLD as f64
}

/// The share of a warm one's work that the settings state for the newcomer.
fn stated_share(set: &Settings, now: Duration) -> f64 {
    let climb = (now.saturating_sub(BOOT).as_secs_f64() / set.slow_start_duration.as_secs_f64()).min(1.0);
    set.slow_start_floor + (1.0 - set.slow_start_floor) * climb
}

fn settings(balancers: u32, index: u32, each: f64, load: Load) -> Settings {
    let reported = load != Load::Unreported;
    Settings {
        load_reporting: if reported { LoadReporting::Inline } else { LoadReporting::Off },
        load_report_fields: vec![LoadField::Utilization],
        balancers,
        index,
        classes: vec![class(400, 1000, RetrySafety::AtMostOnce); 2],
        tenants: vec![Tenant { quota_per_second: each * f64::from(balancers) }],
        slow_start_floor: 0.15,
        slow_start_duration: ms(12_000),
        overload_factor: 2.0,
        overload_duration: ms(2000),
        ..Settings::default()
    }
}

/// What the newcomer is sent by `balancers` that get `each` requests a second.
fn sent_to_newcomer(balancers: u32, each: f64, then: Then, load: Load) -> Vec<Duration> {
    let newcomer = EndpointEntry { started_at: Some(BOOT), ..listed(NEW.0) };
    let before: Vec<_> = (1..=OLD).map(listed).collect();
    let gone = if then == Then::Crowd { OLD as usize / 2 } else { 0 };
    let after: Vec<_> = before[gone..].iter().cloned().chain([newcomer]).collect();
    let start = |k: u32, seed: u64, known: &[EndpointEntry], now: Duration| {
        let mut bench = Bench::new(settings(balancers, k, each, load), &[]);
        (bench.balancer, bench.now) = (Balancer::new(settings(balancers, k, each, load), seed).unwrap(), now);
        bench.timers.clear();
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, entries: known });
        bench
    };
    let mut all: Vec<_> = (0..balancers).map(|k| start(k, u64::from(k), &before, ms(0))).collect();
    let (mut told, mut restarts, mut sent) = (false, 0, Vec::new());
    let mut open: Vec<(usize, RequestId, Duration)> = Vec::new();
    let gap = Duration::from_secs_f64(1.0 / (each * f64::from(balancers)));
    let set = settings(balancers, 0, each, load);
    let (mut now, mut n, mut reporters) = (ms(0), 0usize, Reporters::default());
    while now < END {
        (now, n) = (now + gap, n + 1);
        reporters.go_on(now, |upstream| match load {
            Load::Reported(multiple) if upstream == NEW => {
                full(balancers, each) * (multiple * stated_share(&set, now)).min(1.0)
            }
            _ => full(balancers, each),
        });
        if now >= BOOT && !std::mem::replace(&mut told, true) {
            for b in &mut all {
                b.run(now.saturating_sub(b.now));
                b.tell(Event::EndpointUpdate { scope: UpdateScope::Snapshot, entries: &after });
            }
        }
        while [Then::Restart, Then::Crowd].contains(&then) && now >= BOOT + restarts * ms(1000) {
            for k in (restarts % 10..balancers).step_by(10) {
                all[k as usize] = start(k, u64::from(k + 1000 * (restarts + 1)), &after, now);
                open.retain(|o| o.0 != k as usize);
            }
            restarts += 1;
        }
        while let Some(i) = open.iter().position(|o| o.2 <= now) {
            let (k, id, _) = open.swap_remove(i);
            let b = &mut all[k];
            b.run(now.saturating_sub(b.now));
            let Some(upstream) = b.at(id, 0) else { continue };
            let fails = then == Then::Fail && upstream == NEW && id.0 % 2 == 0;
            let outcome = if fails { Outcome::Error } else { Outcome::Ok };
            let report = if load == Load::Unreported { &[][..] } else { &reporters.report(upstream) };
            b.ended_with(id, 0, outcome, report);
        }
        let quiet = then == Then::Pause && now > BOOT + ms(500) && now < BOOT + ms(5500);
        let k = n * 7919 % all.len();
        let b = &mut all[k];
        b.run(now.saturating_sub(b.now));
        if !quiet {
            let id = b.request((n % 2) as u16, 0, ms(600));
            if let Some(upstream) = b.at(id, 0) {
                let crowded = told && then == Then::Crowd && upstream != NEW;
                reporters.ask(upstream);
                open.push((k, id, now + ms(if crowded { 250 } else { 30 })));
                sent.extend((upstream == NEW).then_some(now));
            }
        }
    }
    sent
}

/// Guards cold upstreams against the sum of what each balancer thinks is little: with many of them, after a silence in
/// which all have saved turns up, while they start anew, and where it is tried again and again.
#[test]
fn a_cold_upstream_holds_under_the_sum_of_all_balancers() {
    for (balancers, each) in [(20, 14.0), (30, 14.0), (350, 2.0)] {
        for then in [Then::Restart, Then::Crowd, Then::Pause, Then::Fail] {
            for load in [Load::Unreported, Load::Reported(1.0)] {
                let sent = sent_to_newcomer(balancers, each, then, load);
                let what = format!("{balancers}, {then:?}, {load:?}");
                assert!(sent.len() > 20, "{what}: it is warmed up by work, {} requests", sent.len());
                let set = settings(balancers, 0, each, load);
                for (k, from) in sent.iter().enumerate() {
                    let window =
                        sent[k..].iter().take_while(|at| **at < *from + set.overload_duration).count() as f64;
                    let can = full(balancers, each) * stated_share(&set, *from);
                    let budget = set.overload_factor * can * set.overload_duration.as_secs_f64();
                    let most = budget + 2.0 * budget.sqrt() + 2.0;
                    assert!(window <= most, "{what}: {window} of {most:.0} in the window from {from:?}");
                }
            }
        }
    }
}

/// Guards against upstreams that stand idle while others are crowded: what is stated of a cold one is the least that it
/// can do. Where its reports say that it could do more, it gets more.
#[test]
fn a_cold_upstream_that_reports_room_gets_more_than_is_stated() {
    for (balancers, each) in [(20, 14.0), (100, 10.0)] {
        let sent = |load| sent_to_newcomer(balancers, each, Then::Fare, load).len() as f64;
        let unknown = sent(Load::Unreported);
        let (as_stated, twice) = (sent(Load::Reported(1.0)), sent(Load::Reported(2.0)));
        assert!(twice > 1.3 * unknown, "{balancers}: {twice} against {unknown}");
        assert!(twice > as_stated, "{balancers}: {twice} against {as_stated}");
    }
}
