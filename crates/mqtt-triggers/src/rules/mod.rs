//! Trigger rules: map messages to invocations and determine the topics of the answers.

mod parse;
mod poison;

pub use poison::PoisonReason;

use crate::ledger::Reply;
use crate::pattern::{Captures, Pattern};
use bytes::Bytes;
use orchidtally_deployment::Deployment;
use orchidtally_mqtt::filter::check_topic;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_mqtt::session::Delivery;
use sha2::{Digest, Sha256};

/// The user property in which a publisher may name an invocation; answers carry the name in the same property.
pub const NAME_PROPERTY: &str = "orchidtally-invocation";
/// The user property in which a publisher may state an idempotency token.
const TOKEN_PROPERTY: &str = "idempotency-key";
/// The maximum length in bytes of an invocation name stated by a publisher; longer names are ignored.
const MAX_NAME_LENGTH: usize = 128;
/// The length in bytes of a token derived from a message.
const TOKEN_BYTES: usize = 16;

/// The required format of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadFormat {
    /// Any bytes.
    Bytes,
    /// Text in UTF-8.
    Text,
    /// A JSON document.
    Json,
}

/// The destination of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyTo {
    /// The response topic of the message, with its correlation data.
    ResponseTopic,
    /// A topic built from the rule's pattern and the captures of the message's topic.
    Topic(Pattern),
    /// No answer is published.
    Nowhere,
}

/// A value of a rule: fixed, or captured from the topic.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Value {
    /// The value itself.
    Fixed(String),
    /// The name of a placeholder in the rule's topic pattern.
    Captured(String),
}

impl Value {
    fn of<'a>(&'a self, captures: &'a Captures) -> &'a str {
        match self {
            Value::Fixed(text) => text,
            Value::Captured(name) => captures.get(name).map_or("", String::as_str),
        }
    }
}

/// The part of a message from which its idempotency token is derived. A redelivered message has the same token, also on
/// another front end.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TokenSource {
    UserProperty(String),
    CorrelationData,
    Payload,
}

/// A trigger rule.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The topics that the rule matches.
    pub topic: Pattern,
    function: Value,
    /// The index of the trigger type in the deployment.
    pub trigger_type: usize,
    customer: Value,
    /// Messages with the same key are admitted in order; without a key there is no ordering.
    key: Option<Value>,
    /// Seconds within which a message has to be answered; its message expiry may shorten the time.
    pub timeout: f64,
    /// The required format of the payload.
    pub payload_format: PayloadFormat,
    /// The maximum length of a payload in bytes.
    pub max_payload_bytes: usize,
    /// The destination of the answers.
    pub reply_to: ReplyTo,
    /// The quality of service of the subscription.
    pub qos: Qos,
    token: Option<TokenSource>,
    /// The user property that contains the time at which a message was sent, in milliseconds since 1970.
    sent_at: Option<String>,
}

/// The invocation that a message maps to.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// The index of the rule.
    pub rule: usize,
    /// The name of the function.
    pub function: String,
    /// The index of the trigger type in the deployment.
    pub trigger_type: usize,
    /// The name of the customer; empty where the deployment has none.
    pub customer: String,
    /// Messages with the same key are admitted in order; `None` for no ordering.
    pub key: Option<String>,
    /// Seconds after its delivery within which the message has to be answered.
    pub timeout: f64,
    /// The destination of the answer; `None` if no answer is published.
    pub reply: Option<Reply>,
    /// The name of the invocation, which logs show too. A redelivered message has the same name.
    pub name: String,
    /// The idempotency token.
    pub token: String,
    /// The time at which the message was sent, in seconds since 1970; `None` if the message does not state it.
    pub sent_at: Option<f64>,
    /// The payload.
    pub payload: Bytes,
}

/// The trigger rules of a deployment. At most one of them matches a topic.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// The rules in their order in the deployment file.
    pub list: Vec<Rule>,
}

/// The rule that matches a topic, with the captures.
struct Match<'a> {
    index: usize,
    rule: &'a Rule,
    captures: Captures,
}

