//! The control store of a run: the project's stand-in with five members in three regions, in a process of its own so
//! that its processor time and memory are told apart from those of front ends.

mod command;
mod process;
mod serve;

pub use command::{Answer, ClientUsage, Command, MemberUsage, Usage};
pub use process::{StoreError, StoreProcess};
pub use serve::serve;

use std::net::SocketAddr;

/// The region of each member: two regions hold two, one holds one.
pub const MEMBER_REGIONS: [u32; 5] = [0, 0, 1, 1, 2];
/// Everything of the gateway stands under this prefix.
pub const PREFIX: &str = "/orchidtally/";

/// The region of a front end by its number: they are spread evenly.
pub fn region_of(front_end: usize) -> u32 {
    let regions = MEMBER_REGIONS.iter().max().map_or(1, |last| last + 1);
    front_end as u32 % regions
}

/// A front end's endpoints: members of its own region first, which the front ends of a region share evenly.
pub fn endpoints_of(front_end: usize, by_region: &[Vec<SocketAddr>]) -> Vec<SocketAddr> {
    let region = region_of(front_end);
    let mut endpoints = by_region.get(region as usize).cloned().unwrap_or_default();
    let own_members = MEMBER_REGIONS
        .iter()
        .filter(|of| **of == region)
        .count()
        .min(endpoints.len());
    if own_members > 0 {
        endpoints[..own_members].rotate_left(front_end / by_region.len() % own_members);
    }
    endpoints
}
