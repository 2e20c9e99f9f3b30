//! Answers that arrive late, out of order, or from a previous resolver.

use super::*;
use orchidtally_platform_discovery::InitialEndpoints;

/// Encodes an answer with an empty endpoint list to a query.
fn answer(query: &[u8], serial: u32) -> Vec<u8> {
    let mut bytes = query[..2].to_vec();
    // An answer with one authority record: root name, type SOA, class IN, TTL 0, 22 bytes of data.
    bytes.extend([
        0x84, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0,
    ]);
    bytes.extend(serial.to_be_bytes());
    bytes.extend([0; 16]);
    bytes
}

/// An initial list with serial 1 and no executors.
fn initial_list() -> InitialEndpoints {
    InitialEndpoints {
        serial: 1,
        ..InitialEndpoints::default()
    }
}

/// Creates a resolver's socket and a client that queries it.
fn resolver_and_client() -> (std::net::UdpSocket, mio::Poll, ResolverClient) {
    let resolver_socket =
        std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = resolver_socket.local_addr().expect("the socket is bound");
    let poll = mio::Poll::new().expect("the poll can be created");
    let view = EndpointView::new(0.0, &initial_list());
    let client = ResolverClient::new(address, view, poll.registry(), mio::Token(0))
        .expect("the socket can be set up");
    (resolver_socket, poll, client)
}

/// Receives a query, and returns it with its source address.
fn query(resolver_socket: &std::net::UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut query = [0; 512];
    let (size, from) = resolver_socket
        .recv_from(&mut query)
        .expect("a query is received");
    (query[..size].to_vec(), from)
}

#[test]
fn answers_slower_than_the_retry_interval_are_used() {
    let (resolver_socket, _poll, mut client) = resolver_and_client();
    let mut locations = LocationTable::new(vec![], vec![]);
    let mut queries = vec![];
    for n in 0..3 {
        client.query_if_due(0.15 * f64::from(n));
        queries.push(query(&resolver_socket));
    }
    let mut read = |query: usize, serial: u32| {
        let (query, from) = &queries[query];
        resolver_socket
            .send_to(&answer(query, serial), from)
            .expect("the datagram is sent");
        let confirmed = client.read(0.31, &mut locations).is_confirmed;
        (confirmed, client.view().serial(), client.view().fresh_at())
    };
    assert_eq!(
        read(1, 2),
        (true, 2, 0.15),
        "the second of three, with a newer list"
    );
    assert_eq!(
        read(0, 1),
        (false, 2, 0.15),
        "overtaken by the second, with an older list"
    );
    assert_eq!(read(1, 3), (false, 2, 0.15), "a query is answered once");
    assert_eq!(
        read(2, 2),
        (true, 2, 0.3),
        "an unchanged list, as fresh as its query"
    );
    client.query_if_due(1.0);
    client.query_if_due(1.15);
    let next = || {
        let mut query = [0; 512];
        let (size, from) = resolver_socket
            .recv_from(&mut query)
            .expect("a query is received");
        (query[..size].to_vec(), from)
    };
    let (first, second) = (next(), next());
    for ((query, from), serial) in [(second, 3), (first, 4)] {
        resolver_socket
            .send_to(&answer(&query, serial), from)
            .expect("the datagram is sent");
        assert!(
            client.read(1.2, &mut locations).is_confirmed,
            "an overtaken answer with serial {serial}"
        );
        assert_eq!(
            (client.view().serial(), client.view().fresh_at()),
            (serial, 1.15)
        );
    }
    assert_eq!(client.next_query_at(), 1.2 + POLL_INTERVAL);
}

/// Guards against dropping the socket of the previous resolver with an unread list, which the front end is expected to
/// know.
#[test]
fn answers_of_the_previous_resolver_are_used_until_the_new_one_answers() {
    let bind_resolver = || {
        let resolver_socket =
            std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port is available");
        let address = resolver_socket.local_addr().expect("the socket is bound");
        (resolver_socket, address)
    };
    let ((first, first_address), (second, second_address)) = (bind_resolver(), bind_resolver());
    let query = |resolver_socket: &std::net::UdpSocket| {
        let mut query = [0; 512];
        let (size, from) = resolver_socket
            .recv_from(&mut query)
            .expect("a query is received");
        (query[..size].to_vec(), from)
    };
    let poll = mio::Poll::new().expect("the poll can be created");
    let mut client = ResolverClient::new(
        first_address,
        EndpointView::new(0.0, &initial_list()),
        poll.registry(),
        mio::Token(0),
    )
    .expect("the socket can be set up");
    let mut locations = LocationTable::new(vec![], vec![]);
    client.query_if_due(0.0);
    client.query_if_due(0.15);
    let (first_query, second_query) = (query(&first), query(&first));
    first
        .send_to(&answer(&first_query.0, 2), first_query.1)
        .expect("the datagram is sent");
    client
        .switch_resolver(second_address, poll.registry(), mio::Token(0))
        .expect("the socket can be set up");
    client.query_if_due(0.2);
    assert!(
        client.read(0.2, &mut locations).is_confirmed,
        "the previous resolver's list is used"
    );
    assert_eq!(client.view().serial(), 2);
    // Once the new resolver has answered, answers of the previous one are ignored.
    let third_query = query(&second);
    second
        .send_to(&answer(&third_query.0, 3), third_query.1)
        .expect("the datagram is sent");
    assert!(client.read(0.25, &mut locations).is_confirmed);
    first
        .send_to(&answer(&second_query.0, 4), second_query.1)
        .expect("the datagram is sent");
    assert!(!client.read(0.3, &mut locations).is_confirmed);
    assert_eq!(client.view().serial(), 3);
}

