//! Selects the source of the endpoint list.

use crate::router::Router;
use crate::{endpoint_publisher, etcd};
use async_executor::Task;
use orchidtally_deployment::EndpointSource;
use std::rc::Rc;
use tracing::info;

/// Subscribes to the deployment's endpoint source. Returns the subscription's task, which the task of the next call
/// replaces. There is none for a list in the deployment itself, nor for etcd, which is followed for the lifetime of the
/// front end.
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
