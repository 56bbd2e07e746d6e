//! The list of upstreams as discovery words it, read into what the balancer knows of each.

use crate::rate_limited_log::RateLimitedLog;
use crate::upstream::EndpointState;
use balancer_core::{Availability, CellId, HardwareId, UpdateScope, UpstreamId, ZoneId};
use balancer_settings::SiteNames;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// An upstream as listed, for the library and for the connections.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its id, made of its uid alone: the same at every balancer, and wherever it listens.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: HardwareId,
    /// Its cell.
    pub cell: CellId,
    /// Its weight.
    pub weight: f64,
    /// Where it is, and how it stands.
    pub place: EndpointState,
}

/// News of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// How complete it is.
    pub scope: UpdateScope,
    /// The entries.
    pub entries: Vec<DiscoveredEndpoint>,
}

impl WatchEvent {
    /// That a call failed or a watch ended.
    pub fn failed() -> Self {
        Self { scope: UpdateScope::Failed, entries: Vec::new() }
    }
}

/// A list, or changes of one, with its version.
pub struct EndpointList {
    /// The version.
    pub version: u64,
    /// What it says.
    pub news: WatchEvent,
}

/// Why a text is no list.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct EndpointListError(#[from] serde_json::Error);

/// Why an entry of a list can't be taken as it is.
#[derive(Debug, Error)]
enum EntryError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{uid}: unknown state {state:?}")]
    State { uid: String, state: String },
    #[error("{uid}: no address")]
    NoAddress { uid: String },
}

#[derive(Deserialize)]
struct RawList<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawEntry<'a> {
    uid: String,
    #[serde(borrow, default)]
    endpoint: Option<&'a RawValue>,
    state: String,
    #[serde(default)]
    az: Option<String>,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    pod_group: Option<f64>,
    #[serde(default)]
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: Option<f64>,
}

/// The weight of an upstream of which none is told.
const WEIGHT_UNTOLD: f64 = 1.0;

/// The part of an entry that tells whose it is.
#[derive(Deserialize)]
struct RawIdentity {
    uid: String,
}

/// An upstream of which nothing more is known than that it may drain.
fn unusable_entry(text: &str) -> Result<DiscoveredEndpoint, serde_json::Error> {
    let identity: RawIdentity = serde_json::from_str(text)?;
    Ok(DiscoveredEndpoint {
        id: stable_id(&identity.uid),
        zone: ZoneId(u8::MAX),
        kind: HardwareId(u16::MAX),
        cell: CellId(u16::MAX),
        weight: WEIGHT_UNTOLD,
        place: EndpointState { endpoint: None, availability: Availability::Draining, boot_ms: 0 },
    })
}

/// FNV-1a: an id that no process, build or machine sees differently.
fn stable_id(uid: &str) -> UpstreamId {
    UpstreamId(uid.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// Reads lists.
pub struct EndpointListReader {
    names: SiteNames,
    odd: RateLimitedLog,
}

impl EndpointListReader {
    /// A reader that turns these names of zones and kinds into numbers.
    pub fn new(names: SiteNames) -> Self {
        Self { names, odd: RateLimitedLog::default() }
    }

    /// Reads a list. Who can be told from an entry that is unreadable otherwise is taken to drain, so that
    /// nothing is sent there; any other such entry is skipped. A list that can't be read is an error.
    pub fn read(&self, text: &[u8]) -> Result<EndpointList, EndpointListError> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let entries = raw.targets.iter().filter_map(|target| self.entry_or_draining(target.get())).collect();
        let scope = if raw.all { UpdateScope::Snapshot } else { UpdateScope::Delta };
        Ok(EndpointList { version: raw.rev, news: WatchEvent { scope, entries } })
    }

    fn entry_or_draining(&self, text: &str) -> Option<DiscoveredEndpoint> {
        let entry = self.entry(text).or_else(|e| {
            self.odd.warn(|| format!("unreadable list entry: {e}"));
            unusable_entry(text)
        });
        entry.ok()
    }

    fn entry(&self, text: &str) -> Result<DiscoveredEndpoint, EntryError> {
        let raw: RawEntry<'_> = serde_json::from_str(text)?;
        let availability = match raw.state.as_str() {
            "Ready" => Availability::Ready,
            "Terminating" => Availability::Draining,
            "Gone" => Availability::Removed,
            _ => return Err(EntryError::State { uid: raw.uid, state: raw.state }),
        };
        let endpoint = raw.endpoint.and_then(|e| serde_json::from_str(e.get()).ok());
        if endpoint.is_none() && availability == Availability::Ready {
            return Err(EntryError::NoAddress { uid: raw.uid });
        }
        let position =
            |names: &[String], name: Option<String>| names.iter().position(|n| Some(n) == name.as_ref());
        Ok(DiscoveredEndpoint {
            id: stable_id(&raw.uid),
            zone: ZoneId(position(&self.names.zones, raw.az).map_or(u8::MAX, |z| z as u8)),
            kind: HardwareId(position(&self.names.hardware, raw.model).map_or(u16::MAX, |k| k as u16)),
            cell: CellId(raw.pod_group.unwrap_or_default() as u16),
            weight: raw.capacity_hint.unwrap_or(WEIGHT_UNTOLD),
            place: EndpointState {
                endpoint,
                availability,
                boot_ms: raw.boot_ms.unwrap_or_default().max(0.0) as u64,
            },
        })
    }
}
