//! Tests of the codec and of topic filters: round trips in chunks of any size, bytes of the standards, malformed input,
//! and a reference implementation of matching.

mod strategies;

use bytes::BytesMut;
use orchidtally_mqtt::filter::{FilterError, check_topic};
use orchidtally_mqtt::packet::*;
use orchidtally_mqtt::{CodecError, Filter, decode, encode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strategies::packet;

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(400, 5))]

    #[test]
    fn version_5_packets_round_trip_in_chunks_of_any_size(packets in proptest::collection::vec(packet(), 1..5), chunk_size in 1usize..40) {
        let bytes: Vec<u8> = packets.iter().flat_map(|p| encode(p, Version::V5).unwrap().to_vec()).collect();
        let (mut buf, mut decoded) = (BytesMut::new(), vec![]);
        for chunk in bytes.chunks(chunk_size) {
            buf.extend_from_slice(chunk);
            while let Some((_, packet)) = decode(&mut buf, Version::V5, 1_000_000).unwrap() {
                decoded.push(packet);
            }
        }
        prop_assert!(buf.is_empty());
        prop_assert_eq!(decoded, packets);
    }

    #[test]
    fn version_3_1_1_packets_round_trip(packet in packet()) {
        let Ok(bytes) = encode(&packet, Version::V311) else {
            prop_assert!(matches!(packet, Packet::Auth(_)));
            return Ok(());
        };
        let mut buf = BytesMut::from(&bytes[..]);
        let (_, decoded) = decode(&mut buf, Version::V311, 1_000_000).unwrap().unwrap();
        // The encoding is canonical, so that equal bytes mean equal packets.
        prop_assert_eq!(encode(&decoded, Version::V311).unwrap(), bytes);
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_valid_packet_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200), v5: bool) {
        let version = if v5 { Version::V5 } else { Version::V311 };
        let mut buf = BytesMut::from(&bytes[..]);
        while let Ok(Some((version, packet))) = decode(&mut buf, version, 500) {
            prop_assert!(encode(&packet, version).is_ok());
        }
        prop_assert!(buf.len() <= bytes.len());
    }

    #[test]
    fn a_changed_byte_yields_a_valid_packet_or_an_error(packet in packet(), position: prop::sample::Index, value: u8) {
        let mut bytes = encode(&packet, Version::V5).unwrap().to_vec();
        let position = position.index(bytes.len());
        bytes[position] = value;
        let mut buf = BytesMut::from(&bytes[..]);
        if let Ok(Some((_, decoded))) = decode(&mut buf, Version::V5, 10_000) {
            prop_assert!(encode(&decoded, Version::V5).is_ok());
        }
    }

    /// Compares filters with a recursive reference implementation on every topic of up to four levels.
    #[test]
    fn filters_match_and_overlap_like_the_reference(a in "(\\$?[ab]|\\+|)(/([ab]|\\+|)){0,2}(/#)?", b in "(\\$?[ab]|\\+|)(/([ab]|\\+|)){0,2}(/#)?") {
        fn matches_reference(filter: &[&str], topic: &[&str]) -> bool {
            match (filter, topic) {
                (["#"], _) | ([], []) => true,
                (["+", f @ ..], [_, t @ ..]) => matches_reference(f, t),
                ([x, f @ ..], [y, t @ ..]) if x == y => matches_reference(f, t),
                _ => false,
            }
        }
        let (Ok(fa), Ok(fb)) = (Filter::parse(&a), Filter::parse(&b)) else { return Ok(()) };
        let levels = ["", "a", "b", "$a", "$b", "c"];
        let mut topics: Vec<Vec<&str>> = levels.iter().map(|l| vec![*l]).collect();
        let mut all = topics.clone();
        for _ in 0..3 {
            topics = topics.iter().flat_map(|t| ["", "a", "b", "c"].map(|l| [&t[..], &[l]].concat())).collect();
            all.extend(topics.clone());
        }
        let mut both = false;
        for topic in all.iter().filter(|t| !t.join("/").is_empty()) {
            let name = topic.join("/");
            let expected = |f: &str| {
                let f: Vec<&str> = f.split('/').collect();
                matches_reference(&f, topic) && !(name.starts_with('$') && ["+", "#"].contains(&f[0]))
            };
            prop_assert_eq!(fa.matches(&name), expected(&a), "{} on {}", &a, &name);
            both |= fa.matches(&name) && fb.matches(&name);
        }
        prop_assert_eq!(fa.overlaps(&fb), both, "{} and {}", &a, &b);
    }
}

