//! Parses the trigger rules of a deployment file: `mqtt: { triggers: [...] }`.
//!
//! Functions, trigger types and customers have to exist. The rules are also checked against each other: no two filters
//! may match the same topic, and no answer may be published to a topic that a rule matches.

use super::{PayloadFormat, ReplyTo, Rule, Rules, TokenSource, Value};
use crate::pattern::Pattern;
use orchidtally_deployment::Deployment;
use orchidtally_deployment::reader::{DeploymentFault, Document, Fields, Place};
use orchidtally_mqtt::packet::Qos;

/// The upper bound in seconds of a timeout if the trigger type is unknown; such a rule is rejected in any case.
const FALLBACK_TIMEOUT: f64 = 3_600.0;
/// The minimum timeout of a rule, in seconds.
const MIN_TIMEOUT: f64 = 0.001;

const KEYS: [&str; 12] = [
    "topic",
    "function",
    "triggerType",
    "customer",
    "key",
    "timeLeft",
    "payload",
    "maxBytes",
    "answer",
    "qos",
    "token",
    "sentAt",
];

impl Rules {
    /// Parses a document with a list of rules. On failure, returns all faults.
    pub fn read(text: &str, deployment: &Deployment) -> Result<Rules, Vec<DeploymentFault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else {
            return Err(document.faults());
        };
        let rules = Rules::at(
            &document.root(&value).object(&["triggers"]).at("triggers"),
            deployment,
        );
        let faults = document.faults();
        if faults.is_empty() {
            Ok(rules)
        } else {
            Err(faults)
        }
    }

    /// Parses the list at a place and reports its faults there.
    pub fn at(list: &Place, deployment: &Deployment) -> Rules {
        let places = list.list();
        if places.is_empty() {
            list.fault("must contain at least one trigger");
        }
        let rules: Vec<(Place, Rule)> = places
            .iter()
            .filter_map(|place| Some((place.clone(), RuleReader::new(place, deployment).rule()?)))
            .collect();
        check_overlaps(&rules);
        Rules {
            list: rules.into_iter().map(|(_, rule)| rule).collect(),
        }
    }
}

/// Parses one rule.
struct RuleReader<'a, 'd> {
    fields: Fields<'a, 'd>,
    deployment: &'d Deployment,
    topic: Option<Pattern>,
}

impl<'a, 'd> RuleReader<'a, 'd> {
    fn new(place: &Place<'a, 'd>, deployment: &'d Deployment) -> RuleReader<'a, 'd> {
        let fields = place.object(&KEYS);
        let topic = fields.at("topic").parsed(
            "a topic pattern such as 'house/{house}/set'",
            Pattern::parse,
        );
        RuleReader {
            fields,
            deployment,
            topic,
        }
    }

    fn rule(self) -> Option<Rule> {
        let fields = &self.fields;
        let trigger_type = self.trigger_type();
        let reply_to = self.reply_to();
        if let (Some(trigger_type), Some(reply_to)) = (trigger_type, &reply_to) {
            self.check_streaming(trigger_type, reply_to);
        }
        let is_function = |name: &str| self.deployment.function(name).is_some();
        let function = self.value(&fields.at("function"), &is_function, "function");
        let customer = self.customer();
        let key = fields.optional("key", |place| self.value(place, &|_| true, "key"));
        let client_timeout = trigger_type.map_or(FALLBACK_TIMEOUT, |t| {
            self.deployment.policy.trigger_types[t].client_timeout
        });
        let timeout = fields.optional("timeLeft", |place| {
            place.seconds(MIN_TIMEOUT..=client_timeout)
        });
        let body_bytes = self.deployment.limits.max_body_bytes;
        let max_payload_bytes =
            fields.optional("maxBytes", |place| place.bytes(1.0..=body_bytes as f64));
        let qos = fields.optional("qos", |place| Qos::from_bits(place.integer(0..=2)? as u8));
        Some(Rule {
            payload_format: self.payload_format(),
            token: fields.optional("token", token_source),
            sent_at: fields.optional("sentAt", Place::text),
            topic: self.topic?,
            function: function?,
            trigger_type: trigger_type?,
            customer: customer?,
            key,
            timeout: timeout.unwrap_or(client_timeout),
            max_payload_bytes: max_payload_bytes.map_or(body_bytes, |bytes| bytes as usize),
            reply_to: reply_to?,
            qos: qos.unwrap_or(Qos::ExactlyOnce),
        })
    }

