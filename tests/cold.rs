//! Cold upstreams under the sum of all balancers: what they are sent in any window stays within what the settings
//! allow and chance explains.

mod common;
use common::*;
use lapisroute::*;
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
}

fn settings(balancers: u32, index: u32, each: f64) -> Settings {
    Settings {
        balancers,
        index,
        classes: vec![class(400, 1000, Effect::AtMostOnce); 2],
        tenants: vec![Tenant { allowance_per_s: each * f64::from(balancers) }],
        cold_from: 0.15,
        cold_time: ms(12_000),
        fall_multiple: 2.0,
        fall_time: ms(2000),
        ..Settings::default()
    }
}

/// What the newcomer is sent by `balancers` that get `each` requests a second.
fn sent_to_newcomer(balancers: u32, each: f64, then: Then) -> Vec<Duration> {
    let newcomer = Listed { started: Some(BOOT), ..listed(NEW.0) };
    let before: Vec<_> = (1..=OLD).map(listed).collect();
    let gone = if then == Then::Crowd { OLD as usize / 2 } else { 0 };
    let after: Vec<_> = before[gone..].iter().cloned().chain([newcomer]).collect();
    let start = |k: u32, seed: u64, known: &[Listed], now: Duration| {
        let mut bench = Bench::new(settings(balancers, k, each), &[]);
        (bench.balancer, bench.now) = (Balancer::new(settings(balancers, k, each), seed).unwrap(), now);
        bench.timers.clear();
        bench.tell(Event::Fleet { scope: FleetScope::Cached, listed: known });
        bench
    };
    let mut all: Vec<_> = (0..balancers).map(|k| start(k, u64::from(k), &before, ms(0))).collect();
    let (mut told, mut restarts, mut sent) = (false, 0, Vec::new());
    let mut open: Vec<(usize, RequestId, Duration)> = Vec::new();
    let gap = Duration::from_secs_f64(1.0 / (each * f64::from(balancers)));
    let (mut now, mut n) = (ms(0), 0usize);
    while now < END {
        (now, n) = (now + gap, n + 1);
        if now >= BOOT && !std::mem::replace(&mut told, true) {
            for b in &mut all {
                b.run(now.saturating_sub(b.now));
                b.tell(Event::Fleet { scope: FleetScope::Full, listed: &after });
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
            let fails = then == Then::Fail && b.at(id, 0) == Some(NEW) && id.0 % 2 == 0;
            b.ended(id, 0, if fails { Outcome::Error } else { Outcome::Ok });
        }
        let quiet = then == Then::Pause && now > BOOT + ms(500) && now < BOOT + ms(5500);
        let k = n * 7919 % all.len();
        let b = &mut all[k];
        b.run(now.saturating_sub(b.now));
        if !quiet {
            let id = b.request((n % 2) as u16, 0, ms(600));
            if let Some(upstream) = b.at(id, 0) {
                let crowded = told && then == Then::Crowd && upstream != NEW;
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
            let sent = sent_to_newcomer(balancers, each, then);
            assert!(
                sent.len() > 20,
                "{balancers}, {then:?}: it is warmed up by work, {} requests",
                sent.len()
            );
            let set = settings(balancers, 0, each);
            let full = each * f64::from(balancers) / LOAD / OLD as f64;
            for (k, from) in sent.iter().enumerate() {
                let window = sent[k..].iter().take_while(|at| **at < *from + set.fall_time).count() as f64;
                let climb = (from.saturating_sub(BOOT).as_secs_f64() / set.cold_time.as_secs_f64()).min(1.0);
                let can = full * (set.cold_from + (1.0 - set.cold_from) * climb);
                let budget = set.fall_multiple * can * set.fall_time.as_secs_f64();
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(
                    window <= most,
                    "{balancers}, {then:?}: {window} of {most:.0} in the window from {from:?}"
                );
            }
        }
    }
}
