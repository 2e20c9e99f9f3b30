//! Properties of version 5: their identifiers, the packets that may carry them, and their encoding.

use super::packet_type::{
    AUTH, CONNACK, CONNECT, DISCONNECT, PUBACK, PUBCOMP, PUBLISH, PUBREC, PUBREL, SUBACK,
    SUBSCRIBE, UNSUBACK,
};
use super::reader::Reader;
use super::writer::{put_binary, put_varint};
use super::{Result, malformed};
use crate::filter::check_topic;
use crate::packet::{Properties, Property, Version};

/// The carrier number of a CONNECT's will. Other carriers of properties are identified by their packet type, of which
/// the standard reserves 0.
pub(super) const WILL: u8 = 0;

/// Returns a bit set of the packet types that may carry a property.
fn carriers(property: &Property) -> u16 {
    let any_of = |types: &[u8]| {
        types
            .iter()
            .fold(0, |bits, packet_type| bits | 1 << packet_type)
    };
    match property {
        Property::PayloadFormat(_)
        | Property::MessageExpiry(_)
        | Property::ContentType(_)
        | Property::ResponseTopic(_)
        | Property::CorrelationData(_) => any_of(&[WILL, PUBLISH]),
        Property::SubscriptionId(_) => any_of(&[PUBLISH, SUBSCRIBE]),
        Property::SessionExpiry(_) => any_of(&[CONNECT, CONNACK, DISCONNECT]),
        Property::AuthMethod(_) | Property::AuthData(_) => any_of(&[CONNECT, CONNACK, AUTH]),
        Property::RequestProblemInfo(_) | Property::RequestResponseInfo(_) => any_of(&[CONNECT]),
        Property::WillDelay(_) => any_of(&[WILL]),
        Property::ServerReference(_) => any_of(&[CONNACK, DISCONNECT]),
        Property::Reason(_) => any_of(&[
            CONNACK, PUBACK, PUBREC, PUBREL, PUBCOMP, SUBACK, UNSUBACK, DISCONNECT, AUTH,
        ]),
        Property::ReceiveMaximum(_)
        | Property::TopicAliasMaximum(_)
        | Property::MaximumPacketSize(_) => any_of(&[CONNECT, CONNACK]),
        Property::TopicAlias(_) => any_of(&[PUBLISH]),
        Property::AssignedClientId(_)
        | Property::ServerKeepAlive(_)
        | Property::ResponseInfo(_)
        | Property::MaximumQos(_)
        | Property::RetainAvailable(_)
        | Property::WildcardAvailable(_)
        | Property::SubscriptionIdsAvailable(_)
        | Property::SharedAvailable(_) => any_of(&[CONNACK]),
        Property::User(..) => u16::MAX,
    }
}

/// Returns the identifier of a property.
fn id(property: &Property) -> u8 {
    match property {
        Property::PayloadFormat(_) => 0x01,
        Property::MessageExpiry(_) => 0x02,
        Property::ContentType(_) => 0x03,
        Property::ResponseTopic(_) => 0x08,
        Property::CorrelationData(_) => 0x09,
        Property::SubscriptionId(_) => 0x0b,
        Property::SessionExpiry(_) => 0x11,
        Property::AssignedClientId(_) => 0x12,
        Property::ServerKeepAlive(_) => 0x13,
        Property::AuthMethod(_) => 0x15,
        Property::AuthData(_) => 0x16,
        Property::RequestProblemInfo(_) => 0x17,
        Property::WillDelay(_) => 0x18,
        Property::RequestResponseInfo(_) => 0x19,
        Property::ResponseInfo(_) => 0x1a,
        Property::ServerReference(_) => 0x1c,
        Property::Reason(_) => 0x1f,
        Property::ReceiveMaximum(_) => 0x21,
        Property::TopicAliasMaximum(_) => 0x22,
        Property::TopicAlias(_) => 0x23,
        Property::MaximumQos(_) => 0x24,
        Property::RetainAvailable(_) => 0x25,
        Property::User(..) => 0x26,
        Property::MaximumPacketSize(_) => 0x27,
        Property::WildcardAvailable(_) => 0x28,
        Property::SubscriptionIdsAvailable(_) => 0x29,
        Property::SharedAvailable(_) => 0x2a,
    }
}

/// Whether a property may occur more than once in this carrier.
fn may_repeat(property: &Property, carrier: u8) -> bool {
    match property {
        Property::User(..) => true,
        Property::SubscriptionId(_) => carrier == PUBLISH,
        _ => false,
    }
}

