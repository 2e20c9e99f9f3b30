//! What a stream of watches sends: events, progress, and the end of a watch that a compaction has overtaken.

use super::{ALL_WATCHES, Watch, WatchStream};
use crate::etcd::exchange::Broken;
use crate::etcd::history::revision_of;
use crate::etcd::store::{View, check_watchable};
use orchidtally_etcd::grpc::encode_frame;
use orchidtally_etcd::rpc::{Event, WatchResponse};

/// Events in one part of a fragmented answer.
const EVENTS_PER_FRAGMENT: usize = 50;
/// Events in one answer, unless a single revision has more.
const EVENTS_PER_ANSWER: usize = 1_000;

impl WatchStream<'_> {
    /// Sends all that is due: events, ends of watches, and progress.
    pub(super) async fn deliver(&mut self) -> Result<(), Broken> {
        let server = self.server;
        server
            .stage
            .sleep(server.faults.stalled.ends_at() - server.stage.now())
            .await;
        let mut at = 0;
        while at < self.watches.len() {
            if self.deliver_events(at).await? {
                at += 1;
            }
        }
        self.deliver_progress().await
    }

    /// Sends what a watch has to hear; tells whether it goes on.
    async fn deliver_events(&mut self, at: usize) -> Result<bool, Broken> {
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
                self.send_late(ended).await?;
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

    /// Whether a script wants the events that are due for this client to be lost, once.
    fn loses_events(&self) -> bool {
        let mut unlucky = self.server.faults.loses_events_of.borrow_mut();
        let is_unlucky = unlucky.as_ref() == Some(&self.caller.agent);
        if is_unlucky {
            *unlucky = None;
        }
        is_unlucky
    }

    /// The next events of a watch, with whole revisions.
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
    ) -> Result<(), Broken> {
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
            self.send_late(WatchResponse {
                fragment,
                events: part.to_vec(),
                ..response
            })
            .await?;
        }
        self.watches[at].answered_at = self.server.stage.now();
        Ok(())
    }

    /// Tells how far watches have heard, which may be less than the member sees by now.
    async fn deliver_progress(&mut self) -> Result<(), Broken> {
        if std::mem::take(&mut self.is_progress_asked)
            && let Some(received) = self.watches.iter().map(|watch| watch.next - 1).min()
        {
            self.send_progress(ALL_WATCHES, received).await?;
            let now = self.server.stage.now();
            self.watches
                .iter_mut()
                .for_each(|watch| watch.answered_at = now);
        }
        let interval = self.server.timing.progress_interval.get();
        for at in 0..self.watches.len() {
            let now = self.server.stage.now();
            let watch = &mut self.watches[at];
            if !watch.wants_progress || now < watch.answered_at + interval {
                continue;
            }
            watch.answered_at = now;
            let (id, received) = (watch.id, watch.next - 1);
            // One that waits for a revision to come has no progress yet.
            if received <= self.view().revision {
                self.send_progress(id, received).await?;
            }
        }
        Ok(())
    }

    async fn send_progress(&mut self, id: i64, received: i64) -> Result<(), Broken> {
        self.server.count(self.caller.member, |exchanges| {
            exchanges.progress_answers += 1
        });
        let view = self.view();
        let view = View {
            revision: view.revision.min(received),
            ..view
        };
        let response = self.response(id, view);
        self.send_late(response).await
    }

    /// Sends an answer after what the script's faults make it wait for.
    async fn send_late(&mut self, response: WatchResponse) -> Result<(), Broken> {
        response
            .events
            .iter()
            .for_each(|event| self.server.tell(&self.caller.agent, event));
        self.server.wait_for_faults().await?;
        self.send(response).await
    }

    /// Sends an answer as the client's window allows it.
    pub(super) async fn send(&mut self, response: WatchResponse) -> Result<(), Broken> {
        let mut bytes = encode_frame(&response);
        while !bytes.is_empty() {
            self.out.reserve_capacity(bytes.len());
            let mut capacity = self.out.capacity();
            if capacity == 0 {
                let grown = std::future::poll_fn(|cx| self.out.poll_capacity(cx)).await;
                capacity = grown.ok_or(Broken)?.map_err(|_| Broken)?;
            }
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.out.send_data(part, false).map_err(|_| Broken)?;
        }
        Ok(())
    }
}
