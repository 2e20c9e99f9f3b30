//! Encoding and decoding of control packets.
//!
//! Decoded packets are validated as the standards require: reserved bits, packet identifiers, QoS, UTF-8, topic
//! names, and the properties that each packet type may carry. A CONNECT packet states the protocol version of the
//! connection.

mod decode;
mod encode;
mod property;
mod reader;
mod writer;

pub use decode::decode;
pub use encode::encode;

/// The maximum remaining length, which is the largest value of a variable byte integer.
const MAX_REMAINING_LENGTH: usize = 268_435_455;

/// The continuation bit and the value bits of each byte of a variable byte integer.
const VARINT_CONTINUES: u8 = 0x80;
const VARINT_VALUE: u8 = 0x7f;
/// The maximum length of a variable byte integer, in bytes.
const VARINT_BYTES: usize = 4;

/// Control packet types: the upper four bits of a packet's first byte.
mod packet_type {
    pub const CONNECT: u8 = 1;
    pub const CONNACK: u8 = 2;
    pub const PUBLISH: u8 = 3;
    pub const PUBACK: u8 = 4;
    pub const PUBREC: u8 = 5;
    pub const PUBREL: u8 = 6;
    pub const PUBCOMP: u8 = 7;
    pub const SUBSCRIBE: u8 = 8;
    pub const SUBACK: u8 = 9;
    pub const UNSUBSCRIBE: u8 = 10;
    pub const UNSUBACK: u8 = 11;
    pub const PINGREQ: u8 = 12;
    pub const PINGRESP: u8 = 13;
    pub const DISCONNECT: u8 = 14;
    pub const AUTH: u8 = 15;
}

/// The flags (lower four bits of the first byte) of PUBREL, SUBSCRIBE and UNSUBSCRIBE. All other packet types except
/// PUBLISH have the flags 0.
const REQUEST_FLAGS: u8 = 2;

/// Flag bits of a CONNECT.
mod connect_flag {
    pub const RESERVED: u8 = 0x01;
    pub const CLEAN: u8 = 0x02;
    pub const WILL: u8 = 0x04;
    pub const WILL_QOS_SHIFT: u8 = 3;
    pub const WILL_RETAIN: u8 = 0x20;
    /// The QoS bits and the retain flag of a will.
    pub const WILL_OPTIONS: u8 = 0x38;
    pub const PASSWORD: u8 = 0x40;
    pub const USERNAME: u8 = 0x80;
}

/// Flag bits of a PUBLISH.
mod publish_flag {
    pub const RETAIN: u8 = 0x01;
    pub const QOS_SHIFT: u8 = 1;
    pub const DUP: u8 = 0x08;
}

/// Option bits of a subscription.
mod subscribe_option {
    pub const NO_LOCAL: u8 = 0x04;
    pub const RETAIN_AS_PUBLISHED: u8 = 0x08;
    pub const RETAIN_HANDLING_SHIFT: u8 = 4;
    pub const RESERVED_V311: u8 = 0xfc;
    pub const RESERVED_V5: u8 = 0xc0;
}

/// The mask of a two-bit QoS after its shift.
const QOS_BITS: u8 = 0x03;

/// The protocol levels in a CONNECT.
const LEVEL_V311: u8 = 4;
const LEVEL_V5: u8 = 5;

/// A failure to decode or encode a packet. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The packet violates the standard as described.
    #[error("malformed packet: {0}")]
    Malformed(&'static str),
    /// The packet is longer than the limit.
    #[error("a packet of {length} bytes exceeds the limit of {max_length} bytes")]
    TooLarge {
        /// The length of the packet in bytes.
        length: usize,
        /// The limit in bytes.
        max_length: usize,
    },
    /// The protocol level is neither 4 (MQTT 3.1.1) nor 5.
    #[error("unsupported protocol level {0}, expected 4 (MQTT 3.1.1) or 5")]
    Version(u8),
}

type Result<T> = std::result::Result<T, CodecError>;

fn malformed<T>(what: &'static str) -> Result<T> {
    Err(CodecError::Malformed(what))
}
