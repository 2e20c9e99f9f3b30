//! Answers of resolvers: late, overtaken, of one asked before.

use super::*;

/// An empty list under a query's id.
fn answer(query: &[u8], serial: u32) -> Vec<u8> {
    let mut bytes = query[..2].to_vec();
    // An answer with one record of authority: the root's, SOA, IN, without a time to live, 22 bytes.
    bytes.extend([
        0x84, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0,
    ]);
    bytes.extend(serial.to_be_bytes());
    bytes.extend([0; 16]);
    bytes
}

/// A resolver's end, and what asks it.
fn asking() -> (std::net::UdpSocket, mio::Poll, ResolverClient) {
    let there = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = there.local_addr().expect("it is bound");
    let poll = mio::Poll::new().expect("a poll");
    let view = EndpointView::new(0.0, 1, &[]);
    let resolver = ResolverClient::new(at, view, poll.registry(), mio::Token(0)).expect("a socket");
    (there, poll, resolver)
}

/// The query that has come, and from where.
fn query(there: &std::net::UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut query = [0; 512];
    let (size, from) = there.recv_from(&mut query).expect("a query");
    (query[..size].to_vec(), from)
}

#[test]
fn answers_that_take_longer_than_the_time_between_queries_are_read() {
    let (there, _poll, mut resolver) = asking();
    let mut places = LocationTable::new(vec![], vec![]);
    let mut queries = vec![];
    for n in 0..3 {
        resolver.query_if_due(0.15 * f64::from(n));
        queries.push(query(&there));
    }
    let mut read = |query: usize, serial: u32| {
        let (query, from) = &queries[query];
        there.send_to(&answer(query, serial), from).expect("sent");
        let confirmed = resolver.read(0.31, &mut places).is_confirmed;
        (
            confirmed,
            resolver.view().serial(),
            resolver.view().fresh_at(),
        )
    };
    assert_eq!(
        read(1, 2),
        (true, 2, 0.15),
        "the second of three, newer than what was told"
    );
    assert_eq!(read(0, 1), (false, 2, 0.15), "overtaken, and older");
    assert_eq!(read(1, 3), (false, 2, 0.15), "answered once");
    assert_eq!(
        read(2, 2),
        (true, 2, 0.3),
        "nothing new, and as fresh as its question"
    );
    resolver.query_if_due(1.0);
    resolver.query_if_due(1.15);
    let next = || {
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        (query[..size].to_vec(), from)
    };
    let (first, second) = (next(), next());
    for ((query, from), serial) in [(second, 3), (first, 4)] {
        there.send_to(&answer(&query, serial), from).expect("sent");
        assert!(
            resolver.read(1.2, &mut places).is_confirmed,
            "{serial}, overtaken"
        );
        assert_eq!(
            (resolver.view().serial(), resolver.view().fresh_at()),
            (serial, 1.15)
        );
    }
    assert_eq!(resolver.next_query_at(), 1.2 + POLL_INTERVAL);
}

/// A list that the earlier resolver had sent was told, and was dropped with its socket, unread.
#[test]
fn what_the_resolver_asked_before_has_sent_is_read_until_the_new_one_answers() {
    let resolver = || {
        let there = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = there.local_addr().expect("it is bound");
        (there, at)
    };
    let ((first, at), (second, other)) = (resolver(), resolver());
    let query = |there: &std::net::UdpSocket| {
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        (query[..size].to_vec(), from)
    };
    let poll = mio::Poll::new().expect("a poll");
    let mut asking = ResolverClient::new(
        at,
        EndpointView::new(0.0, 1, &[]),
        poll.registry(),
        mio::Token(0),
    )
    .expect("a socket");
    let mut places = LocationTable::new(vec![], vec![]);
    asking.query_if_due(0.0);
    asking.query_if_due(0.15);
    let (one, two) = (query(&first), query(&first));
    first.send_to(&answer(&one.0, 2), one.1).expect("sent");
    asking
        .switch_resolver(other, poll.registry(), mio::Token(0))
        .expect("a socket");
    asking.query_if_due(0.2);
    assert!(asking.read(0.2, &mut places).is_confirmed, "it was told");
    assert_eq!(asking.view().serial(), 2);
    // Once the new one has answered, the earlier one is heard no more.
    let third = query(&second);
    second.send_to(&answer(&third.0, 3), third.1).expect("sent");
    assert!(asking.read(0.25, &mut places).is_confirmed);
    first.send_to(&answer(&two.0, 4), two.1).expect("sent");
    assert!(!asking.read(0.3, &mut places).is_confirmed);
    assert_eq!(asking.view().serial(), 3);
}

