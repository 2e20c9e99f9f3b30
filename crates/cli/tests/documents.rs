//! Checks of the documentation: the introductory pages name only files that exist, and the on-call page lists every
//! warning and error that the processes log.

use std::path::{Path, PathBuf};

const PAGES: [&str; 4] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/glossary.md",
];

/// Folders in which a file is looked up if a page gives its name without a path: the front ends and the dispatch
/// policy.
const SOURCE_FOLDERS: [&str; 4] = [
    "crates/platform-frontend/src",
    "crates/http-frontend/src",
    "crates/dispatch-policy/src/dispatch",
    "crates/engine/src",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Crates whose messages operators see.
const LOGGING_CRATES: [&str; 4] = [
    "crates/cli",
    "crates/coordinator",
    "crates/http-frontend",
    "crates/platform-frontend",
];

/// The code spans of a Markdown page, without those in fenced and indented blocks.
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

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = vec![];
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The string literals in a macro's arguments. `code` begins after the opening parenthesis.
fn string_literals(code: &str) -> Vec<String> {
    let mut literals = vec![];
    let mut current: Option<String> = None;
    let mut depth = 1;
    let mut characters = code.chars().peekable();
    while let Some(character) = characters.next() {
        match (&mut current, character) {
            (Some(_), '\\') if characters.peek() == Some(&'\n') => {
                // A line continuation drops the indentation of the next line.
                while characters.next_if(|next| next.is_whitespace()).is_some() {}
            }
            (Some(literal), '\\') => literal.extend(characters.next()),
            (Some(_), '"') => literals.extend(current.take()),
            (Some(literal), _) => literal.push(character),
            (None, '"') => current = Some(String::new()),
            (None, '(') => depth += 1,
            (None, ')') => depth -= 1,
            (None, _) => {}
        }
        if depth == 0 {
            break;
        }
    }
    literals
}

/// The messages of `warn!` and `error!` in a source file, without calls that have no constant message.
fn logged_messages(source: &str) -> Vec<String> {
    ["warn!(", "error!("]
        .iter()
        .flat_map(|macro_name| source.split(macro_name).skip(1))
        .filter_map(|arguments| string_literals(arguments).pop())
        .filter(|message| !message.contains('{'))
        .collect()
}

#[test]
fn the_on_call_page_lists_every_warning_and_error() {
    let page = std::fs::read_to_string(root().join("docs/on-call.md")).unwrap();
    let mut missing = vec![];
    let mut checked = 0;
    for folder in LOGGING_CRATES {
        for file in rust_files(&root().join(folder).join("src")) {
            let source = std::fs::read_to_string(&file).unwrap();
            for message in logged_messages(&source) {
                checked += 1;
                if !page.contains(&format!("\"{message}\"")) {
                    missing.push(format!("{}: {message}", file.display()));
                }
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(checked > 40, "{checked} messages were found");
}
