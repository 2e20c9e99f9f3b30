//! Triggers by messages on sockets: the connection to the broker, the journal's thread and the invocations around a
//! `Consumer`, which decides.

mod connection;
mod consume;
mod host;
mod invoke;
mod tls_files;
mod triggers;

pub use consume::consume;
pub use triggers::{Triggers, records};
