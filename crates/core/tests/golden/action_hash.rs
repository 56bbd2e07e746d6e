//! A hash over the actions of a balancer. Only numbers enter it, never the name of a type.

use balancer_core::{Action, RejectionReason};
use std::time::Duration;

/// FNV-1a over the numbers of the actions.
pub struct ActionHash(pub u64);

impl ActionHash {
    pub fn number(&mut self, number: u64) {
        for byte in number.to_be_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn duration(&mut self, duration: Option<Duration>) {
        self.number(duration.map_or(u64::MAX, |duration| duration.as_nanos() as u64));
    }

    pub fn action(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, upstream, timeout } => {
                self.number(1);
                self.number(u64::from(id.0));
                self.number(upstream.0);
                self.duration(*timeout);
            }
            Action::CancelAttempt { id, attempt } => {
                self.number(2);
                self.number(u64::from(id.0));
                self.number(u64::from(attempt.0));
            }
            Action::Reject { id, retry_after, reason } => {
                self.number(3);
                self.number(u64::from(id.0));
                self.duration(*retry_after);
                self.number(match reason {
                    RejectionReason::OverQuota => 1,
                    RejectionReason::NoUpstream => 2,
                    RejectionReason::NoRetry => 3,
                });
            }
            Action::Fail { id } => {
                self.number(4);
                self.number(u64::from(id.0));
            }
            Action::SetTimer { after, timer } => {
                self.number(5);
                self.duration(Some(*after));
                self.number(u64::from(timer.0));
            }
            Action::WatchEndpoints => self.number(6),
            Action::FetchEndpoints => self.number(7),
            Action::CloseIdleConnections { upstream } => {
                self.number(8);
                self.number(upstream.0);
            }
            Action::CheckHealth { upstream } => {
                self.number(9);
                self.number(upstream.0);
            }
            Action::Log { line } => {
                self.number(10);
                line.bytes().for_each(|byte| self.number(u64::from(byte)));
            }
        }
    }
}
