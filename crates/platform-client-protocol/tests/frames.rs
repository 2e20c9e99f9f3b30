//! The frame decoder and encoder.

use orchidtally_platform_client_protocol::*;
use proptest::prelude::*;

/// What a decoder reads when the bytes come in these pieces: kind, stream and payload of each frame, then the
/// fault that ended it.
type Read = (Vec<(u8, u32, Option<Vec<u8>>)>, Option<ProtocolError>);

fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Read {
    let mut decoder = Decoder::default();
    let mut frames = vec![];
    for piece in pieces {
        decoder.push(piece);
        loop {
            match decoder.next_frame() {
                Ok(Some(f)) => frames.push((f.kind, f.stream, f.payload.map(<[u8]>::to_vec))),
                Ok(None) => break,
                Err(fault) => return (frames, Some(fault)),
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
fn a_frame_is_read_as_it_was_written() {
    for body in [&b""[..], b"\x00\xff", &[7; MAX_BODY_LENGTH]] {
        let (frames, fault) = read([invoke(5, body).as_slice()]);
        assert_eq!((frames.len(), fault), (1, None));
        let (kind, stream, payload) = &frames[0];
        assert_eq!((*kind, *stream), (INVOKE, 5));
        let payload = payload.as_deref().expect("it is short enough");
        let (fields, rest) = parse_fields(payload).expect("its fields are sound");
        assert_eq!(
            fields,
            [("service", "setpoint"), ("ref", "9b1f03aa5c7e2d41")]
        );
        assert_eq!(rest, body);
    }
}

#[test]
fn the_bytes_are_those_of_the_protocol() {
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
fn each_cut_gives_the_same_frames() {
    let bytes = [invoke(1, b"one"), invoke(2, b""), invoke(9, &[1; 300])].concat();
    let whole = read([bytes.as_slice()]);
    assert_eq!(whole.0.len(), 3);
    for cut in 0..=bytes.len() {
        assert_eq!(read([&bytes[..cut], &bytes[cut..]]), whole, "cut at {cut}");
    }
    assert_eq!(read(bytes.chunks(1)), whole);
}

#[test]
fn lengths_out_of_bounds_end_the_reading() {
    for length in [
        0u32,
        1,
        4,
        MAX_FRAME_LENGTH as u32 + 1,
        60_000_000,
        u32::MAX,
    ] {
        let (frames, fault) = read([&length.to_be_bytes()[..]]);
        assert!(frames.is_empty() && fault.is_some(), "length {length}");
    }
}

#[test]
fn a_frame_too_long_to_keep_is_told_at_once_and_read_over() {
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
fn fields_that_are_not_whole_or_not_text_are_told() {
    let sound = &invoke(1, b"")[9..];
    for cut in 0..sound.len() {
        assert!(parse_fields(&sound[..cut]).is_err(), "cut at {cut}");
    }
    assert!(parse_fields(b"\x01\x01\xff\x00\x00").is_err());
    assert!(parse_fields(b"\x02\x01a\x00\x00\x01a\x00\x00").is_err());
}

proptest! {
    #[test]
    fn no_bytes_in_no_pieces_upset_it(bytes in prop::collection::vec(any::<u8>(), 0..600), size in 1usize..50) {
        let whole = read([bytes.as_slice()]);
        prop_assert_eq!(read(bytes.chunks(size)), whole);
        let _ = parse_fields(&bytes);
    }
}
