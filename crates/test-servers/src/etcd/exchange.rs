//! Serves one request of a client to a member: checks its token, waits for a leader and answers. Lease keep-alive
//! streams are served here too; watch streams are served in `watch`.

use super::counters::Exchanges;
use super::faults::CrashPoint;
use super::server::EtcdServer;
use super::store::check_key;
use super::{INVALID_ARGUMENT, MAX_REQUEST_BYTES, UNIMPLEMENTED, refuse};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::server::SendResponse;
use orchidtally_etcd::grpc::{
    CONTENT_TYPE, Status, UNAUTHENTICATED, UNAVAILABLE, decode_frame, encode_frame, trailers,
};
use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::*;
use prost::Message;
use std::rc::Rc;

/// The maximum size of a message on a lease keep-alive stream, in bytes.
const MAX_RENEWAL_BYTES: usize = 1024;
/// How often a waiting request checks for a leader, in seconds. Changes of the cluster wake it earlier.
const LEADER_POLL: f64 = 0.05;

/// The origin of a request, and the member that serves it.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub member: usize,
    /// The client's `user-agent`; empty if it sends none.
    pub agent: String,
    /// Whether the client's watch streams end when the member has no leader.
    pub requires_leader: bool,
}

/// The connection is closed, or an injected fault closes it with this message.
pub(super) struct ConnectionClosed;

fn read<M: Message + Default>(bytes: &mut BytesMut) -> Result<M, Status> {
    match decode_frame(bytes, MAX_REQUEST_BYTES) {
        Ok(Some(message)) => Ok(message),
        _ => refuse(INVALID_ARGUMENT, "etcdserver: a malformed request"),
    }
}

/// Returns the next chunk of a body and releases its flow-control capacity; `None` at the end or after an error.
pub(super) async fn next_chunk(body: &mut h2::RecvStream) -> Option<Bytes> {
    let chunk = body.data().await?.ok()?;
    // Fails only if the stream has ended, which the next read reports.
    let _ = body.flow_control().release_capacity(chunk.len());
    Some(chunk)
}

async fn whole_body(body: &mut h2::RecvStream) -> Result<BytesMut, Status> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = next_chunk(body).await {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_REQUEST_BYTES {
            return refuse(INVALID_ARGUMENT, "etcdserver: request is too large");
        }
    }
    Ok(bytes)
}

fn response_head() -> http::Response<()> {
    let response = http::Response::builder().header(http::header::CONTENT_TYPE, CONTENT_TYPE);
    response.body(()).expect("a response of constants")
}

fn respond_with_status(mut respond: SendResponse<Bytes>, status: &Status) {
    if let Ok(mut out) = respond.send_response(response_head(), false) {
        // Fails if the client has disconnected.
        let _ = out.send_trailers(trailers(status));
    }
}

impl EtcdServer {
    /// Applies the injected delays to a message. Fails if the message is one with which all connections are closed.
    pub(super) async fn wait_for_faults(&self) -> Result<(), ConnectionClosed> {
        self.environment.sleep(self.faults.delay.get()).await;
        self.environment
            .sleep(self.faults.stalled.ends_at() - self.environment.now())
            .await;
        self.messages.set(self.messages.get() + 1);
        let every = self.faults.breaks_every.get();
        if every > 0 && self.messages.get().is_multiple_of(every) {
            self.break_connections();
            return Err(ConnectionClosed);
        }
        Ok(())
    }

    /// Waits until the member follows a leader. Fails as unavailable after `Timing::request_timeout`.
    async fn wait_for_leader(&self, member: usize) -> Result<(), Status> {
        let deadline = self.environment.now() + self.timing.request_timeout.get();
        while !self.has_leader(member) {
            if self.environment.now() >= deadline {
                self.count(member, |exchanges| exchanges.failures += 1);
                return refuse(UNAVAILABLE, "etcdserver: request timed out");
            }
            let changed = self.store.borrow().next_change();
            future::or(changed, self.environment.sleep(LEADER_POLL)).await;
        }
        Ok(())
    }

