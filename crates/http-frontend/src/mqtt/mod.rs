//! Message triggers on sockets: the connection to the MQTT broker, the journal's thread and the invocations. The state
//! machine `Consumer` of `orchidtally-mqtt-triggers` makes the decisions.

mod connection;
mod consume;
mod host;
mod invoke;
mod tls_files;
mod triggers;

pub use consume::consume;
pub use triggers::{MessageTriggers, decode_records};
