//! Messages of the configuration core as exchanges with the store.

use orchidtally_config_sync::keys::KeyRange;
use orchidtally_config_sync::{
    BarrierAnswer, Change, Header, RangeAnswer, RangeEntry, ReadRequest, RequestFailure, RequestId,
};
use orchidtally_etcd::rpc::{
    Event, KeyValue, PutRequest, RangeRequest, RangeResponse, ResponseHeader, event,
};
use orchidtally_etcd::{Client, Fault, PUT, RANGE};
use prost::Message;
use std::time::Duration;

/// An exchange that has no answer by then has failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub fn header(header: &ResponseHeader) -> Header {
    Header { cluster: header.cluster_id, revision: header.revision }
}

fn entry(entry: KeyValue) -> RangeEntry {
    RangeEntry { key: entry.key.to_vec(), value: entry.value.to_vec(), mod_revision: entry.mod_revision }
}

/// What a watch told, as the core takes it.
pub fn changes(events: Vec<Event>) -> Vec<Change> {
    let change = |event: Event| {
        let is_deleted = event.r#type() == event::EventType::Delete;
        let entry = event.kv?;
        Some(Change {
            key: entry.key.to_vec(),
            value: (!is_deleted).then(|| entry.value.to_vec()),
            mod_revision: entry.mod_revision,
        })
    };
    events.into_iter().filter_map(change).collect()
}

/// Why a request has no answer, in the core's terms.
pub fn failure(fault: &Fault) -> RequestFailure {
    match fault {
        Fault::Refused(status) if status.message.contains("compacted") => RequestFailure::Compacted,
        Fault::Refused(status) if status.message.contains("future revision") => {
            RequestFailure::FutureRevision
        }
        _ => RequestFailure::Unavailable,
    }
}

fn range_request(range: &KeyRange) -> RangeRequest {
    RangeRequest {
        key: range.start.clone().into(),
        range_end: range.end.clone().into(),
        ..RangeRequest::default()
    }
}

/// Reads a range for the core.
pub async fn read(client: &Client, request: &ReadRequest) -> Result<RangeAnswer, Fault> {
    let question = RangeRequest {
        limit: request.limit,
        revision: request.at_revision,
        min_mod_revision: request.min_mod_revision,
        ..range_request(&request.range)
    };
    let answer: RangeResponse = client.unary(RANGE, &question, REQUEST_TIMEOUT).await?;
    let bytes = answer.encoded_len();
    Ok(RangeAnswer {
        id: request.id,
        header: header(&answer.header.unwrap_or_default()),
        entries: answer.kvs.into_iter().map(entry).collect(),
        more: answer.more,
        bytes,
    })
}

/// Reads the generation for the core.
pub async fn barrier(client: &Client, id: RequestId, key: Vec<u8>) -> Result<BarrierAnswer, Fault> {
    let question = RangeRequest { key: key.into(), ..RangeRequest::default() };
    let answer: RangeResponse = client.unary(RANGE, &question, REQUEST_TIMEOUT).await?;
    let generation = answer.kvs.first().map(|entry| entry.value.to_vec());
    Ok(BarrierAnswer { id, header: header(&answer.header.unwrap_or_default()), generation })
}

/// Puts a report under a lease.
pub async fn put(client: &Client, key: Vec<u8>, value: Vec<u8>, lease: i64) -> Result<(), Fault> {
    let request = PutRequest { key: key.into(), value: value.into(), lease, prev_kv: false };
    client.unary::<orchidtally_etcd::rpc::PutResponse>(PUT, &request, REQUEST_TIMEOUT).await.map(drop)
}
