//! A reader of JSON5 documents that records each fault with its place, so that one pass reports all of them.

mod canonical;
mod fields;
mod place;
mod units;

pub use fields::Fields;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
pub use place::Place;
use std::cell::RefCell;
use std::fmt;

/// A fault in a deployment file, with its place and the expected value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentFault {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the key, such as `triggerTypes[0].name`; empty for the document as a whole.
    pub key: String,
    /// A description of the fault and of the expected value.
    pub message: String,
}

impl fmt::Display for DeploymentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DeploymentFault {
            line,
            column,
            key,
            message,
        } = self;
        if key.is_empty() {
            write!(f, "{line}:{column}: {message}")
        } else {
            write!(f, "{line}:{column}: {key}: {message}")
        }
    }
}

/// The text of a document, and the faults found in it so far.
pub struct Document<'a> {
    text: &'a str,
    faults: RefCell<Vec<DeploymentFault>>,
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_missing_commas: false,
        ..ParseOptions::default()
    }
}

impl<'a> Document<'a> {
    /// Creates a document that isn't parsed yet.
    pub fn new(text: &'a str) -> Document<'a> {
        Document {
            text,
            faults: RefCell::default(),
        }
    }

    /// Parses the syntax; `None` if it has a fault, which is recorded.
    pub fn parse(&self) -> Option<Value<'a>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &options()) {
            Ok(parsed) => {
                if parsed.value.is_none() {
                    self.record(0, "", "the file is empty; an object is wanted".into());
                }
                parsed.value
            }
            Err(e) => {
                self.record(e.range().start, "", format!("not JSON5: {}", e.kind()));
                None
            }
        }
    }

    /// Returns the place of the top-level value.
    pub fn root<'d>(&'d self, value: &'d Value<'a>) -> Place<'a, 'd> {
        Place {
            document: self,
            value: Some(value),
            at: value.range().start,
            key: String::new(),
        }
    }

    /// All faults, in the order of the text.
    pub fn faults(self) -> Vec<DeploymentFault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|f| (f.line, f.column));
        faults.dedup();
        faults
    }

    pub(super) fn record(&self, at: usize, key: &str, message: String) {
        let before = &self.text[..at.min(self.text.len())];
        let line = 1 + before.matches('\n').count();
        let column = 1 + before.chars().rev().take_while(|&c| c != '\n').count();
        self.faults.borrow_mut().push(DeploymentFault {
            line,
            column,
            key: key.into(),
            message,
        });
    }
}
