//! Definitions of functions: their resource needs, their code, and their packages in the store.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::rc::Rc;

/// Why a function has no result. Its display text is the `detail` of the executor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FunctionError {
    /// The function expects text, and the payload is not UTF-8.
    #[error("the body is not UTF-8")]
    NotUtf8,
}

/// The code of a function. It maps the chunks of the payload to the chunks of the result.
pub type FunctionCode = fn(&[Bytes]) -> Result<Vec<Bytes>, FunctionError>;

/// The definition of a function: its resource needs and its behaviour.
#[derive(Clone)]
pub struct Program {
    /// The number of invocations that a replica runs at a time.
    pub concurrency: usize,
    /// The memory of a replica, in the unit of `ExecutorSpec::memory`.
    pub memory: f64,
    /// The time to load it while the store serves no other fetch, in seconds.
    pub load_time: f64,
    /// The mean duration of a run on a free core, in seconds.
    pub cpu_time: f64,
    /// The code that computes the result.
    pub run: FunctionCode,
    /// The number of parts in which the answer is streamed; 0 to send it as one message.
    pub response_parts: usize,
    /// The package in the store; its SHA-256 digest identifies the version.
    pub package: Bytes,
    /// The probability that a run fails, from 0 to 1.
    pub failure_probability: f64,
    /// The only trigger type whose runs fail; `None` for all trigger types.
    pub failing_trigger_type: Option<String>,
    /// The fraction of runs that are slow, and the factor by which they take longer.
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

/// The name of a version in the store; the function's name alone where `digest` is empty.
pub fn package_name(function: &str, digest: &str) -> String {
    if digest.is_empty() {
        function.to_owned()
    } else {
        format!("{function}@{digest}")
    }
}

/// The SHA-256 digest of a package, in hexadecimal digits.
pub fn digest(package: &[u8]) -> String {
    Sha256::digest(package)
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

/// Function code that returns the payload unchanged.
pub fn echo(payload: &[Bytes]) -> Result<Vec<Bytes>, FunctionError> {
    Ok(payload.to_vec())
}

/// Looks up a function by its package name; `None` if there is no such function.
pub type Catalogue = Rc<dyn Fn(&str) -> Option<Program>>;
