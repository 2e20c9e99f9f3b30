//! Parses the `mqtt` section of a deployment file: the broker, the session, the journal, and the triggers.

use crate::rules::{ReplyTo, Rules};
use orchidtally_deployment::reader::{Fields, Place};
use orchidtally_deployment::{Deployment, DeploymentFault};
use orchidtally_mqtt::filter::check_topic;
use orchidtally_mqtt::packet::{Subscription, Version};
use orchidtally_mqtt::session::SessionOptions;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Paths of the TLS files in PEM format. The files are read again for each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The trusted CA certificates.
    pub ca_certificates: PathBuf,
    /// The client's certificate chain and private key, if the broker requires client authentication.
    pub client_identity: Option<(PathBuf, PathBuf)>,
    /// The host name that the broker's certificate must be valid for.
    pub server_name: String,
}

/// Settings of the `mqtt` section.
#[derive(Clone, Debug)]
pub struct TriggerSettings {
    /// The address of the broker.
    pub broker: SocketAddr,
    /// The MQTT protocol version of the connection.
    pub version: Version,
    client_id: String,
    /// The user name, if the broker requires one.
    pub username: Option<String>,
    /// The file that contains the password.
    pub password_file: Option<PathBuf>,
    /// The TLS files; `None` for a connection without TLS.
    pub tls: Option<TlsSettings>,
    /// The group of the shared subscriptions, which distributes the messages over the front ends.
    pub group: String,
    /// Seconds without a packet after which a ping is sent.
    pub keep_alive: u16,
    /// Seconds for which the broker keeps the session after the connection is lost.
    pub session_expiry: u32,
    /// The maximum number of unacknowledged deliveries.
    pub receive_maximum: u16,
    /// The maximum number of concurrent invocations.
    pub max_in_flight: usize,
    /// The maximum size of a received packet, in bytes.
    pub max_packet_size: u32,
    /// Whether the broker redelivers an unacknowledged QoS 1 message to another subscriber of the group.
    pub reassigns_unacknowledged: bool,
    journal: String,
    /// The journal size in bytes above which no new messages are accepted.
    pub max_journal_bytes: u64,
    /// The topic to which dead letters are published; `None` if they are only logged.
    pub dead_letter_topic: Option<String>,
    /// The number of deliveries after which a message becomes a dead letter.
    pub max_deliveries: u32,
    /// Seconds between the time at which an answer has to be ready and the time at which its publisher gives up.
    pub reply_margin: f64,
    /// The trigger rules.
    pub rules: Rules,
}

/// Placeholder for the front end's index in the client identifier and the journal path.
const INDEX: &str = "{index}";

/// Parses a deployment file and its optional `mqtt` section. On failure, returns all faults of both.
pub fn read(text: &str) -> Result<(Deployment, Option<TriggerSettings>), Vec<DeploymentFault>> {
    Deployment::parse_with(text, |place, deployment| {
        if place.is_given() {
            read_section(place, deployment)
        } else {
            None
        }
    })
}

const KEYS: [&str; 17] = [
    "broker",
    "version",
    "clientId",
    "username",
    "passwordFile",
    "tls",
    "group",
    "keepAlive",
    "sessionExpiry",
    "receiveMaximum",
    "inFlight",
    "largestPacket",
    "handsOver",
    "journal",
    "setAside",
    "answerMargin",
    "triggers",
];

/// Default values; times in seconds, sizes in bytes.
mod default {
    pub const GROUP: &str = "orchidtally";
    pub const KEEP_ALIVE: f64 = 15.0;
    pub const SESSION_EXPIRY: f64 = 3_600.0;
    pub const RECEIVE_MAXIMUM: u32 = 256;
    pub const IN_FLIGHT: u32 = 256;
    pub const LARGEST_PACKET: f64 = 2_097_152.0;
    pub const JOURNAL_BYTES: f64 = 268_435_456.0;
    pub const MOST_TIMES: u32 = 5;
    pub const ANSWER_MARGIN: f64 = 0.1;
}

