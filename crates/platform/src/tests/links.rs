//! Which connection takes what, and what its end proves.

use super::*;
use std::io::Read;
use std::net::TcpListener;

fn link() -> (Link, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("it is bound")).expect("begun");
    let (peer, _) = listener.accept().expect("it comes");
    let mut link = Link::new(orchidtally_resolver::id("s-1"), stream, 0.0, 0.25);
    link.connected = true;
    (link, peer)
}

fn takes(link: &Link, id: &str) -> bool {
    link.takes(id, 32, 1.0, 15.0)
}

fn put(link: &mut Link, id: &str, from: Option<u64>) -> Rc<str> {
    let id: Rc<str> = id.into();
    link.open.insert(id.clone(), Out { inv: 1, dispatch: 0, at: 1.0, from });
    id
}

/// A late answer to a dispatch that was given up must not pass for that of the next with the same id.
#[test]
fn an_id_given_up_goes_over_another_connection_until_its_answer_has_come() {
    let (mut link, _peer) = link();
    let id = put(&mut link, "a", Some(0));
    assert!(!takes(&link, "a"), "it is open there");
    assert!(link.give_up(&id));
    assert!(!takes(&link, "a") && takes(&link, "b"));
    link.settled("a");
    assert!(takes(&link, "a"));
    let id = put(&mut link, "a", None);
    link.queue.push_back(Queued::Dispatch(id.clone()));
    assert!(!link.give_up(&id), "a queued one is just taken back");
    assert!(link.queue.is_empty() && takes(&link, "a"));
    for n in 0..MOST_GIVEN_UP {
        let id = put(&mut link, &format!("{n}"), Some(0));
        assert!(!link.retired);
        link.give_up(&id);
    }
    assert!(link.retired, "ids given up are bounded");
}

#[test]
fn a_connection_used_lately_comes_before_one_long_idle_and_a_busier_one_after_both() {
    let ((mut late, _a), (mut idle, _b), (mut busy, _c), (mut begun, _d)) = (link(), link(), link(), link());
    (late.idle_since, idle.idle_since, begun.connected) = (5.0, 1.0, false);
    put(&mut busy, "a", Some(0));
    let mut all =
        [("begun", begun.rank()), ("busy", busy.rank()), ("idle", idle.rank()), ("late", late.rank())];
    all.sort_by_key(|r| r.1);
    assert_eq!(all.map(|r| r.0), ["late", "idle", "busy", "begun"]);
}

#[test]
fn a_connection_lost_on_the_way_is_no_executors_fault() {
    let (mut link, _peer) = link();
    put(&mut link, "a", Some(0));
    put(&mut link, "b", Some(9));
    link.open.values_mut().filter(|o| o.from == Some(9)).for_each(|o| o.at = 2.0);
    let verdicts = |link: &Link, seen| link.verdicts(seen).map(|(o, v)| (o.from, v)).collect::<Vec<_>>();
    let at_fault = [(Some(0), Transport::Malformed), (Some(9), Transport::Cut)];
    let lost = [(Some(0), Transport::Cut), (Some(9), Transport::Cut)];
    assert_eq!(verdicts(&link, Transport::Broken), at_fault, "nothing ever came");
    link.answered = true;
    assert_eq!(verdicts(&link, Transport::Broken), lost);
    assert_eq!(verdicts(&link, Transport::Malformed), at_fault);
}

#[test]
fn only_what_the_kernel_never_got_is_unwritten() {
    let (mut link, mut peer) = link();
    link.socket.out().extend_from_slice(b"first\n");
    link.socket.flush().expect("it takes six bytes");
    assert!(!link.is_unwritten(Some(0)) && !link.is_unwritten(Some(5)));
    assert!(link.is_unwritten(Some(6)) && link.is_unwritten(None));
    let mut there = [0; 6];
    peer.read_exact(&mut there).expect("it came");
    assert_eq!(&there, b"first\n");
    link.connected = false;
    assert!(link.is_unwritten(Some(0)), "without a connection nothing is");
}

#[test]
fn half_a_line_and_idleness_end_a_connection_and_work_does_not() {
    let (mut link, _peer) = link();
    assert_eq!(link.overdue(13.0, 15.0), None, "one in use every ten seconds or so is kept");
    assert_eq!(link.overdue(14.0, 15.0), Some((Transport::Broken, "idle")));
    put(&mut link, "a", Some(0));
    assert_eq!(link.overdue(100.0, 15.0), None);
    link.decoder.push(b"{\"t\":");
    link.heard(100.0);
    assert_eq!(link.overdue(100.4, 15.0), None);
    link.decoder.push(b"\"DO");
    link.heard(100.4);
    assert!(link.overdue(100.6, 15.0).is_some(), "the time runs from its first byte");
    link.connected = false;
    assert_eq!(link.overdue(0.2, 15.0), None);
    assert!(link.overdue(0.3, 15.0).is_some());
}

/// Lines of which the kernel got no byte go back, in their order; one that has begun to leave stays.
#[test]
fn what_the_kernel_took_nothing_of_is_taken_back_in_its_order() {
    let (mut link, _peer) = link();
    while link.socket.waiting() == 0 {
        link.socket.out().extend_from_slice(&[b' '; 1 << 20]);
        link.socket.flush().expect("it stands");
    }
    let written = link.socket.written();
    let begun = put(&mut link, "z", Some(written - 1));
    let at = link.socket.written() + link.socket.waiting() as u64;
    let kept = link.socket.waiting();
    for (n, id) in ["b", "a"].into_iter().enumerate() {
        put(&mut link, id, Some(at + 10 * n as u64));
    }
    link.orders.insert(7, Some(at + 20));
    link.socket.out().extend_from_slice(&[b'x'; 30]);
    link.take_back();
    assert_eq!(link.socket.waiting(), kept);
    let queued = link.queue.iter().map(|q| match q {
        Queued::Dispatch(id) => id.to_string(),
        Queued::Order(tag) => tag.to_string(),
        Queued::Line(_) => panic!("no line was there"),
    });
    assert_eq!(queued.collect::<Vec<_>>(), ["b", "a", "7"]);
    assert!(link.open[&begun].from.is_some() && link.open["a"].from.is_none() && link.orders[&7].is_none());
}
