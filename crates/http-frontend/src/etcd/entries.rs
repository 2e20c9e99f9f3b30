//! Conversion of etcd entries for the membership state machines.

use crate::endpoint_publisher::endpoint_from_row;
use orchidtally_deployment::Deployment;
use orchidtally_dispatch_policy::interface::Endpoint;
use orchidtally_etcd::rpc::event::EventType;
use orchidtally_etcd::rpc::{Event, KeyValue, ResponseHeader};
use orchidtally_executor_protocol::v1;
use orchidtally_membership::{EntryChange, EntryError, StoreRevision};

/// The store and the revision of a response.
pub(super) fn store_revision(header: &ResponseHeader) -> StoreRevision {
    StoreRevision {
        cluster: header.cluster_id,
        revision: header.revision,
    }
}

/// Converts an entry of a list.
pub(super) fn entry_change(entry: &KeyValue) -> EntryChange<'_> {
    EntryChange {
        key: &entry.key,
        value: Some(&entry.value[..]),
        created: entry.create_revision,
        modified: entry.mod_revision,
    }
}

/// The changes in events of a watch, in order.
pub(super) fn changes(events: &[Event]) -> Vec<EntryChange<'_>> {
    events.iter().filter_map(changed).collect()
}

fn changed(event: &Event) -> Option<EntryChange<'_>> {
    let change = entry_change(event.kv.as_ref()?);
    let is_deleted = event.r#type() == EventType::Delete;
    Some(EntryChange {
        value: change.value.filter(|_| !is_deleted),
        ..change
    })
}

/// The index of a front end by the key of its entry.
pub(super) fn front_end_index(key: &[u8]) -> Option<u32> {
    std::str::from_utf8(key)
        .ok()?
        .rsplit('/')
        .next()?
        .parse()
        .ok()
}

/// Decodes an executor's entry.
pub(super) fn decode_executor(
    deployment: &Deployment,
    key: &[u8],
    value: &[u8],
    now: f64,
) -> Result<Endpoint, EntryError> {
    let fields: serde_json::Value =
        serde_json::from_slice(value).map_err(EntryError::InvalidJson)?;
    let key = std::str::from_utf8(key).ok();
    let address = key
        .and_then(|key| key.rsplit('/').next())
        .ok_or(EntryError::MissingAddress)?;
    let string_field = |name: &str| {
        fields
            .get(name)
            .and_then(|field| field.as_str())
            .unwrap_or_default()
            .to_owned()
    };
    let number_field = |field: &'static str, default: f64| {
        fields
            .get(field)
            .map_or(Some(default), serde_json::Value::as_f64)
            .ok_or(EntryError::NotANumber { field })
    };
    let state = match string_field("standing").as_str() {
        "ready" => v1::Standing::Ready,
        "draining" => v1::Standing::Draining,
        other => return Err(EntryError::UnknownState(other.into())),
    };
    let roster_row = v1::RosterRow {
        address: address.into(),
        location: string_field("location"),
        kind: string_field("kind"),
        cell: number_field("cell", 0.0)? as u32,
        standing: state.into(),
        weight: number_field("weight", 1.0)?,
        since: number_field("since", 0.0)?,
    };
    endpoint_from_row(deployment, &roster_row, now)
}
