//! Sources of events, and the poll token of each.

use mio::Token;

/// The first token of a connection; those below it belong to the fixed sources.
const FIRST_CONNECTION_TOKEN: usize = 16;

/// What an event of the poll, or an unfinished read, belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
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

impl Source {
    /// The token under which this source is registered.
    pub fn token(self) -> Token {
        match self {
            Source::Listener => Token(0),
            Source::Signals => Token(1),
            Source::Resolver => Token(2),
            Source::Client(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot),
            Source::Executor(slot) => Token(FIRST_CONNECTION_TOKEN + 2 * slot + 1),
        }
    }

    /// The source of a token that `token` returned.
    pub fn of(token: Token) -> Source {
        match token {
            Token(0) => Source::Listener,
            Token(1) => Source::Signals,
            Token(2) => Source::Resolver,
            Token(n) if n % 2 == 0 => Source::Client((n - FIRST_CONNECTION_TOKEN) / 2),
            Token(n) => Source::Executor((n - FIRST_CONNECTION_TOKEN) / 2),
        }
    }
}
