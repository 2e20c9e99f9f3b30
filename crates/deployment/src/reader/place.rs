//! A place in a document, and the values that may be read from it.

use super::canonical::canonical_text;
use super::units::{SIZES, TIMES, scaled};
use super::{Document, Fields};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use std::fmt;
use std::ops::RangeInclusive;

/// The largest edit distance at which a known key is suggested in place of an unknown one.
const MAX_TYPO_DISTANCE: usize = 3;

/// A place in a document: a value, if one is given there, and the key that leads to it.
#[derive(Clone)]
pub struct Place<'a, 'd> {
    pub(super) document: &'d Document<'a>,
    pub(super) value: Option<&'d Value<'a>>,
    /// The byte at which faults are reported.
    pub(super) at: usize,
    pub(super) key: String,
}

/// Returns the type of a value, in words.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

impl<'a, 'd> Place<'a, 'd> {
    /// Records a fault here.
    pub fn fault(&self, message: impl Into<String>) {
        self.document.record(self.at, &self.key, message.into());
    }

    /// Returns whether a value is given.
    pub fn is_given(&self) -> bool {
        self.value.is_some()
    }

    /// Records that the value is missing or of another type.
    fn report_type(&self, wanted: &str) {
        match self.value {
            Some(value) => self.fault(format!("{wanted} is wanted, not {}", type_name(value))),
            None => self.fault(format!("is missing; {wanted} is wanted")),
        }
    }

    /// Reads an object. Each of its keys has to be one of `keys`, and given once.
    pub fn object(&self, keys: &[&str]) -> Fields<'a, 'd> {
        let object = match self.value {
            Some(Value::Object(object)) => Some(object),
            _ => {
                self.report_type("an object");
                None
            }
        };
        let properties = object.map_or(&[][..], |object| &object.properties);
        for (number, property) in properties.iter().enumerate() {
            let name = property.name.as_str();
            let at = property.name.range().start;
            if !keys.contains(&name) {
                self.document
                    .record(at, &self.child(name), unknown_key(name, keys));
            }
            let mut earlier = properties[..number].iter();
            if earlier.any(|earlier| earlier.name.as_str() == name) {
                self.document
                    .record(at, &self.child(name), "is given twice".into());
            }
        }
        Fields::new(self.clone(), object)
    }

    /// Reads the entries of an object with arbitrary keys.
    pub fn entries(&self) -> Vec<(String, Place<'a, 'd>)> {
        let Some(Value::Object(object)) = self.value else {
            self.report_type("an object");
            return vec![];
        };
        let place = |p: &'d jsonc_parser::ast::ObjectProp<'a>| {
            let name = p.name.as_str().to_owned();
            let place = Place {
                document: self.document,
                value: Some(&p.value),
                at: p.value.range().start,
                key: self.child(&name),
            };
            (name, place)
        };
        object.properties.iter().map(place).collect()
    }

