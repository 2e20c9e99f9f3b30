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
    /// Follows a watch from a revision until it ends; a message on `asks` makes it request the progress.
    pub(super) async fn follow_watch(
        &self,
        session: u64,
        from: i64,
        asks: async_channel::Receiver<()>,
    ) {
        if let Err(fault) = self.try_follow(session, from, &asks).await
            && self.is_in_session(session)
        {
            self.session_failed(session, &fault);
        }
    }

    async fn try_follow(
        &self,
        session: u64,
        from: i64,
        asks: &async_channel::Receiver<()>,
    ) -> Result<(), ClientError> {
        let prefix = self.core.borrow().keyspace().entries().start;
        let mut watch = Watch::new(prefix, from);
        let mut both: BidirectionalStream<WatchResponse> = self
            .client
            .open_stream(WATCH, &watch.request(), self.settings.request_timeout)
            .await?;
        let mut is_quiet = false;
        loop {
            let received = self.client.traffic().received();
            let next = async { Some(both.next().await) };
            let asked = async {
                // The channel stays open as long as the watch is wanted.
                let _ = asks.recv().await;
                None
            };
            let half = self.settings.request_timeout / 2;
            let next =
                orchidtally_socket_io::with_timeout(half, futures_lite::future::or(next, asked))
                    .await;
            if !self.is_in_session(session) {
                return Ok(());
            }
            match next {
                Some(Some(response)) => {
                    is_quiet = false;
                    if !self.on_watch_events(watch.on_response(response?)) {
                        return Ok(());
                    }
                }
                Some(None) => both.send(&progress_request())?,
                // Other responses on the connection show that the store is reachable as well.
                None if self.client.traffic().received() > received => is_quiet = false,
                None if is_quiet => return Err(ClientError::TimedOut),
                None => {
                    is_quiet = true;
                    both.send(&progress_request())?;
                }
            }
        }
    }

    /// Passes events of the watch to the state machine; returns `false` if the watch has ended.
    fn on_watch_events(&self, events: Vec<WatchEvent>) -> bool {
        for event in events {
            match event {
                WatchEvent::Created => {}
                WatchEvent::Events { header: of, events } => {
                    let changes = events.into_iter().filter_map(change).collect();
                    let batch = WatchBatch {
                        header: header(Some(&of)),
                        changes,
                        complete: true,
                    };
                    self.feed(|core, now| core.on_watch_batch(now, batch));
                }
                WatchEvent::Progress { header: of, .. } => {
                    self.feed(|core, now| core.on_watch_progress(now, header(Some(&of))));
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
