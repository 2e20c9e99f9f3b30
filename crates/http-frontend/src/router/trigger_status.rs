//! The state of triggers by messages, for operators.

use orchidtally_mqtt_triggers::consumer::Counters;

/// The state of triggers by messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct TriggerStatus {
    /// Counts of what has happened to messages.
    pub counters: Counters,
    /// Whether the broker has accepted the connection.
    pub connected: bool,
    /// Messages that were taken and are not done with.
    pub in_hand: usize,
    /// Messages that wait to be taken.
    pub waiting: usize,
    /// Whether the journal can be written.
    pub journal_works: bool,
}
