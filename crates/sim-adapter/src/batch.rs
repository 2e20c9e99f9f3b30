//! Reads a batch of events, calls the module of each instance at once and gathers its answers.

use crate::frame::{Fields, Malformed};
use crate::reply::Reply;
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::{
    CopyState, DispatchResult, DispatchStatus, Endpoint, EndpointState, EndpointUpdateKind,
    Invocation,
};

/// The instances that this process hosts and the executor lists told to it. Instances share nothing else.
#[derive(Default)]
pub struct Host {
    instances: Vec<Option<Box<Dispatcher>>>,
    lists: [Option<Vec<Endpoint>>; 16],
}

fn ending(fields: &Fields, code: u8) -> Result<DispatchStatus, Malformed> {
    Ok(match code {
        0 => DispatchStatus::Ok,
        255 => DispatchStatus::Error,
        254 => DispatchStatus::Full,
        253 => DispatchStatus::TimedOut,
        252 => DispatchStatus::ConnectFailed,
        251 => DispatchStatus::Reset,
        250 => DispatchStatus::Cancelled,
        249 => DispatchStatus::NeverSent,
        1 => DispatchStatus::Miss,
        other => return Err(fields.fault(format!("no result has number {other}"))),
    })
}

fn report(fields: &mut Fields) -> Result<Vec<f32>, Malformed> {
    (0..fields.u8()?).map(|_| fields.f32()).collect()
}

fn row(fields: &mut Fields) -> Result<Endpoint, Malformed> {
    let executor = fields.executor()?;
    let (zone, kind, cell) = (fields.u8()?, fields.u8()?, fields.u16()?);
    let standing = match fields.u8()? {
        0 => EndpointState::Ready,
        3 => EndpointState::Draining,
        1 => EndpointState::Gone,
        other => return Err(fields.fault(format!("no standing has number {other}"))),
    };
    let weight = f64::from(fields.f32()?);
    let since = fields.seconds()?;
    let since = if since > 0.0 {
        since
    } else {
        f64::NEG_INFINITY
    };
    Ok(Endpoint {
        executor,
        zone,
        kind,
        cell,
        state: standing,
        weight,
        started_at: since,
    })
}

impl Host {
    /// Plays one frame (without its length) and leaves the answers in `reply`.
    pub fn play(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), Malformed> {
        let mut batch = Fields::new(frame, 4, 0);
        let records = batch.u32()? as usize;
        let now = batch.seconds()?;
        reply.begin();
        for n in 0..records {
            let mut header = batch.part(5, n)?;
            let (code, length) = (header.u8()?, header.u32()? as usize);
            let fields = batch.part(length, n)?;
            self.event(code, fields, now, reply)?;
        }
        if !batch.is_empty() {
            return Err(batch.fault(format!("bytes left over after {records} records")));
        }
        Ok(())
    }

