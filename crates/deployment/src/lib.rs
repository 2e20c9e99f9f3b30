//! The description of a deployment, in JSON5. It is checked as a whole: every fault is told in one pass, with
//! line, column, key and what would be right. What is sound is decoded once, into the module's `Terms` and
//! into what the program needs besides.

pub mod reader;

use ipnet::IpNet;
use orchidtally::interface::*;
pub use reader::Fault;
use reader::{Document, Fields, Place};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// What the program needs of a trigger type besides the module's terms, at the same place of its list.
#[derive(Clone, Debug)]
pub struct Trigger {
    pub name: String,
    /// The answer is passed on from its first byte.
    pub streams: bool,
    /// Invocations over HTTP are written down under their names before they are dispatched.
    pub journalled: bool,
}

/// Where that is kept, and for how long.
#[derive(Clone, Debug)]
pub struct Journalling {
    folder: String,
    /// With more entries and state than this nothing new is taken.
    pub max_bytes: u64,
    /// Seconds that an answer is kept, and names at the most.
    pub keep: f64,
    pub most_kept: usize,
}

impl Journalling {
    /// The folder of one front end.
    pub fn folder(&self, index: u32) -> PathBuf {
        self.folder.replace("{index}", &index.to_string()).into()
    }
}

/// What runs under a function's name. Copies, placements and reports are of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// SHA-256 of its package in hexadecimal digits; empty where the file names none.
    pub digest: Rc<str>,
    /// The number by which all front ends know it.
    pub key: u64,
    pub lanes: f64,
    pub memory: f64,
    pub load_time: Option<f64>,
    pub work: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Function {
    pub name: Rc<str>,
    pub versions: Rc<[Version]>,
    /// Names of versions, by their place.
    pub aliases: Rc<BTreeMap<String, usize>>,
}

impl Function {
    /// A version by an alias, or by a digest with or without `sha256:` before it.
    pub fn version(&self, name: &str) -> Option<&Version> {
        let by_alias = self.aliases.get(name).and_then(|&n| self.versions.get(n));
        let digest = name.strip_prefix("sha256:").unwrap_or(name);
        by_alias.or_else(|| self.versions.iter().find(|v| *v.digest == *digest))
    }
}

#[derive(Clone, Debug)]
pub enum Source {
    /// The executors that the file lists.
    Listed(Vec<RosterRow>),
    /// A publisher that is asked for the roster and tells its changes.
    Publisher(SocketAddr),
    /// etcd, where executors and front ends have their entries.
    Etcd(Etcd),
}

#[derive(Clone, Debug)]
pub struct Etcd {
    pub endpoints: Vec<SocketAddr>,
    /// All keys begin so.
    pub prefix: String,
    /// Seconds that a front end's entry outlives its last word.
    pub lease: f64,
}

/// What the front end grants its clients and opens to executors.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub open_invocations: usize,
    pub connections: usize,
    pub header_bytes: u32,
    pub body_bytes: usize,
    pub answer_bytes: usize,
    /// In which a client has to have sent headers, and then the body.
    pub sender_time: f64,
    /// By so much earlier than the client timeout its answer leaves.
    pub answer_margin: f64,
    /// And earlier by so much for each invocation that is open: answers that fall due together go out in turn.
    pub answer_time: f64,
    pub streams_per_connection: usize,
    pub connections_per_executor: usize,
    pub connect_time: f64,
    pub idle_close: f64,
    /// An order to load that has no answer by then is given up.
    pub order_time: f64,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub terms: Terms,
    pub trigger_types: Vec<Trigger>,
    pub customers: Vec<String>,
    pub functions: HashMap<Rc<str>, Function>,
    /// What any function has that is not listed; without it such a function is unknown.
    pub other_functions: Option<Function>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub source: Source,
    pub allowed: Vec<IpNet>,
    /// Who is asked for rollouts; each is told of the others' terms.
    pub coordinators: Vec<SocketAddr>,
    /// How often they are asked.
    pub rollouts_asked: f64,
    pub journal: Option<Journalling>,
    pub bounds: Bounds,
}