    pub(super) fn child(&self, name: &str) -> String {
        if self.key.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.key)
        }
    }

    /// Returns the value as text, independent of its spaces, comments and order of keys.
    pub fn canonical_text(&self) -> String {
        self.value.map_or_else(String::new, canonical_text)
    }

    /// Reads the elements of a list; none if it is left out.
    pub fn list(&self) -> Vec<Place<'a, 'd>> {
        match self.value {
            Some(Value::Array(list)) => {
                let place = |(n, value): (usize, &'d Value<'a>)| Place {
                    document: self.document,
                    value: Some(value),
                    at: value.range().start,
                    key: format!("{}[{n}]", self.key),
                };
                list.elements.iter().enumerate().map(place).collect()
            }
            Some(_) => {
                self.report_type("a list");
                vec![]
            }
            None => vec![],
        }
    }

    /// Reads a text that is not empty.
    pub fn text(&self) -> Option<String> {
        match self.value {
            Some(Value::StringLit(s)) if !s.value.is_empty() => Some(s.value.to_string()),
            Some(Value::StringLit(_)) => {
                self.fault("must not be empty");
                None
            }
            _ => {
                self.report_type("a text");
                None
            }
        }
    }

    /// Reads a text and parses it by `read`; an error is recorded as a fault.
    pub fn parsed<T, E: fmt::Display>(
        &self,
        wanted: &str,
        read: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text()?;
        read(&text)
            .map_err(|e| self.fault(format!("'{text}' is not {wanted}: {e}")))
            .ok()
    }

    /// Reads one of some names, and returns its value.
    pub fn choice<T: Copy>(&self, names: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        let found = names.iter().find(|n| n.0 == text).map(|n| n.1);
        if found.is_none() {
            let all: Vec<_> = names.iter().map(|n| format!("'{}'", n.0)).collect();
            self.fault(format!("'{text}' is none of {}", all.join(", ")));
        }
        found
    }

    /// Reads a flag; `default` if nothing is given.
    pub fn flag(&self, default: bool) -> bool {
        match self.value {
            None => default,
            Some(Value::BooleanLit(b)) => b.value,
            Some(_) => {
                self.report_type("true or false");
                default
            }
        }
    }

    fn bounded(
        &self,
        number: f64,
        range: RangeInclusive<f64>,
        show: impl Fn(f64) -> String,
    ) -> Option<f64> {
        if range.contains(&number) {
            return Some(number);
        }
        let (least, most) = (show(*range.start()), show(*range.end()));
        self.fault(format!(
            "{} is out of range, {least} to {most} is wanted",
            show(number)
        ));
        None
    }

    /// Reads a number within a range.
    pub fn number(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let number = match self.value {
            Some(Value::NumberLit(n)) => n.value.trim_start_matches('+').parse::<f64>().ok(),
            _ => None,
        };
        match number {
            Some(number) => self.bounded(number, range, |n| n.to_string()),
            None => {
                self.report_type("a number");
                None
            }
        }
    }

    /// Reads a whole number within a range.
    pub fn integer(&self, range: RangeInclusive<u32>) -> Option<u32> {
        let number = self.number(f64::from(*range.start())..=f64::from(*range.end()))?;
        if number.fract() != 0.0 {
            self.fault("a whole number is wanted");
            return None;
        }
        Some(number as u32)
    }

    /// Reads a time such as `250ms`; returns seconds within a range.
    pub fn seconds(&self, range: RangeInclusive<f64>) -> Option<f64> {
        self.quantity(range, "a time such as '250ms', '1.5s', '2m'", &TIMES, |n| {
            format!("{n} s")
        })
    }

    /// Reads a size such as `64MiB`; returns bytes within a range.
    pub fn bytes(&self, range: RangeInclusive<f64>) -> Option<f64> {
        self.quantity(range, "a size such as '64KiB', '1.5GB'", &SIZES, |n| {
            format!("{n} bytes")
        })
    }

    fn quantity(
        &self,
        range: RangeInclusive<f64>,
        wanted: &str,
        units: &[(&str, f64)],
        show: impl Fn(f64) -> String,
    ) -> Option<f64> {
        let Some(Value::StringLit(text)) = self.value else {
            self.report_type(wanted);
            return None;
        };
        match scaled(&text.value, units) {
            Some(number) => self.bounded(number, range, show),
            None => {
                self.fault(format!("'{}' is not {wanted}", text.value));
                None
            }
        }
    }
}

/// Returns the message for an unknown key, with the most similar known key as a suggestion.
fn unknown_key(name: &str, keys: &[&str]) -> String {
    let nearest = keys
        .iter()
        .map(|key| (edit_distance(key, name), key))
        .min_by_key(|(distance, _)| *distance)
        .filter(|(distance, _)| *distance <= MAX_TYPO_DISTANCE);
    let hint = nearest.map_or_else(String::new, |(_, key)| format!(", is '{key}' meant?"));
    format!("unknown key{hint} (known here: {})", keys.join(", "))
}

/// Returns the Levenshtein distance: the least number of insertions, deletions and substitutions that turn `a` into
/// `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, left) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, right) in b.chars().enumerate() {
            let cost = corner + usize::from(left != right);
            corner = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}
