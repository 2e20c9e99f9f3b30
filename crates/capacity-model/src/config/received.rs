//! The bytes that front ends received in the busiest seconds of a part of a run.

use crate::hollow::configuration::Configuration;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// What each front end had received in all at some times.
#[derive(Clone, Debug, Default)]
pub struct ReceivedSamples {
    samples: Vec<(f64, Vec<u64>)>,
}

impl ReceivedSamples {
    /// Adds what each front end has received at a time, in seconds; times ascend.
    pub fn add(&mut self, at: f64, received: Vec<u64>) {
        self.samples.push((at, received));
    }

    /// The seconds that the samples span.
    pub fn seconds(&self) -> f64 {
        match (self.samples.first(), self.samples.last()) {
            (Some((first, _)), Some((last, _))) => last - first,
            _ => 0.0,
        }
    }

    /// The highest mean rate in bytes a second at which any front end received within a window of `seconds`; `None` if the
    /// samples span less.
    pub fn busiest(&self, seconds: f64) -> Option<f64> {
        let most_from = |place: usize| {
            let (began, before) = &self.samples[place];
            let (_, after) = self.samples[place..]
                .iter()
                .find(|(at, _)| *at >= began + seconds)?;
            before
                .iter()
                .zip(after)
                .map(|(before, after)| after.saturating_sub(*before))
                .max()
        };
        let most = (0..self.samples.len()).filter_map(most_from).max()?;
        Some(most as f64 / seconds)
    }
}

/// Takes samples until it is dropped.
pub struct Sampler {
    samples: Rc<RefCell<ReceivedSamples>>,
    _task: Task<()>,
}

impl Sampler {
    /// Starts sampling front ends, none of which may be replaced before the sampler is dropped.
    pub fn start(front_ends: Vec<Rc<Configuration>>, tasks: &LocalExecutor<'static>) -> Sampler {
        let samples: Rc<RefCell<ReceivedSamples>> = Rc::default();
        let recorded = samples.clone();
        let began = Instant::now();
        let task = tasks.spawn(async move {
            loop {
                let received = front_ends
                    .iter()
                    .map(|front_end| front_end.bytes().received)
                    .collect();
                recorded
                    .borrow_mut()
                    .add(began.elapsed().as_secs_f64(), received);
                Timer::after(SAMPLE_INTERVAL).await;
            }
        });
        Sampler {
            samples,
            _task: task,
        }
    }

    /// Waits until the samples span `seconds`, and returns [`ReceivedSamples::busiest`] of them.
    pub async fn busiest(self, seconds: f64) -> Option<f64> {
        while self.samples.borrow().seconds() < seconds {
            Timer::after(SAMPLE_INTERVAL).await;
        }
        self.samples.borrow().busiest(seconds)
    }
}
