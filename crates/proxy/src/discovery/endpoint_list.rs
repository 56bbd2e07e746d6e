//! Endpoint lists in the wire format of discovery, read into the types of the balancer.

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

/// The zone of an upstream that states none, or one that the settings do not name.
const UNKNOWN_ZONE: ZoneId = ZoneId(u8::MAX);
/// The hardware of an upstream that states none, or one that the settings do not name.
const UNKNOWN_HARDWARE: HardwareId = HardwareId(u16::MAX);
/// The cell of an upstream whose entry is unreadable.
const UNKNOWN_CELL: CellId = CellId(u16::MAX);
/// The weight of an upstream that states none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One upstream in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its id, a hash of its uid alone: the same at every balancer, whatever its address.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its hardware model.
    pub hardware: HardwareId,
    /// Its cell.
    pub cell: CellId,
    /// Its weight.
    pub weight: f64,
    /// Its address, availability and start.
    pub state: EndpointState,
}

/// An update of the endpoint list, from a watch or the configuration, or the failure of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// How complete it is.
    pub scope: UpdateScope,
    /// The entries.
    pub entries: Vec<DiscoveredEndpoint>,
}

impl WatchEvent {
    /// The failure of a call, or the end of a watch.
    pub fn failed() -> Self {
        Self { scope: UpdateScope::Failed, entries: Vec::new() }
    }
}

/// An endpoint list, or changes of one, with its version.
pub struct EndpointList {
    /// The version.
    pub version: u64,
    /// The scope and the entries.
    pub update: WatchEvent,
}

/// A text that is not an endpoint list.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct EndpointListError(#[from] serde_json::Error);

/// Why an entry of a list is not used as it is.
#[derive(Debug, Error)]
enum EntryError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{uid}: unknown state {state:?}")]
    UnknownState { uid: String, state: String },
    #[error("{uid}: no address")]
    NoAddress { uid: String },
}

/// A list as it is on the wire.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all", default)]
    is_snapshot: bool,
    #[serde(rename = "targets", borrow)]
    entries: Vec<&'a RawValue>,
}

/// An entry as it is on the wire.
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

/// The part of an entry that says which upstream it is about.
#[derive(Deserialize)]
struct RawIdentity {
    uid: String,
}

/// Reads endpoint lists.
pub struct EndpointListReader {
    names: SiteNames,
    log: RateLimitedLog,
}

impl EndpointListReader {
    /// A reader that turns these names of zones and hardware models into ids.
    pub fn new(names: SiteNames) -> Self {
        Self { names, log: RateLimitedLog::default() }
    }

    /// Reads a list; fails if the text is none. An entry that is unreadable but for its uid counts as
    /// draining, so that nothing is sent to that upstream; one without a readable uid is skipped. Both are
    /// logged.
    pub fn read(&self, text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let entries = raw.entries.iter().filter_map(|entry| self.read_entry_or_draining(entry.get()));
        let entries = entries.collect();
        let scope = if raw.is_snapshot { UpdateScope::Snapshot } else { UpdateScope::Delta };
        Ok(EndpointList { version: raw.version, update: WatchEvent { scope, entries } })
    }

    fn read_entry_or_draining(&self, text: &str) -> Option<DiscoveredEndpoint> {
        match self.read_entry(text) {
            Ok(endpoint) => Some(endpoint),
            Err(e) => {
                self.log.warn(|skipped| tracing::warn!(skipped, error = %e, "unreadable list entry"));
                draining_endpoint(text)
            }
        }
    }

    fn read_entry(&self, text: &str) -> Result<DiscoveredEndpoint, EntryError> {
        let raw: RawEntry<'_> = serde_json::from_str(text)?;
        let Some(availability) = availability(&raw.state) else {
            return Err(EntryError::UnknownState { uid: raw.uid, state: raw.state });
        };
        let address: Option<SocketAddr> =
            raw.address.and_then(|address| serde_json::from_str(address.get()).ok());
        if address.is_none() && availability == Availability::Ready {
            return Err(EntryError::NoAddress { uid: raw.uid });
        }
        let zone = position(&self.names.zones, raw.zone.as_deref());
        let hardware = position(&self.names.hardware, raw.hardware.as_deref());
        Ok(DiscoveredEndpoint {
            id: stable_id(&raw.uid),
            zone: zone.map_or(UNKNOWN_ZONE, |index| ZoneId(index as u8)),
            hardware: hardware.map_or(UNKNOWN_HARDWARE, |index| HardwareId(index as u16)),
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

/// The availability that a state on the wire stands for.
fn availability(state: &str) -> Option<Availability> {
    match state {
        "Ready" => Some(Availability::Ready),
        "Terminating" => Some(Availability::Draining),
        "Gone" => Some(Availability::Removed),
        _ => None,
    }
}

/// The position of a name in the settings.
fn position(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|candidate| Some(candidate.as_str()) == name)
}

/// The upstream of an entry of which only the uid is readable.
fn draining_endpoint(text: &str) -> Option<DiscoveredEndpoint> {
    let identity: RawIdentity = serde_json::from_str(text).ok()?;
    Some(DiscoveredEndpoint {
        id: stable_id(&identity.uid),
        zone: UNKNOWN_ZONE,
        hardware: UNKNOWN_HARDWARE,
        cell: UNKNOWN_CELL,
        weight: DEFAULT_WEIGHT,
        state: EndpointState { address: None, availability: Availability::Draining, started_at_unix_ms: 0 },
    })
}

/// Hashes a uid by FNV-1a, so that every process, build and machine has the same id for it.
fn stable_id(uid: &str) -> UpstreamId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = uid.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    UpstreamId(hash)
}
