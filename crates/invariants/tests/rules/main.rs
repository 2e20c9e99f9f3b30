//! Each rule finds the breach that is planted, and nothing in a clean day.

mod clean;
mod delivery;
mod executors;
mod support;
