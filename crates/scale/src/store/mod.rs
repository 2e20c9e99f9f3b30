//! The control store of a run: the project's stand-in with five members in three regions, in a process of its own so
//! that its processor time and memory are told apart from those of front ends.

mod command;
mod process;
mod serve;

pub use command::{Answer, Command, MemberUsage, Usage};
pub use process::{StoreError, StoreProcess};
pub use serve::serve;

/// The region of each member: two regions hold two, one holds one.
pub const MEMBER_REGIONS: [u32; 5] = [0, 0, 1, 1, 2];
/// Everything of the gateway stands under this prefix.
pub const PREFIX: &str = "/orchidtally/";
