//! Entries of the endpoint list, and the front ends that share the executors.

use std::net::IpAddr;

/// IP address and port of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutorId(pub IpAddr, pub u16);

/// Life cycle state of an executor in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The executor accepts new work.
    Ready,
    /// The executor completes the work that it has and accepts no new work.
    Draining,
    /// The executor has left the fleet.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address and port of the executor.
    pub executor: ExecutorId,
    /// Zone of the executor.
    pub zone: u8,
    /// Hardware kind. Executors of one kind have comparable performance.
    pub kind: u8,
    /// Cell: a group of executors that recognize each other's idempotency keys.
    pub cell: u16,
    /// Life cycle state of the executor.
    pub state: EndpointState,
    /// Capacity relative to other executors. A value that is not positive and finite counts as 1.
    pub weight: f64,
    /// Time of the last start in seconds; negative infinity if the executor started long ago.
    pub started_at: f64,
}

/// Content of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the changed entries.
    Delta,
    /// The complete list. An executor without an entry has left the fleet.
    Full,
    /// No entries: the subscription to the endpoint list failed.
    Failed,
}

/// The live front ends that this front end knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipView {
    /// Number of front ends among which shared quantities are divided.
    pub front_ends: f64,
    /// Number of time slots into which a shared budget is divided. All front ends that share the budget use the same
    /// number.
    pub slot_count: f64,
    /// Index of this front end, unique among the front ends.
    pub front_end_index: f64,
    /// Whether this front end may use its share of a budget that the front ends must not exceed together.
    pub has_budget_share: bool,
}
