//! Encoding of the dispatch policy's actions as records of a reply.

use crate::codes::action;
use orchidtally_dispatch_policy::interface::{Actions, ExecutorId};
use std::net::IpAddr;

/// Longest delay of a timer, in seconds.
const MAX_TIMER_DELAY: f64 = 4_200.0;
/// Shortest timeout of a dispatch, in seconds. In the protocol, 0 means that there is no timeout.
const MIN_TIMEOUT: f64 = 1e-9;
/// Nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;
/// Size of the length prefix of a reply, in bytes.
const LENGTH_BYTES: usize = 4;

/// A reply to a frame, with the actions of the instances in the order in which they were taken.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
    /// The instance that takes the next actions.
    instance: u16,
}

fn encode_nanoseconds(seconds: f64) -> [u8; 8] {
    ((seconds * NANOS_PER_SECOND).round() as i64).to_le_bytes()
}

/// Encodes address and port. The protocol has only IPv4 addresses, so the policy never returns another one.
fn encode_address(executor: ExecutorId) -> [u8; 6] {
    let ExecutorId(address, port) = executor;
    let [a, b, c, d] = match address {
        IpAddr::V4(address) => address.octets(),
        IpAddr::V6(address) => unreachable!("the simulator has no executor {address}"),
    };
    let [low, high] = port.to_le_bytes();
    [a, b, c, d, low, high]
}

impl Reply {
    /// Starts an empty reply.
    pub(crate) fn begin(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; LENGTH_BYTES]);
    }

    /// Sets the instance that takes the next actions.
    pub(crate) fn set_instance(&mut self, instance: u16) {
        self.instance = instance;
    }

    /// Fills in the length prefix and returns the complete reply.
    pub(crate) fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        &self.bytes
    }

    fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let instance = self.instance.to_le_bytes();
        let length = instance.len() + fields.iter().map(|field| field.len()).sum::<usize>();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(instance);
        for field in fields {
            self.bytes.extend(*field);
        }
    }
}

impl Actions for Reply {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64) {
        let timeout = encode_nanoseconds(timeout.max(MIN_TIMEOUT));
        self.push_record(
            action::DISPATCH,
            &[
                &invocation.to_le_bytes(),
                &encode_address(executor),
                &timeout,
            ],
        );
    }

    fn reject(&mut self, invocation: u32, retry_after: f64, _over_quota: bool) {
        let retry_after = encode_nanoseconds(retry_after.max(0.0));
        self.push_record(action::REJECT, &[&invocation.to_le_bytes(), &retry_after]);
    }

    fn fail(&mut self, invocation: u32) {
        self.push_record(action::FAIL, &[&invocation.to_le_bytes()]);
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.push_record(action::CANCEL, &[&invocation.to_le_bytes(), &[dispatch]]);
    }

    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        self.push_record(
            action::LOAD,
            &[
                &encode_address(executor),
                &function.to_le_bytes(),
                &[replicas],
            ],
        );
    }

    /// The protocol represents a query as a load command for 0 replicas.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64) {
        self.load(executor, function, 0);
    }

    fn unload(&mut self, executor: ExecutorId, function: u64) {
        self.push_record(
            action::UNLOAD,
            &[&encode_address(executor), &function.to_le_bytes()],
        );
    }

    fn health_check(&mut self, executor: ExecutorId) {
        self.push_record(action::HEALTH_CHECK, &[&encode_address(executor)]);
    }

    fn set_timer(&mut self, delay: f64, mark: u64) {
        let delay = encode_nanoseconds(delay.clamp(0.0, MAX_TIMER_DELAY));
        self.push_record(action::SET_TIMER, &[&delay, &mark.to_le_bytes()]);
    }

    fn subscribe_to_endpoints(&mut self) {
        self.push_record(action::SUBSCRIBE, &[&[1]]);
    }
}