#[test]
fn packets_have_the_encoding_of_the_standards() {
    // A CONNECT of 3.1.1 and a PUBLISH of QoS 1, encoded by hand.
    let connect = b"\x10\x0d\x00\x04MQTT\x04\x02\x00\x3c\x00\x01a";
    let mut buf = BytesMut::from(&connect[..]);
    let (version, packet) = decode(&mut buf, Version::V5, 100).unwrap().unwrap();
    let expected = Connect {
        clean: true,
        keep_alive: 60,
        client_id: "a".into(),
        ..Connect::default()
    };
    assert_eq!(
        (version, &packet),
        (Version::V311, &Packet::Connect(expected))
    );
    assert_eq!(&encode(&packet, Version::V311).unwrap()[..], connect);
    let publish = Packet::Publish(Publish {
        qos: Qos::AtLeastOnce,
        topic: "a/b".into(),
        id: 10,
        payload: "hi".into(),
        ..Publish::default()
    });
    assert_eq!(
        &encode(&publish, Version::V311).unwrap()[..],
        b"\x32\x09\x00\x03a/b\x00\x0ahi"
    );
    assert_eq!(
        &encode(&publish, Version::V5).unwrap()[..],
        b"\x32\x0a\x00\x03a/b\x00\x0a\x00hi"
    );
}

#[test]
fn violations_of_the_standards_are_reported() {
    let fault = |bytes: &[u8]| match decode(&mut BytesMut::from(bytes), Version::V5, 100) {
        Err(fault) => fault.to_string(),
        other => panic!("{bytes:?}: {other:?}"),
    };
    for (bytes, what) in [
        (&b"\x36\x05\x00\x01a\x00\x01"[..], "a QoS of 3"),
        (
            b"\x32\x06\x00\x01a\x00\x00\x00",
            "a zero value that the standard forbids",
        ),
        (b"\x38\x04\x00\x01a\x00", "DUP with QoS 0"),
        (b"\x30\x05\x00\x02a+\x00", "an invalid topic name"),
        (b"\x30\x04\x00\x01\xff\x00", "not UTF-8"),
        (b"\x30\x04\x00\x01\x00\x00", "U+0000"),
        (b"\x30\xff\xff\xff\xff\x01", "more than four bytes"),
        (b"\xc0\x80\x00", "more bytes than needed"),
        (b"\xc1\x00", "invalid reserved flags"),
        (b"\x00\x00", "an unknown packet type for this version"),
        (b"\x82\x03\x00\x01\x00", "a SUBSCRIBE without filters"),
        (
            b"\x40\x08\x00\x01\x00\x04\x21\x00\x01\x00",
            "a property that is not allowed in this packet",
        ),
        (
            b"\x30\x0a\x00\x01a\x06\x01\x00\x01\x01\x23\x00",
            "a duplicate property",
        ),
        (b"\xc0\x01\x00", "trailing bytes after the packet"),
        (
            b"\x10\x0d\x00\x04MQTT\x03\x02\x00\x3c\x00\x01a",
            "unsupported protocol level 3, expected 4 (MQTT 3.1.1) or 5",
        ),
        (
            b"\x30\x70\x00",
            "a packet of 114 bytes exceeds the limit of 100 bytes",
        ),
    ] {
        let message = fault(bytes);
        assert!(message.contains(what), "{bytes:?}: {message}, not {what}");
    }
    assert_eq!(
        decode(&mut BytesMut::from(&b"\x30\x05\x00"[..]), Version::V5, 100),
        Ok(None),
        "an incomplete packet is not an error"
    );
    let long = Packet::Publish(Publish {
        topic: "a".repeat(70_000),
        ..Publish::default()
    });
    assert_eq!(
        encode(&long, Version::V5),
        Err(CodecError::Malformed("a field longer than 65535 bytes"))
    );
}

#[test]
fn filters_return_their_group_and_the_captures_of_wildcards() {
    let shared = Filter::parse("$share/front-ends/house/+/set/#").unwrap();
    assert_eq!(
        (shared.group(), shared.to_string().as_str()),
        (Some("front-ends"), "$share/front-ends/house/+/set/#")
    );
    assert_eq!(
        shared.captures("house/7/set/vent/2"),
        Some(vec!["7", "vent/2"])
    );
    assert_eq!(shared.captures("house/7/set"), Some(vec!["7", ""]));
    assert_eq!(shared.captures("house/7/get"), None);
    assert!(!Filter::parse("#").unwrap().matches("$SYS/uptime"));
    for (text, why) in [
        ("", FilterError::Empty),
        ("a/b#", FilterError::Wildcard),
        ("#/a", FilterError::Wildcard),
        ("a+/b", FilterError::Wildcard),
        ("$share/x", FilterError::SharedSubscription),
        ("$share//a", FilterError::SharedSubscription),
        ("$share/x+/a", FilterError::SharedSubscription),
        ("a\0", FilterError::NulCharacter),
    ] {
        assert_eq!(Filter::parse(text), Err(why), "{text:?}");
    }
    assert_eq!(check_topic("a/+"), Err(FilterError::Wildcard));
}
