//! Other programs define the formats of the resolver's messages and of the initial list: the bytes of a query must not
//! change, and an answer and an initial list must be read with the same values. The examples must not be changed.

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use orchidtally_platform_discovery::{
    DiscoveredEndpoint, LocationTable, SERVICE, build_query, executor_id, initial_endpoints,
    parse_answer,
};
use std::net::{IpAddr, Ipv6Addr};

/// A query in hexadecimal digits.
const QUERY: &str = include_str!("stored_formats/query.txt");
/// An answer in hexadecimal digits.
const ANSWER: &str = include_str!("stored_formats/answer.txt");
/// An initial list.
const INITIAL_LIST: &str = include_str!("stored_formats/known.json");
const QUERY_ID: u16 = 0xbeef;

fn locations() -> LocationTable {
    let names = |names: [&str; 2]| names.map(str::to_owned).to_vec();
    LocationTable::new(names(["west", "east"]), names(["big", "std"]))
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let digits = digits.trim_end();
    (0..digits.len() / 2)
        .map(|n| u8::from_str_radix(&digits[2 * n..2 * n + 2], 16).unwrap())
        .collect()
}

fn discovered(name: &str, address: &str, endpoint: Endpoint) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: name.into(),
        address: address.parse().unwrap(),
        endpoint,
    }
}

fn endpoint(name: &str, zone: u8, state: EndpointState, weight: f64, started_at: f64) -> Endpoint {
    Endpoint {
        executor: executor_id(name),
        zone,
        kind: 1,
        cell: 2,
        state,
        weight,
        started_at,
    }
}

#[test]
fn the_bytes_of_a_query_do_not_change() {
    assert_eq!(build_query(QUERY_ID).unwrap(), decode_hex(QUERY));
    assert_eq!(SERVICE, "_data._tcp.farm.lan");
}

#[test]
fn an_answer_is_read_with_its_values() {
    let list =
        parse_answer(&decode_hex(ANSWER), QUERY_ID, &mut locations()).expect("a valid answer");
    assert_eq!(list.serial, 41);
    let expected = [
        discovered(
            "s-1",
            "10.1.0.9:4100",
            endpoint("s-1", 1, EndpointState::Ready, 4.0, 1.5),
        ),
        discovered(
            "s-2",
            "10.1.0.9:4100",
            endpoint("s-2", 0, EndpointState::Draining, 4.0, 1.5),
        ),
    ];
    assert_eq!(list.endpoints, expected);
}

#[test]
fn an_initial_list_is_read_with_its_values() {
    let value = serde_json::from_str(INITIAL_LIST).expect("the fixture is JSON");
    let initial = initial_endpoints(&value, &mut locations()).expect("a valid list");
    let (serial, endpoints) = (initial.serial, initial.endpoints);
    assert_eq!(serial, 17);
    let started_long_ago = Endpoint {
        kind: 0,
        cell: 3,
        ..endpoint("s-2", 0, EndpointState::Draining, 2.5, f64::NEG_INFINITY)
    };
    let expected = [
        discovered(
            "s-1",
            "10.1.0.9:4100",
            endpoint("s-1", 1, EndpointState::Ready, 4.0, 1.5),
        ),
        discovered("s-2", "10.1.0.10:4101", started_long_ago),
    ];
    assert_eq!(endpoints, expected);
}

/// All front ends, of any build, must use the same id for an executor.
#[test]
fn the_id_of_an_executor_is_a_hash_of_its_name() {
    let digits = include_str!("stored_formats/executor_id.txt").trim_end();
    let IpAddr::V6(address) = executor_id("s-1").0 else {
        panic!("{:?}", executor_id("s-1"))
    };
    assert_eq!(format!("{:032x}", address.to_bits()), digits);
    assert_ne!(address, Ipv6Addr::UNSPECIFIED);
}
