//! Why a message can't become an invocation.

/// Why a message can never become an invocation. It is set aside with this reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoisonReason {
    /// No rule is for its topic.
    #[error("no trigger is for its topic")]
    NoRule,
    /// The payload is longer than the rule allows.
    #[error("a payload of {bytes} bytes, {max} at most")]
    TooLong {
        /// The length of the payload in bytes.
        bytes: usize,
        /// The greatest length in bytes.
        max: usize,
    },
    /// The payload has to be a text and is not.
    #[error("the payload is not UTF-8")]
    NotText,
    /// The payload has to be JSON and is not, with the reason.
    #[error("the payload is not JSON: {0}")]
    NotJson(String),
    /// The deployment has no function of this name.
    #[error("there is no function '{0}'")]
    UnknownFunction(String),
    /// The deployment has no customer of this name.
    #[error("there is no customer '{0}'")]
    UnknownCustomer(String),
    /// There is no topic to which the answer can be published.
    #[error("it names no response topic that can be answered to")]
    NoResponseTopic,
    /// The answer to this topic would come back as a message.
    #[error("its answer to '{0}' would come back as a message")]
    Loop(String),
    /// The user property that states when it was sent has this value.
    #[error("'{0}' is no time in ms since 1970")]
    SentAt(String),
}
