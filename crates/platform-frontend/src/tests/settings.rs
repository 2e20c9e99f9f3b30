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
    fields.extend(customer.map(|c| ("project", c)));
    let mut out = vec![];
    frames::write_frame(&mut out, frames::INVOKE, 1, None, Some(&fields), b"body");
    out.split_off(9)
}

/// The index of the customer that an invocation is of, or what its client is told.
fn customer_of(stage: &Stage, payload: &[u8]) -> Result<usize, String> {
    let origin = InvocationOrigin {
        arrived_at: 1.0,
        client: 0,
        stream: 1,
    };
    let host = &stage.event_loop.host;
    let is_open = |id: &str| host.invocations.contains_client_invocation_id(id);
    parse_invocation(&stage.event_loop.settings, origin, payload, is_open)
        .map(|parsed| parsed.request.customer)
        .map_err(|error| error.to_string())
}

/// Every invocation was the first customer's, so that its share was used up by all of them.
#[test]
fn an_invocation_is_of_the_customer_that_it_names() {
    let customer = |name: &str, quota: f64| json!({"name": name, "quotaRps": quota});
    let stage = Stage::new(1, 128, |s| {
        s["customers"] = json!([customer("a", 1.0), customer("b.x-1", 2.0)])
    });
    let of = |name| customer_of(&stage, &payload(name));
    assert_eq!((of(Some("a")), of(Some("b.x-1"))), (Ok(0), Ok(1)));
    assert_eq!(of(None), Ok(2), "it takes of nobody's share");
    assert_eq!(of(Some("c")), Err("'project' names no customer".to_owned()));
    let stage = Stage::new(1, 128, |_| {});
    assert_eq!(
        customer_of(&stage, &payload(Some("c"))),
        Ok(0),
        "none has a share"
    );
}

/// Two deployments in one process, whichever comes first, decide as each does alone.
#[test]
fn two_deployments_in_one_process_decide_as_each_does_alone() {
    let short = |s: &mut Value| {
        s["classes"] = json!([class("read", "pure"), class("other", "side_effect")]);
        s["classes"][0]["aim"] = 2e8.into();
        s["classes"][0]["deadline"] = 4e8.into();
        s["limits"]["maxAttempts"] = 1.into();
        s["limits"]["cancel"] = false.into();
        s["specifics"]["loadControl"] = false.into();
    };
    // What is decided on an invocation that nobody answers, and how long it may take.
    let told = |stage: &mut Stage| {
        let mut client = stage.client();
        client
            .write_all(&invocation(1, &id(1), "read"))
            .expect("it stands");
        stage.dispatched(&id(1));
        let work = stage
            .event_loop
            .host
            .invocations
            .iter()
            .next()
            .expect("it is open");
        let left = work.timeout_at - stage.event_loop.read_clock();
        (
            stage.peers.iter().map(|p| p.orders).sum::<usize>(),
            left < 0.5,
        )
    };
    let calm = |_: &mut Value| {};
    let alone = [
        told(&mut Stage::new(2, 128, calm)),
        told(&mut Stage::new(2, 128, short)),
    ];
    assert_eq!(alone, [(1, false), (0, true)]);
    for first_is_calm in [true, false] {
        let (mut a, mut b) = match first_is_calm {
            true => (Stage::new(2, 128, calm), Stage::new(2, 128, short)),
            false => (Stage::new(2, 128, short), Stage::new(2, 128, calm)),
        };
        let both = [told(&mut a), told(&mut b)];
        assert_eq!(
            both,
            if first_is_calm {
                alone
            } else {
                [alone[1], alone[0]]
            }
        );
    }
}

/// What they say of cancels is kept: none is written where they are off, and nothing goes out twice at once.
#[test]
fn where_cancels_are_off_none_is_written() {
    let mut stage = Stage::new(1, 128, |s| {
        s["limits"]["cancel"] = false.into();
        s["specifics"]["loadControl"] = false.into();
        s["classes"][0]["deadline"] = 3e8.into();
    });
    let mut client = stage.client();
    let (x, _) = stage.out(&mut client, 1, "read");
    let mut answers = vec![];
    stage.until("answered", |_| {
        answers.extend(got(&mut client).0);
        !answers.is_empty()
    });
    assert_eq!(answers, [(frames::RESPONSE, 1, frames::THROTTLED)]);
    (0..3).for_each(|_| _ = stage.poll_once());
    assert!(stage.peers[x].lines("UNDO", "").is_empty());
}
