//! Topic patterns with named placeholders, such as `house/{house}/set/{what...}`. A placeholder matches exactly one
//! level; with `...` it matches all remaining levels and must be the last one.

use orchidtally_mqtt::Filter;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Level {
    Text(String),
    Placeholder(String),
    RestPlaceholder(String),
}

/// The part of a topic that each placeholder of a pattern matched, by placeholder name.
pub type Captures = BTreeMap<String, String>;

/// A parsed topic pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    levels: Vec<Level>,
}

/// The reason why a text is not a valid topic pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// This level contains a brace but is not a placeholder.
    #[error(
        "the level '{0}': a placeholder has to be a whole level, of letters, digits and '_' in braces"
    )]
    InvalidPlaceholder(String),
    /// Two placeholders have this name.
    #[error("the placeholder '{0}' occurs twice")]
    DuplicatePlaceholder(String),
    /// A placeholder for all remaining levels is not the last level.
    #[error("a placeholder with '...' has to be the last level")]
    RestNotLast,
    /// The pattern is not a valid topic filter, for this reason.
    #[error("not a valid topic pattern: {0}")]
    InvalidFilter(String),
}

impl Pattern {
    /// Parses a pattern and checks that it is a valid topic filter.
    pub fn parse(text: &str) -> Result<Pattern, PatternError> {
        let mut levels: Vec<Level> = vec![];
        for level in text.split('/') {
            let braced = level.strip_prefix('{').and_then(|l| l.strip_suffix('}'));
            let part = match braced {
                None if level.contains(['{', '}']) => {
                    return Err(PatternError::InvalidPlaceholder(level.into()));
                }
                None if level.contains(['+', '#']) => {
                    return Err(PatternError::InvalidFilter(
                        "wildcards are written as placeholders in braces".into(),
                    ));
                }
                None => Level::Text(level.into()),
                Some(inner) => {
                    let name = inner.strip_suffix("...").unwrap_or(inner);
                    if name.is_empty()
                        || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
                    {
                        return Err(PatternError::InvalidPlaceholder(level.into()));
                    }
                    let known = |p: &Level| matches!(p, Level::Placeholder(n) | Level::RestPlaceholder(n) if n == name);
                    if levels.iter().any(known) {
                        return Err(PatternError::DuplicatePlaceholder(name.into()));
                    }
                    if name.len() < inner.len() {
                        Level::RestPlaceholder(name.into())
                    } else {
                        Level::Placeholder(name.into())
                    }
                }
            };
            if matches!(levels.last(), Some(Level::RestPlaceholder(_))) {
                return Err(PatternError::RestNotLast);
            }
            levels.push(part);
        }
        let pattern = Pattern { levels };
        Filter::parse(&pattern.filter_text())
            .map_err(|e| PatternError::InvalidFilter(e.to_string()))?;
        Ok(pattern)
    }

    fn filter_text(&self) -> String {
        let level = |p: &Level| match p {
            Level::Text(text) => text.clone(),
            Level::Placeholder(_) => "+".into(),
            Level::RestPlaceholder(_) => "#".into(),
        };
        self.levels
            .iter()
            .map(level)
            .collect::<Vec<String>>()
            .join("/")
    }

    /// Returns the topic filter that matches the same topics.
    pub fn filter(&self) -> Filter {
        Filter::parse(&self.filter_text()).expect("Pattern::parse has validated the filter")
    }

    /// Iterates over the names of the placeholders, in the order of their levels.
    pub fn placeholders(&self) -> impl Iterator<Item = &str> {
        self.levels.iter().filter_map(|p| match p {
            Level::Placeholder(n) | Level::RestPlaceholder(n) => Some(n.as_str()),
            Level::Text(_) => None,
        })
    }

    /// Matches a topic and returns the captured levels; `None` if the topic does not match.
    pub fn captures(&self, topic: &str) -> Option<Captures> {
        let found = self.filter().captures(topic)?;
        Some(
            self.placeholders()
                .map(str::to_owned)
                .zip(found.into_iter().map(str::to_owned))
                .collect(),
        )
    }

    /// Builds a topic by replacing each placeholder with its captured value; `None` if a value is missing.
    pub fn fill(&self, captures: &Captures) -> Option<String> {
        let mut levels = vec![];
        for part in &self.levels {
            levels.push(match part {
                Level::Text(text) => text.as_str(),
                Level::Placeholder(name) | Level::RestPlaceholder(name) => {
                    captures.get(name)?.as_str()
                }
            });
        }
        Some(levels.join("/"))
    }
}