/// The number by which all front ends know a function: the first bytes of its name's SHA-256.
pub fn key(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

impl Deployment {
    /// Reads a description, or tells every fault in it.
    pub fn read(text: &str) -> Result<Deployment, Vec<Fault>> {
        Deployment::read_with(text, |_, _| ()).map(|read| read.0)
    }

    /// Reads a description and with it a section that another package understands, in one pass over the faults.
    pub fn read_with<T>(
        text: &str,
        more: impl FnOnce(&Place, &Deployment) -> T,
    ) -> Result<(Deployment, T), Vec<Fault>> {
        let document = Document::new(text);
        let Some(value) = document.parse() else { return Err(document.faults()) };
        let read = deployment(&document.root(&value), more);
        match (read, document.faults()) {
            (Some(read), faults) if faults.is_empty() => Ok(read),
            (None, faults) if faults.is_empty() => unreachable!("nothing is left out without a fault"),
            (_, faults) => Err(faults),
        }
    }

    /// A function by its name, listed or not.
    pub fn function(&self, name: &str) -> Option<Function> {
        self.functions.get(name).cloned().or_else(|| {
            let other = self.other_functions.as_ref()?;
            let versions = other.versions.iter().map(|v| Version { key: key(name), ..v.clone() }).collect();
            Some(Function { name: name.into(), versions, aliases: other.aliases.clone() })
        })
    }

    pub fn trigger_type(&self, name: &str) -> Option<usize> {
        self.trigger_types.iter().position(|t| t.name == name)
    }

    pub fn allows(&self, address: SocketAddr) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|net| net.contains(&address.ip()))
    }
}

