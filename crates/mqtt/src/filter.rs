//! Topic names and topic filters: validation, matching, and overlaps of filters.

use std::fmt;

/// The maximum length of a topic name or filter, in bytes.
const MAX_LENGTH: usize = 65_535;

/// A valid topic filter, with the group if the subscription is shared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Filter {
    text: String,
    /// The byte offset of the filter in the text, after the prefix of a shared subscription.
    start: usize,
}

/// The reason why a topic name or a topic filter is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FilterError {
    /// It is empty.
    #[error("it is empty")]
    Empty,
    /// It is longer than the longest string of the protocol.
    #[error("it is longer than 65535 bytes")]
    TooLong,
    /// It contains U+0000.
    #[error("it contains the character U+0000")]
    NulCharacter,
    /// A wildcard is misplaced: `+` has to be a whole level and `#` the whole last level. A topic name has neither.
    #[error(
        "'+' has to be a whole level and '#' the whole last level of a filter; topic names have no wildcards"
    )]
    Wildcard,
    /// A shared subscription does not have the form `$share/GROUP/FILTER`, with a group without wildcards.
    #[error(
        "a shared subscription has the form '$share/GROUP/FILTER', with a group without '+', '#' and '/'"
    )]
    SharedSubscription,
}

fn check(text: &str) -> Result<(), FilterError> {
    match text {
        "" => Err(FilterError::Empty),
        t if t.len() > MAX_LENGTH => Err(FilterError::TooLong),
        t if t.contains('\0') => Err(FilterError::NulCharacter),
        _ => Ok(()),
    }
}

/// Checks that a message can be published to a topic.
pub fn check_topic(topic: &str) -> Result<(), FilterError> {
    check(topic)?;
    if topic.contains(['+', '#']) {
        Err(FilterError::Wildcard)
    } else {
        Ok(())
    }
}

impl Filter {
    /// Parses a filter of a SUBSCRIBE, which may be a shared subscription.
    pub fn parse(text: &str) -> Result<Filter, FilterError> {
        check(text)?;
        let mut start = 0;
        if let Some(rest) = text.strip_prefix("$share/") {
            let (group, filter) = rest
                .split_once('/')
                .ok_or(FilterError::SharedSubscription)?;
            if group.is_empty() || group.contains(['+', '#']) || filter.is_empty() {
                return Err(FilterError::SharedSubscription);
            }
            start = text.len() - filter.len();
        }
        let levels: Vec<&str> = text[start..].split('/').collect();
        for (n, level) in levels.iter().enumerate() {
            let last = n + 1 == levels.len();
            let alone = level.len() == 1;
            if level.contains('+') && !alone || level.contains('#') && !(alone && last) {
                return Err(FilterError::Wildcard);
            }
        }
        Ok(Filter {
            text: text.into(),
            start,
        })
    }

    /// The filter as written in a SUBSCRIBE, with the prefix of a shared subscription.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The group of a shared subscription; `None` for other subscriptions.
    pub fn group(&self) -> Option<&str> {
        (self.start > 0).then(|| &self.text["$share/".len()..self.start - 1])
    }

    fn levels(&self) -> std::str::Split<'_, char> {
        self.text[self.start..].split('/')
    }

    /// Matches a topic and returns the part that each wildcard matched, in order; for `#` these are all remaining
    /// levels. Returns `None` if the filter does not match.
    pub fn captures<'t>(&self, topic: &'t str) -> Option<Vec<&'t str>> {
        // A leading wildcard does not match topics of the server, such as $SYS.
        if topic.starts_with('$') && matches!(self.levels().next(), Some("+" | "#")) {
            return None;
        }
        let mut captures = vec![];
        let mut rest = Some(topic);
        for level in self.levels() {
            if level == "#" {
                // `#` also matches its parent level.
                captures.push(rest.unwrap_or_default());
                return Some(captures);
            }
            let (here, after) = match rest?.split_once('/') {
                Some((here, after)) => (here, Some(after)),
                None => (rest?, None),
            };
            match level {
                "+" => captures.push(here),
                _ if level != here => return None,
                _ => {}
            }
            rest = after;
        }
        rest.is_none().then_some(captures)
    }

    /// Whether the filter matches a topic.
    pub fn matches(&self, topic: &str) -> bool {
        self.captures(topic).is_some()
    }

    /// Whether there is a topic that both filters match.
    pub fn overlaps(&self, other: &Filter) -> bool {
        let (a, b): (Vec<&str>, Vec<&str>) = (self.levels().collect(), other.levels().collect());
        // A leading wildcard does not match topics that begin with '$'.
        let hidden =
            |one: &[&str], two: &[&str]| matches!(one[0], "+" | "#") && two[0].starts_with('$');
        if hidden(&a, &b) || hidden(&b, &a) {
            return false;
        }
        let mut n = 0;
        loop {
            match (a.get(n), b.get(n)) {
                // `#` also matches its parent level; but a topic of one empty level is invalid.
                (Some(&"#"), None) | (None, Some(&"#")) => {
                    return n > 1 || !a[0].is_empty() && !b[0].is_empty();
                }
                (Some(&"#"), _) | (_, Some(&"#")) => return true,
                (None, None) => return true,
                (Some(x), Some(y)) if x == y || *x == "+" || *y == "+" => n += 1,
                _ => return false,
            }
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