fn read_section(place: &Place, deployment: &Deployment) -> Option<TriggerSettings> {
    let fields = place.object(&KEYS);
    let broker = fields
        .at("broker")
        .parsed("an address and port", str::parse);
    let versions = [("5", Version::V5), ("3.1.1", Version::V311)];
    let version = fields
        .optional("version", |p| p.choice(&versions))
        .unwrap_or(Version::V5);
    let client_id = match fields.at("clientId").is_given() {
        true => fields
            .at("clientId")
            .text()
            .map(|text| per_front_end(&fields.at("clientId"), text, deployment)),
        false => Some(format!("{}-{INDEX}", deployment.name)),
    };
    let tls = fields.optional("tls", tls);
    let journal = fields.at("journal").object(&["folder", "maxBytes"]);
    let folder = journal
        .at("folder")
        .text()
        .map(|text| per_front_end(&journal.at("folder"), text, deployment));
    let rules = Rules::at(&fields.at("triggers"), deployment);
    let (dead_letter_topic, max_deliveries) = dead_letter_settings(&fields, &rules);
    if version == Version::V311 {
        check_reply_topics(&fields, &rules);
    }
    let reply_margin = reply_margin(&fields, &rules);
    let group = group(&fields);
    let integer = |key, range, default: u32| {
        fields
            .optional(key, |p| p.integer(range))
            .unwrap_or(default)
    };
    let seconds = |key, range, default: f64| {
        fields
            .optional(key, |p| p.seconds(range))
            .unwrap_or(default)
    };
    let session_expiry = seconds("sessionExpiry", 60.0..=2_592_000.0, default::SESSION_EXPIRY);
    let keep_alive = seconds("keepAlive", 1.0..=3_600.0, default::KEEP_ALIVE);
    let max_packet_size = fields
        .optional("largestPacket", |p| p.bytes(1_024.0..=2e8))
        .unwrap_or(default::LARGEST_PACKET);
    let max_journal_bytes = journal
        .optional("maxBytes", |p| p.bytes(65_536.0..=1e12))
        .unwrap_or(default::JOURNAL_BYTES);
    Some(TriggerSettings {
        broker: broker?,
        version,
        client_id: client_id?,
        username: fields.optional("username", Place::text),
        password_file: fields
            .optional("passwordFile", Place::text)
            .map(PathBuf::from),
        tls,
        group,
        keep_alive: keep_alive as u16,
        session_expiry: session_expiry as u32,
        receive_maximum: integer("receiveMaximum", 1..=20_000, default::RECEIVE_MAXIMUM) as u16,
        max_in_flight: integer("inFlight", 1..=100_000, default::IN_FLIGHT) as usize,
        max_packet_size: max_packet_size as u32,
        reassigns_unacknowledged: fields.at("handsOver").flag(true),
        journal: folder?,
        max_journal_bytes: max_journal_bytes as u64,
        dead_letter_topic,
        max_deliveries,
        reply_margin,
        rules,
    })
}

/// Checks that a value that must differ between front ends contains the index placeholder if there are several.
/// Every front end needs its own session and its own journal.
fn per_front_end(place: &Place, text: String, deployment: &Deployment) -> String {
    if deployment.policy.front_ends > 1.0 && !text.contains(INDEX) {
        place.fault(format!(
            "must contain '{INDEX}': each of the front ends needs its own"
        ));
    }
    text
}

fn tls(place: &Place) -> Option<TlsSettings> {
    let fields = place.object(&["authorities", "certificate", "key", "name"]);
    let path = |key| fields.optional(key, Place::text).map(PathBuf::from);
    let identity = match (path("certificate"), path("key")) {
        (Some(certificate), Some(key)) => Some((certificate, key)),
        (None, None) => None,
        _ => {
            place.fault("'certificate' and 'key' must be set together");
            None
        }
    };
    let ca_certificates = fields.at("authorities").text()?.into();
    Some(TlsSettings {
        ca_certificates,
        client_identity: identity,
        server_name: fields.at("name").text()?,
    })
}

