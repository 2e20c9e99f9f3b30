//! Tests of a cluster of five etcd test members over sockets, with the product's own etcd client: the quorum rule,
//! stopped members, partitioned regions and byte counters.

mod kit;

use futures_lite::future;
use kit::*;
use orchidtally_etcd::rpc::compare::{CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{Client, ClientError, LEASE_GRANT, PUT, TXN, WatchEvent};
use orchidtally_test_servers::etcd::CrashPoint;
use std::time::Duration;

#[test]
fn a_quorum_is_kept_with_two_members_dead_and_lost_with_three() {
    let (environment, server) = cluster(1);
    run_with_timeout(&environment, async {
        let clients: Vec<Client> = server
            .addresses
            .iter()
            .map(|&at| client(&environment, at))
            .collect();
        put(&clients[4], "k", "1").await.unwrap();
        server.stop(0);
        server.stop(2);
        // The leader was stopped too; another one is elected while this request waits.
        let answered = put(&clients[4], "k", "2").await.unwrap();
        assert_eq!(answered.header.unwrap().raft_term, 2);
        assert!(matches!(
            put(&clients[0], "k", "dead").await,
            Err(ClientError::Unreachable(_))
        ));
        server.stop(1);
        for left in [3, 4] {
            assert!(
                is_unavailable(&put(&clients[left], "k", "3").await),
                "member {left}"
            );
            assert!(
                is_unavailable(&get(&clients[left], "k", false).await),
                "member {left}"
            );
            let grant = LeaseGrantRequest { ttl: 5, id: 0 };
            let granted = clients[left]
                .unary::<LeaseGrantResponse>(LEASE_GRANT, &grant, ANSWER_TIME)
                .await;
            assert!(is_unavailable(&granted), "member {left}");
            assert_eq!(
                value(&get(&clients[left], "k", true).await.unwrap()).as_deref(),
                Some("2")
            );
        }
        server.restart(0);
        put(&clients[3], "k", "4").await.unwrap();
        let found = get(&clients[0], "k", false).await.unwrap();
        assert_eq!(
            (value(&found).as_deref(), found.header.unwrap().member_id),
            (Some("4"), 1)
        );
    });
}

#[test]
fn a_region_that_is_cut_off_knows_what_it_knew_and_proves_nothing() {
    let (environment, server) = cluster(2);
    run_with_timeout(&environment, async {
        let near = client(&environment, server.addresses[4]);
        let far = client(&environment, server.addresses[1]);
        let old = revision(put(&far, "p/k", "old").await.unwrap().header);
        let mut watcher = Watcher::begin(&near, "p/", old + 1).await;
        server.cut(2);
        let new = revision(put(&far, "p/k", "new").await.unwrap().header);
        // The partitioned member doesn't learn of a compaction by the others either.
        server.store.borrow_mut().compact(new).unwrap();
        assert_eq!(
            (server.view(4).revision, server.view(4).compacted),
            (old, 0)
        );
        let found = get(&near, "p/k", true).await.unwrap();
        assert_eq!(
            (value(&found).as_deref(), revision(found.header)),
            (Some("old"), old)
        );
        assert!(is_unavailable(&get(&near, "p/k", false).await));
        assert_eq!(watcher.progress().await, old);
        assert_eq!(
            watcher.progress().await,
            old,
            "a repeated request gives the same revision"
        );
        server.heal();
        // It catches up by a snapshot, in which the next revision of this watch is already compacted.
        assert_eq!(
            watcher.next().await,
            [WatchEvent::Compacted { revision: new + 1 }]
        );
        assert_eq!(
            Watcher::begin(&near, "p/", new + 1).await.progress().await,
            new
        );
        assert_eq!(
            value(&get(&near, "p/k", false).await.unwrap()).as_deref(),
            Some("new")
        );
    });
}

#[test]
fn the_larger_part_goes_on_whichever_region_is_cut_off() {
    let (environment, server) = cluster(3);
    run_with_timeout(&environment, async {
        for region in 0..3 {
            server.cut(region);
            for (member, &at) in server.addresses.iter().enumerate() {
                let answered = put(&client(&environment, at), "k", "v").await;
                let is_cut_off = REGIONS[member] == region;
                assert_eq!(
                    answered.is_err(),
                    is_cut_off,
                    "region {region}, member {member}: {answered:?}"
                );
            }
            server.heal();
        }
        // When only two regions lose each other, the leader's side and the third region can still write.
        server.cut_between(0, 1);
        let can_write = async |member: usize| {
            put(&client(&environment, server.addresses[member]), "k", "v")
                .await
                .is_ok()
        };
        let mut writing = vec![];
        for member in 0..5 {
            writing.push(can_write(member).await);
        }
        assert!(
            writing[4] && writing[0] == writing[1] && writing[2] == writing[3],
            "{writing:?}"
        );
        assert_ne!(writing[0], writing[2]);
    });
}

#[test]
fn clients_of_a_region_that_is_cut_off_wait_and_are_answered_when_it_heals() {
    let (environment, server) = cluster(4);
    run_with_timeout(&environment, async {
        let abroad = client(&environment, server.addresses_from(2)[0]);
        put(&abroad, "k", "1").await.unwrap();
        let before = server.counters(0).bytes_received;
        server.cut(2);
        let short = Duration::from_millis(300);
        let put = PutRequest {
            key: "k".into(),
            value: "2".into(),
            ..PutRequest::default()
        };
        let answered = abroad.unary::<PutResponse>(PUT, &put, short).await;
        assert!(
            matches!(answered, Err(ClientError::TimedOut)),
            "{answered:?}"
        );
        assert_eq!(
            server.counters(0).bytes_received,
            before,
            "no bytes pass through the partition"
        );
        let again = client(&environment, server.addresses_from(2)[0]);
        let healing = async {
            environment.sleep(0.3).await;
            server.heal();
        };
        let (answered, ()) = future::zip(get(&again, "k", false), healing).await;
        answered.unwrap();
    });
}

#[test]
fn a_transaction_in_which_two_members_die_is_committed_as_a_whole_or_not_at_all() {
    for (point, committed) in [
        (CrashPoint::BeforeCommit, false),
        (CrashPoint::AfterCommit, true),
    ] {
        let (environment, server) = cluster(5);
        run_with_timeout(&environment, async {
            let serving = client(&environment, server.addresses[2]);
            let other = client(&environment, server.addresses[4]);
            put(&serving, "a", "0").await.unwrap();
            let op = |key: &'static str| RequestOp {
                request: Some(Request::RequestPut(PutRequest {
                    key: key.into(),
                    value: "1".into(),
                    ..PutRequest::default()
                })),
            };
            let unchanged = Compare {
                target: CompareTarget::Version.into(),
                key: "a".into(),
                target_union: Some(TargetUnion::Version(1)),
                ..Compare::default()
            };
            let txn = TxnRequest {
                compare: vec![unchanged],
                success: vec![op("a"), op("b")],
                failure: vec![],
            };
            server.crash_in_next_transaction(point, 2);
            let answered = serving.unary::<TxnResponse>(TXN, &txn, ANSWER_TIME).await;
            assert!(
                matches!(answered, Err(ClientError::Unreachable(_))),
                "{point:?}: {answered:?}"
            );
            let (a, b) = (
                get(&other, "a", false).await.unwrap(),
                get(&other, "b", false).await.unwrap(),
            );
            let found = (value(&a), value(&b));
            let (whole, none) = (
                (Some("1".into()), Some("1".into())),
                (Some("0".into()), None),
            );
            assert_eq!(found, if committed { whole } else { none }, "{point:?}");
            // The client can retry: the comparison prevents a second application.
            let again = other
                .unary::<TxnResponse>(TXN, &txn, ANSWER_TIME)
                .await
                .unwrap();
            assert_eq!(again.succeeded, !committed, "{point:?}");
            assert!(!server.has_leader(2) && server.has_leader(4));
        });
    }
}

