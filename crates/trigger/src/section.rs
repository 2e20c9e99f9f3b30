//! The `mqtt` section of a deployment file: the broker, the session, the journal, and the triggers.

use crate::rules::{ReplyTo, Rules};
use orchidtally_deployment::reader::Place;
use orchidtally_deployment::{Deployment, Fault};
use orchidtally_mqtt::filter::check_topic;
use orchidtally_mqtt::packet::{Subscription, Version};
use orchidtally_mqtt::session::SessionOptions;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Files in PEM, read anew for each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    pub authorities: PathBuf,
    /// The client's certificates and key, where the broker wants them.
    pub identity: Option<(PathBuf, PathBuf)>,
    /// The name that the broker's certificate has to have.
    pub name: String,
}

#[derive(Clone, Debug)]
pub struct Section {
    pub broker: SocketAddr,
    pub version: Version,
    client_id: String,
    pub username: Option<String>,
    pub password_file: Option<PathBuf>,
    pub tls: Option<Tls>,
    /// Front ends share the messages by this name.
    pub group: String,
    pub keep_alive: u16,
    pub session_expiry: u32,
    pub receive_maximum: u16,
    pub in_flight: usize,
    pub largest_packet: u32,
    /// The broker gives a message of QoS 1 that isn't acknowledged to another subscriber of the group.
    pub hands_over: bool,
    journal: String,
    /// Entries and snapshot; with more nothing new is taken.
    pub journal_bytes: u64,
    pub set_aside: Option<String>,
    pub most_times: u32,
    /// An answer has to be ready by so much earlier than its publisher gives up.
    pub answer_margin: f64,
    pub rules: Rules,
}

const INDEX: &str = "{index}";

/// Reads a deployment file with its `mqtt` section, if it has one, or tells every fault in both.
pub fn read(text: &str) -> Result<(Deployment, Option<Section>), Vec<Fault>> {
    Deployment::read_with(
        text,
        |place, deployment| {
            if place.is_given() { section(place, deployment) } else { None }
        },
    )
}

fn section(place: &Place, deployment: &Deployment) -> Option<Section> {
    let top = place.object(&[
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
    ]);
    let broker = top.at("broker").parsed("an address and port", str::parse);
    let versions = [("5", Version::V5), ("3.1.1", Version::V311)];
    let version = top.maybe("version", |p| p.one_of(&versions)).unwrap_or(Version::V5);
    // Each front end has a session and a journal of its own.
    let own = |place: &Place, text: String| {
        if deployment.policy.front_ends > 1.0 && !text.contains(INDEX) {
            place.fault(format!(
                "there are several front ends; '{INDEX}' has to stand in it for each one's own"
            ));
        }
        text
    };
    let client_id = match top.at("clientId").is_given() {
        true => top.at("clientId").text().map(|t| own(&top.at("clientId"), t)),
        false => Some(format!("{}-{INDEX}", deployment.name)),
    };
    let tls = top.maybe("tls", |p| {
        let f = p.object(&["authorities", "certificate", "key", "name"]);
        let path = |key| f.maybe(key, Place::text).map(PathBuf::from);
        let identity = match (path("certificate"), path("key")) {
            (Some(certificate), Some(key)) => Some((certificate, key)),
            (None, None) => None,
            _ => {
                p.fault("'certificate' and 'key' belong together");
                None
            }
        };
        let authorities = f.at("authorities").text()?.into();
        Some(Tls { authorities, identity, name: f.at("name").text()? })
    });
    let journal = top.at("journal").object(&["folder", "maxBytes"]);
    let folder = journal.at("folder").text().map(|t| own(&journal.at("folder"), t));
    let aside = top.at("setAside");
    let aside = if aside.is_given() { aside.object(&["topic", "after"]) } else { top.nothing("setAside") };
    let set_aside = aside.maybe("topic", Place::text);
    let rules = Rules::at(&top.at("triggers"), deployment);
    if let Some(topic) = &set_aside {
        if let Err(why) = check_topic(topic) {
            aside.at("topic").fault(format!("no topic: {why}"));
        } else if rules.list.iter().any(|r| r.topic.filter().matches(topic)) {
            aside.at("topic").fault("what is set aside would come back as a message");
        }
    }
    if version == Version::V311 {
        let asked = rules.list.iter().position(|r| r.reply_to == ReplyTo::ResponseTopic);
        if let Some(n) = asked {
            top.at("triggers").fault(format!(
                "triggers[{n}]: version 3.1.1 has no response topics; 'answer' has to name one"
            ));
        }
    }
    let answer_margin = top.maybe("answerMargin", |p| p.seconds(0.001..=60.0)).unwrap_or(0.1);
    if let Some(rule) = rules.list.iter().find(|r| r.time_left <= 2.0 * answer_margin) {
        let what = format!("leaves no time: '{}' has {} s", rule.topic.filter(), rule.time_left);
        top.at("answerMargin").fault(what);
    }
    let group = top.maybe("group", Place::text).unwrap_or_else(|| "orchidtally".into());
    if group.contains(['/', '+', '#']) {
        top.at("group").fault("must not have '/', '+' and '#'");
    }
    let whole = |key, range, absent: u32| top.maybe(key, |p| p.whole(range)).unwrap_or(absent);
    let expiry = top.maybe("sessionExpiry", |p| p.seconds(60.0..=2_592_000.0)).unwrap_or(3_600.0);
    Some(Section {
        broker: broker?,
        version,
        client_id: client_id?,
        username: top.maybe("username", Place::text),
        password_file: top.maybe("passwordFile", Place::text).map(PathBuf::from),
        tls,
        group,
        keep_alive: top.maybe("keepAlive", |p| p.seconds(1.0..=3_600.0)).unwrap_or(15.0) as u16,
        session_expiry: expiry as u32,
        receive_maximum: whole("receiveMaximum", 1..=20_000, 256) as u16,
        in_flight: whole("inFlight", 1..=100_000, 256) as usize,
        largest_packet: top.maybe("largestPacket", |p| p.bytes(1_024.0..=2e8)).unwrap_or(2_097_152.0) as u32,
        hands_over: top.at("handsOver").flag(true),
        journal: folder?,
        journal_bytes: journal.maybe("maxBytes", |p| p.bytes(65_536.0..=1e12)).unwrap_or(268_435_456.0)
            as u64,
        set_aside,
        most_times: aside.maybe("after", |p| p.whole(1..=1_000)).unwrap_or(5),
        answer_margin,
        rules,
    })
}

impl Section {
    /// The folder of a front end's journal.
    pub fn folder(&self, index: u32) -> PathBuf {
        self.journal.replace(INDEX, &index.to_string()).into()
    }

    /// Messages that may be in hand at once: those that wait and those in flight.
    pub fn most_held(&self) -> usize {
        usize::from(self.receive_maximum) + self.in_flight
    }

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
            largest_packet: self.largest_packet,
            topic_aliases: 64,
            will: None,
            filters: filters.into_values().collect(),
            most_waiting: self.most_held(),
            confirms: true,
        }
    }
}
