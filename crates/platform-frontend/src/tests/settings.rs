//! Settings of one deployment or customer must not affect another.

use super::*;
use crate::invocation_request::{InvocationOrigin, parse_invocation};

/// Encodes the payload of an invocation frame, without its header.
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

/// Returns the index of an invocation's customer, or the error text for its client.
fn parsed_customer(front_end: &TestFrontEnd, payload: &[u8]) -> Result<usize, String> {
    let origin = InvocationOrigin {
        arrived_at: 1.0,
        client: 0,
        stream: 1,
    };
    let host = &front_end.event_loop.host;
    let id_state = |id: &str| host.id_state(id);
    parse_invocation(&front_end.event_loop.settings, origin, payload, id_state)
        .map(|parsed| parsed.request.customer)
        .map_err(|error| error.to_string())
}

/// Guards against counting every invocation for the first customer, which uses up that customer's quota.
#[test]
fn an_invocation_counts_for_the_customer_that_it_names() {
    let customer = |name: &str, quota: f64| json!({"name": name, "quotaRps": quota});
    let front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["customers"] = json!([customer("a", 1.0), customer("b.x-1", 2.0)])
    });
    let customer_index = |name| parsed_customer(&front_end, &payload(name));
    assert_eq!(
        (customer_index(Some("a")), customer_index(Some("b.x-1"))),
        (Ok(0), Ok(1))
    );
    assert_eq!(
        customer_index(None),
        Ok(2),
        "an invocation without a customer counts against no quota"
    );
    assert_eq!(
        customer_index(Some("c")),
        Err("'project' names no customer".to_owned())
    );
    let front_end = TestFrontEnd::new(1, 128, |_| {});
    assert_eq!(
        parsed_customer(&front_end, &payload(Some("c"))),
        Ok(0),
        "no customer is configured"
    );
}

/// Two front ends in one process behave as each does alone, whichever starts first.
#[test]
fn front_ends_with_different_settings_in_one_process_are_independent() {
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
    // The number of load commands for an invocation that no executor answers, and whether its deadline is short.
    let load_commands_and_deadline = |front_end: &mut TestFrontEnd| {
        let mut client = front_end.connect_client();
        client
            .write_all(&invocation_frame(1, &invocation_id(1), "read"))
            .expect("the connection is open");
        front_end.await_dispatch(&invocation_id(1));
        let open_invocation = front_end
            .event_loop
            .host
            .invocations
            .iter()
            .next()
            .expect("the invocation is open");
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
        let (mut first, mut second) = match unchanged_first {
            true => (
                TestFrontEnd::new(2, 128, unchanged_settings),
                TestFrontEnd::new(2, 128, short_deadline_settings),
            ),
            false => (
                TestFrontEnd::new(2, 128, short_deadline_settings),
                TestFrontEnd::new(2, 128, unchanged_settings),
            ),
        };
        let outcomes = [
            load_commands_and_deadline(&mut first),
            load_commands_and_deadline(&mut second),
        ];
        assert_eq!(
            outcomes,
            if unchanged_first {
                expected
            } else {
                [expected[1], expected[0]]
            }
        );
    }
}

/// With cancellation disabled no cancel is written, and an invocation never has two dispatches in flight.
#[test]
fn no_cancel_is_sent_if_cancellation_is_disabled() {
    let mut front_end = TestFrontEnd::new(1, 128, |settings| {
        settings["limits"]["cancel"] = false.into();
        settings["specifics"]["loadControl"] = false.into();
        settings["classes"][0]["deadline"] = 3e8.into();
    });
    let mut client = front_end.connect_client();
    let (executor, _) = front_end.invoke(&mut client, 1, "read");
    let mut responses = vec![];
    front_end.poll_until("the response", |_| {
        responses.extend(read_frames(&mut client).0);
        !responses.is_empty()
    });
    assert_eq!(responses, [(protocol::RESPONSE, 1, protocol::THROTTLED)]);
    (0..3).for_each(|_| _ = front_end.poll_once());
    assert!(
        front_end.executors[executor]
            .lines_received("UNDO", "")
            .is_empty()
    );
}
