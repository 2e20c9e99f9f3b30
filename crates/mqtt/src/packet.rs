//! The control packets of MQTT 3.1.1 and 5, named as in the standards. Fields that version 3.1.1 does not have are empty
//! or `None` in its packets.

use bytes::Bytes;

/// Reason codes that a session interprets.
pub mod reason_code {
    /// The lowest reason code that reports a failure.
    pub const FAILURE: u8 = 0x80;
    /// The packet identifier of an acknowledgement is unknown.
    pub const PACKET_IDENTIFIER_NOT_FOUND: u8 = 0x92;
}

/// The protocol version of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// MQTT 3.1.1, protocol level 4.
    V311,
    /// MQTT 5, protocol level 5.
    V5,
}

/// The quality of service with which a message is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Qos {
    /// QoS 0: not acknowledged.
    #[default]
    AtMostOnce,
    /// QoS 1: acknowledged by PUBACK.
    AtLeastOnce,
    /// QoS 2: acknowledged by PUBREC, released by PUBREL, and completed by PUBCOMP.
    ExactlyOnce,
}

impl Qos {
    /// The two-bit encoding.
    pub fn bits(self) -> u8 {
        self as u8
    }

    /// Decodes two bits; `None` for the reserved value 3.
    pub fn from_bits(bits: u8) -> Option<Qos> {
        [Qos::AtMostOnce, Qos::AtLeastOnce, Qos::ExactlyOnce]
            .get(usize::from(bits))
            .copied()
    }
}

/// A property of version 5. Each may occur once in a packet, except for `User` and, in a PUBLISH, `SubscriptionId`.
/// Times are in seconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Property {
    /// Payload Format Indicator.
    PayloadFormat(u8),
    /// Message Expiry Interval.
    MessageExpiry(u32),
    /// Content Type.
    ContentType(String),
    /// Response Topic.
    ResponseTopic(String),
    /// Correlation Data.
    CorrelationData(Bytes),
    /// Subscription Identifier.
    SubscriptionId(u32),
    /// Session Expiry Interval.
    SessionExpiry(u32),
    /// Assigned Client Identifier.
    AssignedClientId(String),
    /// Server Keep Alive.
    ServerKeepAlive(u16),
    /// Authentication Method.
    AuthMethod(String),
    /// Authentication Data.
    AuthData(Bytes),
    /// Request Problem Information.
    RequestProblemInfo(u8),
    /// Will Delay Interval.
    WillDelay(u32),
    /// Request Response Information.
    RequestResponseInfo(u8),
    /// Response Information.
    ResponseInfo(String),
    /// Server Reference.
    ServerReference(String),
    /// Reason String.
    Reason(String),
    /// Receive Maximum.
    ReceiveMaximum(u16),
    /// Topic Alias Maximum.
    TopicAliasMaximum(u16),
    /// Topic Alias.
    TopicAlias(u16),
    /// Maximum QoS.
    MaximumQos(u8),
    /// Retain Available.
    RetainAvailable(u8),
    /// User Property: a name and a value.
    User(String, String),
    /// Maximum Packet Size.
    MaximumPacketSize(u32),
    /// Wildcard Subscription Available.
    WildcardAvailable(u8),
    /// Subscription Identifiers Available.
    SubscriptionIdsAvailable(u8),
    /// Shared Subscription Available.
    SharedAvailable(u8),
}

/// The properties of a packet, in their order; empty in version 3.1.1.
pub type Properties = Vec<Property>;

/// The message that a server publishes when a connection ends without a DISCONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Will {
    /// The topic.
    pub topic: String,
    /// The payload.
    pub payload: Bytes,
    /// The quality of service.
    pub qos: Qos,
    /// Whether the server retains the message.
    pub retain: bool,
    /// The properties of version 5.
    pub properties: Properties,
}

/// CONNECT.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connect {
    /// Clean session; in version 5 clean start.
    pub clean: bool,
    /// Seconds without a packet after which the server closes the connection; 0 for never.
    pub keep_alive: u16,
    /// The properties of version 5.
    pub properties: Properties,
    /// The client identifier.
    pub client_id: String,
    /// The will message, if there is one.
    pub will: Option<Will>,
    /// The user name, if one is given.
    pub username: Option<String>,
    /// The password, if one is given.
    pub password: Option<Bytes>,
}

/// CONNACK.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnAck {
    /// Whether the server has kept the client's session.
    pub session_present: bool,
    /// The reason code; 0 if the connection is accepted.
    pub code: u8,
    /// The properties of version 5.
    pub properties: Properties,
}

/// PUBLISH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publish {
    /// Whether this may be a redelivery.
    pub dup: bool,
    /// The quality of service.
    pub qos: Qos,
    /// Whether the server retains the message.
    pub retain: bool,
    /// The topic; empty if a topic alias of version 5 replaces it.
    pub topic: String,
    /// The packet identifier; 0 if and only if the QoS is 0.
    pub id: u16,
    /// The properties of version 5.
    pub properties: Properties,
    /// The payload.
    pub payload: Bytes,
}

/// PUBACK, PUBREC, PUBREL or PUBCOMP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ack {
    /// The packet identifier.
    pub id: u16,
    /// The reason code.
    pub code: u8,
    /// The properties of version 5.
    pub properties: Properties,
}

/// A topic filter of a SUBSCRIBE with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscription {
    /// The topic filter.
    pub filter: String,
    /// The quality of service.
    pub qos: Qos,
    /// Whether the client's own messages are not delivered to it.
    pub no_local: bool,
    /// Whether the retain flag is kept as published.
    pub retain_as_published: bool,
    /// When retained messages are sent: 0 on each subscribe, 1 only for a new subscription, 2 never.
    pub retain_handling: u8,
}

/// SUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscribe {
    /// The packet identifier.
    pub id: u16,
    /// The properties of version 5.
    pub properties: Properties,
    /// The topic filters.
    pub filters: Vec<Subscription>,
}

/// UNSUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unsubscribe {
    /// The packet identifier.
    pub id: u16,
    /// The properties of version 5.
    pub properties: Properties,
    /// The topic filters.
    pub filters: Vec<String>,
}

/// SUBACK or UNSUBACK: a reason code for each filter; none in an UNSUBACK of version 3.1.1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Codes {
    /// The packet identifier.
    pub id: u16,
    /// The properties of version 5.
    pub properties: Properties,
    /// A reason code for each filter.
    pub codes: Vec<u8>,
}

/// DISCONNECT or AUTH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reason {
    /// The reason code.
    pub code: u8,
    /// The properties of version 5.
    pub properties: Properties,
}

/// A control packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    /// CONNECT.
    Connect(Connect),
    /// CONNACK.
    ConnAck(ConnAck),
    /// PUBLISH.
    Publish(Publish),
    /// PUBACK.
    PubAck(Ack),
    /// PUBREC.
    PubRec(Ack),
    /// PUBREL.
    PubRel(Ack),
    /// PUBCOMP.
    PubComp(Ack),
    /// SUBSCRIBE.
    Subscribe(Subscribe),
    /// SUBACK.
    SubAck(Codes),
    /// UNSUBSCRIBE.
    Unsubscribe(Unsubscribe),
    /// UNSUBACK.
    UnsubAck(Codes),
    /// PINGREQ.
    PingReq,
    /// PINGRESP.
    PingResp,
    /// DISCONNECT.
    Disconnect(Reason),
    /// AUTH.
    Auth(Reason),
}
