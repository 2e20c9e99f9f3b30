//! Which lists the view believes: lists with wrong serials, overtaken answers, records that can't be read.

mod support;

use orchidtally_dispatch_policy::interface::EndpointState;
use orchidtally_platform_discovery::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::*;

/// Guards against a drain that is missed: an answer had the old records under the serial of the drain. The correct list
/// after it had the serial of the view and was ignored.
#[test]
fn a_drain_takes_effect_although_its_serial_is_that_of_the_view() {
    let mut polled = PolledView::new(&list(1, 3, &[]));
    assert_eq!(polled.apply(&list(2, 3, &[])), ListOutcome::Confirmed);
    assert_eq!(polled.apply(&list(2, 3, &[1])), ListOutcome::Changed);
    assert_eq!(polled.ready(), [0, 2]);
}

#[test]
fn a_serial_that_jumped_ahead_is_corrected_and_hides_no_drain_until_then() {
    for jump in [1, 1_000, i32::MAX as u32, u32::MAX] {
        let mut polled = PolledView::new(&list(7, 3, &[]));
        polled.apply(&list(7 + jump % (u32::MAX - 7), 3, &[]));
        polled.apply(&list(7, 3, &[0]));
        assert_eq!(
            polled.ready(),
            [1, 2],
            "{jump}: the drain takes effect at once"
        );
        polled.apply(&list(8, 4, &[0]));
        polled.apply(&list(8, 4, &[0]));
        assert_eq!(
            (polled.ready(), polled.view.serial()),
            (vec![1, 2, 3], 8),
            "{jump}: after three answers"
        );
        assert_eq!(polled.view.fresh_at(), polled.now);
    }
}

#[test]
fn serials_wrap_around() {
    let mut polled = PolledView::new(&list(u32::MAX, 2, &[]));
    assert_eq!(polled.apply(&list(0, 3, &[])), ListOutcome::Changed);
    assert_eq!((polled.view.serial(), polled.ready()), (0, vec![0, 1, 2]));
}

/// An answer is as old as its query, no matter when it arrives.
#[test]
fn the_view_is_as_fresh_as_its_query() {
    let mut view = view_started_at(0.0, list(1, 3, &[]).endpoints);
    assert_eq!(view.fresh_at(), f64::NEG_INFINITY);
    view.apply_list(9.0, 5.0, &list(1, 3, &[]));
    assert_eq!(view.fresh_at(), 5.0);
    // An overtaken answer withdraws the draining executors; missing and new executors are ignored.
    let outcome = view.apply_list(9.1, 4.0, &list(1, 2, &[0]));
    assert_eq!(
        (outcome, view.fresh_at()),
        (ListOutcome::Older { changed: true }, 5.0)
    );
    assert_eq!(view.endpoints().len(), 3);
    view.confirm_unchanged(8.0);
    view.confirm_unchanged(6.0);
    assert_eq!(view.fresh_at(), 8.0);
    // A list with a newer serial is applied however late it arrives.
    assert_eq!(
        view.apply_list(9.2, 7.0, &list(2, 4, &[0])),
        ListOutcome::Changed
    );
    assert_eq!(view.fresh_at(), 8.0);
}

/// Guards against one record that can't be read making every later list unusable, so that drains are missed.
#[test]
fn an_executor_with_an_invalid_record_keeps_its_address_and_changes_its_state() {
    let mut view = view_started_at(0.0, list(1, 3, &[]).endpoints);
    let mut complete = list(2, 4, &[0]);
    let _unreadable = complete.endpoints.remove(1);
    let state_only = vec![
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
        endpoints: complete.endpoints,
        state_only,
        locations: LocationTable::default(),
    };
    assert_eq!(
        view.apply_partial_list(1.0, 0.9, &partial),
        ListOutcome::Changed
    );
    let is_ready = |discovered: DiscoveredEndpoint| {
        (
            discovered.name,
            discovered.endpoint.state == EndpointState::Ready,
        )
    };
    let actual: BTreeMap<String, bool> = view.endpoints().into_iter().map(is_ready).collect();
    let expected = [("s-0", false), ("s-1", false), ("s-2", true), ("s-3", true)];
    assert_eq!(
        actual,
        expected
            .map(|(name, ready)| (name.to_owned(), ready))
            .into()
    );
    assert_eq!(view.fresh_at(), 0.9);
}

