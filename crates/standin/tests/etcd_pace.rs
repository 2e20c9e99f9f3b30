//! A watch that is paced by its client's flow-control window.

mod kit;

use bytes::Bytes;
use kit::*;
use orchidtally_etcd::ReceivePace;
use orchidtally_etcd::rpc::PutRequest;
use std::time::{Duration, Instant};

const WINDOW: u32 = 2_048;
const BYTES_PER_SECOND: f64 = 40_000.0;
const BURST: f64 = 30_000.0;
const CHANGES: usize = 400;
const VALUE_BYTES: usize = 300;
/// Frames that are under way, window updates, answers to other questions.
const OVERHEAD_BYTES: f64 = 4_096.0;

/// A burst comes at the pace and whole; without the pace it comes as fast as the machine can.
#[test]
fn a_burst_of_changes_arrives_at_the_pace_and_whole() {
    let (stage, served) = cluster(31);
    on(&stage, async {
        let client = client(&stage, served.addresses[0]).with_stream_window(WINDOW);
        let mut watcher = Watcher::begin(&client, "p/", 2).await;
        watcher.stream.limit_pace(ReceivePace::new(BYTES_PER_SECOND, BURST));
        for n in 0..CHANGES {
            let key = Bytes::from(format!("p/{n}"));
            let put = PutRequest { key, value: vec![b'v'; VALUE_BYTES].into(), ..PutRequest::default() };
            served.store.borrow_mut().put(&put).unwrap();
        }
        let began = Instant::now();
        let before = client.traffic().received();
        let (mut heard, mut most_over) = (0, 0.0_f64);
        while heard < CHANGES {
            heard += watcher.events(1).await;
            let received = (client.traffic().received() - before) as f64;
            let allowed = f64::from(WINDOW) + BURST + BYTES_PER_SECOND * began.elapsed().as_secs_f64();
            most_over = most_over.max(received - allowed);
        }
        assert_eq!(heard, CHANGES);
        assert!(most_over < OVERHEAD_BYTES, "{most_over:.0} bytes over the pace");
        let late = (CHANGES * VALUE_BYTES) as f64 - f64::from(WINDOW) - BURST - OVERHEAD_BYTES;
        let least = late / BYTES_PER_SECOND;
        let took = began.elapsed();
        assert!(
            took >= Duration::from_secs_f64(least),
            "{took:?} is sooner than the pace allows, {least:.2} s"
        );
    });
}

/// What is given up in the middle of waiting loses no message and gives nothing back twice.
#[test]
fn a_wait_that_is_given_up_loses_nothing_of_a_paced_stream() {
    let (stage, served) = cluster(32);
    on(&stage, async {
        let client = client(&stage, served.addresses[0]).with_stream_window(WINDOW);
        let mut watcher = Watcher::begin(&client, "p/", 2).await;
        watcher.stream.limit_pace(ReceivePace::new(BYTES_PER_SECOND, BURST));
        for n in 0..100 {
            put_here(&served, &format!("p/{n}"));
        }
        let mut heard = 0;
        while heard < 100 {
            let wait = orchidtally_net::within(Duration::from_millis(3), watcher.stream.next()).await;
            let Some(response) = wait else { continue };
            heard += response.unwrap().events.len();
        }
        assert_eq!(heard, 100);
    });
}
