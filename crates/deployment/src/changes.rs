//! Detects changes of a deployment file that take effect only at a restart.

use crate::reader::{DeploymentFault, Document, Place};

/// Sections that can be replaced while a front end runs.
const REPLACEABLE: [&str; 4] = ["triggerTypes", "customers", "functions", "otherFunctions"];

/// Returns a fault, at its place in `after`, for each section that differs between two texts and takes effect only at a
/// restart. Values are compared as text, without comments and spaces: `1s` and `1000ms` differ.
///
/// Both texts should have been parsed without faults. If one has a syntax error, its syntax fault is returned.
pub fn restart_needed(before: &str, after: &str) -> Vec<DeploymentFault> {
    let (old, new) = (Document::new(before), Document::new(after));
    let Some(old_value) = old.parse() else {
        return old.faults();
    };
    let Some(new_value) = new.parse() else {
        return new.faults();
    };
    let old_sections = old.root(&old_value).entries();
    let root = new.root(&new_value);
    let new_sections = root.entries();
    for (name, place) in &new_sections {
        let before = old_sections.iter().find(|(before, _)| before == name);
        if !REPLACEABLE.contains(&name.as_str())
            && before.is_none_or(|(_, before)| differ(before, place))
        {
            place.fault(
                "has changed, which takes effect at a restart only; restart, or undo the change",
            );
        }
    }
    for (name, _) in &old_sections {
        if !REPLACEABLE.contains(&name.as_str())
            && !new_sections.iter().any(|(remaining, _)| remaining == name)
        {
            root.fault(format!(
                "'{name}' was removed, which takes effect at a restart only; restart, or put it back"
            ));
        }
    }
    new.faults()
}

fn differ(before: &Place, after: &Place) -> bool {
    before.canonical_text() != after.canonical_text()
}
