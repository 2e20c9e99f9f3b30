//! The status of message triggers, for operators.

use orchidtally_mqtt_triggers::consumer::Counters;

/// The status of message triggers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TriggerStatus {
    /// Counts of what has happened to messages.
    pub counters: Counters,
    /// Whether the broker has accepted the connection.
    pub connected: bool,
    /// Messages that were accepted and are not finished.
    pub in_flight: usize,
    /// Messages that wait to be accepted.
    pub waiting: usize,
    /// Whether the journal can be written.
    pub journal_works: bool,
}
