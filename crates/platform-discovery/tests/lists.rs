//! The endpoint lists of the start and of the resolver.

mod told;

use orchidtally_dispatch_policy::interface::EndpointState;
use orchidtally_platform_discovery::*;
use proptest::prelude::*;
use simple_dns::rdata::RData;
use simple_dns::{Packet, PacketFlag, QTYPE, RCODE, TYPE};
use told::list;

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|&n| n.to_owned()).collect()
}

fn counts(zones: usize, kinds: usize) -> NameCounts {
    NameCounts { zones, kinds }
}

const TWO: [(&str, u16); 2] = [("s-1.east.hosts", 0), ("s-2.west.hosts", 1)];

fn newer(
    bytes: &[u8],
    id: u16,
    places: &mut LocationTable,
) -> Result<(u32, Vec<DiscoveredEndpoint>), AnswerError> {
    parse_answer(bytes, id, places).map(|answer| (answer.serial, answer.endpoints))
}

fn read(bytes: &[u8], id: u16) -> Result<(u32, Vec<DiscoveredEndpoint>), AnswerError> {
    let (zones, kinds) = (names(&["west", "east"]), names(&["big", "std"]));
    newer(bytes, id, &mut LocationTable::new(zones, kinds))
}

#[test]
fn a_list_is_read_whole_compressed_or_not() {
    for compressed in [false, true] {
        let (serial, entries) = read(&list(7, 41, &TWO, compressed), 7).expect("a sound answer");
        assert_eq!((serial, entries.len()), (41, 2));
        let [one, two] = entries.as_slice() else {
            panic!("two of them")
        };
        assert_eq!(
            (one.name.as_str(), one.address.to_string()),
            ("s-1", "10.1.0.9:4100".into())
        );
        let row = &one.endpoint;
        assert_eq!(
            (row.executor, row.zone, row.kind, row.cell),
            (executor_id("s-1"), 1, 1, 2)
        );
        assert_eq!(
            (row.state, row.weight, row.started_at),
            (EndpointState::Ready, 4.0, 1.5)
        );
        assert_eq!(
            (two.endpoint.state, two.endpoint.zone),
            (EndpointState::Draining, 0)
        );
        assert_ne!(
            one.endpoint.executor, two.endpoint.executor,
            "their address is one, they are not"
        );
    }
}

/// A serial proves nothing about the rows: they are read whatever it is, or one that doesn't fit hides every list.
#[test]
fn rows_are_read_whatever_the_serial_and_an_unusable_list_names_no_places() {
    let mut places = LocationTable::default();
    for serial in [0, 41, u32::MAX] {
        let told =
            parse_answer(&list(7, serial, &TWO, true), 7, &mut places.clone()).expect("sound");
        assert_eq!((told.serial, told.endpoints.len()), (serial, 2));
    }
    let mut packet = list(7, 41, &TWO, true);
    let mut spoilt = Packet::parse(&packet).expect("it is sound");
    spoilt
        .additional_records
        .retain(|r| !r.name.to_string().starts_with("s-2"));
    let spoilt = spoilt.build_bytes_vec().expect("it can be built");
    let fault = parse_answer(&spoilt, 7, &mut places).expect_err("the second row has no address");
    let AnswerError::InvalidRecord {
        reason: why,
        list: partial,
    } = fault
    else {
        panic!("{fault}")
    };
    assert!(why.to_string().contains("s-2"), "{why}");
    assert_eq!((partial.serial, partial.endpoints.len()), (41, 1));
    assert_eq!(
        partial.state_only,
        [EndpointStateOnly {
            name: "s-2".into(),
            state: EndpointState::Draining
        }]
    );
    assert_eq!(
        (places.name_counts(), partial.locations.name_counts()),
        (counts(0, 0), counts(1, 1))
    );
    packet[3] |= 3;
    assert!(
        parse_answer(&packet, 7, &mut places).is_err(),
        "a failure is told whatever its number"
    );
    assert_eq!(
        newer(&list(7, 41, &TWO, true), 7, &mut places)
            .expect("sound")
            .1
            .len(),
        2
    );
    assert_eq!(places.name_counts(), counts(2, 1));
}

#[test]
fn a_query_asks_for_the_service_under_its_id() {
    let bytes = build_query(0xbeef).expect("it can be built");
    let packet = Packet::parse(&bytes).expect("it can be read");
    assert_eq!((packet.id(), packet.questions.len()), (0xbeef, 1));
    assert_eq!(packet.questions[0].qname.to_string(), SERVICE);
    assert_eq!(packet.questions[0].qtype, QTYPE::TYPE(TYPE::SRV));
}

