//! What a watch stream sends: events, progress notifications, and cancellations of watches that need compacted
//! revisions.

use super::{ALL_WATCHES, Watch, WatchStream};
use crate::etcd::exchange::ConnectionClosed;
use crate::etcd::history::revision_of;
use crate::etcd::store::{View, check_watchable};
use orchidtally_etcd::grpc::encode_frame;
use orchidtally_etcd::rpc::{Event, WatchResponse};

/// The maximum number of events in a fragment of a response.
const EVENTS_PER_FRAGMENT: usize = 50;
/// The number of events after which a response ends at the next revision boundary.
const EVENTS_PER_ANSWER: usize = 1_000;

impl WatchStream<'_> {
    /// Sends everything that is due: events, cancellations and progress notifications.
    pub(super) async fn deliver(&mut self) -> Result<(), ConnectionClosed> {
        let server = self.server;
        server
            .environment
            .sleep(server.faults.stalled.ends_at() - server.environment.now())
            .await;
        let mut at = 0;
        while at < self.watches.len() {
            if self.deliver_events(at).await? {
                at += 1;
            }
        }
        self.deliver_progress().await
    }

    /// Sends the events that are due for a watch. Returns false if the watch was cancelled because of a compaction.
    async fn deliver_events(&mut self, at: usize) -> Result<bool, ConnectionClosed> {
        loop {
            let view = self.view();
            let watch = &self.watches[at];
            if let Err(least) = check_watchable(watch.next, view) {
                let id = self.watches.remove(at).id;
                self.open.pop();
                let cancel_reason = "mvcc: required revision has been compacted".to_owned();
                let response = self.response(id, view);
                let ended = WatchResponse {
                    canceled: true,
                    compact_revision: least,
                    cancel_reason,
                    ..response
                };
                self.send_after_faults(ended).await?;
                return Ok(false);
            }
            let events = self.due_events(watch, view);
            let Some(last) = events.last().map(revision_of) else {
                let watch = &mut self.watches[at];
                watch.next = watch.next.max(view.revision + 1);
                return Ok(true);
            };
            self.watches[at].next = last + 1;
            if self.loses_events() {
                continue;
            }
            self.send_events(at, events, view).await?;
        }
    }

    /// Whether the events that are due for this client are dropped by an injected fault, which applies once.
    fn loses_events(&self) -> bool {
        let mut affected_client = self.server.faults.loses_events_of.borrow_mut();
        let is_affected = affected_client.as_ref() == Some(&self.caller.agent);
        if is_affected {
            *affected_client = None;
        }
        is_affected
    }

    /// The next events for a watch. The events of one revision are never split between responses.
    fn due_events(&self, watch: &Watch, view: View) -> Vec<Event> {
        let store = self.server.store.borrow();
        let mut due: Vec<Event> = vec![];
        for event in store
            .history
            .events(&watch.range, watch.next, view.revision)
        {
            let begins_revision = due
                .last()
                .is_none_or(|last| revision_of(last) < revision_of(event));
            if due.len() >= EVENTS_PER_ANSWER && begins_revision {
                break;
            }
            due.push(event.clone());
        }
        due
    }

    async fn send_events(
        &mut self,
        at: usize,
        events: Vec<Event>,
        view: View,
    ) -> Result<(), ConnectionClosed> {
        let (id, is_fragmented) = (self.watches[at].id, self.watches[at].is_fragmented);
        let member = self.caller.member;
        self.server.count(member, |exchanges| {
            exchanges.watch_answers += 1;
            exchanges.watch_events += events.len() as u64;
        });
        let part_length = if is_fragmented {
            EVENTS_PER_FRAGMENT
        } else {
            events.len()
        };
        let mut parts = events.chunks(part_length).peekable();
        while let Some(part) = parts.next() {
            let fragment = parts.peek().is_some();
            let response = self.response(id, view);
            self.send_after_faults(WatchResponse {
                fragment,
                events: part.to_vec(),
                ..response
            })
            .await?;
        }
        self.watches[at].answered_at = self.server.environment.now();
        Ok(())
    }

    /// Sends the progress notifications that are due. They report the revision up to which the watches have been
    /// served, which may be lower than the member's.
    async fn deliver_progress(&mut self) -> Result<(), ConnectionClosed> {
        if std::mem::take(&mut self.is_progress_requested)
            && let Some(received) = self.watches.iter().map(|watch| watch.next - 1).min()
        {
            self.send_progress(ALL_WATCHES, received).await?;
            let now = self.server.environment.now();
            self.watches
                .iter_mut()
                .for_each(|watch| watch.answered_at = now);
        }
        let interval = self.server.timing.progress_interval.get();
        for at in 0..self.watches.len() {
            let now = self.server.environment.now();
            let watch = &mut self.watches[at];
            if !watch.wants_progress || now < watch.answered_at + interval {
                continue;
            }
            watch.answered_at = now;
            let (id, received) = (watch.id, watch.next - 1);
            // A watch that starts at a future revision has no progress yet.
            if received <= self.view().revision {
                self.send_progress(id, received).await?;
            }
        }
        Ok(())
    }

    async fn send_progress(&mut self, id: i64, received: i64) -> Result<(), ConnectionClosed> {
        self.server.count(self.caller.member, |exchanges| {
            exchanges.progress_answers += 1
        });
        let view = self.view();
        let view = View {
            revision: view.revision.min(received),
            ..view
        };
        let response = self.response(id, view);
        self.send_after_faults(response).await
    }

    /// Sends a response after the delays of the injected faults.
    async fn send_after_faults(&mut self, response: WatchResponse) -> Result<(), ConnectionClosed> {
        response
            .events
            .iter()
            .for_each(|event| self.server.notify_listener(&self.caller.agent, event));
        self.server.wait_for_faults().await?;
        self.send(response).await
    }

    /// Sends a response as the client's flow-control window permits.
    pub(super) async fn send(&mut self, response: WatchResponse) -> Result<(), ConnectionClosed> {
        let mut bytes = encode_frame(&response);
        while !bytes.is_empty() {
            self.out.reserve_capacity(bytes.len());
            let mut capacity = self.out.capacity();
            if capacity == 0 {
                let grown = std::future::poll_fn(|cx| self.out.poll_capacity(cx)).await;
                capacity = grown
                    .ok_or(ConnectionClosed)?
                    .map_err(|_| ConnectionClosed)?;
            }
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.out
                .send_data(part, false)
                .map_err(|_| ConnectionClosed)?;
        }
        Ok(())
    }
}
