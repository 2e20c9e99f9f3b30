//! Encoding of control packets.

use super::property::put_properties;
use super::writer::{put_binary, put_varint};
use super::{
    CodecError, LEVEL_V5, LEVEL_V311, MAX_REMAINING_LENGTH, REQUEST_FLAGS, Result, connect_flag,
    malformed, packet_type, publish_flag, subscribe_option,
};
use crate::packet::*;
use bytes::Bytes;

/// The maximum length of a fixed header, in bytes.
const MAX_HEADER_LENGTH: usize = 5;

/// Encodes a packet. Values that can't be represented, such as a string longer than 65535 bytes, are errors.
pub fn encode(packet: &Packet, version: Version) -> Result<Bytes> {
    let mut body = vec![];
    let (packet_type, flags) = put_body(&mut body, packet, version)?;
    if body.len() > MAX_REMAINING_LENGTH {
        return Err(CodecError::TooLarge {
            length: body.len(),
            max_length: MAX_REMAINING_LENGTH,
        });
    }
    let mut bytes = Vec::with_capacity(body.len() + MAX_HEADER_LENGTH);
    bytes.push(packet_type << 4 | flags);
    put_varint(&mut bytes, body.len());
    bytes.extend(body);
    Ok(bytes.into())
}

/// Appends the part of a packet after the fixed header; returns the packet type and the flags.
fn put_body(out: &mut Vec<u8>, packet: &Packet, version: Version) -> Result<(u8, u8)> {
    Ok(match packet {
        Packet::Connect(connect) => {
            put_connect(out, version, connect)?;
            (packet_type::CONNECT, 0)
        }
        Packet::ConnAck(ack) => {
            out.extend([u8::from(ack.session_present), ack.code]);
            put_properties(out, version, &ack.properties)?;
            (packet_type::CONNACK, 0)
        }
        Packet::Publish(publish) => (packet_type::PUBLISH, put_publish(out, version, publish)?),
        Packet::PubAck(ack) => {
            put_ack(out, version, ack)?;
            (packet_type::PUBACK, 0)
        }
        Packet::PubRec(ack) => {
            put_ack(out, version, ack)?;
            (packet_type::PUBREC, 0)
        }
        Packet::PubRel(ack) => {
            put_ack(out, version, ack)?;
            (packet_type::PUBREL, REQUEST_FLAGS)
        }
        Packet::PubComp(ack) => {
            put_ack(out, version, ack)?;
            (packet_type::PUBCOMP, 0)
        }
        Packet::Subscribe(subscribe) => {
            put_subscribe(out, version, subscribe)?;
            (packet_type::SUBSCRIBE, REQUEST_FLAGS)
        }
        Packet::SubAck(codes) => {
            put_codes(out, version, codes)?;
            out.extend(&codes.codes);
            (packet_type::SUBACK, 0)
        }
        Packet::Unsubscribe(unsubscribe) => {
            put_unsubscribe(out, version, unsubscribe)?;
            (packet_type::UNSUBSCRIBE, REQUEST_FLAGS)
        }
        Packet::UnsubAck(codes) => {
            put_codes(out, version, codes)?;
            if version == Version::V5 {
                out.extend(&codes.codes);
            }
            (packet_type::UNSUBACK, 0)
        }
        Packet::PingReq => (packet_type::PINGREQ, 0),
        Packet::PingResp => (packet_type::PINGRESP, 0),
        Packet::Disconnect(reason) => {
            put_reason(out, version, reason.code, &reason.properties)?;
            (packet_type::DISCONNECT, 0)
        }
        Packet::Auth(_) if version == Version::V311 => {
            return malformed("version 3.1.1 has no AUTH");
        }
        Packet::Auth(reason) => {
            put_reason(out, version, reason.code, &reason.properties)?;
            (packet_type::AUTH, 0)
        }
    })
}

