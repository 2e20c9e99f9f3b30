//! Byte-exact examples of the platform's frames. Clients and front ends of other builds exchange these bytes, so the
//! examples must not be changed.

use orchidtally_platform_client_protocol::{
    CANCEL, Decoder, ERRORED, GO_AWAY, INVOKE, NOT_READY_CODE, READINESS, READINESS_QUERY,
    READY_CODE, RESPONSE, SUCCEEDED, THROTTLED, parse_fields, write_frame,
};

/// An encoded frame and its parts.
struct Example {
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: Option<&'static [(&'static str, &'static str)]>,
    body: &'static [u8],
    bytes: &'static [u8],
}

const EXAMPLES: [Example; 9] = [
    Example {
        kind: INVOKE,
        stream: 1,
        code: None,
        fields: Some(&[("service", "setpoint"), ("ref", "9b1f"), ("empty", "")]),
        body: b"body\x00\xff",
        bytes: b"\x00\x00\x00\x30\x07\x00\x00\x00\x01\x03\x07service\x00\x08setpoint\x03ref\x00\x049b1f\x05empty\x00\x00body\x00\xff",
    },
    Example {
        kind: RESPONSE,
        stream: 0x0102_0304,
        code: Some(SUCCEEDED),
        fields: Some(&[]),
        body: b"done",
        bytes: b"\x00\x00\x00\x0b\x08\x01\x02\x03\x04\x01\x00done",
    },
    Example {
        kind: RESPONSE,
        stream: 2,
        code: Some(THROTTLED),
        fields: Some(&[("cooldown", "250")]),
        body: b"",
        bytes: b"\x00\x00\x00\x15\x08\x00\x00\x00\x02\x02\x01\x08cooldown\x00\x03250",
    },
    Example {
        kind: RESPONSE,
        stream: 3,
        code: Some(ERRORED),
        fields: Some(&[]),
        body: b"",
        bytes: b"\x00\x00\x00\x07\x08\x00\x00\x00\x03\x03\x00",
    },
    Example {
        kind: CANCEL,
        stream: u32::MAX,
        code: None,
        fields: None,
        body: b"",
        bytes: b"\x00\x00\x00\x05\x09\xff\xff\xff\xff",
    },
    Example {
        kind: READINESS_QUERY,
        stream: 0,
        code: None,
        fields: None,
        body: b"",
        bytes: b"\x00\x00\x00\x05\x01\x00\x00\x00\x00",
    },
    Example {
        kind: READINESS,
        stream: 0,
        code: Some(READY_CODE),
        fields: Some(&[]),
        body: b"",
        bytes: b"\x00\x00\x00\x07\x02\x00\x00\x00\x00\x01\x00",
    },
    Example {
        kind: READINESS,
        stream: 0,
        code: Some(NOT_READY_CODE),
        fields: Some(&[]),
        body: b"",
        bytes: b"\x00\x00\x00\x07\x02\x00\x00\x00\x00\x02\x00",
    },
    Example {
        kind: GO_AWAY,
        stream: 0,
        code: None,
        fields: None,
        body: b"",
        bytes: b"\x00\x00\x00\x05\x03\x00\x00\x00\x00",
    },
];

#[test]
fn each_example_is_encoded_to_its_bytes() {
    for example in &EXAMPLES {
        let mut encoded = vec![];
        write_frame(
            &mut encoded,
            example.kind,
            example.stream,
            example.code,
            example.fields,
            example.body,
        );
        assert_eq!(encoded, example.bytes, "frame type {}", example.kind);
    }
}

#[test]
fn each_example_is_decoded_from_its_bytes() {
    for example in &EXAMPLES {
        let mut decoder = Decoder::default();
        decoder.push(example.bytes);
        let frame = decoder
            .next_frame()
            .expect("a valid frame")
            .expect("a complete frame");
        assert_eq!((frame.kind, frame.stream), (example.kind, example.stream));
        let mut payload = frame.payload.expect("a buffered payload");
        if let Some(code) = example.code {
            assert_eq!(payload[0], code);
            payload = &payload[1..];
        }
        if let Some(expected) = example.fields {
            let (fields, rest) = parse_fields(payload).expect("valid fields");
            assert_eq!(fields, expected);
            payload = rest;
        }
        assert_eq!(payload, example.body);
    }
}
