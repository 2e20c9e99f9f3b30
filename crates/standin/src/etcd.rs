//! A store that speaks etcd's v3 services KV, Watch and Lease. `Store` is a value that keeps every revision until it is
//! compacted; `Served` has it on sockets, with as many members as wanted, and does wrong where the script says so.

use crate::{Stage, Until};
use bytes::{Bytes, BytesMut};
use orchidtally_etcd::grpc::{
    CONTENT_TYPE, OUT_OF_RANGE, Status, UNAUTHENTICATED, UNAVAILABLE, deframe, frame, trailers,
};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Events in one part of a fragmented answer.
const PART: usize = 50;
const POLL: f64 = 0.005;
/// A watch that hears nothing is told of progress so often.
const PROGRESS: f64 = 0.5;
const INVALID: u32 = 3;
const NOT_FOUND: u32 = 5;

fn refuse<T>(code: u32, message: &str) -> Result<T, Status> {
    Err(Status { code, message: message.into() })
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: f64,
    until: f64,
}

#[derive(Clone, Debug)]
pub struct Store {
    pub cluster: u64,
    pub revision: i64,
    pub compacted: i64,
    /// By key, what it was from each revision on; none where it was deleted.
    history: BTreeMap<Vec<u8>, Vec<(i64, Option<KeyValue>)>>,
    log: Vec<Event>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

fn within(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Store {
    pub fn new(cluster: u64) -> Store {
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            history: BTreeMap::new(),
            log: vec![],
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    pub fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader { cluster_id: self.cluster, member_id: 1, revision: self.revision, raft_term: 1 })
    }

    /// A key as it was at a revision.
    fn at(&self, key: &[u8], revision: i64) -> Option<&KeyValue> {
        self.history.get(key)?.iter().rfind(|v| v.0 <= revision)?.1.as_ref()
    }

    pub fn range(&self, question: &RangeRequest) -> Result<RangeResponse, Status> {
        let revision = if question.revision > 0 { question.revision } else { self.revision };
        if revision < self.compacted {
            return refuse(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted");
        }
        if revision > self.revision {
            return refuse(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision");
        }
        let keys = self.history.keys().filter(|k| within(k, &question.key, &question.range_end));
        let mut kvs: Vec<KeyValue> = keys.filter_map(|k| self.at(k, revision)).cloned().collect();
        let count = kvs.len() as i64;
        let limit = if question.limit > 0 { question.limit as usize } else { usize::MAX };
        let more = kvs.len() > limit;
        kvs.truncate(limit);
        Ok(RangeResponse { header: self.header(), kvs, more, count })
    }

    fn write(&mut self, revision: i64, key: &[u8], kv: Option<KeyValue>) {
        let event = match &kv {
            Some(kv) => Event { r#type: EventType::Put.into(), kv: Some(kv.clone()), prev_kv: None },
            None => {
                let kv = KeyValue { key: key.to_vec().into(), mod_revision: revision, ..KeyValue::default() };
                Event { r#type: EventType::Delete.into(), kv: Some(kv), prev_kv: None }
            }
        };
        self.log.push(event);
        self.history.entry(key.to_vec()).or_default().push((revision, kv));
    }

    fn put_at(&mut self, revision: i64, put: &PutRequest) -> Result<(), Status> {
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return refuse(NOT_FOUND, "etcdserver: requested lease not found");
        }
        let before = self.at(&put.key, revision).cloned();
        let kv = KeyValue {
            key: put.key.clone(),
            create_revision: before.as_ref().map_or(revision, |b| b.create_revision),
            mod_revision: revision,
            version: before.map_or(1, |b| b.version + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.write(revision, &put.key, Some(kv));
        Ok(())
    }

    fn delete_at(&mut self, revision: i64, delete: &DeleteRangeRequest) -> i64 {
        let keys: Vec<Vec<u8>> =
            self.history.keys().filter(|k| within(k, &delete.key, &delete.range_end)).cloned().collect();
        let live: Vec<Vec<u8>> = keys.into_iter().filter(|k| self.at(k, revision).is_some()).collect();
        live.iter().for_each(|key| self.write(revision, key, None));
        live.len() as i64
    }

    pub fn put(&mut self, put: &PutRequest) -> Result<PutResponse, Status> {
        self.put_at(self.revision + 1, put)?;
        self.revision += 1;
        Ok(PutResponse { header: self.header(), prev_kv: None })
    }

    pub fn delete(&mut self, delete: &DeleteRangeRequest) -> DeleteRangeResponse {
        let deleted = self.delete_at(self.revision + 1, delete);
        self.revision += i64::from(deleted > 0);
        DeleteRangeResponse { header: self.header(), deleted, prev_kvs: vec![] }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.at(&compare.key, self.revision).cloned().unwrap_or_default();
        let order = match (&compare.target_union, compare.target()) {
            (Some(TargetUnion::Version(v)), CompareTarget::Version) => kv.version.cmp(v),
            (Some(TargetUnion::CreateRevision(v)), CompareTarget::Create) => kv.create_revision.cmp(v),
            (Some(TargetUnion::ModRevision(v)), CompareTarget::Mod) => kv.mod_revision.cmp(v),
            (Some(TargetUnion::Value(v)), CompareTarget::Value) => kv.value.cmp(v),
            (Some(TargetUnion::Lease(v)), CompareTarget::Lease) => kv.lease.cmp(v),
            // What is left out is zero.
            (None, CompareTarget::Create) => kv.create_revision.cmp(&0),
            _ => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    pub fn txn(&mut self, txn: &TxnRequest) -> Result<TxnResponse, Status> {
        let succeeded = txn.compare.iter().all(|c| self.holds(c));
        let before = self.clone();
        let next = self.revision + 1;
        let mut responses = vec![];
        for op in if succeeded { &txn.success } else { &txn.failure } {
            let response = match &op.request {
                Some(Request::RequestRange(range)) => self.range(range).map(Response::ResponseRange),
                Some(Request::RequestPut(put)) => {
                    self.put_at(next, put).map(|()| Response::ResponsePut(PutResponse::default()))
                }
                Some(Request::RequestDeleteRange(delete)) => {
                    let deleted = self.delete_at(next, delete);
                    Ok(Response::ResponseDeleteRange(DeleteRangeResponse { deleted, ..Default::default() }))
                }
                None => refuse(INVALID, "etcdserver: an empty operation"),
            };
            match response {
                Ok(response) => responses.push(ResponseOp { response: Some(response) }),
                Err(status) => {
                    *self = before;
                    return Err(status);
                }
            }
        }
        let wrote = self.log.last().and_then(|e| e.kv.as_ref()).is_some_and(|kv| kv.mod_revision == next);
        self.revision += i64::from(wrote);
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    pub fn compact(&mut self, revision: i64) -> Result<CompactionResponse, Status> {
        if revision <= self.compacted || revision > self.revision {
            return refuse(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted");
        }
        self.compacted = revision;
        for versions in self.history.values_mut() {
            let last = versions.iter().rposition(|v| v.0 <= revision).unwrap_or(0);
            versions.drain(..last);
        }
        self.log.retain(|e| e.kv.as_ref().is_some_and(|kv| kv.mod_revision >= revision));
        Ok(CompactionResponse { header: self.header() })
    }

    /// All events from a revision on; or the least one that can be watched from.
    pub fn events(&self, from: i64, key: &[u8], end: &[u8]) -> Result<Vec<Event>, i64> {
        if from > 0 && from <= self.compacted && self.compacted > 0 {
            return Err(self.compacted + 1);
        }
        let fits =
            |e: &&Event| e.kv.as_ref().is_some_and(|kv| kv.mod_revision >= from && within(&kv.key, key, end));
        Ok(self.log.iter().filter(fits).cloned().collect())
    }

    pub fn grant(&mut self, now: f64, ttl: i64) -> LeaseGrantResponse {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl: ttl as f64, until: now + ttl as f64 });
        LeaseGrantResponse { header: self.header(), id: self.last_lease, ttl, error: String::new() }
    }

    pub fn keep_alive(&mut self, now: f64, id: i64) -> LeaseKeepAliveResponse {
        let lease = self.leases.get_mut(&id);
        let ttl = lease.map_or(0, |lease| {
            lease.until = now + lease.ttl;
            lease.ttl as i64
        });
        LeaseKeepAliveResponse { header: self.header(), id, ttl }
    }

    pub fn revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let of = |k: &&Vec<u8>| self.at(k, self.revision).is_some_and(|kv| kv.lease == id);
        let keys: Vec<Vec<u8>> = self.history.keys().filter(of).cloned().collect();
        let next = self.revision + 1;
        keys.iter().for_each(|key| self.write(next, key, None));
        self.revision += i64::from(!keys.is_empty());
    }

    /// Leases whose time is over go with their keys.
    pub fn expire(&mut self, now: f64) {
        let over: Vec<i64> = self.leases.iter().filter(|(_, l)| l.until <= now).map(|(&id, _)| id).collect();
        over.into_iter().for_each(|id| self.revoke(id));
    }

    /// All leases are over at once, though their owners live.
    pub fn expire_all(&mut self) {
        let all: Vec<i64> = self.leases.keys().copied().collect();
        all.into_iter().for_each(|id| self.revoke(id));
    }

    /// Older data, as after a restore: what came after the revision never was.
    pub fn restore(&mut self, revision: i64) {
        let revision = revision.max(self.compacted).max(1);
        for versions in self.history.values_mut() {
            versions.retain(|v| v.0 <= revision);
        }
        self.log.retain(|e| e.kv.as_ref().is_some_and(|kv| kv.mod_revision <= revision));
        self.revision = revision;
    }
}

/// What it does wrong.
#[derive(Default)]
pub struct Wrongs {
    /// Each answer waits so long.
    pub delay: Cell<f64>,
    /// Nothing is answered until then: no leader.
    pub stalled: Until,
    /// A connection is broken with each so-manieth message of all.
    pub breaks_every: Cell<u64>,
    /// Exchanges without this token are refused.
    pub token: RefCell<Option<String>>,
}

/// A store on sockets; each of its members answers for all.
pub struct Served {
    stage: Stage,
    pub addresses: Vec<SocketAddr>,
    pub store: RefCell<Store>,
    pub wrongs: Wrongs,
    messages: Cell<u64>,
    /// Lists that were asked for, at the most in a tenth of a second.
    pub lists: RefCell<Vec<f64>>,
    cut: RefCell<(async_channel::Sender<()>, async_channel::Receiver<()>)>,
    /// Hears of each entry that is told to a client, by what that says of itself.
    pub told: RefCell<Option<Hears>>,
}

pub type Hears = Rc<dyn Fn(&str, &Event)>;

impl Served {
    pub fn start(stage: &Stage, members: usize) -> std::io::Result<Rc<Served>> {
        let listeners: Vec<_> =
            (0..members).map(|_| orchidtally_net::listen(crate::any_port())).collect::<Result<_, _>>()?;
        let addresses = listeners.iter().map(|l| l.get_ref().local_addr()).collect::<Result<_, _>>()?;
        let served = Rc::new(Served {
            stage: stage.clone(),
            addresses,
            store: RefCell::new(Store::new(7)),
            wrongs: Wrongs::default(),
            messages: Cell::new(0),
            lists: RefCell::default(),
            cut: RefCell::new(async_channel::bounded(1)),
            told: RefCell::default(),
        });
        for listener in listeners {
            let me = served.clone();
            let accept = async move {
                loop {
                    let stream = orchidtally_net::accept(&listener).await;
                    me.stage.spawn(me.clone().connection(stream)).detach();
                }
            };
            stage.spawn(accept).detach();
        }
        let me = served.clone();
        let expiry = async move {
            loop {
                me.stage.sleep(0.05).await;
                if !me.wrongs.stalled.is_on(me.stage.now()) {
                    me.store.borrow_mut().expire(me.stage.now());
                }
            }
        };
        stage.spawn(expiry).detach();
        Ok(served)
    }

    /// Breaks all connections off.
    pub fn cut_off(&self) {
        *self.cut.borrow_mut() = async_channel::bounded(1);
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_net::Stream) {
        let cut = self.cut.borrow().1.clone();
        let serve = async {
            let Ok(mut connection) = h2::server::handshake(stream).await else { return };
            let streams = async_executor::LocalExecutor::new();
            let accept = async {
                while let Some(Ok((request, respond))) = connection.accept().await {
                    streams.spawn(self.clone().exchange(request, respond)).detach();
                }
            };
            streams.run(accept).await;
        };
        let cut = async {
            // Closed when the connections are cut off.
            let _ = cut.recv().await;
        };
        futures_lite::future::or(serve, cut).await;
    }

    /// What a message waits for before it is answered; tells whether the connection breaks with it.
    async fn waits(&self) -> bool {
        self.stage.sleep(self.wrongs.delay.get()).await;
        self.stage.sleep(self.wrongs.stalled.ends() - self.stage.now()).await;
        self.messages.set(self.messages.get() + 1);
        let every = self.wrongs.breaks_every.get();
        let breaks = every > 0 && self.messages.get().is_multiple_of(every);
        if breaks {
            self.cut_off();
        }
        breaks
    }

    async fn exchange(
        self: Rc<Self>,
        request: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        let path = request.uri().path().to_owned();
        let token = request.headers().get("token").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let agent = request.headers().get(http::header::USER_AGENT).and_then(|v| v.to_str().ok());
        let agent = agent.unwrap_or_default().to_owned();
        let mut body = request.into_body();
        let response = || {
            let response = http::Response::builder().header(http::header::CONTENT_TYPE, CONTENT_TYPE);
            response.body(()).expect("a response of constants")
        };
        let wanted = self.wrongs.token.borrow().clone();
        if wanted.is_some() && wanted != token && path != orchidtally_etcd::AUTHENTICATE {
            let status = Status { code: UNAUTHENTICATED, message: "etcdserver: invalid auth token".into() };
            if let Ok(mut out) = respond.send_response(response(), false) {
                // The client may have gone.
                let _ = out.send_trailers(trailers(&status));
            }
            return;
        }
        if path == orchidtally_etcd::WATCH {
            if let Ok(out) = respond.send_response(response(), false) {
                self.watch(body, out, &agent).await;
            }
            return;
        }
        if path == orchidtally_etcd::LEASE_KEEP_ALIVE {
            if let Ok(out) = respond.send_response(response(), false) {
                self.keep_leases(body, out).await;
            }
            return;
        }
        let mut bytes = BytesMut::new();
        while let Some(Ok(chunk)) = body.data().await {
            let _ = body.flow_control().release_capacity(chunk.len());
            bytes.extend_from_slice(&chunk);
        }
        if self.waits().await {
            return;
        }
        let answered = self.answer(&path, &mut bytes, &agent);
        let Ok(mut out) = respond.send_response(response(), false) else { return };
        let status = match answered {
            Ok(message) => {
                if out.send_data(message, false).is_err() {
                    return;
                }
                Status { code: 0, message: String::new() }
            }
            Err(status) => status,
        };
        let _ = out.send_trailers(trailers(&status));
    }

    fn tells(&self, agent: &str, event: &Event) {
        let hears = self.told.borrow().clone();
        if let Some(hears) = hears {
            hears(agent, event);
        }
    }

    fn answer(&self, path: &str, bytes: &mut BytesMut, agent: &str) -> Result<Bytes, Status> {
        fn read<M: Message + Default>(bytes: &mut BytesMut) -> Result<M, Status> {
            match deframe(bytes, orchidtally_etcd::client::LONGEST) {
                Ok(Some(message)) => Ok(message),
                _ => refuse(INVALID, "etcdserver: a malformed question"),
            }
        }
        let now = self.stage.now();
        let mut store = self.store.borrow_mut();
        Ok(match path {
            orchidtally_etcd::RANGE => {
                self.lists.borrow_mut().push(now);
                let found = store.range(&read(bytes)?)?;
                for kv in &found.kvs {
                    let event = Event { r#type: EventType::Put.into(), kv: Some(kv.clone()), prev_kv: None };
                    self.tells(agent, &event);
                }
                frame(&found)
            }
            orchidtally_etcd::PUT => frame(&store.put(&read(bytes)?)?),
            orchidtally_etcd::DELETE_RANGE => frame(&store.delete(&read(bytes)?)),
            orchidtally_etcd::TXN => frame(&store.txn(&read(bytes)?)?),
            orchidtally_etcd::COMPACT => frame(&store.compact(read::<CompactionRequest>(bytes)?.revision)?),
            orchidtally_etcd::LEASE_GRANT => frame(&store.grant(now, read::<LeaseGrantRequest>(bytes)?.ttl)),
            orchidtally_etcd::LEASE_REVOKE => {
                store.revoke(read::<LeaseRevokeRequest>(bytes)?.id);
                frame(&LeaseRevokeResponse { header: store.header() })
            }
            orchidtally_etcd::AUTHENTICATE => {
                let token = self.wrongs.token.borrow().clone().unwrap_or_default();
                frame(&AuthenticateResponse { header: store.header(), token })
            }
            _ => return refuse(UNAVAILABLE, "no such method here"),
        })
    }

    /// Each question on the stream has its answer.
    async fn keep_leases(&self, mut body: h2::RecvStream, mut out: h2::SendStream<Bytes>) {
        let mut bytes = BytesMut::new();
        while let Some(Ok(chunk)) = body.data().await {
            let _ = body.flow_control().release_capacity(chunk.len());
            bytes.extend_from_slice(&chunk);
            while let Ok(Some(question)) = deframe::<LeaseKeepAliveRequest>(&mut bytes, PART * 1024) {
                if self.waits().await {
                    return;
                }
                let answer = self.store.borrow_mut().keep_alive(self.stage.now(), question.id);
                if out.send_data(frame(&answer), false).is_err() {
                    return;
                }
            }
        }
    }

    async fn watch(&self, mut body: h2::RecvStream, mut out: h2::SendStream<Bytes>, agent: &str) {
        let mut bytes = BytesMut::new();
        let create = loop {
            match deframe::<WatchRequest>(&mut bytes, orchidtally_etcd::client::LONGEST) {
                Ok(Some(WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) })) => {
                    break create;
                }
                Ok(None) => match body.data().await {
                    Some(Ok(chunk)) => {
                        let _ = body.flow_control().release_capacity(chunk.len());
                        bytes.extend_from_slice(&chunk);
                    }
                    _ => return,
                },
                _ => return,
            }
        };
        let respond =
            |store: &Store| WatchResponse { header: store.header(), watch_id: 1, ..Default::default() };
        let created = WatchResponse { created: true, ..respond(&self.store.borrow()) };
        if out.send_data(frame(&created), false).is_err() {
            return;
        }
        let mut next = match create.start_revision {
            0 => self.store.borrow().revision + 1,
            from => from,
        };
        let mut said_at = self.stage.now();
        loop {
            self.stage.sleep(POLL).await;
            if self.wrongs.stalled.is_on(self.stage.now()) {
                continue;
            }
            if let Some(asked) = futures_lite::future::poll_once(body.data()).await {
                let Some(Ok(chunk)) = asked else { return };
                let _ = body.flow_control().release_capacity(chunk.len());
                // Nothing but its progress is asked of a watch that stands.
                said_at = f64::NEG_INFINITY;
            }
            let found = self.store.borrow().events(next, &create.key, &create.range_end);
            let mut answers = vec![];
            match found {
                Err(least) => {
                    let answer = respond(&self.store.borrow());
                    let reason = "mvcc: required revision has been compacted".to_owned();
                    answers.push(WatchResponse {
                        canceled: true,
                        compact_revision: least,
                        cancel_reason: reason,
                        ..answer
                    });
                }
                Ok(events) if events.is_empty() => {
                    if self.stage.now() < said_at + PROGRESS {
                        continue;
                    }
                    answers.push(respond(&self.store.borrow()));
                }
                Ok(events) => {
                    next = events
                        .iter()
                        .filter_map(|e| e.kv.as_ref())
                        .map(|kv| kv.mod_revision + 1)
                        .max()
                        .unwrap_or(next);
                    let parts: Vec<&[Event]> = events.chunks(PART).collect();
                    for (n, part) in parts.iter().enumerate() {
                        let answer = respond(&self.store.borrow());
                        let fragment = create.fragment && n + 1 < parts.len();
                        answers.push(WatchResponse { fragment, events: part.to_vec(), ..answer });
                    }
                }
            }
            for answer in answers {
                answer.events.iter().for_each(|e| self.tells(agent, e));
                if self.waits().await || out.send_data(frame(&answer), false).is_err() {
                    return;
                }
                if answer.canceled {
                    // The stream stays, with other watches perhaps; this one has ended.
                    while let Some(Ok(_)) = body.data().await {}
                    return;
                }
            }
            said_at = self.stage.now();
        }
    }
}
