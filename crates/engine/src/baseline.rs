//! Who decides: the module, or a baseline to measure it against. Baselines serve comparisons alone.

use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::*;
use orchidtally_dispatch_policy::random::SeededRandom;
use std::collections::HashMap;

/// What the engine tells to whatever decides.
pub trait DispatchPolicy {
    /// Those that share nothing by the number of front ends need not know it.
    fn on_membership_change(&mut self, _now: f64, _living: MembershipView, _out: &mut dyn Actions) {
    }
    /// Those that know nothing of trigger types and shares have nothing to change.
    ///
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    fn set_trigger_type(
        &mut self,
        _now: f64,
        _index: usize,
        _ty: TriggerType,
    ) -> Result<(), ConfigError> {
        Ok(())
    }
    /// # Errors
    /// As told by `ConfigRefused`; then nothing is changed.
    fn set_quotas(&mut self, _now: f64, _quotas: Vec<f64>) -> Result<(), ConfigError> {
        Ok(())
    }
    fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        rows: &[Endpoint],
        out: &mut dyn Actions,
    );
    /// The roster was true at a time; those that don't mind its age need not know it.
    fn on_view_confirmed(&mut self, _now: f64, _at: f64, _out: &mut dyn Actions) {}
    /// The process did not run for a while.
    fn on_process_stall(&mut self, _now: f64) {}
    /// The source of the roster does not answer what was asked at a time.
    fn on_view_lost(&mut self, _now: f64, _asked_at: f64) {}
    fn on_invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions);
    fn on_dispatch_result(&mut self, now: f64, o: &DispatchResult, out: &mut dyn Actions);
    fn on_response_started(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Actions);
    fn on_client_cancel(&mut self, now: f64, inv: u32, out: &mut dyn Actions);
    fn on_load_result(
        &mut self,
        now: f64,
        at: ExecutorId,
        key: u64,
        ending: DispatchStatus,
        out: &mut dyn Actions,
    );
    fn prewarm(&mut self, now: f64, wish: &PrewarmRequest, out: &mut dyn Actions) -> usize;
    fn on_timer(&mut self, now: f64, out: &mut dyn Actions);
    /// Nothing that is open is waited for past a moment.
    fn begin_shutdown(&mut self, _now: f64, _at: f64, _out: &mut dyn Actions) {}
    /// Whether what was decided still holds as its bytes leave; baselines don't mind.
    fn revalidate_dispatch(&mut self, _now: f64, _inv: u32, _dispatch: u8) -> bool {
        true
    }
    fn revalidate_load(&mut self, _now: f64, _to: ExecutorId, _at: f64) -> bool {
        true
    }
    /// Entries in its tables, where it has any.
    fn table_sizes(&self) -> TableSizes {
        TableSizes::default()
    }
}

impl DispatchPolicy for Dispatcher {
    fn on_membership_change(&mut self, now: f64, living: MembershipView, out: &mut dyn Actions) {
        Dispatcher::on_membership_change(self, now, living, out);
    }
    fn set_trigger_type(
        &mut self,
        now: f64,
        index: usize,
        ty: TriggerType,
    ) -> Result<(), ConfigError> {
        Dispatcher::set_trigger_type(self, now, index, ty)
    }
    fn set_quotas(&mut self, now: f64, quotas: Vec<f64>) -> Result<(), ConfigError> {
        Dispatcher::set_quotas(self, now, quotas)
    }
    fn on_endpoint_update(
        &mut self,
        now: f64,
        kind: EndpointUpdateKind,
        rows: &[Endpoint],
        out: &mut dyn Actions,
    ) {
        Dispatcher::on_endpoint_update(self, now, kind, rows, out);
    }
    fn on_view_confirmed(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        Dispatcher::on_view_confirmed(self, now, at, out);
    }
    fn on_process_stall(&mut self, now: f64) {
        Dispatcher::on_process_stall(self, now);
    }
    fn on_view_lost(&mut self, now: f64, asked_at: f64) {
        Dispatcher::on_view_lost(self, now, asked_at);
    }
    fn on_invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions) {
        Dispatcher::on_invocation(self, now, inv, out);
    }
    fn on_dispatch_result(&mut self, now: f64, o: &DispatchResult, out: &mut dyn Actions) {
        Dispatcher::on_dispatch_result(self, now, o, out);
    }
    fn on_response_started(&mut self, now: f64, inv: u32, dispatch: u8, out: &mut dyn Actions) {
        Dispatcher::on_response_started(self, now, inv, dispatch, out);
    }
    fn on_client_cancel(&mut self, now: f64, inv: u32, out: &mut dyn Actions) {
        Dispatcher::on_client_cancel(self, now, inv, out);
    }
    fn on_load_result(
        &mut self,
        now: f64,
        at: ExecutorId,
        key: u64,
        ending: DispatchStatus,
        out: &mut dyn Actions,
    ) {
        Dispatcher::on_load_result(self, now, at, key, ending, out);
    }
    fn prewarm(&mut self, now: f64, wish: &PrewarmRequest, out: &mut dyn Actions) -> usize {
        Dispatcher::prewarm(self, now, wish, out)
    }
    fn on_timer(&mut self, now: f64, out: &mut dyn Actions) {
        Dispatcher::on_timer(self, now, 0, out);
    }
    fn begin_shutdown(&mut self, now: f64, at: f64, out: &mut dyn Actions) {
        Dispatcher::begin_shutdown(self, now, at, out);
    }
    fn revalidate_dispatch(&mut self, now: f64, inv: u32, dispatch: u8) -> bool {
        Dispatcher::revalidate_dispatch(self, now, inv, dispatch)
    }
    fn revalidate_load(&mut self, now: f64, to: ExecutorId, at: f64) -> bool {
        Dispatcher::revalidate_load(self, now, to, at)
    }
    fn table_sizes(&self) -> TableSizes {
        Dispatcher::table_sizes(self)
    }
}

