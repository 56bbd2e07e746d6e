//! Service discovery: reads the endpoint list and follows its changes by a watch.
//!
//! Each call to discovery starts either a *fetch*, whose response is the whole list, or a *watch*, whose
//! response has no end and carries each change to the list.
//!
//! A change to the list *counts as delivered* from the moment at which this proxy is expected to know of it
//! and to act on it (for instance, to send nothing new to a draining upstream), even if the proxy has not
//! read it yet. That moment depends on how discovery distributes its list:
//!
//! - Where discovery pushes its list to an agent on this machine
//!   ([`Settings::starts_watches`](balancer_core::Settings::starts_watches) is `false`), a change counts as
//!   delivered once the agent has it, whether or not a watch is open. After a SIGHUP that moves discovery to
//!   another address, a change counts as delivered 4 s later.
//! - Elsewhere, a change counts as delivered once discovery has written it to this proxy. A proxy that has no
//!   watch and has made no call within the last
//!   [`Settings::poll_interval`](balancer_core::Settings::poll_interval) (or a longer time after a failed
//!   call) is also expected to know the list as it was that long ago.
//! - In both cases, a change counts as delivered at the latest 6 s after the watch that misses it fell
//!   silent, and at the latest 6 s after discovery had the change and could be reached.

pub mod backoff;
mod call;
pub mod client;
pub mod endpoint_list;
mod error;
mod json_stream;
pub mod open_watches;
mod transfer;
mod watch;
mod watch_calls;
