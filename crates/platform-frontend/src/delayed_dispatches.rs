//! Dispatches that wait until an earlier cancel of the same invocation has reached its executor.

use orchidtally_dispatch_policy::interface::ExecutorId;

/// Identifies a dispatch by its invocation and its number within the invocation.
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
    /// How long to wait, in seconds.
    delay: f64,
    /// When it was first sent, if this is a retry.
    first_sent_at: Option<f64>,
    /// When the delay began to run: in the poll after the one that queued the dispatch, because the cancels of that
    /// poll have been handed to the kernel by then.
    delay_started_at: Option<f64>,
}

/// A dispatch whose delay has elapsed.
pub struct DueDispatch {
    /// The dispatch.
    pub key: DispatchKey,
    /// The executor to send it to.
    pub executor_id: ExecutorId,
    /// When it was first sent, if this is a retry.
    pub first_sent_at: Option<f64>,
}

/// Delayed dispatches, at most one per open invocation.
///
/// Failure mode: a cancel and the next dispatch of an invocation travel over different connections, which don't
/// preserve their order, so both dispatches could run at the same time for a moment.
/// Risk: the delay postpones the start of the next dispatch.
#[derive(Default)]
pub struct DelayedDispatches(Vec<DelayedDispatch>);

impl DelayedDispatches {
    /// Whether no dispatch is being delayed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Delays a dispatch by `delay` seconds. `first_sent_at` is the time of the first attempt to send it if this is a
    /// retry.
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

    /// Removes a dispatch, and returns whether it was being delayed.
    pub fn remove(&mut self, key: DispatchKey) -> bool {
        let before = self.0.len();
        self.0.retain(|delayed| delayed.key != key);
        self.0.len() < before
    }

    /// Removes and returns the dispatches whose delay has elapsed, in the order in which they were added. A delay
    /// starts to run at the first call of this function.
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
