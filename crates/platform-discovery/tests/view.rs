//! Which of several lists is believed: serials that don't fit, answers overtaken, rows that can't be read.

use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState};
use orchidtally_platform_discovery::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Seconds between two questions.
const ASKED_EVERY: f64 = 0.2;

fn entry(n: u32, standing: EndpointState, since: f64) -> DiscoveredEndpoint {
    let name = format!("s-{n}");
    let executor = executor_id(&name);
    let row = Endpoint {
        executor,
        zone: 0,
        kind: 0,
        cell: 1,
        state: standing,
        weight: 4.0,
        started_at: since,
    };
    DiscoveredEndpoint {
        name,
        address: ([10, 1, 0, n as u8], 4100).into(),
        endpoint: row,
    }
}

/// A list of executors 0 up to a count, some of them draining.
fn list(serial: u32, count: u32, draining: &[u32]) -> EndpointList {
    let standing = |n| {
        if draining.contains(&n) {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        }
    };
    EndpointList {
        serial,
        endpoints: (0..count)
            .map(|n| entry(n, standing(n), f64::NEG_INFINITY))
            .collect(),
    }
}

/// A view that is told something every 0.2 s.
struct PolledView {
    view: EndpointView,
    now: f64,
}

impl PolledView {
    fn new(first: &EndpointList) -> PolledView {
        PolledView {
            view: EndpointView::new(0.0, first.serial, &first.endpoints),
            now: 0.0,
        }
    }

    fn take(&mut self, answer: &EndpointList) -> ListOutcome {
        self.now += ASKED_EVERY;
        self.view.apply_list(self.now, self.now, answer)
    }

    fn ready(&self) -> Vec<u32> {
        let ready = self
            .view
            .endpoints()
            .into_iter()
            .filter(|e| e.endpoint.state == EndpointState::Ready);
        ready
            .map(|e| e.name[2..].parse().expect("a number"))
            .collect()
    }
}

/// The incident: the old rows came under the serial of the drain, and the true list after it was not read.
#[test]
fn a_drain_counts_though_its_serial_is_held_already() {
    let mut polled = PolledView::new(&list(1, 3, &[]));
    assert_eq!(polled.take(&list(2, 3, &[])), ListOutcome::Confirmed);
    assert_eq!(polled.take(&list(2, 3, &[1])), ListOutcome::Changed);
    assert_eq!(polled.ready(), [0, 2]);
}

#[test]
fn a_serial_that_jumped_ahead_is_put_right_and_hides_no_drain_meanwhile() {
    for jump in [1, 1_000, i32::MAX as u32, u32::MAX] {
        let mut polled = PolledView::new(&list(7, 3, &[]));
        polled.take(&list(7 + jump % (u32::MAX - 7), 3, &[]));
        polled.take(&list(7, 3, &[0]));
        assert_eq!(polled.ready(), [1, 2], "{jump}: the drain counts at once");
        polled.take(&list(8, 4, &[0]));
        polled.take(&list(8, 4, &[0]));
        assert_eq!(
            (polled.ready(), polled.view.serial()),
            (vec![1, 2, 3], 8),
            "{jump}: after three"
        );
        assert_eq!(polled.view.fresh_at(), polled.now);
    }
}

#[test]
fn serials_wrap_around() {
    let mut polled = PolledView::new(&list(u32::MAX, 2, &[]));
    assert_eq!(polled.take(&list(0, 3, &[])), ListOutcome::Changed);
    assert_eq!((polled.view.serial(), polled.ready()), (0, vec![0, 1, 2]));
}

/// A list that lags is older than what is held, and as long as it comes now and then it changes nothing.
#[test]
fn a_list_that_lags_takes_nothing_back() {
    let mut polled = PolledView::new(&list(3, 3, &[1]));
    for _ in 0..20 {
        assert_eq!(
            polled.take(&list(2, 3, &[])),
            ListOutcome::Older { changed: false }
        );
        assert_eq!(
            polled.take(&list(2, 2, &[])),
            ListOutcome::Older { changed: false }
        );
        assert_eq!(polled.take(&list(3, 3, &[1])), ListOutcome::Confirmed);
        assert_eq!(polled.ready(), [0, 2]);
    }
    // Where nothing else comes it is the list, but who was told away stays so for longer than a resolver lags.
    for _ in 0..8 {
        polled.take(&list(2, 3, &[]));
    }
    assert_eq!((polled.view.serial(), polled.ready()), (2, vec![0, 2]));
}

