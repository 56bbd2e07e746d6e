//! Subsetting: a balancer with few requests uses a subset of the upstreams; all balancers together load each
//! alike.

mod common;
use balancer_core::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

/// Settings of one of many balancers that get two requests per second each.
fn settings(index: u32) -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).balancers(BALANCERS).index(index).quotas(&[480.0])
}

/// Endpoints whose ids are far apart.
fn spread_endpoints() -> Vec<EndpointEntry> {
    (1..=48).map(|id| endpoint(id * 7919)).collect()
}

fn removed(id: UpstreamId) -> EndpointEntry {
    EndpointBuilder::new(id.0).availability(Availability::Removed).build()
}

/// The upstreams that the next requests are sent to.
fn used_upstreams(harness: &mut BalancerHarness, requests: usize) -> BTreeSet<UpstreamId> {
    harness.attempts.clear();
    harness.simulate_requests(requests, ms(500), |_| Some(Outcome::Ok));
    harness.attempts.values().flatten().map(|attempt| attempt.upstream).collect()
}

/// Each balancer that used all upstreams would hold a connection to each, until the upstreams run out of
/// them.
#[test]
fn a_balancer_with_few_requests_uses_a_subset_and_all_balancers_use_each_upstream_alike() {
    let endpoints = spread_endpoints();
    let mut balancers_by_upstream: BTreeMap<UpstreamId, usize> = BTreeMap::new();

    for index in 0..BALANCERS {
        let mut harness = BalancerHarness::new(settings(index).build(), &endpoints);
        let subset = used_upstreams(&mut harness, 60);
        assert!((2..=10).contains(&subset.len()), "balancer {index} uses {} upstreams", subset.len());
        for upstream in subset {
            *balancers_by_upstream.entry(upstream).or_default() += 1;
        }
    }

    let least = balancers_by_upstream.values().min().expect("some upstream is used");
    let most = balancers_by_upstream.values().max().expect("some upstream is used");
    assert_eq!(balancers_by_upstream.len(), endpoints.len(), "every upstream is used");
    assert!(*most * 2 <= *least * 3, "used by {least} to {most} balancers");
}

#[test]
fn a_balancer_of_two_upstreams_and_one_with_many_requests_use_all_upstreams() {
    let mut few_upstreams = BalancerHarness::new(settings(5).build(), &endpoints(2));
    assert_eq!(used_upstreams(&mut few_upstreams, 100).len(), 2);

    let many_requests = settings(3).balancers(4).build();
    let mut many_requests = BalancerHarness::new(many_requests, &endpoints(60));
    assert_eq!(used_upstreams(&mut many_requests, 300).len(), 60);
}

/// A subset that moved with every change of the list would cost connections and what is known of the
/// upstreams.
#[test]
fn a_subset_is_kept_when_other_upstreams_are_removed_and_refilled_when_its_own_are() {
    let endpoints = spread_endpoints();
    let mut harness = BalancerHarness::new(settings(17).build(), &endpoints);
    let subset = used_upstreams(&mut harness, 60);
    let ids = endpoints.iter().map(|entry| entry.id);
    let (inside, outside): (Vec<_>, Vec<_>) = ids.partition(|id| subset.contains(id));

    for id in outside.iter().take(20) {
        harness.update_endpoints(UpdateScope::Delta, &[removed(*id)]);
        harness.advance(ms(50));
    }
    assert_eq!(used_upstreams(&mut harness, 60), subset, "a removal outside the subset changes nothing");

    harness.update_endpoints(UpdateScope::Delta, &[removed(inside[0]), removed(inside[1])]);
    let refilled = used_upstreams(&mut harness, 60);
    assert_eq!(refilled.len(), subset.len());
    assert_eq!(refilled.intersection(&subset).count(), subset.len() - 2);
}

/// Without quotas nothing states the load, but a single balancer has no others that would use the rest.
#[test]
fn a_single_balancer_uses_all_upstreams() {
    let single = settings(0).balancers(1).quotas(&[]).build();
    let mut single = BalancerHarness::new(single, &endpoints(40));

    assert_eq!(used_upstreams(&mut single, 200).len(), 40);
}
