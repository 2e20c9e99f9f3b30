//! What the design's size leaves open and the fleet run assumes. Times are seconds.
//!
//! These figures are not given by the users: each is stated here once, and a result holds for them alone.

/// Loading a copy of a function at an executor, once a load slot is free.
pub const LOAD_TIME: f64 = 0.25;
/// Loads that an executor performs at a time; further ones wait in order.
pub const LOADS_AT_A_TIME: usize = 4;
/// Mean work of a call on a warm machine; work is exponentially distributed.
pub const MEAN_WORK: f64 = 0.1;
/// Calls that the whole fleet can run at a time, for each call a second that arrives: twice what the mean work needs.
pub const LANES_PER_CALL_RATE: f64 = 2.0 * MEAN_WORK;
/// Calls that an executor lets wait, for each of its lanes; past that it answers 'full'.
pub const WAITING_PER_LANE: usize = 4;
/// Calls of one function that one front end has out at one executor before it looks for another copy.
pub const FUNCTION_LANES: f64 = 4.0;
/// An idle copy stays at least this long; then the least recently used one gives way when memory is full.
pub const KEEP_ALIVE: f64 = 60.0;
/// A machine just started works slower for this long, and at first at this part of its speed.
pub const COLD_TIME: f64 = 15.0;
/// Speed of a machine that has just started, relative to its full speed.
pub const COLD_SPEED: f64 = 0.15;

/// Latency objective and client timeout of every call.
pub const OBJECTIVE: f64 = 1.5;
/// Client timeout of every call, in seconds.
pub const CLIENT_TIMEOUT: f64 = 6.0;
/// One of this many functions is not idempotent.
pub const NON_IDEMPOTENT_EVERY: u32 = 4;

/// One-way delays: within a zone, between zones of a region, between regions.
pub const DELAY_WITHIN_ZONE: f64 = 0.000_25;
/// One-way delay between zones of a region, in seconds.
pub const DELAY_WITHIN_REGION: f64 = 0.000_75;
/// One-way delay between regions, in seconds.
pub const DELAY_BETWEEN_REGIONS: f64 = 0.015;
/// What a dispatch to another zone costs by the front ends' settings: the default of a deployment file.
pub const CROSSING: f64 = 0.02;
/// Executors in a rack.
pub const RACK: usize = 20;

/// A connection that was used within this time is used again; it is the default `idleClose`.
pub const CONNECTION_IDLE: f64 = 15.0;
/// Until a connection attempt that nobody answers is given up; it is the default `connectTime`.
pub const CONNECT_TIME: f64 = 0.25;
/// Until an order to load that nobody answers is given up; it is the default `answerWithin`.
pub const ORDER_TIME: f64 = 10.0;

/// From a change in the store to the last front end that sees it.
pub const ROSTER_DELAY: f64 = 0.2;
/// Until the store drops an executor that is silent: the default lease.
pub const EXECUTOR_LEASE: f64 = 10.0;
/// Executors that vanish by more than this part of the roster are kept for the time below, as in
/// `orchidtally_membership::cache`.
pub const MASS_EXPIRY_FRACTION: f64 = 0.25;
/// How long executors of a mass expiry are kept, in seconds.
pub const MASS_EXPIRY_RETENTION: f64 = 10.0;
/// A front end that lost the store, or has just come back to it, has no part of the strictly shared budgets for this
/// long: `orchidtally_membership::members::MAX_VIEW_DELAY`.
pub const BUDGET_SHARE_DELAY: f64 = 3.0;
/// A restarted machine serves again after this time.
pub const RESTART_TIME: f64 = 2.0;
/// Machines that are restarted on a day; the run has them within its length, thousands of times denser.
pub const RESTARTS: usize = 48;

/// Simulated time before the measurement, of which in the first part calls of popular functions are thinned: what
/// has to settle there is which copies of rare functions stand, and these are called less than once a minute.
pub const WARM_UP_THINNED: f64 = 30.0;
/// Simulated seconds before the measurement.
pub const WARM_UP: f64 = 36.0;
/// The functions that are thinned, by rank, and the part of their calls that is kept.
pub const THINNED_RANKS: usize = 100;
/// Fraction of the calls of popular functions that is kept.
pub const THINNED_PART: f64 = 0.05;
