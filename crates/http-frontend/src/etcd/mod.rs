//! The endpoint list and the front ends' own membership from etcd. The results of lists and watches go to the state
//! machines of `orchidtally-membership`, and their updates go to a [`MembershipHost`].
//!
//! The router of a front end is one such host. [`follow_store`] also runs without a front end: it only needs a
//! deployment, an async executor and connections to the store.

mod entries;
mod executors;
mod follow;
mod front_ends;
mod host;
mod registration;
mod router_membership;

pub use host::{FrontEndEntry, MembershipHost, StoreConnections};
pub use router_membership::follow_membership;

use async_executor::{LocalExecutor, Task};
use orchidtally_deployment::EtcdSettings;
use std::rc::Rc;

/// The prefix of the executors' entries, after the deployment's prefix.
pub const EXECUTORS_PREFIX: &str = "executors/";
/// The prefix of the front ends' entries, after the deployment's prefix.
pub const FRONT_ENDS_PREFIX: &str = "front-ends/";

/// Follows executors and front ends for a host, and registers the host's own entry, until the tasks are dropped.
pub fn follow_store<H: MembershipHost + 'static>(
    host: &Rc<H>,
    connections: &StoreConnections,
    etcd: &EtcdSettings,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Vec<Task<()>> {
    let executors_prefix = format!("{}{EXECUTORS_PREFIX}", etcd.prefix);
    let front_ends_prefix = format!("{}{FRONT_ENDS_PREFIX}", etcd.prefix);
    let executors = executors::EndpointFollower::new(host.clone());
    let front_ends = front_ends::FrontEndsFollower::new(host.clone());
    let registration =
        registration::Registration::new(host.clone(), connections.registration.clone(), etcd);
    vec![
        tasks.spawn(follow::follow(
            connections.executors.clone(),
            executors_prefix,
            executors,
        )),
        tasks.spawn(follow::follow(
            connections.front_ends.clone(),
            front_ends_prefix,
            front_ends,
        )),
        tasks.spawn(registration.run()),
    ]
}
