//! The roster and the front ends' own membership from etcd: lists and watches go to the cores of
//! `orchidtally-membership`, which decide; what they say goes to a [`MembershipHost`].
//!
//! A front end's hub is one such host. [`follow_store`] needs no front end: whoever has a deployment, an executor and
//! connections to the store can run one.

mod entries;
mod follow;
mod front_ends;
mod host;
mod hub_host;
mod registration;
mod roster;

pub use host::{MembershipHost, OwnEntry, StoreConnections};
pub use hub_host::keep;

use async_executor::{LocalExecutor, Task};
use orchidtally_deployment::EtcdSettings;
use std::rc::Rc;

/// Executors and front ends have their entries under these names, behind the deployment's prefix.
pub const EXECUTORS: &str = "executors/";
pub const FRONT_ENDS: &str = "front-ends/";

/// Follows executors and front ends for a host, and keeps its own entry, until the tasks are dropped.
pub fn follow_store<H: MembershipHost + 'static>(
    host: &Rc<H>,
    connections: &StoreConnections,
    etcd: &EtcdSettings,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Vec<Task<()>> {
    let executors = format!("{}{EXECUTORS}", etcd.prefix);
    let front_ends = format!("{}{FRONT_ENDS}", etcd.prefix);
    let roster = roster::RosterFollower::new(host.clone());
    let others = front_ends::FrontEndsFollower::new(host.clone());
    let registration =
        registration::Registration::new(host.clone(), connections.registration.clone(), etcd);
    vec![
        tasks.spawn(follow::follow(
            connections.roster.clone(),
            executors,
            roster,
        )),
        tasks.spawn(follow::follow(
            connections.front_ends.clone(),
            front_ends,
            others,
        )),
        tasks.spawn(registration.keep()),
    ]
}
