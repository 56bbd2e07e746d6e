//! Tests of subsetting: a balancer with few requests uses a subset of the upstreams, and all balancers
//! together use the upstreams evenly.

mod common;
use balancer_core::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

/// Returns the settings of one of many balancers that each get two requests per second.
fn settings(index: u32) -> SettingsBuilder {
    SettingsBuilder::new(RetrySafety::Idempotent).balancers(BALANCERS).index(index).quotas(&[480.0])
}

/// Returns endpoints whose ids are far apart.
fn spread_endpoints() -> Vec<EndpointEntry> {
    (1..=48).map(|id| endpoint(id * 7919)).collect()
}

fn removed_entry(id: UpstreamId) -> EndpointEntry {
    EndpointBuilder::new(id.0).availability(Availability::Removed).build()
}

/// Sends `request_count` requests and returns the upstreams that they went to.
fn used_upstreams(harness: &mut BalancerHarness, request_count: usize) -> BTreeSet<UpstreamId> {
    harness.attempts.clear();
    harness.simulate_requests(request_count, ms(500), |_| Some(Outcome::Ok));
    harness.attempts.values().flatten().map(|attempt| attempt.upstream).collect()
}

/// If each balancer used all upstreams, it would hold a connection to each of them, and the upstreams would
/// run out of connections.
#[test]
fn a_balancer_with_few_requests_uses_a_subset_and_all_balancers_use_the_upstreams_evenly() {
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

    let fewest_balancers =
        balancers_by_upstream.values().min().expect("at least one upstream should be used");
    let most_balancers = balancers_by_upstream.values().max().expect("at least one upstream should be used");
    assert_eq!(balancers_by_upstream.len(), endpoints.len(), "some upstreams are used by no balancer");
    assert!(
        *most_balancers * 2 <= *fewest_balancers * 3,
        "the upstreams are used by {fewest_balancers} to {most_balancers} balancers each"
    );
}

#[test]
fn a_balancer_with_two_upstreams_and_one_with_many_requests_use_all_upstreams() {
    let mut few_upstreams = BalancerHarness::new(settings(5).build(), &endpoints(2));
    assert_eq!(used_upstreams(&mut few_upstreams, 100).len(), 2);

    let many_requests = settings(3).balancers(4).build();
    let mut many_requests = BalancerHarness::new(many_requests, &endpoints(60));
    assert_eq!(used_upstreams(&mut many_requests, 300).len(), 60);
}

/// If the subset changed with every change of the endpoint list, the balancer would lose connections and its
/// statistics of the upstreams.
#[test]
fn a_subset_is_kept_when_other_upstreams_are_removed_and_refilled_when_its_own_are() {
    let endpoints = spread_endpoints();
    let mut harness = BalancerHarness::new(settings(17).build(), &endpoints);
    let subset = used_upstreams(&mut harness, 60);
    let ids = endpoints.iter().map(|entry| entry.id);
    let (inside, outside): (Vec<_>, Vec<_>) = ids.partition(|id| subset.contains(id));

    for id in outside.iter().take(20) {
        harness.update_endpoints(UpdateScope::Delta, &[removed_entry(*id)]);
        harness.advance(ms(50));
    }
    assert_eq!(used_upstreams(&mut harness, 60), subset, "removals outside the subset changed the subset");

    harness.update_endpoints(UpdateScope::Delta, &[removed_entry(inside[0]), removed_entry(inside[1])]);
    let refilled = used_upstreams(&mut harness, 60);
    assert_eq!(refilled.len(), subset.len());
    assert_eq!(refilled.intersection(&subset).count(), subset.len() - 2);
}

/// Without quotas, the expected rate of requests is unknown. A single balancer still uses all upstreams,
/// because no other balancer would use the rest.
#[test]
fn a_single_balancer_uses_all_upstreams() {
    let single = settings(0).balancers(1).quotas(&[]).build();
    let mut single = BalancerHarness::new(single, &endpoints(40));

    assert_eq!(used_upstreams(&mut single, 200).len(), 40);
}
