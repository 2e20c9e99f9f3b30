//! The open invocations, with what the front end needs to dispatch and to answer them.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// An invocation that was admitted.
pub struct OpenInvocation {
    /// The slot of the client's connection.
    pub client: usize,
    /// The stream on that connection.
    pub stream: u32,
    /// The client's id for the invocation.
    pub id: Rc<str>,
    /// The index of its trigger type.
    pub trigger_type: usize,
    /// The function, as written by the client.
    pub function: Rc<str>,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// When its client no longer waits, in seconds.
    pub timeout_at: f64,
}

/// Open invocations by the engine's id. The clients' ids and the size of all bodies are kept in step with them.
#[derive(Default)]
pub struct InvocationTable {
    open: HashMap<u32, OpenInvocation>,
    client_invocation_ids: HashSet<Rc<str>>,
    body_bytes: usize,
}

impl InvocationTable {
    /// Adds an invocation under the engine's id for it.
    pub fn insert(&mut self, invocation: u32, open: OpenInvocation) {
        self.body_bytes += open.body.len();
        self.client_invocation_ids.insert(open.id.clone());
        self.open.insert(invocation, open);
    }

    /// Removes an invocation, if it is open.
    pub fn remove(&mut self, invocation: u32) -> Option<OpenInvocation> {
        let open = self.open.remove(&invocation)?;
        self.body_bytes -= open.body.len();
        self.client_invocation_ids.remove(&open.id);
        Some(open)
    }

    /// An open invocation.
    pub fn get(&self, invocation: u32) -> Option<&OpenInvocation> {
        self.open.get(&invocation)
    }

    /// Whether an invocation with this client's id is open.
    pub fn contains_client_invocation_id(&self, id: &str) -> bool {
        self.client_invocation_ids.contains(id)
    }

    /// The size of all request bodies in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Moves every deadline to a time at the latest.
    pub fn cap_deadlines(&mut self, latest: f64) {
        for open in self.open.values_mut() {
            open.timeout_at = open.timeout_at.min(latest);
        }
    }

    /// All open invocations, in no order.
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
