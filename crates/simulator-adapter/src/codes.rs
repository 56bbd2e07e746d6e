//! The codes of the wire format. Events and actions have separate code spaces.

use crate::error::WireProblem;
use balancer_core::{Availability, Outcome, UpdateScope};

/// The highest number of an endpoint list.
pub const MAX_LIST_NUMBER: u32 = 15;

/// The flag of a request whose expected work is valid.
pub const EXPECTED_WORK_FLAG: u8 = 1;
/// The flag of a request that is a client's retry.
pub const CLIENT_RETRY_FLAG: u8 = 2;

/// The value that turns a subscription to endpoint updates on.
pub const SUBSCRIPTION_ON: u8 = 1;

/// The kind of an event record; each variant's comment gives its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCode {
    /// `PEER_DATA`
    PeerMessage,
    /// `VANISHED`
    ClientDisconnected,
    /// `OPENED`
    StreamStarted,
    /// `DIRECTORY`
    EndpointList,
    /// `POWER_ON`
    Start,
    /// `DEADLINE_HIT`
    TimerFired,
    /// `HEALTH`
    HealthCheckEnded,
    /// `DETACH`
    Kill,
    /// `FLEET`
    EndpointUpdate,
    /// `RETURNED`
    AttemptEnded,
    /// `ASK`
    RequestArrived,
}

impl TryFrom<u8> for EventCode {
    type Error = WireProblem;

    fn try_from(code: u8) -> Result<Self, Self::Error> {
        match code {
            1 => Ok(Self::PeerMessage),
            2 => Ok(Self::ClientDisconnected),
            3 => Ok(Self::StreamStarted),
            4 => Ok(Self::EndpointList),
            5 => Ok(Self::Start),
            6 => Ok(Self::TimerFired),
            7 => Ok(Self::HealthCheckEnded),
            8 => Ok(Self::Kill),
            9 => Ok(Self::EndpointUpdate),
            10 => Ok(Self::AttemptEnded),
            11 => Ok(Self::RequestArrived),
            unknown => Err(WireProblem::UnknownEventCode(unknown)),
        }
    }
}

/// The code of an action record; each variant's comment gives its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ActionCode {
    /// `OVERLOAD_REPLY`
    Reject = 65,
    /// `FAIL`
    Fail = 66,
    /// `NOTIFY_ME`
    SetTimer = 68,
    /// `SAY_LOG`
    Log = 69,
    /// `LIST_ALL`
    FetchEndpoints = 71,
    /// `FORWARD`
    SendAttempt = 72,
    /// `KEEP_INFORMED`
    WatchEndpoints = 73,
    /// `HEALTH_CHECK`
    CheckHealth = 74,
    /// `CANCEL`
    CancelAttempt = 75,
    /// `CLOSE_IDLE`
    CloseIdleConnections = 76,
}

/// Returns the outcome of an attempt or a health check. Fails on an unknown code.
pub fn outcome_from_code(code: u16) -> Result<Outcome, WireProblem> {
    match code {
        100 => Ok(Outcome::Ok),
        301 => Ok(Outcome::Error),
        302 => Ok(Outcome::Rejected),
        303 => Ok(Outcome::TimedOut),
        304 => Ok(Outcome::ConnectFailed),
        305 => Ok(Outcome::Reset),
        306 => Ok(Outcome::Cancelled),
        307 => Ok(Outcome::NotSent),
        unknown => Err(WireProblem::UnknownOutcome(unknown)),
    }
}

/// Returns the availability of an endpoint. Fails on an unknown code.
pub fn availability_from_code(code: u8) -> Result<Availability, WireProblem> {
    match code {
        0 => Ok(Availability::Removed),
        1 => Ok(Availability::Ready),
        2 => Ok(Availability::Draining),
        unknown => Err(WireProblem::UnknownAvailability(unknown)),
    }
}

/// Returns the scope of an endpoint update. Fails on an unknown code.
pub fn update_scope_from_code(code: u8) -> Result<UpdateScope, WireProblem> {
    match code {
        0 => Ok(UpdateScope::Failed),
        1 => Ok(UpdateScope::Snapshot),
        2 => Ok(UpdateScope::Cached),
        3 => Ok(UpdateScope::Delta),
        unknown => Err(WireProblem::UnknownScope(unknown)),
    }
}
