//! The resolver's messages and the list of the start are formats of others: a query has the bytes that resolvers know,
//! and an answer and a list are read with the same values. The examples must not be changed.

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use orchidtally_platform_discovery::{
    DiscoveredEndpoint, LocationTable, SERVICE, build_query, executor_id, initial_endpoints,
    parse_answer,
};
use std::net::{IpAddr, Ipv6Addr};

/// A query and an answer in hexadecimal digits, and the list of the start.
const QUERY: &str = include_str!("stored_formats/query.txt");
const ANSWER: &str = include_str!("stored_formats/answer.txt");
const KNOWN: &str = include_str!("stored_formats/known.json");
const QUERY_ID: u16 = 0xbeef;

fn places() -> LocationTable {
    let names = |all: [&str; 2]| all.map(str::to_owned).to_vec();
    LocationTable::new(names(["west", "east"]), names(["big", "std"]))
}

fn bytes(digits: &str) -> Vec<u8> {
    let digits = digits.trim_end();
    (0..digits.len() / 2)
        .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}

fn entry(name: &str, address: &str, row: Endpoint) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: name.into(),
        address: address.parse().unwrap(),
        endpoint: row,
    }
}

fn row(name: &str, zone: u8, standing: EndpointState, weight: f64, since: f64) -> Endpoint {
    Endpoint {
        executor: executor_id(name),
        zone,
        kind: 1,
        cell: 2,
        state: standing,
        weight,
        started_at: since,
    }
}

#[test]
fn a_query_has_the_bytes_that_resolvers_know() {
    assert_eq!(build_query(QUERY_ID).unwrap(), bytes(QUERY));
    assert_eq!(SERVICE, "_data._tcp.farm.lan");
}

#[test]
fn an_answer_is_read_with_its_values() {
    let list = parse_answer(&bytes(ANSWER), QUERY_ID, &mut places()).expect("it is sound");
    assert_eq!(list.serial, 41);
    let expected = [
        entry(
            "s-1",
            "10.1.0.9:4100",
            row("s-1", 1, EndpointState::Ready, 4.0, 1.5),
        ),
        entry(
            "s-2",
            "10.1.0.9:4100",
            row("s-2", 0, EndpointState::Draining, 4.0, 1.5),
        ),
    ];
    assert_eq!(list.endpoints, expected);
}

#[test]
fn the_list_of_the_start_is_read_with_its_values() {
    let value = serde_json::from_str(KNOWN).expect("the fixture is JSON");
    let initial = initial_endpoints(&value, &mut places()).expect("it is sound");
    let (index, entries) = (initial.serial, initial.endpoints);
    assert_eq!(index, 17);
    let long_ago = Endpoint {
        kind: 0,
        cell: 3,
        ..row("s-2", 0, EndpointState::Draining, 2.5, f64::NEG_INFINITY)
    };
    let expected = [
        entry(
            "s-1",
            "10.1.0.9:4100",
            row("s-1", 1, EndpointState::Ready, 4.0, 1.5),
        ),
        entry("s-2", "10.1.0.10:4101", long_ago),
    ];
    assert_eq!(entries, expected);
}

/// All front ends, of any build, have to know an executor by the same number.
#[test]
fn the_id_of_an_executor_is_a_hash_of_its_name() {
    let digits = include_str!("stored_formats/executor_id.txt").trim_end();
    let IpAddr::V6(address) = executor_id("s-1").0 else {
        panic!("{:?}", executor_id("s-1"))
    };
    assert_eq!(format!("{:032x}", address.to_bits()), digits);
    assert_ne!(address, Ipv6Addr::UNSPECIFIED);
}
