//! Test servers for the gateway: executors that load functions from a shared store, the publisher of the endpoint
//! list, etcd, brokers, and clients. All of them run on one thread, share one clock and append to one list of records.

pub mod baseline;
pub mod broker;
pub mod client;
pub mod etcd;
mod exchange_error;
pub mod executor;
pub mod fault_proxy;
pub mod misbehaving_front_end;
pub mod platform;
pub mod publisher;
pub mod raw;
pub mod store;

pub use exchange_error::ExchangeError;

use async_executor::LocalExecutor;
use async_io::Timer;
use orchidtally_invariants::TrafficRecord;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What all test servers of a rehearsal share: the thread's tasks, the clock, random numbers and the records.
#[derive(Clone)]
pub struct TestEnvironment {
    /// The tasks of the thread.
    pub tasks: Rc<LocalExecutor<'static>>,
    started: Instant,
    started_unix_time: f64,
    records: Rc<RefCell<Vec<TrafficRecord>>>,
    random: Rc<RefCell<SmallRng>>,
}

impl TestEnvironment {
    /// An environment whose clock starts now and whose random numbers follow the seed.
    pub fn new(seed: u64) -> TestEnvironment {
        TestEnvironment {
            tasks: Rc::new(LocalExecutor::new()),
            started: Instant::now(),
            started_unix_time: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |d| d.as_secs_f64()),
            records: Rc::default(),
            random: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
        }
    }

    /// Seconds since the environment was created.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// A moment of the environment's clock in seconds since 1970, as endpoint lists have it.
    pub fn unix_time(&self, at: f64) -> f64 {
        if at.is_finite() {
            self.started_unix_time + at
        } else {
            0.0
        }
    }

    /// Appends a record of the traffic.
    pub fn record(&self, record: TrafficRecord) {
        self.records.borrow_mut().push(record);
    }

    /// All records so far, in the order in which they were appended.
    pub fn records(&self) -> Vec<TrafficRecord> {
        self.records.borrow().clone()
    }

    /// A number from 0 up to, but not including, 1.
    pub fn random_unit(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Runs a task on the thread. Dropping the returned handle cancels it.
    pub fn spawn<T: 'static>(
        &self,
        work: impl Future<Output = T> + 'static,
    ) -> async_executor::Task<T> {
        self.tasks.spawn(work)
    }

    /// Waits for some seconds, at most a day; not at all where the time is not positive.
    pub async fn sleep(&self, time: f64) {
        if time > 0.0 {
            Timer::after(Duration::from_secs_f64(time.min(86_400.0))).await;
        }
    }
}

/// Any free port of a loopback address that this process alone uses. On the address that all share, a port
/// given up in a crash may be another rehearsal's, or the near end of anybody's connection, by the time of
/// the restart.
pub fn unused_address() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let own = SocketAddr::from((Ipv4Addr::new(127, 1 | a, b, c), 0));
    // Some systems have the one loopback address only.
    if TcpListener::bind(own).is_ok() {
        own
    } else {
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
    }
}

/// A port of that address for another process to listen at later: outside of the range from which systems give free
/// ports, so that nothing that is started meanwhile gets it.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let mut at = unused_address();
    loop {
        at.set_port(NEXT.fetch_add(1, Ordering::Relaxed));
        match TcpListener::bind(at) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && at.port() < 32_000 => {}
            bound => return bound.map(|_| at),
        }
    }
}

/// A switch that is on until a moment.
#[derive(Default)]
pub struct TimedFault(Cell<f64>);

impl TimedFault {
    /// Switches on until this moment, in seconds of the environment's clock; an earlier one changes nothing.
    pub fn activate_until(&self, at: f64) {
        self.0.set(self.0.get().max(at));
    }

    /// Whether it is on at this moment.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.0.get()
    }

    /// The moment at which it switches off, in seconds of the environment's clock.
    pub fn ends_at(&self) -> f64 {
        self.0.get()
    }
}
