//! The `journal` section: the directory and the retention of durable invocations.

use crate::reader::Fields;
use crate::{INDEX_PLACEHOLDER, MISSING_INDEX_FAULT, TriggerTypeSettings};
use std::path::PathBuf;

const DEFAULT_MAX_BYTES: f64 = 268_435_456.0;
const DEFAULT_RETENTION: f64 = 3_600.0;
const DEFAULT_MAX_RETAINED: u32 = 100_000;

/// The journal of durable invocations.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    /// The path of the directory, with a placeholder for the front end's index.
    directory: String,
    /// The size of entries and state, in bytes, above which no new invocations are accepted.
    pub max_bytes: u64,
    /// Seconds for which an answer is retained.
    pub retention: f64,
    /// The most answers that are retained.
    pub max_retained: usize,
}

impl JournalSettings {
    /// Returns the directory of one front end.
    pub fn directory(&self, front_end: u32) -> PathBuf {
        self.directory
            .replace(INDEX_PLACEHOLDER, &front_end.to_string())
            .into()
    }
}

/// Reads the section. It is required if a trigger type is durable.
pub(crate) fn read_journal(
    top: &Fields,
    front_ends: u32,
    trigger_types: &[TriggerTypeSettings],
) -> Option<JournalSettings> {
    let place = top.at("journal");
    if !place.is_given() {
        let mut durable = trigger_types.iter().filter(|settings| settings.is_durable);
        if let Some(settings) = durable.next() {
            place.fault(format!(
                "is missing; the trigger type '{}' is journalled",
                settings.name
            ));
        }
        return None;
    }
    let fields = place.object(&["folder", "maxBytes", "keep", "mostKept"]);
    let directory = fields.at("folder").text();
    let is_shared = |path: &String| front_ends > 1 && !path.contains(INDEX_PLACEHOLDER);
    if directory.as_ref().is_some_and(is_shared) {
        fields.at("folder").fault(MISSING_INDEX_FAULT);
    }
    let directory = directory?;
    let max_bytes = fields.optional("maxBytes", |place| place.bytes(65_536.0..=1e12));
    let retention = fields.optional("keep", |place| place.seconds(1.0..=2_592_000.0));
    let max_retained = fields.optional("mostKept", |place| place.integer(1..=10_000_000));
    Some(JournalSettings {
        directory,
        max_bytes: max_bytes.unwrap_or(DEFAULT_MAX_BYTES) as u64,
        retention: retention.unwrap_or(DEFAULT_RETENTION),
        max_retained: max_retained.unwrap_or(DEFAULT_MAX_RETAINED) as usize,
    })
}
