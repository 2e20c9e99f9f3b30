//! The `triggerTypes` section: the latency objective, client timeout and delivery semantics of each trigger type.

use crate::reader::{Fields, Place};
use orchidtally_dispatch_policy::interface::{DeduplicationScope, Idempotency, TriggerType};

/// The settings of a trigger type that the dispatch policy doesn't use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TriggerTypeSettings {
    /// The name of the trigger type.
    pub name: String,
    /// Whether responses are streamed to the client from their first byte.
    pub streams_responses: bool,
    /// Whether invocations over HTTP are journalled under their idempotency keys before they are dispatched.
    pub is_durable: bool,
}

/// Reads the trigger types; both lists have the same order.
pub(crate) fn read_trigger_types(place: &Place) -> (Vec<TriggerTypeSettings>, Vec<TriggerType>) {
    let list = place.list();
    if list.is_empty() {
        place.fault("at least one trigger type is wanted");
    }
    let mut all_settings: Vec<TriggerTypeSettings> = vec![];
    let mut trigger_types = vec![];
    for place in &list {
        let Some((settings, trigger_type)) = read_trigger_type(place) else {
            continue;
        };
        if all_settings.iter().any(|other| other.name == settings.name) {
            place.fault(format!("there are two trigger types '{}'", settings.name));
        }
        all_settings.push(settings);
        trigger_types.push(trigger_type);
    }
    (all_settings, trigger_types)
}

fn read_trigger_type(place: &Place) -> Option<(TriggerTypeSettings, TriggerType)> {
    let fields = place.object(&[
        "name",
        "effect",
        "objective",
        "stretch",
        "timeout",
        "billedValue",
        "lateShare",
        "group",
        "window",
        "streams",
        "journalled",
    ]);
    let name = fields.at("name").text();
    let idempotency = fields.at("effect").choice(&[
        ("idempotent", Idempotency::Idempotent),
        ("tokened", Idempotency::Keyed),
        ("nonIdempotent", Idempotency::NonIdempotent),
    ]);
    let latency_objective = fields.at("objective").seconds(0.001..=3_600.0);
    let client_timeout = fields.at("timeout").seconds(0.001..=3_600.0);
    if let (Some(objective), Some(timeout)) = (latency_objective, client_timeout)
        && objective > timeout
    {
        fields.at("objective").fault(format!(
            "{objective} s is over the client timeout of {timeout} s"
        ));
    }
    let objective_work_factor = fields.optional("stretch", |place| place.number(0.0..=1_000.0));
    let billed_value = fields.optional("billedValue", |place| place.number(0.001..=1e6));
    let late_value_fraction = fields.optional("lateShare", |place| place.number(0.0..=1.0));
    let (scope, window) = read_deduplication(&fields, idempotency);
    let (streams_responses, is_durable) = read_response_handling(&fields, idempotency);
    let settings = TriggerTypeSettings {
        name: name?,
        streams_responses,
        is_durable,
    };
    let trigger_type = TriggerType {
        latency_objective: latency_objective?,
        objective_work_factor: objective_work_factor.unwrap_or(0.0),
        client_timeout: client_timeout?,
        billed_value: billed_value.unwrap_or(1.0),
        late_value_fraction: late_value_fraction.unwrap_or(0.0),
        idempotency: idempotency?,
        deduplication_scope: scope?,
        deduplication_window: window?,
    };
    Some((settings, trigger_type))
}

/// Reads the deduplication scope and the deduplication window in seconds.
fn read_deduplication(
    fields: &Fields,
    idempotency: Option<Idempotency>,
) -> (Option<DeduplicationScope>, Option<f64>) {
    if idempotency == Some(Idempotency::Keyed) {
        let scope = fields.at("group").choice(&[
            ("all", DeduplicationScope::All),
            ("location", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ]);
        let window = fields.at("window").seconds(0.001..=86_400.0);
        return (scope, window);
    }
    if idempotency.is_some() {
        for key in ["group", "window"] {
            let place = fields.at(key);
            if place.is_given() {
                place.fault("only a tokened trigger type has one");
            }
        }
    }
    (Some(DeduplicationScope::All), Some(0.0))
}

/// Reads whether responses are streamed, and whether invocations are durable.
fn read_response_handling(fields: &Fields, idempotency: Option<Idempotency>) -> (bool, bool) {
    let streams_responses = fields.at("streams").flag(false);
    let durable = fields.at("journalled");
    let is_durable = durable.flag(false);
    if is_durable && idempotency.is_some_and(|effect| effect != Idempotency::NonIdempotent) {
        durable.fault("only a non-idempotent trigger type can be journalled");
    }
    if is_durable && streams_responses {
        durable.fault("a streamed answer can't be journalled");
    }
    (streams_responses, is_durable)
}
