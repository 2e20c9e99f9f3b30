//! Executors that fail in ways that are hard to handle, each case with a front end of its own and the smallest test
//! servers that bring it about.

mod gateway_kit;

use async_io::Async;
use bytes::Bytes;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use gateway_kit::{ACT, LOOK, all, ask, description, executor, gateway, listed, on, row, status};
use orchidtally_executor_protocol::{frame, v1};
use orchidtally_invariants::{EndpointState, FinalAnswer, TrafficRecord};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use orchidtally_test_servers::publisher::Publisher;
use orchidtally_test_servers::raw::{self, Kind, Next};
use orchidtally_test_servers::{TestEnvironment, reserve_address, unused_address};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

const NO_ORDERS: &str = "loading: { orders: false },";

fn warm() -> Vec<u8> {
    let mut answer = v1::Answer::default();
    answer.set_ending(v1::Ending::Ok);
    answer.set_found(v1::Found::Warm);
    frame(&answer).to_vec()
}

fn answered(stream: u32) -> Vec<u8> {
    [raw::ok(stream), raw::data(stream, &warm(), true)].concat()
}

/// A scripted executor: `script` hears each frame of each connection.
fn scripted(
    stage: &TestEnvironment,
    script: impl FnMut(&raw::Frame) -> Next + 'static,
) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(unused_address()).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let script = Rc::new(RefCell::new(script));
    let serve = stage.clone();
    stage
        .spawn(async move {
            while let Ok(socket) = raw::accept(&listener).await {
                let script = script.clone();
                serve
                    .spawn(async move {
                        // It ends as the script wants it, or with its peer.
                        let _ = raw::connection(socket, move |f| (script.borrow_mut())(f)).await;
                    })
                    .detach();
            }
        })
        .detach();
    at
}

#[test]
fn an_executor_that_dies_after_the_first_bytes_leaves_a_non_idempotent_invocation_errored() {
    let stage = TestEnvironment::new(1);
    let dispatches = Rc::new(Cell::new(0));
    let counted = dispatches.clone();
    // Dies with each dispatch, once it is here whole.
    let dies = move |f: &raw::Frame| {
        if f.ends_stream() {
            counted.set(counted.get() + 1);
            return Next::Break(vec![]);
        }
        Next::Say(vec![])
    };
    let two = [scripted(&stage, dies.clone()), scripted(&stage, dies)];
    let gateway = gateway(description(&listed(&two), NO_ORDERS));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, caller.invoke(&ask("a", ACT)));
    let ClientOutcome::Answered {
        answer: FinalAnswer::Failed,
        may_have_run,
        ..
    } = heard
    else {
        panic!("{heard:?}")
    };
    assert!(may_have_run);
    assert_eq!(dispatches.get(), 1, "never repeated");
    assert_eq!(gateway.end().failed, 1);
}

#[test]
fn an_executor_that_dies_before_any_byte_costs_nothing() {
    let stage = TestEnvironment::new(1);
    let gone = reserve_address().unwrap();
    let stands = executor(&stage, 0, 0.01);
    let gateway = gateway(description(&listed(&[gone, stands.address]), NO_ORDERS));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let asks = (0..12)
        .map(|n| ClientRequest {
            function: format!("f{n}"),
            ..ask(&format!("a{n}"), ACT)
        })
        .collect();
    let heard = on(&stage, all(&stage, &caller, asks));
    assert!(heard.iter().all(|h| status(h) == 200), "{heard:?}");
    let tally = gateway.end();
    assert_eq!(tally.succeeded, 12);
    assert!(
        tally.dispatches > 12,
        "some went to the dead one first: {tally:?}"
    );
}

/// Eight dispatches are out, the peer names the fourth as the last that it looked at and breaks off.
#[test]
fn of_dispatches_at_a_closing_peer_those_above_the_last_stream_alone_go_elsewhere() {
    let stage = TestEnvironment::new(1);
    let streams = Rc::new(RefCell::new(vec![]));
    let seen = streams.clone();
    let closes = scripted(&stage, move |f| {
        if !f.ends_stream() {
            return Next::Say(vec![]);
        }
        let mut seen = seen.borrow_mut();
        seen.push(f.stream);
        match seen.len() {
            1 => Next::Say(answered(f.stream)),
            2..9 => Next::Say(vec![]),
            9 => Next::Break(raw::go_away(seen[4], 0)),
            _ => Next::Say(answered(f.stream)),
        }
    });
    let other = executor(&stage, 1, 0.01);
    let rows = vec![
        row(0, closes, EndpointState::Ready),
        row(1, other.address, EndpointState::Gone),
    ];
    let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
    publisher.delay.set(0.0);
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        NO_ORDERS,
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("first", ACT)).await), 200);
        publisher.change(1, EndpointState::Ready, f64::NEG_INFINITY);
        let asks = (0..16).map(|n| ask(&format!("a{n}"), ACT)).collect();
        all(&stage, &caller, asks).await
    });
    let errored: Vec<_> = heard.iter().filter(|h| status(h) != 200).collect();
    assert_eq!(errored.len(), 4, "those up to the last stream: {heard:?}");
    assert!(errored.iter().all(|h| matches!(
        h,
        ClientOutcome::Answered {
            may_have_run: true,
            ..
        }
    )));
    assert!(
        streams.borrow().len() >= 9,
        "eight were out beside the first"
    );
    let tally = gateway.end();
    assert_eq!(tally.succeeded, 13);
    assert!(
        tally.dispatches >= 17 + 4,
        "each of the other four went once more: {tally:?}"
    );
}

