//! The host of the core: performs its actions, feeds it answers and time.

use super::backoff::Backoff;
use super::clock::boot_time;
use super::lease::Lease;
use super::settings::HostSettings;
use super::snapshot_writes::SnapshotWrites;
use super::status::ConfigStatus;
use super::{ConfigTarget, SnapshotFile};
use async_executor::{LocalExecutor, Task};
use orchidtally_config_sync::{
    Action, ConfigSync, Rejection, Report, Schema, SettingsError, SyncSettings, Verdict, View,
};
use orchidtally_etcd::{Client, ClientError};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// Views that come sooner one after the other are put in force together, in seconds. What a newer view takes away
/// counts at once: the core is asked for it.
const APPLY_INTERVAL: f64 = 0.05;
/// A view that the target didn't take is offered again after this time, in seconds.
const APPLY_RETRY: f64 = 1.0;
/// The host looks at its timers at least this often, in seconds.
const LONGEST_WAIT: f64 = 60.0;

/// A view that the target hasn't got yet, or didn't take.
struct PendingView<E> {
    view: Arc<View<E>>,
    retry_at: f64,
}

/// One front end's side of configuration distribution, on sockets. It lives on one thread.
pub struct ConfigHost<S: Schema, T> {
    pub(super) core: RefCell<ConfigSync<S>>,
    pub(super) settings: HostSettings,
    pub(super) client: Client,
    target: T,
    tasks: Weak<LocalExecutor<'static>>,
    /// Counts connections; what was begun over an earlier one is not heard any more.
    session: Cell<u64>,
    is_connected: Cell<bool>,
    connect_at: Cell<f64>,
    /// No member has answered since the connection to one failed.
    is_away: Cell<bool>,
    backoff: Backoff,
    watch: RefCell<Option<Watching>>,
    pub(super) lease: Cell<Option<Lease>>,
    pending_view: RefCell<Option<PendingView<S::Entry>>>,
    applied_at: Cell<f64>,
    apply_fault: RefCell<Option<String>>,
    pub(super) snapshots: RefCell<SnapshotWrites>,
    pub(super) snapshot_fault: RefCell<Option<String>>,
    logged_rejections: RefCell<Vec<Rejection>>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// The open watch; dropping it ends it.
struct Watching {
    _task: Option<Task<()>>,
    asks: async_channel::Sender<()>,
}

impl<S: Schema + 'static, T: ConfigTarget<S::Entry> + 'static> ConfigHost<S, T>
where
    S::Entry: 'static,
{
    /// A host that isn't running yet. `seed` draws the core's delays; it should differ between front ends.
    ///
    /// # Errors
    /// The core's settings are out of their ranges.
    pub fn new(
        sync: SyncSettings,
        schema: S,
        seed: u64,
        settings: HostSettings,
        client: Client,
        tasks: &Rc<LocalExecutor<'static>>,
        target: T,
    ) -> Result<Rc<ConfigHost<S, T>>, SettingsError> {
        let core = ConfigSync::new(sync, schema, seed, boot_time())?;
        Ok(Rc::new(ConfigHost {
            core: RefCell::new(core),
            settings,
            client,
            target,
            tasks: Rc::downgrade(tasks),
            session: Cell::new(0),
            is_connected: Cell::new(false),
            connect_at: Cell::new(f64::NEG_INFINITY),
            is_away: Cell::new(false),
            backoff: Backoff::default(),
            watch: RefCell::default(),
            lease: Cell::new(None),
            pending_view: RefCell::new(None),
            applied_at: Cell::new(f64::NEG_INFINITY),
            apply_fault: RefCell::default(),
            snapshots: RefCell::default(),
            snapshot_fault: RefCell::default(),
            logged_rejections: RefCell::default(),
            wake: async_channel::bounded(1),
        }))
    }

    /// Starts from the snapshot on disk, if there is one; to be called before [`ConfigHost::run`].
    pub fn restore(self: &Rc<Self>) {
        let Some(file) = &self.settings.snapshot else {
            return;
        };
        let (found, errors) = file.read();
        for error in errors {
            error!(%error, "a snapshot of the configuration can't be read; make it readable for this user");
        }
        let newest_first: Vec<&[u8]> = found.iter().map(Vec::as_slice).collect();
        self.restore_from(&newest_first);
    }

    /// Starts from the first of some snapshots that can be used; to be called before [`ConfigHost::run`].
    pub fn restore_from(self: &Rc<Self>, newest_first: &[&[u8]]) {
        let restored = self.core.borrow_mut().restore(self.now(), newest_first);
        for error in &restored.passed_over {
            let path = self.settings.snapshot.as_ref().map(SnapshotFile::path);
            error!(?path, %error, "a snapshot of the configuration was passed over");
        }
        if let Some(revision) = restored.revision {
            info!(revision, "the configuration begins from its snapshot");
        }
        self.perform();
    }

    /// Follows the store for as long as the task lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            if !self.is_connected.get() && self.now() >= self.connect_at.get() {
                self.connect();
            }
            self.perform();
            self.offer_pending_view();
            self.write_next_snapshot();
            let wait = (self.next_timer() - self.now()).clamp(0.0, LONGEST_WAIT);
            // What wakes it holds the other end: the host itself.
            let woken = async {
                let _ = self.wake.1.recv().await;
            };
            orchidtally_socket_io::with_timeout(Duration::from_secs_f64(wait), woken).await;
        }
    }

    /// Gives its connection up for good, as a process that dies. The store ends its lease when its time is over.
    pub fn stop(&self) {
        self.is_connected.set(false);
        self.connect_at.set(f64::INFINITY);
        drop(self.watch.take());
        self.core.borrow_mut().disconnected(self.now());
    }

    fn next_timer(&self) -> f64 {
        let connect = if self.is_connected.get() {
            f64::INFINITY
        } else {
            self.connect_at.get()
        };
        let retry = self
            .pending_view
            .borrow()
            .as_ref()
            .map_or(f64::INFINITY, |pending| pending.retry_at);
        self.core
            .borrow()
            .next_timer()
            .min(connect)
            .min(retry)
            .min(self.snapshot_timer())
    }

    fn connect(self: &Rc<Self>) {
        self.is_connected.set(true);
        self.session.set(self.session.get() + 1);
        drop(self.watch.take());
        self.core.borrow_mut().connected(self.now());
        let (host, session) = (self.clone(), self.session.get());
        self.spawn(async move { host.keep_lease(session).await });
    }

    /// Performs all that the core wants done now.
    fn perform(self: &Rc<Self>) {
        loop {
            let action = self.core.borrow_mut().poll(self.now());
            let Some(action) = action else { break };
            self.perform_one(action);
        }
    }

    fn perform_one(self: &Rc<Self>, action: Action<S::Entry>) {
        let (host, session) = (self.clone(), self.session.get());
        match action {
            Action::Watch { from_revision } => self.watch(from_revision),
            Action::CancelWatch => {
                // The next one goes to another member: this one may lag behind.
                drop(self.watch.take());
                self.client.fail_over();
            }
            Action::RequestProgress => {
                if let Some(watching) = &*self.watch.borrow() {
                    // One that waits will ask as well.
                    let _ = watching.asks.try_send(());
                }
            }
            Action::Read(request) => self.spawn(async move { host.read(session, request).await }),
            Action::Barrier { id } => self.spawn(async move { host.barrier(session, id).await }),
            Action::WriteSnapshot { bytes, .. } => self.write_snapshot(bytes),
            Action::Report(report) => self.report(report),
            Action::Apply(view) => self.schedule(view),
        }
    }

    fn watch(self: &Rc<Self>, from_revision: i64) {
        let (asks, asked) = async_channel::bounded(1);
        let (host, session) = (self.clone(), self.session.get());
        let task = self.tasks.upgrade().map(|tasks| {
            tasks.spawn(async move { host.follow_watch(session, from_revision, asked).await })
        });
        self.watch.replace(Some(Watching { _task: task, asks }));
    }

    fn report(self: &Rc<Self>, report: Report) {
        self.log_rejections(&report);
        if let Some(pending) = self.pending_view.take() {
            self.apply(pending.view);
        }
        if self.pending_view.borrow().is_some() {
            // The report would name a revision that isn't in force here.
            self.core
                .borrow_mut()
                .report_failed(self.now(), report.sequence);
            return;
        }
        let (host, session) = (self.clone(), self.session.get());
        self.spawn(async move { host.put_report(session, report).await });
    }

    /// Puts a view in force, at once or together with those that follow it closely.
    fn schedule(&self, view: Arc<View<S::Entry>>) {
        let due = self.applied_at.get() + APPLY_INTERVAL;
        if self.now() >= due {
            self.apply(view);
        } else {
            self.pending_view.replace(Some(PendingView {
                view,
                retry_at: due,
            }));
        }
    }

    fn apply(&self, view: Arc<View<S::Entry>>) {
        self.applied_at.set(self.now());
        match self.target.apply(&view) {
            Ok(()) => {
                debug!(
                    revision = view.revision(),
                    "a revision of the configuration is in force"
                );
                self.pending_view.replace(None);
                self.apply_fault.replace(None);
            }
            Err(fault) => {
                let fault = fault.to_string();
                if self.apply_fault.borrow().as_ref() != Some(&fault) {
                    error!(
                        revision = view.revision(),
                        fault, "a revision can't be put in force; it is tried again"
                    );
                }
                self.apply_fault.replace(Some(fault));
                let retry_at = self.now() + APPLY_RETRY;
                self.pending_view
                    .replace(Some(PendingView { view, retry_at }));
            }
        }
    }

    fn offer_pending_view(&self) {
        let is_due = |pending: &mut PendingView<S::Entry>| self.now() >= pending.retry_at;
        let due = self.pending_view.borrow_mut().take_if(is_due);
        if let Some(pending) = due {
            self.apply(pending.view);
        }
    }

    pub(super) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(tasks) = self.tasks.upgrade() {
            tasks.spawn(work).detach();
        }
    }
}