fn deployment<T>(root: &Place, more: impl FnOnce(&Place, &Deployment) -> T) -> Option<(Deployment, T)> {
    let top = root.object(&[
        "name",
        "listen",
        "location",
        "locations",
        "kinds",
        "frontEnds",
        "crossing",
        "triggerTypes",
        "customers",
        "overShareValue",
        "valueByWork",
        "functions",
        "otherFunctions",
        "executors",
        "limits",
        "safety",
        "loading",
        "reports",
        "rollouts",
        "journal",
        "mqtt",
    ]);
    let name = top.maybe("name", Place::text).unwrap_or_else(|| "unnamed".into());
    let listen = top.maybe("listen", |p| p.parsed("an address and port", str::parse));
    let locations = names(&top.at("locations"), "default", 250);
    let kinds = names(&top.at("kinds"), "default", 250);
    let zone = place_of(&top, "location", &locations).unwrap_or(0);
    let mut triggers = vec![];
    let mut trigger_types = vec![];
    let list = top.at("triggerTypes").list();
    if list.is_empty() {
        top.at("triggerTypes").fault("at least one trigger type is wanted");
    }
    let mut seen = HashMap::new();
    for place in &list {
        let Some((trigger, terms)) = trigger_type(place) else { continue };
        if seen.insert(trigger.name.clone(), ()).is_some() {
            place.fault(format!("there are two trigger types '{}'", trigger.name));
        }
        triggers.push(trigger);
        trigger_types.push(terms);
    }
    let triggers_journalled: Vec<String> =
        triggers.iter().filter(|t| t.journalled).map(|t| t.name.clone()).collect();
    let (mut customers, mut quotas) = (vec![], vec![]);
    for place in top.at("customers").list() {
        let fields = place.object(&["name", "share"]);
        let name = fields.at("name").text();
        let share = fields.at("share").number(0.001..=1e9);
        if let (Some(name), Some(share)) = (name, share) {
            if customers.contains(&name) {
                place.fault(format!("there are two customers '{name}'"));
            }
            customers.push(name);
            quotas.push(share);
        }
    }
    let mut functions = HashMap::new();
    for place in top.at("functions").list() {
        let Some(function) = function(&place, true) else { continue };
        if let Some(other) = functions.insert(function.name.clone(), function) {
            place.fault(format!("there are two functions '{}'", other.name));
        }
    }
    let other_functions = top.maybe("otherFunctions", |p| function(p, false));
    if !top.at("functions").is_given() && !top.at("otherFunctions").is_given() {
        top.at("functions").fault("is missing; list functions, or say under 'otherFunctions' what any has");
    }
    let by_cell = trigger_types.iter().any(|t| t.effect == Effect::Tokened && t.group == Group::Cell);
    let by_zone = trigger_types.iter().any(|t| t.effect == Effect::Tokened && t.group == Group::Zone);
    let (source, allowed) = executors(&top.at("executors"), &locations, &kinds, by_cell, by_zone);

    let rollouts = optional(&top, "rollouts", &["coordinators", "every"]);
    let coordinators: Vec<SocketAddr> = rollouts
        .at("coordinators")
        .list()
        .iter()
        .filter_map(|p| p.parsed("an address and port", str::parse))
        .collect();
    if coordinators.len() > 5 {
        rollouts.at("coordinators").fault("5 coordinators at most are asked");
    }
    let rollouts_asked = rollouts.maybe("every", |p| p.seconds(0.05..=2.0)).unwrap_or(0.5);
    let fe = optional(&top, "frontEnds", &["count", "index", "clockSkew", "tick"]);
    let count = fe.maybe("count", |p| p.whole(1..=100_000)).unwrap_or(1);
    let index = fe.maybe("index", |p| p.whole(0..=99_999)).unwrap_or(0);
    if index >= count {
        fe.at("index").fault(format!("{index} is no index among {count} front ends; 0 to {} is", count - 1));
    }
    let skew = fe.maybe("clockSkew", |p| p.seconds(0.0..=60.0)).unwrap_or(0.5);
    let tick = fe.maybe("tick", |p| p.seconds(1e-4..=0.05)).unwrap_or(0.002);

    let limits = optional(
        &top,
        "limits",
        &[
            "maxDispatches",
            "secondCopies",
            "cancel",
            "maxRetryAfter",
            "openInvocations",
            "connections",
            "headerBytes",
            "bodyBytes",
            "answerBytes",
            "senderTime",
            "answerMargin",
            "answerTime",
            "streamsPerConnection",
            "connectionsPerExecutor",
            "connectTime",
            "idleClose",
        ],
    );
    let whole = |key, range, absent: u32| limits.maybe(key, |p| p.whole(range)).unwrap_or(absent);
    let bytes = |key, absent| limits.maybe(key, |p| p.bytes(1.0..=1e10)).unwrap_or(absent);
    let time = |key, most, absent| limits.maybe(key, |p| p.seconds(0.001..=most)).unwrap_or(absent);
    let safety = optional(&top, "safety", &["cold", "coldFrom", "overloadFactor", "fall"]);
    let loading = optional(
        &top,
        "loading",
        &[
            "orders",
            "answersMiss",
            "tellsCrowd",
            "keepAlive",
            "rationFloor",
            "rationShare",
            "rationWindow",
            "answerWithin",
        ],
    );
    let bounds = Bounds {
        open_invocations: whole("openInvocations", 1..=10_000_000, 20_000) as usize,
        connections: whole("connections", 1..=1_000_000, 10_000) as usize,
        header_bytes: bytes("headerBytes", 16_384.0).clamp(8_192.0, 1e6) as u32,
        body_bytes: bytes("bodyBytes", 1_048_576.0) as usize,
        answer_bytes: bytes("answerBytes", 4_194_304.0) as usize,
        sender_time: time("senderTime", 600.0, 10.0),
        answer_margin: time("answerMargin", 5.0, 0.025),
        answer_time: limits.maybe("answerTime", |p| p.seconds(0.0..=0.01)).unwrap_or(40e-6),
        streams_per_connection: whole("streamsPerConnection", 1..=100_000, 100) as usize,
        connections_per_executor: whole("connectionsPerExecutor", 1..=10_000, 4) as usize,
        connect_time: time("connectTime", 60.0, 0.25),
        idle_close: time("idleClose", 86_400.0, 15.0),
        order_time: loading.maybe("answerWithin", |p| p.seconds(0.01..=3_600.0)).unwrap_or(10.0),
    };
    if let Some(t) = trigger_types.iter().position(|t| t.timeout <= 2.0 * bounds.answer_margin) {
        let what = format!(
            "leaves no time: the client timeout of '{}' is {} s, more than twice the margin is wanted",
            triggers[t].name, trigger_types[t].timeout
        );
        limits.at("answerMargin").fault(what);
    }
    let orders = loading.at("orders").flag(true);
    let answers_miss = loading.at("answersMiss").flag(false);
    if answers_miss && !orders {
        loading.at("answersMiss").fault("executors that answer 'miss' load by orders alone; orders are off");
    }
    let reports: Vec<_> = top.at("reports").list().iter().filter_map(Place::text).collect();
    let terms = Terms {
        trigger_types,
        quotas,
        over_share_value: top.maybe("overShareValue", |p| p.number(0.0..=1.0)).unwrap_or(0.1),
        value_by_work: top.at("valueByWork").flag(false),
        front_ends: f64::from(count),
        index: f64::from(index),
        zone,
        crossing: top.maybe("crossing", |p| p.number(0.0..=10.0)).unwrap_or(0.02),
        tick,
        max_dispatches: whole("maxDispatches", 1..=255, 4) as u8,
        second_copies: limits.at("secondCopies").flag(false),
        cancel: limits.at("cancel").flag(true),
        max_retry_after: limits.maybe("maxRetryAfter", |p| p.seconds(0.0..=3_600.0)).unwrap_or(1.0),
        roster_asked: !matches!(source, Source::Listed(_)),
        cold: safety.maybe("cold", |p| p.seconds(0.001..=3_600.0)).unwrap_or(15.0),
        cold_from: safety.maybe("coldFrom", |p| p.number(0.001..=1.0)).unwrap_or(0.15),
        overload_factor: safety.maybe("overloadFactor", |p| p.number(1.0..=100.0)).unwrap_or(2.0),
        fall: safety.maybe("fall", |p| p.seconds(0.01..=60.0)).unwrap_or(1.0),
        skew,
        orders,
        order_price: 0.0,
        answers_miss,
        tells_crowd: loading.at("tellsCrowd").flag(true),
        keep_alive: loading.maybe("keepAlive", |p| p.seconds(0.0..=86_400.0)).unwrap_or(8.0),
        ration_floor: loading.maybe("rationFloor", |p| p.number(0.0..=1e6)).unwrap_or(2.0),
        ration_share: loading.maybe("rationShare", |p| p.number(0.0..=1.0)).unwrap_or(0.2),
        ration_window: loading.maybe("rationWindow", |p| p.seconds(0.0..=3_600.0)).unwrap_or(5.0),
        backlog_field: reports.iter().position(|r| r == "backlog"),
        loads_field: reports.iter().position(|r| r == "loads"),
    };
    let deployment = Deployment {
        name,
        listen: listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 7300))),
        terms,
        trigger_types: triggers,
        customers,
        functions,
        other_functions,
        locations,
        kinds,
        source,
        allowed,
        coordinators,
        rollouts_asked,
        journal: journalling(&top, count, &triggers_journalled),
        bounds,
    };
    let more = more(&top.at("mqtt"), &deployment);
    Some((deployment, more))
}

