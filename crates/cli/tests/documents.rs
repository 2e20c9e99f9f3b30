//! The pages that a newcomer reads first name only files that exist.

use std::path::{Path, PathBuf};

const PAGES: [&str; 4] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/glossary.md",
];

/// Where files of these names are, if the text does not say it: the front ends and the dispatch policy.
const SOURCE_FOLDERS: [&str; 4] = [
    "crates/platform-frontend/src",
    "crates/http-frontend/src",
    "crates/dispatch-policy/src/dispatch",
    "crates/engine/src",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Texts between backticks, outside of fenced and indented blocks.
fn code_spans(page: &str) -> Vec<String> {
    let mut spans = vec![];
    let mut is_fenced = false;
    for line in page.lines() {
        if line.starts_with("```") {
            is_fenced = !is_fenced;
        } else if !is_fenced && !line.starts_with("    ") {
            spans.extend(line.split('`').skip(1).step_by(2).map(str::to_owned));
        }
    }
    spans
}

/// Whether a text is the path of a file or folder of the repository.
fn is_path(span: &str) -> bool {
    let is_file = [".rs", ".md", ".toml", ".json", ".proto"]
        .iter()
        .any(|end| span.ends_with(end));
    let is_plain = span
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "/._-".contains(c));
    let is_folder = ["crates/", "docs/", "deploy/", "examples/", "journal/"]
        .iter()
        .any(|start| span.starts_with(start));
    is_plain && (is_file || is_folder)
}

fn exists(span: &str) -> bool {
    root().join(span).exists()
        || SOURCE_FOLDERS
            .iter()
            .any(|folder| root().join(folder).join(span).exists())
}

#[test]
fn pages_name_files_that_exist() {
    let mut checked = 0;
    let mut missing = vec![];
    for page in PAGES {
        let text = std::fs::read_to_string(root().join(page)).unwrap();
        for span in code_spans(&text).into_iter().filter(|span| is_path(span)) {
            checked += 1;
            if !exists(&span) {
                missing.push(format!("{page}: {span}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(checked > 50, "{checked} paths were found");
}
