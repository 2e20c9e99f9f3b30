//! Range requests: revision filters, omitted fields, key bounds and cost.

use crate::support::{INVALID_ARGUMENT, keys, letters, put, put_op, under};
use orchidtally_etcd::range_end;
use orchidtally_etcd::rpc::{RangeRequest, TxnRequest};
use orchidtally_test_servers::etcd::Store;

#[test]
fn a_range_is_bounded_by_revisions_while_its_count_is_of_all_keys() {
    let store = letters();
    let since = RangeRequest {
        min_mod_revision: 6,
        ..under("k/")
    };
    let found = store.range(&since).unwrap();
    assert_eq!(keys(&found), ["k/b", "k/e"]);
    assert_eq!(
        (found.count, found.more),
        (5, false),
        "the count ignores the filters, as in etcd"
    );
    let until = RangeRequest {
        max_mod_revision: 4,
        ..under("k/")
    };
    assert_eq!(keys(&store.range(&until).unwrap()), ["k/a", "k/c"]);
    let created = RangeRequest {
        min_create_revision: 3,
        max_create_revision: 4,
        ..under("k/")
    };
    assert_eq!(keys(&store.range(&created).unwrap()), ["k/b", "k/c"]);
    let limited = RangeRequest {
        min_mod_revision: 4,
        limit: 2,
        ..under("k/")
    };
    let found = store.range(&limited).unwrap();
    assert_eq!(
        (keys(&found), found.more, found.count),
        (vec!["k/b".into(), "k/c".into()], true, 5)
    );
}

#[test]
fn keys_only_and_count_only_leave_out_what_they_say() {
    let store = letters();
    let found = store
        .range(&RangeRequest {
            keys_only: true,
            ..under("k/")
        })
        .unwrap();
    assert_eq!(found.kvs.len(), 5);
    assert!(
        found
            .kvs
            .iter()
            .all(|kv| kv.value.is_empty() && kv.mod_revision > 0)
    );
    let found = store
        .range(&RangeRequest {
            count_only: true,
            ..under("k/")
        })
        .unwrap();
    assert_eq!((found.kvs.len(), found.count, found.more), (0, 5, false));
}

#[test]
fn ranges_end_where_they_say_also_when_nothing_lies_between() {
    let store = letters();
    let range = |key: &'static [u8], end: &'static [u8]| {
        let request = RangeRequest {
            key: key.into(),
            range_end: end.into(),
            ..Default::default()
        };
        store.range(&request).map(|found| keys(&found))
    };
    assert_eq!(range(b"k/b", b"").unwrap(), ["k/b"]);
    assert_eq!(range(b"k/b", b"k/d").unwrap(), ["k/b", "k/c"]);
    assert_eq!(range(b"k/d", b"\0").unwrap(), ["k/d", "k/e"]);
    assert!(
        range(b"k/d", b"k/b").unwrap().is_empty(),
        "an end before the start"
    );
    assert!(
        range(b"k/d", b"k/d").unwrap().is_empty(),
        "an end at the start"
    );
    assert_eq!(range(b"", b"").unwrap_err().code, INVALID_ARGUMENT);
}

/// Guards against ranges and event reads that scan the whole store: with 21,000 frequently changed keys and requests
/// that select few of them, full scans would take minutes.
#[test]
fn a_range_costs_what_it_names_and_not_what_the_store_holds() {
    let mut store = Store::new(1);
    for round in 0..3 {
        for n in 0..21_000 {
            store
                .put(&put(
                    &format!("functions/{n:05}"),
                    &format!("{round}{}", "x".repeat(300)),
                ))
                .unwrap();
        }
    }
    let started = std::time::Instant::now();
    for n in 0..21_000 {
        let found = store.range(&under(&format!("functions/{n:05}"))).unwrap();
        assert_eq!(found.kvs.len(), 1);
        let next = store.revision + 1;
        assert!(
            store
                .events(next, b"functions/", &range_end(b"functions/"))
                .unwrap()
                .is_empty()
        );
        let change = TxnRequest {
            success: vec![put_op("functions/00000", "value")],
            ..Default::default()
        };
        store.txn(&change).unwrap();
        assert_eq!(
            store
                .events(next, b"functions/", &range_end(b"functions/"))
                .unwrap()
                .len(),
            1
        );
    }
    let took = started.elapsed().as_secs_f64();
    assert!(took < 10.0, "{took:.1} s");
    assert!(store.memory_bytes() > 3 * 21_000 * 300);
}
