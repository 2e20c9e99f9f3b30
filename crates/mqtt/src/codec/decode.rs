//! Decoding of control packets.

use super::property::{WILL, read_properties};
use super::reader::Reader;
use super::{
    CodecError, LEVEL_V5, LEVEL_V311, QOS_BITS, REQUEST_FLAGS, Result, VARINT_BYTES,
    VARINT_CONTINUES, VARINT_VALUE, connect_flag, malformed, packet_type, publish_flag,
    subscribe_option,
};
use crate::filter::check_topic;
use crate::packet::*;
use bytes::{Buf, BytesMut};

/// The fixed header of a packet, with the lengths of the header and of the whole packet in bytes.
struct FixedHeader {
    packet_type: u8,
    flags: u8,
    header_length: usize,
    packet_length: usize,
}

/// Removes and decodes the first packet of a buffer; returns `None` until the packet is complete.
///
/// A packet longer than `max_length` bytes is an error. `version` is the version of the connection. A CONNECT states its
/// own version, which is returned with it, so that a server may pass either version for the first packet.
pub fn decode(
    buffer: &mut BytesMut,
    version: Version,
    max_length: usize,
) -> Result<Option<(Version, Packet)>> {
    let Some(header) = fixed_header(buffer)? else {
        return Ok(None);
    };
    if header.packet_length > max_length {
        return Err(CodecError::TooLarge {
            length: header.packet_length,
            max_length,
        });
    }
    check_flags(&header)?;
    if buffer.len() < header.packet_length {
        return Ok(None);
    }
    let mut bytes = buffer.split_to(header.packet_length).freeze();
    bytes.advance(header.header_length);
    let mut reader = Reader::new(bytes);
    let (version, packet) = read_packet(&mut reader, version, &header)?;
    if reader.has_remaining() {
        malformed("trailing bytes after the packet")
    } else {
        Ok(Some((version, packet)))
    }
}

fn fixed_header(buffer: &[u8]) -> Result<Option<FixedHeader>> {
    let Some(&first) = buffer.first() else {
        return Ok(None);
    };
    let (mut remaining_length, mut header_length) = (0usize, 1);
    loop {
        let Some(&byte) = buffer.get(header_length) else {
            return Ok(None);
        };
        remaining_length |= usize::from(byte & VARINT_VALUE) << (7 * (header_length - 1));
        header_length += 1;
        if byte & VARINT_CONTINUES == 0 {
            if header_length > 2 && byte == 0 {
                return malformed("a variable byte integer in more bytes than needed");
            }
            break;
        }
        if header_length > VARINT_BYTES {
            return malformed("a variable byte integer of more than four bytes");
        }
    }
    Ok(Some(FixedHeader {
        packet_type: first >> 4,
        flags: first & 0x0f,
        header_length,
        packet_length: header_length + remaining_length,
    }))
}

fn check_flags(header: &FixedHeader) -> Result<()> {
    let expected = match header.packet_type {
        packet_type::PUBLISH => return Ok(()),
        packet_type::PUBREL | packet_type::SUBSCRIBE | packet_type::UNSUBSCRIBE => REQUEST_FLAGS,
        _ => 0,
    };
    if header.flags == expected {
        Ok(())
    } else {
        malformed("invalid reserved flags")
    }
}