    fn trigger_type(&self) -> Option<usize> {
        let types = self.deployment.trigger_types.iter().enumerate();
        let names: Vec<(&str, usize)> = types.map(|(index, t)| (t.name.as_str(), index)).collect();
        self.fields.at("triggerType").choice(&names)
    }

    fn check_streaming(&self, trigger_type: usize, reply_to: &ReplyTo) {
        if self.deployment.trigger_types[trigger_type].streams_responses
            && *reply_to != ReplyTo::Nowhere
        {
            self.fields.at("triggerType").fault(
                "its answers are streamed, which MQTT messages can't be; set 'answer' to 'none'",
            );
        }
    }

    fn reply_to(&self) -> Option<ReplyTo> {
        let place = self.fields.at("answer");
        if !place.is_given() {
            return Some(ReplyTo::ResponseTopic);
        }
        match place.text()?.as_str() {
            "response" => Some(ReplyTo::ResponseTopic),
            "none" => Some(ReplyTo::Nowhere),
            _ => {
                let pattern =
                    place.parsed("a topic pattern, 'response' or 'none'", Pattern::parse)?;
                pattern
                    .placeholders()
                    .for_each(|name| self.check_captured(&place, name));
                Some(ReplyTo::Topic(pattern))
            }
        }
    }

    fn customer(&self) -> Option<Value> {
        let place = self.fields.at("customer");
        let customers = &self.deployment.customers;
        if place.is_given() {
            return self.value(
                &place,
                &|name| customers.iter().any(|c| c == name),
                "customer",
            );
        }
        if customers.is_empty() {
            return Some(Value::Fixed(String::new()));
        }
        place.fault("is missing; the deployment file has customers");
        None
    }

    fn payload_format(&self) -> PayloadFormat {
        let formats = [
            ("bytes", PayloadFormat::Bytes),
            ("text", PayloadFormat::Text),
            ("json", PayloadFormat::Json),
        ];
        self.fields
            .optional("payload", |place| place.choice(&formats))
            .unwrap_or(PayloadFormat::Bytes)
    }

    /// Parses a value: a placeholder of the topic pattern in braces, or a fixed text that `is_known` accepts.
    fn value(&self, place: &Place, is_known: &dyn Fn(&str) -> bool, what: &str) -> Option<Value> {
        let text = place.text()?;
        if let Some(name) = text
            .strip_prefix('{')
            .and_then(|text| text.strip_suffix('}'))
        {
            self.check_captured(place, name);
            return Some(Value::Captured(name.into()));
        }
        if !is_known(&text) {
            place.fault(format!("the deployment file has no {what} '{text}'"));
        }
        Some(Value::Fixed(text))
    }

    /// Reports a fault if the topic pattern has no such placeholder.
    fn check_captured(&self, place: &Place, name: &str) {
        if self
            .topic
            .as_ref()
            .is_some_and(|topic| !topic.placeholders().any(|known| known == name))
        {
            place.fault(format!("the topic pattern has no placeholder '{name}'"));
        }
    }
}

fn token_source(place: &Place) -> Option<TokenSource> {
    let text = place.text()?;
    match text.as_str() {
        "correlation" => return Some(TokenSource::CorrelationData),
        "payload" => return Some(TokenSource::Payload),
        _ => {}
    }
    let property = text
        .strip_prefix("property:")
        .filter(|name| !name.is_empty());
    if property.is_none() {
        place.fault("must be 'correlation', 'payload' or 'property:' followed by the name of a user property");
    }
    property.map(|name| TokenSource::UserProperty(name.into()))
}

/// Reports rules whose filters overlap, and rules whose answers would trigger another invocation.
fn check_overlaps(rules: &[(Place, Rule)]) {
    for (index, (place, rule)) in rules.iter().enumerate() {
        let filter = rule.topic.filter();
        let overlaps = |(_, other): &(Place, Rule)| other.topic.filter().overlaps(&filter);
        if let Some(other) = rules[..index].iter().position(overlaps) {
            place.fault(format!(
                "'{filter}' and the filter of triggers[{other}] overlap"
            ));
        }
        let ReplyTo::Topic(answer) = &rule.reply_to else {
            continue;
        };
        let answer = answer.filter();
        let comes_back = |(_, other): &(Place, Rule)| other.topic.filter().overlaps(&answer);
        if let Some(other) = rules.iter().position(comes_back) {
            place.fault(format!(
                "its answers to '{answer}' would be consumed by triggers[{other}]"
            ));
        }
    }
}
