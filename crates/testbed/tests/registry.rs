//! Tests of endpoint list updates in the JSON form of discovery. A wrong update would make the soak tests
//! check a balancer against an endpoint list that discovery would not send.

use testbed::registry::{ListUpdate, Registry, Server, ServerState, UpdateScope};

const COMPLETE: UpdateScope = UpdateScope::Snapshot { include_draining: true };
const WITHOUT_DRAINING: UpdateScope = UpdateScope::Snapshot { include_draining: false };

fn server(id: &str) -> Server {
    Server {
        id: id.to_owned(),
        address: "127.0.0.1:81".parse().expect("the address is valid"),
        zone: "a",
        hardware: "m",
        cell: 7,
        state: ServerState::Ready,
        weight: 1.5,
        started_at_unix_ms: 9,
    }
}

/// Returns a registry of three servers, of which the last began to drain in version 2.
fn registry() -> Registry {
    let mut registry = Registry::new(vec![server("s-0"), server("s-1"), server("s-2")]);
    registry.change(vec![2], |server| server.state = ServerState::Draining);
    registry
}

fn ids(update: &ListUpdate) -> Vec<String> {
    let message: serde_json::Value = serde_json::from_str(&update.json).expect("an update is JSON");
    let targets = message["targets"].as_array().expect("an update has targets");
    targets.iter().map(|target| target["uid"].as_str().expect("a target has a uid").to_owned()).collect()
}

#[test]
fn an_update_has_the_field_names_and_the_order_of_discovery() {
    let update = registry().update(UpdateScope::Delta { since: 1 });

    let expected =
        r#"{"rev":2,"all":false,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:81","az":"a","model":"m","#
            .to_owned()
            + r#""pod_group":7,"state":"Terminating","capacity_hint":1.5,"boot_ms":9}]}"#;
    assert_eq!(update, ListUpdate { json: expected, version: 2 });
}

#[test]
fn a_snapshot_is_marked_as_complete() {
    let update = registry().update(COMPLETE);

    assert!(update.json.starts_with(r#"{"rev":2,"all":true,"targets":[{"uid":"s-0","#), "{}", update.json);
    assert!(update.json.contains(r#""state":"Ready""#), "{}", update.json);
    assert_eq!(ids(&update), ["s-0", "s-1", "s-2"]);
}

#[test]
fn a_snapshot_can_exclude_draining_servers() {
    assert_eq!(ids(&registry().update(WITHOUT_DRAINING)), ["s-0", "s-1"]);
}

#[test]
fn a_delta_contains_each_server_changed_after_the_version_once() {
    let mut registry = registry();
    registry.change(vec![1, 0], |server| server.weight = 2.0);
    registry.change(vec![0], |server| server.weight = 3.0);

    assert_eq!(ids(&registry.update(UpdateScope::Delta { since: 1 })), ["s-0", "s-1", "s-2"]);
    assert_eq!(ids(&registry.update(UpdateScope::Delta { since: 2 })), ["s-0", "s-1"]);
    assert_eq!(ids(&registry.update(UpdateScope::Delta { since: 3 })), ["s-0"]);
    assert!(ids(&registry.update(UpdateScope::Delta { since: 4 })).is_empty());
}