#[test]
fn who_was_told_away_is_ready_again_after_three_lists_or_with_another_start() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.take(&list(2, 2, &[0]));
    for expected in [&[1][..], &[1], &[0, 1]] {
        polled.take(&list(3, 2, &[]));
        assert_eq!(polled.ready(), expected);
    }
    polled.take(&list(4, 1, &[]));
    let mut anew = list(5, 2, &[]);
    anew.endpoints[1].endpoint.started_at = 9.0;
    polled.take(&anew);
    assert_eq!(polled.ready(), [0, 1]);
}

#[test]
fn one_spoilt_standing_is_put_right_by_the_answers_after_it() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    polled.take(&list(1, 2, &[0]));
    assert_eq!(polled.ready(), [1]);
    for _ in 0..3 {
        polled.take(&list(1, 2, &[]));
    }
    assert_eq!(polled.ready(), [0, 1]);
    polled.take(&list(2, 2, &[0]));
    polled.take(&list(2, 2, &[]));
    polled.take(&list(2, 2, &[0]));
    assert_eq!(polled.ready(), [1], "one spoilt answer makes nobody ready");
}

/// What it answers was asked before: it is as old as its question, whenever it comes.
#[test]
fn the_view_is_as_fresh_as_its_question() {
    let mut view = EndpointView::new(0.0, 1, &list(1, 3, &[]).endpoints);
    assert_eq!(view.fresh_at(), f64::NEG_INFINITY);
    view.apply_list(9.0, 5.0, &list(1, 3, &[]));
    assert_eq!(view.fresh_at(), 5.0);
    // Overtaken: who drains counts, who is missing or new does not.
    let outcome = view.apply_list(9.1, 4.0, &list(1, 2, &[0]));
    assert_eq!(
        (outcome, view.fresh_at()),
        (ListOutcome::Older { changed: true }, 5.0)
    );
    assert_eq!(view.endpoints().len(), 3);
    view.confirm_unchanged(8.0);
    view.confirm_unchanged(6.0);
    assert_eq!(view.fresh_at(), 8.0);
    // One with a newer serial counts however late it comes.
    assert_eq!(
        view.apply_list(9.2, 7.0, &list(2, 4, &[0])),
        ListOutcome::Changed
    );
    assert_eq!(view.fresh_at(), 8.0);
}

/// One row that can't be read cost every later list, drains and all.
#[test]
fn a_row_that_can_not_be_read_keeps_its_place_and_loses_its_standing() {
    let mut view = EndpointView::new(0.0, 1, &list(1, 3, &[]).endpoints);
    let mut whole = list(2, 4, &[0]);
    let _unreadable = whole.endpoints.remove(1);
    let odd = vec![
        EndpointStateOnly {
            name: "s-1".into(),
            state: EndpointState::Draining,
        },
        EndpointStateOnly {
            name: "s-9".into(),
            state: EndpointState::Ready,
        },
    ];
    let partial = PartialEndpointList {
        serial: 2,
        endpoints: whole.endpoints,
        state_only: odd,
        locations: LocationTable::default(),
    };
    assert_eq!(
        view.apply_partial_list(1.0, 0.9, &partial),
        ListOutcome::Changed
    );
    let standing = |e: DiscoveredEndpoint| (e.name, e.endpoint.state == EndpointState::Ready);
    let rows: BTreeMap<String, bool> = view.endpoints().into_iter().map(standing).collect();
    let expected = [("s-0", false), ("s-1", false), ("s-2", true), ("s-3", true)];
    assert_eq!(
        rows,
        expected
            .map(|(name, ready)| (name.to_owned(), ready))
            .into()
    );
    assert_eq!(view.fresh_at(), 0.9);
}

#[test]
fn one_spoilt_record_moves_nobody_and_two_in_a_row_do() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    let mut moved = list(1, 2, &[]);
    moved.endpoints[0].address = ([10, 9, 9, 9], 1).into();
    let address = |polled: &PolledView| polled.view.endpoints()[0].address.to_string();
    let first = address(&polled);
    polled.take(&moved);
    assert_eq!(address(&polled), first, "told once");
    assert!(
        !polled.view.is_settled(),
        "the same answer again tells something"
    );
    polled.take(&list(1, 2, &[]));
    polled.take(&moved);
    assert_eq!(address(&polled), first, "not in a row");
    polled.take(&moved);
    assert_eq!(address(&polled), "10.9.9.9:1");
    assert!(polled.view.is_settled());
    // Its standing counts at once all the same.
    moved.endpoints[0].address = ([10, 8, 8, 8], 1).into();
    moved.endpoints[0].endpoint.state = EndpointState::Draining;
    polled.take(&moved);
    assert_eq!(
        (address(&polled).as_str(), polled.ready()),
        ("10.9.9.9:1", vec![1])
    );
}

