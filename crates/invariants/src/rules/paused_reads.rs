//! The times during which executors do not read from their sockets.

use crate::TrafficRecord;
use std::collections::HashMap;

/// The start and end of each read pause, by executor.
pub(super) struct PausedReads(HashMap<usize, Vec<(f64, f64)>>);

impl PausedReads {
    pub(super) fn of(records: &[&TrafficRecord]) -> PausedReads {
        let mut spans: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
        for record in records {
            if let TrafficRecord::ReadsPaused {
                at,
                executor,
                until,
            } = record
            {
                spans.entry(*executor).or_default().push((*at, *until));
            }
        }
        PausedReads(spans)
    }

    /// Whether a message that an executor records at `at` may have been delayed in its sockets by a read pause, which
    /// makes the time at which it was sent unknown. `transit` is the longest time in transit.
    pub(super) fn may_have_delayed(&self, executor: usize, at: f64, transit: f64) -> bool {
        let spans = self.0.get(&executor).map(Vec::as_slice).unwrap_or_default();
        spans
            .iter()
            .any(|(from, to)| *from <= at && at <= to + transit)
    }
}
