//! Tests a front end that follows etcd through a member that has lost its leader. Such a member answers, but its data
//! does not change any more.

mod gateway_kit;

use bytes::Bytes;
use gateway_kit::front_end_kit::executors_of;
use gateway_kit::{IDEMPOTENT, deployment_text, executor, gateway, request, run, status};
use orchidtally_etcd::rpc::PutRequest;
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::etcd::EtcdServer;
use orchidtally_test_servers::executor::Executor;
use std::rc::Rc;

/// The maximum time in seconds for which a front end may follow a member without a leader.
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

async fn invoke_some(client: &Rc<TestClient>, label: &str) {
    for n in 0..24 {
        let request = ClientRequest {
            function: format!("f{}", n % 8),
            ..request(&format!("{label}-{n}"), IDEMPOTENT)
        };
        assert_eq!(status(&client.invoke(&request).await), 200);
    }
}

#[test]
fn a_drain_takes_effect_although_the_followed_member_has_lost_its_leader() {
    let environment = TestEnvironment::new(1);
    let etcd = EtcdServer::start_in_regions(&environment, &[0, 1, 2]).unwrap();
    let executors: Vec<_> = (0..2).map(|n| executor(&environment, n, 0.01)).collect();
    executors
        .iter()
        .for_each(|executor| put(&etcd, executor, "ready"));
    let endpoints: Vec<String> = etcd.addresses.iter().map(|a| format!("\"{a}\"")).collect();
    let source = format!(
        "etcd: {{ endpoints: [{}], lease: \"2s\" }}",
        endpoints.join(", ")
    );
    let gateway = gateway(deployment_text(&source, ""));
    let client = TestClient::new(&environment, 0, 0, gateway.address, false);
    run(&environment, async {
        environment.sleep(1.0).await;
        invoke_some(&client, "before").await;
        assert_eq!(executors_of(&environment, "before"), [0, 1], "both serve");
        for region in 0..3 {
            // Whichever member the front end follows, one of these partitions separates it from its leader.
            etcd.cut(region);
            environment.sleep(1.5).await;
            let drains = region as usize % 2;
            put(&etcd, &executors[drains], "draining");
            put(&etcd, &executors[1 - drains], "ready");
            environment.sleep(FAILS_OVER_WITHIN).await;
            let label = format!("cut-{region}");
            invoke_some(&client, &label).await;
            assert_eq!(
                executors_of(&environment, &label),
                [1 - drains],
                "partition of region {region}: one executor drains"
            );
            etcd.heal();
            environment.sleep(1.0).await;
        }
    });
    gateway.end();
}
