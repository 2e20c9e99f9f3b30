//! Tests of executors and clients that send malformed bytes.

mod gateway_kit;
mod scripted_executor;

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use gateway_kit::{
    IDEMPOTENT, deployment_text, executor, gateway, invoke_all, request, run, status,
};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::raw::{self, FrameKind, ScriptAction};
use scripted_executor::{NO_LOAD_COMMANDS, scripted};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

#[test]
fn malformed_bytes_close_only_their_own_connection() {
    let environment = TestEnvironment::new(1);
    // The SETTINGS frames count the connections, as there is one acknowledgement per connection.
    let opened = [(); 2].map(|()| Rc::new(Cell::new(0)));
    let count = |opened: &Cell<usize>, f: &raw::Frame| {
        opened.set(opened.get() + usize::from(f.kind == FrameKind::Settings));
    };
    let [one, two] = opened.clone();
    let garbage = scripted(&environment, move |f| {
        count(&one, f);
        if f.kind == FrameKind::Headers {
            ScriptAction::Send(vec![0xff; 300])
        } else {
            ScriptAction::Send(vec![])
        }
    });
    let wrong = scripted(&environment, move |f| {
        count(&two, f);
        // A response whose message is longer than its frame.
        let bytes = [
            raw::ok(f.stream),
            raw::data(f.stream, &[0, 0, 0, 2, 0x0a, 0xff], true),
        ]
        .concat();
        ScriptAction::Send(if f.ends_stream() { bytes } else { vec![] })
    });
    let one = executor(&environment, 0, 0.01);
    // Each executor has its own location: after two failures in a location the policy treats the rest of it as cold.
    let more = [1, 2].map(|n| executor(&environment, n, 0.01).address);
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
    let more = format!("locations: [\"a\", \"b\", \"c\", \"d\", \"e\"], {NO_LOAD_COMMANDS}");
    let gateway = gateway(deployment_text(&format!("list: [{list}]"), &more));
    run(&environment, async {
        let mut preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        preface.extend(raw::settings());
        // HEADERS with the same stream id twice: the second frame is a connection error.
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
            let mut socket = Async::<TcpStream>::connect(gateway.address).await.unwrap();
            // The front end may close the connection during the write.
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
            "one line per connection"
        );
        let client = TestClient::new(&environment, 0, 0, gateway.address, false);
        // A function may fail if both executors drawn for it are faulty. Which ones are drawn depends on their ports.
        for (round, minimum) in [("a", 18), ("b", 18)] {
            let requests = (0..30)
                .map(|n| ClientRequest {
                    function: format!("{round}{n}"),
                    ..request(&format!("{round}{n}"), IDEMPOTENT)
                })
                .collect();
            let outcomes = invoke_all(&environment, &client, requests).await;
            let succeeded = outcomes.iter().filter(|h| status(h) == 200).count();
            assert!(
                succeeded >= minimum,
                "{succeeded} of 30 in round {round}: {outcomes:?}"
            );
        }
        environment.sleep(0.1).await;
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