/// Reads the properties of a packet or a will. Version 3.1.1 has none.
pub(super) fn read_properties(
    reader: &mut Reader,
    version: Version,
    carrier: u8,
) -> Result<Properties> {
    if version == Version::V311 {
        return Ok(vec![]);
    }
    let length = reader.varint()? as usize;
    let mut reader = Reader::new(reader.take(length)?);
    let mut properties: Properties = vec![];
    while reader.has_remaining() {
        let property = read_property(&mut reader)?;
        if carriers(&property) & 1 << carrier == 0 {
            return malformed("a property that is not allowed in this packet");
        }
        let is_repeated = properties.iter().any(|other| id(other) == id(&property));
        if is_repeated && !may_repeat(&property, carrier) {
            return malformed("a duplicate property");
        }
        properties.push(property);
    }
    Ok(properties)
}

fn read_property(reader: &mut Reader) -> Result<Property> {
    Ok(match reader.u8()? {
        0x01 => Property::PayloadFormat(reader.flag()?),
        0x02 => Property::MessageExpiry(reader.u32()?),
        0x03 => Property::ContentType(reader.text()?),
        0x08 => Property::ResponseTopic(read_response_topic(reader)?),
        0x09 => Property::CorrelationData(reader.binary()?),
        0x0b => match reader.varint()? {
            0 => return malformed("a subscription identifier of 0"),
            value => Property::SubscriptionId(value),
        },
        0x11 => Property::SessionExpiry(reader.u32()?),
        0x12 => Property::AssignedClientId(reader.text()?),
        0x13 => Property::ServerKeepAlive(reader.u16()?),
        0x15 => Property::AuthMethod(reader.text()?),
        0x16 => Property::AuthData(reader.binary()?),
        0x17 => Property::RequestProblemInfo(reader.flag()?),
        0x18 => Property::WillDelay(reader.u32()?),
        0x19 => Property::RequestResponseInfo(reader.flag()?),
        0x1a => Property::ResponseInfo(reader.text()?),
        0x1c => Property::ServerReference(reader.text()?),
        0x1f => Property::Reason(reader.text()?),
        0x21 => Property::ReceiveMaximum(reader.nonzero_u16()?),
        0x22 => Property::TopicAliasMaximum(reader.u16()?),
        0x23 => Property::TopicAlias(reader.nonzero_u16()?),
        0x24 => Property::MaximumQos(reader.flag()?),
        0x25 => Property::RetainAvailable(reader.flag()?),
        0x26 => Property::User(reader.text()?, reader.text()?),
        0x27 => match reader.u32()? {
            0 => return malformed("a maximum packet size of 0"),
            value => Property::MaximumPacketSize(value),
        },
        0x28 => Property::WildcardAvailable(reader.flag()?),
        0x29 => Property::SubscriptionIdsAvailable(reader.flag()?),
        0x2a => Property::SharedAvailable(reader.flag()?),
        _ => return malformed("an unknown property"),
    })
}

fn read_response_topic(reader: &mut Reader) -> Result<String> {
    let topic = reader.text()?;
    if check_topic(&topic).is_err() {
        return malformed("an invalid response topic");
    }
    Ok(topic)
}

/// Appends length-prefixed properties. Version 3.1.1 has none.
pub(super) fn put_properties(
    out: &mut Vec<u8>,
    version: Version,
    properties: &Properties,
) -> Result<()> {
    if version == Version::V311 {
        return Ok(());
    }
    let mut bytes = vec![];
    properties
        .iter()
        .try_for_each(|property| put_property(&mut bytes, property))?;
    put_varint(out, bytes.len());
    out.extend(bytes);
    Ok(())
}

fn put_property(out: &mut Vec<u8>, property: &Property) -> Result<()> {
    out.push(id(property));
    match property {
        Property::PayloadFormat(byte)
        | Property::RequestProblemInfo(byte)
        | Property::RequestResponseInfo(byte)
        | Property::MaximumQos(byte)
        | Property::RetainAvailable(byte)
        | Property::WildcardAvailable(byte)
        | Property::SubscriptionIdsAvailable(byte)
        | Property::SharedAvailable(byte) => out.push(*byte),
        Property::ServerKeepAlive(value)
        | Property::ReceiveMaximum(value)
        | Property::TopicAliasMaximum(value)
        | Property::TopicAlias(value) => out.extend(value.to_be_bytes()),
        Property::MessageExpiry(value)
        | Property::SessionExpiry(value)
        | Property::WillDelay(value)
        | Property::MaximumPacketSize(value) => out.extend(value.to_be_bytes()),
        Property::SubscriptionId(value) => put_varint(out, *value as usize),
        Property::ContentType(text)
        | Property::ResponseTopic(text)
        | Property::AssignedClientId(text)
        | Property::AuthMethod(text)
        | Property::ResponseInfo(text)
        | Property::ServerReference(text)
        | Property::Reason(text) => put_binary(out, text.as_bytes())?,
        Property::CorrelationData(data) | Property::AuthData(data) => put_binary(out, data)?,
        Property::User(name, value) => {
            put_binary(out, name.as_bytes())?;
            put_binary(out, value.as_bytes())?;
        }
    }
    Ok(())
}
