//! Hosts instances of the dispatch policy and passes them the events of each frame.

use crate::codes::{event, invocation_option, replica_state, update_mode};
use crate::error::{FrameError, MalformedFrame};
use crate::fields::FieldReader;
use crate::reply::Reply;
use orchidtally_dispatch_policy::dispatch::Dispatcher;
use orchidtally_dispatch_policy::interface::{
    DispatchResult, Endpoint, EndpointUpdateKind, Invocation, ReplicaState,
};

/// Size of the length prefix of a frame, in bytes.
pub(crate) const FRAME_LENGTH_BYTES: usize = 4;
/// Size of a record's code and length, in bytes.
const RECORD_HEADER_BYTES: usize = 5;
/// Number of endpoint lists that are kept at a time.
const MAX_ENDPOINT_LISTS: usize = 16;
/// Milliseconds per second.
const MILLIS_PER_SECOND: f64 = 1e3;

/// The instances and the endpoint lists received. Instances share only the lists.
#[derive(Default)]
pub(crate) struct Host {
    instances: Vec<Option<Box<Dispatcher>>>,
    lists: EndpointLists,
}

/// The endpoint lists received, indexed by their numbers.
#[derive(Default)]
struct EndpointLists([Option<Vec<Endpoint>>; MAX_ENDPOINT_LISTS]);

impl Host {
    /// Passes the events of a frame (without its length prefix) to the instances and writes their actions to `reply`.
    ///
    /// # Errors
    /// Returns the first error in the frame. The events before it have been processed.
    pub(crate) fn process_frame(
        &mut self,
        frame: &[u8],
        reply: &mut Reply,
    ) -> Result<(), MalformedFrame> {
        let mut batch = FieldReader::new(frame, FRAME_LENGTH_BYTES, 0);
        let records = batch.u32()? as usize;
        let now = batch.seconds()?;
        reply.begin();
        for record in 0..records {
            let mut header = batch.sub_reader(RECORD_HEADER_BYTES, record)?;
            let code = header.u8()?;
            let length = header.u32()? as usize;
            let fields = batch.sub_reader(length, record)?;
            self.process_record(code, fields, now, reply)?;
        }
        if !batch.is_empty() {
            return Err(batch.error(FrameError::TrailingBytes { records }));
        }
        Ok(())
    }

    fn process_record(
        &mut self,
        code: u8,
        mut fields: FieldReader,
        now: f64,
        reply: &mut Reply,
    ) -> Result<(), MalformedFrame> {
        if code == event::ENDPOINT_LIST {
            return self.lists.store(&mut fields);
        }
        let instance = fields.u16()?;
        let slot = usize::from(instance);
        reply.set_instance(instance);
        if code == event::START {
            return self.start(slot, &mut fields, now, reply);
        }
        let Some(dispatcher) = self.instances.get_mut(slot).and_then(Option::as_mut) else {
            return Err(fields.error_at_start(FrameError::UnknownInstance(instance)));
        };
        match code {
            event::TIMER => dispatcher.on_timer(now, fields.u64()?, reply),
            event::RESPONSE_STARTED => response_started(dispatcher, &mut fields, now, reply)?,
            event::HEALTH_CHECK_RESULT => skip_health_check_result(&mut fields)?,
            event::INVOCATION => invocation(dispatcher, &mut fields, now, reply)?,
            event::ENDPOINT_UPDATE => {
                endpoint_update(dispatcher, &self.lists, &mut fields, now, reply)?;
            }
            event::DISPATCH_RESULT => dispatch_result(dispatcher, &mut fields, now, reply)?,
            event::IGNORED => {}
            event::LOAD_RESULT => load_result(dispatcher, &mut fields, now, reply)?,
            event::CLIENT_CANCEL => dispatcher.on_client_cancel(now, fields.u32()?, reply),
            event::STOP => self.instances[slot] = None,
            other => return Err(fields.error_at_start(FrameError::UnknownEvent(other))),
        }
        Ok(())
    }

    fn start(
        &mut self,
        slot: usize,
        fields: &mut FieldReader,
        now: f64,
        reply: &mut Reply,
    ) -> Result<(), MalformedFrame> {
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let settings_start = fields.clone();
        let settings = fields.bytes(length)?;
        let config = orchidtally_platform_config::parse_policy_config(settings)
            .map_err(|error| settings_start.error(error.into()))?;
        if self.instances.len() <= slot {
            self.instances.resize_with(slot + 1, || None);
        }
        self.instances[slot] = Some(Box::new(Dispatcher::new(config, seed, now, reply)));
        Ok(())
    }
}

impl EndpointLists {
    fn store(&mut self, fields: &mut FieldReader) -> Result<(), MalformedFrame> {
        let number = usize::from(fields.u16()?);
        let count = fields.u32()?;
        let endpoints = (0..count)
            .map(|_| fields.endpoint())
            .collect::<Result<_, _>>()?;
        match self.0.get_mut(number) {
            Some(list) => *list = Some(endpoints),
            None => return Err(fields.error(FrameError::ListOutOfRange(number))),
        }
        Ok(())
    }