#[test]
fn one_that_is_listed_twice_stands_as_the_worse_of_the_two() {
    for order in [
        [EndpointState::Ready, EndpointState::Draining],
        [EndpointState::Draining, EndpointState::Ready],
    ] {
        let mut polled = PolledView::new(&list(1, 2, &[]));
        let mut twice = list(2, 2, &[]);
        let [first, second] = order.map(|standing| entry(0, standing, f64::NEG_INFINITY));
        twice.endpoints[0] = first;
        twice.endpoints.push(second);
        polled.take(&twice);
        assert_eq!(polled.ready(), [1], "{order:?}");
    }
}

/// Starts are told by other machines' wall clocks; this one's may be an hour ahead or behind.
#[test]
fn an_executor_that_has_just_started_is_new_whatever_the_wall_clock_tells() {
    let hour = 3_600.0;
    for polled in [-hour, -1.0, 0.0, 1.0, hour] {
        let mut view =
            EndpointView::new(100.0, 1, &[entry(0, EndpointState::Ready, 100.0 + polled)]);
        let new = entry(1, EndpointState::Ready, 200.0 + polled);
        let old = entry(0, EndpointState::Ready, 100.0 + polled);
        // It was on no list a moment before.
        view.apply_list(
            199.9,
            199.9,
            &EndpointList {
                serial: 1,
                endpoints: vec![old.clone()],
            },
        );
        view.apply_list(
            200.0,
            200.0,
            &EndpointList {
                serial: 2,
                endpoints: vec![old.clone(), new.clone()],
            },
        );
        let since: Vec<f64> = view
            .endpoints()
            .iter()
            .map(|e| e.endpoint.started_at)
            .collect();
        assert!(
            (98.5..=100.0).contains(&since[0]) && (198.5..=200.0).contains(&since[1]),
            "{polled}: {since:?}"
        );
        // It stays so, until it starts anew.
        view.apply_list(
            300.0,
            300.0,
            &EndpointList {
                serial: 3,
                endpoints: vec![old, new],
            },
        );
        assert_eq!(
            view.endpoints()
                .iter()
                .map(|e| e.endpoint.started_at)
                .collect::<Vec<_>>(),
            since,
            "{polled}"
        );
        view.apply_list(
            400.0,
            400.0,
            &EndpointList {
                serial: 4,
                endpoints: vec![entry(0, EndpointState::Ready, 400.0 + polled)],
            },
        );
        assert!(
            (398.5..=400.0).contains(&view.endpoints()[0].endpoint.started_at),
            "{polled}"
        );
    }
    // Of several at a start the youngest may be new, and the others are so much older.
    for polled in [-hour, 0.0, hour] {
        let since = [-50.0, -2.0, f64::NEG_INFINITY].map(|since| 100.0 + polled + since);
        let entries: Vec<DiscoveredEndpoint> = (0..)
            .zip(since)
            .map(|(n, since)| entry(n, EndpointState::Ready, since))
            .collect();
        let taken: Vec<f64> = EndpointView::new(100.0, 1, &entries)
            .endpoints()
            .iter()
            .map(|e| e.endpoint.started_at)
            .collect();
        assert_eq!(taken, [52.0, 100.0, f64::NEG_INFINITY], "{polled}");
    }
    let long_ago = EndpointView::new(
        100.0,
        1,
        &[entry(0, EndpointState::Ready, f64::NEG_INFINITY)],
    );
    assert_eq!(
        long_ago.endpoints()[0].endpoint.started_at,
        f64::NEG_INFINITY
    );
}

proptest! {
    /// Whatever comes under whatever serial: an executor that the last three true lists in a row told draining is not
    /// ready, and one that they told ready for four seconds is.
    #[test]
    fn a_true_list_counts_after_any_history(
        history in prop::collection::vec((any::<u32>(), 1u32..5, 0u32..4), 0..30),
        serial: u32,
    ) {
        let mut polled = PolledView::new(&list(1, 3, &[]));
        for (serial, count, draining) in history {
            polled.take(&list(serial, count, &[draining]));
        }
        for _ in 0..4 {
            polled.take(&list(serial, 4, &[2]));
        }
        prop_assert!(!polled.ready().contains(&2));
        for _ in 0..20 {
            polled.take(&list(serial, 4, &[2]));
        }
        prop_assert_eq!(polled.ready(), [0, 1, 3]);
    }
}
