//! Invocations: what they carry, how one is taken, and their final answers.

use super::Hub;
use super::revision::{Revision, TriggerTypeInForce};
use crate::config::{Refusal, Subject};
use bytes::Bytes;
use futures_channel::oneshot;
use orchidtally_deployment::Function;
use orchidtally_engine::{Cause, Offer, Refused};
use orchidtally_rollout::split::Who;
use orchidtally_rollout::{Invoked, Published, Resolved};
use std::cell::Cell;
use std::rc::Rc;
use tracing::info;

/// The engine's id for an invocation, kept up to date, and its final answer.
pub type Taken = (Rc<Cell<u32>>, oneshot::Receiver<Final>);

/// What a dispatch carries, the same for each of an invocation's.
pub struct Work {
    pub name: String,
    pub function: Rc<str>,
    /// Of the version that it was resolved to; empty where the function has none.
    pub digest: Rc<str>,
    /// Set where a rollout split it.
    pub invoked: Option<Invoked>,
    /// A dispatch of it failed in a way that counts against its version, and where the last one went.
    pub failed: Cell<bool>,
    pub last: Cell<u64>,
    /// Dispatches that it had before it was moved to another version.
    pub dispatched: u32,
    /// The revision that it was admitted under.
    pub revision: Rc<Revision>,
    pub trigger_type: Rc<TriggerTypeInForce>,
    pub customer: String,
    pub token: String,
    pub payload: Vec<Bytes>,
    pub payload_bytes: u64,
}

/// What is asked, by way of whatever ingress.
pub struct Asked<'a> {
    pub name: String,
    pub function: Rc<str>,
    pub resolved: Resolved,
    pub revision: Rc<Revision>,
    pub trigger_type: Rc<TriggerTypeInForce>,
    /// Its index in the engine, and its name.
    pub customer: (usize, &'a str),
    pub token: &'a str,
    pub repeat: bool,
    /// When its final answer has to be there.
    pub timeout_at: f64,
    pub payload: Vec<Bytes>,
    pub payload_bytes: u64,
}

impl Asked<'_> {
    /// What it uses, by name.
    pub fn subject(&self) -> Subject<'_> {
        let trigger_type = &self.trigger_type.trigger.name;
        Subject { function: &self.function, trigger_type, customer: self.customer.1 }
    }
}

/// Why an invocation was not taken; nothing of it was dispatched.
#[derive(Clone, Debug, PartialEq)]
pub enum NotTaken {
    /// As many invocations are open as may be.
    Full,
    /// The front end is ending.
    Leaving,
    /// The configuration doesn't let it through.
    Refused(Refusal),
}

impl From<Refused> for NotTaken {
    fn from(refused: Refused) -> NotTaken {
        match refused {
            Refused::Full => NotTaken::Full,
            Refused::Leaving => NotTaken::Leaving,
        }
    }
}

/// A streamed answer was cut off by its executor.
#[derive(Debug)]
pub struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the executor broke off in the middle of its answer")
    }
}

impl std::error::Error for CutOff {}

pub enum Brought {
    Whole(Vec<Bytes>),
    Streamed(async_channel::Receiver<Result<Bytes, CutOff>>),
}

/// The final answer, on its way to the client.
pub enum Final {
    Succeeded(Brought),
    Throttled {
        retry_after: f64,
        past_share: bool,
    },
    Errored {
        cause: Cause,
        may_have_run: bool,
    },
    /// The configuration doesn't let it through any more.
    Refused {
        refusal: Refusal,
        may_have_run: bool,
    },
}

/// Whoever waits for the final answer of an invocation.
pub(super) struct Client {
    pub(super) work: Rc<Work>,
    pub(super) offer: Offer,
    /// The engine's id for it, which changes where it is moved to another version.
    pub(super) inv: Rc<Cell<u32>>,
    pub(super) reply: oneshot::Sender<Final>,
}

impl Hub {
    /// Takes an invocation. The receiver gets its final answer.
    fn take(&self, offer: Offer, work: Work) -> Result<Taken, Refused> {
        let (reply, answer) = oneshot::channel();
        let inv = Rc::new(Cell::new(0));
        let client = Client { work: Rc::new(work), offer, inv: inv.clone(), reply };
        self.play(|engine, now, performer| performer.offer(engine, now, client))?;
        Ok((inv, answer))
    }

    /// Takes what an ingress was asked.
    pub fn take_asked(&self, asked: Asked) -> Result<Taken, NotTaken> {
        self.check_admission(&asked.revision, &asked.subject())?;
        let Resolved { version, invoked } = asked.resolved;
        let offer = Offer {
            trigger_type: asked.trigger_type.index,
            customer: asked.customer.0,
            function: version.key,
            repeat: asked.repeat,
            moved: false,
            timeout_at: asked.timeout_at,
            work: version.work,
            lanes: version.lanes,
            load_time: version.load_time,
        };
        let work = Work {
            name: asked.name,
            function: asked.function,
            digest: version.digest,
            invoked,
            failed: Cell::new(false),
            last: Cell::new(0),
            dispatched: 0,
            revision: asked.revision,
            trigger_type: asked.trigger_type,
            customer: asked.customer.1.to_owned(),
            token: asked.token.to_owned(),
            payload: asked.payload,
            payload_bytes: asked.payload_bytes,
        };
        Ok(self.take(offer, work)?)
    }

    /// The name of the front end's own location.
    pub fn location(&self) -> &str {
        self.deployment.locations.get(usize::from(self.deployment.policy.zone)).map_or("", String::as_str)
    }

    /// The version that an invocation gets, and whether it counts as evidence.
    pub fn resolve(
        &self,
        function: &Function,
        asked: Option<&str>,
        trigger_type: usize,
        customer: usize,
        who: &Who,
    ) -> Option<Resolved> {
        self.shares.borrow_mut().resolve(function, asked, trigger_type, customer, who)
    }

    /// What the coordinators said, and what is due by the time: runs that were taken back give up what waits.
    pub fn rollouts_turn(&self, published: Option<Published>) {
        let now = self.now();
        let revision = self.revision();
        let mut shares = self.shares.borrow_mut();
        let find = |name: &str| revision.deployment.functions.get(name).cloned();
        let mut back = published.map_or_else(Vec::new, |p| shares.adopt(now, p, find));
        back.extend(shares.tick(now));
        let due = shares.ahead(now);
        drop(shares);
        for &run in &back {
            info!(run, "a rollout was taken back");
            self.play(|engine, now, performer| performer.move_waiting(engine, now, run));
        }
        for ahead in due {
            let wish = orchidtally::interface::Ahead {
                function: ahead.version.key,
                lanes: ahead.version.lanes,
                load_time: ahead.version.load_time,
                copies: ahead.copies,
            };
            let (known, ordered) = self.play(|engine, now, performer| {
                performer.name(
                    ahead.version.key,
                    ahead.function.as_str().into(),
                    ahead.version.digest.clone(),
                );
                let before = engine.tally().orders;
                (engine.ahead(now, &wish, performer), engine.tally().orders > before)
            });
            self.shares.borrow_mut().prepared(&ahead, known, ordered);
        }
    }

    pub fn withdraw(&self, inv: u32) {
        self.play(|engine, now, performer| {
            engine.withdrawn(now, inv, performer);
            performer.clients.remove(&inv);
        });
    }
}