#[test]
fn a_refused_stream_is_proof_and_another_reset_is_none() {
    for (code, expected) in [(raw::REFUSED_STREAM, 200), (8, 502)] {
        let stage = TestEnvironment::new(1);
        let resets = scripted(&stage, move |f| {
            Next::Say(if f.ends_stream() {
                raw::reset(f.stream, code)
            } else {
                vec![]
            })
        });
        let other = executor(&stage, 1, 0.01);
        let rows = vec![
            row(0, resets, EndpointState::Ready),
            row(1, other.address, EndpointState::Gone),
        ];
        let publisher = Publisher::start(&stage, unused_address(), rows).unwrap();
        let gateway = gateway(description(
            &format!("publisher: \"{}\"", publisher.address),
            NO_ORDERS,
        ));
        let caller = TestClient::new(&stage, 0, 0, gateway.at, true);
        let heard = on(&stage, async {
            // The second executor appears once the first has answered.
            let invoked = stage.spawn({
                let caller = caller.clone();
                async move { caller.invoke(&ask("a", ACT)).await }
            });
            stage.sleep(0.4).await;
            publisher.change(1, EndpointState::Ready, f64::NEG_INFINITY);
            invoked.await
        });
        assert_eq!(status(&heard), expected, "code {code}: {heard:?}");
        gateway.end();
    }
}

#[test]
fn an_executor_that_stops_reading_blocks_no_other() {
    let stage = TestEnvironment::new(1);
    let deaf = scripted(&stage, |_| Next::StopReading);
    let one = executor(&stage, 0, 0.01);
    let more = [1, 2].map(|n| executor(&stage, n, 0.01).address);
    let text = description(&listed(&[deaf, one.address, more[0], more[1]]), NO_ORDERS);
    let gateway = gateway(text.replace("objective: \"2s\"", "objective: \"300ms\""));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    let heard = on(&stage, async {
        let payload = Bytes::from(vec![7; 100_000]);
        let asks = (0..40)
            .map(|n| ClientRequest {
                function: format!("f{}", n % 10),
                payload: payload.clone(),
                ..ask(&format!("a{n}"), LOOK)
            })
            .collect();
        let heard = all(&stage, &caller, asks).await;
        // Once it is known to be silent nothing waits for it.
        let later = stage.now();
        let asks = (0..20)
            .map(|n| ClientRequest {
                function: format!("g{n}"),
                time_left: 1.5,
                ..ask(&format!("b{n}"), LOOK)
            })
            .collect();
        let after = all(&stage, &caller, asks).await;
        // One at a time is still tried there.
        let well = after.iter().filter(|h| status(h) == 200).count();
        assert!(well >= 10, "{well} of 20: {after:?}");
        assert!(
            stage.now() - later < 2.0,
            "they took {} s",
            stage.now() - later
        );
        heard
    });
    let succeeded = heard.iter().filter(|h| status(h) == 200).count();
    assert!(succeeded >= 20, "{succeeded} of 40 succeeded");
    gateway.end();
}

