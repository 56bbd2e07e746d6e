//! Counts of requests in time windows.

use std::time::Duration;

/// The requests in the window that begins with one of them.
pub struct Window {
    /// When the first request of the window was sent.
    pub begins_at: Duration,
    /// How many requests the window has.
    pub requests: f64,
}

/// One window for each request, by the times at which they were sent, in ascending order.
pub struct WindowCounts<'a> {
    sent: &'a [Duration],
    length: Duration,
}

impl<'a> WindowCounts<'a> {
    /// Windows of this length.
    pub fn new(sent: &'a [Duration], length: Duration) -> Self {
        Self { sent, length }
    }
}

impl Iterator for WindowCounts<'_> {
    type Item = Window;

    fn next(&mut self) -> Option<Window> {
        let (begins_at, later) = self.sent.split_first()?;
        let ends_at = *begins_at + self.length;
        let requests = self.sent.iter().take_while(|sent_at| **sent_at < ends_at).count() as f64;
        self.sent = later;
        Some(Window { begins_at: *begins_at, requests })
    }
}
