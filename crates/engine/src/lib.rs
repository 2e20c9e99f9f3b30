//! What every host of the decision module needs and the module does not do: ids and dispatch numbers, the
//! table of open invocations and its bound, deadlines, one final answer whatever races, and the proof of what
//! never ran. It does no I/O and has no clock: the host hands in the time with each thing that happens.

pub mod baseline;
pub mod clock;
mod desk;
pub mod evidence;
pub mod standstill;

use baseline::Decisions;
use desk::{Desk, Open, Speaker};
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::state::Ordered;
use std::cmp::Reverse;

/// The engine answers an invocation itself if the module has left it open for this long past its timeout.
/// It never should: each such answer is counted as a fault of the program.
const OVERDUE: f64 = 0.005;

/// Why an invocation errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No answer came within the client timeout.
    TimedOut,
    /// An executor answered with an error, broke off, or could not be asked again.
    Failed,
}

/// What performs the module's answers. A call takes effect at once; what comes of it is told to the engine
/// later, never from within.
pub trait Host {
    /// An offer was taken under this id; nothing was performed for it yet.
    fn taken(&mut self, inv: u32);
    fn dispatch(&mut self, inv: u32, dispatch: u8, to: ExecutorId, within: f64);
    /// Stop waiting for a dispatch: nothing that it still brings is wanted.
    fn cancel(&mut self, inv: u32, dispatch: u8);
    /// The final answers; one of these for each invocation taken, unless its client went away.
    fn succeeded(&mut self, inv: u32, dispatch: u8);
    /// `past_share`: for its customer's having had its share.
    fn throttled(&mut self, inv: u32, retry_after: f64, past_share: bool);
    fn errored(&mut self, inv: u32, cause: Cause, may_have_run: bool);
    fn hold(&mut self, to: ExecutorId, function: u64, copies: u8);
    fn ask(&mut self, to: ExecutorId, function: u64);
    fn unload(&mut self, to: ExecutorId, function: u64);
    fn probe(&mut self, to: ExecutorId);
    fn watch_roster(&mut self);
}

/// What an answer tells besides its ending.
#[derive(Clone, Copy, Debug)]
pub struct Told<'a> {
    pub found: Found,
    pub crowd: u32,
    pub report: &'a [f32],
}

pub const NOTHING_TOLD: Told<'static> = Told {
    found: Found::Untold,
    crowd: 0,
    report: &[],
};

/// An invocation as a client offers it; the engine gives it its id.
#[derive(Clone, Debug)]
pub struct Offer {
    pub trigger_type: usize,
    pub customer: usize,
    pub function: u64,
    pub repeat: bool,
    /// It was taken before, and goes to another version now.
    pub moved: bool,
    pub timeout_at: f64,
    pub work: Option<f64>,
    pub lanes: f64,
    pub load_time: Option<f64>,
}

/// Why an offer was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// As many invocations are open as may be.
    Full,
    /// The front end is ending.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub taken: u64,
    pub refused: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub withdrawn: u64,
    pub dispatches: u64,
    pub orders: u64,
    /// Final answers that the engine had to give in the module's place.
    pub overdue: u64,
}

/// One front end's decisions and what is open at it.
pub struct Engine {
    dispatcher: Box<dyn Decisions>,
    desk: Desk,
    next_id: u32,
    most_open: usize,
    leaving: bool,
}

impl Engine {
    /// `most_open`: invocations that may be without a final answer at a time.
    pub fn new(
        policy: PolicyConfig,
        most_open: usize,
        seed: u64,
        now: f64,
        host: &mut dyn Host,
    ) -> Engine {
        let mut desk = Desk {
            now,
            ..Desk::default()
        };
        let dispatcher = Dispatcher::new(
            policy,
            seed,
            now,
            &mut Speaker {
                desk: &mut desk,
                host,
            },
        );
        Engine {
            dispatcher: Box::new(dispatcher),
            desk,
            next_id: 0,
            most_open,
            leaving: false,
        }
    }

    /// One that goes by a baseline, for comparisons.
    pub fn with_baseline(dispatcher: Box<dyn Decisions>, most_open: usize, now: f64) -> Engine {
        Engine {
            dispatcher,
            desk: Desk {
                now,
                ..Desk::default()
            },
            next_id: 0,
            most_open,
            leaving: false,
        }
    }

    pub fn tally(&self) -> Tally {
        self.desk.tally
    }

    /// Entries in the module's tables.
    pub fn kept(&self) -> Kept {
        self.dispatcher.kept()
    }

    /// Invocations without a final answer.
    pub fn open(&self) -> usize {
        self.desk.waiting
    }