fn journalling(top: &Fields, front_ends: u32, journalled: &[String]) -> Option<Journalling> {
    let place = top.at("journal");
    if !place.is_given() {
        if let Some(name) = journalled.first() {
            place.fault(format!("is missing; the trigger type '{name}' is journalled"));
        }
        return None;
    }
    let fields = place.object(&["folder", "maxBytes", "keep", "mostKept"]);
    let folder = fields.at("folder").text();
    if folder.as_ref().is_some_and(|f| front_ends > 1 && !f.contains("{index}")) {
        fields
            .at("folder")
            .fault("there are several front ends; '{index}' has to stand in it for each one's own");
    }
    Some(Journalling {
        folder: folder?,
        max_bytes: fields.maybe("maxBytes", |p| p.bytes(65_536.0..=1e12)).unwrap_or(268_435_456.0) as u64,
        keep: fields.maybe("keep", |p| p.seconds(1.0..=2_592_000.0)).unwrap_or(3_600.0),
        most_kept: fields.maybe("mostKept", |p| p.whole(1..=10_000_000)).unwrap_or(100_000) as usize,
    })
}

/// The fields of an object that may be left out whole.
fn optional<'a, 'd>(top: &Fields<'a, 'd>, name: &str, keys: &[&str]) -> Fields<'a, 'd> {
    let place = top.at(name);
    if place.is_given() { place.object(keys) } else { top.nothing(name) }
}

