//! Texts that tests search for in the log of the proxy.

/// Field name in front of the address at which the proxy listens.
pub const LISTEN_FIELD: &str = "listen=";
/// Logged when the configuration file cannot be read again or is invalid.
pub const CONFIGURATION_REJECTED: &str = "configuration reload failed";
/// Logged when the configuration file has been read again.
pub const CONFIGURATION_RELOADED: &str = "configuration reloaded";
/// Logged when a call to discovery has timed out.
pub const CALL_TIMED_OUT: &str = "given up";
/// Logged when a call to discovery has had no response in time, but is still open.
pub const CALL_OVERDUE: &str = "no response from discovery yet";
/// Logged when a call to discovery has failed.
pub const CALL_FAILED: &str = "call to discovery failed";