    fn get(&self, number: usize) -> Option<&[Endpoint]> {
        self.0.get(number)?.as_deref()
    }
}

fn response_started(
    dispatcher: &mut Dispatcher,
    fields: &mut FieldReader,
    now: f64,
    reply: &mut Reply,
) -> Result<(), MalformedFrame> {
    let invocation = fields.u32()?;
    let dispatch = fields.u8()?;
    let _executor = fields.executor()?;
    let _duration = fields.seconds()?;
    dispatcher.on_response_started(now, invocation, dispatch, reply);
    Ok(())
}

/// Reads a health check result and ignores it: the policy sends no health checks, so only the encoding is checked.
fn skip_health_check_result(fields: &mut FieldReader) -> Result<(), MalformedFrame> {
    let _executor = fields.executor()?;
    let _status = fields.status()?;
    let _duration = fields.seconds()?;
    let _load_report = fields.load_report()?;
    Ok(())
}

fn invocation(
    dispatcher: &mut Dispatcher,
    fields: &mut FieldReader,
    now: f64,
    reply: &mut Reply,
) -> Result<(), MalformedFrame> {
    let id = fields.u32()?;
    let trigger_type = usize::from(fields.u8()?);
    let customer = usize::from(fields.u16()?);
    let function = fields.u64()?;
    let timeout_at = fields.seconds()?;
    let expected_work = fields.seconds()?;
    let _memory = fields.f32()?;
    let concurrency = f64::from(fields.f32()?);
    let load_time = fields.f32()?;
    let options = fields.u8()?;
    if !dispatcher.has_trigger_type(trigger_type) {
        return Err(fields.error_at_start(FrameError::UnknownTriggerType(trigger_type)));
    }
    let has_expected_work = options & invocation_option::HAS_EXPECTED_WORK != 0;
    let has_load_time = load_time > 0.0 && load_time.is_finite();
    let invocation = Invocation {
        id,
        trigger_type,
        customer,
        function,
        is_retry: options & invocation_option::IS_RETRY != 0,
        is_migrated: false,
        timeout_at,
        expected_work: has_expected_work.then_some(expected_work),
        concurrency,
        load_time: has_load_time.then(|| f64::from(load_time) / MILLIS_PER_SECOND),
    };
    dispatcher.on_invocation(now, &invocation, reply);
    Ok(())
}

fn endpoint_update(
    dispatcher: &mut Dispatcher,
    lists: &EndpointLists,
    fields: &mut FieldReader,
    now: f64,
    reply: &mut Reply,
) -> Result<(), MalformedFrame> {
    let mode = fields.u8()?;
    let _revision = fields.u32()?;
    let number = usize::from(fields.u16()?);
    let kind = match mode {
        update_mode::DELTA => EndpointUpdateKind::Delta,
        update_mode::FULL | update_mode::FULL_AFTER_SUBSCRIPTION => EndpointUpdateKind::Full,
        update_mode::FAILED => EndpointUpdateKind::Failed,
        other => return Err(fields.error(FrameError::UnknownUpdateMode(other))),
    };
    let endpoints = match lists.get(number) {
        Some(endpoints) => endpoints,
        None if kind == EndpointUpdateKind::Failed => &[],
        None => return Err(fields.error(FrameError::MissingList(number))),
    };
    dispatcher.on_endpoint_update(now, kind, endpoints, reply);
    Ok(())
}

fn dispatch_result(
    dispatcher: &mut Dispatcher,
    fields: &mut FieldReader,
    now: f64,
    reply: &mut Reply,
) -> Result<(), MalformedFrame> {
    let invocation = fields.u32()?;
    let dispatch = fields.u8()?;
    let executor = fields.executor()?;
    let status = fields.status()?;
    let duration = fields.seconds()?;
    let is_answered = fields.u8()? != 0;
    let info = fields.u32()?;
    let load_report = fields.load_report()?;
    let result = DispatchResult {
        invocation,
        dispatch,
        executor,
        status,
        duration,
        is_answered,
        replica_state: decode_replica_state(info),
        function_concurrency: info >> replica_state::BITS,
        load_report: &load_report,
    };
    dispatcher.on_dispatch_result(now, &result, reply);
    Ok(())
}

fn decode_replica_state(info: u32) -> ReplicaState {
    match info & replica_state::MASK {
        replica_state::WARM => ReplicaState::Warm,
        replica_state::COLD_LOAD => ReplicaState::ColdStart,
        replica_state::JOINED_LOAD => ReplicaState::JoinedLoad,
        replica_state::LOAD_FAILED => ReplicaState::LoadFailed,
        _ => ReplicaState::Unknown,
    }
}

fn load_result(
    dispatcher: &mut Dispatcher,
    fields: &mut FieldReader,
    now: f64,
    reply: &mut Reply,
) -> Result<(), MalformedFrame> {
    let _duration = fields.seconds()?;
    let status = fields.status()?;
    let function = fields.u64()?;
    let executor = fields.executor()?;
    let _replicas = fields.u8()?;
    dispatcher.on_load_result(now, executor, function, status, reply);
    Ok(())
}
