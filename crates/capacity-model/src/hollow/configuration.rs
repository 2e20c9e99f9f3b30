//! A hollow front end's configuration: the true host of configuration distribution round its core, over the true etcd
//! client. What a hub would do with a view is done by a [`CallView`].

use super::control::Bytes;
use async_executor::{LocalExecutor, Task};
use orchidtally_config_sync::schema::GatewayEntry;
use orchidtally_config_sync::{
    GatewaySchema, ReportedState, SettingsError, SyncSettings, Verdict, View,
};
use orchidtally_etcd::Client;
use orchidtally_http_frontend::config::{
    ApplyError, ConfigHost, ConfigTarget, HostSettings, SnapshotFile,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Called with the front end's number and each view that its calls see from now on.
pub type OnApply = Rc<dyn Fn(usize, &Arc<View<GatewayEntry>>)>;

/// What a front end's calls see.
pub struct CallView {
    number: usize,
    view: RefCell<Arc<View<GatewayEntry>>>,
    on_apply: OnApply,
    /// Injected fault: the old view stays in use although the host reports the new one as in force.
    keeps_old_view: Cell<bool>,
}

impl ConfigTarget<GatewayEntry> for CallView {
    fn apply(&self, view: &Arc<View<GatewayEntry>>) -> Result<(), ApplyError> {
        if !self.keeps_old_view.get() {
            (self.on_apply)(self.number, view);
            *self.view.borrow_mut() = view.clone();
        }
        Ok(())
    }
}

/// What a front end's configuration is made of.
pub struct Options<'a> {
    /// Index of the front end.
    pub number: usize,
    /// Addresses of the store, in the order in which they are tried.
    pub endpoints: &'a [SocketAddr],
    /// Settings of configuration distribution.
    pub settings: SyncSettings,
    /// A snapshot to start from.
    pub start_from: Option<&'a [u8]>,
    /// Where it writes its own.
    pub snapshot: Option<SnapshotFile>,
    /// Seed of every random draw.
    pub seed: u64,
    /// Called with each view that comes into force.
    pub on_apply: OnApply,
}

/// One front end's configuration.
pub struct Configuration {
    host: Rc<ConfigHost<GatewaySchema, CallView>>,
}

/// The name by which the store knows the client of a front end's configuration.
pub fn client_name(number: usize) -> String {
    format!("configuration.{number}")
}

impl Configuration {
    /// Creates the configuration and restores its snapshot, if there is one. Nothing runs before [`Configuration::start`].
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(
        options: Options<'_>,
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<Rc<Configuration>, SettingsError> {
        let target = CallView {
            number: options.number,
            view: RefCell::default(),
            on_apply: options.on_apply,
            keeps_old_view: Cell::new(false),
        };
        let client = Client::new(options.endpoints.to_vec(), tasks.clone());
        client.set_user_agent(client_name(options.number));
        let mut settings = HostSettings::new(options.number.to_string());
        settings.snapshot = options.snapshot;
        let host = ConfigHost::new(
            options.settings,
            GatewaySchema,
            options.seed,
            settings,
            client,
            tasks,
            target,
        )?;
        if let Some(snapshot) = options.start_from {
            host.restore_from(&[snapshot]);
        }
        Ok(Rc::new(Configuration { host }))
    }

    /// Runs it until the task is dropped.
    pub fn start(&self, tasks: &Rc<LocalExecutor<'static>>) -> Task<()> {
        tasks.spawn(self.host.clone().run())
    }

    /// Gives up its connection, as a process that ends; to be called once its task was dropped.
    pub fn stop(&self) {
        self.host.stop();
    }

    /// Index of the front end.
    pub fn number(&self) -> usize {
        self.host.target().number
    }

    /// The view that calls see.
    pub fn view(&self) -> Arc<View<GatewayEntry>> {
        self.host.target().view.borrow().clone()
    }

    /// From now on calls go on to see the view that they see now, and new ones are reported as in force.
    pub fn keep_old_view(&self) {
        self.host.target().keeps_old_view.set(true);
    }

    /// The revision that it reports as applied.
    pub fn claimed_revision(&self) -> i64 {
        self.host.applied_revision()
    }

    /// Whether a call that came now would be admitted under the entry.
    pub fn admits(&self, key: &str) -> bool {
        self.host.admits(key) == Verdict::Serve
    }

    /// Whether it follows the store.
    pub fn follows(&self) -> bool {
        self.host.status().state == ReportedState::Following
    }

    /// Bytes over its connections to the store so far.
    pub fn bytes(&self) -> Bytes {
        let traffic = self.host.client().traffic();
        Bytes {
            sent: traffic.sent(),
            received: traffic.received(),
        }
    }
}
