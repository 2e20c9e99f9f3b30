//! The open invocations, with the data needed to dispatch them and to respond to their clients.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Bytes of memory that the records of an open invocation take about, in all tables, without its body and idempotency
/// key.
const RECORD_BYTES: usize = 1_024;

/// An invocation that the engine has admitted.
pub struct OpenInvocation {
    /// The slot of the client connection.
    pub client: usize,
    /// The stream on the client connection.
    pub stream: u32,
    /// The invocation id chosen by the client.
    pub id: Rc<str>,
    /// Whether it may run twice.
    pub is_repeatable: bool,
    /// The index of its trigger type.
    pub trigger_type: usize,
    /// The function id as the client wrote it.
    pub function: Rc<str>,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// When the client timeout expires, in seconds.
    pub timeout_at: f64,
}

impl OpenInvocation {
    /// The invocation id as a number; `None` if it is no hexadecimal number.
    pub fn id_number(&self) -> Option<u64> {
        u64::from_str_radix(&self.id, 16).ok()
    }

    /// Bytes of memory that the invocation occupies while it is open.
    pub fn held_bytes(&self) -> usize {
        let key_bytes = self.idempotency_key.as_ref().map_or(0, String::len);
        RECORD_BYTES + key_bytes + self.body.len()
    }
}

/// Open invocations by the engine's id. Also tracks the ids chosen by clients and the memory that all occupy.
#[derive(Default)]
pub struct InvocationTable {
    open: HashMap<u32, OpenInvocation>,
    client_invocation_ids: HashSet<Rc<str>>,
    held_bytes: usize,
}

impl InvocationTable {
    /// Adds an invocation under the engine's id.
    pub fn insert(&mut self, invocation: u32, open: OpenInvocation) {
        self.held_bytes += open.held_bytes();
        self.client_invocation_ids.insert(open.id.clone());
        self.open.insert(invocation, open);
    }

    /// Removes and returns an invocation, if it is open.
    pub fn remove(&mut self, invocation: u32) -> Option<OpenInvocation> {
        let open = self.open.remove(&invocation)?;
        self.held_bytes -= open.held_bytes();
        self.client_invocation_ids.remove(&open.id);
        Some(open)
    }

    /// Returns an invocation, if it is open.
    pub fn get(&self, invocation: u32) -> Option<&OpenInvocation> {
        self.open.get(&invocation)
    }

    /// Whether an invocation with this id, as chosen by its client, is open.
    pub fn contains_client_invocation_id(&self, id: &str) -> bool {
        self.client_invocation_ids.contains(id)
    }

    /// Bytes of memory that the invocations occupy.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Limits every deadline to `latest`, in seconds.
    pub fn cap_deadlines(&mut self, latest: f64) {
        for open in self.open.values_mut() {
            open.timeout_at = open.timeout_at.min(latest);
        }
    }

    /// All open invocations, in arbitrary order.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = &OpenInvocation> {
        self.open.values()
    }

    /// Whether no invocation is open.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
