//! The control packets of MQTT 3.1.1 and 5, named as in the standards. Fields that version 3.1.1 lacks are empty or
//! absent in its packets.

use bytes::Bytes;

/// Reason codes that a session looks at.
pub mod reason_code {
    /// The first of the codes that report a failure.
    pub const FAILURE: u8 = 0x80;
    /// The packet identifier of an acknowledgement is not known.
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
    /// The two bits that stand for it in packets.
    pub fn bits(self) -> u8 {
        self as u8
    }

    /// The QoS that two bits stand for; `None` for the reserved value 3.
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
    PayloadFormat(u8),
    MessageExpiry(u32),
    ContentType(String),
    ResponseTopic(String),
    CorrelationData(Bytes),
    SubscriptionId(u32),
    SessionExpiry(u32),
    AssignedClientId(String),
    ServerKeepAlive(u16),
    AuthMethod(String),
    AuthData(Bytes),
    RequestProblemInfo(u8),
    WillDelay(u32),
    RequestResponseInfo(u8),
    ResponseInfo(String),
    ServerReference(String),
    Reason(String),
    ReceiveMaximum(u16),
    TopicAliasMaximum(u16),
    TopicAlias(u16),
    MaximumQos(u8),
    RetainAvailable(u8),
    User(String, String),
    MaximumPacketSize(u32),
    WildcardAvailable(u8),
    SubscriptionIdsAvailable(u8),
    SharedAvailable(u8),
}

/// The properties of a packet, in their order; empty in version 3.1.1.
pub type Properties = Vec<Property>;

/// The message that a server publishes when a connection ends without a DISCONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Will {
    pub topic: String,
    pub payload: Bytes,
    pub qos: Qos,
    pub retain: bool,
    pub properties: Properties,
}

/// CONNECT.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connect {
    /// Clean session; in version 5 clean start.
    pub clean: bool,
    /// Seconds without a packet after which the server closes the connection; 0 for never.
    pub keep_alive: u16,
    pub properties: Properties,
    pub client_id: String,
    pub will: Option<Will>,
    pub username: Option<String>,
    pub password: Option<Bytes>,
}

/// CONNACK.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnAck {
    /// Whether the server has kept the client's session.
    pub session_present: bool,
    /// 0 where the connection is accepted.
    pub code: u8,
    pub properties: Properties,
}

/// PUBLISH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publish {
    /// Whether this may be another delivery of a message that was sent before.
    pub dup: bool,
    pub qos: Qos,
    pub retain: bool,
    /// Empty where a topic alias of version 5 stands for it.
    pub topic: String,
    /// The packet identifier; 0 with QoS 0, and never otherwise.
    pub id: u16,
    pub properties: Properties,
    pub payload: Bytes,
}

/// PUBACK, PUBREC, PUBREL or PUBCOMP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ack {
    pub id: u16,
    pub code: u8,
    pub properties: Properties,
}

/// A topic filter of a SUBSCRIBE with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscription {
    pub filter: String,
    pub qos: Qos,
    pub no_local: bool,
    pub retain_as_published: bool,
    /// When retained messages are sent: 0 at each subscription, 1 at a new one, 2 never.
    pub retain_handling: u8,
}

/// SUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscribe {
    pub id: u16,
    pub properties: Properties,
    pub filters: Vec<Subscription>,
}

/// UNSUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unsubscribe {
    pub id: u16,
    pub properties: Properties,
    pub filters: Vec<String>,
}

/// SUBACK or UNSUBACK: a reason code for each filter; none in an UNSUBACK of version 3.1.1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Codes {
    pub id: u16,
    pub properties: Properties,
    pub codes: Vec<u8>,
}

/// DISCONNECT or AUTH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reason {
    pub code: u8,
    pub properties: Properties,
}

/// A control packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Packet {
    Connect(Connect),
    ConnAck(ConnAck),
    Publish(Publish),
    PubAck(Ack),
    PubRec(Ack),
    PubRel(Ack),
    PubComp(Ack),
    Subscribe(Subscribe),
    SubAck(Codes),
    Unsubscribe(Unsubscribe),
    UnsubAck(Codes),
    PingReq,
    PingResp,
    Disconnect(Reason),
    Auth(Reason),
}
