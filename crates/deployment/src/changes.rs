//! What a changed deployment file changes that takes effect at a restart only.

use crate::reader::{DeploymentFault, Document, Place};

/// Sections that can be replaced while a front end runs.
const REPLACEABLE: [&str; 4] = ["triggerTypes", "customers", "functions", "otherFunctions"];

/// Names every section that differs between two texts and takes effect at a restart only, with its place in the text
/// `after`. Values are compared as they are written, without comments and spaces: `1s` and `1000ms` differ.
///
/// Both texts should have been read without faults; of one that isn't a document the syntax fault is told.
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
        let known = old_sections.iter().find(|(known, _)| known == name);
        if !REPLACEABLE.contains(&name.as_str())
            && known.is_none_or(|(_, known)| differ(known, place))
        {
            place
                .fault("has changed, which takes effect at a restart only; restart, or take the change back");
        }
    }
    for (name, _) in &old_sections {
        if !REPLACEABLE.contains(&name.as_str())
            && !new_sections.iter().any(|(kept, _)| kept == name)
        {
            root.fault(format!(
                "'{name}' was taken out, which takes effect at a restart only; restart, or put it back"
            ));
        }
    }
    new.faults()
}

fn differ(before: &Place, after: &Place) -> bool {
    before.written() != after.written()
}
