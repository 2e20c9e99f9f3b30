//! MQTT 3.1.1 and 5 according to the OASIS standards, without I/O: control packets and their encoding, topic names and
//! filters, and the session of a client. Names follow the standards.

mod codec;
pub mod filter;
pub mod packet;
pub mod session;

pub use codec::{CodecError, decode, encode};
pub use filter::Filter;
pub use packet::{Packet, Version};
pub use session::Session;
