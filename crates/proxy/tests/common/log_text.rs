//! Texts by which tests recognize lines of the proxy's log.

/// Precedes the address that the proxy listens at.
pub const LISTEN_FIELD: &str = "listen=";
/// A configuration file could not be read or is invalid.
pub const CONFIGURATION_REJECTED: &str = "configuration reload failed";
/// A configuration file was read again.
pub const CONFIGURATION_RELOADED: &str = "configuration reloaded";
/// A watch has ended.
pub const WATCH_ENDED: &str = "watch ended";
/// A call to discovery took too long.
pub const CALL_TIMED_OUT: &str = "given up";