impl Rules {
    fn find(&self, topic: &str) -> Option<Match<'_>> {
        self.list.iter().enumerate().find_map(|(index, rule)| {
            Some(Match {
                index,
                rule,
                captures: rule.topic.captures(topic)?,
            })
        })
    }

    /// Whether a rule matches this topic.
    fn is_trigger(&self, topic: &str) -> bool {
        self.list
            .iter()
            .any(|rule| rule.topic.filter().matches(topic))
    }

    /// Returns the name of a message's invocation: the name that the publisher states, or one derived from the message.
    pub fn name(delivery: &Delivery) -> String {
        let stated = user_property(delivery, NAME_PROPERTY)
            .filter(|name| !name.is_empty() && name.len() <= MAX_NAME_LENGTH);
        stated.map_or_else(|| token(delivery, None), str::to_owned)
    }

    /// Returns the destination of the answer to a message that can't be invoked; `None` if no answer can be published.
    pub fn reply(&self, delivery: &Delivery) -> Option<Reply> {
        let found = self.find(&delivery.topic)?;
        self.reply_to(&found, delivery).ok().flatten()
    }

    /// Maps a message to its invocation, or returns the reason why the message can never be invoked.
    pub fn invocation(
        &self,
        deployment: &Deployment,
        delivery: &Delivery,
    ) -> Result<Invocation, PoisonReason> {
        let found = self.find(&delivery.topic).ok_or(PoisonReason::NoRule)?;
        let Match {
            index,
            rule,
            captures,
        } = &found;
        rule.check_payload(&delivery.payload)?;
        let function = rule.function.of(captures).to_owned();
        if deployment.function(&function).is_none() {
            return Err(PoisonReason::UnknownFunction(function));
        }
        let customer = rule.customer.of(captures).to_owned();
        if !deployment.customers.is_empty() && !deployment.customers.contains(&customer) {
            return Err(PoisonReason::UnknownCustomer(customer));
        }
        let sent_at = rule.sent_at(delivery)?;
        Ok(Invocation {
            rule: *index,
            function,
            trigger_type: rule.trigger_type,
            customer,
            key: rule.key.as_ref().map(|key| key.of(captures).to_owned()),
            timeout: expiry(delivery).map_or(rule.timeout, |expiry| expiry.min(rule.timeout)),
            reply: self.reply_to(&found, delivery)?,
            name: Rules::name(delivery),
            token: token(delivery, rule.token.as_ref()),
            sent_at,
            payload: delivery.payload.clone(),
        })
    }

    fn reply_to(&self, found: &Match, delivery: &Delivery) -> Result<Option<Reply>, PoisonReason> {
        let topic = match &found.rule.reply_to {
            ReplyTo::Nowhere => return Ok(None),
            ReplyTo::Topic(pattern) => pattern.fill(&found.captures),
            ReplyTo::ResponseTopic => response_topic(delivery),
        };
        let topic = topic
            .filter(|topic| check_topic(topic).is_ok())
            .ok_or(PoisonReason::NoResponseTopic)?;
        if self.is_trigger(&topic) {
            return Err(PoisonReason::Loop(topic));
        }
        let correlation = correlation_data(delivery).cloned().unwrap_or_default();
        Ok(Some(Reply { topic, correlation }))
    }
}

impl Rule {
    fn check_payload(&self, payload: &Bytes) -> Result<(), PoisonReason> {
        if payload.len() > self.max_payload_bytes {
            return Err(PoisonReason::TooLong {
                bytes: payload.len(),
                max: self.max_payload_bytes,
            });
        }
        match self.payload_format {
            PayloadFormat::Bytes => {}
            PayloadFormat::Text => {
                std::str::from_utf8(payload).map_err(|_| PoisonReason::NotText)?;
            }
            PayloadFormat::Json => {
                serde_json::from_slice::<serde::de::IgnoredAny>(payload)
                    .map_err(|error| PoisonReason::NotJson(error.to_string()))?;
            }
        }
        Ok(())
    }

    /// Returns the time at which a message was sent, in seconds since 1970; `None` if the message does not state it.
    fn sent_at(&self, delivery: &Delivery) -> Result<Option<f64>, PoisonReason> {
        let stated = self
            .sent_at
            .as_ref()
            .and_then(|name| user_property(delivery, name));
        let Some(text) = stated else { return Ok(None) };
        match text.parse::<u64>() {
            Ok(milliseconds) => Ok(Some(milliseconds as f64 / 1e3)),
            Err(_) => Err(PoisonReason::SentAt(text.to_owned())),
        }
    }
}

fn user_property<'d>(delivery: &'d Delivery, wanted: &str) -> Option<&'d str> {
    delivery
        .properties
        .iter()
        .find_map(|property| match property {
            Property::User(name, value) if name == wanted => Some(value.as_str()),
            _ => None,
        })
}

fn correlation_data(delivery: &Delivery) -> Option<&Bytes> {
    delivery
        .properties
        .iter()
        .find_map(|property| match property {
            Property::CorrelationData(data) => Some(data),
            _ => None,
        })
}

fn response_topic(delivery: &Delivery) -> Option<String> {
    delivery
        .properties
        .iter()
        .find_map(|property| match property {
            Property::ResponseTopic(topic) => Some(topic.clone()),
            _ => None,
        })
}

/// Returns the message expiry interval in seconds.
fn expiry(delivery: &Delivery) -> Option<f64> {
    delivery
        .properties
        .iter()
        .find_map(|property| match property {
            Property::MessageExpiry(seconds) => Some(f64::from(*seconds)),
            _ => None,
        })
}

/// Derives a token from the topic and the part of the message that the source names. A redelivered message has the same
/// token. Without a source, the part is the first that the message has of the user property for tokens, the correlation
/// data and the payload.
fn token(delivery: &Delivery, source: Option<&TokenSource>) -> String {
    let property = |name: &str| user_property(delivery, name).map(str::as_bytes);
    let correlation_data = || correlation_data(delivery).map(|data| &data[..]);
    let distinction = match source {
        Some(TokenSource::UserProperty(name)) => property(name),
        Some(TokenSource::CorrelationData) => correlation_data(),
        Some(TokenSource::Payload) => None,
        None => property(TOKEN_PROPERTY).or_else(correlation_data),
    };
    let mut digest = Sha256::new();
    digest.update((delivery.topic.len() as u64).to_be_bytes());
    digest.update(&delivery.topic);
    digest.update([u8::from(distinction.is_some())]);
    digest.update(distinction.unwrap_or(&delivery.payload));
    digest
        .finalize()
        .iter()
        .take(TOKEN_BYTES)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
