//! Two front ends, two messages, a broker that keeps its state, and deaths at any step: every state that can be
//! reached is gone through, with the ledger itself.

use bytes::Bytes;
use orchidtally_mqtt_triggers::ledger::{
    Action, Answer, DeliveryId, Effect, InvocationTarget, Ledger, Record, Redelivery, Reply,
    StoredMessage,
};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

const MESSAGES: usize = 2;

/// What the broker knows of a message; by front end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Waiting,
    Given(usize),
    /// PUBREC has come.
    Recorded(usize),
    Gone,
}

/// What a front end does next: a thing to do, or something that it is told.
#[derive(Clone, Debug)]
enum Task {
    Action(Action),
    Confirmed(u64),
    Came(u64),
    Recorded(u64),
    Completed(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// The acknowledgement goes out before the message is on the disk.
    AcknowledgeFirst,
    /// That a dispatch went out is not on the disk.
    ForgetsDispatch,
    /// A recovered answer gets a packet id of its own.
    FreshId,
    /// The broker may use a packet id again before it is written down that the message is owned.
    CompletesFirst,
}

#[derive(Clone, Copy, Debug)]
struct Shape {
    effect: Effect,
    qos2: bool,
    /// With QoS 1: what is not acknowledged goes to the other when its front end dies.
    hands_over: bool,
    deaths: u32,
    planted: Planted,
}

#[derive(Clone, Debug, Default)]
struct FrontEnd {
    ledger: Option<Ledger>,
    journal: Vec<Record>,
    todo: VecDeque<Task>,
    /// Exchanges of answers that the broker has recorded and not released.
    exchanges: BTreeSet<u16>,
    ids: u16,
}

#[derive(Clone)]
struct State {
    front_ends: [FrontEnd; 2],
    at: [At; MESSAGES],
    effects: [u32; MESSAGES],
    answers: [Vec<Answer>; MESSAGES],
    deaths: u32,
    key: String,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

fn held(m: usize) -> Rc<StoredMessage> {
    Rc::new(StoredMessage {
        name: m.to_string(),
        topic: m.to_string(),
        payload: Bytes::new(),
        reply: Some(Reply {
            topic: "a".into(),
            correlation: Bytes::new(),
        }),
        target: InvocationTarget::default(),
        until: 1e9,
    })
}

impl State {
    fn new(shape: Shape) -> State {
        let mut front_ends: [FrontEnd; 2] = Default::default();
        front_ends
            .iter_mut()
            .for_each(|f| f.ledger = Some(Ledger::new(9)));
        let answers = Default::default();
        let state = State {
            front_ends,
            at: [At::Waiting; MESSAGES],
            effects: [0; MESSAGES],
            answers,
            deaths: shape.deaths,
            key: String::new(),
        };
        state.keyed()
    }

    fn keyed(mut self) -> State {
        self.key = format!(
            "{:?}{:?}{:?}{:?}{}",
            self.front_ends, self.at, self.effects, self.answers, self.deaths
        );
        self
    }

    fn message(&self, f: usize, n: u64) -> Option<usize> {
        self.front_ends[f]
            .ledger
            .as_ref()?
            .message(n)?
            .topic
            .parse()
            .ok()
    }

    fn give(&mut self, f: usize, m: usize, shape: Shape) {
        self.at[m] = At::Given(f);
        let fe = &mut self.front_ends[f];
        let Some(ledger) = &mut fe.ledger else { return };
        let n = ledger.next_number();
        let todo = ledger.delivered(
            n,
            shape.effect,
            DeliveryId {
                packet: Some(m as u16 + 1),
                confirms: shape.qos2,
            },
            held(m),
            None,
        );
        if shape.planted == Planted::AcknowledgeFirst {
            fe.todo.push_back(Task::Action(Action::Acknowledge(n)));
        }
        fe.todo.extend(todo.into_iter().map(Task::Action));
    }

    /// The broker hears an acknowledgement.
    fn acknowledged(&mut self, f: usize, n: u64, m: usize, shape: Shape) {
        if self.at[m] == At::Given(f) {
            self.at[m] = if shape.qos2 {
                At::Recorded(f)
            } else {
                At::Gone
            };
        }
        self.front_ends[f].todo.push_back(Task::Confirmed(n));
    }

