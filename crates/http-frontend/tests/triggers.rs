//! Triggers on sockets: a front end, executors, and the broker stand-in with its faults.

mod trigger_kit;

use bytes::Bytes;
use futures_lite::future::FutureExt;
use futures_rustls::TlsAcceptor;
use futures_rustls::pki_types::PrivateKeyDer;
use futures_rustls::rustls::ServerConfig;
use orchidtally_http_frontend::mqtt::Triggers;
use orchidtally_test_servers::broker::{ByteStream, StreamWrapper};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use trigger_kit::front_end_kit::FrontEndThread;
use trigger_kit::{World, folder, gateway, on, world};

fn succeeded(payload: &str) -> (String, String) {
    ("succeeded".into(), payload.into())
}

type Identity = (rcgen::Certificate, rcgen::KeyPair);

fn identity() -> Identity {
    let made = rcgen::generate_simple_self_signed(vec!["broker.test".into()]).unwrap();
    (made.cert, made.signing_key)
}

#[test]
fn messages_are_answered_over_tls_whose_certificates_are_read_for_each_connection() {
    let at = folder("tls");
    let current: Rc<RefCell<Identity>> = Rc::new(RefCell::new(identity()));
    let (pem, mine) = (at.join("authorities.pem"), current.clone());
    std::fs::write(&pem, current.borrow().0.pem()).unwrap();
    let wrap: StreamWrapper = Rc::new(move |stream| {
        let (chain, key) = {
            let identity = mine.borrow();
            let key = PrivateKeyDer::Pkcs8(identity.1.serialize_der().into());
            (vec![identity.0.der().clone()], key)
        };
        async move {
            let config = ServerConfig::builder()
                .with_no_client_auth()
                .with_single_cert(chain, key)
                .ok()?;
            let shaken = TlsAcceptor::from(Arc::new(config))
                .accept(stream)
                .await
                .ok()?;
            Some(Box::new(shaken) as Box<dyn ByteStream>)
        }
        .boxed_local()
    });
    let tls = format!(
        r#"tls: {{ authorities: "{}", name: "broker.test" }},"#,
        pem.display()
    );
    let w = world(&at, "5", &tls, Some(wrap));
    let gateway = gateway(&w.text);
    on(&w.stage, async {
        w.stage.sleep(0.3).await;
        w.publish("act/1", "warm");
        assert_eq!(w.answer("done/1").await, succeeded("warm"));
        // The broker gets another certificate: it is not believed until the file has it.
        *current.borrow_mut() = identity();
        w.broker.reset_all_connections();
        w.publish("act/2", "warmer");
        w.stage.sleep(0.8).await;
        assert!(
            w.answers("done/2").is_empty(),
            "nobody speaks to a broker that isn't known"
        );
        std::fs::write(&pem, current.borrow().0.pem()).unwrap();
        assert_eq!(w.answer("done/2").await, succeeded("warmer"));
        // Files that change end the connection that stands.
        let before = w.broker.accepted_connections();
        w.stage.sleep(0.05).await;
        std::fs::write(&pem, current.borrow().0.pem()).unwrap();
        while w.broker.accepted_connections() == before {
            w.stage.sleep(0.05).await;
        }
        w.publish("act/3", "again");
        assert_eq!(w.answer("done/3").await, succeeded("again"));
    });
    gateway.end();
}

#[test]
fn a_broker_that_refuses_talks_nonsense_is_silent_or_forgets_is_found_again() {
    let at = folder("faults");
    let w = world(&at, "5", "", None);
    let gateway = gateway(&w.text);
    let mut n = 0;
    let mut again = async |w: &World| {
        n += 1;
        w.stage.sleep(0.3).await;
        w.publish(&format!("act/{n}"), "x");
        assert_eq!(w.answer(&format!("done/{n}")).await, succeeded("x"));
    };
    on(&w.stage, async {
        again(&w).await;
        // CONNACK: server unavailable, not authorized.
        w.broker
            .broker
            .borrow_mut()
            .faults
            .connect_refusals
            .extend([0x88, 0x87]);
        w.broker.reset_all_connections();
        again(&w).await;
        assert!(w.broker.broker.borrow().faults.connect_refusals.is_empty());
        w.broker.sends_malformed.set(true);
        w.broker.reset_all_connections();
        again(&w).await;
        assert!(!w.broker.sends_malformed.get());
        // Longer than half of the keep alive without an answer to a ping.
        w.broker.stalled.activate_until(w.stage.now() + 2.5);
        again(&w).await;
        w.broker.restart(0.2, false).await.unwrap();
        w.stage.sleep(1.0).await;
        again(&w).await;
    });
    assert_eq!(w.runs(), 5, "each once");
    gateway.end();
}