    fn event(
        &mut self,
        code: u8,
        mut f: Fields,
        now: f64,
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        if code == 8 {
            let (page, rows) = (usize::from(f.u16()?), f.u32()?);
            let rows = (0..rows).map(|_| row(&mut f)).collect::<Result<_, _>>()?;
            *self
                .lists
                .get_mut(page)
                .ok_or_else(|| f.fault(format!("no list can have number {page}")))? = Some(rows);
            return Ok(());
        }
        let start = f.clone();
        let who = f.u16()?;
        let slot = usize::from(who);
        reply.speak_for(who);
        if code == 4 {
            let seed = f.u64()?;
            let length = f.u32()? as usize;
            let at_text = f.clone();
            let text = f.take(length)?;
            let policy = orchidtally_platform_config::read(text)
                .map_err(|e| at_text.fault(e.to_string()))?;
            if self.instances.len() <= slot {
                self.instances.resize_with(slot + 1, || None);
            }
            self.instances[slot] = Some(Box::new(Dispatcher::new(policy, seed, now, reply)));
            return Ok(());
        }
        let dispatcher = self
            .instances
            .get_mut(slot)
            .and_then(Option::as_mut)
            .ok_or_else(|| start.fault(format!("instance {who} was never started")))?;
        match code {
            1 => dispatcher.on_timer(now, f.u64()?, reply),
            2 => {
                let (inv, dispatch) = (f.u32()?, f.u8()?);
                f.executor()?;
                f.seconds()?;
                dispatcher.on_response_started(now, inv, dispatch, reply);
            }
            3 => {
                f.executor()?;
                let code = f.u8()?;
                ending(&f, code)?;
                f.seconds()?;
                report(&mut f)?;
            }
            5 => {
                let id = f.u32()?;
                let (trigger_type, customer) = (usize::from(f.u8()?), usize::from(f.u16()?));
                let (function, timeout_at, work) = (f.u64()?, f.seconds()?, f.seconds()?);
                let (_memory, lanes, load_ms, options) = (f.f32()?, f.f32()?, f.f32()?, f.u8()?);
                let lanes = f64::from(lanes);
                if !dispatcher.has_trigger_type(trigger_type) {
                    return Err(start.fault(format!("no trigger type has number {trigger_type}")));
                }
                let work = (options & 1 != 0).then_some(work);
                let load_time =
                    (load_ms > 0.0 && load_ms.is_finite()).then(|| f64::from(load_ms) / 1e3);
                let repeat = options & 2 != 0;
                let inv = Invocation {
                    id,
                    trigger_type,
                    customer,
                    function,
                    is_retry: repeat,
                    is_migrated: false,
                    timeout_at,
                    expected_work: work,
                    concurrency: lanes,
                    load_time,
                };
                dispatcher.on_invocation(now, &inv, reply);
            }
            6 => {
                let (mode, _revision, page) = (f.u8()?, f.u32()?, usize::from(f.u16()?));
                let kind = match mode {
                    0 => EndpointUpdateKind::Delta,
                    1 | 2 => EndpointUpdateKind::Full,
                    3 => EndpointUpdateKind::Failed,
                    other => return Err(f.fault(format!("no roster event has mode {other}"))),
                };
                let rows = match self.lists.get(page).and_then(Option::as_ref) {
                    Some(rows) => rows.as_slice(),
                    None if kind == EndpointUpdateKind::Failed => &[],
                    None => return Err(f.fault(format!("list {page} was never given"))),
                };
                dispatcher.on_endpoint_update(now, kind, rows, reply);
            }
            7 => {
                let (inv, dispatch, executor, code) = (f.u32()?, f.u8()?, f.executor()?, f.u8()?);
                let ending = ending(&f, code)?;
                let (took, closed, info) = (f.seconds()?, f.u8()? != 0, f.u32()?);
                let found = match info & 7 {
                    1 => CopyState::Warm,
                    2 => CopyState::ColdLoad,
                    3 => CopyState::JoinedLoad,
                    4 => CopyState::LoadFailed,
                    _ => CopyState::Unknown,
                };
                let crowd = info >> 3;
                let report = &report(&mut f)?;
                let outcome = DispatchResult {
                    invocation: inv,
                    dispatch,
                    executor,
                    status: ending,
                    duration: took,
                    is_answered: closed,
                    copy_state: found,
                    function_concurrency: crowd,
                    load_report: report,
                };
                dispatcher.on_dispatch_result(now, &outcome, reply);
            }
            9 => {}
            10 => {
                f.seconds()?;
                let code = f.u8()?;
                let (ending, function) = (ending(&f, code)?, f.u64()?);
                let (executor, _copies) = (f.executor()?, f.u8()?);
                dispatcher.on_load_result(now, executor, function, ending, reply);
            }
            11 => dispatcher.on_client_cancel(now, f.u32()?, reply),
            12 => self.instances[slot] = None,
            other => return Err(start.fault(format!("no event has code {other}"))),
        }
        Ok(())
    }
}
