//! By whatever way a front end comes to a revision, its view is the one that applying the transactions directly
//! gives.

mod kit;

use kit::fleet::Fleet;
use kit::{delete, function, put, quota};
use orchidtally_config_sync::writer::EntryChange;
use orchidtally_config_sync::{ReportedState, SyncSettings};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Something that happens between a writer and a front end.
#[derive(Clone, Debug)]
enum Event {
    Write(Vec<(usize, Content)>),
    Run(f64),
    Disconnect,
    CutOff,
    Heal,
    Compact,
    Restart,
    Pause,
    Wake,
    Fragment(usize),
    MemberDies(usize),
    MemberReturns(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Content {
    Good(u8),
    Bad,
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
        Content::Bad => put(&name, br#"{"spec":{"unknown":1}}"#.to_vec()),
        Content::Good(n) if key.is_multiple_of(3) => put(&name, quota(f64::from(*n) + 1.0)),
        Content::Good(n) => put(&name, function(&n.to_string(), "serve", true)),
    }
}

fn content(with_bad: bool) -> impl Strategy<Value = Content> {
    let bad = if with_bad { 1 } else { 0 };
    prop_oneof![
        6 => any::<u8>().prop_map(Content::Good),
        2 => Just(Content::Deleted),
        bad => Just(Content::Bad),
    ]
}

fn event(with_bad: bool) -> impl Strategy<Value = Event> {
    let write = prop::collection::btree_map(0..KEYS, content(with_bad), 1..5)
        .prop_map(|changes| Event::Write(changes.into_iter().collect()));
    prop_oneof![
        8 => write,
        6 => (0.1f64..8.0).prop_map(Event::Run),
        1 => Just(Event::Disconnect),
        1 => Just(Event::CutOff),
        2 => Just(Event::Heal),
        1 => Just(Event::Compact),
        1 => Just(Event::Restart),
        1 => Just(Event::Pause),
        2 => Just(Event::Wake),
        1 => (1usize..4).prop_map(Event::Fragment),
        1 => (0usize..2).prop_map(Event::MemberDies),
        1 => (0usize..2).prop_map(Event::MemberReturns),
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

fn play(fleet: &mut Fleet, event: &Event, model: &mut Model) {
    let now = fleet.now;
    match event {
        Event::Write(changes) => {
            let written: Vec<EntryChange> = changes.iter().map(change).collect();
            fleet.write_unchecked(&written);
            model_write(model, &written);
        }
        Event::Run(seconds) => fleet.run(*seconds),
        Event::Disconnect => fleet.front_ends[0].disconnect(now),
        Event::CutOff => fleet.front_ends[0].side = None,
        Event::Heal => fleet.front_ends[0].side = Some(0),
        Event::Compact => fleet.store.compact(fleet.store.revision),
        Event::Restart => {
            let settings = fleet.settings.clone();
            fleet.front_ends[0].restart(settings, 3, now);
        }
        Event::Pause => fleet.front_ends[0].is_paused = true,
        Event::Wake => fleet.front_ends[0].is_paused = false,
        Event::Fragment(size) => fleet.front_ends[0].fragment = *size,
        Event::MemberDies(member) => fleet.store.members[*member].is_alive = false,
        Event::MemberReturns(member) => fleet.store.members[*member].is_alive = true,
    }
}

/// All is well again, for long enough.
fn calm(fleet: &mut Fleet) {
    for member in &mut fleet.store.members {
        member.is_alive = true;
    }
    fleet.front_ends[0].side = Some(0);
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

    /// With valid transactions: at each time the view is the one of some revision, never a mixture, never an
    /// older one than before; in the end it is the store's.
    #[test]
    fn any_way_leads_to_the_same_view(events in prop::collection::vec(event(false), 1..60)) {
        let mut fleet = one_front_end();
        let mut model = Model::new();
        let mut models = vec![model.clone()];
        let mut last = 0;
        for event in &events {
            play(&mut fleet, event, &mut model);
            if matches!(event, Event::Write(_)) {
                models.push(model.clone());
            }
            let seen = in_force(&fleet);
            let place = models.iter().rposition(|model| *model == seen);
            prop_assert!(place.is_some(), "a view of no revision: {seen:?}");
            let place = place.unwrap_or(0);
            let may_go_back = matches!(event, Event::Restart);
            prop_assert!(may_go_back || place >= last, "the view went back");
            last = place;
        }
        calm(&mut fleet);
        prop_assert_eq!(fleet.front_ends[0].core.state(), ReportedState::Following);
        prop_assert_eq!(in_force(&fleet), model);
        prop_assert_eq!(fleet.front_ends[0].core.report().digest_faults, 0);
    }

    /// With invalid transactions among them: keys that aren't rejected are the store's in the end, and once all
    /// transactions are healed, all of them are.
    #[test]
    fn rejected_transactions_heal(events in prop::collection::vec(event(true), 1..60)) {
        let mut fleet = one_front_end();
        let mut model = Model::new();
        for event in &events {
            play(&mut fleet, event, &mut model);
        }
        calm(&mut fleet);
        prop_assert_eq!(fleet.front_ends[0].core.state(), ReportedState::Following);
        if fleet.front_ends[0].core.rejections().is_empty() {
            prop_assert_eq!(in_force(&fleet), model.clone());
        }
        // What is bad is written anew, one by one.
        for key in 0..KEYS {
            let store_key = fleet.keyspace.entry(&kit::key(&name(key)));
            let is_bad = fleet.store.get(&store_key).is_some_and(|known| known.value.starts_with(b"{\"spec\":{\"u"));
            if is_bad {
                play(&mut fleet, &Event::Write(vec![(key, Content::Good(1))]), &mut model);
            }
        }
        fleet.run(10.0);
        prop_assert!(fleet.front_ends[0].core.rejections().is_empty());
        prop_assert_eq!(in_force(&fleet), model);
    }
}
