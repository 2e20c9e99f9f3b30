//! Test servers for the gateway: executors that load functions from a shared store, the publisher of the endpoint
//! list, etcd, MQTT brokers, and clients. All of them run on one thread, share a clock and append to one list of
//! records.

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

/// The state that all test servers of a rehearsal share: tasks, clock, random numbers and records.
#[derive(Clone)]
pub struct TestEnvironment {
    /// The executor of the thread's tasks.
    pub tasks: Rc<LocalExecutor<'static>>,
    started: Instant,
    started_unix_time: f64,
    records: Rc<RefCell<Vec<TrafficRecord>>>,
    random: Rc<RefCell<SmallRng>>,
}

impl TestEnvironment {
    /// Creates an environment whose clock starts now and whose random numbers are seeded.
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

    /// Converts a time of the environment's clock to seconds since 1970, as endpoint lists state it. Returns 0 for an
    /// infinite time.
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

    /// A random number from 0 up to, but not including, 1.
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

    /// Waits for `time` seconds, at most a day. Returns at once if `time` is not positive.
    pub async fn sleep(&self, time: f64) {
        if time > 0.0 {
            Timer::after(Duration::from_secs_f64(time.min(86_400.0))).await;
        }
    }
}

/// Port 0 on a loopback address that only this process uses, to listen at any free port.
///
/// On 127.0.0.1, which all processes share, the port of a crashed server may be taken before the server restarts: by
/// another rehearsal's server, or as the local port of any connection.
pub fn unused_address() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let own = SocketAddr::from((Ipv4Addr::new(127, 1 | a, b, c), 0));
    // Some systems configure only 127.0.0.1 on the loopback interface.
    if TcpListener::bind(own).is_ok() {
        own
    } else {
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
    }
}

/// Reserves a port on the address of [`unused_address`] at which another process can listen later. It is outside of the
/// range of ephemeral ports, so that the system doesn't assign it to anything that starts meanwhile.
///
/// # Errors
///
/// Fails if a port can't be bound, or if none below 32000 is left.
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

/// A fault that is active until a set time.
#[derive(Default)]
pub struct TimedFault(Cell<f64>);

impl TimedFault {
    /// Activates the fault until `at`, in seconds of the environment's clock. Never shortens it.
    pub fn activate_until(&self, at: f64) {
        self.0.set(self.0.get().max(at));
    }

    /// Whether it is active at `now`.
    pub fn is_active(&self, now: f64) -> bool {
        now < self.0.get()
    }

    /// When it ends, in seconds of the environment's clock.
    pub fn ends_at(&self) -> f64 {
        self.0.get()
    }
}
