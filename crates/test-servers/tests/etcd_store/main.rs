//! The stand-in's store as a value: what ranges give, transactions as a whole, compaction and restore.

mod compaction;
mod range;
mod support;
mod transaction;
