//! The host of the configuration state machine: performs its actions, and passes responses and the time to it.

use super::backoff::Backoff;
use super::clock::boot_time;
use super::lease::Lease;
use super::pending_view::PendingView;
use super::settings::HostSettings;
use super::snapshot_queue::SnapshotQueue;
use super::{ConfigTarget, SnapshotFile};
use async_executor::{LocalExecutor, Task};
use orchidtally_config_sync::{
    Action, ConfigSync, Rejection, Report, Schema, SettingsError, SyncSettings,
};
use orchidtally_etcd::Client;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tracing::{error, info};

/// The longest time between two checks of the timers, in seconds.
const MAX_WAIT: f64 = 60.0;

/// Configuration distribution at one front end, on sockets. It runs on one thread.
pub struct ConfigHost<S: Schema, T> {
    pub(super) core: RefCell<ConfigSync<S>>,
    pub(super) settings: HostSettings,
    pub(super) client: Client,
    pub(super) target: T,
    spawner: Weak<LocalExecutor<'static>>,
    /// The number of the current session; results of earlier sessions are ignored.
    pub(super) session: Cell<u64>,
    pub(super) is_connected: Cell<bool>,
    pub(super) reconnect_at: Cell<f64>,
    /// Set from the failure of a session until a member responds.
    pub(super) is_unreachable: Cell<bool>,
    pub(super) backoff: Backoff,
    watch: RefCell<Option<OpenWatch>>,
    pub(super) lease: Cell<Option<Lease>>,
    pub(super) pending_view: RefCell<Option<PendingView<S::Entry>>>,
    pub(super) applied_at: Cell<f64>,
    pub(super) apply_fault: RefCell<Option<String>>,
    pub(super) snapshots: RefCell<SnapshotQueue>,
    pub(super) snapshot_fault: RefCell<Option<String>>,
    pub(super) logged_rejections: RefCell<Vec<Rejection>>,
    pub(super) wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

/// The open watch. Dropping it ends the watch.
struct OpenWatch {
    _task: Option<Task<()>>,
    progress_requests: async_channel::Sender<()>,
}

impl<S: Schema + 'static, T: ConfigTarget<S::Entry> + 'static> ConfigHost<S, T>
where
    S::Entry: 'static,
{
    /// Creates a host, which [`ConfigHost::run`] starts. `seed` determines the random delays; it should differ between
    /// front ends.
    ///
    /// # Errors
    /// The settings are out of range.
    pub fn new(
        sync: SyncSettings,
        schema: S,
        seed: u64,
        settings: HostSettings,
        client: Client,
        spawner: &Rc<LocalExecutor<'static>>,
        target: T,
    ) -> Result<Rc<ConfigHost<S, T>>, SettingsError> {
        let core = ConfigSync::new(sync, schema, seed, boot_time())?;
        Ok(Rc::new(ConfigHost {
            core: RefCell::new(core),
            settings,
            client,
            target,
            spawner: Rc::downgrade(spawner),
            session: Cell::new(0),
            is_connected: Cell::new(false),
            reconnect_at: Cell::new(f64::NEG_INFINITY),
            is_unreachable: Cell::new(false),
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

    /// Restores the snapshot on disk, if there is one; to be called before [`ConfigHost::run`].
    pub fn restore(self: &Rc<Self>) {
        let Some(file) = &self.settings.snapshot else {
            return;
        };
        let (found, errors) = file.read();
        for error in errors {
            error!(%error, "configuration snapshot unreadable; make it readable for this user");
        }
        let newest_first: Vec<&[u8]> = found.iter().map(Vec::as_slice).collect();
        self.restore_from(&newest_first);
    }

    /// Restores the first usable one of the given snapshots; to be called before [`ConfigHost::run`].
    pub fn restore_from(self: &Rc<Self>, newest_first: &[&[u8]]) {
        let restored = self.core.borrow_mut().restore(self.now(), newest_first);
        for error in &restored.skipped {
            let path = self.settings.snapshot.as_ref().map(SnapshotFile::path);
            error!(?path, %error, "configuration snapshot ignored");
        }
        if let Some(revision) = restored.revision {
            info!(revision, "configuration restored from its snapshot");
        }
        self.perform_actions();
    }

    /// Follows the store. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            if !self.is_connected.get() && self.now() >= self.reconnect_at.get() {
                self.connect();
            }
            self.perform_actions();
            self.apply_pending_view();
            self.write_next_snapshot();
            let wait = (self.next_timer() - self.now()).clamp(0.0, MAX_WAIT);
            // The host itself owns the sender, so the channel stays open.
            let woken = async {
                let _ = self.wake.1.recv().await;
            };
            orchidtally_socket_io::with_timeout(Duration::from_secs_f64(wait), woken).await;
        }
    }

    /// Disconnects permanently without deregistration, as a crash does. The lease in the store expires.
    pub fn stop(&self) {
        self.is_connected.set(false);
        self.reconnect_at.set(f64::INFINITY);
        drop(self.watch.take());
        self.core.borrow_mut().on_disconnected(self.now());
    }

    fn next_timer(&self) -> f64 {
        let connect = if self.is_connected.get() {
            f64::INFINITY
        } else {
            self.reconnect_at.get()
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
        self.core.borrow_mut().on_connected(self.now());
        let (host, session) = (self.clone(), self.session.get());
        self.spawn(async move { host.renew_lease_until_disconnected(session).await });
    }

    /// Performs all pending actions of the state machine.
    fn perform_actions(self: &Rc<Self>) {
        loop {
            let action = self.core.borrow_mut().poll(self.now());
            let Some(action) = action else { break };
            self.perform_action(action);
        }
    }

    fn perform_action(self: &Rc<Self>, action: Action<S::Entry>) {
        let (host, session) = (self.clone(), self.session.get());
        match action {
            Action::Watch { from_revision } => self.watch(from_revision),
            Action::CancelWatch => {
                // The next watch uses another member: this one may lag behind.
                drop(self.watch.take());
                self.client.fail_over();
            }
            Action::RequestProgress => {
                if let Some(open_watch) = &*self.watch.borrow() {
                    // A request that is already queued has the same effect.
                    let _ = open_watch.progress_requests.try_send(());
                }
            }
            Action::Read(request) => self.spawn(async move { host.read(session, request).await }),
            Action::Barrier { id } => self.spawn(async move { host.barrier(session, id).await }),
            Action::WriteSnapshot { bytes, .. } => self.write_snapshot(bytes),
            Action::Report(report) => self.report(report),
            Action::Apply(view) => self.schedule_view(view),
        }
    }

    fn watch(self: &Rc<Self>, from_revision: i64) {
        let (progress_requests, progress_requested) = async_channel::bounded(1);
        let (host, session) = (self.clone(), self.session.get());
        let task = self.spawner.upgrade().map(|spawner| {
            spawner.spawn(async move {
                host.follow_watch(session, from_revision, progress_requested)
                    .await
            })
        });
        self.watch.replace(Some(OpenWatch {
            _task: task,
            progress_requests,
        }));
    }

    fn report(self: &Rc<Self>, report: Report) {
        self.log_rejections(&report);
        if let Some(pending) = self.pending_view.take() {
            self.apply_view(pending.view);
        }
        if self.pending_view.borrow().is_some() {
            // The report would contain a revision that isn't in force here.
            self.core
                .borrow_mut()
                .on_report_failed(self.now(), report.sequence);
            return;
        }
        let (host, session) = (self.clone(), self.session.get());
        self.spawn(async move { host.put_report(session, report).await });
    }

    pub(super) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(spawner) = self.spawner.upgrade() {
            spawner.spawn(work).detach();
        }
    }
}
