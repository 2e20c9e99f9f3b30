//! A test harness: a dispatcher with simulated executors, a virtual clock and the reference model.

use super::model::{AcceptedInvocation, Executor, RecordedAction, ReferenceModel};
use super::{endpoint, executor_id, invocation, successful_result};
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;

pub struct Harness {
    pub dispatcher: Dispatcher,
    pub model: ReferenceModel,
    /// The concurrency of the function that executors report with each result.
    pub function_concurrency: u32,
    /// The load report that executors send with each result.
    pub load_report: Vec<f32>,
    /// The duration of each dispatch, in seconds. A quarter of the objective equals the initial baseline latency and
    /// leaves it unchanged.
    pub latency: f64,
}

/// Creates a harness in which function 1 is warm at one executor. Returns also the number of that executor.
pub fn warm_harness(policy: PolicyConfig, executors: usize) -> (Harness, usize) {
    let mut harness = Harness::new(policy, executors);
    let invocation = harness.invoke(0, 1, 5.0);
    harness.finish_loads(DispatchStatus::Ok);
    let Some(&RecordedAction::Dispatch(_, executor)) = harness.model.actions.last() else {
        panic!("nothing was dispatched")
    };
    harness.finish(invocation, 0, DispatchStatus::Ok);
    (harness, executor)
}

impl Harness {
    pub fn new(policy: PolicyConfig, executors: usize) -> Harness {
        Harness::new_at(policy, executors, 100.0)
    }

    /// Creates a harness whose clock starts at `now`.
    pub fn new_at(policy: PolicyConfig, executors: usize, now: f64) -> Harness {
        Harness::in_zones_at(policy, &vec![0; executors], now)
    }

    /// Creates a harness with one executor in each of the zones.
    pub fn in_zones(policy: PolicyConfig, zones: &[u8]) -> Harness {
        Harness::in_zones_at(policy, zones, 100.0)
    }

    fn in_zones_at(policy: PolicyConfig, zones: &[u8], now: f64) -> Harness {
        let executor = |(number, &zone): (usize, &u8)| Executor {
            is_ready: false,
            started_at: f64::NEG_INFINITY,
            zone,
            cell: number as u16 / 2,
            succeeded: 0,
        };
        let mut model = ReferenceModel {
            policy: policy.clone(),
            now,
            executors: zones.iter().enumerate().map(executor).collect(),
            accepted: vec![],
            load_commands: vec![],
            arrivals: vec![],
            timers: vec![],
            actions: vec![],
        };
        let dispatcher = Dispatcher::new(policy, 7, now, &mut model);
        let mut harness = Harness {
            dispatcher,
            model,
            function_concurrency: 0,
            load_report: vec![],
            latency: 0.25,
        };
        for executor in 0..zones.len() {
            harness.update_endpoint(executor, EndpointState::Ready, f64::NEG_INFINITY);
        }
        harness
    }

    pub fn update_endpoint(&mut self, number: usize, state: EndpointState, started_at: f64) {
        let executor = &mut self.model.executors[number];
        executor.is_ready = state == EndpointState::Ready;
        executor.started_at = started_at.max(executor.started_at);
        let endpoint = Endpoint {
            zone: executor.zone,
            cell: executor.cell,
            state,
            started_at,
            ..endpoint(number)
        };
        self.dispatcher.on_endpoint_update(
            self.model.now,
            EndpointUpdateKind::Delta,
            &[endpoint],
            &mut self.model,
        );
    }

    /// Invokes a function with a client timeout in seconds. Returns the identifier of the invocation.
    pub fn invoke(&mut self, trigger_type: usize, function: u64, timeout: f64) -> u32 {
        let (id, now) = (self.model.accepted.len() as u32, self.model.now);
        let invocation = Invocation {
            id,
            trigger_type,
            function,
            ..invocation(now + timeout)
        };
        self.model.arrivals.push(now);
        self.model.accepted.push(AcceptedInvocation {
            invocation: invocation.clone(),
            dispatches: vec![],
            answered_at: None,
        });
        self.dispatcher
            .on_invocation(now, &invocation, &mut self.model);
        id
    }

    /// Cancels an invocation on behalf of its client. It no longer grants load commands.
    pub fn cancel(&mut self, invocation: u32) {
        let now = self.model.now;
        let accepted = &mut self.model.accepted[invocation as usize];
        accepted.answered_at = Some(now.min(accepted.invocation.timeout_at));
        self.model.arrivals.pop();
        self.dispatcher
            .on_client_cancel(now, invocation, &mut self.model);
    }

