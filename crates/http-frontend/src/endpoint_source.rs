//! Where the list of executors comes from.

use crate::router::Router;
use crate::{endpoint_publisher, etcd};
use async_executor::Task;
use orchidtally_deployment::EndpointSource;
use std::rc::Rc;
use tracing::info;

/// Starts to follow the list of executors that the deployment names. A list in the deployment itself needs no
/// following, and the one in etcd is followed for as long as the front end lives.
pub fn watch(router: &Rc<Router>) -> Option<Task<()>> {
    match &router.deployment.endpoint_source {
        EndpointSource::Listed(_) => None,
        EndpointSource::Etcd(settings) => {
            info!(endpoints = ?settings.endpoints, "following the endpoint list in etcd");
            etcd::follow_membership(router, settings);
            None
        }
        EndpointSource::Publisher(publisher) => {
            info!(%publisher, "subscribing to the endpoint publisher");
            router.spawn(endpoint_publisher::watch(router.clone(), *publisher))
        }
    }
}
