//! How many upstreams may be ejected, which outlier detection and the weights both go by.

/// Share of the upstreams in rotation that may be ejected: when more seem unhealthy, the fault lies
/// elsewhere.
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.6;
