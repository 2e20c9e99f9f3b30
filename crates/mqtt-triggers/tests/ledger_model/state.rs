//! The model's state (broker, front ends and disks) and its transitions.

use bytes::Bytes;
use orchidtally_mqtt_triggers::ledger::{
    Action, Answer, DeliveryId, Idempotency, InvocationTarget, Ledger, Record, Redelivery, Reply,
    StoredMessage,
};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

pub const MESSAGES: usize = 2;

/// The broker's state of a message, with the index of the front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokerState {
    Waiting,
    Delivered(usize),
    /// PUBREC has arrived.
    Recorded(usize),
    Completed,
}

/// A pending step of a front end: an action to perform, or an event to handle.
#[derive(Clone, Debug)]
pub enum Task {
    Action(Action),
    Confirmed(u64),
    InvocationEnded(u64),
    Recorded(u64),
    Completed(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedFault {
    NoFault,
    /// The acknowledgement is sent before the message is on disk.
    AcknowledgesBeforePersisting,
    /// The record of a dispatch is not written.
    OmitsDispatchRecord,
    /// A recovered answer gets a new packet identifier.
    NewPacketId,
    /// The broker may reuse a packet identifier before the ownership of the message is persisted.
    CompletesBeforeOwned,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub idempotency: Idempotency,
    pub qos2: bool,
    /// With QoS 1: an unacknowledged message is delivered to the other front end when its front end crashes.
    pub reassigns_unacknowledged: bool,
    pub crashes: u32,
    pub injected_fault: InjectedFault,
}

#[derive(Clone, Debug, Default)]
pub struct FrontEnd {
    ledger: Option<Ledger>,
    journal: Vec<Record>,
    tasks: VecDeque<Task>,
    /// Packet identifiers of answers that the broker has recorded and that are not released.
    exchanges: BTreeSet<u16>,
    last_packet_id: u16,
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
    pub fn new(scenario: Scenario) -> State {
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
            crashes: scenario.crashes,
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

    fn deliver(&mut self, front_end: usize, message: usize, scenario: Scenario) {
        self.broker[message] = BrokerState::Delivered(front_end);
        let fe = &mut self.front_ends[front_end];
        let Some(ledger) = &mut fe.ledger else { return };
        let message_id = ledger.next_id();
        let tasks = ledger.delivered(
            message_id,
            scenario.idempotency,
            DeliveryId {
                packet_id: Some(message as u16 + 1),
                is_qos2: scenario.qos2,
            },
            stored_message(message),
            None,
        );
        if scenario.injected_fault == InjectedFault::AcknowledgesBeforePersisting {
            fe.tasks
                .push_back(Task::Action(Action::Acknowledge(message_id)));
        }
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
    }

    /// Handles an acknowledgement at the broker.
    fn acknowledged(
        &mut self,
        front_end: usize,
        message_id: u64,
        message: usize,
        scenario: Scenario,
    ) {
        if self.broker[message] == BrokerState::Delivered(front_end) {
            self.broker[message] = if scenario.qos2 {
                BrokerState::Recorded(front_end)
            } else {
                BrokerState::Completed
            };
        }
        self.front_ends[front_end]
            .tasks
            .push_back(Task::Confirmed(message_id));
    }

    fn perform(&mut self, front_end: usize, scenario: Scenario) {
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
        let actions = match task {
            Task::Action(Action::Persist(record)) => {
                if scenario.injected_fault != InjectedFault::OmitsDispatchRecord
                    || !matches!(record, Record::Dispatching { .. })
                {
                    fe.journal.push(record.clone());
                }
                ledger.persisted(&record)
            }
            Task::Action(Action::Acknowledge(message_id)) => {
                if let Some(message) = message {
                    if scenario.injected_fault == InjectedFault::CompletesBeforeOwned
                        && scenario.qos2
                    {
                        self.broker[message] = BrokerState::Completed;
                    }
                    self.acknowledged(front_end, message_id, message, scenario);
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
                fe.last_packet_id += 1;
                ledger.reply_id_reserved(message_id, fe.last_packet_id)
            }
            Task::Action(Action::Publish {
                message_id,
                mut id,
                is_republished,
            }) => {
                if scenario.injected_fault == InjectedFault::NewPacketId && is_republished {
                    fe.last_packet_id += 1;
                    id = fe.last_packet_id;
                }
                // The broker keeps the packet identifier of an exchange until it is released, and ignores duplicates.
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
            .extend(actions.into_iter().map(Task::Action));
    }

    fn crash(&mut self, front_end: usize, scenario: Scenario) {
        self.crashes -= 1;
        let fe = &mut self.front_ends[front_end];
        (fe.ledger, fe.tasks) = (None, VecDeque::new());
        for message in 0..MESSAGES {
            if !scenario.qos2
                && scenario.reassigns_unacknowledged
                && self.broker[message] == BrokerState::Delivered(front_end)
            {
                self.broker[message] = BrokerState::Waiting;
            }
        }
    }

    /// Restarts a front end, whose session the broker resumes.
    fn restart(&mut self, front_end: usize, scenario: Scenario) {
        let fe = &mut self.front_ends[front_end];
        let (mut ledger, tasks) = Ledger::recover(&fe.journal, 9, 0.0);
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
        let unconfirmed: Vec<(u64, u16)> = ledger.unconfirmed().collect();
        let mut redelivered = vec![];
        let mut confirmed = vec![];
        for message in 0..MESSAGES {
            let unconfirmed_entry = unconfirmed.iter().find(|u| usize::from(u.1) == message + 1);
            match (self.broker[message], unconfirmed_entry) {
                // The session repeats the PUBREC of a persisted message, and the broker answers with PUBREL.
                (BrokerState::Delivered(g) | BrokerState::Recorded(g), Some(&(message_id, _)))
                    if g == front_end =>
                {
                    self.broker[message] = BrokerState::Recorded(front_end);
                    confirmed.push(message_id);
                }
                // The session answers PUBCOMP to an unknown PUBREL.
                (BrokerState::Recorded(g), None) if g == front_end => {
                    self.broker[message] = BrokerState::Completed
                }
                (BrokerState::Delivered(g), None) if g == front_end => redelivered.push(message),
                _ => {}
            }
        }
        let topics: Vec<String> = redelivered.iter().map(usize::to_string).collect();
        let empty = Bytes::new();
        let redeliveries: Vec<Redelivery> = redelivered
            .iter()
            .zip(&topics)
            .map(|(&message, topic)| Redelivery {
                packet_id: message as u16 + 1,
                topic,
                payload: &empty,
            })
            .collect();
        let tasks = ledger.session_resumed(true, &redeliveries, scenario.reassigns_unacknowledged);
        fe.tasks.extend(confirmed.into_iter().map(Task::Confirmed));
        fe.tasks.extend(tasks.into_iter().map(Task::Action));
        fe.ledger = Some(ledger);
        for message in redelivered {
            self.deliver(front_end, message, scenario);
        }
    }

    pub fn next(&self, scenario: Scenario) -> Vec<State> {
        let mut states = vec![];
        let mut add = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state.keyed());
        };
        for front_end in 0..2 {
            if self.front_ends[front_end].ledger.is_none() {
                add(&|s| s.restart(front_end, scenario));
                continue;
            }
            if !self.front_ends[front_end].tasks.is_empty() {
                add(&|s| s.perform(front_end, scenario));
            }
            // The crash of a front end without pending tasks changes nothing.
            if self.crashes > 0 && !self.front_ends[front_end].tasks.is_empty() {
                add(&|s| s.crash(front_end, scenario));
            }
            for message in
                (0..MESSAGES).filter(|&message| self.broker[message] == BrokerState::Waiting)
            {
                add(&|s| s.deliver(front_end, message, scenario));
            }
        }
        states
    }

    pub fn is_final(&self) -> bool {
        self.front_ends
            .iter()
            .all(|front_end| front_end.ledger.is_some() && front_end.tasks.is_empty())
            && self.broker.iter().all(|a| *a != BrokerState::Waiting)
    }
}
