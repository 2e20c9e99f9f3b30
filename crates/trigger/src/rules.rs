//! Trigger rules of the deployment file: `mqtt: { triggers: [...] }`. They are checked as a whole: filters that
//! match one message, answers that come back as messages, and functions, trigger types or customers that don't exist.

use crate::ledger::Reply;
use crate::pattern::{Captures, Pattern};
use bytes::Bytes;
use orchidtally_deployment::Deployment;
use orchidtally_deployment::reader::{Document, Fault, Fields, Place};
use orchidtally_mqtt::filter::check_topic;
use orchidtally_mqtt::packet::{Property, Qos};
use orchidtally_mqtt::session::Delivery;
use sha2::{Digest, Sha256};
use std::fmt;

/// What a payload has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Bytes,
    Text,
    Json,
}

/// Where an answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// To the message's response topic, with its correlation data.
    Response,
    To(Pattern),
    /// Nowhere: the publisher asked for none.
    Nowhere,
}

/// A text that may be one of the topic's names in braces.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Value {
    Fixed(String),
    Name(String),
}

impl Value {
    fn of<'a>(&'a self, captures: &'a Captures) -> &'a str {
        match self {
            Value::Fixed(text) => text,
            Value::Name(name) => captures.get(name).map_or("", String::as_str),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Rule {
    pub topic: Pattern,
    function: Value,
    pub trigger_type: usize,
    customer: Value,
    /// Messages of one key are taken in their order; empty: none is kept.
    key: Option<Value>,
    /// Seconds, where the message says nothing.
    pub time_left: f64,
    pub form: Form,
    pub most_bytes: usize,
    pub answered: Answered,
    pub qos: Qos,
    token: Option<TokenOf>,
    /// The user property that tells when the message was sent, in ms since 1970.
    sent_at: Option<String>,
}

/// What makes two messages the same: redelivered to another front end a message has the same token.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TokenOf {
    Property(String),
    Correlation,
    Payload,
}

/// User properties that a publisher may set.
pub const NAME: &str = "orchidtally-invocation";
pub const TOKEN: &str = "idempotency-key";

/// A message as an invocation.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub rule: usize,
    pub function: String,
    pub trigger_type: usize,
    pub customer: String,
    pub key: Option<String>,
    pub time_left: f64,
    /// None where nobody wants an answer.
    pub answer: Option<Reply>,
    /// Of the invocation, in logs; a message that comes again has the same.
    pub name: String,
    pub token: String,
    /// When it was sent, in seconds since 1970, where it says so.
    pub sent_at: Option<f64>,
    pub payload: Bytes,
}

/// Why a message can never become an invocation. It is set aside with this.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poison {
    NoRule,
    TooLong {
        bytes: usize,
        most: usize,
    },
    NotText,
    NotJson(String),
    UnknownFunction(String),
    UnknownCustomer(String),
    NoResponseTopic,
    /// The answer would come back as a message.
    Loop(String),
    /// What should tell when it was sent tells nothing.
    SentAt(String),
}

impl fmt::Display for Poison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Poison::NoRule => f.write_str("no trigger is for its topic"),
            Poison::TooLong { bytes, most } => write!(f, "a payload of {bytes} bytes, {most} at most"),
            Poison::NotText => f.write_str("the payload is not UTF-8"),
            Poison::NotJson(why) => write!(f, "the payload is not JSON: {why}"),
            Poison::UnknownFunction(name) => write!(f, "there is no function '{name}'"),
            Poison::UnknownCustomer(name) => write!(f, "there is no customer '{name}'"),
            Poison::NoResponseTopic => f.write_str("it names no response topic that can be answered to"),
            Poison::SentAt(text) => write!(f, "'{text}' is no time in ms since 1970"),
            Poison::Loop(topic) => write!(f, "its answer to '{topic}' would come back as a message"),
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub list: Vec<Rule>,
}

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

fn user<'d>(d: &'d Delivery, wanted: &str) -> Option<&'d str> {
    d.properties.iter().find_map(|p| match p {
        Property::User(name, value) if name == wanted => Some(value.as_str()),
        _ => None,
    })
}

fn correlation(d: &Delivery) -> Option<&Bytes> {
    d.properties.iter().find_map(|p| match p {
        Property::CorrelationData(data) => Some(data),
        _ => None,
    })
}

/// The same for a message that comes again, and for none that differs in its topic or in what tells it apart.
fn token(d: &Delivery, of: Option<&TokenOf>) -> String {
    let apart = match of {
        Some(TokenOf::Property(name)) => user(d, name).map(str::as_bytes),
        Some(TokenOf::Correlation) => correlation(d).map(|c| &c[..]),
        Some(TokenOf::Payload) => None,
        None => user(d, TOKEN).map(str::as_bytes).or_else(|| correlation(d).map(|c| &c[..])),
    };
    let mut digest = Sha256::new();
    digest.update((d.topic.len() as u64).to_be_bytes());
    digest.update(&d.topic);
    digest.update([u8::from(apart.is_some())]);
    digest.update(apart.unwrap_or(&d.payload));
    digest.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect()
}