fn names(place: &Place, absent: &str, most: usize) -> Vec<String> {
    let list = place.list();
    if list.len() > most {
        place.fault(format!("{} are too many, {most} at most", list.len()));
    }
    let mut names: Vec<String> = vec![];
    for p in &list {
        match p.text() {
            Some(name) if names.contains(&name) => p.fault(format!("'{name}' is given twice")),
            Some(name) => names.push(name),
            None => {}
        }
    }
    if names.is_empty() {
        names.push(absent.into());
    }
    names
}

/// The place of a name in its list; the first where it is left out.
fn place_of(fields: &Fields, key: &str, names: &[String]) -> Option<u8> {
    let pairs: Vec<(&str, u8)> = names.iter().enumerate().map(|(n, s)| (s.as_str(), n as u8)).collect();
    if fields.at(key).is_given() { fields.at(key).one_of(&pairs) } else { Some(0) }
}

fn trigger_type(place: &Place) -> Option<(Trigger, TriggerType)> {
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
        ("idempotent", Effect::Idempotent),
        ("tokened", Effect::Tokened),
        ("nonIdempotent", Effect::NonIdempotent),
    ]);
    let objective = fields.at("objective").seconds(0.001..=3_600.0);
    let timeout = fields.at("timeout").seconds(0.001..=3_600.0);
    if let (Some(o), Some(t)) = (objective, timeout)
        && o > t
    {
        fields.at("objective").fault(format!("{o} s is over the client timeout of {t} s"));
    }
    let stretch = fields.maybe("stretch", |p| p.number(0.0..=1_000.0)).unwrap_or(0.0);
    let billed_value = fields.maybe("billedValue", |p| p.number(0.001..=1e6)).unwrap_or(1.0);
    let late_share = fields.maybe("lateShare", |p| p.number(0.0..=1.0)).unwrap_or(0.0);
    let tokened = effect == Some(Effect::Tokened);
    let mut group = Some(Group::All);
    let mut window = Some(0.0);
    if tokened {
        group = fields.at("group").one_of(&[
            ("all", Group::All),
            ("location", Group::Zone),
            ("cell", Group::Cell),
        ]);
        window = fields.at("window").seconds(0.001..=86_400.0);
    } else if effect.is_some() {
        for key in ["group", "window"].into_iter().filter(|k| fields.at(k).is_given()) {
            fields.at(key).fault("only a tokened trigger type has one");
        }
    }
    let (streams, journalled) = (fields.at("streams").flag(false), fields.at("journalled").flag(false));
    if journalled && effect.is_some_and(|e| e != Effect::NonIdempotent) {
        fields.at("journalled").fault("only a non-idempotent trigger type gains by it");
    }
    if journalled && streams {
        fields.at("journalled").fault("a streamed answer can't be kept");
    }
    let trigger = Trigger { name: name?, streams, journalled };
    let terms = TriggerType {
        objective: objective?,
        stretch,
        timeout: timeout?,
        billed_value,
        late_share,
        effect: effect?,
        group: group?,
        window: window?,
    };
    Some((trigger, terms))
}