#[test]
fn bytes_that_are_no_messages_close_their_connection_alone() {
    let stage = TestEnvironment::new(1);
    // A peer agrees to settings once on a connection.
    let opened = [(); 2].map(|()| Rc::new(Cell::new(0)));
    let count = |opened: &Cell<usize>, f: &raw::Frame| {
        opened.set(opened.get() + usize::from(f.kind == Kind::Settings));
    };
    let [one, two] = opened.clone();
    let garbage = scripted(&stage, move |f| {
        count(&one, f);
        if f.kind == Kind::Headers {
            Next::Say(vec![0xff; 300])
        } else {
            Next::Say(vec![])
        }
    });
    let wrong = scripted(&stage, move |f| {
        count(&two, f);
        // An answer whose message runs past its end.
        let bytes = [
            raw::ok(f.stream),
            raw::data(f.stream, &[0, 0, 0, 2, 0x0a, 0xff], true),
        ]
        .concat();
        Next::Say(if f.ends_stream() { bytes } else { vec![] })
    });
    let one = executor(&stage, 0, 0.01);
    // In locations of their own: where two of one broke, the module takes the rest of it for as cold.
    let more = [1, 2].map(|n| executor(&stage, n, 0.01).address);
    let five = [
        (garbage, "a"),
        (wrong, "b"),
        (one.address, "c"),
        (more[0], "d"),
        (more[1], "e"),
    ];
    let list = five
        .map(|(at, place)| format!("{{ address: \"{at}\", location: \"{place}\" }}"))
        .join(", ");
    let more = format!("locations: [\"a\", \"b\", \"c\", \"d\", \"e\"], {NO_ORDERS}");
    let gateway = gateway(description(&format!("list: [{list}]"), &more));
    on(&stage, async {
        let mut preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        preface.extend(raw::settings());
        // Headers of one stream id, sent twice: the second is a fault of the whole connection.
        let path = b"/v1/functions/f/invocations";
        let mut headers = vec![0x83, 0x86, 0x04, path.len() as u8];
        headers.extend(path);
        headers.extend([0x01, 1, b'x']);
        let mut frame = (headers.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([1, 5, 0, 0, 0, 1]);
        frame.extend(&headers);
        let twice = [preface.clone(), frame.clone(), frame].concat();
        let mut long = b"POST /v1/functions/f/invocations HTTP/1.1\r\nhost: x\r\nlong: ".to_vec();
        long.resize(200_000, b'a');
        let nonsense = [preface, vec![0xff; 200]].concat();
        for bytes in [
            twice,
            long,
            nonsense,
            b"\x00\x01\x02 nonsense\r\n\r\n".to_vec(),
        ] {
            let mut socket = Async::<TcpStream>::connect(gateway.at).await.unwrap();
            // It may be cut off while it still writes.
            let _ = socket.write_all(&bytes).await;
            let mut rest = vec![];
            let closed = orchidtally_socket_io::with_timeout(
                std::time::Duration::from_secs(3),
                socket.read_to_end(&mut rest),
            );
            assert!(closed.await.is_some(), "the connection is closed");
        }
        assert_eq!(
            gateway.log.lines_with("connection closed"),
            4,
            "a line for each"
        );
        let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
        // Where both executors drawn for a function are bad it may fail; which are drawn hangs on their ports.
        for (round, least) in [("a", 18), ("b", 18)] {
            let asks = (0..30)
                .map(|n| ClientRequest {
                    function: format!("{round}{n}"),
                    ..ask(&format!("{round}{n}"), LOOK)
                })
                .collect();
            let heard = all(&stage, &caller, asks).await;
            let well = heard.iter().filter(|h| status(h) == 200).count();
            assert!(well >= least, "{well} of 30 in round {round}: {heard:?}");
        }
        stage.sleep(0.1).await;
        for (executor, opened) in [garbage, wrong].iter().zip(&opened) {
            let lines = gateway.log.lines_with(&format!("executor={executor}"));
            assert!(
                (1..=opened.get()).contains(&lines),
                "{lines} for {} connections",
                opened.get()
            );
        }
    });
    gateway.end();
}

#[test]
fn a_replacement_at_the_same_address_has_none_of_the_copies_of_the_one_before() {
    let stage = TestEnvironment::new(1);
    let one = executor(&stage, 0, 0.15);
    let publisher = Publisher::start(
        &stage,
        unused_address(),
        vec![row(0, one.address, EndpointState::Ready)],
    )
    .unwrap();
    publisher.delay.set(0.0);
    let soon_warm = "safety: { cold: \"50ms\", fall: \"10ms\" }";
    let gateway = gateway(description(
        &format!("publisher: \"{}\"", publisher.address),
        soon_warm,
    ));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        assert_eq!(status(&caller.invoke(&ask("first", ACT)).await), 200);
        let out = all(
            &stage,
            &caller,
            (0..5).map(|n| ask(&format!("a{n}"), ACT)).collect(),
        );
        let replace = async {
            stage.sleep(0.003).await;
            one.crash();
            let loads_before = one.store.fetched.get();
            publisher.change(0, EndpointState::Gone, f64::NEG_INFINITY);
            stage.sleep(0.3).await;
            one.restart().unwrap();
            publisher.change(0, EndpointState::Ready, one.started_at());
            stage.sleep(0.1).await;
            loads_before
        };
        let (heard, loads_before) = futures_lite::future::zip(out, replace).await;
        assert!(
            heard.iter().all(|h| [200, 502, 503].contains(&status(h))),
            "{heard:?}"
        );
        let after = all(
            &stage,
            &caller,
            (0..10).map(|n| ask(&format!("b{n}"), ACT)).collect(),
        )
        .await;
        assert!(after.iter().all(|h| status(h) == 200), "{after:?}");
        // On a busy machine some of the first five wait for the replacement, and one of them may load the copy.
        let loads = one.store.fetched.get() - loads_before;
        assert_eq!(
            loads, 1,
            "the replacement loaded its copy once, for all that came to it"
        );
    });
    let mut ran: Vec<_> = (stage.records().iter())
        .filter_map(|r| {
            if let TrafficRecord::ExecutionStarted { invocation, .. } = r {
                Some(invocation.clone())
            } else {
                None
            }
        })
        .collect();
    ran.sort();
    let all = ran.len();
    ran.dedup();
    assert_eq!(ran.len(), all, "no effect twice");
    gateway.end();
}
