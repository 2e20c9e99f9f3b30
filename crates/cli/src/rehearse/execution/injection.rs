//! Injects violations of the rules into the traffic, to test that the checks find them. An attempt can fail because of
//! the scenario's faults or a busy machine, so it is repeated until the records show the violation or time is up.

use super::{MAX_TRANSIT_TIME, Rehearsal};
use crate::rehearse::evidence::{self, INVOCATION_PREFIX, UNANSWERED_CLIENT};
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::executor::Executor;
use orchidtally_test_servers::misbehaving_front_end::MisbehavingFrontEnd;
use orchidtally_test_servers::unused_address;
use std::rc::Rc;

/// Seconds after the end of the scenario at which attempts end. The rehearsal waits longer than this for open work.
const TIME_AFTER_SCENARIO: f64 = 3.0;
/// Interval between two reads of the records, in seconds.
const POLL_INTERVAL: f64 = 0.1;
/// Time by which a dispatch to a draining executor exceeds all allowances, in seconds.
const DRAIN_MARGIN: f64 = 1.0;
/// Time limit of an injected dispatch, in seconds.
const DISPATCH_TIMEOUT: f64 = 1.0;
/// Time within which the front end has to be notified of an executor's start, in seconds. An executor is cold for only
/// 4 s, so a later notification leaves no time for the violation.
const NOTIFICATION_TIMEOUT: f64 = 2.0;
/// Dispatches that overload a cold executor, or load commands, in one attempt.
const BURST: usize = 400;
/// Interval between two invocations that are dispatched twice, in seconds.
const PAIR_INTERVAL: f64 = 0.05;
/// Invocations that are dispatched twice between two reads of the records.
const PAIRS: usize = 10;

impl Rehearsal {
    /// Injects a violation of a rule from 1 to 5. `evidence::of_violation` decides whether it took place.
    pub(super) async fn inject_violation(self: Rc<Self>, rule: u8, scenario_start: f64) {
        let until = scenario_start + self.scenario.length + TIME_AFTER_SCENARIO;
        let misbehaving = MisbehavingFrontEnd::new(&self.environment, 0, self.scenario.front_ends);
        let subscription =
            (rule == 3 || rule == 4).then(|| self.follow_endpoint_list(&misbehaving));
        let mut attempt = 0;
        while self.environment.now() < until && !self.is_violated(rule) {
            match rule {
                1 => self.leave_unanswered().await,
                2 => self.dispatch_twice(&misbehaving, attempt).await,
                3 => {
                    self.dispatch_after_drain(&misbehaving, attempt, until)
                        .await
                }
                4 => self.overload_cold_executor(&misbehaving, attempt).await,
                _ => self.exceed_load_budget(&misbehaving).await,
            }
            attempt += 1;
            self.environment.sleep(POLL_INTERVAL).await;
        }
        drop(subscription);
    }

    fn is_violated(&self, rule: u8) -> bool {
        let mut limits = self.limits.clone();
        limits.max_transit_time += self.lag.get();
        evidence::of_violation(rule, &limits, &self.environment.records()).is_ok()
    }

    /// Subscribes the injecting front end to the same endpoint list as the others.
    fn follow_endpoint_list(
        &self,
        misbehaving: &Rc<MisbehavingFrontEnd>,
    ) -> async_executor::Task<()> {
        match &self.endpoint_store {
            Some(endpoint_store) => self.environment.spawn(
                misbehaving
                    .clone()
                    .watch_store(endpoint_store.endpoints(), endpoint_store.prefix()),
            ),
            None => self
                .environment
                .spawn(misbehaving.clone().watch_publisher(self.publisher.address)),
        }
    }

    /// Executors that accept work; those that have not been restarted come first.
    fn usable_executors(&self) -> Vec<Rc<Executor>> {
        let usable = |e: &&Rc<Executor>| e.is_up() && !e.draining.get();
        let (untouched, restarted): (Vec<_>, Vec<_>) = self
            .executors
            .iter()
            .filter(usable)
            .cloned()
            .partition(|e| e.started_at() == f64::NEG_INFINITY);
        [untouched, restarted].concat()
    }

    /// Rule 1: sends an invocation to a server that never answers.
    async fn leave_unanswered(&self) {
        let Ok(silent) = orchidtally_socket_io::listen(unused_address()) else {
            return;
        };
        let Ok(at) = silent.get_ref().local_addr() else {
            return;
        };
        let server_task = self.environment.spawn(async move {
            let mut connections = vec![];
            loop {
                connections.push(orchidtally_socket_io::accept(&silent).await);
            }
        });
        let request = ClientRequest {
            invocation: self.next_name(),
            function: "fn-1".into(),
            trigger_type: (0, self.limits.trigger_types[0].name.clone()),
            timeout: 1.0,
            ..ClientRequest::default()
        };
        // This index belongs to no front end of the scenario, so no fault kills it.
        let index = self.front_ends.len() as u32;
        TestClient::new(&self.environment, UNANSWERED_CLIENT, index, at, true)
            .invoke(&request)
            .await;
        drop(server_task);
    }

