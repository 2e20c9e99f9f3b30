//! Dispatches that wait until what was given up of the same invocation has surely left.

use orchidtally_dispatch_policy::interface::ExecutorId;

struct HeldDispatch {
    inv: u32,
    dispatch: u8,
    to: ExecutorId,
    time: f64,
    /// When it was sent first, where it is sent again.
    at: Option<f64>,
    /// The first turn after the one in which it was made: what was given up in that one is handed over by then.
    since: Option<f64>,
}

/// An invocation, the number of its dispatch, the executor, and when it was sent first, if it was.
type DueDispatch = (u32, u8, ExecutorId, Option<f64>);

/// At most one for each invocation that is open. A cancel and the next dispatch go over two connections, on which
/// nothing keeps their order: guards against two that are out for the moment between; could harm by that moment.
#[derive(Default)]
pub struct Held(Vec<HeldDispatch>);

impl Held {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Holds one for a time.
    pub fn push(&mut self, inv: u32, dispatch: u8, to: ExecutorId, time: f64) {
        self.0.push(HeldDispatch {
            inv,
            dispatch,
            to,
            time,
            at: None,
            since: None,
        });
    }

    /// Holds one for a time that was sent at a moment and found no way out of this machine.
    pub fn push_again(&mut self, inv: u32, dispatch: u8, to: ExecutorId, time: f64, at: f64) {
        self.0.push(HeldDispatch {
            inv,
            dispatch,
            to,
            time,
            at: Some(at),
            since: None,
        });
    }

    /// Takes one back; tells whether it was held.
    pub fn remove(&mut self, inv: u32, dispatch: u8) -> bool {
        let before = self.0.len();
        self.0.retain(|w| (w.inv, w.dispatch) != (inv, dispatch));
        self.0.len() < before
    }

    /// Those that have waited for their time since a turn after their own, in the order in which they came.
    pub fn due(&mut self, now: f64) -> Vec<DueDispatch> {
        self.0
            .iter_mut()
            .for_each(|w| _ = w.since.get_or_insert(now));
        let due = self
            .0
            .extract_if(.., |w| w.since.is_some_and(|since| now >= since + w.time));
        due.map(|w| (w.inv, w.dispatch, w.to, w.at)).collect()
    }
}
