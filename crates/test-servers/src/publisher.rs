//! The publisher of the endpoint list. It sends full lists and deltas, delayed as the script asks, and records which
//! front end was sent what.

use crate::{TestEnvironment, TimedFault};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::future;
use orchidtally_executor_protocol::{Deframer, ENDPOINT_LIST_PATH, MAX_MESSAGE_LENGTH, frame, v1};
use orchidtally_invariants::{EndpointState, TrafficRecord};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// An executor as the publisher lists it.
#[derive(Clone, Debug)]
pub struct PublishedEndpoint {
    /// The executor's number.
    pub executor: usize,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The name of its location.
    pub location: String,
    /// The kind of machine.
    pub kind: String,
    /// The cell, whose executors deduplicate by idempotency key together.
    pub cell: u32,
    /// Its weight in the front ends' selection.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started, in seconds of the environment's clock.
    pub started_at: f64,
}

/// The largest number of changes queued for a front end. Past that the stream ends, and the front end requests a full
/// list again.
const MAX_QUEUED_CHANGES: usize = 1_024;

/// A publisher of the endpoint list that listens on a socket.
pub struct Publisher {
    environment: TestEnvironment,
    /// The address at which it listens.
    pub address: SocketAddr,
    endpoints: RefCell<Vec<PublishedEndpoint>>,
    revision: Cell<u64>,
    watchers: RefCell<Vec<Sender<(f64, PublishedEndpoint)>>>,
    /// The largest delay of a change, in seconds; each change to each front end has a random one up to it.
    pub max_delay: Cell<f64>,
    /// While active, changes are delayed until its end, and new watchers get the list as it was before the first
    /// delayed change.
    pub stale: TimedFault,
    /// The list before the first change that was delayed by `stale`.
    stale_endpoints: RefCell<Option<Vec<PublishedEndpoint>>>,
    /// Closed to disconnect all front ends, and then replaced.
    disconnect: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Publisher {
    /// Starts a publisher. Port 0 selects a free port.
    pub fn start(
        environment: &TestEnvironment,
        address: SocketAddr,
        endpoints: Vec<PublishedEndpoint>,
    ) -> std::io::Result<Rc<Publisher>> {
        let listener = orchidtally_socket_io::listen(address)?;
        let publisher = Rc::new(Publisher {
            environment: environment.clone(),
            address: listener.get_ref().local_addr()?,
            endpoints: RefCell::new(endpoints),
            revision: Cell::new(1),
            watchers: RefCell::default(),
            max_delay: Cell::new(0.1),
            stale: TimedFault::default(),
            stale_endpoints: RefCell::default(),
            disconnect: RefCell::new(async_channel::bounded(1)),
        });
        let server = publisher.clone();
        let accept = async move {
            loop {
                let stream = orchidtally_socket_io::accept(&listener).await;
                server
                    .environment
                    .spawn(server.clone().connection(stream))
                    .detach();
            }
        };
        environment.spawn(accept).detach();
        Ok(publisher)
    }

    /// Changes an executor's state and start time, and sends the change to each front end after a random delay of up to
    /// `max_delay`.
    pub fn update_state(&self, executor: usize, state: EndpointState, since: f64) {
        if self.stale.is_active(self.environment.now()) && self.stale_endpoints.borrow().is_none() {
            *self.stale_endpoints.borrow_mut() = Some(self.endpoints.borrow().clone());
        }
        let endpoint = {
            let mut endpoints = self.endpoints.borrow_mut();
            let Some(endpoint) = endpoints
                .iter_mut()
                .find(|endpoint| endpoint.executor == executor)
            else {
                return;
            };
            endpoint.state = state;
            endpoint.started_at = endpoint.started_at.max(since);
            endpoint.clone()
        };
        self.revision.set(self.revision.get() + 1);
        let now = self.environment.now();
        self.watchers.borrow_mut().retain(|w| {
            let delay = self.max_delay.get() * self.environment.random_unit();
            w.try_send((now.max(self.stale.ends_at()) + delay, endpoint.clone()))
                .is_ok()
        });
    }

    /// Disconnects all front ends.
    pub fn disconnect_all(&self) {
        *self.disconnect.borrow_mut() = async_channel::bounded(1);
        self.watchers.borrow_mut().clear();
    }

    /// Delays all changes until this moment, in seconds of the environment's clock.
    pub fn delay_changes_until(&self, until: f64) {
        self.stale.activate_until(until);
    }

    fn to_wire(&self, endpoint: &PublishedEndpoint) -> v1::RosterRow {
        let state = match endpoint.state {
            EndpointState::Ready => v1::Standing::Ready,
            EndpointState::Draining => v1::Standing::Draining,
            EndpointState::Gone => v1::Standing::Gone,
        };
        v1::RosterRow {
            address: endpoint.address.to_string(),
            location: endpoint.location.clone(),
            kind: endpoint.kind.clone(),
            cell: endpoint.cell,
            standing: state.into(),
            weight: endpoint.weight,
            since: self.environment.unix_time(endpoint.started_at),
        }
    }

    fn record_notification(&self, to: v1::Sender, endpoint: &PublishedEndpoint) {
        self.environment.record(TrafficRecord::EndpointNotified {
            at: self.environment.now(),
            front_end: to.index,
            incarnation: to.incarnation,
            executor: endpoint.executor,
            state: endpoint.state,
            started_at: endpoint.started_at,
        });
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_socket_io::Stream) {
        let disconnect = self.disconnect.borrow().1.clone();
        let serve = async {
            let Ok(mut connection) = h2::server::handshake(stream).await else {
                return;
            };
            let streams = async_executor::LocalExecutor::new();
            let accept = async {
                while let Some(Ok((request, respond))) = connection.accept().await {
                    streams.spawn(self.clone().watch(request, respond)).detach();
                }
            };
            streams.run(accept).await;
        };
        let disconnect = async {
            // The channel closes when all front ends are disconnected.
            let _ = disconnect.recv().await;
        };
        future::or(serve, disconnect).await;
    }

    async fn watch(
        self: Rc<Self>,
        request: http::Request<h2::RecvStream>,
        mut respond: h2::server::SendResponse<Bytes>,
    ) {
        if request.uri().path() != ENDPOINT_LIST_PATH {
            return;
        }
        let mut body = request.into_body();
        let mut deframer = Deframer::default();
        let watch = loop {
            match deframer.next_message::<v1::RosterWatch>(MAX_MESSAGE_LENGTH) {
                Ok(Some(watch)) => break watch,
                Ok(None) => match body.data().await {
                    Some(Ok(chunk)) => deframer.push(chunk),
                    _ => return,
                },
                Err(_) => return,
            }
        };
        let to = watch.from.unwrap_or_default();
        let (sender, changes) = async_channel::bounded(MAX_QUEUED_CHANGES);
        self.watchers.borrow_mut().push(sender);
        let stale = self.stale.is_active(self.environment.now());
        let endpoints = match self.stale_endpoints.borrow().as_ref().filter(|_| stale) {
            Some(stale_endpoints) => stale_endpoints.clone(),
            None => self.endpoints.borrow().clone(),
        };
        let Ok(mut out) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        let update = |kind: v1::RosterKind, rows: Vec<v1::RosterRow>| {
            frame(&v1::RosterUpdate {
                kind: kind.into(),
                revision: self.revision.get(),
                rows,
            })
        };
        endpoints
            .iter()
            .for_each(|endpoint| self.record_notification(to, endpoint));
        // A full list omits executors that are gone.
        let listed = endpoints
            .iter()
            .filter(|endpoint| endpoint.state != EndpointState::Gone)
            .map(|endpoint| self.to_wire(endpoint))
            .collect();
        if out
            .send_data(update(v1::RosterKind::FullList, listed), false)
            .is_err()
        {
            return;
        }
        while let Ok((at, endpoint)) = changes.recv().await {
            self.environment.sleep(at - self.environment.now()).await;
            self.record_notification(to, &endpoint);
            if out
                .send_data(
                    update(v1::RosterKind::Delta, vec![self.to_wire(&endpoint)]),
                    false,
                )
                .is_err()
            {
                return;
            }
        }
    }
}
