//! Violations of the rules, injected into the traffic so that the checks can be seen to find them. An attempt may come
//! to nothing on a bad day or a busy machine: it is made again until the records show the violation, or time is up.

use super::{Rehearsal, TRANSIT};
use crate::rehearse::evidence::{self, INVOCATION_PREFIX, UNANSWERED_CLIENT};
use orchidtally_invariants::EndpointState;
use orchidtally_test_servers::client::{ClientRequest, TestClient};
use orchidtally_test_servers::executor::Executor;
use orchidtally_test_servers::misbehaving_front_end::MisbehavingFrontEnd;
use orchidtally_test_servers::unused_address;
use std::rc::Rc;

/// Attempts end so long after the day at the latest, in seconds: sooner than the rehearsal waits for what is open.
const TIME_AFTER_DAY: f64 = 3.0;
/// Between looks at the records, in seconds.
const LOOK_INTERVAL: f64 = 0.1;
/// A dispatch to a draining executor comes so much later than any allowance, in seconds.
const DRAIN_MARGIN: f64 = 1.0;
/// In which a dispatch has to be answered, in seconds.
const DISPATCH_TIME: f64 = 1.0;
/// In which a front end has to be told of an executor that started, in seconds; it is cold no longer than 4 s.
const TELL_TIME: f64 = 2.0;
/// Dispatches that push a cold executor over, and orders to load, of one attempt.
const BURST: usize = 400;
/// Between dispatches of one invocation, in seconds, and how many of those are made before the records are looked at.
const PAIR_INTERVAL: f64 = 0.05;
const PAIRS: usize = 10;

impl Rehearsal {
    /// Injects a violation of a rule from 1 to 5. Whether it took place is told by `evidence`.
    pub(super) async fn inject_violation(self: Rc<Self>, rule: u8, day_begins: f64) {
        let until = day_begins + self.scenario.length + TIME_AFTER_DAY;
        let misbehaving = MisbehavingFrontEnd::new(&self.stage, 0, self.scenario.front_ends);
        let watching = (rule == 3 || rule == 4).then(|| self.follow_roster(&misbehaving));
        let mut attempt = 0;
        while self.stage.now() < until && !self.is_violated(rule) {
            match rule {
                1 => self.leave_unanswered().await,
                2 => self.dispatch_twice(&misbehaving, attempt).await,
                3 => {
                    self.dispatch_after_drain(&misbehaving, attempt, until)
                        .await
                }
                4 => self.push_over_cold(&misbehaving, attempt).await,
                _ => self.order_over_ration(&misbehaving).await,
            }
            attempt += 1;
            self.stage.sleep(LOOK_INTERVAL).await;
        }
        drop(watching);
    }

    fn is_violated(&self, rule: u8) -> bool {
        let mut limits = self.limits.clone();
        limits.max_transit_time += self.lag.get();
        evidence::of_violation(rule, &limits, &self.stage.records()).is_ok()
    }

    /// The injecting front end hears of the roster as the others do.
    fn follow_roster(&self, misbehaving: &Rc<MisbehavingFrontEnd>) -> async_executor::Task<()> {
        match &self.roster {
            Some(roster) => self.stage.spawn(
                misbehaving
                    .clone()
                    .watch_store(roster.endpoints(), roster.prefix()),
            ),
            None => self
                .stage
                .spawn(misbehaving.clone().watch_publisher(self.publisher.address)),
        }
    }

    /// Executors that take work, those first that no script has touched yet.
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

    /// Rule 1: an invocation at a front end that never answers.
    async fn leave_unanswered(&self) {
        let Ok(silent) = orchidtally_socket_io::listen(unused_address()) else {
            return;
        };
        let Ok(at) = silent.get_ref().local_addr() else {
            return;
        };
        let hold = self.stage.spawn(async move {
            let mut taken = vec![];
            loop {
                taken.push(orchidtally_socket_io::accept(&silent).await);
            }
        });
        let ask = ClientRequest {
            invocation: self.name(),
            function: "fn-1".into(),
            trigger_type: (0, self.limits.trigger_types[0].name.clone()),
            timeout: 1.0,
            ..ClientRequest::default()
        };
        // A front end that the script knows nothing of, so that it never kills it.
        let index = self.front_ends.len() as u32;
        TestClient::new(&self.stage, UNANSWERED_CLIENT, index, at, true)
            .invoke(&ask)
            .await;
        drop(hold);
    }

