//! Service discovery: reads the endpoint list and follows its changes by a watch.
//!
//! A change of the list *counts as delivered* from the moment at which this balancer is held to know of it (and so to
//! send nothing new to an upstream that drains, for instance), even if this process has not read it:
//!
//! - Where discovery pushes its list to an agent on this machine (`Settings::starts_watches` is `false`): once the agent
//!   has the change, whether or not a watch is open. After a move of discovery by SIGHUP, 4 s later.
//! - Elsewhere: once discovery has written the change to this balancer. Without a watch, a balancer that has not called
//!   for `Settings::poll_interval` (longer after a failed call) is also held to know what was listed that long ago.
//! - In both cases at the latest 6 s after the watch that misses it fell silent, and at the latest 6 s after discovery
//!   had the change and could be reached.

pub mod backoff;
mod call;
pub mod client;
pub mod endpoint_list;
mod error;
mod json_stream;
mod transfer;
mod watch;
