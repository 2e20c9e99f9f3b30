//! Tests of watches on the etcd test server over sockets: compaction, progress, several watches on a stream, and
//! thousands of watches.

mod kit;

use bytes::Bytes;
use kit::*;
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{Client, WATCH, WatchEvent, client::BidirectionalStream};
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn a_compaction_tells_watchers_that_are_behind_and_leaves_the_others() {
    let (environment, server) = cluster(7);
    run_with_timeout(&environment, async {
        let client = client(&environment, server.addresses[0]);
        let first = revision(put(&client, "p/a", "1").await.unwrap().header);
        let mut synced = Watcher::begin(&client, "p/", first).await;
        assert!(matches!(
            &synced.next().await[..],
            [WatchEvent::Events { .. }]
        ));
        // The put and the compaction both happen before any watch is served.
        put_directly(&server, "p/b");
        server.store.borrow_mut().compact(first + 1).unwrap();
        assert_eq!(
            synced.next().await,
            [WatchEvent::Compacted {
                revision: first + 2
            }]
        );
        let mut late = Watcher::begin(&client, "p/", first).await;
        assert_eq!(
            late.next().await,
            [WatchEvent::Compacted {
                revision: first + 2
            }]
        );
        let mut current = Watcher::begin(&client, "p/", first + 2).await;
        put_directly(&server, "p/c");
        assert!(matches!(
            &current.next().await[..],
            [WatchEvent::Events { .. }]
        ));
        server.store.borrow_mut().compact(first + 2).unwrap();
        put_directly(&server, "p/d");
        assert!(
            matches!(&current.next().await[..], [WatchEvent::Events { .. }]),
            "the watch has received everything up to the compaction"
        );
    });
}

#[test]
fn progress_never_tells_of_more_than_was_delivered() {
    let (environment, server) = cluster(8);
    run_with_timeout(&environment, async {
        let client = client(&environment, server.addresses[0]);
        server.faults.delay.set(0.03);
        let mut watcher = Watcher::begin(&client, "p/", 2).await;
        let last = Rc::new(Cell::new(0));
        let (writing, written) = (server.clone(), last.clone());
        let writer_environment = environment.clone();
        let writer = environment.spawn(async move {
            for n in 0..40 {
                written.set(put_directly(&writing, &format!("p/{n}")));
                writer_environment.sleep(0.01).await;
            }
        });
        let request = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let request = WatchRequest {
            request_union: Some(request),
        };
        let (mut received, mut finished) = (1, false);
        while !finished {
            watcher.stream.send(&request).unwrap();
            for event in watcher.next().await {
                match event {
                    WatchEvent::Events { events, .. } => {
                        for event in events {
                            let modified = event.kv.unwrap().mod_revision;
                            assert_eq!(modified, received + 1, "no event is skipped");
                            received = modified;
                        }
                    }
                    WatchEvent::Progress { header, .. } => assert_eq!(header.revision, received),
                    other => panic!("{other:?}"),
                }
            }
            finished = writer.is_finished() && received == last.get();
        }
        assert_eq!(received, 41);
    });
}

#[test]
fn several_watches_share_a_stream_and_end_singly() {
    let (environment, server) = cluster(9);
    run_with_timeout(&environment, async {
        let client = client(&environment, server.addresses[0]);
        let create = |prefix: &'static str| WatchRequest {
            request_union: Some(RequestUnion::CreateRequest(WatchCreateRequest {
                key: prefix.into(),
                range_end: orchidtally_etcd::range_end(prefix.as_bytes()).into(),
                ..WatchCreateRequest::default()
            })),
        };
        let mut stream: BidirectionalStream<WatchResponse> = client
            .open_stream(WATCH, &create("a/"), ANSWER_TIME)
            .await
            .unwrap();
        let first = stream.next().await.unwrap();
        stream.send(&create("b/")).unwrap();
        let second = stream.next().await.unwrap();
        assert!(first.created && second.created && first.watch_id != second.watch_id);
        assert_eq!(server.counters(0).watches_open, 2);
        put_directly(&server, "b/1");
        assert_eq!(stream.next().await.unwrap().watch_id, second.watch_id);
        let cancel = RequestUnion::CancelRequest(WatchCancelRequest {
            watch_id: second.watch_id,
        });
        stream
            .send(&WatchRequest {
                request_union: Some(cancel),
            })
            .unwrap();
        assert!(stream.next().await.unwrap().canceled);
        put_directly(&server, "b/2");
        put_directly(&server, "a/1");
        assert_eq!(stream.next().await.unwrap().watch_id, first.watch_id);
        drop((stream, client));
        while server.total_counters().watches_open > 0 {
            environment.sleep(0.01).await;
        }
    });
}

