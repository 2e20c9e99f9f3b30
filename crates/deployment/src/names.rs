//! Lists of names, and references to them.

use crate::reader::{Fields, Place};

/// Reads a list of distinct names; it consists of `default` if none is given.
pub(crate) fn read_names(place: &Place, default: &str, max: usize) -> Vec<String> {
    let list = place.list();
    if list.len() > max {
        place.fault(format!("{} are too many, {max} at most", list.len()));
    }
    let mut names: Vec<String> = vec![];
    for element in &list {
        match element.text() {
            Some(name) if names.contains(&name) => {
                element.fault(format!("'{name}' is given twice"));
            }
            Some(name) => names.push(name),
            None => {}
        }
    }
    if names.is_empty() {
        names.push(default.into());
    }
    names
}

/// Reads the index of the name at a key; 0 if the key is left out.
pub(crate) fn index_of_name(fields: &Fields, key: &str, names: &[String]) -> Option<u8> {
    let place = fields.at(key);
    if !place.is_given() {
        return Some(0);
    }
    let choices: Vec<(&str, u8)> = (0u8..)
        .zip(names)
        .map(|(index, name)| (name.as_str(), index))
        .collect();
    place.choice(&choices)
}
