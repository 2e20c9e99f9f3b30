//! Sources of readiness events, and the poll token of each.

use mio::Token;

/// The lowest token of a connection. Lower tokens are reserved for the sources that exist once per process.
const FIRST_CONNECTION_TOKEN: usize = 16;

/// The object that a readiness event or an unfinished read belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listener for clients.
    Listener,
    /// The pipe through which process signals arrive.
    Signals,
    /// The sockets of the current and the previous resolvers.
    Resolver,
    /// A client connection, by slot.
    Client(usize),
    /// An executor connection, by slot.
    Executor(usize),
}

impl EventSource {
    /// The poll token under which this source is registered.
    pub fn token(self) -> Token {
        match self {
            EventSource::Listener => Token(0),
            EventSource::Signals => Token(1),
            EventSource::Resolver => Token(2),
            EventSource::Client(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot),
            EventSource::Executor(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot + 1),
        }
    }

    /// The source for a token that `token` returned.
    pub fn from_token(token: Token) -> EventSource {
        match token {
            Token(0) => EventSource::Listener,
            Token(1) => EventSource::Signals,
            Token(2) => EventSource::Resolver,
            Token(n) if n % 2 == 0 => EventSource::Client((n - FIRST_CONNECTION_TOKEN) / 2),
            Token(n) => EventSource::Executor((n - FIRST_CONNECTION_TOKEN) / 2),
        }
    }
}
