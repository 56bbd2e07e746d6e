//! Reads endpoint lists in the wire format of discovery into the types of the balancer.

#[cfg(test)]
mod tests;

use crate::rate_limited_log::RateLimitedLog;
use crate::upstream::EndpointState;
use balancer_core::{Availability, CellId, HardwareId, UpdateScope, UpstreamId, ZoneId};
use balancer_settings::SiteNames;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use thiserror::Error;

/// Zone of an upstream whose entry states no zone, or one that the settings do not name.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
/// Hardware model of an upstream whose entry states no model, or one that the settings do not name.
const UNKNOWN_HARDWARE: HardwareId = HardwareId(u16::MAX);
/// Cell of an upstream whose entry is unreadable.
const UNKNOWN_CELL: CellId = CellId(u16::MAX);
/// Weight of an upstream whose entry states no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An entry of an endpoint list: one upstream and what the list states about it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Hash of the uid that discovery gives the upstream, and of nothing else. It is the same in every proxy
    /// and does not depend on the address.
    pub id: UpstreamId,
    /// Zone of the upstream; [`UNKNOWN_ZONE`] if the entry states none, or one that the settings do not name.
    pub zone: ZoneId,
    /// Hardware model of the upstream; [`UNKNOWN_HARDWARE`] if the entry states none, or one that the
    /// settings do not name.
    pub hardware: HardwareId,
    /// Cell of the upstream; 0 if the entry states none, [`UNKNOWN_CELL`] if the entry is unreadable.
    pub cell: CellId,
    /// Weight that the entry states, to be read as
    /// [`Settings::weight_kind`](balancer_core::Settings::weight_kind) says; [`DEFAULT_WEIGHT`] if it states
    /// none.
    pub weight: f64,
    /// Address and availability of the upstream, and start time of its process.
    pub state: EndpointState,
}

/// An update of the endpoint list from discovery or the configuration, or the failure of a call to discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Whether the entries are the whole list or only changes to it, or whether there is no update at all.
    pub scope: UpdateScope,
    /// Entries in the order in which they are listed; empty after a failure.
    pub entries: Vec<DiscoveredEndpoint>,
}

impl EndpointUpdate {
    /// Creates the update that reports a failed call or the end of a watch.
    pub fn failed() -> Self {
        Self { scope: UpdateScope::Failed, entries: Vec::new() }
    }
}

/// An endpoint list, or changes to one, together with the version of the list.
pub struct VersionedUpdate {
    /// Version of the list that results from the update; set by discovery.
    pub version: u64,
    /// Scope and entries; the scope is either a snapshot or a delta.
    pub update: EndpointUpdate,
}

/// The error for a text that is not an endpoint list.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct EndpointListError(#[from] serde_json::Error);

/// The reason why an entry of a list is unreadable.
#[derive(Debug, Error)]
enum EntryError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("entry of {uid} has the unknown state {state:?}")]
    UnknownState { uid: String, state: String },
    #[error("entry of {uid} is ready but has no readable address")]
    NoAddress { uid: String },
}

/// An endpoint list in the wire format.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all", default)]
    is_snapshot: bool,
    #[serde(rename = "targets", borrow)]
    entries: Vec<&'a RawValue>,
}

/// An entry of an endpoint list in the wire format.
#[derive(Deserialize)]
struct RawEntry<'a> {
    uid: String,
    #[serde(rename = "endpoint", borrow, default)]
    address: Option<&'a RawValue>,
    state: String,
    #[serde(rename = "az", default)]
    zone: Option<String>,
    #[serde(rename = "model", default)]
    hardware: Option<String>,
    #[serde(rename = "pod_group", default)]
    cell: Option<f64>,
    #[serde(rename = "capacity_hint", default)]
    weight: Option<f64>,
    #[serde(rename = "boot_ms", default)]
    started_at_unix_ms: Option<f64>,
}

/// The part of an entry that identifies its upstream.
#[derive(Deserialize)]
struct RawIdentity {
    uid: String,
}

/// A reader of endpoint lists that maps names of zones and hardware models to ids.
pub struct EndpointListReader {
    names: SiteNames,
    log: RateLimitedLog,
}

