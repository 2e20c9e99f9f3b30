//! The publisher of the roster: full lists and deltas, as late as the script wants them, and a record of what
//! it told whom.

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
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its location.
    pub location: String,
    /// The kind of machine.
    pub kind: String,
    /// The cell within which executors share the tokens they have seen.
    pub cell: u32,
    /// Its weight for the front ends' choice.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
    /// On the stage's clock.
    pub started_at: f64,
}

/// Changes that wait for one front end at the most; past that it is cut off and asks again.
const MOST_WAITING: usize = 1_024;

/// The publisher of the list, on a socket.
pub struct Publisher {
    stage: TestEnvironment,
    /// Where it listens.
    pub address: SocketAddr,
    rows: RefCell<Vec<PublishedEndpoint>>,
    revision: Cell<u64>,
    watchers: RefCell<Vec<Sender<(f64, PublishedEndpoint)>>>,
    /// How late changes are told, at the most.
    pub delay: Cell<f64>,
    /// Changes are kept back until then, and new watchers get what stood before.
    pub stale: TimedFault,
    /// Where it is stale: the list as it stood.
    held_back: RefCell<Option<Vec<PublishedEndpoint>>>,
    cut: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Publisher {
    /// Starts one; port 0 takes any free one.
    pub fn start(
        stage: &TestEnvironment,
        at: SocketAddr,
        rows: Vec<PublishedEndpoint>,
    ) -> std::io::Result<Rc<Publisher>> {
        let listener = orchidtally_socket_io::listen(at)?;
        let publisher = Rc::new(Publisher {
            stage: stage.clone(),
            address: listener.get_ref().local_addr()?,
            rows: RefCell::new(rows),
            revision: Cell::new(1),
            watchers: RefCell::default(),
            delay: Cell::new(0.1),
            stale: TimedFault::default(),
            held_back: RefCell::default(),
            cut: RefCell::new(async_channel::bounded(1)),
        });
        let me = publisher.clone();
        let accept = async move {
            loop {
                let stream = orchidtally_socket_io::accept(&listener).await;
                me.stage.spawn(me.clone().connection(stream)).detach();
            }
        };
        stage.spawn(accept).detach();
        Ok(publisher)
    }

    /// Enters a change and tells it, later by chance within the delay.
    pub fn change(&self, executor: usize, state: EndpointState, since: f64) {
        if self.stale.is_active(self.stage.now()) && self.held_back.borrow().is_none() {
            *self.held_back.borrow_mut() = Some(self.rows.borrow().clone());
        }
        let row = {
            let mut rows = self.rows.borrow_mut();
            let Some(row) = rows.iter_mut().find(|r| r.executor == executor) else {
                return;
            };
            row.state = state;
            row.started_at = row.started_at.max(since);
            row.clone()
        };
        self.revision.set(self.revision.get() + 1);
        let now = self.stage.now();
        self.watchers.borrow_mut().retain(|w| {
            let late = self.delay.get() * self.stage.unit();
            w.try_send((now.max(self.stale.ends_at()) + late, row.clone()))
                .is_ok()
        });
    }

    /// Breaks all connections off.
    pub fn disconnect_all(&self) {
        *self.cut.borrow_mut() = async_channel::bounded(1);
        self.watchers.borrow_mut().clear();
    }

    /// Keeps all changes back until then.
    pub fn hold_back_until(&self, until: f64) {
        self.stale.set(until);
    }

    fn wire(&self, row: &PublishedEndpoint) -> v1::RosterRow {
        let state = match row.state {
            EndpointState::Ready => v1::Standing::Ready,
            EndpointState::Draining => v1::Standing::Draining,
            EndpointState::Gone => v1::Standing::Gone,
        };
        v1::RosterRow {
            address: row.address.to_string(),
            location: row.location.clone(),
            kind: row.kind.clone(),
            cell: row.cell,
            standing: state.into(),
            weight: row.weight,
            since: self.stage.wall(row.started_at),
        }
    }

    fn notified(&self, to: v1::Sender, row: &PublishedEndpoint) {
        self.stage.record(TrafficRecord::EndpointNotified {
            at: self.stage.now(),
            front_end: to.index,
            incarnation: to.incarnation,
            executor: row.executor,
            state: row.state,
            started_at: row.started_at,
        });
    }

    async fn connection(self: Rc<Self>, stream: orchidtally_socket_io::Stream) {
        let cut = self.cut.borrow().1.clone();
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
        let cut = async {
            // Closed when the connections are cut off.
            let _ = cut.recv().await;
        };
        future::or(serve, cut).await;
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
        let (tell, changes) = async_channel::bounded(MOST_WAITING);
        self.watchers.borrow_mut().push(tell);
        let stale = self.stale.is_active(self.stage.now());
        let rows = match self.held_back.borrow().as_ref().filter(|_| stale) {
            Some(held_back) => held_back.clone(),
            None => self.rows.borrow().clone(),
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
        rows.iter().for_each(|row| self.notified(to, row));
        // What is gone is left out of a full list.
        let listed = rows
            .iter()
            .filter(|r| r.state != EndpointState::Gone)
            .map(|r| self.wire(r))
            .collect();
        if out
            .send_data(update(v1::RosterKind::FullList, listed), false)
            .is_err()
        {
            return;
        }
        while let Ok((at, row)) = changes.recv().await {
            self.stage.sleep(at - self.stage.now()).await;
            self.notified(to, &row);
            if out
                .send_data(update(v1::RosterKind::Delta, vec![self.wire(&row)]), false)
                .is_err()
            {
                return;
            }
        }
    }
}
