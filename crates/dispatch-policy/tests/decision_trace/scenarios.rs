//! The scenarios: settings, the fleet, and the rate of each kind of event.

use orchidtally_dispatch_policy::interface::{
    DeduplicationScope, Idempotency, PolicyConfig, TriggerType,
};

/// A scenario. Rates are events per second, probabilities are from 0 to 1, times are in seconds.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub duration: f64,
    pub executors: usize,
    pub functions: usize,
    pub zones: usize,
    pub kinds: usize,
    pub arrivals: f64,
    /// Probability of each kind of fault: errors, `Full`, resets, failed connections and misses.
    pub fault: f64,
    /// Probability that an executor hangs, and that it is many times slower than the others.
    pub hanging: f64,
    pub slow: f64,
    /// Rate of changes of the endpoint list, and the probabilities that an update is a full list, that it fails, and
    /// that an executor that becomes ready has restarted.
    pub list_changes: f64,
    pub full_lists: f64,
    pub failed_lists: f64,
    pub restarts: f64,
    /// Probability that a client cancels its invocation, and that a response is streamed.
    pub client_cancels: f64,
    pub streamed_responses: f64,
    pub prewarms: f64,
    pub membership_changes: f64,
    pub view_reports: f64,
    pub stalls: f64,
    pub reconfigurations: f64,
    /// Whether dispatches and load commands are revalidated before they are sent.
    pub revalidates: bool,
    /// When the front end begins its shutdown, in seconds from the start.
    pub shutdown_at: f64,
    pub policy: fn(&mut PolicyConfig),
}

const BASE: Scenario = Scenario {
    name: "steady traffic",
    seed: 1,
    duration: 40.0,
    executors: 12,
    functions: 20,
    zones: 1,
    kinds: 1,
    arrivals: 40.0,
    fault: 0.002,
    hanging: 0.0,
    slow: 0.0,
    list_changes: 0.0,
    full_lists: 0.0,
    failed_lists: 0.0,
    restarts: 0.0,
    client_cancels: 0.0,
    streamed_responses: 0.0,
    prewarms: 0.0,
    membership_changes: 0.0,
    view_reports: 0.0,
    stalls: 0.0,
    reconfigurations: 0.0,
    revalidates: false,
    shutdown_at: f64::INFINITY,
    policy: |_| {},
};

