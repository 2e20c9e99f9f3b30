//! Dispatches that wait until an earlier cancel of the same invocation has surely reached its executor.

use orchidtally_dispatch_policy::interface::ExecutorId;

/// A dispatch: an invocation and the number of the dispatch within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchKey {
    /// The engine's id of the invocation.
    pub invocation: u32,
    /// The number of the dispatch within its invocation.
    pub number: u8,
}

struct DelayedDispatch {
    key: DispatchKey,
    executor_id: ExecutorId,
    /// Seconds to wait.
    delay: f64,
    /// When it was sent first, if this is a retry.
    first_sent_at: Option<f64>,
    /// The poll after the one in which it was delayed: the cancels of that poll are handed over by then.
    delay_started_at: Option<f64>,
}

/// A dispatch whose delay is over.
pub struct DueDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// The executor that it goes to.
    pub executor_id: ExecutorId,
    /// When it was sent first, if this is a retry.
    pub first_sent_at: Option<f64>,
}

/// Delayed dispatches, at most one for each open invocation.
///
/// Failure mode: a cancel and the next dispatch use two connections, on which nothing keeps their order, so that two
/// dispatches could run at once for a moment.
/// Risk: the dispatch starts later by that moment.
#[derive(Default)]
pub struct DelayedDispatches(Vec<DelayedDispatch>);

impl DelayedDispatches {
    /// Whether no dispatch is delayed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Delays a dispatch by some seconds. `first_sent_at` tells when it was first sent, if this is a retry.
    pub fn push(
        &mut self,
        key: DispatchKey,
        executor_id: ExecutorId,
        delay: f64,
        first_sent_at: Option<f64>,
    ) {
        self.0.push(DelayedDispatch {
            key,
            executor_id,
            delay,
            first_sent_at,
            delay_started_at: None,
        });
    }

    /// Removes a dispatch; returns whether it was delayed.
    pub fn remove(&mut self, key: DispatchKey) -> bool {
        let before = self.0.len();
        self.0.retain(|delayed| delayed.key != key);
        self.0.len() < before
    }

    /// Takes the dispatches whose delay, counted from the poll after their own, is over, in their order of arrival.
    pub fn take_due(&mut self, now: f64) -> Vec<DueDispatch> {
        for delayed in &mut self.0 {
            delayed.delay_started_at.get_or_insert(now);
        }
        let is_due = |delayed: &mut DelayedDispatch| {
            delayed
                .delay_started_at
                .is_some_and(|since| now >= since + delayed.delay)
        };
        self.0
            .extract_if(.., is_due)
            .map(|delayed| DueDispatch {
                key: delayed.key,
                executor_id: delayed.executor_id,
                first_sent_at: delayed.first_sent_at,
            })
            .collect()
    }
}