fn read_packet(
    reader: &mut Reader,
    version: Version,
    header: &FixedHeader,
) -> Result<(Version, Packet)> {
    let packet_type = header.packet_type;
    let packet = match packet_type {
        packet_type::CONNECT => {
            let (version, connect) = read_connect(reader)?;
            return Ok((version, Packet::Connect(connect)));
        }
        packet_type::CONNACK => Packet::ConnAck(read_connack(reader, version)?),
        packet_type::PUBLISH => Packet::Publish(read_publish(reader, version, header.flags)?),
        packet_type::PUBACK => Packet::PubAck(read_ack(reader, version, packet_type)?),
        packet_type::PUBREC => Packet::PubRec(read_ack(reader, version, packet_type)?),
        packet_type::PUBREL => Packet::PubRel(read_ack(reader, version, packet_type)?),
        packet_type::PUBCOMP => Packet::PubComp(read_ack(reader, version, packet_type)?),
        packet_type::SUBSCRIBE => Packet::Subscribe(read_subscribe(reader, version)?),
        packet_type::SUBACK => Packet::SubAck(read_codes(reader, version, packet_type)?),
        packet_type::UNSUBSCRIBE => Packet::Unsubscribe(read_unsubscribe(reader, version)?),
        packet_type::UNSUBACK => Packet::UnsubAck(read_codes(reader, version, packet_type)?),
        packet_type::PINGREQ => Packet::PingReq,
        packet_type::PINGRESP => Packet::PingResp,
        packet_type::DISCONNECT => Packet::Disconnect(read_reason(reader, version, packet_type)?),
        packet_type::AUTH if version == Version::V5 => {
            Packet::Auth(read_reason(reader, version, packet_type)?)
        }
        _ => return malformed("an unknown packet type for this version"),
    };
    Ok((version, packet))
}

fn read_connect(reader: &mut Reader) -> Result<(Version, Connect)> {
    if reader.text()? != "MQTT" {
        return malformed("the protocol name is not MQTT");
    }
    let version = match reader.u8()? {
        LEVEL_V311 => Version::V311,
        LEVEL_V5 => Version::V5,
        other => return Err(CodecError::Version(other)),
    };
    let flags = reader.u8()?;
    let keep_alive = reader.u16()?;
    let properties = read_properties(reader, version, packet_type::CONNECT)?;
    let client_id = reader.text()?;
    let will = read_will(reader, version, flags)?;
    let username = if flags & connect_flag::USERNAME != 0 {
        Some(reader.text()?)
    } else {
        None
    };
    let password = if flags & connect_flag::PASSWORD != 0 {
        Some(reader.binary()?)
    } else {
        None
    };
    if version == Version::V311 && password.is_some() && username.is_none() {
        return malformed("a password without a user name");
    }
    let clean = flags & connect_flag::CLEAN != 0;
    Ok((
        version,
        Connect {
            clean,
            keep_alive,
            properties,
            client_id,
            will,
            username,
            password,
        },
    ))
}

fn read_will(reader: &mut Reader, version: Version, flags: u8) -> Result<Option<Will>> {
    let qos = Qos::from_bits(flags >> connect_flag::WILL_QOS_SHIFT & QOS_BITS);
    let Some(qos) = qos.filter(|_| flags & connect_flag::RESERVED == 0) else {
        return malformed("invalid flags in a CONNECT");
    };
    if flags & connect_flag::WILL == 0 {
        if flags & connect_flag::WILL_OPTIONS != 0 {
            return malformed("will flags without a will");
        }
        return Ok(None);
    }
    let properties = read_properties(reader, version, WILL)?;
    let topic = reader.text()?;
    if check_topic(&topic).is_err() {
        return malformed("an invalid will topic");
    }
    let retain = flags & connect_flag::WILL_RETAIN != 0;
    Ok(Some(Will {
        topic,
        payload: reader.binary()?,
        qos,
        retain,
        properties,
    }))
}

fn read_connack(reader: &mut Reader, version: Version) -> Result<ConnAck> {
    let flags = reader.u8()?;
    if flags > 1 {
        return malformed("invalid flags in a CONNACK");
    }
    let code = reader.u8()?;
    let properties = read_properties(reader, version, packet_type::CONNACK)?;
    Ok(ConnAck {
        session_present: flags == 1,
        code,
        properties,
    })
}