const VERSION: [&str; 4] = ["lanes", "memory", "loadTime", "work"];

/// What a version has; what its function has where it says nothing itself.
fn version(fields: &Fields, key: u64, digest: Rc<str>, of: Option<&Version>) -> Version {
    Version {
        digest,
        key,
        lanes: fields
            .maybe("lanes", |p| p.whole(1..=100_000))
            .map_or_else(|| of.map_or(1.0, |v| v.lanes), f64::from),
        memory: fields
            .maybe("memory", |p| p.bytes(1.0..=1e13))
            .unwrap_or_else(|| of.map_or(256e6, |v| v.memory)),
        load_time: fields
            .maybe("loadTime", |p| p.seconds(0.001..=600.0))
            .or_else(|| of.and_then(|v| v.load_time)),
        work: fields.maybe("work", |p| p.seconds(1e-6..=3_600.0)).or_else(|| of.and_then(|v| v.work)),
    }
}

fn digest(text: &str) -> Result<Rc<str>, &'static str> {
    let digits = text.strip_prefix("sha256:").ok_or("'sha256:' and 64 hexadecimal digits are wanted")?;
    let is_digest =
        digits.len() == 64 && digits.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if is_digest { Ok(digits.into()) } else { Err("64 hexadecimal digits in small letters are wanted") }
}

fn function(place: &Place, named: bool) -> Option<Function> {
    let mut keys = VERSION.to_vec();
    if named {
        keys.extend(["name", "versions", "aliases"]);
    }
    let fields = place.object(&keys);
    let name = if named { fields.at("name").text()? } else { String::new() };
    let odd = |c: char| c == '/' || c == '@' || c.is_whitespace() || c.is_control();
    if name.len() > 256 || name.chars().any(odd) {
        fields.at("name").fault("256 bytes at most, without '/', '@' and spaces, are wanted");
    }
    let whole = version(&fields, key(&name), "".into(), None);
    let mut versions: Vec<Version> = vec![];
    for p in fields.at("versions").list() {
        let f = p.object(&["digest", "lanes", "memory", "loadTime", "work"]);
        let Some(digest) = f.at("digest").parsed("a digest", digest) else { continue };
        if versions.iter().any(|v| v.digest == digest) {
            f.at("digest").fault("this version is listed twice");
        }
        let key = key(&format!("{name}@{digest}"));
        versions.push(version(&f, key, digest, Some(&whole)));
    }
    let mut aliases = BTreeMap::new();
    if fields.at("aliases").is_given() {
        if versions.is_empty() {
            fields.at("aliases").fault("there are no versions for them to name; list some under 'versions'");
        }
        for (alias, p) in fields.at("aliases").entries() {
            if alias.is_empty() || alias.len() > 64 || alias.starts_with("sha256:") || alias.contains(odd) {
                p.fault("an alias has 1 to 64 letters, without '/', '@', spaces and a leading 'sha256:'");
            }
            let Some(digest) = p.parsed("a digest", digest) else { continue };
            match versions.iter().position(|v| v.digest == digest) {
                Some(n) => {
                    aliases.insert(alias, n);
                }
                None => p.fault("no version of this function has this digest"),
            }
        }
    }
    if versions.is_empty() {
        versions.push(whole);
        aliases.insert("stable".into(), 0);
    } else if !aliases.contains_key("stable") {
        fields.at("aliases").fault("'stable' is missing: it names the version that plain invocations get");
    }
    Some(Function { name: name.into(), versions: versions.into(), aliases: aliases.into() })
}