    /// Requests replicas before invocations arrive. Returns how many are warm.
    pub fn prewarm(&mut self, function: u64, replicas: usize) -> usize {
        let request = PrewarmRequest {
            function,
            concurrency: 2.0,
            load_time: Some(1.0),
            replicas,
        };
        self.dispatcher
            .prewarm(self.model.now, &request, &mut self.model)
    }

    /// Ends a dispatch, by its number, if it is in flight.
    pub fn finish(&mut self, invocation: u32, dispatch: usize, status: DispatchStatus) {
        let accepted = &mut self.model.accepted[invocation as usize];
        let sent = &mut accepted.dispatches[dispatch];
        if sent.status.replace(status).is_some() {
            return;
        }
        let executor = sent.executor;
        if status == DispatchStatus::Ok {
            self.model.executors[executor].succeeded += 1;
            accepted.answered_at.get_or_insert(self.model.now);
        }
        let result = DispatchResult {
            invocation,
            dispatch: dispatch as u8,
            executor: executor_id(executor),
            status,
            duration: self.latency,
            is_answered: accepted.answered_at.is_some(),
            function_concurrency: self.function_concurrency,
            load_report: &self.load_report[..],
            ..successful_result()
        };
        self.dispatcher
            .on_dispatch_result(self.model.now, &result, &mut self.model);
    }

    /// Ends every invocation's first dispatch in flight with a success.
    pub fn finish_all_in_flight(&mut self) {
        for invocation in 0..self.model.accepted.len() {
            if let Some(dispatch) = self.model.accepted[invocation].in_flight() {
                self.finish(invocation as u32, dispatch, DispatchStatus::Ok);
            }
        }
    }

    fn finish_load(&mut self, number: usize, status: DispatchStatus) {
        let command = &mut self.model.load_commands[number];
        if command.is_open {
            command.is_open = false;
            let (executor, function) = (executor_id(command.executor), command.function);
            self.dispatcher.on_load_result(
                self.model.now,
                executor,
                function,
                status,
                &mut self.model,
            );
        }
    }

    /// Ends every load command whose result is outstanding.
    pub fn finish_loads(&mut self, status: DispatchStatus) {
        for number in 0..self.model.load_commands.len() {
            self.finish_load(number, status);
        }
    }

    /// Advances the clock. Timers fire, and dispatches end when their client times out.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.model.now + seconds;
        loop {
            let in_flight = |accepted: &AcceptedInvocation| {
                let dispatch = accepted.in_flight()?;
                let invocation = &accepted.invocation;
                Some((invocation.id, dispatch, invocation.timeout_at))
            };
            let timer_at = self
                .model
                .timers
                .iter()
                .copied()
                .fold(f64::INFINITY, f64::min);
            let first_timeout = self
                .model
                .accepted
                .iter()
                .filter_map(in_flight)
                .min_by(|one, other| one.2.total_cmp(&other.2));
            match first_timeout {
                Some((invocation, dispatch, at)) if at <= timer_at && at <= until => {
                    self.model.now = at.max(self.model.now);
                    self.finish(invocation, dispatch, DispatchStatus::TimedOut);
                }
                _ if timer_at <= until => {
                    self.model.now = timer_at;
                    self.model.timers.retain(|&timer| timer > timer_at);
                    self.dispatcher.on_timer(timer_at, 0, &mut self.model);
                }
                _ => break,
            }
        }
        self.model.now = until;
    }

    /// Returns the number of dispatches that were sent to an executor.
    pub fn dispatches_to(&self, executor: usize) -> usize {
        self.model
            .accepted
            .iter()
            .flat_map(|accepted| &accepted.dispatches)
            .filter(|dispatch| dispatch.executor == executor)
            .count()
    }

    /// Returns the executors to which an invocation was dispatched, in order.
    pub fn executors_of(&self, invocation: u32) -> Vec<usize> {
        self.model.accepted[invocation as usize]
            .dispatches
            .iter()
            .map(|dispatch| dispatch.executor)
            .collect()
    }

    /// Asserts that every invocation has its final answer in time.
    pub fn assert_all_answered(&mut self) {
        self.advance(6.0);
        for accepted in &self.model.accepted {
            let id = accepted.invocation.id;
            let timeout_at = accepted.invocation.timeout_at;
            let at = accepted
                .answered_at
                .unwrap_or_else(|| panic!("rule 1: {id} was never answered"));
            assert!(
                at <= timeout_at + 0.008 || at <= timeout_at.max(100.0) + 0.008,
                "rule 1: {id} was answered late"
            );
        }
    }
}
