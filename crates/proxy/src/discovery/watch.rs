//! The watch: a response of discovery that never ends, in which it sends each change of the endpoint list.

use crate::discovery::call::DiscoveryResponse;
use crate::discovery::client::{Discovery, FirstListProgress, LIST_PATH, MAX_LIST_BYTES};
use crate::discovery::endpoint_list::WatchEvent;
use crate::discovery::error::DiscoveryError;
use crate::discovery::json_stream::{JsonStream, StreamItem};
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A watch without a message for this long has failed, whatever the state of its connection: discovery sends
/// at least an empty line every 2 s. A change counts as delivered (see [`discovery`](crate::discovery)) at
/// the latest 6 s after the watch fell silent, which leaves time to find out, to find the same of the next
/// watch, and to begin a third.
pub(super) const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

impl Discovery {
    /// Watches the endpoint list from the version in use on, until the watch ends or fails, which is logged.
    /// Each update that comes is passed to `deliver`.
    pub async fn watch(&self, deliver: impl FnMut(WatchEvent)) {
        let result = self.receive_updates(deliver).await;
        self.metrics.watches_ended.inc();
        match result {
            Ok(()) => tracing::info!(version = self.version(), "watch ended by discovery"),
            Err(e) => self.log.warn(|skipped| {
                tracing::warn!(skipped, version = self.version(), error = %e, "watch ended with an error");
            }),
        }
    }

    async fn receive_updates(&self, mut deliver: impl FnMut(WatchEvent)) -> Result<(), DiscoveryError> {
        let target = format!("{LIST_PATH}?stream=1&index={}", self.version());
        let DiscoveryResponse { connection: _connection, mut body } = self.caller.call(&target).await?;
        self.advance_progress(FirstListProgress::Receiving);
        let mut messages = JsonStream::new(MAX_LIST_BYTES);
        let mut last_message_at = Instant::now();
        loop {
            let silent_at = last_message_at + WATCH_SILENCE_TIMEOUT;
            let received =
                timeout_at(silent_at, body.frame()).await.map_err(|_| DiscoveryError::WatchSilent)?;
            let Some(frame) = received else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            self.advance_progress(FirstListProgress::Receiving);
            let was_within_object = messages.is_within_object();
            messages.push(&data);
            let received_message = self
                .deliver_complete_messages(&mut messages, &mut deliver)
                // An unreadable message may have been a drain.
                .inspect_err(|_| self.discard_version())?;
            // The beginning of a list counts as a message: a long list has the full timeout from there.
            let list_began = messages.is_within_object() && !was_within_object;
            if received_message || list_began {
                last_message_at = Instant::now();
            }
        }
    }

    /// Delivers all lists that are complete. Returns whether a message has come: a list or an empty line.
    fn deliver_complete_messages(
        &self,
        messages: &mut JsonStream,
        deliver: &mut impl FnMut(WatchEvent),
    ) -> Result<bool, DiscoveryError> {
        let mut received_message = false;
        while let Some(item) = messages.next_item()? {
            received_message = true;
            if let StreamItem::Object(text) = item {
                deliver(self.read(&text)?);
                self.advance_progress(FirstListProgress::Received);
            }
        }
        Ok(received_message)
    }
}
