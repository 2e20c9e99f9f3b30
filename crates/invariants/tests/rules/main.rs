//! Each rule detects the violation added to the records, and none in clean records.

mod clean;
mod delivery;
mod executors;
mod support;