fn trigger_type(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> TriggerType {
    TriggerType {
        latency_objective: 1.0,
        objective_work_factor: 0.5,
        client_timeout: 5.0,
        billed_value: 1.0,
        late_value_fraction: 0.2,
        idempotency,
        deduplication_scope,
        deduplication_window: 2.0,
    }
}

/// The settings to which a scenario's `policy` is applied.
pub fn base_policy() -> PolicyConfig {
    PolicyConfig {
        trigger_types: vec![
            trigger_type(Idempotency::Idempotent, DeduplicationScope::All),
            trigger_type(Idempotency::Keyed, DeduplicationScope::Cell),
            trigger_type(Idempotency::NonIdempotent, DeduplicationScope::All),
            trigger_type(Idempotency::Keyed, DeduplicationScope::Zone),
            trigger_type(Idempotency::Keyed, DeduplicationScope::All),
        ],
        quotas: vec![],
        over_quota_value_factor: 0.1,
        bills_by_work: false,
        front_ends: 3.0,
        front_end_index: 1.0,
        zone: 0,
        cross_zone_cost: 0.02,
        zone_regions: vec![],
        max_functions: None,
        clock_tick: 0.002,
        max_dispatches: 4,
        allows_hedging: false,
        allows_cancellation: true,
        max_retry_after: 1.0,
        polls_endpoints: false,
        slow_start_duration: 10.0,
        slow_start_initial_weight: 0.2,
        overload_factor: 2.0,
        overload_window: 1.0,
        drain_grace: 1.0,
        max_clock_skew: 0.01,
        allows_load_commands: true,
        load_command_cost: 0.0,
        rejects_unloaded: false,
        reports_concurrency: false,
        keep_alive: 8.0,
        load_budget_floor: 2.0,
        load_budget_fraction: 0.2,
        load_budget_window: 5.0,
        backlog_field: None,
        pending_loads_field: None,
    }
}

/// All scenarios, in the order of the digests.
pub const SCENARIOS: [Scenario; 22] = [
    BASE,
    Scenario {
        name: "faults of every kind",
        seed: 2,
        fault: 0.04,
        slow: 0.2,
        ..BASE
    },
    Scenario {
        name: "hanging executors",
        seed: 3,
        hanging: 0.4,
        arrivals: 80.0,
        ..BASE
    },
    Scenario {
        name: "hedging",
        seed: 4,
        hanging: 0.4,
        arrivals: 80.0,
        slow: 0.1,
        fault: 0.01,
        policy: |p| p.allows_hedging = true,
        ..BASE
    },
    Scenario {
        name: "no cancellation",
        seed: 5,
        hanging: 0.2,
        fault: 0.02,
        policy: |p| p.allows_cancellation = false,
        ..BASE
    },
    Scenario {
        name: "quotas and billed value",
        seed: 6,
        arrivals: 120.0,
        policy: |p| {
            p.quotas = vec![30.0, 10.0, 300.0];
            p.bills_by_work = true;
            p.trigger_types[2].billed_value = 5.0;
        },
        ..BASE
    },
    Scenario {
        name: "overload",
        seed: 7,
        arrivals: 400.0,
        executors: 6,
        duration: 15.0,
        ..BASE
    },
    Scenario {
        name: "endpoints join, drain and leave",
        seed: 8,
        list_changes: 4.0,
        restarts: 0.3,
        zones: 3,
        kinds: 2,
        executors: 24,
        ..BASE
    },
    Scenario {
        name: "full lists, failed lists, subscriptions",
        seed: 9,
        list_changes: 2.0,
        full_lists: 0.5,
        failed_lists: 0.3,
        restarts: 0.2,
        policy: |p| p.polls_endpoints = true,
        ..BASE
    },
    Scenario {
        name: "prewarming",
        seed: 10,
        prewarms: 8.0,
        functions: 60,
        ..BASE
    },
    Scenario {
        name: "scarce load commands",
        seed: 11,
        prewarms: 4.0,
        functions: 200,
        policy: |p| {
            (
                p.load_budget_floor,
                p.load_budget_fraction,
                p.load_command_cost,
            ) = (1.0, 0.05, 0.01);
            p.rejects_unloaded = true;
        },
        ..BASE
    },
    Scenario {
        name: "expensive load commands, misses",
        seed: 12,
        functions: 100,
        fault: 0.01,
        policy: |p| (p.load_command_cost, p.reports_concurrency) = (0.5, true),
        ..BASE
    },
    Scenario {
        name: "no load commands",
        seed: 13,
        functions: 60,
        policy: |p| p.allows_load_commands = false,
        ..BASE
    },
    Scenario {
        name: "membership",
        seed: 14,
        membership_changes: 1.0,
        list_changes: 1.0,
        restarts: 0.7,
        executors: 20,
        ..BASE
    },
    Scenario {
        name: "stalls and a stale view",
        seed: 15,
        view_reports: 0.7,
        stalls: 0.15,
        list_changes: 0.5,
        fault: 0.02,
        duration: 60.0,
        ..BASE
    },
    Scenario {
        name: "revalidation before sending",
        seed: 16,
        revalidates: true,
        list_changes: 2.0,
        restarts: 0.3,
        view_reports: 0.5,
        ..BASE
    },
    Scenario {
        name: "client cancellations, streamed responses",
        seed: 17,
        client_cancels: 0.15,
        streamed_responses: 0.4,
        ..BASE
    },
    Scenario {
        name: "shutdown",
        seed: 18,
        hanging: 0.2,
        shutdown_at: 36.0,
        ..BASE
    },
    Scenario {
        name: "regions",
        seed: 19,
        zones: 4,
        executors: 32,
        list_changes: 1.0,
        fault: 0.01,
        policy: |p| p.zone_regions = vec![Some(0), Some(0), Some(1)],
        ..BASE
    },
    Scenario {
        name: "reconfiguration",
        seed: 20,
        reconfigurations: 1.0,
        policy: |p| p.quotas = vec![20.0, 20.0],
        ..BASE
    },
    Scenario {
        name: "load reports in a large fleet",
        seed: 21,
        executors: 220,
        zones: 3,
        kinds: 3,
        functions: 12,
        arrivals: 300.0,
        duration: 25.0,
        slow: 0.05,
        fault: 0.005,
        policy: |p| {
            (p.backlog_field, p.pending_loads_field, p.front_ends) = (Some(0), Some(1), 40.0)
        },
        ..BASE
    },
    Scenario {
        name: "all features combined",
        seed: 22,
        duration: 60.0,
        executors: 40,
        functions: 80,
        zones: 3,
        kinds: 2,
        arrivals: 90.0,
        fault: 0.01,
        hanging: 0.08,
        slow: 0.08,
        list_changes: 1.5,
        full_lists: 0.1,
        failed_lists: 0.05,
        restarts: 0.3,
        client_cancels: 0.04,
        streamed_responses: 0.1,
        prewarms: 1.0,
        membership_changes: 0.2,
        view_reports: 0.8,
        stalls: 0.05,
        reconfigurations: 0.2,
        revalidates: true,
        shutdown_at: 57.0,
        policy: |p| {
            p.quotas = vec![60.0, 60.0, 30.0];
            p.allows_hedging = true;
            (
                p.backlog_field,
                p.pending_loads_field,
                p.reports_concurrency,
            ) = (Some(1), Some(0), true);
            p.zone_regions = vec![Some(0), Some(1)];
        },
    },
];