fn put_connect(out: &mut Vec<u8>, version: Version, connect: &Connect) -> Result<()> {
    put_binary(out, b"MQTT")?;
    out.push(if version == Version::V5 {
        LEVEL_V5
    } else {
        LEVEL_V311
    });
    out.push(connect_flags(connect));
    out.extend(connect.keep_alive.to_be_bytes());
    put_properties(out, version, &connect.properties)?;
    put_binary(out, connect.client_id.as_bytes())?;
    if let Some(will) = &connect.will {
        put_properties(out, version, &will.properties)?;
        put_binary(out, will.topic.as_bytes())?;
        put_binary(out, &will.payload)?;
    }
    if let Some(username) = &connect.username {
        put_binary(out, username.as_bytes())?;
    }
    if let Some(password) = &connect.password {
        put_binary(out, password)?;
    }
    Ok(())
}

fn connect_flags(connect: &Connect) -> u8 {
    let flag = |is_set: bool, bit: u8| if is_set { bit } else { 0 };
    let will = connect.will.as_ref().map_or(0, |will| {
        connect_flag::WILL
            | will.qos.bits() << connect_flag::WILL_QOS_SHIFT
            | flag(will.retain, connect_flag::WILL_RETAIN)
    });
    will | flag(connect.clean, connect_flag::CLEAN)
        | flag(connect.username.is_some(), connect_flag::USERNAME)
        | flag(connect.password.is_some(), connect_flag::PASSWORD)
}

/// Appends a PUBLISH; returns its flags.
fn put_publish(out: &mut Vec<u8>, version: Version, publish: &Publish) -> Result<u8> {
    put_binary(out, publish.topic.as_bytes())?;
    if publish.qos != Qos::AtMostOnce {
        out.extend(publish.id.to_be_bytes());
    }
    put_properties(out, version, &publish.properties)?;
    out.extend(&publish.payload);
    let dup = if publish.dup { publish_flag::DUP } else { 0 };
    let retain = if publish.retain {
        publish_flag::RETAIN
    } else {
        0
    };
    Ok(dup | publish.qos.bits() << publish_flag::QOS_SHIFT | retain)
}

/// Appends a PUBACK, PUBREC, PUBREL or PUBCOMP.
fn put_ack(out: &mut Vec<u8>, version: Version, ack: &Ack) -> Result<()> {
    out.extend(ack.id.to_be_bytes());
    put_reason(out, version, ack.code, &ack.properties)
}

fn put_subscribe(out: &mut Vec<u8>, version: Version, subscribe: &Subscribe) -> Result<()> {
    out.extend(subscribe.id.to_be_bytes());
    put_properties(out, version, &subscribe.properties)?;
    for subscription in &subscribe.filters {
        put_binary(out, subscription.filter.as_bytes())?;
        out.push(subscription_options(subscription, version));
    }
    Ok(())
}

fn subscription_options(subscription: &Subscription, version: Version) -> u8 {
    let mut options = subscription.qos.bits();
    if version == Version::V5 {
        if subscription.no_local {
            options |= subscribe_option::NO_LOCAL;
        }
        if subscription.retain_as_published {
            options |= subscribe_option::RETAIN_AS_PUBLISHED;
        }
        options |= subscription.retain_handling << subscribe_option::RETAIN_HANDLING_SHIFT;
    }
    options
}

fn put_unsubscribe(out: &mut Vec<u8>, version: Version, unsubscribe: &Unsubscribe) -> Result<()> {
    out.extend(unsubscribe.id.to_be_bytes());
    put_properties(out, version, &unsubscribe.properties)?;
    unsubscribe
        .filters
        .iter()
        .try_for_each(|filter| put_binary(out, filter.as_bytes()))
}

/// Appends a SUBACK or UNSUBACK up to its codes.
fn put_codes(out: &mut Vec<u8>, version: Version, codes: &Codes) -> Result<()> {
    out.extend(codes.id.to_be_bytes());
    put_properties(out, version, &codes.properties)
}

/// Appends a reason code and properties. Success without properties is omitted.
fn put_reason(
    out: &mut Vec<u8>,
    version: Version,
    code: u8,
    properties: &Properties,
) -> Result<()> {
    if version == Version::V5 && (code != 0 || !properties.is_empty()) {
        out.push(code);
        put_properties(out, version, properties)?;
    }
    Ok(())
}
