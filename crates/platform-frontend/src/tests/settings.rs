//! Settings of one deployment, and of one customer, that must not bleed into another's.

use super::*;
use crate::invocation_request::{InvocationOrigin, parse_invocation};

fn payload(customer: Option<&str>) -> Vec<u8> {
    let mut fields = vec![
        ("service", "read"),
        ("ref", "00000000000000aa"),
        ("allow", "3500"),
        ("lookup", "0000000000000001"),
        ("tags", "memory_mb:512;lanes:8;load_ms:20"),
    ];
    fields.extend(customer.map(|name| ("project", name)));
    let mut out = vec![];
    protocol::write_frame(&mut out, protocol::INVOKE, 1, None, Some(&fields), b"body");
    out.split_off(9)
}

/// The index of the customer that an invocation is of, or what its client is told.
fn parsed_customer(front_end: &TestFrontEnd, payload: &[u8]) -> Result<usize, String> {
    let origin = InvocationOrigin {
        arrived_at: 1.0,
        client: 0,
        stream: 1,
    };
    let host = &front_end.event_loop.host;
    let is_open = |id: &str| host.invocations.contains_client_invocation_id(id);
    parse_invocation(&front_end.event_loop.settings, origin, payload, is_open)
        .map(|parsed| parsed.request.customer)
        .map_err(|error| error.to_string())
}

/// Every invocation was the first customer's, so that its share was used up by all of them.
#[test]
fn an_invocation_is_of_the_customer_that_it_names() {
    let customer = |name: &str, quota: f64| json!({"name": name, "quotaRps": quota});
    let front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["customers"] = json!([customer("a", 1.0), customer("b.x-1", 2.0)])
    });
    let customer_index = |name| parsed_customer(&front_end, &payload(name));
    assert_eq!(
        (customer_index(Some("a")), customer_index(Some("b.x-1"))),
        (Ok(0), Ok(1))
    );
    assert_eq!(customer_index(None), Ok(2), "it takes of nobody's share");
    assert_eq!(
        customer_index(Some("c")),
        Err("'project' names no customer".to_owned())
    );
    let front_end = TestFrontEnd::new(1, 128, |_| {});
    assert_eq!(
        parsed_customer(&front_end, &payload(Some("c"))),
        Ok(0),
        "none has a share"
    );
}

/// Two deployments in one process, whichever comes first, decide as each does alone.
#[test]
fn two_deployments_in_one_process_decide_as_each_does_alone() {
    let short_deadline_settings = |settings: &mut Value| {
        settings["classes"] = json!([
            trigger_type("read", "pure"),
            trigger_type("other", "side_effect")
        ]);
        settings["classes"][0]["aim"] = 2e8.into();
        settings["classes"][0]["deadline"] = 4e8.into();
        settings["limits"]["maxAttempts"] = 1.into();
        settings["limits"]["cancel"] = false.into();
        settings["specifics"]["loadControl"] = false.into();
    };
    // What is decided on an invocation that nobody answers, and how long it may take.
    let load_commands_and_deadline = |front_end: &mut TestFrontEnd| {
        let mut client = front_end.connect_client();
        client
            .write_all(&invocation_frame(1, &invocation_id(1), "read"))
            .expect("it stands");
        front_end.await_dispatch(&invocation_id(1));
        let open_invocation = front_end
            .event_loop
            .host
            .invocations
            .iter()
            .next()
            .expect("it is open");
        let time_left = open_invocation.timeout_at - front_end.event_loop.read_clock();
        (
            front_end
                .executors
                .iter()
                .map(|executor| executor.load_commands_answered)
                .sum::<usize>(),
            time_left < 0.5,
        )
    };
    let unchanged_settings = |_: &mut Value| {};
    let expected = [
        load_commands_and_deadline(&mut TestFrontEnd::new(2, 128, unchanged_settings)),
        load_commands_and_deadline(&mut TestFrontEnd::new(2, 128, short_deadline_settings)),
    ];
    assert_eq!(expected, [(1, false), (0, true)]);
    for unchanged_first in [true, false] {
        let (mut a, mut b) = match unchanged_first {
            true => (
                TestFrontEnd::new(2, 128, unchanged_settings),
                TestFrontEnd::new(2, 128, short_deadline_settings),
            ),
            false => (
                TestFrontEnd::new(2, 128, short_deadline_settings),
                TestFrontEnd::new(2, 128, unchanged_settings),
            ),
        };
        let both = [
            load_commands_and_deadline(&mut a),
            load_commands_and_deadline(&mut b),
        ];
        assert_eq!(
            both,
            if unchanged_first {
                expected
            } else {
                [expected[1], expected[0]]
            }
        );
    }
}

/// What they say of cancels is kept: none is written where they are off, and nothing goes out twice at once.
#[test]
fn where_cancels_are_off_none_is_written() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["limits"]["cancel"] = false.into();
        settings["specifics"]["loadControl"] = false.into();
        settings["classes"][0]["deadline"] = 3e8.into();
    });
    let mut client = front_end.connect_client();
    let (executor, _) = front_end.invoke(&mut client, 1, "read");
    let mut answers = vec![];
    front_end.poll_until("answered", |_| {
        answers.extend(read_frames(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(protocol::RESPONSE, 1, protocol::THROTTLED)]);
    (0..3).for_each(|_| _ = front_end.poll_once());
    assert!(
        front_end.executors[executor]
            .lines_received("UNDO", "")
            .is_empty()
    );
}