fn read_publish(reader: &mut Reader, version: Version, flags: u8) -> Result<Publish> {
    let Some(qos) = Qos::from_bits(flags >> publish_flag::QOS_SHIFT & QOS_BITS) else {
        return malformed("a QoS of 3");
    };
    let dup = flags & publish_flag::DUP != 0;
    if dup && qos == Qos::AtMostOnce {
        return malformed("DUP with QoS 0");
    }
    let topic = reader.text()?;
    let id = if qos == Qos::AtMostOnce {
        0
    } else {
        reader.nonzero_u16()?
    };
    let properties = read_properties(reader, version, packet_type::PUBLISH)?;
    let has_alias = properties
        .iter()
        .any(|property| matches!(property, Property::TopicAlias(_)));
    if check_topic(&topic).is_err() && !(topic.is_empty() && has_alias) {
        return malformed("an invalid topic name");
    }
    let retain = flags & publish_flag::RETAIN != 0;
    Ok(Publish {
        dup,
        qos,
        retain,
        topic,
        id,
        properties,
        payload: reader.remaining(),
    })
}

fn read_ack(reader: &mut Reader, version: Version, packet_type: u8) -> Result<Ack> {
    let id = reader.nonzero_u16()?;
    let Reason { code, properties } = read_reason(reader, version, packet_type)?;
    Ok(Ack {
        id,
        code,
        properties,
    })
}

/// Reads a reason code and properties. If they are omitted, the reason is success without properties.
fn read_reason(reader: &mut Reader, version: Version, packet_type: u8) -> Result<Reason> {
    if version == Version::V311 || !reader.has_remaining() {
        return Ok(Reason::default());
    }
    let code = reader.u8()?;
    let properties = if reader.has_remaining() {
        read_properties(reader, version, packet_type)?
    } else {
        vec![]
    };
    Ok(Reason { code, properties })
}

fn read_subscribe(reader: &mut Reader, version: Version) -> Result<Subscribe> {
    let id = reader.nonzero_u16()?;
    let properties = read_properties(reader, version, packet_type::SUBSCRIBE)?;
    let mut filters = vec![];
    while reader.has_remaining() {
        filters.push(read_subscription(reader, version)?);
    }
    if filters.is_empty() {
        return malformed("a SUBSCRIBE without filters");
    }
    Ok(Subscribe {
        id,
        properties,
        filters,
    })
}

fn read_subscription(reader: &mut Reader, version: Version) -> Result<Subscription> {
    let filter = reader.text()?;
    let options = reader.u8()?;
    let reserved = match version {
        Version::V311 => subscribe_option::RESERVED_V311,
        Version::V5 => subscribe_option::RESERVED_V5,
    };
    let retain_handling = options >> subscribe_option::RETAIN_HANDLING_SHIFT & 3;
    let qos = Qos::from_bits(options & QOS_BITS);
    let Some(qos) = qos.filter(|_| options & reserved == 0 && retain_handling < 3) else {
        return malformed("invalid subscription options");
    };
    let no_local = options & subscribe_option::NO_LOCAL != 0;
    let retain_as_published = options & subscribe_option::RETAIN_AS_PUBLISHED != 0;
    if no_local && filter.starts_with("$share/") {
        return malformed("no local on a shared subscription");
    }
    Ok(Subscription {
        filter,
        qos,
        no_local,
        retain_as_published,
        retain_handling,
    })
}

fn read_unsubscribe(reader: &mut Reader, version: Version) -> Result<Unsubscribe> {
    let id = reader.nonzero_u16()?;
    let properties = read_properties(reader, version, packet_type::UNSUBSCRIBE)?;
    let mut filters = vec![];
    while reader.has_remaining() {
        filters.push(reader.text()?);
    }
    if filters.is_empty() {
        return malformed("an UNSUBSCRIBE without filters");
    }
    Ok(Unsubscribe {
        id,
        properties,
        filters,
    })
}

/// Reads a SUBACK or UNSUBACK. Only the UNSUBACK of version 3.1.1 has no codes.
fn read_codes(reader: &mut Reader, version: Version, packet_type: u8) -> Result<Codes> {
    let id = reader.nonzero_u16()?;
    let properties = read_properties(reader, version, packet_type)?;
    let codes = reader.remaining().to_vec();
    let has_codes = version == Version::V5 || packet_type == packet_type::SUBACK;
    if has_codes == codes.is_empty() {
        return malformed("missing or unexpected reason codes");
    }
    Ok(Codes {
        id,
        properties,
        codes,
    })
}