#[test]
fn leases_live_on_over_an_election_and_end_without_renewal() {
    let (environment, server) = cluster(6);
    run_with_timeout(&environment, async {
        let any = client(&environment, server.addresses[4]);
        let grant = LeaseGrantRequest { ttl: 1, id: 0 };
        let lease: LeaseGrantResponse = any.unary(LEASE_GRANT, &grant, ANSWER_TIME).await.unwrap();
        let leased = PutRequest {
            key: "l".into(),
            lease: lease.id,
            ..PutRequest::default()
        };
        any.unary::<PutResponse>(PUT, &leased, ANSWER_TIME)
            .await
            .unwrap();
        (0..3).for_each(|member| server.stop(member));
        environment.sleep(1.5).await;
        assert_eq!(
            get(&any, "l", true).await.unwrap().kvs.len(),
            1,
            "without a leader the lease does not expire"
        );
        server.restart(0);
        assert_eq!(
            get(&any, "l", false).await.unwrap().kvs.len(),
            1,
            "the new leader restarts the full time to live"
        );
        while !get(&any, "l", false).await.unwrap().kvs.is_empty() {
            environment.sleep(0.05).await;
        }
    });
}

#[test]
fn both_ends_of_a_connection_count_the_same_bytes() {
    let (environment, server) = cluster(11);
    run_with_timeout(&environment, async {
        let client = client(&environment, server.addresses[3]);
        for n in 0..20 {
            put(&client, &format!("k/{n}"), "value").await.unwrap();
        }
        // The client's last bytes may still be in transit.
        while server.counters(3).bytes_received < client.traffic().sent() {
            environment.sleep(0.01).await;
        }
        let counted = server.counters(3);
        assert_eq!(counted.bytes_received, client.traffic().sent());
        assert_eq!(counted.bytes_sent, client.traffic().received());
        assert_eq!((counted.exchanges.puts, counted.connections_open), (20, 1));
        assert_eq!(
            server.total_counters(),
            counted,
            "the other members served no requests"
        );
    });
}
