//! Sources of events, and the poll token of each.

use mio::Token;

/// The first token of a connection; those below it belong to the fixed sources.
const FIRST_CONNECTION_TOKEN: usize = 16;

/// What an event of the poll, or an unfinished read, belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The listener for clients.
    Listener,
    /// The pipe of process signals.
    Signals,
    /// The sockets of the resolver.
    Resolver,
    /// A client's connection, by its slot.
    Client(usize),
    /// A connection to an executor, by its slot.
    Executor(usize),
}

impl EventSource {
    /// The token under which this source is registered.
    pub fn token(self) -> Token {
        match self {
            EventSource::Listener => Token(0),
            EventSource::Signals => Token(1),
            EventSource::Resolver => Token(2),
            EventSource::Client(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot),
            EventSource::Executor(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot + 1),
        }
    }

    /// The source of a token that `token` returned.
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