impl Rules {
    /// Reads a list of rules, or tells every fault in it.
    pub fn read(text: &str, deployment: &Deployment) -> Result<Rules, Vec<Fault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else { return Err(document.faults()) };
        let rules = Rules::at(&document.root(&value).object(&["triggers"]).at("triggers"), deployment);
        let faults = document.faults();
        if faults.is_empty() { Ok(rules) } else { Err(faults) }
    }

    /// Reads the list at a place and notes every fault in it there.
    pub fn at(list: &Place, deployment: &Deployment) -> Rules {
        let places = list.list();
        if places.is_empty() {
            list.fault("at least one trigger is wanted");
        }
        let read: Vec<(Place, Rule)> =
            places.iter().filter_map(|p| Some((p.clone(), rule(p, deployment)?))).collect();
        cross_check(&read);
        Rules { list: read.into_iter().map(|r| r.1).collect() }
    }

    fn of(&self, topic: &str) -> Option<(usize, &Rule, Captures)> {
        self.list.iter().enumerate().find_map(|(n, r)| Some((n, r, r.topic.captures(topic)?)))
    }

    /// Where the answer to a message goes that can't become an invocation.
    pub fn reply(&self, d: &Delivery) -> Option<Reply> {
        let (_, rule, captures) = self.of(&d.topic)?;
        self.answer(rule, &captures, d).ok().flatten()
    }

    pub fn name(d: &Delivery) -> String {
        let given = user(d, NAME).filter(|n| (1..=128).contains(&n.len()));
        given.map_or_else(|| token(d, None), str::to_owned)
    }

    /// What a message becomes. At most one rule matches: that was checked.
    pub fn call(&self, deployment: &Deployment, d: &Delivery) -> Result<Call, Poison> {
        let (n, rule, captures) = self.of(&d.topic).ok_or(Poison::NoRule)?;
        if d.payload.len() > rule.most_bytes {
            return Err(Poison::TooLong { bytes: d.payload.len(), most: rule.most_bytes });
        }
        match rule.form {
            Form::Bytes => {}
            Form::Text => {
                std::str::from_utf8(&d.payload).map_err(|_| Poison::NotText)?;
            }
            Form::Json => {
                let read = serde_json::from_slice::<serde::de::IgnoredAny>;
                read(&d.payload).map_err(|e| Poison::NotJson(e.to_string()))?;
            }
        }
        let function = rule.function.of(&captures).to_owned();
        if deployment.function(&function).is_none() {
            return Err(Poison::UnknownFunction(function));
        }
        let customer = rule.customer.of(&captures).to_owned();
        if !deployment.customers.is_empty() && !deployment.customers.contains(&customer) {
            return Err(Poison::UnknownCustomer(customer));
        }
        let expiry = d.properties.iter().find_map(|p| match p {
            Property::MessageExpiry(seconds) => Some(f64::from(*seconds)),
            _ => None,
        });
        let read = |text: &str| match text.parse::<u64>() {
            Ok(ms) => Ok(ms as f64 / 1e3),
            Err(_) => Err(Poison::SentAt(text.to_owned())),
        };
        let sent_at = rule.sent_at.as_ref().and_then(|name| user(d, name)).map(read).transpose()?;
        Ok(Call {
            rule: n,
            function,
            trigger_type: rule.trigger_type,
            customer,
            key: rule.key.as_ref().map(|k| k.of(&captures).to_owned()),
            time_left: expiry.map_or(rule.time_left, |e| e.min(rule.time_left)),
            answer: self.answer(rule, &captures, d)?,
            name: Rules::name(d),
            token: token(d, rule.token.as_ref()),
            sent_at,
            payload: d.payload.clone(),
        })
    }

    fn answer(&self, rule: &Rule, captures: &Captures, d: &Delivery) -> Result<Option<Reply>, Poison> {
        let correlation = correlation(d).cloned().unwrap_or_default();
        let topic = match &rule.answered {
            Answered::Nowhere => return Ok(None),
            Answered::To(pattern) => pattern.filled(captures).ok_or(Poison::NoResponseTopic)?,
            Answered::Response => {
                let response = d.properties.iter().find_map(|p| match p {
                    Property::ResponseTopic(topic) => Some(topic.clone()),
                    _ => None,
                });
                response.ok_or(Poison::NoResponseTopic)?
            }
        };
        if check_topic(&topic).is_err() {
            return Err(Poison::NoResponseTopic);
        }
        if self.list.iter().any(|r| r.topic.filter().matches(&topic)) {
            return Err(Poison::Loop(topic));
        }
        Ok(Some(Reply { topic, correlation }))
    }
}

