use super::*;

fn reader() -> EndpointListReader {
    let zones = vec!["a".to_owned(), "b".to_owned()];
    let hardware = vec!["m0".to_owned(), "m1".to_owned()];
    EndpointListReader::new(SiteNames { classes: Vec::new(), tenants: Vec::new(), zones, hardware })
}

/// Reads a list with these entries, given as JSON objects separated by commas.
fn read_entries(entries: &str) -> Vec<DiscoveredEndpoint> {
    let text = format!(r#"{{"rev":4,"all":true,"targets":[{entries}]}}"#);
    reader().read(text.as_bytes()).unwrap().update.entries
}

#[test]
fn a_list_states_its_version_and_whether_it_is_complete() {
    let snapshot = reader().read(br#"{"rev":4,"all":true,"targets":[]}"#).unwrap();
    assert_eq!(snapshot.version, 4);
    assert_eq!(snapshot.update, EndpointUpdate { scope: UpdateScope::Snapshot, entries: Vec::new() });
    let delta = reader().read(br#"{"rev":5,"targets":[]}"#).unwrap();
    assert_eq!(delta.version, 5);
    assert_eq!(delta.update, EndpointUpdate { scope: UpdateScope::Delta, entries: Vec::new() });
}

#[test]
fn a_text_that_is_not_an_endpoint_list_is_an_error() {
    for text in ["", "[]", "{}", r#"{"rev":"4","targets":[]}"#, r#"{"rev":4}"#] {
        assert!(reader().read(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn an_entry_is_mapped_to_the_types_of_the_balancer() {
    let entries = read_entries(
        r#"{"uid":"s-0","endpoint":"127.0.0.1:80","state":"Ready","az":"b","model":"m1","pod_group":7,
            "capacity_hint":1.5,"boot_ms":1700000000000}"#,
    );
    let expected = DiscoveredEndpoint {
        id: stable_id("s-0"),
        zone: ZoneId(1),
        hardware: HardwareId(1),
        cell: CellId(7),
        weight: 1.5,
        state: EndpointState {
            address: Some(([127, 0, 0, 1], 80).into()),
            availability: Availability::Ready,
            started_at_unix_ms: 1_700_000_000_000,
        },
    };
    assert_eq!(entries, [expected]);
}

#[test]
fn fields_missing_from_an_entry_get_default_values() {
    let entries = read_entries(r#"{"uid":"s-0","endpoint":"127.0.0.1:80","state":"Ready"}"#);
    assert_eq!(entries[0].zone, UNKNOWN_ZONE);
    assert_eq!(entries[0].hardware, UNKNOWN_HARDWARE);
    assert_eq!(entries[0].cell, CellId(0));
    assert_eq!(entries[0].weight, DEFAULT_WEIGHT);
    assert_eq!(entries[0].state.started_at_unix_ms, 0);
}

#[test]
fn each_state_maps_to_its_availability() {
    let states = [
        ("Ready", Availability::Ready),
        ("Terminating", Availability::Draining),
        ("Gone", Availability::Removed),
    ];
    for (state, availability) in states {
        let entry = format!(r#"{{"uid":"s-0","endpoint":"127.0.0.1:80","state":"{state}"}}"#);
        assert_eq!(read_entries(&entry)[0].state.availability, availability, "{state}");
    }
}

#[test]
fn an_unreadable_entry_with_a_uid_counts_as_draining() {
    for entry in [
        r#"{"uid":"s-0","endpoint":"127.0.0.1:80","state":"Stopping"}"#,
        r#"{"uid":"s-0","endpoint":"nowhere","state":"Ready"}"#,
        r#"{"uid":"s-0","state":"Ready"}"#,
        r#"{"uid":"s-0","endpoint":"127.0.0.1:80","state":"Ready","boot_ms":"now"}"#,
        r#"{"uid":"s-0"}"#,
    ] {
        let entries = read_entries(entry);
        assert_eq!(entries.len(), 1, "{entry}");
        assert_eq!(entries[0].id, stable_id("s-0"), "{entry}");
        assert_eq!(entries[0].state.availability, Availability::Draining, "{entry}");
        assert_eq!(entries[0].state.address, None, "{entry}");
    }
}

#[test]
fn an_entry_without_a_uid_is_skipped() {
    let entries = read_entries(r#"{"state":"Ready"},7,{"uid":"s-1","state":"Gone"}"#);
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].id, stable_id("s-1"));
}

#[test]
fn ids_are_the_fnv_1a_hashes_of_uids() {
    // Published test vectors of 64-bit FNV-1a. The ids have to be the same in every build.
    assert_eq!(stable_id(""), UpstreamId(0xcbf2_9ce4_8422_2325));
    assert_eq!(stable_id("a"), UpstreamId(0xaf63_dc4c_8601_ec8c));
    assert_eq!(stable_id("foobar"), UpstreamId(0x8594_4171_f739_67e8));
}
