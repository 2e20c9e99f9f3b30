//! What a run found: one row for each limit of the design, and the verdict over all of them.

use crate::size::{Injection, Size};
use serde::{Deserialize, Serialize};

/// Whose cost or service a row describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// One front end.
    FrontEnd,
    /// One member of the control store.
    StoreMember,
    /// The whole fleet.
    Fleet,
    /// One region.
    Region,
}

impl Role {
    /// The role in words, for tables.
    pub fn label(self) -> &'static str {
        match self {
            Role::FrontEnd => "front end",
            Role::StoreMember => "store member",
            Role::Fleet => "fleet",
            Role::Region => "region",
        }
    }
}

/// How a row's figure came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured at the stated size.
    Measured,
    /// Calculated from a fit over smaller sizes, at most ten-fold.
    Extrapolated,
}

/// On which side of its limit a figure has to stay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bound {
    /// The figure must not exceed the limit.
    #[default]
    AtMost,
    /// The figure must not fall below the limit.
    AtLeast,
}

/// One limit of the design and what was measured against it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row, unique within a report.
    pub name: String,
    /// Whose cost or service the row describes.
    pub role: Role,
    /// Unit of the figure.
    pub unit: String,
    /// Limit of the figure, in `unit`.
    pub limit: f64,
    /// Side of the limit on which the figure has to stay.
    #[serde(default)]
    pub bound: Bound,
    /// `None` where it could not be measured, which counts as missed.
    pub measured: Option<f64>,
    /// Whether the figure is on the right side of the limit.
    #[serde(rename = "held")]
    pub is_met: bool,
    /// How the figure was obtained.
    pub basis: Basis,
    /// Measured over limit, or limit over measured for [`Bound::AtLeast`]: above 1 is missed.
    pub factor: Option<f64>,
    /// How it was measured, or why it was not.
    pub note: String,
}

impl Row {
    /// A row that has a limit and no figure yet: missed.
    pub fn unmeasured(
        name: &str,
        role: Role,
        unit: &str,
        bound: Bound,
        limit: f64,
        note: &str,
    ) -> Row {
        Row {
            name: name.into(),
            role,
            unit: unit.into(),
            limit,
            bound,
            measured: None,
            is_met: false,
            basis: Basis::Measured,
            factor: None,
            note: note.into(),
        }
    }

    /// The row with its figure. A figure that is no finite number counts as not measured.
    pub fn with(self, measured: f64, basis: Basis) -> Row {
        if !measured.is_finite() {
            return self;
        }
        let (is_met, factor) = match self.bound {
            Bound::AtMost => (measured <= self.limit, measured / self.limit),
            Bound::AtLeast => (measured >= self.limit, self.limit / measured),
        };
        let factor = factor.is_finite().then_some(factor);
        Row {
            measured: Some(measured),
            is_met,
            factor,
            basis,
            ..self
        }
    }

    /// A figure that has to stay at or below its limit.
    pub fn at_most(name: &str, role: Role, unit: &str, limit: f64, note: &str) -> Row {
        Row::unmeasured(name, role, unit, Bound::AtMost, limit, note)
    }

    /// A figure that has to stay at or above its limit.
    pub fn at_least(name: &str, role: Role, unit: &str, limit: f64, note: &str) -> Row {
        Row::unmeasured(name, role, unit, Bound::AtLeast, limit, note)
    }
}

/// The result over all rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every row is within its limit.
    #[serde(rename = "held")]
    Met,
    /// A row exceeds its limit or was not measured, or there are no rows.
    Missed,
}

/// The last line on standard output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Result over all rows.
    pub verdict: Verdict,
    /// Size of the run.
    pub size: Size,
    /// Seed of the run.
    pub seed: u64,
    /// The fault that was planted, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub injected: Option<Injection>,
    /// One row for each limit.
    pub rows: Vec<Row>,
    /// The fits behind extrapolated rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Creates a report; its verdict follows from the rows.
    pub fn new(
        size: Size,
        seed: u64,
        injected: Option<Injection>,
        rows: Vec<Row>,
        slopes: Vec<Slope>,
    ) -> Report {
        let all_met = !rows.is_empty() && rows.iter().all(|row| row.is_met);
        let verdict = if all_met {
            Verdict::Met
        } else {
            Verdict::Missed
        };
        Report {
            verdict,
            size,
            seed,
            injected,
            rows,
            slopes,
        }
    }

    /// The exit code of the program: 0 if every row is within its limit, 1 otherwise.
    pub fn exit_code(&self) -> u8 {
        match self.verdict {
            Verdict::Met => 0,
            Verdict::Missed => 1,
        }
    }
}

/// Adds rows; one of the same name as a former row takes its place.
pub fn merge(rows: &mut Vec<Row>, more: Vec<Row>) {
    for row in more {
        match rows.iter_mut().find(|known| known.name == row.name) {
            Some(known) => *known = row,
            None => rows.push(row),
        }
    }
}

/// A line through the figures of several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub figure: String,
    /// Unit of the figure.
    pub unit: String,
    /// What was varied.
    pub dimension: String,
    /// Size and figure of each measurement.
    pub points: Vec<(f64, f64)>,
    /// Figure at size zero.
    pub intercept: f64,
    /// Change of the figure for one more of the dimension.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Standard error of the regression: what a figure lies off the line, in its own unit.
    pub residual_error: f64,
}
