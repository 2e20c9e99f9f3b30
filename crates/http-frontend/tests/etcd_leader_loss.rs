//! A front end that follows etcd through a member that has lost its leader: what such a member tells stands still.

mod gateway_kit;

use bytes::Bytes;
use gateway_kit::front_end_kit::executors_of;
use gateway_kit::{LOOK, ask, description, executor, gateway, on, status};
use orchidtally_etcd::rpc::PutRequest;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::Executor;
use std::rc::Rc;

/// For so long a front end may follow a member without a leader, in seconds.
const FAILS_OVER_WITHIN: f64 = 3.0;

fn put(etcd: &EtcdServer, executor: &Executor, standing: &str) {
    let key = format!("/orchidtally/executors/{}", executor.address).into();
    let value = Bytes::from(format!(r#"{{"standing":"{standing}","since":1}}"#));
    etcd.store
        .borrow_mut()
        .put(&PutRequest {
            key,
            value,
            ..PutRequest::default()
        })
        .unwrap();
}

async fn invoke_some(caller: &Rc<TestClient>, label: &str) {
    for n in 0..24 {
        let asked = ClientRequest {
            function: format!("f{}", n % 8),
            ..ask(&format!("{label}-{n}"), LOOK)
        };
        assert_eq!(status(&caller.invoke(&asked).await), 200);
    }
}

#[test]
fn a_drain_is_heard_of_though_the_followed_member_has_lost_its_leader() {
    let stage = TestEnvironment::new(1);
    let etcd = EtcdServer::start_in_regions(&stage, &[0, 1, 2]).unwrap();
    let executors: Vec<_> = (0..2).map(|n| executor(&stage, n, 0.01)).collect();
    executors
        .iter()
        .for_each(|executor| put(&etcd, executor, "ready"));
    let endpoints: Vec<String> = etcd.addresses.iter().map(|a| format!("\"{a}\"")).collect();
    let source = format!(
        "etcd: {{ endpoints: [{}], lease: \"2s\" }}",
        endpoints.join(", ")
    );
    let gateway = gateway(description(&source, ""));
    let caller = TestClient::new(&stage, 0, 0, gateway.at, false);
    on(&stage, async {
        stage.sleep(1.0).await;
        invoke_some(&caller, "before").await;
        assert_eq!(executors_of(&stage, "before"), [0, 1], "both serve");
        for region in 0..3 {
            // Whichever member it follows, one of these cuts parts that from its leader.
            etcd.cut(region);
            stage.sleep(1.5).await;
            let drains = region as usize % 2;
            put(&etcd, &executors[drains], "draining");
            put(&etcd, &executors[1 - drains], "ready");
            stage.sleep(FAILS_OVER_WITHIN).await;
            let label = format!("cut-{region}");
            invoke_some(&caller, &label).await;
            assert_eq!(
                executors_of(&stage, &label),
                [1 - drains],
                "cut {region}: one drains"
            );
            etcd.heal();
            stage.sleep(1.0).await;
        }
    });
    gateway.end();
}