#[test]
fn what_can_never_be_invoked_is_set_aside_and_answered_and_old_state_is_left_alone() {
    let at = folder("aside");
    let w = world(&at, "5", "", None);
    let gateway = gateway(&w.text);
    on(&w.stage, async {
        w.stage.sleep(0.3).await;
        w.publish("look/1", "no json");
        let (outcome, told) = w.answer("done/1").await;
        assert!(
            outcome == "setAside" && told.contains("not JSON"),
            "{outcome} {told}"
        );
        assert_eq!(w.answer("aside").await.1, "no json");
        w.publish("look/2", "{}");
        assert_eq!(w.answer("done/2").await, succeeded("{}"));
    });
    assert_eq!(w.runs(), 1);
    gateway.end();
}

#[test]
fn version_3_1_1_has_its_outcomes_in_the_payload() {
    let at = folder("v311");
    let w = world(&at, "3.1.1", "", None);
    let gateway = gateway(&w.text);
    on(&w.stage, async {
        w.stage.sleep(0.3).await;
        w.publish("act/1", "warm");
        let (_, told) = w.answer("done/1").await;
        let told: serde_json::Value = serde_json::from_str(&told).unwrap();
        assert_eq!(
            (&told["outcome"], &told["payload"]),
            (&"succeeded".into(), &"warm".into())
        );
    });
    gateway.end();
}

#[test]
fn a_journal_that_is_damaged_or_not_its_own_is_not_served_from() {
    let at = folder("damaged");
    let w = world(&at, "5", "", None);
    let (_, section) = orchidtally_mqtt_triggers::read(&w.text).unwrap();
    let section = section.unwrap();
    let open = || {
        Triggers::open(section.clone(), 0)
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    open().unwrap();
    let (mut journal, _) = orchidtally_journal::Journal::open(&section.folder(0)).unwrap();
    journal.append(b"{\"what\":\"nothing known\"}").unwrap();
    assert!(open().unwrap_err().contains("another process has it open"));
    drop(journal);
    assert!(
        open().unwrap_err().contains("an entry can't be read"),
        "nothing is skipped in silence"
    );
}

#[test]
fn a_journalled_invocation_never_runs_again_under_its_name() {
    let at = folder("promises");
    let w = world(&at, "5", "", None);
    // As a front end left it that died with this one's dispatch out.
    let left = at.join("promises-0");
    let (mut journal, _) = orchidtally_journal::Journal::open(&left).unwrap();
    journal
        .append(br#"{"promise":"taken","name":"lost","at":999999999.0}"#)
        .unwrap();
    drop(journal);
    let invoke = async |gateway: &FrontEndThread, name: &str, payload: &'static str| {
        let caller = TestClient::new(&w.stage, 0, 0, gateway.at, true);
        let ask = ClientRequest {
            invocation: name.into(),
            function: "mist".into(),
            trigger_type: (0, "act".into()),
            timeout: 4.0,
            payload: payload.into(),
            ..ClientRequest::default()
        };
        match caller.invoke(&ask).await {
            ClientOutcome::Answered { status, body, .. } => {
                (status, String::from_utf8_lossy(&body).into_owned())
            }
            other => panic!("{other:?}"),
        }
    };
    let first = gateway(&w.text);
    on(&w.stage, async {
        w.stage.sleep(0.2).await;
        assert_eq!(invoke(&first, "one", "a").await, (200, "a".into()));
        assert_eq!(
            invoke(&first, "one", "b").await,
            (200, "a".into()),
            "the first answer is said again"
        );
        let (status, told) = invoke(&first, "lost", "c").await;
        assert!(
            status == 500 && told.contains("unknown outcome"),
            "{status} {told}"
        );
    });
    first.end();
    let second = gateway(&w.text);
    on(&w.stage, async {
        assert_eq!(
            invoke(&second, "one", "d").await,
            (200, "a".into()),
            "it outlives the front end"
        );
        assert_eq!(invoke(&second, "two", "e").await, (200, "e".into()));
        let time = std::time::Duration::from_secs(2);
        let known = async |name: &str| {
            let path = format!("/v1/invocations/{name}");
            orchidtally_socket_io::http::fetch(second.at, http::Method::GET, &path, vec![], time)
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
    assert_eq!(w.runs(), 2);
}
