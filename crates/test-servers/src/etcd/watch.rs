//! A stream of watches on a member: events up to what the member sees, progress when it is asked for or wanted, and
//! the end of a watch that a compaction has overtaken.

use super::MAX_REQUEST_BYTES;
use super::counters::Open;
use super::exchange::{Broken, Caller, next_chunk};
use super::history::{KeyRange, revision_of};
use super::server::EtcdServer;
use super::store::{View, check_watchable};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use orchidtally_etcd::grpc::{Status, UNAVAILABLE, decode_frame, encode_frame, trailers};
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;

/// Events in one part of a fragmented answer.
const EVENTS_PER_FRAGMENT: usize = 50;
/// Events in one answer, unless a single revision has more.
const EVENTS_PER_ANSWER: usize = 1_000;
/// The id of an answer that tells the progress of all watches on the stream.
const ALL_WATCHES: i64 = -1;
/// For each watch that is open, changes are gathered so much longer, in seconds: about what it takes to serve one. Else
/// thousands of watches, all served on one thread, would each be served for every single change of a burst.
const GATHERING_PER_WATCH: f64 = 50e-6;
/// A stream without watches that want progress looks up so often, in seconds.
const IDLE_TIME: f64 = 3_600.0;

struct Watch {
    id: i64,
    range: KeyRange,
    /// The first revision that was not looked at yet.
    next: i64,
    is_fragmented: bool,
    wants_progress: bool,
    /// When it was answered last, in seconds.
    answered_at: f64,
}

/// What comes to a stream of watches.
enum Wake {
    Bytes(Option<Bytes>),
    Changed,
    TimeOver,
}

struct WatchStream<'a> {
    server: &'a EtcdServer,
    caller: Caller,
    out: h2::SendStream<Bytes>,
    watches: Vec<Watch>,
    open: Vec<Open<'a>>,
    next_id: i64,
    is_progress_asked: bool,
    /// Since when the member has been without a leader.
    leaderless_since: Option<f64>,
}

impl EtcdServer {
    /// Serves the watches of a stream until its client ends it.
    pub(super) async fn serve_watches(
        &self,
        caller: Caller,
        mut body: h2::RecvStream,
        out: h2::SendStream<Bytes>,
    ) {
        let mut bytes = BytesMut::new();
        let mut stream = WatchStream {
            server: self,
            caller,
            out,
            watches: vec![],
            open: vec![],
            next_id: 1,
            is_progress_asked: false,
            leaderless_since: None,
        };
        loop {
            let changed = self.store.borrow().next_change();
            if stream.has_lost_leader() {
                let message = "etcdserver: no leader".to_owned();
                // The client may have gone.
                let _ = stream.out.send_trailers(trailers(&Status {
                    code: UNAVAILABLE,
                    message,
                }));
                return;
            }
            if stream.deliver().await.is_err() {
                return;
            }
            let read = async { Wake::Bytes(next_chunk(&mut body).await) };
            let change = async {
                changed.await;
                Wake::Changed
            };
            let timer = async {
                self.stage
                    .sleep(stream.next_progress_in().min(stream.leaderless_time_left()))
                    .await;
                Wake::TimeOver
            };
            match future::or(read, future::or(change, timer)).await {
                Wake::Bytes(None) => return,
                Wake::Bytes(Some(chunk)) => {
                    bytes.extend_from_slice(&chunk);
                    if stream.take_requests(&mut bytes).await.is_err() {
                        return;
                    }
                }
                Wake::Changed => self.stage.sleep(self.gathering_time()).await,
                Wake::TimeOver => {}
            }
        }
    }
}

impl EtcdServer {
    /// For how long changes are gathered before watches are served, in seconds.
    fn gathering_time(&self) -> f64 {
        let open: u64 = self
            .counters
            .iter()
            .map(|counters| counters.watches_open.get())
            .sum();
        self.timing.watch_batch_time.get() + GATHERING_PER_WATCH * open as f64
    }
}

