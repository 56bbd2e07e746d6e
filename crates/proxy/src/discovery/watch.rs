//! The watch: a response without an end in which discovery sends each change to the endpoint list.

use crate::discovery::call::DiscoveryResponse;
use crate::discovery::client::{DiscoveryClient, FirstListProgress, LIST_PATH, MAX_LIST_BYTES};
use crate::discovery::endpoint_list::EndpointUpdate;
use crate::discovery::error::DiscoveryError;
use crate::discovery::json_stream::{JsonSplitter, StreamItem};
use crate::discovery::open_watches::{OpenWatches, WatchId};
use crate::discovery::transfer::{SILENCE_TIMEOUT, Transfer};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

impl DiscoveryClient {
    /// Watches the endpoint list from the version in use onwards and passes each update to `deliver`. Returns
    /// once the call has failed or the watch has ended, and logs how. Where the balancer starts watches, it is
    /// told by [`UpdateScope::Failed`](balancer_core::UpdateScope::Failed) that it needs another one.
    pub async fn watch(&self, id: WatchId, mut deliver: impl FnMut(EndpointUpdate)) {
        let target = format!("{LIST_PATH}?stream=1&index={}", self.version());
        match self.call_for_watch(id, &target, &mut deliver).await {
            Ok(response) => {
                self.update_watches(|watches| watches.record_response(id));
                let result = self.receive_updates(id, response, &mut deliver).await;
                self.record_end(&result);
            }
            Err(error) => {
                if !self.update_watches(|watches| watches.is_overdue(id)) {
                    self.metrics.discovery_calls_failed.inc();
                }
                self.log.warn(|skipped| tracing::warn!(skipped, %error, "call to discovery failed"));
            }
        }
        self.remove_watch(id, &mut deliver);
    }

    fn record_end(&self, result: &Result<(), DiscoveryError>) {
        self.metrics.watches_ended.inc();
        let version = self.version();
        match result {
            Ok(()) => tracing::info!(version, "watch ended by discovery"),
            Err(error) => self.log.warn(|skipped| {
                tracing::warn!(skipped, version, %error, "watch ended with an error");
            }),
        }
    }

    async fn receive_updates(
        &self,
        id: WatchId,
        response: DiscoveryResponse,
        deliver: &mut impl FnMut(EndpointUpdate),
    ) -> Result<(), DiscoveryError> {
        let DiscoveryResponse { connection: _connection, mut body } = response;
        self.advance_first_list_progress(FirstListProgress::Receiving);
        let mut messages = JsonSplitter::new(MAX_LIST_BYTES);
        let mut last_message_at = Instant::now();
        let mut has_data = false;
        // Times the list that has arrived only in part; `None` between two messages.
        let mut transfer: Option<Transfer> = None;
        loop {
            let deadline = transfer.map_or(last_message_at + SILENCE_TIMEOUT, |transfer| transfer.deadline());
            let received = match timeout_at(deadline, body.frame()).await {
                Ok(received) => received,
                Err(_) if has_data => return Err(DiscoveryError::WatchTimeout),
                // A slow discovery may send its first list late, like the head of its response.
                Err(_) => {
                    self.record_silence(id, deliver);
                    body.frame().await
                }
            };
            let Some(frame) = received else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            has_data = true;
            self.update_watches(|watches| watches.record_data(id));
            self.advance_first_list_progress(FirstListProgress::Receiving);
            messages.push(&data);
            let received_message = self
                .deliver_complete_messages(&mut messages, deliver)
                // The unreadable message may have announced a drain, so the next watch needs the whole list.
                .inspect_err(|_| self.discard_version())?;
            if received_message {
                last_message_at = Instant::now();
                transfer = None;
            }
            if messages.is_within_object() {
                match &mut transfer {
                    Some(transfer) => transfer.record(data.len()),
                    None => transfer = Some(Transfer::start(data.len())),
                }
            }
        }
    }

    /// Delivers all updates that have arrived completely. Returns whether there was any message: an update or
    /// a line end.
    fn deliver_complete_messages(
        &self,
        messages: &mut JsonSplitter,
        deliver: &mut impl FnMut(EndpointUpdate),
    ) -> Result<bool, DiscoveryError> {
        let mut received_message = false;
        while let Some(item) = messages.next_item()? {
            received_message = true;
            if let StreamItem::Object(json) = item {
                deliver(self.read_received(&json)?);
                self.update_watches(OpenWatches::record_update);
                self.advance_first_list_progress(FirstListProgress::Received);
            }
        }
        Ok(received_message)
    }
}
