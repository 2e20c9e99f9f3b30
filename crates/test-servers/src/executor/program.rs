//! Functions as executors know them: what they need and do, and the packages that the store has of them.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::rc::Rc;

/// Why a function gave no result. Its text is the detail of the executor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FunctionError {
    /// The function works on text, and the payload is none.
    #[error("the body is not UTF-8")]
    NotUtf8,
}

/// The code of a function: from the chunks of the payload to those of the result.
pub type FunctionCode = fn(&[Bytes]) -> Result<Vec<Bytes>, FunctionError>;

/// What a function needs and does.
#[derive(Clone)]
pub struct Program {
    /// Invocations that a copy runs at a time.
    pub concurrency: usize,
    /// Of a copy, in the unit of `ExecutorSpec::memory`.
    pub memory: f64,
    /// In seconds, where nobody else loads.
    pub load_time: f64,
    /// Work of an invocation on a free core, in seconds.
    pub cpu_time: f64,
    /// What it answers.
    pub run: FunctionCode,
    /// Parts in which the answer is streamed; none for a whole one.
    pub response_parts: usize,
    /// What the store gives for it; its digest is that of the version.
    pub package: Bytes,
    /// The chance that an invocation fails.
    pub failure_probability: f64,
    /// The one trigger type whose invocations fail; all of them where there is none.
    pub failing_trigger_type: Option<String>,
    /// Of its runs, those that take so many times longer.
    pub slow_runs: (f64, f64),
}

impl Default for Program {
    fn default() -> Program {
        Program {
            concurrency: 1,
            memory: 1.0,
            load_time: 0.01,
            cpu_time: 0.001,
            run: echo,
            response_parts: 0,
            package: Bytes::new(),
            failure_probability: 0.0,
            failing_trigger_type: None,
            slow_runs: (0.0, 1.0),
        }
    }
}

/// The name under which the store has a version.
pub fn package_name(function: &str, digest: &str) -> String {
    if digest.is_empty() {
        function.to_owned()
    } else {
        format!("{function}@{digest}")
    }
}

/// SHA-256 in hexadecimal digits.
pub fn digest(package: &[u8]) -> String {
    Sha256::digest(package)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Answers with what it was asked.
pub fn echo(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    Ok(payload.to_vec())
}

/// Tells of each function what it is, or that there is none.
pub type Catalogue = Rc<dyn Fn(&str) -> Option<Program>>;
