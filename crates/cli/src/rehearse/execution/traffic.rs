//! The clients of a scenario: which invocations they send, to which front end, and when they retry.

use super::{Rehearsal, TRIGGER_TYPE_SHARES, WARM_UP};
use crate::rehearse::rollout_run;
use bytes::Bytes;
use orchidtally_invariants::{FinalAnswer, Idempotency};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use std::rc::Rc;

impl Rehearsal {
    /// Sends invocations at random times. The rate rises before the scenario begins at `from`, so that replicas are
    /// loaded by then, and is constant afterwards.
    pub(super) async fn run_traffic(self: Rc<Self>, from: f64) {
        let mut next = self.environment.now();
        let end = from + self.scenario.length;
        while next < end {
            self.environment.sleep(next - self.environment.now()).await;
            self.send_one();
            let risen = (1.0 - (from - next) / WARM_UP).clamp(0.1, 1.0);
            next += -(1.0 - self.environment.random_unit()).ln() / (risen * self.scenario.rate);
        }
    }

    /// A name for an invocation or a token, unique within the rehearsal.
    pub(super) fn next_name(&self) -> String {
        self.name_count.set(self.name_count.get() + 1);
        format!("{}-{}", self.seed, self.name_count.get())
    }

    /// Draws a function; a few of them are popular.
    fn function(&self, now: f64) -> String {
        let s = &self.environment;
        if self.hot.0.is_active(now) && self.chance(self.hot.1.get()) {
            return "hot".into();
        }
        if self.one_time.0.is_active(now) && self.chance(self.one_time.1.get()) {
            return format!("once-{}", self.name_count.get());
        }
        let n = (self.scenario.functions as f64).powf(s.random_unit()) as usize - 1;
        format!("fn-{n}")
    }

    /// Sends a random invocation in the background.
    fn send_one(self: &Rc<Self>) {
        let now = self.environment.now();
        let mut remainder = self.environment.random_unit();
        let type_index = TRIGGER_TYPE_SHARES.iter().position(|s| {
            remainder -= s;
            remainder < 0.0
        });
        let type_index = type_index.unwrap_or(0);
        let trigger_type = &self.limits.trigger_types[type_index];
        let timeout = self.deployment.policy.trigger_types[type_index].client_timeout;
        let is_impatient = self.impatient.0.is_active(now) && self.chance(self.impatient.1.get());
        let time_left = if is_impatient {
            0.35 + 0.5 * self.environment.random_unit()
        } else {
            timeout
        };
        let cancel_delay =
            (is_impatient && self.chance(0.3)).then(|| 0.05 + 0.3 * self.environment.random_unit());
        let function = match trigger_type.name.as_str() {
            // A share of the traffic invokes the function that is rolled out.
            _ if self.rollout.is_some() && trigger_type.name != "watch" && self.chance(0.35) => {
                rollout_run::FUNCTION.into()
            }
            "watch" => format!("watch-{}", self.function(now)),
            _ => self.function(now),
        };
        let token = if trigger_type.idempotency == Idempotency::Keyed {
            self.next_name()
        } else {
            String::new()
        };
        let size = if self.chance(0.02) { 40_000 } else { 200 };
        let request = ClientRequest {
            invocation: self.next_name(),
            function,
            trigger_type: (type_index, trigger_type.name.clone()),
            idempotency_key: token,
            timeout: time_left,
            payload: Bytes::from(vec![b'x'; size]),
            cancel_after: cancel_delay,
            ..ClientRequest::default()
        };
        let idempotency = trigger_type.idempotency;
        let rehearsal = self.clone();
        self.in_background(async move { rehearsal.invoke(request, idempotency).await });
    }

    /// Sends an invocation. The client retries once where a repetition is harmless; an abusive client retries at once,
    /// up to seven times.
    async fn invoke(&self, mut request: ClientRequest, idempotency: Idempotency) {
        let began = self.environment.now();
        let timeout = request.timeout;
        let is_abusive = self.repeating.0.is_active(began) && self.chance(self.repeating.1.get());
        let mut attempts = if is_abusive { 8 } else { 2 };
        loop {
            let Some(pick_client) = self.pick_client() else {
                return;
            };
            let outcome = pick_client.invoke(&request).await;
            let (may_retry, pause) = match &outcome {
                ClientOutcome::Answered {
                    answer: FinalAnswer::Succeeded | FinalAnswer::NotAdmitted,
                    ..
                }
                | ClientOutcome::Cancelled => return,
                ClientOutcome::Answered {
                    answer: FinalAnswer::Rejected,
                    retry_after: delay,
                    ..
                } => (true, *delay),
                ClientOutcome::Answered { may_have_run, .. } => (
                    idempotency != Idempotency::NonIdempotent || !may_have_run,
                    0.1,
                ),
                ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => {
                    (idempotency != Idempotency::NonIdempotent, 0.1)
                }
            };
            let pause = if is_abusive { 0.01 } else { pause };
            let left = began + timeout - self.environment.now() - pause;
            attempts -= 1;
            if !may_retry || attempts == 0 || left < 0.3 {
                return;
            }
            self.environment.sleep(pause).await;
            request.invocation = self.next_name();
            request.is_retry = true;
            request.timeout = left;
        }
    }

    /// Picks a client of a front end in use, as a load balancer in front of them would; of the first third of them
    /// where traffic is shifted.
    fn pick_client(&self) -> Option<Rc<TestClient>> {
        let in_use: Vec<_> = self.front_ends.iter().filter(|f| f.in_use.get()).collect();
        let mut candidates = in_use.clone();
        if self.shifted.0.is_active(self.environment.now()) && self.chance(self.shifted.1.get()) {
            candidates.truncate(1.max(in_use.len() / 3));
        }
        let front_end =
            candidates.get((self.environment.random_unit() * candidates.len() as f64) as usize)?;
        front_end
            .clients
            .get((self.environment.random_unit() * front_end.clients.len() as f64) as usize)
            .cloned()
    }
}
