//! Tests of the frame decoder and encoder.

use orchidtally_platform_client_protocol::*;
use proptest::prelude::*;

/// The type, stream and payload of each decoded frame, and the error that ended decoding.
type Decoded = (Vec<(u8, u32, Option<Vec<u8>>)>, Option<ProtocolError>);

/// Decodes bytes that arrive in chunks.
fn decode<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Decoded {
    let mut decoder = Decoder::default();
    let mut frames = vec![];
    for chunk in chunks {
        decoder.push(chunk);
        loop {
            match decoder.next_frame() {
                Ok(Some(f)) => frames.push((f.kind, f.stream, f.payload.map(<[u8]>::to_vec))),
                Ok(None) => break,
                Err(error) => return (frames, Some(error)),
            }
        }
    }
    (frames, None)
}

fn invoke(stream: u32, body: &[u8]) -> Vec<u8> {
    let mut out = vec![];
    write_frame(
        &mut out,
        INVOKE,
        stream,
        None,
        Some(&[("service", "setpoint"), ("ref", "9b1f03aa5c7e2d41")]),
        body,
    );
    out
}

#[test]
fn an_encoded_frame_decodes_to_its_fields_and_body() {
    for body in [&b""[..], b"\x00\xff", &[7; MAX_BODY_LENGTH]] {
        let (frames, error) = decode([invoke(5, body).as_slice()]);
        assert_eq!((frames.len(), error), (1, None));
        let (kind, stream, payload) = &frames[0];
        assert_eq!((*kind, *stream), (INVOKE, 5));
        let payload = payload.as_deref().expect("a buffered payload");
        let (fields, rest) = parse_fields(payload).expect("valid fields");
        assert_eq!(
            fields,
            [("service", "setpoint"), ("ref", "9b1f03aa5c7e2d41")]
        );
        assert_eq!(rest, body);
    }
}

#[test]
fn frames_are_encoded_as_the_protocol_specifies() {
    let mut out = vec![];
    write_frame(
        &mut out,
        RESPONSE,
        0x0102_0304,
        Some(THROTTLED),
        Some(&[("cooldown", "250")]),
        b"",
    );
    assert_eq!(
        out,
        b"\x00\x00\x00\x15\x08\x01\x02\x03\x04\x02\x01\x08cooldown\x00\x03250"[..].to_vec()
    );
    out.clear();
    write_frame(&mut out, GO_AWAY, 0, None, None, b"");
    assert_eq!(out, b"\x00\x00\x00\x05\x03\x00\x00\x00\x00");
}

#[test]
fn decoding_does_not_depend_on_chunk_boundaries() {
    let bytes = [invoke(1, b"one"), invoke(2, b""), invoke(9, &[1; 300])].concat();
    let expected = decode([bytes.as_slice()]);
    assert_eq!(expected.0.len(), 3);
    for split in 0..=bytes.len() {
        assert_eq!(
            decode([&bytes[..split], &bytes[split..]]),
            expected,
            "split at {split}"
        );
    }
    assert_eq!(decode(bytes.chunks(1)), expected);
}

#[test]
fn lengths_out_of_range_are_rejected() {
    for length in [
        0u32,
        1,
        4,
        MAX_FRAME_LENGTH as u32 + 1,
        60_000_000,
        u32::MAX,
    ] {
        let (frames, error) = decode([&length.to_be_bytes()[..]]);
        assert!(frames.is_empty() && error.is_some(), "length {length}");
    }
}

#[test]
fn the_payload_of_a_frame_too_long_to_buffer_is_skipped() {
    let mut bytes = ((MAX_FRAME_LENGTH) as u32).to_be_bytes().to_vec();
    bytes.extend([INVOKE, 0, 0, 0, 3]);
    let mut decoder = Decoder::default();
    decoder.push(&bytes);
    assert_eq!(
        decoder.next_frame(),
        Ok(Some(Frame {
            kind: INVOKE,
            stream: 3,
            payload: None
        }))
    );
    for _ in 0..MAX_FRAME_LENGTH - 5 {
        assert!(decoder.has_partial_frame());
        decoder.push(&[0xee]);
        assert_eq!(decoder.next_frame(), Ok(None));
    }
    assert!(!decoder.has_partial_frame());
    decoder.push(&invoke(4, b"next"));
    assert_eq!(
        decoder.next_frame().map(|f| f.map(|f| f.stream)),
        Ok(Some(4))
    );
}

#[test]
fn truncated_non_utf8_and_duplicate_fields_are_rejected() {
    let valid = &invoke(1, b"")[9..];
    for length in 0..valid.len() {
        assert!(
            parse_fields(&valid[..length]).is_err(),
            "truncated to {length}"
        );
    }
    assert!(parse_fields(b"\x01\x01\xff\x00\x00").is_err());
    assert!(parse_fields(b"\x02\x01a\x00\x00\x01a\x00\x00").is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_alike_in_chunks_of_any_size(bytes in prop::collection::vec(any::<u8>(), 0..600), size in 1usize..50) {
        let expected = decode([bytes.as_slice()]);
        prop_assert_eq!(decode(bytes.chunks(size)), expected);
        let _ = parse_fields(&bytes);
    }
}