/// The time limit is generous: a loaded machine takes a tenth of it.
#[test]
fn two_thousand_watchers_hear_a_burst_of_five_hundred_changes() {
    const WATCHERS: usize = 2_000;
    /// Watchers share connections, so that the process needs no more than 1,024 file descriptors.
    const CONNECTIONS: usize = 200;
    const CHANGES: usize = 500;
    const BOUND: f64 = 40.0;
    let (environment, server) = cluster(10);
    run_with_timeout(&environment, async {
        for n in 0..21_000 {
            put_directly(&server, &format!("other/{n}"));
        }
        let from = server.store.borrow().revision + 1;
        let clients: Vec<Client> = (0..CONNECTIONS)
            .map(|n| client(&environment, server.addresses[n % REGIONS.len()]))
            .collect();
        let mut watching = vec![];
        for n in 0..WATCHERS {
            watching.push(Watcher::begin(&clients[n % CONNECTIONS], "p/", from).await);
        }
        assert_eq!(server.total_counters().watches_open, WATCHERS as u64);
        let started = environment.now();
        let listen =
            |mut watcher: Watcher| environment.spawn(async move { watcher.events(CHANGES).await });
        let watching: Vec<_> = watching.into_iter().map(listen).collect();
        let writer = client(&environment, server.addresses[0]);
        for n in 0..CHANGES {
            put(&writer, &format!("p/{n}"), &"x".repeat(300))
                .await
                .unwrap();
        }
        for watcher in watching {
            assert_eq!(watcher.await, CHANGES);
        }
        let took = environment.now() - started;
        assert!(took < BOUND, "{took:.1} s");
        let total = server.total_counters();
        let least = (WATCHERS * CHANGES * 300) as u64;
        assert_eq!(total.exchanges.watch_events, (WATCHERS * CHANGES) as u64);
        assert!(
            total.bytes_sent > least && total.bytes_sent < 2 * least,
            "{total:?}"
        );
        assert_eq!(total.exchanges.puts, CHANGES as u64);
    });
}

/// The server sends only as the client's flow-control window permits, and keeps pending events only in its log, so a
/// client that doesn't read delays only its own stream.
#[test]
fn a_watcher_that_does_not_read_holds_back_its_own_stream_alone() {
    const CHANGES: usize = 3_000;
    let (environment, server) = cluster(12);
    run_with_timeout(&environment, async {
        let (idle, busy) = (
            client(&environment, server.addresses[0]),
            client(&environment, server.addresses[1]),
        );
        let mut waiting = Watcher::begin(&idle, "p/", 2).await;
        let mut reading = Watcher::begin(&busy, "p/", 2).await;
        for n in 0..CHANGES {
            let value = Bytes::from(vec![b'x'; 1_000]);
            let put = PutRequest {
                key: format!("p/{n}").into(),
                value,
                ..PutRequest::default()
            };
            server.store.borrow_mut().put(&put).unwrap();
        }
        assert_eq!(reading.events(CHANGES).await, CHANGES);
        let held_back = server.counters(0).bytes_sent;
        assert!(
            held_back < 200_000,
            "{held_back} bytes were sent to a client that reads nothing"
        );
        assert_eq!(
            waiting.events(CHANGES).await,
            CHANGES,
            "all events arrive once it reads"
        );
    });
}
