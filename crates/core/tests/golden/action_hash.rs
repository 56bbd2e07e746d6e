//! A hash over the actions of a balancer. It depends on the values in the actions, not on the names of types.

use balancer_core::{Action, RejectionReason};
use std::time::Duration;

/// FNV-1a hash over the values in the actions.
pub struct ActionHash(pub u64);

impl ActionHash {
    /// Adds a number to the hash, as eight bytes in big-endian order.
    pub fn add_number(&mut self, number: u64) {
        for byte in number.to_be_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Adds a duration to the hash, in nanoseconds; `None` counts as the largest number.
    fn add_duration(&mut self, duration: Option<Duration>) {
        self.add_number(duration.map_or(u64::MAX, |duration| duration.as_nanos() as u64));
    }

    /// Adds the kind of an action and its values to the hash.
    pub fn add_action(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => {
                self.add_number(1);
                self.add_number(u64::from(id.0));
                self.add_number(upstream.0);
                self.add_duration(*timeout);
            }
            Action::CancelAttempt { id, attempt } => {
                self.add_number(2);
                self.add_number(u64::from(id.0));
                self.add_number(u64::from(attempt.0));
            }
            Action::Reject { id, retry_after, reason } => {
                self.add_number(3);
                self.add_number(u64::from(id.0));
                self.add_duration(*retry_after);
                self.add_number(match reason {
                    RejectionReason::OverQuota => 1,
                    RejectionReason::NoUpstream => 2,
                    RejectionReason::NoRetry => 3,
                });
            }
            Action::Fail { id } => {
                self.add_number(4);
                self.add_number(u64::from(id.0));
            }
            Action::SetTimer { after, timer } => {
                self.add_number(5);
                self.add_duration(Some(*after));
                self.add_number(u64::from(timer.0));
            }
            Action::WatchEndpoints => self.add_number(6),
            Action::FetchEndpoints => self.add_number(7),
            Action::CloseIdleConnections { upstream } => {
                self.add_number(8);
                self.add_number(upstream.0);
            }
            Action::CheckHealth { upstream } => {
                self.add_number(9);
                self.add_number(upstream.0);
            }
            Action::Log { line } => {
                self.add_number(10);
                line.bytes().for_each(|byte| self.add_number(u64::from(byte)));
            }
        }
    }
}
