//! The limit on ejected upstreams, which outlier detection and the weights share.

/// Maximum share of the upstreams in the subset that may be ejected at the same time. If more upstreams seem
/// unhealthy, the cause lies outside the upstreams.
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.6;
