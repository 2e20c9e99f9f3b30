//! Counts the bytes of request bodies that the front end holds.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes of all request bodies that are being received or belong to open invocations, and their limit.
#[derive(Clone)]
pub struct HeldBodies {
    bytes: Rc<Cell<usize>>,
    limit: usize,
}

/// The part of one request, which is released when this value is dropped.
pub(super) struct HeldBody {
    all: HeldBodies,
    bytes: usize,
}

impl HeldBodies {
    /// Creates a count of zero. `limit` is in bytes.
    pub fn new(limit: usize) -> HeldBodies {
        HeldBodies {
            bytes: Rc::default(),
            limit,
        }
    }

    /// Begins to count a request's body.
    pub(super) fn begin(&self) -> HeldBody {
        HeldBody {
            all: self.clone(),
            bytes: 0,
        }
    }
}

impl HeldBody {
    /// Counts further bytes of the body, and returns whether they are within the limit of all bodies.
    ///
    /// Failure mode: many clients that stop within a large body fill the memory, each within the limit of one body.
    /// Risk: a request is turned away while others are received slowly.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let all = self.all.bytes.get() + bytes;
        if all > self.all.limit {
            return false;
        }
        self.all.bytes.set(all);
        self.bytes += bytes;
        true
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.all.bytes.set(self.all.bytes.get() - self.bytes);
    }
}
