//! Hollow front ends: the true cores and clients, hundreds in one process, without callers or executors on sockets.

pub mod configuration;
pub mod control;
pub mod decisions;
pub mod deployment;
pub mod snapshot;
