//! A hollow front end's configuration: the true core of configuration distribution over the true etcd client. One
//! connection carries its watch, its reads and its reports.

use super::config_io;
use super::control::Bytes;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use orchidtally_config_sync::schema::GatewayEntry;
use orchidtally_config_sync::{
    Action, ConfigSync, GatewaySchema, Header, ReadKind, ReadRequest, Report, RequestId, SettingsError,
    SyncSettings, Verdict, View, WatchBatch,
};
use orchidtally_etcd::rpc::watch_request::RequestUnion;
use orchidtally_etcd::rpc::{WatchProgressRequest, WatchRequest, WatchResponse};
use orchidtally_etcd::{Client, Fault, Told, WATCH, Watch};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a watch's stream is begun within.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// The greatest drawn pause before the store is asked again after a failure, in seconds.
const RECONNECT_PAUSE: f64 = 2.0;
/// Messages that wait for the core at most; a sender waits when it is full.
const INBOX: usize = 64;
/// The longest that the core is left alone, in seconds.
const LONGEST_WAIT: f64 = 1.0;

/// What comes to the core, from the stream of the watch of this number where it is one's.
enum Input {
    Batch(u64, WatchBatch),
    Progress(u64, Header),
    Compacted(u64, i64),
    Cancelled(u64),
    Broken(u64),
    Failed(RequestId, Fault),
    Range(orchidtally_config_sync::RangeAnswer),
    Barrier(orchidtally_config_sync::BarrierAnswer),
    Reported(u64),
    NotReported(u64),
}

/// The stream of one watch.
struct OpenWatch {
    _task: Task<()>,
    progress: async_channel::Sender<()>,
}

/// What a front end was asked to do wrong on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Misbehaviour {
    #[default]
    None,
    /// It loses the events of the next batch that its watch tells.
    LosesNextBatch,
    /// It goes on to report, but its calls see the view that was in force.
    KeepsOldView,
}

/// Reads that the core asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
    pub scans: u64,
    pub buckets: u64,
    pub others: u64,
}

/// Called with each view that comes into force.
pub type OnApply = Rc<dyn Fn(usize, &Arc<View<GatewayEntry>>)>;

/// One front end's core with its host.
pub struct ConfigHost {
    number: usize,
    started: Instant,
    core: RefCell<ConfigSync<GatewaySchema>>,
    client: Client,
    tasks: Rc<LocalExecutor<'static>>,
    inbox: (async_channel::Sender<Input>, async_channel::Receiver<Input>),
    watch: RefCell<Option<OpenWatch>>,
    watches: Cell<u64>,
    is_connected: Cell<bool>,
    /// The newest snapshot; kept only where it was asked for.
    snapshot: RefCell<Option<Vec<u8>>>,
    keeps_snapshot: bool,
    view: RefCell<Arc<View<GatewayEntry>>>,
    on_apply: OnApply,
    pub misbehaviour: Cell<Misbehaviour>,
    /// It takes up no connection to the store while this is set.
    pub is_paused: Cell<bool>,
    pub reads: Cell<Reads>,
    /// The lease of its report; 0 for none.
    pub lease: Cell<i64>,
}

/// What a host is made of.
pub struct HostOptions<'a> {
    pub number: usize,
    pub endpoints: &'a [SocketAddr],
    pub settings: SyncSettings,
    /// A snapshot to start from.
    pub snapshot: Option<&'a [u8]>,
    pub keeps_snapshot: bool,
    pub seed: u64,
    pub on_apply: OnApply,
}

impl ConfigHost {
    pub fn new(
        options: HostOptions<'_>,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<Rc<ConfigHost>, SettingsError> {
        let mut core = ConfigSync::new(options.settings, GatewaySchema, options.seed, 0.0)?;
        if let Some(snapshot) = options.snapshot {
            core.restore(0.0, &[snapshot]);
        }
        let view = core.view();
        Ok(Rc::new(ConfigHost {
            number: options.number,
            started: Instant::now(),
            core: RefCell::new(core),
            client: Client::new(options.endpoints.to_vec(), tasks.clone()),
            tasks: tasks.clone(),
            inbox: async_channel::bounded(INBOX),
            watch: RefCell::new(None),
            watches: Cell::new(0),
            is_connected: Cell::new(false),
            snapshot: RefCell::new(None),
            keeps_snapshot: options.keeps_snapshot,
            view: RefCell::new(view),
            on_apply: options.on_apply,
            misbehaviour: Cell::default(),
            is_paused: Cell::new(false),
            reads: Cell::default(),
            lease: Cell::new(0),
        }))
    }

