//! Reads initial endpoint lists and the lists in DNS answers.

mod dns_answers;

use dns_answers::encode_answer;

use orchidtally_dispatch_policy::interface::EndpointState;
use orchidtally_platform_discovery::*;
use proptest::prelude::*;
use simple_dns::rdata::RData;
use simple_dns::{Packet, PacketFlag, QTYPE, RCODE, TYPE};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn counts(zones: usize, kinds: usize) -> NameCounts {
    NameCounts { zones, kinds }
}

/// A ready and a draining executor.
const TWO_TARGETS: [(&str, u16); 2] = [("s-1.east.hosts", 0), ("s-2.west.hosts", 1)];

fn parse_with(
    bytes: &[u8],
    id: u16,
    locations: &mut LocationTable,
) -> Result<(u32, Vec<DiscoveredEndpoint>), AnswerError> {
    parse_answer(bytes, id, locations).map(|list| (list.serial, list.endpoints))
}

fn parse(bytes: &[u8], id: u16) -> Result<(u32, Vec<DiscoveredEndpoint>), AnswerError> {
    let (zones, kinds) = (names(&["west", "east"]), names(&["big", "std"]));
    parse_with(bytes, id, &mut LocationTable::new(zones, kinds))
}

#[test]
fn an_answer_is_parsed_with_and_without_name_compression() {
    for compressed in [false, true] {
        let (serial, endpoints) =
            parse(&encode_answer(7, 41, &TWO_TARGETS, compressed), 7).expect("a valid answer");
        assert_eq!((serial, endpoints.len()), (41, 2));
        let [first, second] = endpoints.as_slice() else {
            panic!("expected two endpoints")
        };
        assert_eq!(
            (first.name.as_str(), first.address.to_string()),
            ("s-1", "10.1.0.9:4100".into())
        );
        let endpoint = &first.endpoint;
        assert_eq!(
            (
                endpoint.executor,
                endpoint.zone,
                endpoint.kind,
                endpoint.cell
            ),
            (executor_id("s-1"), 1, 1, 2)
        );
        assert_eq!(
            (endpoint.state, endpoint.weight, endpoint.started_at),
            (EndpointState::Ready, 4.0, 1.5)
        );
        assert_eq!(
            (second.endpoint.state, second.endpoint.zone),
            (EndpointState::Draining, 0)
        );
        assert_ne!(
            first.endpoint.executor, second.endpoint.executor,
            "executors at the same address have different ids"
        );
    }
}

/// The serial is no proof of the age of the records. If the parser rejected lists by their serial, one wrong serial would
/// hide every later list.
#[test]
fn any_serial_is_accepted_and_an_invalid_list_adds_no_locations() {
    let mut locations = LocationTable::default();
    for serial in [0, 41, u32::MAX] {
        let list = parse_answer(
            &encode_answer(7, serial, &TWO_TARGETS, true),
            7,
            &mut locations.clone(),
        )
        .expect("a valid answer");
        assert_eq!((list.serial, list.endpoints.len()), (serial, 2));
    }
    let mut bytes = encode_answer(7, 41, &TWO_TARGETS, true);
    let mut invalid = Packet::parse(&bytes).expect("a valid packet");
    invalid
        .additional_records
        .retain(|record| !record.name.to_string().starts_with("s-2"));
    let invalid = invalid.build_bytes_vec().expect("a valid packet");
    let error =
        parse_answer(&invalid, 7, &mut locations).expect_err("the second executor has no address");
    let AnswerError::InvalidRecord {
        reason,
        list: partial,
    } = error
    else {
        panic!("{error}")
    };
    assert!(reason.to_string().contains("s-2"), "{reason}");
    assert_eq!((partial.serial, partial.endpoints.len()), (41, 1));
    assert_eq!(
        partial.state_only,
        [EndpointStateOnly {
            name: "s-2".into(),
            state: EndpointState::Draining
        }]
    );
    assert_eq!(
        (locations.name_counts(), partial.locations.name_counts()),
        (counts(0, 0), counts(1, 1))
    );
    bytes[3] |= 3;
    assert!(
        parse_answer(&bytes, 7, &mut locations).is_err(),
        "an answer with an error code is rejected"
    );
    assert_eq!(
        parse_with(&encode_answer(7, 41, &TWO_TARGETS, true), 7, &mut locations)
            .expect("a valid answer")
            .1
            .len(),
        2
    );
    assert_eq!(locations.name_counts(), counts(2, 1));
}

