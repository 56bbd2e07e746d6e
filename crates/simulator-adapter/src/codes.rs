//! Numeric codes of the wire format. Events and actions have separate code spaces.

use crate::error::WireProblem;
use balancer_core::{Availability, Outcome, UpdateScope};

/// The maximum number that an endpoint list can have. Numbers start at 0.
pub const MAX_LIST_NUMBER: u32 = 15;

/// Flag bit of a request: its work hint, which states the expected work, is valid.
pub const WORK_HINT_FLAG: u8 = 1;
/// Flag bit of a request: it is a retry by the client.
pub const CLIENT_RETRY_FLAG: u8 = 2;

/// The value of a `KEEP_INFORMED` action that turns the subscription to endpoint updates on.
pub const SUBSCRIPTION_ON: u8 = 1;

/// The kind of an event record. The comment on each variant starts with the event's name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCode {
    /// Wire name `PEER_DATA`: another instance sent a message.
    PeerMessage,
    /// Wire name `VANISHED`: the client of a request disconnected.
    ClientDisconnected,
    /// Wire name `OPENED`: a streamed response started.
    StreamStarted,
    /// Wire name `DIRECTORY`: defines a numbered endpoint list, to which endpoint updates refer.
    EndpointList,
    /// Wire name `POWER_ON`: starts an instance.
    Start,
    /// Wire name `DEADLINE_HIT`: a timer fired.
    TimerFired,
    /// Wire name `HEALTH`: a health check ended.
    HealthCheckEnded,
    /// Wire name `DETACH`: kills an instance.
    Kill,
    /// Wire name `FLEET`: an update of the endpoint list arrived, or a call to discovery or a watch failed.
    EndpointUpdate,
    /// Wire name `RETURNED`: an attempt ended.
    AttemptEnded,
    /// Wire name `ASK`: a client sent a request.
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

/// The code of an action record. The comment on each variant starts with the action's name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ActionCode {
    /// Wire name `OVERLOAD_REPLY`: rejects a request that the client can safely send again.
    Reject = 65,
    /// Wire name `FAIL`: fails a request that may have been executed.
    Fail = 66,
    /// Wire name `NOTIFY_ME`: sets a timer.
    SetTimer = 68,
    /// Wire name `SAY_LOG`: writes a log line.
    Log = 69,
    /// Wire name `LIST_ALL`: fetches the endpoint list once.
    FetchEndpoints = 71,
    /// Wire name `FORWARD`: sends an attempt to an upstream.
    SendAttempt = 72,
    /// Wire name `KEEP_INFORMED`: starts a watch of the endpoint list.
    WatchEndpoints = 73,
    /// Wire name `HEALTH_CHECK`: checks the health of an upstream.
    CheckHealth = 74,
    /// Wire name `CANCEL`: cancels an attempt.
    CancelAttempt = 75,
    /// Wire name `CLOSE_IDLE`: closes the idle connections to an upstream.
    CloseIdleConnections = 76,
}

/// Returns the outcome of an attempt or a health check, or an error if the code is unknown.
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

/// Returns the availability of an endpoint, or an error if the code is unknown.
pub fn availability_from_code(code: u8) -> Result<Availability, WireProblem> {
    match code {
        0 => Ok(Availability::Removed),
        1 => Ok(Availability::Ready),
        2 => Ok(Availability::Draining),
        unknown => Err(WireProblem::UnknownAvailability(unknown)),
    }
}

/// Returns the scope of an endpoint update, or an error if the code is unknown.
pub fn update_scope_from_code(code: u8) -> Result<UpdateScope, WireProblem> {
    match code {
        0 => Ok(UpdateScope::Failed),
        1 => Ok(UpdateScope::Snapshot),
        2 => Ok(UpdateScope::Cached),
        3 => Ok(UpdateScope::Delta),
        unknown => Err(WireProblem::UnknownScope(unknown)),
    }
}
