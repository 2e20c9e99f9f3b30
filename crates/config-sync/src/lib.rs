//! Configuration distribution for one front end, as a decision core: no I/O, no clock, no sockets.
//!
//! A host feeds [`ConfigSync`] what the store answers and the time in seconds, and performs the [`Action`]s that it
//! polls. The core decides which revision of the configuration is in force (a [`View`]), what was rejected and why,
//! until when the view is certainly current, and what is read from the store when, and at what pace.
//!
//! Writers use [`writer`] to build transactions that keep the digests in step, and [`in_force()`] to learn whether a
//! revision is in force at every front end, or which front ends are missing.
//!
//! The protocol of keys, the invariants and the arithmetic are in `docs/design/config-sync.md`.

#![warn(missing_docs)]

pub mod action;
pub mod digest;
pub mod in_force;
pub mod keys;
pub mod message;
pub mod report;
pub mod schema;
pub mod settings;
pub mod snapshot;
pub mod sync;
pub mod view;
pub mod writer;

mod applier;
mod backlog;
mod deletions;
mod freshness;
mod pacing;
mod stored;

pub use action::{Action, ReadKind, ReadRequest};
pub use in_force::{InForce, Missing, MissingReason, RevocationState, in_force};
pub use keys::{EntryKey, EntryKeyError, Keyspace};
pub use message::{
    BarrierAnswer, Change, Header, RangeAnswer, RangeEntry, RequestFailure, RequestId, WatchBatch,
};
pub use report::{Report, ReportedState};
pub use schema::{GatewaySchema, InvalidEntry, Rejection, Schema};
pub use settings::{SettingsError, SyncSettings};
pub use snapshot::SnapshotError;
pub use sync::{ConfigSync, Restored, Verdict};
pub use view::{Record, View, WhenStale};