/// A flood leaves datagrams in the socket, for which the poll reports no further event.
#[test]
fn datagrams_left_by_one_poll_are_read_in_the_next() {
    let (resolver_socket, _poll, mut client) = resolver_and_client();
    let mut locations = LocationTable::new(vec![], vec![]);
    client.query_if_due(0.0);
    let mut query = [0; 512];
    let (size, from) = resolver_socket
        .recv_from(&mut query)
        .expect("a query is received");
    (0..MAX_READS_PER_POLL).for_each(|_| {
        _ = resolver_socket
            .send_to(&[0; 12], from)
            .expect("the datagram is sent")
    });
    resolver_socket
        .send_to(&answer(&query[..size], 2), from)
        .expect("the datagram is sent");
    let first = client.read(0.1, &mut locations);
    assert!(first.has_more && !first.is_confirmed);
    let second = client.read(0.1, &mut locations);
    assert!(second.is_confirmed && !second.has_more);
}

/// An answer that arrives seconds late is used, and the view is as old as its query.
#[test]
fn answers_that_arrive_seconds_late_are_used() {
    let (resolver_socket, _poll, mut client) = resolver_and_client();
    let mut locations = LocationTable::new(vec![], vec![]);
    let mut queries = vec![];
    for n in 0..60 {
        client.query_if_due(0.2 * f64::from(n));
        queries.push(query(&resolver_socket));
    }
    resolver_socket
        .send_to(&answer(&queries[0].0, 2), queries[0].1)
        .expect("the datagram is sent");
    assert!(client.read(12.0, &mut locations).is_confirmed);
    assert_eq!((client.view().serial(), client.view().fresh_at()), (2, 0.0));
}

/// After a process stall the count of unanswered queries restarts, because answers may have been lost while the process
/// was not running.
#[test]
fn unanswered_queries_are_reset_after_a_stall() {
    let (_resolver_socket, _poll, mut client) = resolver_and_client();
    (0..UNREACHABLE_AFTER).for_each(|n| client.query_if_due(n as f64));
    assert!(client.is_unreachable());
    client.restart_queries();
    assert!(!client.is_unreachable() && client.next_query_at() == 0.0);
}

/// Occasional lost answers don't make the resolver unreachable, but sixteen in a row do. A single answer makes it
/// reachable again.
#[test]
fn the_resolver_is_unreachable_after_sixteen_consecutive_unanswered_queries() {
    let resolver_socket =
        std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port is available");
    let poll = mio::Poll::new().expect("the poll can be created");
    let address = resolver_socket.local_addr().expect("the socket is bound");
    let mut client = ResolverClient::new(
        address,
        EndpointView::new(0.0, &initial_list()),
        poll.registry(),
        mio::Token(0),
    )
    .expect("the socket can be set up");
    let mut locations = LocationTable::new(vec![], vec![]);
    let (mut now, mut unreachable) = (0.0, vec![]);
    for n in 0..60 {
        client.query_if_due(now);
        let mut query = [0; 512];
        let (size, from) = resolver_socket
            .recv_from(&mut query)
            .expect("a query is received");
        // Answers every third query at first, and then only one.
        if n < 30 && n % 3 == 2 || n == 50 {
            resolver_socket
                .send_to(&answer(&query[..size], 2), from)
                .expect("the datagram is sent");
            _ = client.read(now, &mut locations);
        }
        unreachable.push(client.is_unreachable());
        now += 0.3;
    }
    let unreachable_from = unreachable
        .iter()
        .position(|&is_unreachable| is_unreachable);
    assert_eq!(
        (
            unreachable_from,
            unreachable[49],
            unreachable[50],
            unreachable[59]
        ),
        (Some(45), true, false, false)
    );
}
