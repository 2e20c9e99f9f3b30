//! Trigger types: what is promised to invocations of a kind.

use crate::TriggerTypeSettings;
use crate::reader::Place;
use orchidtally_dispatch_policy::interface::{DeduplicationScope, Idempotency, TriggerType};

pub(crate) fn trigger_type(place: &Place) -> Option<(TriggerTypeSettings, TriggerType)> {
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
    let effect = fields.at("effect").one_of(&[
        ("idempotent", Idempotency::Idempotent),
        ("tokened", Idempotency::Keyed),
        ("nonIdempotent", Idempotency::NonIdempotent),
    ]);
    let objective = fields.at("objective").seconds(0.001..=3_600.0);
    let timeout = fields.at("timeout").seconds(0.001..=3_600.0);
    if let (Some(o), Some(t)) = (objective, timeout)
        && o > t
    {
        fields
            .at("objective")
            .fault(format!("{o} s is over the client timeout of {t} s"));
    }
    let stretch = fields
        .maybe("stretch", |p| p.number(0.0..=1_000.0))
        .unwrap_or(0.0);
    let billed_value = fields
        .maybe("billedValue", |p| p.number(0.001..=1e6))
        .unwrap_or(1.0);
    let late_share = fields
        .maybe("lateShare", |p| p.number(0.0..=1.0))
        .unwrap_or(0.0);
    let tokened = effect == Some(Idempotency::Keyed);
    let mut group = Some(DeduplicationScope::All);
    let mut window = Some(0.0);
    if tokened {
        group = fields.at("group").one_of(&[
            ("all", DeduplicationScope::All),
            ("location", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ]);
        window = fields.at("window").seconds(0.001..=86_400.0);
    } else if effect.is_some() {
        for key in ["group", "window"]
            .into_iter()
            .filter(|k| fields.at(k).is_given())
        {
            fields.at(key).fault("only a tokened trigger type has one");
        }
    }
    let (streams, journalled) = (
        fields.at("streams").flag(false),
        fields.at("journalled").flag(false),
    );
    if journalled && effect.is_some_and(|e| e != Idempotency::NonIdempotent) {
        fields
            .at("journalled")
            .fault("only a non-idempotent trigger type gains by it");
    }
    if journalled && streams {
        fields
            .at("journalled")
            .fault("a streamed answer can't be kept");
    }
    let trigger = TriggerTypeSettings {
        name: name?,
        streams,
        journalled,
    };
    let policy = TriggerType {
        latency_objective: objective?,
        objective_work_factor: stretch,
        client_timeout: timeout?,
        billed_value,
        late_value_fraction: late_share,
        idempotency: effect?,
        deduplication_scope: group?,
        deduplication_window: window?,
    };
    Some((trigger, policy))
}
