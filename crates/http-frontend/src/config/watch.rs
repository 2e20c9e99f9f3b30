//! The watch of all entries, and the detection of a silent store.

use super::ConfigTarget;
use super::exchange::header;
use super::host::ConfigHost;
use orchidtally_config_sync::{Change, Schema, WatchBatch};
use orchidtally_etcd::BidirectionalStream;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::{Event, WatchProgressRequest, WatchRequest, WatchResponse, event};
use orchidtally_etcd::{ClientError, WATCH, Watch, WatchEvent};

fn progress_request() -> WatchRequest {
    WatchRequest {
        request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})),
    }
}

fn change(event: Event) -> Option<Change> {
    let is_deleted = event.r#type() == event::EventType::Delete;
    let pair = event.kv?;
    let value = (!is_deleted).then(|| pair.value.to_vec());
    Some(Change {
        key: pair.key.to_vec(),
        value,
        mod_revision: pair.mod_revision,
    })
}

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// Follows a watch from a revision until it ends. A message on `progress_requests` makes it send a progress
    /// request.
    pub(super) async fn follow_watch(
        &self,
        session: u64,
        from_revision: i64,
        progress_requests: async_channel::Receiver<()>,
    ) {
        if let Err(fault) = self
            .follow_until_end(session, from_revision, &progress_requests)
            .await
            && self.is_in_session(session)
        {
            self.on_session_failure(session, &fault);
        }
    }

    async fn follow_until_end(
        &self,
        session: u64,
        from_revision: i64,
        progress_requests: &async_channel::Receiver<()>,
    ) -> Result<(), ClientError> {
        let prefix = self.core.borrow().keyspace().entries().start;
        let mut watch = Watch::new(prefix, from_revision);
        let mut stream: BidirectionalStream<WatchResponse> = self
            .client
            .open_stream(WATCH, &watch.request(), self.settings.request_timeout)
            .await?;
        let mut is_silent = false;
        loop {
            let received = self.client.traffic().received();
            let next = async { Some(stream.next().await) };
            let progress_requested = async {
                // The channel stays open as long as the watch does.
                let _ = progress_requests.recv().await;
                None
            };
            let half_timeout = self.settings.request_timeout / 2;
            let next = orchidtally_socket_io::with_timeout(
                half_timeout,
                futures_lite::future::or(next, progress_requested),
            )
            .await;
            if !self.is_in_session(session) {
                return Ok(());
            }
            match next {
                Some(Some(response)) => {
                    is_silent = false;
                    if !self.on_watch_events(watch.on_response(response?)) {
                        return Ok(());
                    }
                }
                Some(None) => stream.send(&progress_request())?,
                // Other responses on the connection show that the store is reachable as well.
                None if self.client.traffic().received() > received => is_silent = false,
                None if is_silent => return Err(ClientError::TimedOut),
                None => {
                    is_silent = true;
                    stream.send(&progress_request())?;
                }
            }
        }
    }

    /// Passes events of the watch to the state machine; returns `false` if the watch has ended.
    fn on_watch_events(&self, events: Vec<WatchEvent>) -> bool {
        for event in events {
            match event {
                WatchEvent::Created => {}
                WatchEvent::Events {
                    header: batch_header,
                    events,
                } => {
                    let changes = events.into_iter().filter_map(change).collect();
                    let batch = WatchBatch {
                        header: header(Some(&batch_header)),
                        changes,
                        complete: true,
                    };
                    self.feed(|core, now| core.on_watch_batch(now, batch));
                }
                WatchEvent::Progress {
                    header: batch_header,
                    ..
                } => {
                    self.feed(|core, now| core.on_watch_progress(now, header(Some(&batch_header))));
                }
                WatchEvent::Compacted { revision } => {
                    self.feed(|core, now| core.on_watch_compacted(now, revision));
                    return false;
                }
                WatchEvent::Cancelled { reason } => {
                    tracing::debug!(reason, "configuration watch cancelled by the store");
                    self.feed(|core, now| core.on_watch_cancelled(now));
                    return false;
                }
            }
        }
        true
    }
}
