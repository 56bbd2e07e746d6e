//! Identifiers of requests, upstreams and the groups they belong to.

/// A client's request. An embedder never reuses one while the balancer may still know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// A server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);

/// Position of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// A failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);

/// A hardware model. Upstreams on the same hardware perform alike.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HardwareId(pub u16);

/// A small set of upstreams that share their record of idempotency keys.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);

/// Position of an attempt among the attempts of its request, in the order of
/// [`Action::SendAttempt`](crate::Action::SendAttempt).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptIndex(pub u8);

/// A timer set by [`Action::SetTimer`](crate::Action::SetTimer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);