impl<S: Schema, T: ConfigTarget<S::Entry>> ConfigHost<S, T> {
    pub(super) fn now(&self) -> f64 {
        boot_time()
    }

    /// Feeds the core and has its actions performed.
    pub(super) fn feed(&self, input: impl FnOnce(&mut ConfigSync<S>, f64)) {
        input(&mut self.core.borrow_mut(), self.now());
        // A full channel has woken the host already.
        let _ = self.wake.0.try_send(());
    }

    /// Whether a connection is still the one that is used.
    pub(super) fn is_in_session(&self, session: u64) -> bool {
        self.is_connected.get() && self.session.get() == session
    }

    /// The store has answered a question that needs its majority.
    pub(super) fn store_answered(&self) {
        self.backoff.reset();
        if self.is_away.replace(false) {
            info!(endpoint = ?self.client.endpoint(), "the store of the configuration answers again");
        }
    }

    /// The connection is of no use any more: the next member is asked after a pause.
    pub(super) fn session_failed(&self, session: u64, fault: &ClientError) {
        if !self.is_in_session(session) {
            return;
        }
        let endpoint = self.client.endpoint();
        if !self.is_away.replace(true) {
            warn!(?endpoint, %fault, "the store of the configuration is not to be reached; the next member is asked");
        } else {
            debug!(?endpoint, %fault, "the store of the configuration is still not to be reached");
        }
        self.is_connected.set(false);
        self.client.fail_over();
        self.connect_at
            .set(self.now() + self.backoff.pause(rand::random()));
        self.feed(|core, now| core.disconnected(now));
    }

