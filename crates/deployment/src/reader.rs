//! Walks a JSON5 document and notes every fault with its place, so that one pass tells all of them.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;

/// What is wrong, where, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentFault {
    pub line: usize,
    pub column: usize,
    pub key: String,
    pub what: String,
}

impl fmt::Display for DeploymentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DeploymentFault {
            line,
            column,
            key,
            what,
        } = self;
        if key.is_empty() {
            write!(f, "{line}:{column}: {what}")
        } else {
            write!(f, "{line}:{column}: {key}: {what}")
        }
    }
}

pub struct Document<'a> {
    text: &'a str,
    faults: RefCell<Vec<DeploymentFault>>,
}

/// A place in the document: a value and the key that leads there.
#[derive(Clone)]
pub struct Place<'a, 'd> {
    document: &'d Document<'a>,
    value: Option<&'d Value<'a>>,
    at: usize,
    key: String,
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_missing_commas: false,
        ..ParseOptions::default()
    }
}

impl<'a> Document<'a> {
    pub fn new(text: &'a str) -> Document<'a> {
        Document {
            text,
            faults: RefCell::default(),
        }
    }

    /// The document's syntax, or the fault in it.
    pub fn parse(&self) -> Option<Value<'a>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &options()) {
            Ok(parsed) => {
                if parsed.value.is_none() {
                    self.note(0, "", "the file is empty; an object is wanted".into());
                }
                parsed.value
            }
            Err(e) => {
                self.note(e.range().start, "", format!("not JSON5: {}", e.kind()));
                None
            }
        }
    }

    pub fn root<'d>(&'d self, value: &'d Value<'a>) -> Place<'a, 'd> {
        Place {
            document: self,
            value: Some(value),
            at: value.range().start,
            key: String::new(),
        }
    }

    /// All faults in the order of the text.
    pub fn faults(self) -> Vec<DeploymentFault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|f| (f.line, f.column));
        faults.dedup();
        faults
    }

    fn note(&self, at: usize, key: &str, what: String) {
        let before = &self.text[..at.min(self.text.len())];
        let line = 1 + before.matches('\n').count();
        let column = 1 + before.chars().rev().take_while(|&c| c != '\n').count();
        self.faults.borrow_mut().push(DeploymentFault {
            line,
            column,
            key: key.into(),
            what,
        });
    }
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// The unit's seconds, or bytes, for a text such as `1.5s`.
fn scaled(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..digits].parse().ok()?;
    let unit = text[digits..].trim();
    units.iter().find(|u| u.0 == unit).map(|u| number * u.1)
}

const TIMES: [(&str, f64); 5] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("m", 60.0),
    ("h", 3_600.0),
];
const SIZES: [(&str, f64); 7] = [
    ("B", 1.0),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
    ("KB", 1e3),
    ("MB", 1e6),
    ("GB", 1e9),
];

impl<'a, 'd> Place<'a, 'd> {
    pub fn fault(&self, what: impl Into<String>) {
        self.document.note(self.at, &self.key, what.into());
    }

    pub fn is_given(&self) -> bool {
        self.value.is_some()
    }

    fn wrong(&self, wanted: &str) {
        match self.value {
            Some(value) => self.fault(format!("{wanted} is wanted, not {}", kind(value))),
            None => self.fault(format!("is missing; {wanted} is wanted")),
        }
    }

    /// The object here; every key of it has to be among those named.
    pub fn object(&self, keys: &[&str]) -> Fields<'a, 'd> {
        let object = match self.value {
            Some(Value::Object(object)) => Some(object),
            _ => {
                self.wrong("an object");
                None
            }
        };
        let fields = Fields {
            place: self.clone(),
            object,
        };
        for (n, p) in object.iter().flat_map(|o| &o.properties).enumerate() {
            let name = p.name.as_str();
            let at = p.name.range().start;
            if !keys.contains(&name) {
                let near = keys
                    .iter()
                    .min_by_key(|k| distance(k, name))
                    .filter(|k| distance(k, name) <= 3);
                let hint = near
                    .map(|k| format!(", is '{k}' meant?"))
                    .unwrap_or_default();
                let all = keys.join(", ");
                self.document.note(
                    at,
                    &self.child(name),
                    format!("unknown key{hint} (known here: {all})"),
                );
            }
            if object
                .iter()
                .flat_map(|o| &o.properties)
                .take(n)
                .any(|q| q.name.as_str() == name)
            {
                self.document
                    .note(at, &self.child(name), "is given twice".into());
            }
        }
        fields
    }

