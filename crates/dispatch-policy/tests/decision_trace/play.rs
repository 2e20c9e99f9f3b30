//! Plays a scenario: clients, executors and the endpoint list around one dispatcher, on a clock of its own.

mod disturbances;
mod executions;

use crate::fleet::{Fleet, LOAD_TIME};
use crate::recorder::{ActionCounts, Pending, Recorder};
use crate::scenarios::{Scenario, base_policy};
use crate::seeded::Seeded;
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const START: f64 = 1_000.0;
/// How long bytes take to leave where dispatches are asked again.
const SEND_DELAY: f64 = 0.003;

/// What a play comes to.
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
    Subscribed,
    ListChange,
    Prewarm,
    MembershipChange,
    ViewReport,
    Stall,
    Reconfiguration,
    Shutdown,
    BytesLeave {
        invocation: u32,
        dispatch: u8,
    },
    LoadLeaves {
        to: ExecutorId,
        function: u64,
        ordered_at: f64,
    },
    LoadEnds {
        to: ExecutorId,
        function: u64,
    },
    Streams {
        invocation: u32,
        dispatch: u8,
    },
    DispatchEnds {
        invocation: u32,
        dispatch: u8,
        ending: DispatchStatus,
        found: ReplicaState,
    },
    Withdrawal {
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

struct Play<'a> {
    scenario: &'a Scenario,
    random: Seeded,
    dispatcher: Dispatcher,
    recorder: Recorder,
    fleet: Fleet,
    /// By time in bits (times are positive) and the order in which they were added.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    invocations: BTreeMap<u32, OpenInvocation>,
    next_invocation: u32,
    succeeded: u64,
    trigger_types: usize,
    customers: usize,
    /// Dispatches to which nobody answers any more.
    dropped: BTreeSet<(u32, u8)>,
}

/// Plays a scenario to its end.
pub fn run(scenario: &Scenario) -> Summary {
    let mut policy = base_policy();
    (scenario.policy)(&mut policy);
    let (trigger_types, customers) = (policy.trigger_types.len(), policy.quotas.len().max(1));
    let mut recorder = Recorder::new(START);
    let dispatcher = Dispatcher::new(policy, scenario.seed, START, &mut recorder);
    let mut random = Seeded::new(scenario.seed);
    let fleet = Fleet::new(scenario, &mut random, START);
    let mut play = Play {
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
    play.begin();
    play.run_to_the_end();
    Summary {
        digest: play.recorder.digest(),
        counts: play.recorder.counts,
        succeeded: play.succeeded,
    }
}

impl Play<'_> {
    fn begin(&mut self) {
        let rows = self.fleet.rows();
        self.dispatcher.on_endpoint_update(
            START,
            EndpointUpdateKind::Full,
            &rows,
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
        self.carry_out();
    }

    fn run_to_the_end(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.recorder.now = f64::from_bits(at);
            self.happen(event);
            self.carry_out();
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

    /// Schedules the next event of a stream with exponential gaps.
    fn schedule_next(&mut self, rate: f64, event: Event) {
        if rate > 0.0 && !self.is_over() {
            let gap = -(1.0 - self.random.unit()).ln() / rate;
            self.schedule(gap, event);
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Arrival => self.arrive(),
            Event::Timer => self.dispatcher.on_timer(now, 0, &mut self.recorder),
            Event::Subscribed => self.tell_full_list(),
            Event::ListChange => self.change_list(),
            Event::Prewarm => self.prewarm(),
            Event::MembershipChange => self.change_membership(),
            Event::ViewReport => self.report_view(),
            Event::Stall => self.stall(),
            Event::Reconfiguration => self.reconfigure(),
            Event::Shutdown => self
                .dispatcher
                .begin_shutdown(now, now + 1.5, &mut self.recorder),
            Event::BytesLeave {
                invocation,
                dispatch,
            } => self.bytes_leave(invocation, dispatch),
            Event::LoadLeaves {
                to,
                function,
                ordered_at,
            } => self.load_leaves(to, function, ordered_at),
            Event::LoadEnds { to, function } => self.end_load(to, function),
            Event::Streams {
                invocation,
                dispatch,
            } => {
                let is_out = !self.dropped.contains(&(invocation, dispatch));
                if is_out
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
                ending,
                found,
            } => {
                self.end_dispatch(invocation, dispatch, ending, found);
            }
            Event::Withdrawal { invocation } => self.withdraw(invocation),
        }
    }

    fn arrive(&mut self) {
        let (now, id) = (self.now(), self.next_invocation);
        self.next_invocation += 1;
        let function = self.random.skewed_below(self.scenario.functions) as u64 * 7_919 + 13;
        let allowance = if self.random.chance(0.1) {
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
            timeout_at: now + allowance,
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
        if self.random.chance(self.scenario.withdrawals) {
            let delay = self.random.unit() * allowance;
            self.schedule(delay, Event::Withdrawal { invocation: id });
        }
        self.schedule_next(self.scenario.arrivals, Event::Arrival);
    }

    fn withdraw(&mut self, invocation: u32) {
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

    /// Carries out what the module answered since the last time.
    fn carry_out(&mut self) {
        while !self.recorder.pending.is_empty() {
            for action in std::mem::take(&mut self.recorder.pending) {
                self.carry_out_one(action);
            }
        }
    }

    fn carry_out_one(&mut self, action: Pending) {
        let now = self.now();
        match action {
            Pending::Dispatch {
                invocation,
                to,
                time_out,
            } => self.send(invocation, to, time_out),
            Pending::Final { invocation } => {
                if let Some(open) = self.invocations.get_mut(&invocation) {
                    open.closed = true;
                }
            }
            Pending::Cancel {
                invocation,
                dispatch,
            } => {
                self.dropped.insert((invocation, dispatch));
                let (ending, found) = (DispatchStatus::Cancelled, ReplicaState::Unknown);
                self.schedule(
                    0.001,
                    Event::DispatchEnds {
                        invocation,
                        dispatch,
                        ending,
                        found,
                    },
                );
            }
            Pending::Load { to, function } if self.scenario.revalidates => {
                self.schedule(
                    SEND_DELAY,
                    Event::LoadLeaves {
                        to,
                        function,
                        ordered_at: now,
                    },
                );
            }
            Pending::Load { to, function } => self.schedule_load(to, function),
            Pending::Wake { delay } => self.schedule(delay, Event::Timer),
            Pending::Subscribe => {
                let delay = 0.01 + 0.1 * self.random.unit();
                self.schedule(delay, Event::Subscribed);
            }
        }
    }
}
