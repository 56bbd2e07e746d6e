//! The watch: a response of discovery that never ends, in which it sends each change of the endpoint list.

use crate::discovery::call::DiscoveryResponse;
use crate::discovery::client::{Discovery, FirstListProgress, LIST_PATH, MAX_LIST_BYTES};
use crate::discovery::endpoint_list::WatchEvent;
use crate::discovery::error::DiscoveryError;
use crate::discovery::json_stream::{JsonStream, StreamItem};
use crate::discovery::transfer::{SILENCE_TIMEOUT, Transfer};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

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
        // The list that has begun to arrive.
        let mut transfer: Option<Transfer> = None;
        loop {
            let gives_up_at =
                transfer.map_or(last_message_at + SILENCE_TIMEOUT, |transfer| transfer.gives_up_at());
            let received =
                timeout_at(gives_up_at, body.frame()).await.map_err(|_| DiscoveryError::WatchSilent)?;
            let Some(frame) = received else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            self.advance_progress(FirstListProgress::Receiving);
            messages.push(&data);
            let received_message = self
                .deliver_complete_messages(&mut messages, &mut deliver)
                // An unreadable message may have been a drain.
                .inspect_err(|_| self.discard_version())?;
            if received_message {
                last_message_at = Instant::now();
                transfer = None;
            }
            if messages.is_within_object() {
                match &mut transfer {
                    Some(transfer) => transfer.record(data.len()),
                    None => transfer = Some(Transfer::begin(data.len())),
                }
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