    /// The keys of an object whose names are free.
    pub fn entries(&self) -> Vec<(String, Place<'a, 'd>)> {
        let Some(Value::Object(object)) = self.value else {
            self.wrong("an object");
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

    fn child(&self, name: &str) -> String {
        if self.key.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.key)
        }
    }

    /// The value as it is written, without comments, spaces and the order of keys.
    pub fn written(&self) -> String {
        self.value.map_or_else(String::new, written)
    }

    /// The elements of a list; none where it is left out.
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
                self.wrong("a list");
                vec![]
            }
            None => vec![],
        }
    }

    pub fn text(&self) -> Option<String> {
        match self.value {
            Some(Value::StringLit(s)) if !s.value.is_empty() => Some(s.value.to_string()),
            Some(Value::StringLit(_)) => {
                self.fault("must not be empty");
                None
            }
            _ => {
                self.wrong("a text");
                None
            }
        }
    }

    /// A text that some function reads; its error is the fault.
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

    /// One of some names.
    pub fn one_of<T: Copy>(&self, names: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        let found = names.iter().find(|n| n.0 == text).map(|n| n.1);
        if found.is_none() {
            let all: Vec<_> = names.iter().map(|n| format!("'{}'", n.0)).collect();
            self.fault(format!("'{text}' is none of {}", all.join(", ")));
        }
        found
    }

    pub fn flag(&self, absent: bool) -> bool {
        match self.value {
            None => absent,
            Some(Value::BooleanLit(b)) => b.value,
            Some(_) => {
                self.wrong("true or false");
                absent
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

    pub fn number(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let number = match self.value {
            Some(Value::NumberLit(n)) => n.value.trim_start_matches('+').parse::<f64>().ok(),
            _ => None,
        };
        match number {
            Some(number) => self.bounded(number, range, |n| n.to_string()),
            None => {
                self.wrong("a number");
                None
            }
        }
    }

    pub fn whole(&self, range: RangeInclusive<u32>) -> Option<u32> {
        let number = self.number(f64::from(*range.start())..=f64::from(*range.end()))?;
        if number.fract() != 0.0 {
            self.fault("a whole number is wanted");
            return None;
        }
        Some(number as u32)
    }

    /// A time such as `250ms`, in seconds.
    pub fn seconds(&self, range: RangeInclusive<f64>) -> Option<f64> {
        self.quantity(range, "a time such as '250ms', '1.5s', '2m'", &TIMES, |n| {
            format!("{n} s")
        })
    }

    /// A size such as `64MiB`, in bytes.
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
            self.wrong(wanted);
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

/// A value in one form whatever its spaces, comments and order of keys.
fn written(value: &Value) -> String {
    match value {
        Value::StringLit(text) => format!("{:?}", text.value),
        Value::NumberLit(number) => number.value.to_owned(),
        Value::BooleanLit(flag) => flag.value.to_string(),
        Value::NullKeyword(_) => "null".into(),
        Value::Array(list) => {
            let elements: Vec<String> = list.elements.iter().map(written).collect();
            format!("[{}]", elements.join(","))
        }
        Value::Object(object) => {
            let property = |p: &jsonc_parser::ast::ObjectProp| {
                format!("{:?}:{}", p.name.as_str(), written(&p.value))
            };
            let mut properties: Vec<String> = object.properties.iter().map(property).collect();
            properties.sort_unstable();
            format!("{{{}}}", properties.join(","))
        }
    }
}

/// The fields of an object.
pub struct Fields<'a, 'd> {
    place: Place<'a, 'd>,
    object: Option<&'d Object<'a>>,
}

impl<'a, 'd> Fields<'a, 'd> {
    pub fn at(&self, name: &str) -> Place<'a, 'd> {
        let property = self
            .object
            .and_then(|o| o.properties.iter().find(|p| p.name.as_str() == name));
        Place {
            document: self.place.document,
            value: property.map(|p| &p.value),
            at: property.map_or(self.place.at, |p| p.value.range().start),
            key: self.place.child(name),
        }
    }

    /// The fields of an object under `name` that was left out.
    pub fn nothing(&self, name: &str) -> Fields<'a, 'd> {
        Fields {
            place: self.at(name),
            object: None,
        }
    }

    /// Reads a key where it is given.
    pub fn maybe<T>(
        &self,
        name: &str,
        read: impl FnOnce(&Place<'a, 'd>) -> Option<T>,
    ) -> Option<T> {
        let place = self.at(name);
        if place.is_given() { read(&place) } else { None }
    }
}

/// How many letters have to change to make one name the other.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.chars().count()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.chars().enumerate() {
            let cost = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}
