//! Selects the source of the endpoint list.

use crate::router::Router;
use crate::{endpoint_publisher, etcd};
use async_executor::Task;
use orchidtally_deployment::EndpointSource;
use std::rc::Rc;
use tracing::info;

/// Subscribes to the endpoint list of the deployment. Returns the task that has to be replaced at the next call: there
/// is none for a list in the deployment itself, nor for etcd, which is followed for as long as the front end lives.
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
