//! A watch stream on a member. It delivers the events that the member sees and progress notifications, and cancels
//! watches whose next revision has been compacted.

mod delivery;

use super::MAX_REQUEST_BYTES;
use super::counters::OpenGuard;
use super::exchange::{Caller, ConnectionClosed, next_chunk};
use super::history::KeyRange;
use super::server::EtcdServer;
use super::store::View;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use orchidtally_etcd::grpc::{Status, UNAVAILABLE, decode_frame, trailers};
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;

/// The watch id of a response that concerns no single watch, such as the progress of all watches on a stream.
const ALL_WATCHES: i64 = -1;
/// The time that each open watch adds to the batching of changes, in seconds: about the cost of serving one watch.
/// Without it, thousands of watches on a single thread would each be served for every single change in a burst.
const BATCH_TIME_PER_WATCH: f64 = 50e-6;
/// The timer interval of a stream without watches that want progress notifications, in seconds.
const IDLE_TIME: f64 = 3_600.0;

struct Watch {
    id: i64,
    range: KeyRange,
    /// The first revision that has not been examined yet.
    next: i64,
    is_fragmented: bool,
    wants_progress: bool,
    /// When the last response was sent, in seconds.
    answered_at: f64,
}

/// The event that wakes a watch stream.
enum Wake {
    Bytes(Option<Bytes>),
    Changed,
    TimerExpired,
}

struct WatchStream<'a> {
    server: &'a EtcdServer,
    caller: Caller,
    out: h2::SendStream<Bytes>,
    watches: Vec<Watch>,
    open: Vec<OpenGuard<'a>>,
    next_id: i64,
    is_progress_requested: bool,
    /// When the stream first saw the member without a leader.
    leaderless_since: Option<f64>,
}

impl EtcdServer {
    /// Serves a watch stream until the client ends it, the connection fails, or a required leader is missing for
    /// `Timing::leaderless_time`.
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
            is_progress_requested: false,
            leaderless_since: None,
        };
        loop {
            let changed = self.store.borrow().next_change();
            if stream.has_lost_leader() {
                let message = "etcdserver: no leader".to_owned();
                // Fails if the client has disconnected.
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
                self.environment
                    .sleep(stream.next_progress_in().min(stream.leaderless_time_left()))
                    .await;
                Wake::TimerExpired
            };
            match future::or(read, future::or(change, timer)).await {
                Wake::Bytes(None) => return,
                Wake::Bytes(Some(chunk)) => {
                    bytes.extend_from_slice(&chunk);
                    if stream.handle_requests(&mut bytes).await.is_err() {
                        return;
                    }
                }
                Wake::Changed => self.environment.sleep(self.batch_time()).await,
                Wake::TimerExpired => {}
            }
        }
    }

    /// How long changes are batched before watches are served, in seconds.
    fn batch_time(&self) -> f64 {
        let open: u64 = self
            .counters
            .iter()
            .map(|counters| counters.watches_open.get())
            .sum();
        self.timing.watch_batch_time.get() + BATCH_TIME_PER_WATCH * open as f64
    }
}

impl WatchStream<'_> {
    fn view(&self) -> View {
        self.server.view(self.caller.member)
    }

    fn response(&self, id: i64, view: View) -> WatchResponse {
        self.server.set_responder(self.caller.member);
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
        self.leaderless_since
            .get_or_insert(self.server.environment.now());
        self.leaderless_time_left() <= 0.0
    }

    /// The time until the stream is ended because the member has no leader, in seconds.
    fn leaderless_time_left(&self) -> f64 {
        let time = self.server.timing.leaderless_time.get();
        self.leaderless_since
            .map_or(IDLE_TIME, |at| at + time - self.server.environment.now())
    }

    /// The time until the next progress notification is due, in seconds.
    fn next_progress_in(&self) -> f64 {
        let now = self.server.environment.now();
        let interval = self.server.timing.progress_interval.get();
        let waiting = self.watches.iter().filter(|w| w.wants_progress);
        waiting
            .map(|w| w.answered_at + interval - now)
            .fold(IDLE_TIME, f64::min)
            .max(0.0)
    }

    async fn handle_requests(&mut self, bytes: &mut BytesMut) -> Result<(), ConnectionClosed> {
        while let Some(request) =
            decode_frame::<WatchRequest>(bytes, MAX_REQUEST_BYTES).map_err(|_| ConnectionClosed)?
        {
            match request.request_union {
                Some(RequestUnion::CreateRequest(create)) => self.create(create).await?,
                Some(RequestUnion::CancelRequest(cancel)) => self.cancel(cancel.watch_id).await?,
                Some(RequestUnion::ProgressRequest(_)) => {
                    self.server.count(self.caller.member, |exchanges| {
                        exchanges.progress_requests += 1
                    });
                    self.is_progress_requested = true;
                }
                None => return Err(ConnectionClosed),
            }
        }
        Ok(())
    }

    async fn create(&mut self, create: WatchCreateRequest) -> Result<(), ConnectionClosed> {
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
            answered_at: self.server.environment.now(),
        });
        self.open
            .push(OpenGuard::new(&self.server.counters[member].watches_open));
        self.send(WatchResponse {
            created: true,
            ..self.response(id, view)
        })
        .await
    }

    async fn cancel(&mut self, id: i64) -> Result<(), ConnectionClosed> {
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
}