/// How a baseline chooses among the ready executors.
pub enum BaselineSelection {
    /// Any of them.
    Random,
    /// The one where the fewest of its own are out; chance between equals.
    LeastInFlight,
    /// The less loaded of two, by what is told of each as it truly is: no front end can know that.
    TwoChoicesByTrueLoad(Box<dyn Fn(ExecutorId) -> u32>),
}

/// Sends each invocation once.
pub struct BaselinePolicy {
    pick: BaselineSelection,
    random: SeededRandom,
    ready: Vec<ExecutorId>,
    open: HashMap<u32, ExecutorId>,
    /// How many of its own are out at each.
    out: HashMap<ExecutorId, u32>,
}

/// The baseline that a front end may be started with.
pub type RandomPolicy = BaselinePolicy;

impl BaselinePolicy {
    /// At random.
    pub fn new(seed: u64) -> BaselinePolicy {
        BaselinePolicy::by(BaselineSelection::Random, seed)
    }

    pub fn by(pick: BaselineSelection, seed: u64) -> BaselinePolicy {
        let (ready, open, out) = (vec![], HashMap::new(), HashMap::new());
        BaselinePolicy {
            pick,
            random: SeededRandom::new(seed),
            ready,
            open,
            out,
        }
    }

    fn draw(&mut self) -> usize {
        (self.random.unit() * self.ready.len() as f64) as usize
    }

    fn choose(&mut self) -> Option<ExecutorId> {
        let (one, other) = (self.draw(), self.draw());
        let first = *self.ready.get(one)?;
        Some(match &self.pick {
            BaselineSelection::Random => first,
            // From the one drawn on, so that equals are not chosen by the order of the list.
            BaselineSelection::LeastInFlight => {
                let from_there = self.ready[one..].iter().chain(&self.ready[..one]).copied();
                from_there.min_by_key(|x| self.out.get(x).copied().unwrap_or_default())?
            }
            BaselineSelection::TwoChoicesByTrueLoad(load) => {
                let second = *self.ready.get(other)?;
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
        })
    }

    /// The invocation is over; tells where it was out.
    fn end(&mut self, inv: u32) -> Option<ExecutorId> {
        let to = self.open.remove(&inv)?;
        if let Some(out) = self.out.get_mut(&to) {
            *out = out.saturating_sub(1);
        }
        Some(to)
    }
}

impl DispatchPolicy for BaselinePolicy {
    fn on_endpoint_update(
        &mut self,
        _: f64,
        kind: EndpointUpdateKind,
        rows: &[Endpoint],
        _: &mut dyn Actions,
    ) {
        if kind == EndpointUpdateKind::Full {
            self.ready.clear();
        }
        for row in rows {
            self.ready.retain(|&x| x != row.executor);
            if row.state == EndpointState::Ready {
                self.ready.push(row.executor);
            }
        }
        let ready = &self.ready;
        self.out.retain(|x, _| ready.contains(x));
    }

    fn on_invocation(&mut self, now: f64, inv: &Invocation, out: &mut dyn Actions) {
        match self.choose() {
            Some(to) => {
                self.open.insert(inv.id, to);
                *self.out.entry(to).or_default() += 1;
                out.dispatch(inv.id, to, inv.timeout_at - now);
            }
            None => out.reject(inv.id, 0.0, false),
        }
    }

    fn on_dispatch_result(&mut self, _: f64, o: &DispatchResult, out: &mut dyn Actions) {
        if self.end(o.invocation).is_some() && !o.is_answered && o.status != DispatchStatus::Ok {
            if o.status.never_ran() {
                out.reject(o.invocation, 0.0, false)
            } else {
                out.fail(o.invocation)
            }
        }
    }

    fn on_response_started(&mut self, _: f64, _: u32, _: u8, _: &mut dyn Actions) {}

    fn on_client_cancel(&mut self, _: f64, inv: u32, out: &mut dyn Actions) {
        if self.end(inv).is_some() {
            out.cancel(inv, 0);
        }
    }

    fn on_load_result(
        &mut self,
        _: f64,
        _: ExecutorId,
        _: u64,
        _: DispatchStatus,
        _: &mut dyn Actions,
    ) {
    }
    fn prewarm(&mut self, _: f64, wish: &PrewarmRequest, _: &mut dyn Actions) -> usize {
        wish.replicas
    }
    fn on_timer(&mut self, _: f64, _: &mut dyn Actions) {}
}
