//! The clients of a day: what they offer, to which front end, and what they make of the answer.

use super::{Rehearsal, SHARES, WARM_UP};
use crate::rehearse::rolling;
use bytes::Bytes;
use orchidtally_invariants::{FinalAnswer, Idempotency};
use orchidtally_test_servers::client::{ClientOutcome, ClientRequest, TestClient};
use std::rc::Rc;

impl Rehearsal {
    /// The traffic rises before the day begins, so that it finds copies loaded; then it is even.
    pub(super) async fn traffic(self: Rc<Self>, from: f64) {
        let mut next = self.stage.now();
        let end = from + self.scenario.length;
        while next < end {
            self.stage.sleep(next - self.stage.now()).await;
            self.offer_one();
            let risen = (1.0 - (from - next) / WARM_UP).clamp(0.1, 1.0);
            next += -(1.0 - self.stage.random_unit()).ln() / (risen * self.scenario.rate);
        }
    }

    pub(super) fn name(&self) -> String {
        self.names.set(self.names.get() + 1);
        format!("{}-{}", self.seed, self.names.get())
    }

    /// One of the functions, a few of them often.
    fn function(&self, now: f64) -> String {
        let s = &self.stage;
        if self.hot.0.is_active(now) && self.drawn(self.hot.1.get()) {
            return "hot".into();
        }
        if self.one_offs.0.is_active(now) && self.drawn(self.one_offs.1.get()) {
            return format!("once-{}", self.names.get());
        }
        let n = (self.scenario.functions as f64).powf(s.random_unit()) as usize - 1;
        format!("fn-{n}")
    }

    fn offer_one(self: &Rc<Self>) {
        let now = self.stage.now();
        let mut drawn = self.stage.random_unit();
        let ty = SHARES.iter().position(|s| {
            drawn -= s;
            drawn < 0.0
        });
        let ty = ty.unwrap_or(0);
        let kind = &self.limits.trigger_types[ty];
        let timeout = self.deployment.policy.trigger_types[ty].client_timeout;
        let short = self.impatient.0.is_active(now) && self.drawn(self.impatient.1.get());
        let time_left = if short {
            0.35 + 0.5 * self.stage.random_unit()
        } else {
            timeout
        };
        let leaves_after =
            (short && self.drawn(0.3)).then(|| 0.05 + 0.3 * self.stage.random_unit());
        let function = match kind.name.as_str() {
            // A part of the traffic is the function's that is rolled out.
            _ if self.rolling.is_some() && kind.name != "watch" && self.drawn(0.35) => {
                rolling::FUNCTION.into()
            }
            "watch" => format!("watch-{}", self.function(now)),
            _ => self.function(now),
        };
        let token = if kind.idempotency == Idempotency::Keyed {
            self.name()
        } else {
            String::new()
        };
        let size = if self.drawn(0.02) { 40_000 } else { 200 };
        let ask = ClientRequest {
            invocation: self.name(),
            function,
            trigger_type: (ty, kind.name.clone()),
            idempotency_key: token,
            timeout: time_left,
            payload: Bytes::from(vec![b'x'; size]),
            cancel_after: leaves_after,
            ..ClientRequest::default()
        };
        let effect = kind.idempotency;
        let rehearsal = self.clone();
        self.in_background(async move { rehearsal.invoke(ask, effect).await });
    }

    /// One invocation and what its client makes of the answer: it asks again where that is harmless, and
    /// some clients do without end.
    async fn invoke(&self, mut ask: ClientRequest, effect: Idempotency) {
        let began = self.stage.now();
        let timeout = ask.timeout;
        let abuses = self.repeating.0.is_active(began) && self.drawn(self.repeating.1.get());
        let mut tries = if abuses { 8 } else { 2 };
        loop {
            let Some(caller) = self.caller() else { return };
            let received = caller.invoke(&ask).await;
            let (again, pause) = match &received {
                ClientOutcome::Answered {
                    answer: FinalAnswer::Succeeded | FinalAnswer::NotAdmitted,
                    ..
                }
                | ClientOutcome::Cancelled => return,
                ClientOutcome::Answered {
                    answer: FinalAnswer::Rejected,
                    retry_after: stay_away,
                    ..
                } => (true, *stay_away),
                ClientOutcome::Answered { may_have_run, .. } => {
                    (effect != Idempotency::NonIdempotent || !may_have_run, 0.1)
                }
                ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => {
                    (effect != Idempotency::NonIdempotent, 0.1)
                }
            };
            let pause = if abuses { 0.01 } else { pause };
            let left = began + timeout - self.stage.now() - pause;
            tries -= 1;
            if !again || tries == 0 || left < 0.3 {
                return;
            }
            self.stage.sleep(pause).await;
            ask.invocation = self.name();
            ask.is_retry = true;
            ask.timeout = left;
        }
    }

    /// The front layer: any front end that it knows to be up, all of one location's where traffic is shifted.
    fn caller(&self) -> Option<Rc<TestClient>> {
        let used: Vec<_> = self.front_ends.iter().filter(|f| f.used.get()).collect();
        let mut among = used.clone();
        if self.shifted.0.is_active(self.stage.now()) && self.drawn(self.shifted.1.get()) {
            among.truncate(1.max(used.len() / 3));
        }
        let fe = among.get((self.stage.random_unit() * among.len() as f64) as usize)?;
        fe.callers
            .get((self.stage.random_unit() * fe.callers.len() as f64) as usize)
            .cloned()
    }
}
