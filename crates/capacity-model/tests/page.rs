//! `docs/CAPACITY.md` tells what the program measured: its tables are those of the report beside it.

use orchidtally_capacity_model::report::Report;
use orchidtally_capacity_model::tables;
use std::path::Path;

#[test]
fn the_page_tells_the_figures_of_the_stored_report() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page =
        std::fs::read_to_string(docs.join("CAPACITY.md")).expect("docs/CAPACITY.md is there");
    let stored =
        std::fs::read_to_string(docs.join("capacity.json")).expect("docs/capacity.json is there");
    let report: Report = serde_json::from_str(&stored).expect("docs/capacity.json is a report");
    assert!(!report.rows.is_empty() && !report.slopes.is_empty());
    assert_eq!(
        tables::between(&page, tables::ROWS),
        Some(tables::rows(&report.rows).as_str())
    );
    assert_eq!(
        tables::between(&page, tables::SLOPES),
        Some(tables::slopes(&report.slopes).as_str())
    );
}