    fn perform(&mut self, f: usize, shape: Shape) {
        let Some(task) = self.front_ends[f].todo.pop_front() else {
            return;
        };
        let message = match &task {
            Task::Action(
                Action::Acknowledge(n)
                | Action::Dispatch(n)
                | Action::Complete(n)
                | Action::Publish { n, .. },
            ) => self.message(f, *n),
            _ => None,
        };
        let fe = &mut self.front_ends[f];
        let Some(ledger) = &mut fe.ledger else { return };
        let more = match task {
            Task::Action(Action::Persist(record)) => {
                if shape.planted != Planted::ForgetsDispatch
                    || !matches!(record, Record::Dispatching { .. })
                {
                    fe.journal.push(record.clone());
                }
                ledger.persisted(&record)
            }
            Task::Action(Action::Acknowledge(n)) => {
                if let Some(m) = message {
                    if shape.planted == Planted::CompletesFirst && shape.qos2 {
                        self.at[m] = At::Gone;
                    }
                    self.acknowledged(f, n, m, shape);
                }
                vec![]
            }
            Task::Action(Action::Complete(_)) => {
                if let Some(m) = message.filter(|&m| self.at[m] == At::Recorded(f)) {
                    self.at[m] = At::Gone;
                }
                vec![]
            }
            Task::Action(Action::Dispatch(n)) => {
                if let Some(m) = message {
                    self.effects[m] += 1;
                }
                fe.todo.push_back(Task::Came(n));
                vec![]
            }
            Task::Action(Action::ReserveReplyId(n)) => {
                fe.ids += 1;
                ledger.reply_id_reserved(n, fe.ids)
            }
            Task::Action(Action::Publish { n, mut id, again }) => {
                if shape.planted == Planted::FreshId && again {
                    fe.ids += 1;
                    id = fe.ids;
                }
                // The broker keeps the id of an exchange until it is released.
                if fe.exchanges.insert(id)
                    && let (Some(m), Some(answer)) = (message, ledger.answer(n))
                {
                    self.answers[m].push(answer.clone());
                }
                fe.todo.push_back(Task::Recorded(n));
                vec![]
            }
            Task::Action(Action::Release { n, id }) => {
                fe.exchanges.remove(&id);
                fe.todo.push_back(Task::Completed(n));
                vec![]
            }
            Task::Action(Action::SetAside(_) | Action::Cancel(_)) => vec![],
            Task::Confirmed(n) => ledger.confirmed(n),
            Task::Came(n) => ledger.invocation_ended(
                n,
                Answer::Succeeded {
                    payload: Bytes::new(),
                },
            ),
            Task::Recorded(n) => ledger.reply_recorded(n),
            Task::Completed(n) => ledger.reply_completed(n),
        };
        self.front_ends[f]
            .todo
            .extend(more.into_iter().map(Task::Action));
    }

    fn die(&mut self, f: usize, shape: Shape) {
        self.deaths -= 1;
        let fe = &mut self.front_ends[f];
        (fe.ledger, fe.todo) = (None, VecDeque::new());
        for m in 0..MESSAGES {
            if !shape.qos2 && shape.hands_over && self.at[m] == At::Given(f) {
                self.at[m] = At::Waiting;
            }
        }
    }

    /// Comes back, and the broker takes its session up again.
    fn come_back(&mut self, f: usize, shape: Shape) {
        let fe = &mut self.front_ends[f];
        let (mut ledger, todo) = Ledger::recover(&fe.journal, 9, 0.0);
        fe.todo.extend(todo.into_iter().map(Task::Action));
        let unconfirmed: Vec<(u64, u16)> = ledger.unconfirmed().collect();
        let mut again = vec![];
        let mut confirmed = vec![];
        for m in 0..MESSAGES {
            let known = unconfirmed.iter().find(|u| usize::from(u.1) == m + 1);
            match (self.at[m], known) {
                // The session says PUBREC to what was taken before, and is told PUBREL.
                (At::Given(g) | At::Recorded(g), Some(&(n, _))) if g == f => {
                    self.at[m] = At::Recorded(f);
                    confirmed.push(n);
                }
                // It says PUBCOMP to what it doesn't know.
                (At::Recorded(g), None) if g == f => self.at[m] = At::Gone,
                (At::Given(g), None) if g == f => again.push(m),
                _ => {}
            }
        }
        let topics: Vec<String> = again.iter().map(usize::to_string).collect();
        let empty = Bytes::new();
        let given: Vec<Redelivery> = again
            .iter()
            .zip(&topics)
            .map(|(&m, topic)| Redelivery {
                packet: m as u16 + 1,
                topic,
                payload: &empty,
            })
            .collect();
        let todo = ledger.session_resumed(true, &given, shape.hands_over);
        fe.todo.extend(confirmed.into_iter().map(Task::Confirmed));
        fe.todo.extend(todo.into_iter().map(Task::Action));
        fe.ledger = Some(ledger);
        for m in again {
            self.give(f, m, shape);
        }
    }

