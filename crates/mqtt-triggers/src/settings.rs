//! The `mqtt` section of a deployment file: the broker, the session, the journal, and the triggers.

use crate::rules::{ReplyTo, Rules};
use orchidtally_deployment::reader::{Fields, Place};
use orchidtally_deployment::{Deployment, DeploymentFault};
use orchidtally_mqtt::filter::check_topic;
use orchidtally_mqtt::packet::{Subscription, Version};
use orchidtally_mqtt::session::SessionOptions;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The files of TLS in PEM, which are read for each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The certificates of the authorities that are trusted.
    pub ca_certificates: PathBuf,
    /// The files of the client's certificates and key, where the broker wants them.
    pub client_identity: Option<(PathBuf, PathBuf)>,
    /// The name that the broker's certificate has to be for.
    pub server_name: String,
}

/// The `mqtt` section.
#[derive(Clone, Debug)]
pub struct TriggerSettings {
    /// The address of the broker.
    pub broker: SocketAddr,
    /// The protocol version that is spoken.
    pub version: Version,
    client_id: String,
    /// The user name, where the broker wants one.
    pub username: Option<String>,
    /// The file that holds the password.
    pub password_file: Option<PathBuf>,
    /// Set where the connection uses TLS.
    pub tls: Option<TlsSettings>,
    /// The group of the shared subscriptions, by which front ends share the messages.
    pub group: String,
    /// Seconds without a packet after which a ping is sent.
    pub keep_alive: u16,
    /// Seconds for which the broker keeps the session without a connection.
    pub session_expiry: u32,
    /// The most deliveries that may be unacknowledged at a time.
    pub receive_maximum: u16,
    /// The most invocations at a time.
    pub max_in_flight: usize,
    /// The size in bytes of the largest packet that is accepted.
    pub max_packet_size: u32,
    /// The broker gives a message of QoS 1 that is not acknowledged to another subscriber of the group.
    pub reassigns_unacknowledged: bool,
    journal: String,
    /// Bytes of the journal from which on nothing new is taken.
    pub max_journal_bytes: u64,
    /// The topic to which messages that are set aside are copied.
    pub dead_letter_topic: Option<String>,
    /// How often a message is taken before it is set aside.
    pub max_deliveries: u32,
    /// Seconds by which an answer has to be ready before its publisher gives up.
    pub reply_margin: f64,
    /// The trigger rules.
    pub rules: Rules,
}

/// What the front end's index replaces in a text.
const INDEX: &str = "{index}";

/// Reads a deployment file with its `mqtt` section, if it has one, or returns every fault in both.
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

/// Defaults of what the section leaves out; times in seconds, sizes in bytes.
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
            .map(|text| own(&fields.at("clientId"), text, deployment)),
        false => Some(format!("{}-{INDEX}", deployment.name)),
    };
    let tls = fields.optional("tls", tls);
    let journal = fields.at("journal").object(&["folder", "maxBytes"]);
    let folder = journal
        .at("folder")
        .text()
        .map(|text| own(&journal.at("folder"), text, deployment));
    let rules = Rules::at(&fields.at("triggers"), deployment);
    let (dead_letter_topic, max_deliveries) = dead_letter_settings(&fields, &rules);
    if version == Version::V311 {
        check_reply_topics(&fields, &rules);
    }
    let reply_margin = reply_margin(&fields, &rules);
    let group = group(&fields);
    let whole = |key, range, default: u32| {
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
        receive_maximum: whole("receiveMaximum", 1..=20_000, default::RECEIVE_MAXIMUM) as u16,
        max_in_flight: whole("inFlight", 1..=100_000, default::IN_FLIGHT) as usize,
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

/// A text that each front end needs for itself, because it has a session and a journal of its own.
fn own(place: &Place, text: String, deployment: &Deployment) -> String {
    if deployment.policy.front_ends > 1.0 && !text.contains(INDEX) {
        place.fault(format!(
            "there are several front ends; '{INDEX}' has to stand in it for each one's own"
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
            place.fault("'certificate' and 'key' belong together");
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

/// The topic to which messages that are set aside are copied, and after how many tries that is done.
fn dead_letter_settings(fields: &Fields, rules: &Rules) -> (Option<String>, u32) {
    let fields = fields.optional_object("setAside", &["topic", "after"]);
    let topic = fields.optional("topic", Place::text);
    if let Some(topic) = &topic {
        if let Err(why) = check_topic(topic) {
            fields.at("topic").fault(format!("no topic: {why}"));
        } else if rules
            .list
            .iter()
            .any(|rule| rule.topic.filter().matches(topic))
        {
            fields
                .at("topic")
                .fault("what is set aside would come back as a message");
        }
    }
    let max_deliveries = fields
        .optional("after", |p| p.integer(1..=1_000))
        .unwrap_or(default::MOST_TIMES);
    (topic, max_deliveries)
}

/// Version 3.1.1 has no response topics.
fn check_reply_topics(fields: &Fields, rules: &Rules) {
    let without_topic = rules
        .list
        .iter()
        .position(|rule| rule.reply_to == ReplyTo::ResponseTopic);
    if let Some(index) = without_topic {
        fields.at("triggers").fault(format!(
            "triggers[{index}]: version 3.1.1 has no response topics; 'answer' has to name one"
        ));
    }
}

fn reply_margin(fields: &Fields, rules: &Rules) -> f64 {
    let margin = fields
        .optional("answerMargin", |p| p.seconds(0.001..=60.0))
        .unwrap_or(default::ANSWER_MARGIN);
    if let Some(rule) = rules.list.iter().find(|rule| rule.timeout <= 2.0 * margin) {
        let what = format!(
            "leaves no time: '{}' has {} s",
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
        fields.at("group").fault("must not have '/', '+' and '#'");
    }
    group
}

impl TriggerSettings {
    /// The folder of a front end's journal.
    pub fn journal_dir(&self, index: u32) -> PathBuf {
        self.journal.replace(INDEX, &index.to_string()).into()
    }

    /// The most messages in hand at a time: those that wait and those in flight.
    pub fn max_held_messages(&self) -> usize {
        usize::from(self.receive_maximum) + self.max_in_flight
    }

    /// The options of a front end's session, without the password.
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