/// A fixed text or one of the topic's names.
fn value(place: &Place, topic: Option<&Pattern>, known: &dyn Fn(&str) -> bool, what: &str) -> Option<Value> {
    let text = place.text()?;
    match text.strip_prefix('{').and_then(|t| t.strip_suffix('}')) {
        Some(name) => {
            if topic.is_some_and(|t| !t.names().any(|n| n == name)) {
                place.fault(format!("the topic gives no '{name}'"));
            }
            Some(Value::Name(name.into()))
        }
        None => {
            if !known(&text) {
                place.fault(format!("the deployment file has no {what} '{text}'"));
            }
            Some(Value::Fixed(text))
        }
    }
}

fn answered(fields: &Fields, topic: Option<&Pattern>) -> Option<Answered> {
    let place = fields.at("answer");
    if !place.is_given() {
        return Some(Answered::Response);
    }
    match place.text()?.as_str() {
        "response" => Some(Answered::Response),
        "none" => Some(Answered::Nowhere),
        _ => {
            let pattern = place.parsed("a topic pattern, 'response' or 'none'", Pattern::parse)?;
            for name in pattern.names() {
                if topic.is_some_and(|t| !t.names().any(|n| n == name)) {
                    place.fault(format!("the topic gives no '{name}'"));
                }
            }
            Some(Answered::To(pattern))
        }
    }
}

fn rule(place: &Place, deployment: &Deployment) -> Option<Rule> {
    let f = place.object(&KEYS);
    let topic = f.at("topic").parsed("a topic pattern such as 'house/{house}/set'", Pattern::parse);
    let names: Vec<(&str, usize)> =
        deployment.trigger_types.iter().enumerate().map(|(n, t)| (t.name.as_str(), n)).collect();
    let trigger_type = f.at("triggerType").one_of(&names);
    let streams = trigger_type.is_some_and(|t| deployment.trigger_types[t].streams);
    let answered = answered(&f, topic.as_ref());
    if streams && answered.as_ref().is_some_and(|a| *a != Answered::Nowhere) {
        f.at("triggerType")
            .fault("its answers are streamed, which a message can't be; 'answer' would have to be 'none'");
    }
    let function =
        value(&f.at("function"), topic.as_ref(), &|n| deployment.function(n).is_some(), "function");
    let customer = match f.at("customer").is_given() {
        true => value(
            &f.at("customer"),
            topic.as_ref(),
            &|n| deployment.customers.iter().any(|c| c == n),
            "customer",
        ),
        false if deployment.customers.is_empty() => Some(Value::Fixed(String::new())),
        false => {
            f.at("customer").fault("is missing; the deployment file has customers");
            None
        }
    };
    let key = f.maybe("key", |p| value(p, topic.as_ref(), &|_| true, "key"));
    let timeout = trigger_type.map_or(3_600.0, |t| deployment.policy.trigger_types[t].timeout);
    let time_left = f.maybe("timeLeft", |p| p.seconds(0.001..=timeout)).unwrap_or(timeout);
    let forms = [("bytes", Form::Bytes), ("text", Form::Text), ("json", Form::Json)];
    let form = f.maybe("payload", |p| p.one_of(&forms)).unwrap_or(Form::Bytes);
    let bound = deployment.bounds.body_bytes;
    let most_bytes = f.maybe("maxBytes", |p| p.bytes(1.0..=bound as f64)).map_or(bound, |b| b as usize);
    let qos = f.maybe("qos", |p| Qos::from_bits(p.whole(0..=2)? as u8)).unwrap_or(Qos::ExactlyOnce);
    let token = f.maybe("token", |p| {
        let text = p.text()?;
        match text.as_str() {
            "correlation" => Some(TokenOf::Correlation),
            "payload" => Some(TokenOf::Payload),
            other => match other.strip_prefix("property:").filter(|n| !n.is_empty()) {
                Some(name) => Some(TokenOf::Property(name.into())),
                None => {
                    p.fault("'correlation', 'payload' or 'property:' and a user property's name is wanted");
                    None
                }
            },
        }
    });
    Some(Rule {
        qos,
        token,
        sent_at: f.maybe("sentAt", Place::text),
        topic: topic?,
        function: function?,
        trigger_type: trigger_type?,
        customer: customer?,
        key,
        time_left,
        form,
        most_bytes,
        answered: answered?,
    })
}

/// What can only be seen of all rules together.
fn cross_check(rules: &[(Place, Rule)]) {
    for (n, (place, rule)) in rules.iter().enumerate() {
        let filter = rule.topic.filter();
        if let Some(m) = rules[..n].iter().position(|(_, other)| other.topic.filter().overlaps(&filter)) {
            place.fault(format!("'{filter}' and the filter of triggers[{m}] can match one message"));
        }
        let Answered::To(answer) = &rule.answered else { continue };
        let answer = answer.filter();
        if let Some(m) = rules.iter().position(|(_, other)| other.topic.filter().overlaps(&answer)) {
            place.fault(format!("its answers to '{answer}' can come back as messages of triggers[{m}]"));
        }
    }
}