#[test]
fn a_query_contains_its_id_and_the_service() {
    let bytes = build_query(0xbeef).expect("a valid query");
    let packet = Packet::parse(&bytes).expect("a valid packet");
    assert_eq!((packet.id(), packet.questions.len()), (0xbeef, 1));
    assert_eq!(packet.questions[0].qname.to_string(), SERVICE);
    assert_eq!(packet.questions[0].qtype, QTYPE::TYPE(TYPE::SRV));
}

/// A description of an invalid answer, and the change that makes a valid answer invalid in this way.
type InvalidAnswer = (&'static str, fn(&mut Packet));

/// An answer that is not a complete list is rejected, because executors that are missing from a list count as gone.
#[test]
fn answers_that_are_not_a_complete_list_are_rejected() {
    let valid = encode_answer(7, 41, &TWO_TARGETS, true);
    assert!(parse(&valid, 8).is_err(), "id of another query");
    for length in 0..valid.len() {
        assert!(parse(&valid[..length], 7).is_err(), "cut to {length} bytes");
    }
    let changed = |change: fn(&mut Packet)| {
        let mut packet = Packet::parse(&valid).expect("a valid packet");
        change(&mut packet);
        packet.build_bytes_vec().expect("a valid packet")
    };
    let invalid: [InvalidAnswer; 6] = [
        ("a query", |packet| {
            packet.remove_flags(PacketFlag::RESPONSE)
        }),
        ("truncated", |packet| {
            packet.set_flags(PacketFlag::TRUNCATION)
        }),
        ("an error code", |packet| {
            *packet.rcode_mut() = RCODE::ServerFailure
        }),
        ("no SOA record", |packet| packet.name_servers.clear()),
        ("no A records", |packet| {
            packet
                .additional_records
                .retain(|record| !matches!(record.rdata, RData::A(_)))
        }),
        ("no TXT records", |packet| {
            packet
                .additional_records
                .retain(|record| !matches!(record.rdata, RData::TXT(_)))
        }),
    ];
    for (description, change) in invalid {
        assert!(parse(&changed(change), 7).is_err(), "{description}");
    }
}

/// A list may contain zones that the settings do not declare. Such an executor must not make the list unusable, nor
/// prevent a start.
#[test]
fn undeclared_zones_and_kinds_get_their_own_indices() {
    let mut locations = LocationTable::new(names(&["east"]), names(&["big"]));
    let targets = [
        ("s-1.south.hosts", 0),
        ("s-2.east.hosts", 0),
        ("s-3.north.hosts", 0),
        ("s-4.south.hosts", 0),
    ];
    let (_, endpoints) = parse_with(&encode_answer(7, 41, &targets, true), 7, &mut locations)
        .expect("a valid answer");
    let zones = |endpoints: &[DiscoveredEndpoint]| {
        endpoints
            .iter()
            .map(|discovered| discovered.endpoint.zone)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (zones(&endpoints), endpoints[0].endpoint.kind),
        (vec![1, 0, 2, 1], 1)
    );
    let host = |site: &str| {
        serde_json::json!({"host": site, "dial": "10.1.0.9:4100", "site": site, "class": "odd",
        "block": 2, "health": "SERVING", "share": 4})
    };
    let update =
        serde_json::json!({"seq": 1, "whole": true, "hosts": [host("west"), host("north")]});
    let list = serde_json::json!({"index": 1, "updates": [{"endpoints": update}]});
    let endpoints = initial_endpoints(&list, &mut locations)
        .expect("a valid list")
        .endpoints;
    assert_eq!(
        (zones(&endpoints), endpoints[0].endpoint.kind),
        (vec![2, 3], 2),
        "ordered by name"
    );
    // Endpoints in zones for which no one-byte index is left are ignored; the others are used.
    let many: Vec<String> = (0..300).map(|n| format!("s-{n}.z-{n}.hosts")).collect();
    let targets: Vec<(&str, u16)> = many.iter().map(|target| (target.as_str(), 0)).collect();
    let (_, endpoints) = parse_with(&encode_answer(7, 41, &targets, true), 7, &mut locations)
        .expect("a valid answer");
    let mut distinct_zones = zones(&endpoints);
    distinct_zones.dedup();
    assert_eq!(
        (
            distinct_zones.len(),
            endpoints.len(),
            locations.ignored_endpoints
        ),
        (252, 252, 48)
    );
}

/// An answer with hundreds of executors is longer than the 8,000 bytes that the platform's specification names.
#[test]
fn an_answer_as_long_as_a_datagram_is_parsed() {
    let many: Vec<String> = (0..1_024)
        .rev()
        .map(|n| format!("s-{n}.east.hosts"))
        .collect();
    let targets: Vec<(&str, u16)> = many.iter().map(|target| (target.as_str(), 0)).collect();
    let bytes = encode_answer(7, 41, &targets[..500], true);
    assert!(
        bytes.len() > 8_000 && bytes.len() <= MAX_ANSWER_LENGTH,
        "{}",
        bytes.len()
    );
    let (_, endpoints) = parse(&bytes, 7).expect("a valid answer");
    assert_eq!(
        (endpoints.len(), endpoints[0].name.as_str()),
        (500, "s-1023")
    );
    // A longer answer does not fit in a datagram, but the parser accepts it.
    assert_eq!(
        parse(&encode_answer(7, 41, &targets, true), 7)
            .expect("a valid answer")
            .1
            .len(),
        1_024
    );
}

#[test]
fn an_initial_list_is_a_complete_list_and_later_updates() {
    let (zones, kinds) = (names(&["east"]), names(&["std"]));
    let mut locations = LocationTable::new(zones, kinds);
    let host = |name: &str, health: &str, started_ms: u64| {
        serde_json::json!({"host": name, "dial": "10.1.0.9:4100", "site": "east", "class": "std", "block": 2,
            "health": health, "share": 4, "born_ms": started_ms})
    };
    let update = |is_complete: bool, hosts: Vec<serde_json::Value>| serde_json::json!({"index": 1, "endpoints": {"seq": 7, "whole": is_complete, "hosts": hosts}});
    let complete = update(
        true,
        vec![host("s-1", "SERVING", 0), host("s-2", "SERVING", 0)],
    );
    let changes = update(
        false,
        vec![
            host("s-1", "DELETED", 0),
            host("s-2", "DRAINING", 0),
            host("s-3", "SERVING", 2500),
        ],
    );
    let list = serde_json::json!({"index": 3, "updates": [complete, changes]});
    let InitialEndpoints {
        serial,
        endpoints,
        withdrawn,
    } = initial_endpoints(&list, &mut locations).expect("a valid list");
    let actual: Vec<_> = endpoints
        .iter()
        .map(|discovered| {
            (
                discovered.name.as_str(),
                discovered.endpoint.state,
                discovered.endpoint.started_at,
            )
        })
        .collect();
    assert_eq!(serial, 3);
    let expected = [
        ("s-2", EndpointState::Draining, f64::NEG_INFINITY),
        ("s-3", EndpointState::Ready, 2.5),
    ];
    assert_eq!(actual, expected);
    let deleted = WithdrawnExecutor {
        name: "s-1".into(),
        state: EndpointState::Gone,
        started_at: f64::NEG_INFINITY,
    };
    assert_eq!(withdrawn, [deleted]);
    let invalid = update(true, vec![host("s-1", "ODD", 0)]);
    let error = initial_endpoints(
        &serde_json::json!({"index": 3, "updates": [invalid]}),
        &mut locations,
    )
    .expect_err("an unknown state");
    assert!(error.to_string().contains("ODD"), "{error}");
}

proptest! {
    #[test]
    fn arbitrary_and_damaged_answers_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0usize..200, byte: u8) {
        let _ = parse(&bytes, 7);
        let mut damaged = encode_answer(7, 41, &TWO_TARGETS, true);
        let at = at % damaged.len();
        damaged[at] = byte;
        if let Ok((_, endpoints)) = parse(&damaged, 7) {
            prop_assert!(endpoints.len() <= 2);
        }
    }
}
