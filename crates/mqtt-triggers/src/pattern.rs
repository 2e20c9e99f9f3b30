//! Topic patterns with names, such as `house/{house}/set/{what...}`. A name in braces stands for a whole level; with
//! `...` it stands for all levels from there on.

use orchidtally_mqtt::Filter;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Level {
    Text(String),
    Placeholder(String),
    RestPlaceholder(String),
}

/// What a topic has at each name of a pattern.
pub type Captures = BTreeMap<String, String>;

/// A topic pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    levels: Vec<Level>,
}

/// Why a text is no topic pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// This level has a brace and is no name in braces.
    #[error(
        "the level '{0}': a name in braces has to be a whole level, of letters, digits and '_'"
    )]
    InvalidPlaceholder(String),
    /// This name is given twice.
    #[error("the name '{0}' is given twice")]
    DuplicatePlaceholder(String),
    /// A level that stands for all that follow is not the last one.
    #[error("only the last level can stand for all that follow")]
    RestNotLast,
    /// No topic can match it, for this reason.
    #[error("no topic: {0}")]
    InvalidFilter(String),
}

impl Pattern {
    /// Parses a pattern.
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
                        "wildcards are written as names in braces".into(),
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

    /// The filter that matches the same topics.
    pub fn filter(&self) -> Filter {
        Filter::parse(&self.filter_text()).expect("it was parsed when the pattern was")
    }

    /// The names in their order.
    pub fn placeholders(&self) -> impl Iterator<Item = &str> {
        self.levels.iter().filter_map(|p| match p {
            Level::Placeholder(n) | Level::RestPlaceholder(n) => Some(n.as_str()),
            Level::Text(_) => None,
        })
    }

    /// What a topic has at each name; `None` where the pattern does not match it.
    pub fn captures(&self, topic: &str) -> Option<Captures> {
        let found = self.filter().captures(topic)?;
        Some(
            self.placeholders()
                .map(str::to_owned)
                .zip(found.into_iter().map(str::to_owned))
                .collect(),
        )
    }

    /// The topic with these in place of the names; `None` where one is missing.
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
