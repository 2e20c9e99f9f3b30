//! Topic names and topic filters: which are valid, what a filter matches, and whether two filters overlap.

use std::fmt;

/// The greatest length of a topic name or filter, in bytes.
const MAX_LENGTH: usize = 65_535;

/// A valid topic filter, with the group where the subscription is shared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Filter {
    text: String,
    /// Where the filter itself begins in the text, after the prefix of a shared subscription.
    start: usize,
}

/// Why a topic name or a topic filter is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FilterError {
    /// It is empty.
    #[error("it is empty")]
    Empty,
    /// It is longer than a string of the protocol can be.
    #[error("it has over 65535 bytes")]
    TooLong,
    /// It contains U+0000.
    #[error("it has the character U+0000")]
    NulCharacter,
    /// `#` has to stand for all levels from the last on, `+` for a whole level; a topic name has neither.
    #[error("'+' has to stand for a whole level and '#' for all levels from the last on")]
    Wildcard,
    /// A shared subscription has to be `$share/GROUP/FILTER`, the group without wildcards.
    #[error("'$share/GROUP/FILTER' is wanted, the group without '+', '#' and '/'")]
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
    /// Parses a filter as it stands in a SUBSCRIBE.
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

    /// The filter as it stands in a SUBSCRIBE.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The group of a shared subscription.
    pub fn group(&self) -> Option<&str> {
        (self.start > 0).then(|| &self.text["$share/".len()..self.start - 1])
    }

    fn levels(&self) -> std::str::Split<'_, char> {
        self.text[self.start..].split('/')
    }

    /// What each wildcard stands for in a topic, in order; for `#` all of its levels. `None` where the filter does
    /// not match the topic.
    pub fn captures<'t>(&self, topic: &'t str) -> Option<Vec<&'t str>> {
        // A wildcard at the start does not match the topics of the server itself, such as $SYS.
        if topic.starts_with('$') && matches!(self.levels().next(), Some("+" | "#")) {
            return None;
        }
        let mut captures = vec![];
        let mut rest = Some(topic);
        for level in self.levels() {
            if level == "#" {
                // It matches its parent level too.
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
        // A wildcard at the start matches no topic that begins with '$'.
        let hidden =
            |one: &[&str], two: &[&str]| matches!(one[0], "+" | "#") && two[0].starts_with('$');
        if hidden(&a, &b) || hidden(&b, &a) {
            return false;
        }
        let mut n = 0;
        loop {
            match (a.get(n), b.get(n)) {
                // `#` matches its parent too; but a topic of one empty level is not valid.
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
