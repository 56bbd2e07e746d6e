//! The limit on ejected upstreams, which outlier detection and the weights share.

/// Largest share of the upstreams that may be ejected at once. If more upstreams seem unhealthy, the cause
/// lies outside the upstreams.
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.6;
