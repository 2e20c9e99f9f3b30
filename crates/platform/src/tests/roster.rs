//! Answers of resolvers: late, overtaken, of one asked before.

use super::*;

/// An empty list under a query's id.
fn answer(query: &[u8], serial: u32) -> Vec<u8> {
    let mut bytes = query[..2].to_vec();
    // An answer with one record of authority: the root's, SOA, IN, without a time to live, 22 bytes.
    bytes.extend([0x84, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 6, 0, 1, 0, 0, 0, 0, 0, 22, 0, 0]);
    bytes.extend(serial.to_be_bytes());
    bytes.extend([0; 16]);
    bytes
}

#[test]
fn answers_that_take_longer_than_the_time_between_queries_are_read() {
    let there = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let at = there.local_addr().expect("it is bound");
    let poll = mio::Poll::new().expect("a poll");
    let mut resolver = Resolver::new(at, 1, poll.registry(), mio::Token(0)).expect("a socket");
    let mut places = Places::new(vec![], vec![]);
    let mut queries = vec![];
    for n in 0..3 {
        resolver.turn(0.15 * f64::from(n));
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        queries.push((query[..size].to_vec(), from));
    }
    let mut read = |query: usize, serial: u32| {
        let (query, from) = &queries[query];
        there.send_to(&answer(query, serial), from).expect("sent");
        resolver.read(0.31, &mut places).map(|list| list.len())
    };
    assert_eq!(read(1, 2), Some(0), "the second of three, newer than what was told");
    assert_eq!(read(0, 1), None, "overtaken, and older");
    assert_eq!(read(1, 3), None, "answered once");
    assert_eq!(read(2, 2), None, "nothing new");
    resolver.turn(1.0);
    resolver.turn(1.15);
    let next = || {
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        (query[..size].to_vec(), from)
    };
    let (first, second) = (next(), next());
    for ((query, from), serial) in [(second, 3), (first, 4)] {
        there.send_to(&answer(&query, serial), from).expect("sent");
        assert_eq!(resolver.read(1.2, &mut places).map(|list| list.len()), Some(0), "{serial}, overtaken");
    }
    assert_eq!(resolver.due_at(), 1.2 + ASK_EVERY);
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
    let mut asking = Resolver::new(at, 1, poll.registry(), mio::Token(0)).expect("a socket");
    let mut places = Places::new(vec![], vec![]);
    asking.turn(0.0);
    asking.turn(0.15);
    let (one, two) = (query(&first), query(&first));
    first.send_to(&answer(&one.0, 2), one.1).expect("sent");
    asking.turn_to(other, poll.registry(), mio::Token(0)).expect("a socket");
    asking.turn(0.2);
    assert_eq!(asking.read(0.2, &mut places).map(|list| list.len()), Some(0), "it was told");
    // Once the new one has answered, the earlier one is heard no more.
    let third = query(&second);
    second.send_to(&answer(&third.0, 3), third.1).expect("sent");
    assert!(asking.read(0.25, &mut places).is_some());
    first.send_to(&answer(&two.0, 4), two.1).expect("sent");
    assert_eq!(asking.read(0.3, &mut places).map(|list| list.len()), None);
}

/// Answers lost now and then add up to no silence; sixteen in a row do, and one that comes ends it.
#[test]
fn it_is_quiet_after_sixteen_queries_in_a_row_without_an_answer() {
    let there = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let poll = mio::Poll::new().expect("a poll");
    let at = there.local_addr().expect("it is bound");
    let mut asking = Resolver::new(at, 1, poll.registry(), mio::Token(0)).expect("a socket");
    let mut places = Places::new(vec![], vec![]);
    let (mut now, mut quiet) = (0.0, vec![]);
    for n in 0..60 {
        asking.turn(now);
        let mut query = [0; 512];
        let (size, from) = there.recv_from(&mut query).expect("a query");
        // Every third is answered at first; then none, but for one.
        if n < 30 && n % 3 == 2 || n == 50 {
            there.send_to(&answer(&query[..size], 2), from).expect("sent");
            _ = asking.read(now, &mut places);
        }
        quiet.push(asking.is_quiet());
        now += 0.3;
    }
    let from = quiet.iter().position(|&q| q);
    assert_eq!((from, quiet[49], quiet[50], quiet[59]), (Some(45), true, false, false));
}
