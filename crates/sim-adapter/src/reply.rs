//! The actions of the dispatch policy as records of a reply.

use crate::codes::action;
use orchidtally_dispatch_policy::interface::{Actions, ExecutorId};
use std::net::IpAddr;

/// The longest delay of a timer, in seconds.
const MAX_TIMER_DELAY: f64 = 4_200.0;
/// The shortest timeout of a dispatch, in seconds: 0 would mean no timeout at all.
const MIN_TIMEOUT: f64 = 1e-9;
/// Nanoseconds in a second.
const NANOSECONDS: f64 = 1e9;
/// Bytes of a reply's length, which stands in front of it.
const LENGTH_BYTES: usize = 4;

/// A reply to a frame, with the actions of its instances in the order in which they were taken.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
    /// The instance that takes the next actions.
    instance: u16,
}

fn nanoseconds(seconds: f64) -> [u8; 8] {
    ((seconds * NANOSECONDS).round() as i64).to_le_bytes()
}

/// Address and port. The simulator's executors have four bytes of address, and the policy names no others.
fn address(executor: ExecutorId) -> [u8; 6] {
    let ExecutorId(address, port) = executor;
    let [a, b, c, d] = match address {
        IpAddr::V4(address) => address.octets(),
        IpAddr::V6(address) => unreachable!("the simulator has no executor {address}"),
    };
    let [low, high] = port.to_le_bytes();
    [a, b, c, d, low, high]
}

impl Reply {
    /// Begins an empty reply.
    pub(crate) fn begin(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; LENGTH_BYTES]);
    }

    /// Sets the instance that takes the next actions.
    pub(crate) fn set_instance(&mut self, instance: u16) {
        self.instance = instance;
    }

    /// The whole reply with its length in front.
    pub(crate) fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        &self.bytes
    }

    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let instance = self.instance.to_le_bytes();
        let length = instance.len() + parts.iter().map(|part| part.len()).sum::<usize>();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(instance);
        for part in parts {
            self.bytes.extend(*part);
        }
    }
}

impl Actions for Reply {
    fn dispatch(&mut self, invocation: u32, executor: ExecutorId, timeout: f64) {
        let timeout = nanoseconds(timeout.max(MIN_TIMEOUT));
        self.record(
            action::DISPATCH,
            &[&invocation.to_le_bytes(), &address(executor), &timeout],
        );
    }

    fn reject(&mut self, invocation: u32, retry_after: f64, _over_quota: bool) {
        let retry_after = nanoseconds(retry_after.max(0.0));
        self.record(action::REJECT, &[&invocation.to_le_bytes(), &retry_after]);
    }

    fn fail(&mut self, invocation: u32) {
        self.record(action::FAIL, &[&invocation.to_le_bytes()]);
    }

    fn cancel(&mut self, invocation: u32, dispatch: u8) {
        self.record(action::CANCEL, &[&invocation.to_le_bytes(), &[dispatch]]);
    }

    fn load(&mut self, executor: ExecutorId, function: u64, replicas: u8) {
        self.record(
            action::LOAD,
            &[&address(executor), &function.to_le_bytes(), &[replicas]],
        );
    }

    /// A query is a load command for no replica.
    fn query_replicas(&mut self, executor: ExecutorId, function: u64) {
        self.load(executor, function, 0);
    }

    fn unload(&mut self, executor: ExecutorId, function: u64) {
        self.record(
            action::UNLOAD,
            &[&address(executor), &function.to_le_bytes()],
        );
    }

    fn health_check(&mut self, executor: ExecutorId) {
        self.record(action::HEALTH_CHECK, &[&address(executor)]);
    }

    fn set_timer(&mut self, delay: f64, mark: u64) {
        let delay = nanoseconds(delay.clamp(0.0, MAX_TIMER_DELAY));
        self.record(action::SET_TIMER, &[&delay, &mark.to_le_bytes()]);
    }

    fn subscribe_to_endpoints(&mut self) {
        self.record(action::SUBSCRIBE, &[&[1]]);
    }
}