/// A flood leaves datagrams in the socket, of which no event tells again.
#[test]
fn what_a_turn_does_not_read_is_read_in_the_next() {
    let (there, _poll, mut asking) = asking();
    let mut places = LocationTable::new(vec![], vec![]);
    asking.query_if_due(0.0);
    let mut query = [0; 512];
    let (size, from) = there.recv_from(&mut query).expect("a query");
    (0..MAX_READS_PER_POLL).for_each(|_| _ = there.send_to(&[0; 12], from).expect("sent"));
    there
        .send_to(&answer(&query[..size], 2), from)
        .expect("sent");
    let first = asking.read(0.1, &mut places);
    assert!(first.has_more && !first.is_confirmed);
    let second = asking.read(0.1, &mut places);
    assert!(second.is_confirmed && !second.has_more);
}

/// Answers that come seconds late count, and the view is as old as their questions.
#[test]
fn answers_that_come_seconds_late_are_read() {
    let (there, _poll, mut asking) = asking();
    let mut places = LocationTable::new(vec![], vec![]);
    let mut queries = vec![];
    for n in 0..60 {
        asking.query_if_due(0.2 * f64::from(n));
        queries.push(query(&there));
    }
    there
        .send_to(&answer(&queries[0].0, 2), queries[0].1)
        .expect("sent");
    assert!(asking.read(12.0, &mut places).is_confirmed);
    assert_eq!((asking.view().serial(), asking.view().fresh_at()), (2, 0.0));
}

/// After a standstill a silence is found out anew: what was unanswered before it was asked by a process that slept.
#[test]
fn a_silence_is_counted_anew_after_a_standstill() {
    let (_there, _poll, mut asking) = asking();
    (0..UNREACHABLE_AFTER).for_each(|n| asking.query_if_due(n as f64));
    assert!(asking.is_unreachable());
    asking.restart_queries();
    assert!(!asking.is_unreachable() && asking.next_query_at() == 0.0);
}

/// Answers lost now and then add up to no silence; sixteen in a row do, and one that comes ends it.
#[test]
fn it_is_quiet_after_sixteen_queries_in_a_row_without_an_answer() {
    let there = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let poll = mio::Poll::new().expect("a poll");
    let at = there.local_addr().expect("it is bound");
    let mut asking = ResolverClient::new(
        at,
        EndpointView::new(0.0, 1, &[]),
        poll.registry(),
        mio::Token(0),
    )
    .expect("a socket");
    let mut places = LocationTable::new(vec![], vec![]);
    let (mut now, mut quiet) = (0.0, vec![]);
    for n in 0..60 {
        asking.query_if_due(now);
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        // Every third is answered at first; then none, but for one.
        if n < 30 && n % 3 == 2 || n == 50 {
            there
                .send_to(&answer(&query[..size], 2), from)
                .expect("sent");
            _ = asking.read(now, &mut places);
        }
        quiet.push(asking.is_unreachable());
        now += 0.3;
    }
    let from = quiet.iter().position(|&q| q);
    assert_eq!(
        (from, quiet[49], quiet[50], quiet[59]),
        (Some(45), true, false, false)
    );
}