    /// Rule 2: dispatches non-idempotent invocations to two executors each. The pair changes with each invocation, as
    /// an executor may be full, hang or be gone.
    async fn dispatch_twice(&self, misbehaving: &Rc<MisbehavingFrontEnd>, attempt: usize) {
        for pair in 0..PAIRS {
            let number = attempt * PAIRS + pair;
            let usable = self.usable_executors();
            if usable.len() < 2 {
                return;
            }
            let addresses = [
                usable[number % usable.len()].address,
                usable[(number + 1) % usable.len()].address,
            ];
            let (misbehaving, name) = (
                misbehaving.clone(),
                format!("{INVOCATION_PREFIX}2-{number}"),
            );
            let both = async move {
                for (dispatch, at) in addresses.into_iter().enumerate() {
                    misbehaving
                        .dispatch(at, &name, dispatch as u32, "fn-1", "act")
                        .await;
                }
            };
            self.environment.spawn(both).detach();
            self.environment.sleep(PAIR_INTERVAL).await;
        }
    }

    /// Rule 3: dispatches to an executor long after the notification of its drain.
    async fn dispatch_after_drain(
        &self,
        misbehaving: &Rc<MisbehavingFrontEnd>,
        attempt: usize,
        until: f64,
    ) {
        let usable = self.usable_executors();
        let Some(executor) = usable.get(attempt % usable.len().max(1)) else {
            return;
        };
        let began = self.environment.now();
        self.notify(executor, EndpointState::Draining);
        let mut was_notified = false;
        while self.environment.now() < until && executor.is_up() && !executor.draining.get() {
            self.environment.sleep(POLL_INTERVAL).await;
            let notified_at =
                evidence::drain_notified_at(&self.environment.records(), executor.spec.number);
            if was_notified && notified_at.is_none() {
                // A fault of the scenario has restarted the executor.
                return;
            }
            was_notified |= notified_at.is_some();
            let allowed =
                self.limits.drain_grace + MAX_TRANSIT_TIME + self.lag.get() + DRAIN_MARGIN;
            let Some(notified_at) = notified_at.filter(|at| self.environment.now() > at + allowed)
            else {
                continue;
            };
            let name = format!(
                "{INVOCATION_PREFIX}3-{attempt}-{:.0}",
                1e3 * (notified_at - began)
            );
            self.dispatch_with_timeout(misbehaving, executor, &name)
                .await;
            break;
        }
        // If a fault of the scenario has drained or ended the executor meanwhile, its state is left alone.
        if executor.is_up() && !executor.draining.get() {
            self.notify(executor, EndpointState::Ready);
        }
    }

    /// Rule 4: overloads a cold executor from a front end that was notified of its start.
    async fn overload_cold_executor(&self, misbehaving: &Rc<MisbehavingFrontEnd>, attempt: usize) {
        let usable = self.usable_executors();
        let Some(executor) = usable.get(attempt % usable.len().max(1)) else {
            return;
        };
        executor.crash();
        self.environment.sleep(0.1).await;
        self.restart_executor(executor);
        let since = executor.started_at();
        let timeout = self.environment.now() + NOTIFICATION_TIMEOUT;
        while !evidence::was_notified_of_start(
            &self.environment.records(),
            executor.spec.number,
            since,
        ) {
            if self.environment.now() > timeout {
                return;
            }
            self.environment.sleep(POLL_INTERVAL).await;
        }
        // The first dispatch opens the connection, so that the others arrive all at once.
        self.dispatch_with_timeout(
            misbehaving,
            executor,
            &format!("{INVOCATION_PREFIX}4-{attempt}-first"),
        )
        .await;
        for number in 0..BURST {
            let (misbehaving, at) = (misbehaving.clone(), executor.address);
            let name = format!("{INVOCATION_PREFIX}4-{attempt}-{number}");
            let dispatch = async move { misbehaving.dispatch(at, &name, 0, "fn-1", "look").await };
            self.environment.spawn(dispatch).detach();
        }
        self.environment.sleep(self.limits.overload_window).await;
    }

    /// Rule 5: sends more load commands than the scenario's invocations allow.
    async fn exceed_load_budget(&self, misbehaving: &Rc<MisbehavingFrontEnd>) {
        for number in 0..BURST {
            let executor = &self.executors[number % self.executors.len()];
            let (misbehaving, at) = (misbehaving.clone(), executor.address);
            self.environment
                .spawn(async move { misbehaving.send_load_command(at, "fn-1").await })
                .detach();
            if number % 20 == 0 {
                self.environment.sleep(0.01).await;
            }
        }
    }

    /// Dispatches and waits for the answer, at most for the time limit.
    async fn dispatch_with_timeout(
        &self,
        misbehaving: &MisbehavingFrontEnd,
        executor: &Executor,
        name: &str,
    ) {
        let dispatch = misbehaving.dispatch(executor.address, name, 0, "fn-1", "look");
        // The result is ignored: only the executor's records count.
        futures_lite::future::or(dispatch, self.environment.sleep(DISPATCH_TIMEOUT)).await;
    }
}
