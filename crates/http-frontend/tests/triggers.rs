//! Tests of MQTT triggers on sockets, with a front end, executors, and a test broker that injects faults.

mod trigger_kit;

use bytes::Bytes;
use futures_lite::future::FutureExt;
use futures_rustls::TlsAcceptor;
use futures_rustls::pki_types::PrivateKeyDer;
use futures_rustls::rustls::ServerConfig;
use orchidtally_http_frontend::mqtt::MessageTriggers;
use orchidtally_test_servers::broker::{ByteStream, StreamWrapper};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use trigger_kit::front_end_kit::FrontEndThread;
use trigger_kit::{TestBed, gateway, run, temp_dir, test_bed};

fn succeeded(payload: &str) -> (String, String) {
    ("succeeded".into(), payload.into())
}

type Identity = (rcgen::Certificate, rcgen::KeyPair);

fn identity() -> Identity {
    let certified_key = rcgen::generate_simple_self_signed(vec!["broker.test".into()]).unwrap();
    (certified_key.cert, certified_key.signing_key)
}

#[test]
fn tls_certificates_are_read_again_for_each_connection() {
    let at = temp_dir("tls");
    let current: Rc<RefCell<Identity>> = Rc::new(RefCell::new(identity()));
    let (pem, broker_identity) = (at.join("authorities.pem"), current.clone());
    std::fs::write(&pem, current.borrow().0.pem()).unwrap();
    let wrap: StreamWrapper = Rc::new(move |stream| {
        let (chain, key) = {
            let identity = broker_identity.borrow();
            let key = PrivateKeyDer::Pkcs8(identity.1.serialize_der().into());
            (vec![identity.0.der().clone()], key)
        };
        async move {
            let config = ServerConfig::builder()
                .with_no_client_auth()
                .with_single_cert(chain, key)
                .ok()?;
            let tls_stream = TlsAcceptor::from(Arc::new(config))
                .accept(stream)
                .await
                .ok()?;
            Some(Box::new(tls_stream) as Box<dyn ByteStream>)
        }
        .boxed_local()
    });
    let tls = format!(
        r#"tls: {{ authorities: "{}", name: "broker.test" }},"#,
        pem.display()
    );
    let test_bed = test_bed(&at, "5", &tls, Some(wrap));
    let gateway = gateway(&test_bed.text);
    run(&test_bed.environment, async {
        test_bed.environment.sleep(0.3).await;
        test_bed.publish("act/1", "warm");
        assert_eq!(test_bed.answer("done/1").await, succeeded("warm"));
        // The broker gets another certificate, which is not trusted until the file contains it.
        *current.borrow_mut() = identity();
        test_bed.broker.reset_all_connections();
        test_bed.publish("act/2", "warmer");
        test_bed.environment.sleep(0.8).await;
        assert!(
            test_bed.answers("done/2").is_empty(),
            "a message was consumed from an untrusted broker"
        );
        std::fs::write(&pem, current.borrow().0.pem()).unwrap();
        assert_eq!(test_bed.answer("done/2").await, succeeded("warmer"));
        // A change of the files closes the current connection.
        let before = test_bed.broker.accepted_connections();
        test_bed.environment.sleep(0.05).await;
        std::fs::write(&pem, current.borrow().0.pem()).unwrap();
        while test_bed.broker.accepted_connections() == before {
            test_bed.environment.sleep(0.05).await;
        }
        test_bed.publish("act/3", "again");
        assert_eq!(test_bed.answer("done/3").await, succeeded("again"));
    });
    gateway.end();
}

#[test]
fn the_front_end_reconnects_after_each_kind_of_broker_fault() {
    let at = temp_dir("faults");
    let test_bed = test_bed(&at, "5", "", None);
    let gateway = gateway(&test_bed.text);
    let mut n = 0;
    let mut check_message = async |test_bed: &TestBed| {
        n += 1;
        test_bed.environment.sleep(0.3).await;
        test_bed.publish(&format!("act/{n}"), "x");
        assert_eq!(test_bed.answer(&format!("done/{n}")).await, succeeded("x"));
    };
    run(&test_bed.environment, async {
        check_message(&test_bed).await;
        // CONNACK reason codes: server unavailable, and banned or not authorized.
        test_bed
            .broker
            .broker
            .borrow_mut()
            .faults
            .connect_refusals
            .extend([0x88, 0x87]);
        test_bed.broker.reset_all_connections();
        check_message(&test_bed).await;
        assert!(
            test_bed
                .broker
                .broker
                .borrow()
                .faults
                .connect_refusals
                .is_empty()
        );
        test_bed.broker.sends_malformed.set(true);
        test_bed.broker.reset_all_connections();
        check_message(&test_bed).await;
        assert!(!test_bed.broker.sends_malformed.get());
        // The broker does not answer a ping for longer than half of the keep alive.
        test_bed
            .broker
            .stalled
            .activate_until(test_bed.environment.now() + 2.5);
        check_message(&test_bed).await;
        test_bed.broker.restart(0.2, false).await.unwrap();
        test_bed.environment.sleep(1.0).await;
        check_message(&test_bed).await;
    });
    assert_eq!(
        test_bed.runs(),
        5,
        "each message has to be executed exactly once"
    );
    gateway.end();
}

