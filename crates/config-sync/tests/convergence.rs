//! However a front end reaches a revision, its view equals the one that results from applying the transactions
//! directly.

mod kit;

use kit::fleet::Fleet;
use kit::{delete, function, put, quota};
use orchidtally_config_sync::writer::EntryChange;
use orchidtally_config_sync::{ReportedState, SyncSettings};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A write, or a fault between a writer and a front end.
#[derive(Clone, Debug)]
enum Event {
    Write(Vec<(usize, Content)>),
    Run(f64),
    Disconnect,
    Partition,
    PartitionEnds,
    Compact,
    Restart,
    Pause,
    Resume,
    Fragment(usize),
    MemberCrashes(usize),
    MemberRestarts(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Content {
    Valid(u8),
    Invalid,
    Deleted,
}

const KEYS: usize = 12;

fn name(key: usize) -> String {
    if key.is_multiple_of(3) {
        format!("quotas/q{key}")
    } else {
        format!("functions/f{key}")
    }
}

fn change((key, content): &(usize, Content)) -> EntryChange {
    let name = name(*key);
    match content {
        Content::Deleted => delete(&name),
        Content::Invalid => put(&name, br#"{"spec":{"unknown":1}}"#.to_vec()),
        Content::Valid(n) if key.is_multiple_of(3) => put(&name, quota(f64::from(*n) + 1.0)),
        Content::Valid(n) => put(&name, function(&n.to_string(), "serve", true)),
    }
}

fn content(with_invalid: bool) -> impl Strategy<Value = Content> {
    let invalid_weight = if with_invalid { 1 } else { 0 };
    prop_oneof![
        6 => any::<u8>().prop_map(Content::Valid),
        2 => Just(Content::Deleted),
        invalid_weight => Just(Content::Invalid),
    ]
}

fn event(with_invalid: bool) -> impl Strategy<Value = Event> {
    let write = prop::collection::btree_map(0..KEYS, content(with_invalid), 1..5)
        .prop_map(|changes| Event::Write(changes.into_iter().collect()));
    prop_oneof![
        8 => write,
        6 => (0.1f64..8.0).prop_map(Event::Run),
        1 => Just(Event::Disconnect),
        1 => Just(Event::Partition),
        2 => Just(Event::PartitionEnds),
        1 => Just(Event::Compact),
        1 => Just(Event::Restart),
        1 => Just(Event::Pause),
        2 => Just(Event::Resume),
        1 => (1usize..4).prop_map(Event::Fragment),
        1 => (0usize..2).prop_map(Event::MemberCrashes),
        1 => (0usize..2).prop_map(Event::MemberRestarts),
    ]
}

/// The keys in force and their documents.
type Model = BTreeMap<String, Vec<u8>>;

fn model_write(model: &mut Model, changes: &[EntryChange]) {
    for EntryChange { key, document } in changes {
        match document {
            None => model.remove(key.as_str()),
            Some(document) => model.insert(key.to_string(), document.clone()),
        };
    }
}

fn in_force(fleet: &Fleet) -> Model {
    let view = fleet.front_ends[0].core.view();
    view.iter()
        .map(|(key, record)| (key.to_string(), record.document.to_vec()))
        .collect()
}

fn apply_event(fleet: &mut Fleet, event: &Event, model: &mut Model) {
    let now = fleet.now;
    match event {
        Event::Write(changes) => {
            let written: Vec<EntryChange> = changes.iter().map(change).collect();
            fleet.write_unchecked(&written);
            model_write(model, &written);
        }
        Event::Run(seconds) => fleet.run(*seconds),
        Event::Disconnect => fleet.front_ends[0].disconnect(now),
        Event::Partition => fleet.front_ends[0].partition = None,
        Event::PartitionEnds => fleet.front_ends[0].partition = Some(0),
        Event::Compact => fleet.store.compact(fleet.store.revision),
        Event::Restart => {
            let settings = fleet.settings.clone();
            fleet.front_ends[0].restart(settings, 3, now);
        }
        Event::Pause => fleet.front_ends[0].is_paused = true,
        Event::Resume => fleet.front_ends[0].is_paused = false,
        Event::Fragment(size) => fleet.front_ends[0].fragment_size = *size,
        Event::MemberCrashes(member) => fleet.store.members[*member].is_alive = false,
        Event::MemberRestarts(member) => fleet.store.members[*member].is_alive = true,
    }
}

/// Ends all faults, and runs for long enough that the front end follows the store.
fn recover(fleet: &mut Fleet) {
    for member in &mut fleet.store.members {
        member.is_alive = true;
    }
    fleet.front_ends[0].partition = Some(0);
    fleet.front_ends[0].is_paused = false;
    fleet.run(40.0);
}

fn one_front_end() -> Fleet {
    let settings = SyncSettings {
        snapshot_interval: 2.0,
        audit_interval: 5.0,
        ..SyncSettings::default()
    };
    Fleet::new(1, settings)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// With valid transactions only, the view is always that of one revision, never a mixture of several, and only a
    /// restart may make it older. In the end it equals the store.
    #[test]
    fn every_sequence_of_events_leads_to_the_same_view(events in prop::collection::vec(event(false), 1..60)) {
        let mut fleet = one_front_end();
        let mut model = Model::new();
        let mut models = vec![model.clone()];
        let mut last_position = 0;
        for event in &events {
            apply_event(&mut fleet, event, &mut model);
            if matches!(event, Event::Write(_)) {
                models.push(model.clone());
            }
            let seen = in_force(&fleet);
            let position = models.iter().rposition(|model| *model == seen);
            prop_assert!(position.is_some(), "the view is not that of any revision: {seen:?}");
            let position = position.unwrap_or(0);
            let may_roll_back = matches!(event, Event::Restart);
            prop_assert!(may_roll_back || position >= last_position, "the view was rolled back");
            last_position = position;
        }
        recover(&mut fleet);
        prop_assert_eq!(fleet.front_ends[0].core.state(), ReportedState::Following);
        prop_assert_eq!(in_force(&fleet), model);
        prop_assert_eq!(fleet.front_ends[0].core.report().digest_faults, 0);
    }

    /// With some invalid transactions, the view equals the store in the end if none is rejected, and once all invalid
    /// entries are rewritten.
    #[test]
    fn rejected_transactions_are_repaired(events in prop::collection::vec(event(true), 1..60)) {
        let mut fleet = one_front_end();
        let mut model = Model::new();
        for event in &events {
            apply_event(&mut fleet, event, &mut model);
        }
        recover(&mut fleet);
        prop_assert_eq!(fleet.front_ends[0].core.state(), ReportedState::Following);
        if fleet.front_ends[0].core.rejections().is_empty() {
            prop_assert_eq!(in_force(&fleet), model.clone());
        }
        // Invalid entries are rewritten one by one.
        for key in 0..KEYS {
            let store_key = fleet.keyspace.entry(&kit::key(&name(key)));
            let is_invalid = fleet.store.get(&store_key).is_some_and(|known| known.value.starts_with(b"{\"spec\":{\"u"));
            if is_invalid {
                apply_event(&mut fleet, &Event::Write(vec![(key, Content::Valid(1))]), &mut model);
            }
        }
        fleet.run(10.0);
        prop_assert!(fleet.front_ends[0].core.rejections().is_empty());
        prop_assert_eq!(in_force(&fleet), model);
    }
}
