//! Reasons for which a message can't be invoked.

/// The reason why a message can never be invoked. The message becomes a dead letter with this reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoisonReason {
    /// No rule matches its topic.
    #[error("no trigger is for its topic")]
    NoRule,
    /// The payload is longer than the rule allows.
    #[error("a payload of {bytes} bytes, {max} at most")]
    TooLong {
        /// The length of the payload in bytes.
        bytes: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// The rule requires text, and the payload is not valid UTF-8.
    #[error("the payload is not UTF-8")]
    NotText,
    /// The rule requires JSON, and the payload is not valid JSON, for this reason.
    #[error("the payload is not JSON: {0}")]
    NotJson(String),
    /// The deployment has no function of this name.
    #[error("there is no function '{0}'")]
    UnknownFunction(String),
    /// The deployment has no customer of this name.
    #[error("there is no customer '{0}'")]
    UnknownCustomer(String),
    /// The message has no valid response topic, which its rule requires.
    #[error("it names no response topic that can be answered to")]
    NoResponseTopic,
    /// A rule matches this topic of the answer, so that the answer would trigger another invocation.
    #[error("its answer to '{0}' would come back as a message")]
    Loop(String),
    /// The user property with the sending time has this value, which is not a number of milliseconds.
    #[error("'{0}' is no time in ms since 1970")]
    SentAt(String),
}
