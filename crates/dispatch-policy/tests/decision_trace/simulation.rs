//! Runs a scenario: simulates clients, executors and the endpoint list around one dispatcher, with a virtual clock.

mod environment;
mod executions;

use crate::fleet::{Fleet, LOAD_TIME};
use crate::random::SeededRandom;
use crate::recorder::{ActionCounts, PendingAction, Recorder};
use crate::scenarios::{Scenario, base_policy};
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const START: f64 = 1_000.0;
/// Seconds from a decision until its bytes are sent, in scenarios with revalidation.
const SEND_DELAY: f64 = 0.003;

/// The results of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    pub digest: u64,
    pub counts: ActionCounts,
    pub succeeded: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Timer,
    FullListArrives,
    ListChange,
    Prewarm,
    MembershipChange,
    ViewReport,
    Stall,
    Reconfiguration,
    Shutdown,
    SendDispatch {
        invocation: u32,
        dispatch: u8,
    },
    SendLoad {
        to: ExecutorId,
        function: u64,
        decided_at: f64,
    },
    LoadEnds {
        to: ExecutorId,
        function: u64,
    },
    ResponseStarts {
        invocation: u32,
        dispatch: u8,
    },
    DispatchEnds {
        invocation: u32,
        dispatch: u8,
        status: DispatchStatus,
        copy_state: ReplicaState,
    },
    ClientCancel {
        invocation: u32,
    },
}

#[derive(Clone, Copy)]
struct SentDispatch {
    to: ExecutorId,
    sent_at: f64,
    ended: bool,
}

struct OpenInvocation {
    function: u64,
    timeout_at: f64,
    closed: bool,
    dispatches: Vec<SentDispatch>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: SeededRandom,
    dispatcher: Dispatcher,
    recorder: Recorder,
    fleet: Fleet,
    /// Ordered by the bits of the time (times are positive) and the order of insertion.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    invocations: BTreeMap<u32, OpenInvocation>,
    next_invocation: u32,
    succeeded: u64,
    trigger_types: usize,
    customers: usize,
    /// Dispatches that were cancelled or never sent. Their results are not delivered.
    dropped: BTreeSet<(u32, u8)>,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Summary {
    let mut policy = base_policy();
    (scenario.policy)(&mut policy);
    let (trigger_types, customers) = (policy.trigger_types.len(), policy.quotas.len().max(1));
    let mut recorder = Recorder::new(START);
    let dispatcher = Dispatcher::new(policy, scenario.seed, START, &mut recorder);
    let mut random = SeededRandom::new(scenario.seed);
    let fleet = Fleet::new(scenario, &mut random, START);
    let mut simulation = Simulation {
        scenario,
        random,
        dispatcher,
        recorder,
        fleet,
        events: BTreeMap::new(),
        event_count: 0,
        invocations: BTreeMap::new(),
        next_invocation: 1,
        succeeded: 0,
        trigger_types,
        customers,
        dropped: BTreeSet::new(),
    };
    simulation.start();
    simulation.run_until_idle();
    Summary {
        digest: simulation.recorder.digest(),
        counts: simulation.recorder.counts,
        succeeded: simulation.succeeded,
    }
}

impl Simulation<'_> {
    fn start(&mut self) {
        let endpoints = self.fleet.endpoints();
        self.dispatcher.on_endpoint_update(
            START,
            EndpointUpdateKind::Full,
            &endpoints,
            &mut self.recorder,
        );
        let scenario = self.scenario;
        let streams = [
            (scenario.arrivals, Event::Arrival),
            (scenario.list_changes, Event::ListChange),
            (scenario.prewarms, Event::Prewarm),
            (scenario.membership_changes, Event::MembershipChange),
            (scenario.view_reports, Event::ViewReport),
            (scenario.stalls, Event::Stall),
            (scenario.reconfigurations, Event::Reconfiguration),
        ];
        for (rate, event) in streams {
            self.schedule_next(rate, event);
        }
        if scenario.shutdown_at.is_finite() {
            self.schedule(scenario.shutdown_at, Event::Shutdown);
        }
        self.perform_pending_actions();
    }