    /// Rule 2: one invocation that must not run twice, at two executors. Which ones changes each time: on a bad day
    /// one of the two may be full, hang or be gone.
    async fn dispatch_twice(&self, misbehaving: &Rc<MisbehavingFrontEnd>, attempt: usize) {
        for pair in 0..PAIRS {
            let number = attempt * PAIRS + pair;
            let usable = self.usable_executors();
            if usable.len() < 2 {
                return;
            }
            let two = [
                usable[number % usable.len()].address,
                usable[(number + 1) % usable.len()].address,
            ];
            let (misbehaving, name) = (
                misbehaving.clone(),
                format!("{INVOCATION_PREFIX}2-{number}"),
            );
            let both = async move {
                for (dispatch, at) in two.into_iter().enumerate() {
                    misbehaving
                        .dispatch(at, &name, dispatch as u32, "fn-1", "act")
                        .await;
                }
            };
            self.stage.spawn(both).detach();
            self.stage.sleep(PAIR_INTERVAL).await;
        }
    }

    /// Rule 3: a dispatch to an executor long after its drain was told.
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
        let began = self.stage.now();
        self.notify(executor, EndpointState::Draining);
        let mut was_notified = false;
        while self.stage.now() < until && executor.is_up() && !executor.draining.get() {
            self.stage.sleep(LOOK_INTERVAL).await;
            let notified_at =
                evidence::drain_notified_at(&self.stage.records(), executor.spec.number);
            if was_notified && notified_at.is_none() {
                // The script has given it back.
                return;
            }
            was_notified |= notified_at.is_some();
            let allowed = self.limits.drain_grace + TRANSIT + self.lag.get() + DRAIN_MARGIN;
            let Some(notified_at) = notified_at.filter(|at| self.stage.now() > at + allowed) else {
                continue;
            };
            let name = format!(
                "{INVOCATION_PREFIX}3-{attempt}-{:.0}",
                1e3 * (notified_at - began)
            );
            self.dispatch_in_time(misbehaving, executor, &name).await;
            break;
        }
        // Where a script has drained or ended it meanwhile, that is what counts.
        if executor.is_up() && !executor.draining.get() {
            self.notify(executor, EndpointState::Ready);
        }
    }

    /// Rule 4: more work than a cold executor can take, from a front end that was told of its start.
    async fn push_over_cold(&self, misbehaving: &Rc<MisbehavingFrontEnd>, attempt: usize) {
        let usable = self.usable_executors();
        let Some(executor) = usable.get(attempt % usable.len().max(1)) else {
            return;
        };
        executor.crash();
        self.stage.sleep(0.1).await;
        self.bring_up(executor);
        let since = executor.started_at();
        let timeout = self.stage.now() + TELL_TIME;
        while !evidence::was_notified_of_start(&self.stage.records(), executor.spec.number, since) {
            if self.stage.now() > timeout {
                return;
            }
            self.stage.sleep(LOOK_INTERVAL).await;
        }
        // The first one opens the connection, so that the rest comes all at once.
        self.dispatch_in_time(
            misbehaving,
            executor,
            &format!("{INVOCATION_PREFIX}4-{attempt}-first"),
        )
        .await;
        for number in 0..BURST {
            let (misbehaving, at) = (misbehaving.clone(), executor.address);
            let name = format!("{INVOCATION_PREFIX}4-{attempt}-{number}");
            let dispatch = async move { misbehaving.dispatch(at, &name, 0, "fn-1", "look").await };
            self.stage.spawn(dispatch).detach();
        }
        self.stage.sleep(self.limits.overload_window).await;
    }

    /// Rule 5: more orders to load than any share of the day's invocations grants.
    async fn order_over_ration(&self, misbehaving: &Rc<MisbehavingFrontEnd>) {
        for number in 0..BURST {
            let executor = &self.executors[number % self.executors.len()];
            let (misbehaving, at) = (misbehaving.clone(), executor.address);
            self.stage
                .spawn(async move { misbehaving.send_load_command(at, "fn-1").await })
                .detach();
            if number % 20 == 0 {
                self.stage.sleep(0.01).await;
            }
        }
    }

    async fn dispatch_in_time(
        &self,
        misbehaving: &MisbehavingFrontEnd,
        executor: &Executor,
        name: &str,
    ) {
        let dispatch = misbehaving.dispatch(executor.address, name, 0, "fn-1", "look");
        // What became of it is on record at the executor, or is not.
        futures_lite::future::or(dispatch, self.stage.sleep(DISPATCH_TIME)).await;
    }
}