/// What is wrong with an answer, and how it gets so.
type Spoilt = (&'static str, fn(&mut Packet));

/// What is not a whole list in every row is none: what it left out would be taken to be gone.
#[test]
fn what_is_no_whole_list_is_refused() {
    let sound = list(7, 41, &TWO, true);
    assert!(read(&sound, 8).is_err(), "another query's");
    for cut in 0..sound.len() {
        assert!(read(&sound[..cut], 7).is_err(), "cut at {cut}");
    }
    let changed = |change: fn(&mut Packet)| {
        let mut packet = Packet::parse(&sound).expect("it is sound");
        change(&mut packet);
        packet.build_bytes_vec().expect("it can be built")
    };
    let bad: [Spoilt; 6] = [
        ("a query", |p| p.remove_flags(PacketFlag::RESPONSE)),
        ("truncated", |p| p.set_flags(PacketFlag::TRUNCATION)),
        ("failed", |p| *p.rcode_mut() = RCODE::ServerFailure),
        ("without a serial", |p| p.name_servers.clear()),
        ("without addresses", |p| {
            p.additional_records
                .retain(|r| !matches!(r.rdata, RData::A(_)))
        }),
        ("without texts", |p| {
            p.additional_records
                .retain(|r| !matches!(r.rdata, RData::TXT(_)))
        }),
    ];
    for (what, change) in bad {
        assert!(read(&changed(change), 7).is_err(), "{what}");
    }
}

/// Zones may be more than the settings name: one such row must not cost the list, nor a start.
#[test]
fn locations_and_kinds_that_the_settings_do_not_name_are_told_apart() {
    let mut places = LocationTable::new(names(&["east"]), names(&["big"]));
    let targets = [
        ("s-1.south.hosts", 0),
        ("s-2.east.hosts", 0),
        ("s-3.north.hosts", 0),
        ("s-4.south.hosts", 0),
    ];
    let (_, entries) = newer(&list(7, 41, &targets, true), 7, &mut places).expect("a sound answer");
    let zones = |entries: &[DiscoveredEndpoint]| {
        entries.iter().map(|e| e.endpoint.zone).collect::<Vec<_>>()
    };
    assert_eq!(
        (zones(&entries), entries[0].endpoint.kind),
        (vec![1, 0, 2, 1], 1)
    );
    let host = |site: &str| {
        serde_json::json!({"host": site, "dial": "10.1.0.9:4100", "site": site, "class": "odd",
        "block": 2, "health": "SERVING", "share": 4})
    };
    let all = serde_json::json!({"seq": 1, "whole": true, "hosts": [host("west"), host("north")]});
    let told = serde_json::json!({"index": 1, "updates": [{"endpoints": all}]});
    let entries = initial_endpoints(&told, &mut places)
        .expect("a start goes on")
        .endpoints;
    assert_eq!(
        (zones(&entries), entries[0].endpoint.kind),
        (vec![2, 3], 2),
        "by name"
    );
    // Past what an index of a byte tells apart a row is left out, and the others count.
    let many: Vec<String> = (0..300).map(|n| format!("s-{n}.z-{n}.hosts")).collect();
    let targets: Vec<(&str, u16)> = many.iter().map(|t| (t.as_str(), 0)).collect();
    let (_, entries) = newer(&list(7, 41, &targets, true), 7, &mut places).expect("a sound answer");
    let mut told_apart = zones(&entries);
    told_apart.dedup();
    assert_eq!(
        (told_apart.len(), entries.len(), places.ignored_endpoints),
        (252, 252, 48)
    );
}

/// An answer with hundreds of executors is longer than the 8,000 bytes that the platform's page names.
#[test]
fn a_list_as_long_as_a_datagram_is_read() {
    let many: Vec<String> = (0..1_024)
        .rev()
        .map(|n| format!("s-{n}.east.hosts"))
        .collect();
    let targets: Vec<(&str, u16)> = many.iter().map(|t| (t.as_str(), 0)).collect();
    let bytes = list(7, 41, &targets[..500], true);
    assert!(
        bytes.len() > 8_000 && bytes.len() <= MAX_ANSWER_LENGTH,
        "{}",
        bytes.len()
    );
    let (_, entries) = read(&bytes, 7).expect("a sound answer");
    assert_eq!((entries.len(), entries[0].name.as_str()), (500, "s-1023"));
    // Longer ones come by no datagram; they are read all the same.
    assert_eq!(
        read(&list(7, 41, &targets, true), 7)
            .expect("a sound answer")
            .1
            .len(),
        1_024
    );
}

#[test]
fn known_is_a_whole_list_and_what_changed_since() {
    let (zones, kinds) = (names(&["east"]), names(&["std"]));
    let mut places = LocationTable::new(zones, kinds);
    let host = |host: &str, health: &str, born: u64| {
        serde_json::json!({"host": host, "dial": "10.1.0.9:4100", "site": "east", "class": "std", "block": 2,
            "health": health, "share": 4, "born_ms": born})
    };
    let update = |whole: bool, hosts: Vec<serde_json::Value>| serde_json::json!({"index": 1, "endpoints": {"seq": 7, "whole": whole, "hosts": hosts}});
    let first = update(
        true,
        vec![host("s-1", "SERVING", 0), host("s-2", "SERVING", 0)],
    );
    let then = update(
        false,
        vec![
            host("s-1", "DELETED", 0),
            host("s-2", "DRAINING", 0),
            host("s-3", "SERVING", 2500),
        ],
    );
    let told = serde_json::json!({"index": 3, "updates": [first, then]});
    let InitialEndpoints {
        serial,
        endpoints: entries,
    } = initial_endpoints(&told, &mut places).expect("it is sound");
    let all: Vec<_> = entries
        .iter()
        .map(|e| (e.name.as_str(), e.endpoint.state, e.endpoint.started_at))
        .collect();
    assert_eq!(serial, 3);
    let expected = [
        ("s-2", EndpointState::Draining, f64::NEG_INFINITY),
        ("s-3", EndpointState::Ready, 2.5),
    ];
    assert_eq!(all, expected);
    let bad = update(true, vec![host("s-1", "ODD", 0)]);
    let fault = initial_endpoints(
        &serde_json::json!({"index": 3, "updates": [bad]}),
        &mut places,
    )
    .expect_err("no such state");
    assert!(fault.to_string().contains("ODD"), "{fault}");
}

proptest! {
    #[test]
    fn no_bytes_upset_it(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..200, byte: u8) {
        let _ = read(&bytes, 7);
        let mut list = list(7, 41, &TWO, true);
        let at = at % list.len();
        list[at] = byte;
        if let Ok((_, entries)) = read(&list, 7) {
            prop_assert!(entries.len() <= 2);
        }
    }
}