    fn run_until_idle(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.recorder.now = f64::from_bits(at);
            self.handle_event(event);
            self.perform_pending_actions();
        }
        let kept = self.dispatcher.table_sizes();
        self.recorder.note(20, kept.executors as u64);
        self.recorder.note(21, kept.functions as u64);
        self.recorder.note(22, kept.invocations as u64);
    }

    fn now(&self) -> f64 {
        self.recorder.now
    }

    fn is_over(&self) -> bool {
        self.now() > START + self.scenario.duration
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        let at = self.now() + delay.max(0.0);
        self.event_count += 1;
        self.events.insert((at.to_bits(), self.event_count), event);
    }

    /// Schedules the next event of a Poisson process.
    fn schedule_next(&mut self, rate: f64, event: Event) {
        if rate > 0.0 && !self.is_over() {
            let gap = -(1.0 - self.random.unit()).ln() / rate;
            self.schedule(gap, event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Arrival => self.arrive(),
            Event::Timer => self.dispatcher.on_timer(now, 0, &mut self.recorder),
            Event::FullListArrives => self.send_full_list(),
            Event::ListChange => self.change_list(),
            Event::Prewarm => self.prewarm(),
            Event::MembershipChange => self.change_membership(),
            Event::ViewReport => self.report_view(),
            Event::Stall => self.stall(),
            Event::Reconfiguration => self.reconfigure(),
            Event::Shutdown => self
                .dispatcher
                .begin_shutdown(now, now + 1.5, &mut self.recorder),
            Event::SendDispatch {
                invocation,
                dispatch,
            } => self.revalidate_dispatch(invocation, dispatch),
            Event::SendLoad {
                to,
                function,
                decided_at,
            } => self.revalidate_load(to, function, decided_at),
            Event::LoadEnds { to, function } => self.end_load(to, function),
            Event::ResponseStarts {
                invocation,
                dispatch,
            } => {
                let is_in_flight = !self.dropped.contains(&(invocation, dispatch));
                if is_in_flight
                    && self
                        .invocations
                        .get(&invocation)
                        .is_some_and(|open| !open.closed)
                {
                    self.dispatcher.on_response_started(
                        now,
                        invocation,
                        dispatch,
                        &mut self.recorder,
                    );
                }
            }
            Event::DispatchEnds {
                invocation,
                dispatch,
                status,
                copy_state,
            } => {
                self.end_dispatch(invocation, dispatch, status, copy_state);
            }
            Event::ClientCancel { invocation } => self.cancel_by_client(invocation),
        }
    }

    fn arrive(&mut self) {
        let (now, id) = (self.now(), self.next_invocation);
        self.next_invocation += 1;
        let function = self.random.skewed_below(self.scenario.functions) as u64 * 7_919 + 13;
        let time_limit = if self.random.chance(0.1) {
            0.2 + self.random.unit()
        } else {
            5.0
        };
        let invocation = Invocation {
            id,
            trigger_type: self.random.below(self.trigger_types),
            customer: self.random.below(self.customers),
            function,
            is_retry: self.random.chance(0.1),
            is_migrated: self.random.chance(0.02),
            timeout_at: now + time_limit,
            expected_work: self
                .random
                .chance(0.5)
                .then(|| 0.05 + 0.3 * self.random.unit()),
            concurrency: 1.0 + (function % 4) as f64,
            load_time: self.random.chance(0.8).then_some(LOAD_TIME),
        };
        let timeout_at = invocation.timeout_at;
        self.invocations.insert(
            id,
            OpenInvocation {
                function,
                timeout_at,
                closed: false,
                dispatches: vec![],
            },
        );
        self.dispatcher
            .on_invocation(now, &invocation, &mut self.recorder);
        if self.random.chance(self.scenario.client_cancels) {
            let delay = self.random.unit() * time_limit;
            self.schedule(delay, Event::ClientCancel { invocation: id });
        }
        self.schedule_next(self.scenario.arrivals, Event::Arrival);
    }

    fn cancel_by_client(&mut self, invocation: u32) {
        let now = self.now();
        let Some(open) = self.invocations.get_mut(&invocation) else {
            return;
        };
        if !open.closed {
            open.closed = true;
            self.dispatcher
                .on_client_cancel(now, invocation, &mut self.recorder);
        }
    }

    /// Performs the actions that the policy has taken since the last call.
    fn perform_pending_actions(&mut self) {
        while !self.recorder.pending.is_empty() {
            for action in std::mem::take(&mut self.recorder.pending) {
                self.perform_action(action);
            }
        }
    }

    fn perform_action(&mut self, action: PendingAction) {
        let now = self.now();
        match action {
            PendingAction::Dispatch {
                invocation,
                to,
                timeout,
            } => self.send(invocation, to, timeout),
            PendingAction::Final { invocation } => {
                if let Some(open) = self.invocations.get_mut(&invocation) {
                    open.closed = true;
                }
            }
            PendingAction::Cancel {
                invocation,
                dispatch,
            } => {
                self.dropped.insert((invocation, dispatch));
                let (status, copy_state) = (DispatchStatus::Cancelled, ReplicaState::Unknown);
                self.schedule(
                    0.001,
                    Event::DispatchEnds {
                        invocation,
                        dispatch,
                        status,
                        copy_state,
                    },
                );
            }
            PendingAction::Load { to, function } if self.scenario.revalidates => {
                self.schedule(
                    SEND_DELAY,
                    Event::SendLoad {
                        to,
                        function,
                        decided_at: now,
                    },
                );
            }
            PendingAction::Load { to, function } => self.schedule_load(to, function),
            PendingAction::SetTimer { delay } => self.schedule(delay, Event::Timer),
            PendingAction::Subscribe => {
                let delay = 0.01 + 0.1 * self.random.unit();
                self.schedule(delay, Event::FullListArrives);
            }
        }
    }
}
