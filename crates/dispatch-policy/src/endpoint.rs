//! Executors as the endpoint list describes them, and the front ends that share them.

use std::net::IpAddr;

/// An executor's address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutorId(pub IpAddr, pub u16);

/// Life cycle state of an executor in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes no new work.
    Draining,
    /// It has left the fleet.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address and port of the executor.
    pub executor: ExecutorId,
    /// Its zone.
    pub zone: u8,
    /// Its hardware kind; executors of one kind are comparable.
    pub kind: u8,
    /// Its cell, a group that shares idempotency keys.
    pub cell: u16,
    /// Its life cycle state.
    pub state: EndpointState,
    /// Its capacity relative to others; values that are not positive and finite count as 1.
    pub weight: f64,
    /// When it last started, in seconds; minus infinity for long ago.
    pub started_at: f64,
}

/// What an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Changed entries only.
    Delta,
    /// The whole list: an executor without an entry is gone.
    Full,
    /// Nothing: the subscription to the endpoint list failed.
    Failed,
}

/// The live front ends, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipView {
    /// Number of front ends by which shared quantities are divided.
    pub front_ends: f64,
    /// Number of time slots into which a shared budget is divided; the same at all front ends that share it.
    pub slot_count: f64,
    /// Index of this front end, which no other has.
    pub front_end_index: f64,
    /// Whether this front end may use its part of a strictly shared budget.
    pub has_budget_share: bool,
}
