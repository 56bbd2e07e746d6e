//! Identifiers of requests, attempts, upstreams, timers and the groups that requests and upstreams belong to.

/// Identifier of a client's request. The embedder must not reuse it while the balancer may still hold state
/// for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// Identifier of an upstream, a server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Index of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// Identifier of a zone, which is a failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);

/// Identifier of a hardware model. Upstreams on the same hardware perform alike.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HardwareId(pub u16);

/// Identifier of a cell, a small group of upstreams that share their record of idempotency keys.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);

/// Index of an attempt among the attempts of its request, in the order of the
/// [`Action::SendAttempt`](crate::Action::SendAttempt) actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptIndex(pub u8);

/// Identifier of a timer that [`Action::SetTimer`](crate::Action::SetTimer) sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);