    /// Logs rejections that weren't logged before.
    fn log_rejections(&self, report: &Report) {
        let mut logged = self.logged_rejections.borrow_mut();
        for rejection in report
            .rejected
            .iter()
            .filter(|rejection| !logged.contains(rejection))
        {
            let Rejection {
                key,
                revision,
                reason,
                remedy,
            } = rejection;
            warn!(
                key,
                revision,
                reason,
                remedy,
                "a change of the configuration was rejected; the last good one holds"
            );
        }
        logged.clone_from(&report.rejected);
    }

    /// Whether an invocation that comes now may use an entry.
    pub fn admits(&self, key: &str) -> Verdict {
        self.core.borrow().admits(self.now(), key)
    }

    /// Whether an invocation that was admitted under a view may still use an entry.
    pub fn still_admits(&self, admitted: &View<S::Entry>, key: &str) -> Verdict {
        self.core.borrow().still_admitted(self.now(), admitted, key)
    }

    /// Whether a view is in force.
    pub fn is_loaded(&self) -> bool {
        self.core.borrow().is_loaded()
    }

    /// Every transaction up to this revision is applied or rejected.
    pub fn applied_revision(&self) -> i64 {
        self.core.borrow().applied_revision()
    }

    /// What views are put in force at.
    pub fn target(&self) -> &T {
        &self.target
    }

    /// The client of the store; it counts bytes.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Where the snapshot stands.
    pub fn snapshot(&self) -> Option<&SnapshotFile> {
        self.settings.snapshot.as_ref()
    }

    /// How it stands.
    pub fn status(&self) -> ConfigStatus {
        let core = self.core.borrow();
        let age = self.now() - core.fresh_as_of();
        ConfigStatus {
            state: core.state(),
            connected: self.is_connected.get(),
            loaded: core.is_loaded(),
            generation: core.view().generation(),
            applied_revision: core.applied_revision(),
            entries: core.view().len(),
            age: age.is_finite().then_some(age),
            rejected: core.rejections(),
            snapshot_fault: self.snapshot_fault.borrow().clone(),
            apply_fault: self.apply_fault.borrow().clone(),
            bytes_sent: self.client.traffic().sent(),
            bytes_received: self.client.traffic().received(),
        }
    }
}
