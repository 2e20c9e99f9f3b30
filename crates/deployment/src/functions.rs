//! Functions, their versions and aliases.

use crate::reader::{Fields, Place};
use crate::{Function, Version, key};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The longest name of a function.
const MAX_NAME_BYTES: usize = 256;
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
        work: fields
            .maybe("work", |p| p.seconds(1e-6..=3_600.0))
            .or_else(|| of.and_then(|v| v.work)),
    }
}

/// Checks a version's digest as it is written in configuration, and gives its digits.
///
/// # Errors
/// Tells what is wanted.
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
        Err("64 hexadecimal digits in small letters are wanted")
    }
}

/// Checks a function's name.
///
/// # Errors
/// Tells what is wanted.
pub fn check_function_name(name: &str) -> Result<(), &'static str> {
    let is_odd = |c: char| c == '/' || c == '@' || c.is_whitespace() || c.is_control();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(is_odd) {
        return Err("1 to 256 bytes, without '/', '@' and spaces");
    }
    Ok(())
}

fn digest(text: &str) -> Result<Rc<str>, &'static str> {
    check_digest(text).map(Rc::from)
}

pub(crate) fn function(place: &Place, named: bool) -> Option<Function> {
    let mut keys = VERSION.to_vec();
    if named {
        keys.extend(["name", "versions", "aliases"]);
    }
    let fields = place.object(&keys);
    let name = if named {
        fields.at("name").text()?
    } else {
        String::new()
    };
    let odd = |c: char| c == '/' || c == '@' || c.is_whitespace() || c.is_control();
    if name.len() > MAX_NAME_BYTES || name.chars().any(odd) {
        fields
            .at("name")
            .fault("256 bytes at most, without '/', '@' and spaces, are wanted");
    }
    let whole = version(&fields, key(&name), "".into(), None);
    let mut versions: Vec<Version> = vec![];
    for p in fields.at("versions").list() {
        let f = p.object(&["digest", "lanes", "memory", "loadTime", "work"]);
        let Some(digest) = f.at("digest").parsed("a digest", digest) else {
            continue;
        };
        if versions.iter().any(|v| v.digest == digest) {
            f.at("digest").fault("this version is listed twice");
        }
        let key = key(&format!("{name}@{digest}"));
        versions.push(version(&f, key, digest, Some(&whole)));
    }
    let mut aliases = BTreeMap::new();
    if fields.at("aliases").is_given() {
        if versions.is_empty() {
            fields
                .at("aliases")
                .fault("there are no versions for them to name; list some under 'versions'");
        }
        for (alias, p) in fields.at("aliases").entries() {
            if alias.is_empty()
                || alias.len() > 64
                || alias.starts_with("sha256:")
                || alias.contains(odd)
            {
                p.fault("an alias has 1 to 64 letters, without '/', '@', spaces and a leading 'sha256:'");
            }
            let Some(digest) = p.parsed("a digest", digest) else {
                continue;
            };
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
        fields
            .at("aliases")
            .fault("'stable' is missing: it names the version that plain invocations get");
    }
    Some(Function {
        name: name.into(),
        versions: versions.into(),
        aliases: aliases.into(),
    })
}