    fn next(&self, shape: Shape) -> Vec<State> {
        let mut states = vec![];
        let mut also = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state.keyed());
        };
        for f in 0..2 {
            if self.front_ends[f].ledger.is_none() {
                also(&|s| s.come_back(f, shape));
                continue;
            }
            if !self.front_ends[f].todo.is_empty() {
                also(&|s| s.perform(f, shape));
            }
            // One that has nothing in hand loses nothing by its death.
            if self.deaths > 0 && !self.front_ends[f].todo.is_empty() {
                also(&|s| s.die(f, shape));
            }
            for m in (0..MESSAGES).filter(|&m| self.at[m] == At::Waiting) {
                also(&|s| s.give(f, m, shape));
            }
        }
        states
    }

    fn is_over(&self) -> bool {
        self.front_ends
            .iter()
            .all(|f| f.ledger.is_some() && f.todo.is_empty())
            && self.at.iter().all(|a| *a != At::Waiting)
    }
}

#[derive(Debug, Default, PartialEq)]
struct Found {
    effects: u32,
    answers: usize,
    fewest: usize,
    unknown: bool,
}

fn all_states(shape: Shape) -> Found {
    let mut found = Found {
        fewest: usize::MAX,
        ..Found::default()
    };
    let mut states = 0u64;
    for state in bfs_reach(State::new(shape), |s| s.next(shape)) {
        states += 1;
        for m in 0..MESSAGES {
            found.effects = found.effects.max(state.effects[m]);
            found.answers = found.answers.max(state.answers[m].len());
            found.unknown |= state.answers[m].contains(&Answer::Unknown);
            if state.is_over() {
                found.fewest = found.fewest.min(state.answers[m].len());
            }
        }
    }
    println!("{shape:?}: {states} states, {found:?}");
    found
}

const PLAIN: Shape = Shape {
    effect: Effect::NonIdempotent,
    qos2: true,
    hands_over: false,
    deaths: 2,
    planted: Planted::Nothing,
};

#[test]
fn a_non_idempotent_message_has_one_effect_at_the_most_and_one_answer() {
    let once = Found {
        effects: 1,
        answers: 1,
        fewest: 1,
        unknown: true,
    };
    assert_eq!(all_states(PLAIN), once);
    assert_eq!(
        all_states(Shape {
            qos2: false,
            ..PLAIN
        }),
        once
    );
    // Where the broker hands over with QoS 1: never two, but none if the front end died between the
    // acknowledgement and its confirmation.
    let handed = Shape {
        qos2: false,
        hands_over: true,
        deaths: 1,
        ..PLAIN
    };
    assert_eq!(all_states(handed), Found { fewest: 0, ..once });
}

#[test]
fn others_may_run_again_and_are_answered_once_with_what_they_came_to() {
    for effect in [Effect::Idempotent, Effect::Tokened { until: 1e9 }] {
        for qos2 in [true, false] {
            let found = all_states(Shape {
                effect,
                qos2,
                ..PLAIN
            });
            assert!(found.effects > 1, "deaths are gone through");
            assert_eq!((found.answers, found.fewest, found.unknown), (1, 1, false));
        }
    }
    // A token that is forgotten by then protects nothing.
    let forgotten = all_states(Shape {
        effect: Effect::Tokened { until: -1.0 },
        ..PLAIN
    });
    assert_eq!(
        forgotten,
        Found {
            effects: 1,
            answers: 1,
            fewest: 1,
            unknown: true
        }
    );
}

#[test]
fn planted_faults_are_found() {
    let found = |planted| {
        all_states(Shape {
            planted,
            deaths: 1,
            ..PLAIN
        })
    };
    assert_eq!(
        found(Planted::AcknowledgeFirst).fewest,
        0,
        "what is acknowledged and not written down is lost"
    );
    assert!(
        found(Planted::ForgetsDispatch).effects > 1,
        "a dispatch that is forgotten is made again"
    );
    assert!(
        found(Planted::FreshId).answers > 1,
        "an answer under another id is a second answer"
    );
    assert_eq!(
        found(Planted::CompletesFirst).fewest,
        0,
        "of a message that was let go of nobody speaks again"
    );
}