#[test]
fn an_address_changes_only_after_two_consecutive_lists() {
    let mut polled = PolledView::new(&list(1, 2, &[]));
    let mut moved = list(1, 2, &[]);
    moved.endpoints[0].address = ([10, 9, 9, 9], 1).into();
    let address = |polled: &PolledView| polled.view.endpoints()[0].address.to_string();
    let first = address(&polled);
    polled.apply(&moved);
    assert_eq!(address(&polled), first, "reported once");
    assert!(
        !polled.view.is_settled(),
        "the same answer again changes the view"
    );
    polled.apply(&list(1, 2, &[]));
    polled.apply(&moved);
    assert_eq!(address(&polled), first, "not consecutive");
    polled.apply(&moved);
    assert_eq!(address(&polled), "10.9.9.9:1");
    assert!(polled.view.is_settled());
    // A change of the state takes effect at once nevertheless.
    moved.endpoints[0].address = ([10, 8, 8, 8], 1).into();
    moved.endpoints[0].endpoint.state = EndpointState::Draining;
    polled.apply(&moved);
    assert_eq!(
        (address(&polled).as_str(), polled.ready()),
        ("10.9.9.9:1", vec![1])
    );
}

#[test]
fn an_executor_that_is_listed_twice_is_ready_only_if_both_records_are() {
    for order in [
        [EndpointState::Ready, EndpointState::Draining],
        [EndpointState::Draining, EndpointState::Ready],
    ] {
        let mut polled = PolledView::new(&list(1, 2, &[]));
        let mut with_duplicate = list(2, 2, &[]);
        let [first, second] = order.map(|state| discovered(0, state, f64::NEG_INFINITY));
        with_duplicate.endpoints[0] = first;
        with_duplicate.endpoints.push(second);
        polled.apply(&with_duplicate);
        assert_eq!(polled.ready(), [1], "{order:?}");
    }
}

/// Start times are taken from the wall clocks of other machines; the wall clock of this machine may be an hour ahead or
/// behind.
#[test]
fn an_executor_that_has_just_started_counts_as_new_whatever_the_wall_clock_shows() {
    let hour = 3_600.0;
    for clock_offset in [-hour, -1.0, 0.0, 1.0, hour] {
        let mut view = view_started_at(
            100.0,
            vec![discovered(0, EndpointState::Ready, 100.0 + clock_offset)],
        );
        let new = discovered(1, EndpointState::Ready, 200.0 + clock_offset);
        let old = discovered(0, EndpointState::Ready, 100.0 + clock_offset);
        // The new executor is not on the list that was queried just before.
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
        let start_times: Vec<f64> = view
            .endpoints()
            .iter()
            .map(|discovered| discovered.endpoint.started_at)
            .collect();
        assert!(
            (98.5..=100.0).contains(&start_times[0]) && (198.5..=200.0).contains(&start_times[1]),
            "{clock_offset}: {start_times:?}"
        );
        // The start times remain the same until an executor restarts.
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
                .map(|discovered| discovered.endpoint.started_at)
                .collect::<Vec<_>>(),
            start_times,
            "{clock_offset}"
        );
        view.apply_list(
            400.0,
            400.0,
            &EndpointList {
                serial: 4,
                endpoints: vec![discovered(0, EndpointState::Ready, 400.0 + clock_offset)],
            },
        );
        assert!(
            (398.5..=400.0).contains(&view.endpoints()[0].endpoint.started_at),
            "{clock_offset}"
        );
    }
    // On the initial list, the executor that started last counts as new, and the others are older by the difference.
    for clock_offset in [-hour, 0.0, hour] {
        let reported =
            [-50.0, -2.0, f64::NEG_INFINITY].map(|started_at| 100.0 + clock_offset + started_at);
        let endpoints: Vec<DiscoveredEndpoint> = (0..)
            .zip(reported)
            .map(|(n, started_at)| discovered(n, EndpointState::Ready, started_at))
            .collect();
        let estimated: Vec<f64> = view_started_at(100.0, endpoints)
            .endpoints()
            .iter()
            .map(|discovered| discovered.endpoint.started_at)
            .collect();
        assert_eq!(
            estimated,
            [52.0, 100.0, f64::NEG_INFINITY],
            "{clock_offset}"
        );
    }
    let started_long_ago = view_started_at(
        100.0,
        vec![discovered(0, EndpointState::Ready, f64::NEG_INFINITY)],
    );
    assert_eq!(
        started_long_ago.endpoints()[0].endpoint.started_at,
        f64::NEG_INFINITY
    );
}

proptest! {
    /// After any lists with any serials, an executor that four consecutive correct lists report as draining is not ready,
    /// and one that they report as ready for more than four seconds is.
    #[test]
    fn correct_lists_take_effect_after_any_history(
        history in prop::collection::vec((any::<u32>(), 1u32..5, 0u32..4), 0..30),
        serial: u32,
    ) {
        let mut polled = PolledView::new(&list(1, 3, &[]));
        for (serial, count, draining) in history {
            polled.apply(&list(serial, count, &[draining]));
        }
        for _ in 0..4 {
            polled.apply(&list(serial, 4, &[2]));
        }
        prop_assert!(!polled.ready().contains(&2));
        for _ in 0..20 {
            polled.apply(&list(serial, 4, &[2]));
        }
        prop_assert_eq!(polled.ready(), [0, 1, 3]);
    }
}
