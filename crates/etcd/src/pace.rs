//! How fast a stream's flow-control window is given back, so that the other side sends no faster.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Less than this isn't given back at once: a sender that waits would send as little, again and again. It has to be
/// below a stream's window.
const LEAST_RELEASE: usize = 512;

/// A token bucket of bytes that a stream may bring. Clones share it, so that a stream that is opened anew goes on
/// with what the one before it left.
#[derive(Clone, Debug)]
pub struct ReceivePace(Rc<RefCell<Bucket>>);

#[derive(Debug)]
struct Bucket {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    updated_at: Instant,
}

impl ReceivePace {
    /// A full bucket of `burst` bytes, at least 512, that fills by `bytes_per_second`. In any time of `t` seconds a
    /// stream brings at most `burst + t * bytes_per_second` bytes, and once its window
    /// ([`Client::with_stream_window`](crate::Client::with_stream_window)).
    pub fn new(bytes_per_second: f64, burst: f64) -> ReceivePace {
        let burst = burst.max(LEAST_RELEASE as f64);
        let bucket = Bucket { bytes_per_second, burst, tokens: burst, updated_at: Instant::now() };
        ReceivePace(Rc::new(RefCell::new(bucket)))
    }

    /// How long to wait until a part of the bytes that are held may be given back; `None` if too few are held.
    pub(crate) fn wait(&self, held: usize) -> Option<Duration> {
        if held < LEAST_RELEASE {
            return None;
        }
        let mut bucket = self.0.borrow_mut();
        bucket.fill(Instant::now());
        let lacking = LEAST_RELEASE as f64 - bucket.tokens;
        Some(Duration::from_secs_f64(lacking.max(0.0) / bucket.bytes_per_second))
    }

    /// How many of the bytes that are held are given back now: none, or a part that is worth it.
    pub(crate) fn release(&self, held: usize) -> usize {
        let mut bucket = self.0.borrow_mut();
        bucket.fill(Instant::now());
        let released = held.min(bucket.tokens as usize);
        if released < LEAST_RELEASE {
            return 0;
        }
        bucket.tokens -= released as f64;
        released
    }
}

impl Bucket {
    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.bytes_per_second).min(self.burst);
        self.updated_at = now;
    }
}
