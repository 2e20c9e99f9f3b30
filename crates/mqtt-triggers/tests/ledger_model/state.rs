//! The state of broker, front ends and disks, and every step that can follow it.

use bytes::Bytes;
use orchidtally_mqtt_triggers::ledger::{
    Action, Answer, DeliveryId, Idempotency, InvocationTarget, Ledger, Record, Redelivery, Reply,
    StoredMessage,
};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

pub const MESSAGES: usize = 2;

/// What the broker knows of a message; by front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokerState {
    Waiting,
    Delivered(usize),
    /// PUBREC has come.
    Recorded(usize),
    Completed,
}

/// What a front end does next: a thing to do, or something that it is told.
#[derive(Clone, Debug)]
pub enum Task {
    Action(Action),
    Confirmed(u64),
    InvocationEnded(u64),
    Recorded(u64),
    Completed(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
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
pub struct Shape {
    pub effect: Idempotency,
    pub qos2: bool,
    /// With QoS 1: what is not acknowledged goes to the other when its front end dies.
    pub reassigns_unacknowledged: bool,
    pub crashes: u32,
    pub planted_fault: PlantedFault,
}

#[derive(Clone, Debug, Default)]
pub struct FrontEnd {
    ledger: Option<Ledger>,
    journal: Vec<Record>,
    tasks: VecDeque<Task>,
    /// Exchanges of answers that the broker has recorded and not released.
    exchanges: BTreeSet<u16>,
    ids: u16,
}

#[derive(Clone)]
pub struct State {
    pub front_ends: [FrontEnd; 2],
    pub broker: [BrokerState; MESSAGES],
    pub effects: [u32; MESSAGES],
    pub answers: [Vec<Answer>; MESSAGES],
    pub crashes: u32,
    pub key: String,
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

fn stored_message(message: usize) -> Rc<StoredMessage> {
    Rc::new(StoredMessage {
        name: message.to_string(),
        topic: message.to_string(),
        payload: Bytes::new(),
        reply: Some(Reply {
            topic: "a".into(),
            correlation: Bytes::new(),
        }),
        target: InvocationTarget::default(),
        expires_at: 1e9,
    })
}

impl State {
    pub fn new(shape: Shape) -> State {
        let mut front_ends: [FrontEnd; 2] = Default::default();
        front_ends
            .iter_mut()
            .for_each(|front_end| front_end.ledger = Some(Ledger::new(9)));
        let answers = Default::default();
        let state = State {
            front_ends,
            broker: [BrokerState::Waiting; MESSAGES],
            effects: [0; MESSAGES],
            answers,
            crashes: shape.crashes,
            key: String::new(),
        };
        state.keyed()
    }

    fn keyed(mut self) -> State {
        self.key = format!(
            "{:?}{:?}{:?}{:?}{}",
            self.front_ends, self.broker, self.effects, self.answers, self.crashes
        );
        self
    }

    fn message(&self, front_end: usize, message_id: u64) -> Option<usize> {
        self.front_ends[front_end]
            .ledger
            .as_ref()?
            .message(message_id)?
            .topic
            .parse()
            .ok()
    }

    fn give(&mut self, front_end: usize, message: usize, shape: Shape) {
        self.broker[message] = BrokerState::Delivered(front_end);
        let fe = &mut self.front_ends[front_end];
        let Some(ledger) = &mut fe.ledger else { return };
        let message_id = ledger.next_id();
        let tasks = ledger.delivered(
            message_id,
            shape.effect,
            DeliveryId {
                packet_id: Some(message as u16 + 1),
                is_qos2: shape.qos2,
            },
            stored_message(message),
            None,
        );
        if shape.planted_fault == PlantedFault::AcknowledgeFirst {
            fe.tasks
                .push_back(Task::Action(Action::Acknowledge(message_id)));
        }
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
    }

    /// The broker hears an acknowledgement.
    fn acknowledged(&mut self, front_end: usize, message_id: u64, message: usize, shape: Shape) {
        if self.broker[message] == BrokerState::Delivered(front_end) {
            self.broker[message] = if shape.qos2 {
                BrokerState::Recorded(front_end)
            } else {
                BrokerState::Completed
            };
        }
        self.front_ends[front_end]
            .tasks
            .push_back(Task::Confirmed(message_id));
    }

    fn perform(&mut self, front_end: usize, shape: Shape) {
        let Some(task) = self.front_ends[front_end].tasks.pop_front() else {
            return;
        };
        let message = match &task {
            Task::Action(
                Action::Acknowledge(message_id)
                | Action::Dispatch(message_id)
                | Action::Complete(message_id)
                | Action::Publish { message_id, .. },
            ) => self.message(front_end, *message_id),
            _ => None,
        };
        let fe = &mut self.front_ends[front_end];
        let Some(ledger) = &mut fe.ledger else { return };
        let more = match task {
            Task::Action(Action::Persist(record)) => {
                if shape.planted_fault != PlantedFault::ForgetsDispatch
                    || !matches!(record, Record::Dispatching { .. })
                {
                    fe.journal.push(record.clone());
                }
                ledger.persisted(&record)
            }
            Task::Action(Action::Acknowledge(message_id)) => {
                if let Some(message) = message {
                    if shape.planted_fault == PlantedFault::CompletesFirst && shape.qos2 {
                        self.broker[message] = BrokerState::Completed;
                    }
                    self.acknowledged(front_end, message_id, message, shape);
                }
                vec![]
            }
            Task::Action(Action::Complete(_)) => {
                if let Some(message) = message
                    .filter(|&message| self.broker[message] == BrokerState::Recorded(front_end))
                {
                    self.broker[message] = BrokerState::Completed;
                }
                vec![]
            }
            Task::Action(Action::Dispatch(message_id)) => {
                if let Some(message) = message {
                    self.effects[message] += 1;
                }
                fe.tasks.push_back(Task::InvocationEnded(message_id));
                vec![]
            }
            Task::Action(Action::ReserveReplyId(message_id)) => {
                fe.ids += 1;
                ledger.reply_id_reserved(message_id, fe.ids)
            }
            Task::Action(Action::Publish {
                message_id,
                mut id,
                is_republished: again,
            }) => {
                if shape.planted_fault == PlantedFault::FreshId && again {
                    fe.ids += 1;
                    id = fe.ids;
                }
                // The broker keeps the id of an exchange until it is released.
                if fe.exchanges.insert(id)
                    && let (Some(message), Some(answer)) = (message, ledger.answer(message_id))
                {
                    self.answers[message].push(answer.clone());
                }
                fe.tasks.push_back(Task::Recorded(message_id));
                vec![]
            }
            Task::Action(Action::Release { message_id, id }) => {
                fe.exchanges.remove(&id);
                fe.tasks.push_back(Task::Completed(message_id));
                vec![]
            }
            Task::Action(Action::PublishDeadLetter(_) | Action::Cancel(_)) => vec![],
            Task::Confirmed(message_id) => ledger.confirmed(message_id),
            Task::InvocationEnded(message_id) => ledger.invocation_ended(
                message_id,
                Answer::Succeeded {
                    payload: Bytes::new(),
                },
            ),
            Task::Recorded(message_id) => ledger.reply_recorded(message_id),
            Task::Completed(message_id) => ledger.reply_completed(message_id),
        };
        self.front_ends[front_end]
            .tasks
            .extend(more.into_iter().map(Task::Action));
    }

    fn die(&mut self, front_end: usize, shape: Shape) {
        self.crashes -= 1;
        let fe = &mut self.front_ends[front_end];
        (fe.ledger, fe.tasks) = (None, VecDeque::new());
        for message in 0..MESSAGES {
            if !shape.qos2
                && shape.reassigns_unacknowledged
                && self.broker[message] == BrokerState::Delivered(front_end)
            {
                self.broker[message] = BrokerState::Waiting;
            }
        }
    }

    /// Comes back, and the broker takes its session up again.
    fn come_back(&mut self, front_end: usize, shape: Shape) {
        let fe = &mut self.front_ends[front_end];
        let (mut ledger, tasks) = Ledger::recover(&fe.journal, 9, 0.0);
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
        let unconfirmed: Vec<(u64, u16)> = ledger.unconfirmed().collect();
        let mut again = vec![];
        let mut confirmed = vec![];
        for message in 0..MESSAGES {
            let known = unconfirmed.iter().find(|u| usize::from(u.1) == message + 1);
            match (self.broker[message], known) {
                // The session says PUBREC to what was taken before, and is told PUBREL.
                (BrokerState::Delivered(g) | BrokerState::Recorded(g), Some(&(message_id, _)))
                    if g == front_end =>
                {
                    self.broker[message] = BrokerState::Recorded(front_end);
                    confirmed.push(message_id);
                }
                // It says PUBCOMP to what it doesn't know.
                (BrokerState::Recorded(g), None) if g == front_end => {
                    self.broker[message] = BrokerState::Completed
                }
                (BrokerState::Delivered(g), None) if g == front_end => again.push(message),
                _ => {}
            }
        }
        let topics: Vec<String> = again.iter().map(usize::to_string).collect();
        let empty = Bytes::new();
        let given: Vec<Redelivery> = again
            .iter()
            .zip(&topics)
            .map(|(&message, topic)| Redelivery {
                packet_id: message as u16 + 1,
                topic,
                payload: &empty,
            })
            .collect();
        let tasks = ledger.session_resumed(true, &given, shape.reassigns_unacknowledged);
        fe.tasks.extend(confirmed.into_iter().map(Task::Confirmed));
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
        fe.ledger = Some(ledger);
        for message in again {
            self.give(front_end, message, shape);
        }
    }

    pub fn next(&self, shape: Shape) -> Vec<State> {
        let mut states = vec![];
        let mut also = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state.keyed());
        };
        for front_end in 0..2 {
            if self.front_ends[front_end].ledger.is_none() {
                also(&|s| s.come_back(front_end, shape));
                continue;
            }
            if !self.front_ends[front_end].tasks.is_empty() {
                also(&|s| s.perform(front_end, shape));
            }
            // One that has nothing in hand loses nothing by its death.
            if self.crashes > 0 && !self.front_ends[front_end].tasks.is_empty() {
                also(&|s| s.die(front_end, shape));
            }
            for message in
                (0..MESSAGES).filter(|&message| self.broker[message] == BrokerState::Waiting)
            {
                also(&|s| s.give(front_end, message, shape));
            }
        }
        states
    }

    pub fn is_over(&self) -> bool {
        self.front_ends
            .iter()
            .all(|front_end| front_end.ledger.is_some() && front_end.tasks.is_empty())
            && self.broker.iter().all(|a| *a != BrokerState::Waiting)
    }
}
