//! Requests to the store, and the effect of their failures on the state machine.

use super::ConfigTarget;
use super::host::ConfigHost;
use bytes::Bytes;
use orchidtally_config_sync::{
    BarrierAnswer, Header, RangeAnswer, RangeEntry, ReadRequest, RequestFailure, RequestId, Schema,
};
use orchidtally_etcd::rpc::{KeyValue, RangeRequest, RangeResponse, ResponseHeader};
use orchidtally_etcd::{ClientError, RANGE, grpc};
use prost::Message;

/// Bytes of a response besides its message: headers, trailers and frame headers.
const ENVELOPE_BYTES: usize = 60;

pub(super) fn header(header: Option<&ResponseHeader>) -> Header {
    let header = header.copied().unwrap_or_default();
    Header {
        cluster: header.cluster_id,
        revision: header.revision,
    }
}

/// Converts an error to a failure for the state machine; `None` if the connection or the member is unusable.
fn request_failure(fault: &ClientError) -> Option<RequestFailure> {
    let ClientError::Rejected(status) = fault else {
        return None;
    };
    match status.code {
        grpc::OUT_OF_RANGE if status.message.contains("compacted") => {
            Some(RequestFailure::Compacted)
        }
        grpc::OUT_OF_RANGE => Some(RequestFailure::FutureRevision),
        _ => None,
    }
}

fn entry(pair: KeyValue) -> RangeEntry {
    RangeEntry {
        key: pair.key.to_vec(),
        value: pair.value.to_vec(),
        mod_revision: pair.mod_revision,
    }
}

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    /// Performs a read action.
    pub(super) async fn read(&self, session: u64, request: ReadRequest) {
        let question = RangeRequest {
            key: request.range.start.into(),
            range_end: request.range.end.into(),
            limit: request.limit,
            revision: request.at_revision,
            min_mod_revision: request.min_mod_revision,
            keys_only: request.keys_only,
            ..RangeRequest::default()
        };
        let response = self
            .client
            .unary::<RangeResponse>(RANGE, &question, self.settings.request_timeout)
            .await;
        if !self.is_in_session(session) {
            return;
        }
        match response {
            Ok(answer) => {
                // The connection's byte counter includes other responses, so the size is computed.
                let bytes = answer.encoded_len() + ENVELOPE_BYTES;
                let header = header(answer.header.as_ref());
                let entries = answer.kvs.into_iter().map(entry).collect();
                let answer = RangeAnswer {
                    id: request.id,
                    header,
                    entries,
                    more: answer.more,
                    bytes,
                };
                self.feed(|core, now| core.on_range_answer(now, answer));
            }
            Err(fault) => self.on_request_failure(session, request.id, &fault),
        }
    }

    /// Performs a barrier action: a linearizable read.
    pub(super) async fn barrier(&self, session: u64, id: RequestId) {
        let key = Bytes::from(self.core.borrow().keyspace().generation());
        let question = RangeRequest {
            key,
            ..RangeRequest::default()
        };
        let response = self
            .client
            .unary::<RangeResponse>(RANGE, &question, self.settings.request_timeout)
            .await;
        if !self.is_in_session(session) {
            return;
        }
        match response {
            Ok(answer) => {
                self.on_store_response();
                let header = header(answer.header.as_ref());
                let generation = answer
                    .kvs
                    .into_iter()
                    .next()
                    .map(|pair| pair.value.to_vec());
                self.feed(|core, now| {
                    core.on_barrier_answer(
                        now,
                        BarrierAnswer {
                            id,
                            header,
                            generation,
                        },
                    )
                });
            }
            Err(fault) => self.on_request_failure(session, id, &fault),
        }
    }

    fn on_request_failure(&self, session: u64, id: RequestId, fault: &ClientError) {
        match request_failure(fault) {
            Some(failure) => self.feed(|core, now| core.on_request_failed(now, id, failure)),
            None => self.on_session_failure(session, fault),
        }
    }
}