fn executors(
    place: &Place,
    locations: &[String],
    kinds: &[String],
    by_cell: bool,
    by_zone: bool,
) -> (Source, Vec<IpNet>) {
    let fields = place.object(&["allowedNetworks", "publisher", "list", "etcd"]);
    let allowed: Vec<IpNet> = fields
        .at("allowedNetworks")
        .list()
        .iter()
        .filter_map(|p| p.parsed("a network such as '10.0.0.0/8'", str::parse))
        .collect();
    let allows = |a: &SocketAddr| allowed.is_empty() || allowed.iter().any(|n| n.contains(&a.ip()));
    let publisher = fields.maybe("publisher", |p| p.parsed("an address and port", str::parse));
    let (listed, published) = (fields.at("list").is_given(), fields.at("publisher").is_given());
    let etcd = fields.maybe("etcd", |p| {
        let f = p.object(&["endpoints", "prefix", "lease"]);
        let endpoints: Vec<SocketAddr> = f
            .at("endpoints")
            .list()
            .iter()
            .filter_map(|p| p.parsed("an address and port", str::parse))
            .collect();
        if endpoints.is_empty() {
            f.at("endpoints").fault("at least one is wanted");
        }
        let prefix = f.maybe("prefix", Place::text).unwrap_or_else(|| "/orchidtally/".into());
        if !prefix.ends_with('/') {
            f.at("prefix").fault("has to end with '/'");
        }
        Some(Etcd {
            endpoints,
            prefix,
            lease: f.maybe("lease", |p| p.seconds(2.0..=3_600.0)).unwrap_or(10.0),
        })
    });
    let sources = [listed, published, fields.at("etcd").is_given()];
    if place.is_given() && sources.iter().filter(|s| **s).count() != 1 {
        place.fault("one of 'list', 'publisher' and 'etcd' is wanted");
    }
    if let Some(etcd) = etcd {
        return (Source::Etcd(etcd), allowed);
    }
    if let Some(publisher) = publisher {
        if !allows(&publisher) {
            fields.at("publisher").fault(format!("{publisher} is in none of the allowed networks"));
        }
        return (Source::Publisher(publisher), allowed);
    }
    let mut rows: Vec<RosterRow> = vec![];
    for p in fields.at("list").list() {
        let row = p.object(&["address", "location", "kind", "cell", "weight"]);
        let address = row.at("address").parsed("an address and port", str::parse::<SocketAddr>);
        let zone = place_of(&row, "location", locations);
        let kind = place_of(&row, "kind", kinds);
        let cell = row.maybe("cell", |p| p.whole(0..=65_535));
        if by_cell && !row.at("cell").is_given() {
            row.at("cell").fault("is missing; a trigger type's tokens are dropped within cells");
        }
        let weight = row.maybe("weight", |p| p.number(0.001..=1e6)).unwrap_or(1.0);
        let (Some(address), Some(zone), Some(kind)) = (address, zone, kind) else { continue };
        if !allows(&address) {
            row.at("address").fault(format!("{address} is in none of the allowed networks"));
        }
        let executor = ExecutorId(address.ip(), address.port());
        if rows.iter().any(|r| r.executor == executor) {
            row.at("address").fault(format!("{address} is listed twice"));
        }
        let cell = cell.unwrap_or(0) as u16;
        if let Some(other) = rows.iter().find(|r| r.cell == cell && r.zone != zone).filter(|_| by_cell) {
            let elsewhere = &locations[usize::from(other.zone)];
            row.at("cell").fault(format!("cell {cell} is also in location '{elsewhere}'"));
        }
        let (standing, since) = (Standing::Ready, f64::NEG_INFINITY);
        rows.push(RosterRow { executor, zone, kind, cell, standing, weight, since });
    }
    if listed && rows.is_empty() {
        fields.at("list").fault("at least one executor is wanted");
    }
    if by_zone {
        for (n, name) in locations.iter().enumerate() {
            if !rows.is_empty() && !rows.iter().any(|r| usize::from(r.zone) == n) {
                let what = format!("no executor is in '{name}', a location within which tokens are dropped");
                fields.at("list").fault(what);
            }
        }
    }
    (Source::Listed(rows), allowed)
}
