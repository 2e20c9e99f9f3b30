//! Entries `functions/<name>`: the versions of a function and whether it may be invoked.

use super::InvalidEntry;
use super::envelope::{check_range, parse_spec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of versions of a function.
const MAX_VERSIONS: usize = 64;
/// Maximum number of aliases of a function, and of its trigger types.
const MAX_NAMES: usize = 64;
const EXAMPLE: &str = r#"{"versions":[{"digest":"sha256:1f","lanes":4,"memory":2.56e8,"load_time":0.2,"work":0.01}]}"#;

/// One version of a function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Digest of the image.
    pub digest: String,
    /// Concurrent invocations of one instance.
    #[serde(default = "one_lane")]
    pub lanes: u32,
    /// Bytes of memory of one instance.
    #[serde(default = "default_memory")]
    pub memory: f64,
    /// Duration of a cold start in seconds, if known.
    #[serde(default)]
    pub load_time: Option<f64>,
    /// Duration of an invocation in seconds, if known.
    #[serde(default)]
    pub work: Option<f64>,
}

fn one_lane() -> u32 {
    1
}

fn default_memory() -> f64 {
    256e6
}

fn allowed_by_default() -> bool {
    true
}

/// A function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionSpec {
    /// Whether the function may be invoked.
    #[serde(default = "allowed_by_default")]
    pub allowed: bool,
    /// The versions, at least one; the first serves invocations that name no version.
    pub versions: Vec<VersionSpec>,
    /// Digests of versions by their aliases.
    #[serde(default)]
    pub aliases: BTreeMap<String, String>,
    /// Trigger types that invoke the function. Each has to exist, with a timeout not below `work`.
    #[serde(default)]
    pub trigger_types: Vec<String>,
}

impl FunctionSpec {
    /// Parses and checks the `spec` of a function.
    ///
    /// # Errors
    ///
    /// If it is malformed or a value is out of its range.
    pub fn parse(spec: serde_json::Value) -> Result<FunctionSpec, InvalidEntry> {
        let function: FunctionSpec = parse_spec(spec, EXAMPLE)?;
        function.check_counts()?;
        function.check_versions()?;
        function.check_aliases()?;
        Ok(function)
    }

    fn check_counts(&self) -> Result<(), InvalidEntry> {
        if self.versions.is_empty() {
            return Err(InvalidEntry::new(
                "versions is empty",
                "list at least one version",
            ));
        }
        check_range(
            "the number of versions",
            self.versions.len() as f64,
            1.0..=MAX_VERSIONS as f64,
        )?;
        check_range(
            "the number of aliases",
            self.aliases.len() as f64,
            0.0..=MAX_NAMES as f64,
        )?;
        check_range(
            "the number of trigger_types",
            self.trigger_types.len() as f64,
            0.0..=MAX_NAMES as f64,
        )
    }

    fn check_versions(&self) -> Result<(), InvalidEntry> {
        let mut digests = BTreeSet::new();
        for version in &self.versions {
            version.check()?;
            if !digests.insert(&version.digest) {
                let reason = format!(
                    "there are two versions with the digest '{}'",
                    version.digest
                );
                return Err(InvalidEntry::new(reason, "keep one of them"));
            }
        }
        Ok(())
    }

    fn check_aliases(&self) -> Result<(), InvalidEntry> {
        for (alias, digest) in &self.aliases {
            if !self
                .versions
                .iter()
                .any(|version| version.digest == *digest)
            {
                let reason = format!("the alias '{alias}' names '{digest}', which no version has");
                return Err(InvalidEntry::new(
                    reason,
                    "use the digest of one of the versions",
                ));
            }
        }
        Ok(())
    }
}

impl VersionSpec {
    fn check(&self) -> Result<(), InvalidEntry> {
        if self.digest.is_empty() {
            return Err(InvalidEntry::new(
                "a version's digest is empty",
                "set it to the digest of the image",
            ));
        }
        check_range("lanes", f64::from(self.lanes), 1.0..=100_000.0)?;
        check_range("memory", self.memory, 1.0..=1e13)?;
        check_range("load_time", self.load_time.unwrap_or(0.0), 0.0..=3_600.0)?;
        check_range("work", self.work.unwrap_or(1.0), 1e-6..=3_600.0)
    }
}