    pub(super) fn count(&self, member: usize, add: impl FnOnce(&mut Exchanges)) {
        self.counters[member].count(add);
    }

    /// Sets the member whose id the store writes into response headers, together with the current term.
    pub(super) fn set_responder(&self, member: usize) {
        let term = self.cluster.borrow().term();
        self.store
            .borrow_mut()
            .set_responder(member as u64 + 1, term);
    }

    pub(super) fn notify_listener(&self, agent: &str, event: &Event) {
        let on_event = self.on_event.borrow().clone();
        if let Some(on_event) = on_event {
            on_event(agent, event);
        }
    }

    pub(super) async fn exchange(
        self: Rc<Self>,
        member: usize,
        request: http::Request<h2::RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let path = request.uri().path().to_owned();
        let header = |name| {
            request
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let token = header("token");
        let requires_leader =
            header(orchidtally_etcd::REQUIRE_LEADER).is_some_and(|value| value == "true");
        let caller = Caller {
            member,
            agent: header("user-agent").unwrap_or_default(),
            requires_leader,
        };
        let body = request.into_body();
        let required_token = self.faults.token.borrow().clone();
        if required_token.is_some()
            && required_token != token
            && path != orchidtally_etcd::AUTHENTICATE
        {
            let message = "etcdserver: invalid auth token".into();
            return respond_with_status(
                respond,
                &Status {
                    code: UNAUTHENTICATED,
                    message,
                },
            );
        }
        match path.as_str() {
            orchidtally_etcd::WATCH => {
                if let Ok(out) = respond.send_response(response_head(), false) {
                    self.serve_watches(caller, body, out).await;
                }
            }
            orchidtally_etcd::LEASE_KEEP_ALIVE => {
                if let Ok(out) = respond.send_response(response_head(), false) {
                    self.renew_leases(member, body, out).await;
                }
            }
            _ => self.answer_unary(&caller, &path, body, respond).await,
        }
    }

    async fn answer_unary(
        &self,
        caller: &Caller,
        path: &str,
        mut body: h2::RecvStream,
        mut respond: SendResponse<Bytes>,
    ) {
        let mut request = match whole_body(&mut body).await {
            Ok(request) => request,
            Err(status) => return respond_with_status(respond, &status),
        };
        if self.wait_for_faults().await.is_err() {
            return;
        }
        let answered = if path == orchidtally_etcd::RANGE {
            self.answer_range(caller, &mut request).await
        } else if path == orchidtally_etcd::TXN {
            match self.answer_transaction(caller, &mut request).await {
                Ok(answered) => answered,
                Err(ConnectionClosed) => return,
            }
        } else {
            self.answer_by_leader(caller, path, &mut request).await
        };
        let answer = match answered {
            Ok(answer) => answer,
            Err(status) => return respond_with_status(respond, &status),
        };
        let Ok(mut out) = respond.send_response(response_head(), false) else {
            return;
        };
        if out.send_data(answer, false).is_ok() {
            // Fails if the client has disconnected.
            let _ = out.send_trailers(trailers(&Status {
                code: 0,
                message: String::new(),
            }));
        }
    }

    async fn answer_range(&self, caller: &Caller, request: &mut BytesMut) -> Result<Bytes, Status> {
        let request: RangeRequest = read(request)?;
        let member = caller.member;
        if request.serializable {
            self.count(member, |exchanges| exchanges.serializable_ranges += 1);
        } else {
            self.count(member, |exchanges| exchanges.linearizable_ranges += 1);
            self.wait_for_leader(member).await?;
        }
        self.set_responder(member);
        let response = self.store.borrow().range_in(&request, self.view(member))?;
        for entry in &response.kvs {
            let event = Event {
                r#type: EventType::Put.into(),
                kv: Some(entry.clone()),
                prev_kv: None,
            };
            self.notify_listener(&caller.agent, &event);
        }
        Ok(encode_frame(&response))
    }

    /// Answers a transaction, and stops members before or after its commit if a crash is planned.
    async fn answer_transaction(
        &self,
        caller: &Caller,
        request: &mut BytesMut,
    ) -> Result<Result<Bytes, Status>, ConnectionClosed> {
        let member = caller.member;
        self.count(member, |exchanges| exchanges.transactions += 1);
        let request: TxnRequest = match read(request) {
            Ok(request) => request,
            Err(status) => return Ok(Err(status)),
        };
        if let Err(status) = self.wait_for_leader(member).await {
            return Ok(Err(status));
        }
        let crash = self.faults.crash.take();
        if let Some(crash) = crash.filter(|crash| crash.point == CrashPoint::BeforeCommit) {
            self.crash(member, crash.members);
            return Err(ConnectionClosed);
        }
        self.set_responder(member);
        let answered = self.store.borrow_mut().txn(&request);
        if let Some(crash) = crash {
            self.crash(member, crash.members);
            return Err(ConnectionClosed);
        }
        Ok(answered.map(|response| encode_frame(&response)))
    }

    async fn answer_by_leader(
        &self,
        caller: &Caller,
        path: &str,
        request: &mut BytesMut,
    ) -> Result<Bytes, Status> {
        self.count(caller.member, |exchanges| match path {
            orchidtally_etcd::PUT => exchanges.puts += 1,
            orchidtally_etcd::DELETE_RANGE => exchanges.deletes += 1,
            orchidtally_etcd::COMPACT => exchanges.compactions += 1,
            orchidtally_etcd::LEASE_GRANT => exchanges.lease_grants += 1,
            orchidtally_etcd::LEASE_REVOKE => exchanges.lease_revocations += 1,
            orchidtally_etcd::AUTHENTICATE => exchanges.sign_ins += 1,
            _ => exchanges.failures += 1,
        });
        self.wait_for_leader(caller.member).await?;
        self.set_responder(caller.member);
        let now = self.environment.now();
        let mut store = self.store.borrow_mut();
        Ok(match path {
            orchidtally_etcd::PUT => encode_frame(&store.put(&read(request)?)?),
            orchidtally_etcd::DELETE_RANGE => {
                let delete: DeleteRangeRequest = read(request)?;
                check_key(&delete.key)?;
                encode_frame(&store.delete(&delete))
            }
            orchidtally_etcd::COMPACT => {
                encode_frame(&store.compact(read::<CompactionRequest>(request)?.revision)?)
            }
            orchidtally_etcd::LEASE_GRANT => {
                encode_frame(&store.grant(now, read::<LeaseGrantRequest>(request)?.ttl))
            }
            orchidtally_etcd::LEASE_REVOKE => {
                store.revoke(read::<LeaseRevokeRequest>(request)?.id);
                encode_frame(&LeaseRevokeResponse {
                    header: store.header(),
                })
            }
            orchidtally_etcd::AUTHENTICATE => {
                let token = self.faults.token.borrow().clone().unwrap_or_default();
                encode_frame(&AuthenticateResponse {
                    header: store.header(),
                    token,
                })
            }
            _ => return refuse(UNIMPLEMENTED, "unknown method"),
        })
    }

    /// Answers each renewal on a keep-alive stream. Ends the stream with an error when no leader is found in time.
    async fn renew_leases(
        &self,
        member: usize,
        mut body: h2::RecvStream,
        mut out: h2::SendStream<Bytes>,
    ) {
        let mut bytes = BytesMut::new();
        while let Some(chunk) = next_chunk(&mut body).await {
            bytes.extend_from_slice(&chunk);
            while let Ok(Some(request)) =
                decode_frame::<LeaseKeepAliveRequest>(&mut bytes, MAX_RENEWAL_BYTES)
            {
                if self.wait_for_faults().await.is_err() {
                    return;
                }
                self.count(member, |exchanges| exchanges.lease_renewals += 1);
                if let Err(status) = self.wait_for_leader(member).await {
                    // Fails if the client has disconnected.
                    let _ = out.send_trailers(trailers(&status));
                    return;
                }
                self.set_responder(member);
                let answer = self
                    .store
                    .borrow_mut()
                    .keep_alive(self.environment.now(), request.id);
                if out.send_data(encode_frame(&answer), false).is_err() {
                    return;
                }
            }
        }
    }
}
