//! Configuration distribution for one front end, as a core without I/O: list-and-watch with anti-entropy.
//!
//! The host passes the store's responses and the time in seconds to [`ConfigSync`], and performs the [`Action`]s that
//! it polls. The core decides which revision of the configuration is in force (a [`View`]), which transactions are
//! rejected and why, as of when the view is proven current, and what is read from the store, when and at what rate.
//!
//! Writers use [`writer`] to build transactions that keep the digests consistent, and [`in_force()`] to learn whether a
//! revision is in force at every front end, or which front ends are missing.
//!
//! `docs/design/config-sync.md` has the keys, the invariants and the calculations.

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
mod store_copy;

pub use action::{Action, ReadKind, ReadRequest};
pub use in_force::{InForce, MissingFrontEnd, MissingReason, RevocationState, in_force};
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
