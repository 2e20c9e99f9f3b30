//! The front ends of a comparison: hollow ones in this process, real ones as processes.

use super::Plan;
use super::gateway::{Gateway, GatewayError};
use super::meter;
use super::run::ComparisonError;
use crate::clock;
use crate::config::entries;
use crate::hollow::configuration::{Configuration, Options};
use crate::hollow::control::ControlFrontEnd;
use crate::hollow::deployment;
use crate::store;
use async_executor::{LocalExecutor, Task};
use orchidtally_config_sync::SettingsError;
use orchidtally_http_frontend::config::SnapshotFile;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// A snapshot's file, for the front end whose index stands for the placeholder.
const SNAPSHOT: &str = "config-{index}.snapshot";
const INDEX: &str = "{index}";

/// Hollow front ends with their tasks, which end when they are dropped.
pub(super) struct HollowFrontEnds {
    controls: Vec<Rc<ControlFrontEnd>>,
    configurations: Vec<Rc<Configuration>>,
    _tasks: Vec<Task<()>>,
    /// Before control took any memory.
    pub heap_before: f64,
    pub resident_before: f64,
}

impl HollowFrontEnds {
    pub fn start(
        plan: &Plan,
        snapshot: &[u8],
        folder: &Path,
        by_region: &[Vec<SocketAddr>],
        tasks: &Rc<LocalExecutor<'static>>,
    ) -> Result<HollowFrontEnds, ComparisonError> {
        let of = |number| {
            ControlFrontEnd::new(
                &store::endpoints_of(number, by_region),
                plan.front_ends(),
                plan.seed + number as u64,
                tasks,
            )
        };
        // An engine without a roster is no cost of control: a process without a store has one as well.
        let controls: Vec<Rc<ControlFrontEnd>> = (0..plan.hollow).map(of).collect();
        let heap_before = clock::heap_bytes();
        let resident_before = meter::anonymous_bytes(std::process::id())?;
        let mut started = vec![];
        let mut configurations = vec![];
        for (number, control) in controls.iter().enumerate() {
            let endpoints = store::endpoints_of(number, by_region);
            let configuration =
                configuration(plan.seed, number, snapshot, folder, &endpoints, tasks)?;
            started.extend(control.start(tasks));
            started.push(configuration.start(tasks));
            configurations.push(configuration);
        }
        Ok(HollowFrontEnds {
            controls,
            configurations,
            _tasks: started,
            heap_before,
            resident_before,
        })
    }

    pub fn ready(&self, plan: &Plan) -> usize {
        let knows_all = |control: &ControlFrontEnd| {
            control.is_ready()
                && control.executors() == plan.executors
                && control.front_ends() as usize >= plan.front_ends()
        };
        let all = self.controls.iter().zip(&self.configurations);
        all.filter(|(control, configuration)| knows_all(control) && configuration.follows())
            .count()
    }

    /// Bytes of one list of the executors, in the mean.
    pub fn list_bytes(&self) -> f64 {
        let lists: u64 = self
            .controls
            .iter()
            .map(|control| control.list_bytes())
            .sum();
        lists as f64 / self.controls.len().max(1) as f64
    }
}

/// The configuration of a hollow front end, from a snapshot. Its own ones are written to `folder`.
pub(super) fn configuration(
    seed: u64,
    number: usize,
    snapshot: &[u8],
    folder: &Path,
    endpoints: &[SocketAddr],
    tasks: &Rc<LocalExecutor<'static>>,
) -> Result<Rc<Configuration>, SettingsError> {
    let options = Options {
        number,
        endpoints,
        settings: entries::settings(),
        start_from: Some(snapshot),
        snapshot: Some(SnapshotFile::new(
            folder.join(format!("hollow-{number}.snapshot")),
        )),
        seed: seed.wrapping_mul(1_000_003) + number as u64,
        on_apply: Rc::new(|_, _| {}),
    };
    Configuration::new(options, tasks)
}

/// Processes that follow the store, and processes that follow none.
pub(super) struct RealFrontEnds {
    pub with_store: Vec<Gateway>,
    pub without_store: Vec<Gateway>,
}

impl RealFrontEnds {
    pub fn start(
        plan: &Plan,
        program: &Path,
        folder: &Path,
        snapshot: &[u8],
        by_region: &[Vec<SocketAddr>],
    ) -> Result<RealFrontEnds, ComparisonError> {
        let mut all = RealFrontEnds {
            with_store: vec![],
            without_store: vec![],
        };
        for number in plan.real_numbers() {
            let path = folder.join(SNAPSHOT);
            std::fs::write(
                folder.join(SNAPSHOT.replace(INDEX, &number.to_string())),
                snapshot,
            )?;
            let text = deployment::with_configuration(
                plan.front_ends(),
                &store::endpoints_of(number, by_region),
                &path,
            );
            all.with_store.push(Gateway::start(
                program,
                folder,
                &format!("real-{number}"),
                number,
                &text,
            )?);
        }
        for number in 0..plan.without_store {
            let (name, text) = (
                format!("without-store-{number}"),
                deployment::without_store(plan.front_ends()),
            );
            all.without_store
                .push(Gateway::start(program, folder, &name, number, &text)?);
        }
        Ok(all)
    }

    pub async fn ready(&self, plan: &Plan) -> Result<usize, GatewayError> {
        let mut ready = 0;
        for gateway in &self.with_store {
            let status = gateway.status().await?;
            ready += usize::from(status.follows(plan.executors, plan.front_ends(), plan.functions));
        }
        Ok(ready)
    }
}
