//! The tables of a report in Markdown, between marks of a page: `<!-- scale:rows -->` and `<!-- /scale:rows -->`, and the
//! same for `scale:slopes`.

use crate::report::{Basis, Bound, Report, Row, Slope};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the tables were not written.
#[derive(Debug, Error)]
pub enum TablesError {
    /// The page could not be read or written.
    #[error("{file} could not be read or written: {why}", file = file.display())]
    Io {
        /// The page.
        file: PathBuf,
        /// Reason of the operating system.
        why: std::io::Error,
    },
    /// The page lacks the marks of a table.
    #[error("{file} lacks the marks '<!-- {name} -->' and '<!-- /{name} -->', each on a line of its own; add them", file = file.display())]
    NoMarks {
        /// The page.
        file: PathBuf,
        /// Name of the table in its marks.
        name: &'static str,
    },
}

/// The tables' names in their marks.
pub const ROWS: &str = "scale:rows";
/// Name of the table of slopes in its marks.
pub const SLOPES: &str = "scale:slopes";

/// Writes both tables of a report into a page that has their marks.
pub fn write(file: &Path, report: &Report) -> Result<(), TablesError> {
    let io = |why| TablesError::Io {
        file: file.into(),
        why,
    };
    let mut text = std::fs::read_to_string(file).map_err(io)?;
    for (name, table) in [(ROWS, rows(&report.rows)), (SLOPES, slopes(&report.slopes))] {
        let no_marks = || TablesError::NoMarks {
            file: file.into(),
            name,
        };
        text = replaced(&text, name, &table).ok_or_else(no_marks)?;
    }
    std::fs::write(file, text).map_err(io)
}

/// What stands between a table's marks; `None` without them.
pub fn between<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let (_, rest) = text.split_once(&format!("<!-- {name} -->\n"))?;
    let (table, _) = rest.split_once(&format!("<!-- /{name} -->"))?;
    Some(table)
}

fn replaced(text: &str, name: &str, table: &str) -> Option<String> {
    let known = between(text, name)?;
    let marked = |table: &str| format!("<!-- {name} -->\n{table}<!-- /{name} -->");
    Some(text.replacen(&marked(known), &marked(table), 1))
}

/// Three significant digits, without an exponent where that is shorter.
fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    match magnitude {
        -5..=5 => format!("{value:.*}", (2 - magnitude).max(0) as usize),
        _ => format!("{value:.2e}"),
    }
}

/// The table of rows.
pub fn rows(rows: &[Row]) -> String {
    let mut table = String::from(
        "| row | role | measured | limit | unit | held | factor | basis |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let bound = match row.bound {
            Bound::AtMost => "≤",
            Bound::AtLeast => "≥",
        };
        let basis = match row.basis {
            _ if row.measured.is_none() => "not measured",
            Basis::Measured => "measured",
            Basis::Extrapolated => "extrapolated",
        };
        table.push_str(&format!(
            "| `{}` | {} | {} | {bound} {} | {} | {} | {} | {basis} |\n",
            row.name,
            row.role.label(),
            row.measured.map_or("–".into(), figure),
            figure(row.limit),
            row.unit,
            if row.is_met { "held" } else { "**missed**" },
            row.factor.map_or("–".into(), figure),
        ));
    }
    table
}

/// The table of slopes.
pub fn slopes(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "| figure | unit | by | sizes | at rest | for one more | ± | off the line |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for slope in slopes {
        let sizes: Vec<String> = slope
            .points
            .iter()
            .map(|(size, _)| format!("{size}"))
            .collect();
        table.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
            slope.figure,
            slope.unit,
            slope.dimension,
            sizes.join(", "),
            figure(slope.intercept),
            figure(slope.slope),
            figure(slope.slope_error),
            figure(slope.residual_error),
        ));
    }
    table
}