impl EndpointListReader {
    /// Creates a reader. The id of a zone or hardware model is its position in `names`.
    pub fn new(names: SiteNames) -> Self {
        Self { names, log: RateLimitedLog::default() }
    }

    /// Reads an endpoint list, or changes to one; fails if `json` is neither. An unreadable entry is logged.
    /// Its upstream counts as draining, so that nothing new is sent to it; if not even the uid is readable,
    /// the entry is skipped.
    pub fn read(&self, json: &[u8]) -> Result<VersionedUpdate, EndpointListError> {
        let raw: RawList<'_> = serde_json::from_slice(json)?;
        let entries = raw.entries.iter().filter_map(|entry| self.read_entry_or_draining(entry.get()));
        let entries = entries.collect();
        let scope = if raw.is_snapshot { UpdateScope::Snapshot } else { UpdateScope::Delta };
        Ok(VersionedUpdate { version: raw.version, update: EndpointUpdate { scope, entries } })
    }

    fn read_entry_or_draining(&self, json: &str) -> Option<DiscoveredEndpoint> {
        match self.read_entry(json) {
            Ok(endpoint) => Some(endpoint),
            Err(e) => {
                self.log.warn(|skipped| tracing::warn!(skipped, error = %e, "endpoint entry is unreadable"));
                draining_endpoint(json)
            }
        }
    }

    fn read_entry(&self, json: &str) -> Result<DiscoveredEndpoint, EntryError> {
        let raw: RawEntry<'_> = serde_json::from_str(json)?;
        let Some(availability) = availability_of_state(&raw.state) else {
            return Err(EntryError::UnknownState { uid: raw.uid, state: raw.state });
        };
        let address: Option<SocketAddr> =
            raw.address.and_then(|address| serde_json::from_str(address.get()).ok());
        if address.is_none() && availability == Availability::Ready {
            return Err(EntryError::NoAddress { uid: raw.uid });
        }
        let zone_index = name_index(&self.names.zones, raw.zone.as_deref());
        let hardware_index = name_index(&self.names.hardware, raw.hardware.as_deref());
        Ok(DiscoveredEndpoint {
            id: stable_id(&raw.uid),
            zone: zone_index.map_or(UNKNOWN_ZONE, |index| ZoneId(index as u8)),
            hardware: hardware_index.map_or(UNKNOWN_HARDWARE, |index| HardwareId(index as u16)),
            cell: CellId(raw.cell.unwrap_or_default() as u16),
            weight: raw.weight.unwrap_or(DEFAULT_WEIGHT),
            state: EndpointState {
                address,
                availability,
                started_at_unix_ms: raw.started_at_unix_ms.unwrap_or_default().max(0.0) as u64,
            },
        })
    }
}

/// Returns the availability that a state in the wire format stands for; `None` if the state is unknown.
fn availability_of_state(state: &str) -> Option<Availability> {
    match state {
        "Ready" => Some(Availability::Ready),
        "Terminating" => Some(Availability::Draining),
        "Gone" => Some(Availability::Removed),
        _ => None,
    }
}

/// Returns the position of `name` in `names`; `None` if `name` is absent or not among them.
fn name_index(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|candidate| Some(candidate.as_str()) == name)
}

/// Returns a draining upstream for an unreadable entry; `None` if not even its uid is readable.
fn draining_endpoint(json: &str) -> Option<DiscoveredEndpoint> {
    let identity: RawIdentity = serde_json::from_str(json).ok()?;
    Some(DiscoveredEndpoint {
        id: stable_id(&identity.uid),
        zone: UNKNOWN_ZONE,
        hardware: UNKNOWN_HARDWARE,
        cell: UNKNOWN_CELL,
        weight: DEFAULT_WEIGHT,
        state: EndpointState { address: None, availability: Availability::Draining, started_at_unix_ms: 0 },
    })
}

/// Hashes a uid by 64-bit FNV-1a, so that every process, build and machine derives the same id from it.
fn stable_id(uid: &str) -> UpstreamId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = uid.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    UpstreamId(hash)
}
