//! The sections that configure the dispatch policy: `safety`, `loading`, `reports` and parts of others.

use crate::front_ends::FrontEnds;
use crate::reader::{Fields, Place};
use crate::regions::read_regions;
use orchidtally_dispatch_policy::interface::{PolicyConfig, TriggerType};

/// The keys of the `safety` section.
pub(crate) const SAFETY_KEYS: [&str; 4] = ["cold", "coldFrom", "overloadFactor", "fall"];

/// The keys of the `loading` section.
pub(crate) const LOADING_KEYS: [&str; 8] = [
    "orders",
    "answersMiss",
    "tellsCrowd",
    "keepAlive",
    "rationFloor",
    "rationShare",
    "rationWindow",
    "answerWithin",
];

/// The name of the load report's field for the number of waiting invocations.
const BACKLOG_FIELD: &str = "backlog";
/// The name of the load report's field for the number of loads in progress or waiting.
const PENDING_LOADS_FIELD: &str = "loads";

/// The sections from which the policy's configuration is read.
pub(crate) struct PolicySections<'s, 'a, 'd> {
    pub(crate) top: &'s Fields<'a, 'd>,
    pub(crate) limits: &'s Fields<'a, 'd>,
    pub(crate) safety: &'s Fields<'a, 'd>,
    pub(crate) loading: &'s Fields<'a, 'd>,
    pub(crate) front_ends: &'s FrontEnds,
    pub(crate) locations: &'s [String],
}

impl PolicySections<'_, '_, '_> {
    /// Reads the configuration; the parameters are the values of sections that are read elsewhere.
    pub(crate) fn read(
        &self,
        trigger_types: Vec<TriggerType>,
        quotas: Vec<f64>,
        zone: u8,
        polls_endpoints: bool,
    ) -> PolicyConfig {
        let (allows_load_commands, rejects_unloaded) = self.read_load_commands();
        let reports = self.top.at("reports").list();
        let reports: Vec<String> = reports.iter().filter_map(Place::text).collect();
        let report_field = |name| reports.iter().position(|field| field == name);
        let number = |fields: &Fields, key, range, default| {
            let read = fields.optional(key, |place| place.number(range));
            read.unwrap_or(default)
        };
        let seconds = |fields: &Fields, key, range, default| {
            let read = fields.optional(key, |place| place.seconds(range));
            read.unwrap_or(default)
        };
        let Self {
            top,
            limits,
            safety,
            loading,
            ..
        } = self;
        let max_dispatches = limits.optional("maxDispatches", |place| place.integer(1..=255));
        PolicyConfig {
            trigger_types,
            quotas,
            over_quota_value_factor: number(top, "overShareValue", 0.0..=1.0, 0.1),
            bills_by_work: top.at("valueByWork").flag(false),
            front_ends: f64::from(self.front_ends.count),
            front_end_index: f64::from(self.front_ends.index),
            zone,
            cross_zone_cost: number(top, "crossing", 0.0..=10.0, 0.02),
            zone_regions: read_regions(top, self.locations),
            max_functions: None,
            clock_tick: self.front_ends.clock_tick,
            max_dispatches: max_dispatches.unwrap_or(4) as u8,
            allows_hedging: limits.at("secondCopies").flag(false),
            allows_cancellation: limits.at("cancel").flag(true),
            max_retry_after: seconds(limits, "maxRetryAfter", 0.0..=3_600.0, 1.0),
            polls_endpoints,
            slow_start_duration: seconds(safety, "cold", 0.001..=3_600.0, 15.0),
            slow_start_initial_weight: number(safety, "coldFrom", 0.001..=1.0, 0.15),
            overload_factor: number(safety, "overloadFactor", 1.0..=100.0, 2.0),
            overload_window: seconds(safety, "fall", 0.01..=60.0, 1.0),
            // Deployment files have no setting for the drain grace; 0 selects the policy's default.
            drain_grace: 0.0,
            max_clock_skew: self.front_ends.max_clock_skew,
            allows_load_commands,
            load_command_cost: 0.0,
            rejects_unloaded,
            reports_concurrency: loading.at("tellsCrowd").flag(true),
            keep_alive: seconds(loading, "keepAlive", 0.0..=86_400.0, 8.0),
            load_budget_floor: number(loading, "rationFloor", 0.0..=1e6, 2.0),
            load_budget_fraction: number(loading, "rationShare", 0.0..=1.0, 0.2),
            load_budget_window: seconds(loading, "rationWindow", 0.0..=3_600.0, 5.0),
            backlog_field: report_field(BACKLOG_FIELD),
            pending_loads_field: report_field(PENDING_LOADS_FIELD),
        }
    }

    /// Reads whether load commands are allowed, and whether executors reject invocations of functions that they haven't
    /// loaded.
    fn read_load_commands(&self) -> (bool, bool) {
        let allows_load_commands = self.loading.at("orders").flag(true);
        let rejects_unloaded = self.loading.at("answersMiss").flag(false);
        if rejects_unloaded && !allows_load_commands {
            self.loading.at("answersMiss").fault(
                "executors that answer 'miss' load only on load commands, which 'orders' turns off",
            );
        }
        (allows_load_commands, rejects_unloaded)
    }
}