/// Returns the topic for dead letters, if there is one, and the number of deliveries after which a message becomes one.
fn dead_letter_settings(fields: &Fields, rules: &Rules) -> (Option<String>, u32) {
    let fields = fields.optional_object("setAside", &["topic", "after"]);
    let topic = fields.optional("topic", Place::text);
    if let Some(topic) = &topic {
        if let Err(why) = check_topic(topic) {
            fields
                .at("topic")
                .fault(format!("not a valid topic: {why}"));
        } else if rules
            .list
            .iter()
            .any(|rule| rule.topic.filter().matches(topic))
        {
            fields
                .at("topic")
                .fault("a trigger subscribes to this topic: dead letters would be consumed again");
        }
    }
    let max_deliveries = fields
        .optional("after", |p| p.integer(1..=1_000))
        .unwrap_or(default::MOST_TIMES);
    (topic, max_deliveries)
}

/// Reports a rule that answers to the response topic, which MQTT 3.1.1 does not have.
fn check_reply_topics(fields: &Fields, rules: &Rules) {
    let rule_index = rules
        .list
        .iter()
        .position(|rule| rule.reply_to == ReplyTo::ResponseTopic);
    if let Some(index) = rule_index {
        fields.at("triggers").fault(format!(
            "triggers[{index}]: MQTT 3.1.1 has no response topics; set 'answer' to a topic or 'none'"
        ));
    }
}

fn reply_margin(fields: &Fields, rules: &Rules) -> f64 {
    let margin = fields
        .optional("answerMargin", |p| p.seconds(0.001..=60.0))
        .unwrap_or(default::ANSWER_MARGIN);
    if let Some(rule) = rules.list.iter().find(|rule| rule.timeout <= 2.0 * margin) {
        let what = format!(
            "must be less than half of the 'timeLeft' of each trigger: '{}' has {} s",
            rule.topic.filter(),
            rule.timeout
        );
        fields.at("answerMargin").fault(what);
    }
    margin
}

fn group(fields: &Fields) -> String {
    let group = fields
        .optional("group", Place::text)
        .unwrap_or_else(|| default::GROUP.into());
    if group.contains(['/', '+', '#']) {
        fields.at("group").fault("must not contain '/', '+' or '#'");
    }
    group
}

impl TriggerSettings {
    /// The directory of a front end's journal.
    pub fn journal_dir(&self, index: u32) -> PathBuf {
        self.journal.replace(INDEX, &index.to_string()).into()
    }

    /// The maximum number of messages that a front end holds: waiting and in flight.
    pub fn max_held_messages(&self) -> usize {
        usize::from(self.receive_maximum) + self.max_in_flight
    }

    /// Session options of the front end with this index. The password is not set.
    pub fn session_options(&self, index: u32) -> SessionOptions {
        let mut filters: BTreeMap<String, Subscription> = BTreeMap::new();
        for rule in &self.rules.list {
            let filter = format!("$share/{}/{}", self.group, rule.topic.filter());
            let qos = rule.qos;
            let wanted = Subscription {
                filter: filter.clone(),
                qos,
                no_local: false,
                retain_as_published: true,
                retain_handling: 2,
            };
            filters.insert(filter, wanted);
        }
        SessionOptions {
            version: self.version,
            client_id: self.client_id.replace(INDEX, &index.to_string()),
            username: self.username.clone(),
            password: None,
            keep_alive: self.keep_alive,
            session_expiry: self.session_expiry,
            receive_maximum: self.receive_maximum,
            max_packet_size: self.max_packet_size,
            topic_alias_maximum: 64,
            will: None,
            subscriptions: filters.into_values().collect(),
            max_queued_publishes: self.max_held_messages(),
            requests_confirmation: true,
        }
    }
}
