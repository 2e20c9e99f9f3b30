//! The `functions` and `otherFunctions` sections: functions, their versions and aliases.

use crate::reader::{Fields, Place};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A version of a function. Replicas, placements and load reports belong to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// SHA-256 of its package in hexadecimal digits; empty if the file has no versions for the function.
    pub digest: Rc<str>,
    /// The identifier of the version, the same at all front ends.
    pub key: u64,
    /// The most invocations that one replica runs at a time.
    pub concurrency: f64,
    /// Bytes of memory of a replica.
    pub memory: f64,
    /// Expected duration of a load in seconds, if given.
    pub load_time: Option<f64>,
    /// Expected work of an invocation in seconds, if given.
    pub expected_work: Option<f64>,
}

/// A function, its versions and their aliases.
#[derive(Clone, Debug)]
pub struct Function {
    /// The name of the function.
    pub name: Rc<str>,
    /// The versions; one without a digest if the file lists none.
    pub versions: Rc<[Version]>,
    /// Names of versions, each with an index into `versions`.
    pub aliases: Rc<BTreeMap<String, usize>>,
}

impl Function {
    /// Finds a version by an alias, or by a digest with or without the prefix `sha256:`.
    pub fn version(&self, name: &str) -> Option<&Version> {
        let aliased = self.aliases.get(name);
        let by_alias = aliased.and_then(|&index| self.versions.get(index));
        let digest = name.strip_prefix("sha256:").unwrap_or(name);
        by_alias.or_else(|| {
            let mut versions = self.versions.iter();
            versions.find(|version| *version.digest == *digest)
        })
    }
}

/// Returns the identifier of a function, the same at all front ends: the first 8 bytes of the SHA-256 of its name.
pub fn function_key(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// The longest name of a function.
const MAX_NAME_BYTES: usize = 256;
/// The longest alias.
const MAX_ALIAS_BYTES: usize = 64;
/// The alias of invocations that name none.
const DEFAULT_ALIAS: &str = "stable";
const VERSION_KEYS: [&str; 4] = ["lanes", "memory", "loadTime", "work"];
/// Bytes of memory of a replica if the file gives none.
const DEFAULT_MEMORY: f64 = 256e6;

/// Reads a version. Missing values are those of its function, if that is given.
fn read_version(fields: &Fields, key: u64, digest: Rc<str>, function: Option<&Version>) -> Version {
    let concurrency = fields.optional("lanes", |place| place.integer(1..=100_000));
    let memory = fields.optional("memory", |place| place.bytes(1.0..=1e13));
    let load_time = fields.optional("loadTime", |place| place.seconds(0.001..=600.0));
    let expected_work = fields.optional("work", |place| place.seconds(1e-6..=3_600.0));
    Version {
        digest,
        key,
        concurrency: concurrency
            .map(f64::from)
            .or(function.map(|version| version.concurrency))
            .unwrap_or(1.0),
        memory: memory
            .or(function.map(|version| version.memory))
            .unwrap_or(DEFAULT_MEMORY),
        load_time: load_time.or_else(|| function?.load_time),
        expected_work: expected_work.or_else(|| function?.expected_work),
    }
}

/// Checks a version's digest with its prefix `sha256:`, and returns its digits.
///
/// # Errors
///
/// The expected form.
pub fn check_digest(text: &str) -> Result<&str, &'static str> {
    let digits = text
        .strip_prefix("sha256:")
        .ok_or("'sha256:' and 64 hexadecimal digits are wanted")?;
    let is_digest = digits.len() == 64
        && digits
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if is_digest {
        Ok(digits)
    } else {
        Err("64 hexadecimal digits in lower case are wanted")
    }
}

/// Checks a function's name.
///
/// # Errors
///
/// The expected form.
pub fn check_function_name(name: &str) -> Result<(), &'static str> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(is_forbidden) {
        return Err("1 to 256 bytes, without '/', '@' and spaces");
    }
    Ok(())
}