impl WatchStream<'_> {
    fn view(&self) -> View {
        self.server.view(self.caller.member)
    }

    fn response(&self, id: i64, view: View) -> WatchResponse {
        self.server.answer_as(self.caller.member);
        let header = self.server.store.borrow().header_of(view);
        WatchResponse {
            header,
            watch_id: id,
            ..WatchResponse::default()
        }
    }

    /// Whether the client requires a leader and the member has had none for too long.
    fn has_lost_leader(&mut self) -> bool {
        if !self.caller.requires_leader || self.server.has_leader(self.caller.member) {
            self.leaderless_since = None;
            return false;
        }
        self.leaderless_since.get_or_insert(self.server.stage.now());
        self.leaderless_time_left() <= 0.0
    }

    /// Until the stream is ended for want of a leader, in seconds.
    fn leaderless_time_left(&self) -> f64 {
        let time = self.server.timing.leaderless_time.get();
        self.leaderless_since
            .map_or(IDLE_TIME, |since| since + time - self.server.stage.now())
    }

    /// Until a watch is told of progress, in seconds.
    fn next_progress_in(&self) -> f64 {
        let now = self.server.stage.now();
        let interval = self.server.timing.progress_interval.get();
        let waiting = self.watches.iter().filter(|w| w.wants_progress);
        waiting
            .map(|w| w.answered_at + interval - now)
            .fold(IDLE_TIME, f64::min)
            .max(0.0)
    }

    async fn take_requests(&mut self, bytes: &mut BytesMut) -> Result<(), Broken> {
        while let Some(request) =
            decode_frame::<WatchRequest>(bytes, MAX_REQUEST_BYTES).map_err(|_| Broken)?
        {
            match request.request_union {
                Some(RequestUnion::CreateRequest(create)) => self.create(create).await?,
                Some(RequestUnion::CancelRequest(cancel)) => self.cancel(cancel.watch_id).await?,
                Some(RequestUnion::ProgressRequest(_)) => {
                    self.server.count(self.caller.member, |exchanges| {
                        exchanges.progress_requests += 1
                    });
                    self.is_progress_asked = true;
                }
                None => return Err(Broken),
            }
        }
        Ok(())
    }

    async fn create(&mut self, create: WatchCreateRequest) -> Result<(), Broken> {
        let member = self.caller.member;
        self.server
            .count(member, |exchanges| exchanges.watches_created += 1);
        let view = self.view();
        let id = if create.watch_id > 0 {
            create.watch_id
        } else {
            self.next_id
        };
        if self.watches.iter().any(|watch| watch.id == id) {
            let cancel_reason = "mvcc: watch ID already exists".to_owned();
            let refused = self.response(ALL_WATCHES, view);
            return self
                .send(WatchResponse {
                    created: true,
                    canceled: true,
                    cancel_reason,
                    ..refused
                })
                .await;
        }
        self.next_id = self.next_id.max(id + 1);
        let next = if create.start_revision > 0 {
            create.start_revision
        } else {
            view.revision + 1
        };
        self.watches.push(Watch {
            id,
            range: KeyRange::new(&create.key, &create.range_end),
            next,
            is_fragmented: create.fragment,
            wants_progress: create.progress_notify,
            answered_at: self.server.stage.now(),
        });
        self.open
            .push(Open::new(&self.server.counters[member].watches_open));
        self.send(WatchResponse {
            created: true,
            ..self.response(id, view)
        })
        .await
    }

    async fn cancel(&mut self, id: i64) -> Result<(), Broken> {
        let before = self.watches.len();
        self.watches.retain(|watch| watch.id != id);
        if self.watches.len() == before {
            return Ok(());
        }
        self.open.pop();
        self.send(WatchResponse {
            canceled: true,
            ..self.response(id, self.view())
        })
        .await
    }

    /// Sends all that is due: events, ends of watches, and progress.
    async fn deliver(&mut self) -> Result<(), Broken> {
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
    async fn send(&mut self, response: WatchResponse) -> Result<(), Broken> {
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
