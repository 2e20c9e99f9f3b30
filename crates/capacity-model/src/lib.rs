//! Scale tests: what control, decisions and configuration cost at the size that the gateway is designed for.
//!
//! Hollow front ends run the same decision cores and clients as `orchidtally serve`, hundreds in one process,
//! against the project's own stand-in of the control store. Each run ends in a [`report::Report`] with one
//! [`report::Row`] for each limit of the design.

pub mod clock;
pub mod comparison;
pub mod config;
pub mod fleet;
pub mod hollow;
pub mod parts;
pub mod report;
pub mod size;
pub mod slopes;
pub mod store;
pub mod tables;
pub mod zipf;