#[test]
fn a_message_that_can_never_be_invoked_becomes_a_dead_letter_and_is_answered() {
    let at = temp_dir("aside");
    let test_bed = test_bed(&at, "5", "", None);
    let gateway = gateway(&test_bed.text);
    run(&test_bed.environment, async {
        test_bed.environment.sleep(0.3).await;
        test_bed.publish("look/1", "no json");
        let (outcome, body) = test_bed.answer("done/1").await;
        assert!(
            outcome == "setAside" && body.contains("not JSON"),
            "{outcome} {body}"
        );
        assert_eq!(test_bed.answer("aside").await.1, "no json");
        test_bed.publish("look/2", "{}");
        assert_eq!(test_bed.answer("done/2").await, succeeded("{}"));
    });
    assert_eq!(test_bed.runs(), 1);
    gateway.end();
}

#[test]
fn answers_in_version_3_1_1_have_their_outcome_in_the_payload() {
    let at = temp_dir("v311");
    let test_bed = test_bed(&at, "3.1.1", "", None);
    let gateway = gateway(&test_bed.text);
    run(&test_bed.environment, async {
        test_bed.environment.sleep(0.3).await;
        test_bed.publish("act/1", "warm");
        let (_, body) = test_bed.answer("done/1").await;
        let body: serde_json::Value = serde_json::from_str(&body).unwrap();
        assert_eq!(
            (&body["outcome"], &body["payload"]),
            (&"succeeded".into(), &"warm".into())
        );
    });
    gateway.end();
}

#[test]
fn a_locked_or_unreadable_journal_is_rejected() {
    let at = temp_dir("damaged");
    let test_bed = test_bed(&at, "5", "", None);
    let (_, section) = orchidtally_mqtt_triggers::read(&test_bed.text).unwrap();
    let section = section.unwrap();
    let open = || {
        MessageTriggers::open(section.clone(), 0)
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    open().unwrap();
    let (mut journal, _) = orchidtally_journal::Journal::open(&section.journal_dir(0)).unwrap();
    journal.append(b"{\"what\":\"nothing known\"}").unwrap();
    assert!(open().unwrap_err().contains("another process has it open"));
    drop(journal);
    assert!(
        open().unwrap_err().contains("an entry can't be read"),
        "an unreadable entry must not be skipped"
    );
}

#[test]
fn a_journalled_invocation_never_runs_again_under_its_name() {
    let at = temp_dir("promises");
    let test_bed = test_bed(&at, "5", "", None);
    // The journal of a front end that crashed with the dispatch of "lost" in flight.
    let journal_dir = at.join("promises-0");
    let (mut journal, _) = orchidtally_journal::Journal::open(&journal_dir).unwrap();
    journal
        .append(br#"{"promise":"taken","name":"lost","at":999999999.0}"#)
        .unwrap();
    drop(journal);
    let invoke = async |gateway: &FrontEndThread, name: &str, payload: &'static str| {
        let client = TestClient::new(&test_bed.environment, 0, 0, gateway.address, true);
        let request = ClientRequest {
            invocation: name.into(),
            function: "mist".into(),
            trigger_type: (0, "act".into()),
            timeout: 4.0,
            payload: payload.into(),
            ..ClientRequest::default()
        };
        match client.invoke(&request).await {
            ClientOutcome::Answered { status, body, .. } => {
                (status, String::from_utf8_lossy(&body).into_owned())
            }
            other => panic!("{other:?}"),
        }
    };
    let first = gateway(&test_bed.text);
    run(&test_bed.environment, async {
        test_bed.environment.sleep(0.2).await;
        assert_eq!(invoke(&first, "one", "a").await, (200, "a".into()));
        assert_eq!(
            invoke(&first, "one", "b").await,
            (200, "a".into()),
            "the first answer is repeated"
        );
        let (status, body) = invoke(&first, "lost", "c").await;
        assert!(
            status == 500 && body.contains("unknown outcome"),
            "{status} {body}"
        );
    });
    first.end();
    let second = gateway(&test_bed.text);
    run(&test_bed.environment, async {
        assert_eq!(
            invoke(&second, "one", "d").await,
            (200, "a".into()),
            "the answer survives a restart of the front end"
        );
        assert_eq!(invoke(&second, "two", "e").await, (200, "e".into()));
        let time = std::time::Duration::from_secs(2);
        let known = async |name: &str| {
            let path = format!("/v1/invocations/{name}");
            orchidtally_socket_io::http::fetch(
                second.address,
                http::Method::GET,
                &path,
                vec![],
                time,
            )
            .await
            .unwrap()
        };
        assert_eq!(
            known("one").await,
            (http::StatusCode::OK, Bytes::from_static(b"a"))
        );
        assert_eq!(
            known("lost").await.0,
            http::StatusCode::INTERNAL_SERVER_ERROR
        );
        assert_eq!(known("three").await.0, http::StatusCode::NOT_FOUND);
    });
    second.end();
    assert_eq!(test_bed.runs(), 2);
}