fn parse_digest(text: &str) -> Result<Rc<str>, &'static str> {
    check_digest(text).map(Rc::from)
}

/// Reads the listed functions, and the template of unlisted ones.
pub(crate) fn read_functions(top: &Fields) -> (HashMap<Rc<str>, Function>, Option<Function>) {
    let mut functions = HashMap::new();
    for place in top.at("functions").list() {
        let Some(function) = read_named_function(&place) else {
            continue;
        };
        if let Some(other) = functions.insert(function.name.clone(), function) {
            place.fault(format!("there are two functions '{}'", other.name));
        }
    }
    let other_functions = top.optional("otherFunctions", |place| {
        let fields = place.object(&VERSION_KEYS);
        Some(read_function(&fields, String::new()))
    });
    if !top.at("functions").is_given() && !top.at("otherFunctions").is_given() {
        top.at("functions")
            .fault("is missing; list functions, or describe unlisted ones under 'otherFunctions'");
    }
    (functions, other_functions)
}

fn read_named_function(place: &Place) -> Option<Function> {
    let mut keys = VERSION_KEYS.to_vec();
    keys.extend(["name", "versions", "aliases"]);
    let fields = place.object(&keys);
    let name = fields.at("name").text()?;
    if name.len() > MAX_NAME_BYTES || name.contains(is_forbidden) {
        fields
            .at("name")
            .fault("256 bytes at most, without '/', '@' and spaces, are wanted");
    }
    Some(read_function(&fields, name))
}

fn read_function(fields: &Fields, name: String) -> Function {
    let unversioned = read_version(fields, function_key(&name), "".into(), None);
    let mut versions = read_versions(fields, &name, &unversioned);
    let mut aliases = read_aliases(fields, &versions);
    if versions.is_empty() {
        versions.push(unversioned);
        aliases.insert(DEFAULT_ALIAS.into(), 0);
    } else if !aliases.contains_key(DEFAULT_ALIAS) {
        fields
            .at("aliases")
            .fault("'stable' is missing; invocations without an alias get its version");
    }
    Function {
        name: name.into(),
        versions: versions.into(),
        aliases: aliases.into(),
    }
}

fn read_versions(fields: &Fields, name: &str, function: &Version) -> Vec<Version> {
    let mut versions: Vec<Version> = vec![];
    for place in fields.at("versions").list() {
        let fields = place.object(&["digest", "lanes", "memory", "loadTime", "work"]);
        let digest = fields.at("digest");
        let Some(parsed) = digest.parsed("a digest", parse_digest) else {
            continue;
        };
        if versions.iter().any(|version| version.digest == parsed) {
            digest.fault("this version is listed twice");
        }
        let key = function_key(&format!("{name}@{parsed}"));
        versions.push(read_version(&fields, key, parsed, Some(function)));
    }
    versions
}

fn read_aliases(fields: &Fields, versions: &[Version]) -> BTreeMap<String, usize> {
    let mut aliases = BTreeMap::new();
    let place = fields.at("aliases");
    if !place.is_given() {
        return aliases;
    }
    if versions.is_empty() {
        place.fault("aliases need versions; list some under 'versions'");
    }
    for (alias, place) in place.entries() {
        if !is_alias(&alias) {
            place.fault(
                "an alias has 1 to 64 letters, without '/', '@', spaces and a leading 'sha256:'",
            );
        }
        let Some(digest) = place.parsed("a digest", parse_digest) else {
            continue;
        };
        match versions.iter().position(|version| version.digest == digest) {
            Some(index) => {
                aliases.insert(alias, index);
            }
            None => place.fault("no version of this function has this digest"),
        }
    }
    aliases
}

fn is_alias(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ALIAS_BYTES
        && !text.starts_with("sha256:")
        && !text.contains(is_forbidden)
}

/// Characters that separate the parts of a path or of a versioned name.
fn is_forbidden(character: char) -> bool {
    character == '/' || character == '@' || character.is_whitespace() || character.is_control()
}
