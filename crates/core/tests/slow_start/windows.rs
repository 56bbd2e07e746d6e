//! Counts the requests in time windows.

use std::time::Duration;

/// A time window that begins with a request, and the number of requests in it.
pub struct Window {
    /// When the first request in the window was sent.
    pub begins_at: Duration,
    /// Number of requests in the window, including the first.
    pub requests: f64,
}

/// Iterator over the windows of a fixed length, one of which begins with each request.
pub struct WindowCounts<'a> {
    /// Times at which the remaining requests were sent, in ascending order.
    sent_at: &'a [Duration],
    length: Duration,
}

impl<'a> WindowCounts<'a> {
    /// Creates an iterator over the windows of this length. `sent_at` has the times at which the requests
    /// were sent, in ascending order.
    pub fn new(sent_at: &'a [Duration], length: Duration) -> Self {
        Self { sent_at, length }
    }
}

impl Iterator for WindowCounts<'_> {
    type Item = Window;

    fn next(&mut self) -> Option<Window> {
        let (begins_at, later) = self.sent_at.split_first()?;
        let ends_at = *begins_at + self.length;
        let requests = self.sent_at.iter().take_while(|time| **time < ends_at).count() as f64;
        self.sent_at = later;
        Some(Window { begins_at: *begins_at, requests })
    }
}