    pub fn number(&self) -> usize {
        self.number
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// The view that calls see.
    pub fn view(&self) -> Arc<View<GatewayEntry>> {
        self.view.borrow().clone()
    }

    /// The revision that it reports as applied.
    pub fn claimed_revision(&self) -> i64 {
        self.core.borrow().applied_revision()
    }

    /// Whether a call that came now would be admitted under the entry.
    pub fn admits(&self, key: &str) -> bool {
        self.core.borrow().admits(self.now(), key) == Verdict::Serve
    }

    /// Whether it follows the store.
    pub fn follows(&self) -> bool {
        self.core.borrow().state() == orchidtally_config_sync::ReportedState::Following
    }

    pub fn take_snapshot(&self) -> Option<Vec<u8>> {
        self.snapshot.borrow_mut().take()
    }

    /// Bytes over its connections to the store so far.
    pub fn bytes(&self) -> Bytes {
        let traffic = self.client.traffic();
        Bytes { sent: traffic.sent(), received: traffic.received() }
    }

    /// Runs the front end's configuration for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            if self.is_paused.get() {
                self.disconnect();
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
            if !self.is_connected.replace(true) {
                self.core.borrow_mut().connected(self.now());
            }
            let is_broken = self.perform_due();
            let wait = (self.core.borrow().next_timer() - self.now()).clamp(0.0, LONGEST_WAIT);
            let timer = async {
                Timer::after(Duration::from_secs_f64(wait)).await;
                None
            };
            let input = async { self.inbox.1.recv().await.ok() };
            let is_broken = is_broken || future::or(input, timer).await.is_some_and(|input| self.feed(input));
            if is_broken {
                self.disconnect();
                self.client.fail_over();
                let pause = RECONNECT_PAUSE * rand::random::<f64>();
                Timer::after(Duration::from_secs_f64(pause)).await;
            }
        }
    }

    /// Ends its streams; to be called when [`ConfigHost::run`] was dropped.
    pub fn stop(&self) {
        self.disconnect();
    }

    fn disconnect(&self) {
        *self.watch.borrow_mut() = None;
        if self.is_connected.replace(false) {
            self.core.borrow_mut().disconnected(self.now());
        }
    }

    /// Performs what the core wants now. Tells whether the connection has to be given up.
    fn perform_due(self: &Rc<Self>) -> bool {
        loop {
            let action = self.core.borrow_mut().poll(self.now());
            match action {
                None => return false,
                Some(Action::CancelWatch) => return true,
                Some(action) => self.perform(action),
            }
        }
    }

    fn perform(self: &Rc<Self>, action: Action<GatewayEntry>) {
        match action {
            Action::Watch { from_revision } => self.open_watch(from_revision),
            Action::CancelWatch => *self.watch.borrow_mut() = None,
            Action::RequestProgress => {
                if let Some(watch) = self.watch.borrow().as_ref() {
                    // One that is under way already asks for the same.
                    let _ = watch.progress.try_send(());
                }
            }
            Action::Read(request) => self.read(request),
            Action::Barrier { id } => self.ask_barrier(id),
            Action::WriteSnapshot { bytes, .. } => {
                if self.keeps_snapshot {
                    *self.snapshot.borrow_mut() = Some(bytes);
                }
            }
            Action::Report(report) => self.put_report(report),
            Action::Apply(view) => self.apply(view),
        }
    }

    fn apply(&self, view: Arc<View<GatewayEntry>>) {
        if self.misbehaviour.get() != Misbehaviour::KeepsOldView {
            (self.on_apply)(self.number, &view);
            *self.view.borrow_mut() = view;
        }
    }

    fn open_watch(self: &Rc<Self>, from_revision: i64) {
        let number = self.watches.get() + 1;
        self.watches.set(number);
        let (progress, asked) = async_channel::bounded(1);
        let me = self.clone();
        let stream = async move {
            let input = match me.follow(number, from_revision, &asked).await {
                Ok(last) => last,
                Err(_) => Input::Broken(number),
            };
            me.send(input).await;
        };
        let _task = self.tasks.spawn(stream);
        *self.watch.borrow_mut() = Some(OpenWatch { _task, progress });
    }

    /// Feeds what a watch tells; its last message ends it.
    async fn follow(
        &self,
        number: u64,
        from_revision: i64,
        asked: &async_channel::Receiver<()>,
    ) -> Result<Input, Fault> {
        let range = self.core.borrow().keyspace().entries();
        let mut watch = Watch::new(range.start, from_revision);
        let mut stream = self.client.both::<WatchResponse>(WATCH, &watch.request(), STREAM_TIMEOUT).await?;
        let progress =
            WatchRequest { request_union: Some(RequestUnion::ProgressRequest(WatchProgressRequest {})) };
        loop {
            let asks = async {
                // The sender lives as long as this stream.
                let _ = asked.recv().await;
                None
            };
            let Some(response) = future::or(async { Some(stream.next().await) }, asks).await else {
                stream.send(&progress)?;
                continue;
            };
            for told in watch.received(response?) {
                match told {
                    Told::Created => {}
                    Told::Events { header, events } => {
                        let batch = WatchBatch {
                            header: config_io::header(&header),
                            changes: config_io::changes(events),
                            complete: true,
                        };
                        self.send(Input::Batch(number, batch)).await;
                    }
                    Told::Progress { header } => {
                        self.send(Input::Progress(number, config_io::header(&header))).await;
                    }
                    Told::Compacted { revision } => return Ok(Input::Compacted(number, revision)),
                    Told::Cancelled { .. } => return Ok(Input::Cancelled(number)),
                }
            }
        }
    }

    async fn send(&self, input: Input) {
        // The receiver lives as long as this front end.
        let _ = self.inbox.0.send(input).await;
    }

    fn read(self: &Rc<Self>, request: ReadRequest) {
        let mut reads = self.reads.get();
        match request.kind {
            ReadKind::Scan => reads.scans += 1,
            ReadKind::Bucket(_) => reads.buckets += 1,
            ReadKind::Digests | ReadKind::Changed => reads.others += 1,
        }
        self.reads.set(reads);
        let me = self.clone();
        let exchange = async move {
            let input = match config_io::read(&me.client, &request).await {
                Ok(answer) => Input::Range(answer),
                Err(fault) => Input::Failed(request.id, fault),
            };
            me.send(input).await;
        };
        self.tasks.spawn(exchange).detach();
    }

    fn ask_barrier(self: &Rc<Self>, id: RequestId) {
        let me = self.clone();
        let exchange = async move {
            let key = me.core.borrow().keyspace().generation();
            let input = match config_io::barrier(&me.client, id, key).await {
                Ok(answer) => Input::Barrier(answer),
                Err(fault) => Input::Failed(id, fault),
            };
            me.send(input).await;
        };
        self.tasks.spawn(exchange).detach();
    }

    fn put_report(self: &Rc<Self>, report: Report) {
        let me = self.clone();
        let exchange = async move {
            let key = me.core.borrow().keyspace().report(&me.number.to_string());
            let input = match config_io::put(&me.client, key, report.to_json(), me.lease.get()).await {
                Ok(()) => Input::Reported(report.sequence),
                Err(_) => Input::NotReported(report.sequence),
            };
            me.send(input).await;
        };
        self.tasks.spawn(exchange).detach();
    }

    fn is_current(&self, watch: u64) -> bool {
        self.watch.borrow().is_some() && self.watches.get() == watch
    }

    /// Feeds the core. Tells whether the connection has to be given up.
    fn feed(&self, input: Input) -> bool {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        match input {
            Input::Batch(watch, batch) if self.is_current(watch) => {
                if self.misbehaviour.get() == Misbehaviour::LosesNextBatch {
                    self.misbehaviour.set(Misbehaviour::None);
                    core.watch_progress(now, batch.header);
                } else {
                    core.watch_batch(now, batch);
                }
            }
            Input::Progress(watch, header) if self.is_current(watch) => core.watch_progress(now, header),
            Input::Compacted(watch, revision) if self.is_current(watch) => {
                core.watch_compacted(now, revision);
            }
            Input::Cancelled(watch) if self.is_current(watch) => core.watch_cancelled(now),
            Input::Broken(watch) => return self.is_current(watch),
            Input::Batch(..) | Input::Progress(..) | Input::Compacted(..) | Input::Cancelled(_) => {}
            Input::Range(answer) => core.range_answer(now, answer),
            Input::Barrier(answer) => core.barrier_answer(now, answer),
            Input::Failed(id, fault) => {
                let failure = config_io::failure(&fault);
                core.request_failed(now, id, failure);
                return failure == orchidtally_config_sync::RequestFailure::Unavailable;
            }
            Input::Reported(sequence) => core.reported(now, sequence),
            Input::NotReported(sequence) => core.report_failed(now, sequence),
        }
        false
    }
}
