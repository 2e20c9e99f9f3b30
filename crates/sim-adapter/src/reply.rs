//! The module's answers as records of a reply.

use orchidtally_dispatch_policy::interface::{Actions, ExecutorId};
use std::net::IpAddr;

/// The longest interval that a timer takes.
const LONGEST_WAKE: f64 = 4_200.0;

#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
    instance: u16,
}

fn nanos(seconds: f64) -> [u8; 8] {
    ((seconds * 1e9).round() as i64).to_le_bytes()
}

/// The wire's executors have four bytes of address, and the module names none but those told.
fn address(to: ExecutorId) -> [u8; 4] {
    match to.0 {
        IpAddr::V4(a) => a.octets(),
        IpAddr::V6(a) => unreachable!("the wire has no executor {a}"),
    }
}

impl Reply {
    pub fn begin(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; 4]);
    }

    pub fn speak_for(&mut self, instance: u16) {
        self.instance = instance;
    }

    /// The whole reply with its length in front.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        &self.bytes
    }

    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let length: usize = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(self.instance.to_le_bytes());
        for part in parts {
            self.bytes.extend(*part);
        }
    }
}

impl Actions for Reply {
    fn dispatch(&mut self, inv: u32, to: ExecutorId, time_out: f64) {
        // Zero would mean no time-out at all.
        let within = nanos(time_out.max(1e-9));
        self.record(
            66,
            &[
                &inv.to_le_bytes(),
                &address(to),
                &to.1.to_le_bytes(),
                &within,
            ],
        );
    }
    fn reject(&mut self, inv: u32, retry_after: f64, _past_share: bool) {
        self.record(78, &[&inv.to_le_bytes(), &nanos(retry_after.max(0.0))]);
    }
    fn fail(&mut self, inv: u32) {
        self.record(68, &[&inv.to_le_bytes()]);
    }
    fn cancel(&mut self, inv: u32, dispatch: u8) {
        self.record(75, &[&inv.to_le_bytes(), &[dispatch]]);
    }
    fn load(&mut self, to: ExecutorId, function: u64, copies: u8) {
        self.record(
            73,
            &[
                &address(to),
                &to.1.to_le_bytes(),
                &function.to_le_bytes(),
                &[copies],
            ],
        );
    }
    fn query_replicas(&mut self, to: ExecutorId, function: u64) {
        self.load(to, function, 0);
    }
    fn unload(&mut self, to: ExecutorId, function: u64) {
        self.record(
            77,
            &[&address(to), &to.1.to_le_bytes(), &function.to_le_bytes()],
        );
    }
    fn health_check(&mut self, to: ExecutorId) {
        self.record(67, &[&address(to), &to.1.to_le_bytes()]);
    }
    fn set_timer(&mut self, delay: f64, mark: u64) {
        self.record(
            72,
            &[&nanos(delay.clamp(0.0, LONGEST_WAKE)), &mark.to_le_bytes()],
        );
    }
    fn subscribe_to_endpoints(&mut self) {
        self.record(65, &[&[1]]);
    }
}
