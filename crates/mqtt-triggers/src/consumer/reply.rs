//! Encodes answers and dead letters as MQTT messages. MQTT 3.1.1 has no properties, so that the payload contains
//! everything there.

use crate::ledger::{Answer, StoredMessage};
use crate::rules::NAME_PROPERTY;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use orchidtally_mqtt::packet::{Properties, Property, Version};
use serde_json::json;

/// User properties of answers and dead letters.
const OUTCOME_PROPERTY: &str = "orchidtally-outcome";
const TOPIC_PROPERTY: &str = "orchidtally-topic";
const REASON_PROPERTY: &str = "orchidtally-why";

/// The payload and properties of a message to publish.
pub(super) struct Encoded {
    pub(super) payload: Bytes,
    pub(super) properties: Properties,
}

/// The outcome that an answer states besides the response.
struct Summary<'a> {
    outcome: &'static str,
    detail: &'a str,
    may_have_run: bool,
}

impl Summary<'_> {
    fn of(answer: &Answer) -> Summary<'_> {
        let (outcome, detail, may_have_run) = match answer {
            Answer::Succeeded { .. } => ("succeeded", "", true),
            Answer::Rejected => (
                "throttled",
                "there was no room in time; asking again is harmless",
                false,
            ),
            Answer::Failed {
                reason,
                may_have_run,
            } => ("errored", reason.as_str(), *may_have_run),
            Answer::Unknown => (
                "unknown",
                "the front end died with its dispatch out: whether it ran isn't known",
                true,
            ),
            Answer::DeadLettered { reason } => ("setAside", reason.as_str(), false),
        };
        Summary {
            outcome,
            detail,
            may_have_run,
        }
    }

    fn body(&self, invocation: &str) -> serde_json::Value {
        let mut body = json!({ "invocation": invocation, "outcome": self.outcome });
        if !self.detail.is_empty() {
            body["detail"] = self.detail.into();
            body["mayHaveRun"] = self.may_have_run.into();
        }
        body
    }
}

fn user_property(name: &str, value: &str) -> Property {
    Property::User(name.into(), value.into())
}

/// Encodes the answer to a message.
pub(super) fn encode_reply(version: Version, message: &StoredMessage, answer: &Answer) -> Encoded {
    let summary = Summary::of(answer);
    let mut body = summary.body(&message.name);
    if version == Version::V311 {
        if let Answer::Succeeded { payload } = answer {
            match std::str::from_utf8(payload) {
                Ok(text) => body["payload"] = text.into(),
                Err(_) => body["payloadBase64"] = STANDARD.encode(payload).into(),
            }
        }
        return Encoded {
            payload: body.to_string().into(),
            properties: vec![],
        };
    }
    let payload = match answer {
        Answer::Succeeded { payload } => payload.clone(),
        _ => body.to_string().into(),
    };
    let mut properties = vec![
        user_property(OUTCOME_PROPERTY, summary.outcome),
        user_property(NAME_PROPERTY, &message.name),
    ];
    if let Some(reply) = message
        .reply
        .as_ref()
        .filter(|reply| !reply.correlation.is_empty())
    {
        properties.push(Property::CorrelationData(reply.correlation.clone()));
    }
    Encoded {
        payload,
        properties,
    }
}

/// Encodes a message that becomes a dead letter.
pub(super) fn encode_dead_letter(
    version: Version,
    message: &StoredMessage,
    reason: &str,
) -> Encoded {
    let payload = match version {
        Version::V5 => message.payload.clone(),
        Version::V311 => json!({
            "topic": message.topic,
            "why": reason,
            "payloadBase64": STANDARD.encode(&message.payload),
        })
        .to_string()
        .into(),
    };
    let properties = vec![
        user_property(TOPIC_PROPERTY, &message.topic),
        user_property(REASON_PROPERTY, reason),
    ];
    Encoded {
        payload,
        properties,
    }
}