    /// Takes nothing new from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Nothing that is open is waited for past a moment, as if its client gave up then: the process ends.
    pub fn end_by(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        for (&inv, open) in self
            .desk
            .open
            .iter_mut()
            .filter(|(_, o)| !o.closed && o.timeout_at > at)
        {
            open.timeout_at = at;
            let out = (0..).zip(&open.sent).filter(|(_, s)| s.ending.is_none());
            self.desk
                .deadlines
                .extend(out.map(|(n, _)| Reverse((Ordered(at), inv, Some(n)))));
            self.desk
                .deadlines
                .push(Reverse((Ordered(at + OVERDUE), inv, None)));
        }
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.end_by(now, at, out)
        });
    }

    /// When `turn` is next to be called.
    pub fn due_at(&self) -> f64 {
        let deadline = self.desk.deadlines.peek().map(|Reverse((at, ..))| at.0);
        let wake = self.desk.wake_at;
        deadline
            .unwrap_or(f64::INFINITY)
            .min(wake.unwrap_or(f64::INFINITY))
    }

    /// Calls the module, then tells it what came of its own answers.
    fn play(
        &mut self,
        now: f64,
        host: &mut dyn Host,
        input: impl FnOnce(&mut dyn Decisions, f64, &mut Speaker),
    ) {
        self.desk.now = now.max(self.desk.now);
        let now = self.desk.now;
        input(
            &mut *self.dispatcher,
            now,
            &mut Speaker {
                desk: &mut self.desk,
                host,
            },
        );
        while let Some((inv, dispatch)) = self.desk.ended.pop_front() {
            self.tell(inv, dispatch, NOTHING_TOLD, host);
        }
        self.desk.prune();
    }

    fn tell(&mut self, inv: u32, dispatch: u8, told: Told, host: &mut dyn Host) {
        let Some(open) = self.desk.open.get(&inv) else {
            return;
        };
        let Some(sent) = open.sent.get(usize::from(dispatch)) else {
            return;
        };
        let Some(ending) = sent.ending else { return };
        let now = self.desk.now;
        let outcome = Outcome {
            inv,
            dispatch,
            executor: sent.to,
            ending,
            took: now - sent.at,
            closed: open.closed,
            found: told.found,
            crowd: told.crowd,
            report: told.report,
        };
        self.dispatcher.outcome(
            now,
            &outcome,
            &mut Speaker {
                desk: &mut self.desk,
                host,
            },
        );
        self.desk.tidy(inv);
    }

    /// Takes an invocation; from here on it is owed a final answer.
    pub fn take(&mut self, now: f64, offer: &Offer, host: &mut dyn Host) -> Result<u32, Refused> {
        if self.leaving || self.desk.waiting >= self.most_open {
            self.desk.tally.refused += 1;
            return Err(if self.leaving {
                Refused::Leaving
            } else {
                Refused::Full
            });
        }
        while self.desk.open.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        self.desk.tally.taken += 1;
        self.desk.waiting += 1;
        let (timeout_at, trigger_type) = (offer.timeout_at, offer.trigger_type);
        let open = Open {
            timeout_at,
            trigger_type,
            sent: vec![],
            streaming: None,
            closed: false,
        };
        self.desk.open.insert(id, open);
        self.desk
            .deadlines
            .push(Reverse((Ordered(offer.timeout_at + OVERDUE), id, None)));
        host.taken(id);
        let inv = Invocation {
            id,
            trigger_type: offer.trigger_type,
            customer: offer.customer,
            function: offer.function,
            repeat: offer.repeat,
            moved: offer.moved,
            timeout_at: offer.timeout_at,
            work: offer.work,
            lanes: offer.lanes,
            load_time: offer.load_time,
        };
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.invocation(now, &inv, out)
        });
        Ok(id)
    }

    /// Whether a dispatch may leave now. It is asked as its bytes do, which may be long after it was decided
    /// on.
    pub fn leaves(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        let sent = self
            .desk
            .open
            .get(&inv)
            .and_then(|o| o.sent.get(usize::from(dispatch)));
        sent.is_some_and(|s| s.ending.is_none())
            && self
                .dispatcher
                .leaves(now.max(self.desk.now), inv, dispatch)
    }

    /// The same of an order to load that was given at a moment.
    pub fn order_leaves(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        self.dispatcher.order_leaves(now.max(self.desk.now), to, at)
    }

    /// A dispatch has ended. What was cancelled, timed out or ended before is not heard again.
    pub fn ended(
        &mut self,
        now: f64,
        inv: u32,
        n: u8,
        ending: Ending,
        told: Told,
        host: &mut dyn Host,
    ) {
        let Some(open) = self.desk.open.get_mut(&inv) else {
            return;
        };
        let streamed = open.streaming == Some(n);
        let Some(sent) = open
            .sent
            .get_mut(usize::from(n))
            .filter(|s| s.ending.is_none())
        else {
            return;
        };
        sent.ending = Some(ending);
        if ending == Ending::Ok && !streamed && self.desk.close(inv).is_some() {
            self.desk.tally.succeeded += 1;
            host.succeeded(inv, n);
        }
        self.desk.now = now.max(self.desk.now);
        self.tell(inv, n, told, host);
        self.play(now, host, |_, _, _| {});
    }

    /// The answer of a dispatch begins to stream. Tells whether it is the client's: it isn't where the
    /// invocation is over or another dispatch was first.
    pub fn streaming(&mut self, now: f64, inv: u32, dispatch: u8, host: &mut dyn Host) -> bool {
        let Some(open) = self.desk.open.get_mut(&inv) else {
            return false;
        };
        let out = open
            .sent
            .get(usize::from(dispatch))
            .is_some_and(|s| s.ending.is_none());
        if open.closed || open.streaming.is_some() || !out {
            return false;
        }
        open.streaming = Some(dispatch);
        self.desk.close(inv);
        self.desk.tally.succeeded += 1;
        host.succeeded(inv, dispatch);
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.streaming(now, inv, dispatch, out)
        });
        true
    }

    /// The client has gone away: nothing is owed any more.
    pub fn withdrawn(&mut self, now: f64, inv: u32, host: &mut dyn Host) {
        if self.desk.close(inv).is_some() {
            self.desk.tally.withdrawn += 1;
            self.play(now, host, |dispatcher, now, out| {
                dispatcher.withdrawn(now, inv, out)
            });
            self.desk.tidy(inv);
        }
    }

    pub fn roster(&mut self, now: f64, kind: RosterKind, rows: &[RosterRow], host: &mut dyn Host) {
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.roster(now, kind, rows, out)
        });
    }

    /// The roster was true at a time: what was asked then has been answered.
    pub fn view_confirmed(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.view_confirmed(now, at, out)
        });
    }

    /// The process did not run for a while: nothing leaves on the roster that it had, until it is confirmed.
    pub fn stood_still(&mut self, now: f64) {
        self.desk.now = now.max(self.desk.now);
        self.dispatcher.stood_still(self.desk.now);
    }

    /// The source of the roster does not answer what was asked at a time. Whoever tells this goes on asking.
    pub fn view_lost(&mut self, now: f64, asked_at: f64) {
        self.desk.now = now.max(self.desk.now);
        self.dispatcher.view_lost(self.desk.now, asked_at);
    }

    pub fn living(&mut self, now: f64, living: MembershipView, host: &mut dyn Host) {
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.living(now, living, out)
        });
    }

    /// Whether an invocation is of the trigger type at an index: open, or with a dispatch still out.
    pub fn uses_trigger_type(&self, index: usize) -> bool {
        self.desk
            .open
            .values()
            .any(|open| open.trigger_type == index)
    }

    /// Appends a trigger type (at the number of those that there are), or replaces one that is not in use.
    /// What is open keeps the type that it was taken with.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    pub fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        ty: TriggerType,
    ) -> Result<(), ConfigRefused> {
        if self.uses_trigger_type(index) {
            return Err(ConfigRefused::InUse { index });
        }
        self.desk.now = now.max(self.desk.now);
        self.dispatcher.set_trigger_type(self.desk.now, index, ty)
    }

    /// Sets the customers' shares, in invocations a second over all front ends. Customers that had one keep
    /// what they saved up, within the new bound; new ones begin like at the start.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    pub fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigRefused> {
        self.desk.now = now.max(self.desk.now);
        self.dispatcher.set_quotas(self.desk.now, quotas)
    }

    /// The answer to an order to load.
    pub fn held(
        &mut self,
        now: f64,
        at: ExecutorId,
        function: u64,
        ending: Ending,
        host: &mut dyn Host,
    ) {
        self.play(now, host, |dispatcher, now, out| {
            dispatcher.held(now, at, function, ending, out)
        });
    }

    /// Copies wanted ahead of invocations; tells how many executors are known to serve the function.
    pub fn ahead(&mut self, now: f64, wish: &Ahead, host: &mut dyn Host) -> usize {
        let mut known = 0;
        self.play(now, host, |dispatcher, now, out| {
            known = dispatcher.ahead(now, wish, out)
        });
        known
    }

    /// Dispatches that an invocation has had.
    pub fn sent(&self, inv: u32) -> usize {
        self.desk.open.get(&inv).map_or(0, |o| o.sent.len())
    }

    /// Time-outs, the module's timer, and the last look at what should have been answered.
    pub fn turn(&mut self, now: f64, host: &mut dyn Host) {
        while let Some(&Reverse((at, inv, n))) = self.desk.deadlines.peek() {
            if at.0 > now {
                break;
            }
            self.desk.deadlines.pop();
            match n {
                Some(n) => {
                    let open = self.desk.open.get(&inv).filter(|o| o.streaming != Some(n));
                    let sent = open.and_then(|o| o.sent.get(usize::from(n)));
                    if sent.is_some_and(|s| s.ending.is_none()) {
                        host.cancel(inv, n);
                        self.ended(now, inv, n, Ending::TimedOut, NOTHING_TOLD, host);
                    }
                }
                None => {
                    let Some(open) = self.desk.close(inv) else {
                        continue;
                    };
                    let may_have_run = open.may_have_run();
                    self.desk.tally.errored += 1;
                    self.desk.tally.overdue += 1;
                    host.errored(inv, Cause::TimedOut, may_have_run);
                    self.play(now, host, |dispatcher, now, out| {
                        dispatcher.withdrawn(now, inv, out)
                    });
                    self.desk.tidy(inv);
                }
            }
        }
        if self.desk.wake_at.is_some_and(|at| at <= now) {
            self.desk.wake_at = None;
            self.play(now, host, |dispatcher, now, out| dispatcher.timer(now, out));
        }
    }
}
