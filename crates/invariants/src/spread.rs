//! How evenly dispatches are spread over the executors, from the executors' own records alone: when each stood and
//! with how many lanes, what reached it and when that ended, and what it loaded.

use crate::TrafficRecord;
use serde::Serialize;
use std::collections::{HashSet, VecDeque};

/// Seconds within which dispatches to one executor are a herd.
const HERD_TIME: f64 = 0.25;
/// A herd is over the fair part by so many roots of it, and as many more.
const HERD_OVER: f64 = 4.0;

/// What was found. Shares and ratios are plain numbers; `docs/design/spread.md` defines each.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpreadReport {
    pub executors: usize,
    pub dispatches: u64,
    /// Herds, and when the last of them was.
    pub herds: u64,
    #[serde(skip)]
    pub last_herd: Option<f64>,
    /// Of the executor-seconds stood, those of an empty one while another had more waiting than lanes.
    pub idle_beside_queue: f64,
    /// The mean over seconds of the most that an executor got, over its fair part.
    pub peak_over_fair: f64,
    /// Copies loaded, and how many of them were of a function that stood or loaded elsewhere at that moment.
    pub copies: u64,
    pub copies_elsewhere: u64,
}

#[derive(Clone, Default)]
struct Place {
    lanes: Option<f64>,
    in_hand: f64,
    lately: VecDeque<f64>,
    herd_until: f64,
    second: f64,
    /// It stood since before the second began.
    whole: bool,
    holds: HashSet<String>,
}

impl Place {
    fn waits(&self) -> bool {
        self.lanes.is_some_and(|lanes| self.in_hand > 2.0 * lanes)
    }

    fn is_idle(&self) -> bool {
        self.lanes.is_some() && self.in_hand == 0.0
    }
}

#[derive(Default)]
struct Eye {
    places: Vec<Place>,
    now: f64,
    second: f64,
    recent: VecDeque<f64>,
    stood: f64,
    idle: f64,
    peaks: (f64, u64),
    seen: SpreadReport,
}

impl Eye {
    fn place(&mut self, x: usize) -> &mut Place {
        if x >= self.places.len() {
            self.places.resize(x + 1, Place::default());
        }
        &mut self.places[x]
    }

    fn lanes(&self) -> f64 {
        self.places.iter().filter_map(|p| p.lanes).sum()
    }

    /// Lets time pass: what stands as it is does so for this long.
    fn pass(&mut self, at: f64) {
        let time = at - self.now;
        let (standing, idle) = self.places.iter().fold((0.0, 0.0), |(standing, idle), p| {
            (
                standing + f64::from(u8::from(p.lanes.is_some())),
                idle + f64::from(u8::from(p.is_idle())),
            )
        });
        self.stood += time * standing;
        if self.places.iter().any(Place::waits) {
            self.idle += time * idle;
        }
        self.now = at;
        while at >= self.second + 1.0 {
            self.end_second();
        }
    }

    fn end_second(&mut self) {
        let whole = self.places.iter().filter(|p| p.whole);
        let (all, lanes) = whole.clone().fold((0.0, 0.0), |(all, lanes), p| {
            (all + p.second, lanes + p.lanes.unwrap_or_default())
        });
        let over = whole.map(|p| p.second * lanes / (all * p.lanes.unwrap_or(1.0)).max(1e-9));
        if all > 0.0 {
            self.peaks = (self.peaks.0 + over.fold(0.0, f64::max), self.peaks.1 + 1);
        }
        self.second += 1.0;
        for place in &mut self.places {
            (place.second, place.whole) = (0.0, place.lanes.is_some());
        }
    }

    fn reached(&mut self, at: f64, x: usize) {
        self.seen.dispatches += 1;
        let since = at - HERD_TIME;
        self.recent.push_back(at);
        while self.recent.front().is_some_and(|&t| t <= since) {
            self.recent.pop_front();
        }
        let (all, lanes) = (self.recent.len() as f64, self.lanes());
        let place = self.place(x);
        place.in_hand += 1.0;
        place.second += 1.0;
        place.lately.push_back(at);
        while place.lately.front().is_some_and(|&t| t <= since) {
            place.lately.pop_front();
        }
        let fair = all * place.lanes.unwrap_or_default() / lanes.max(1e-9);
        // One that goes on is the same herd.
        if place.lately.len() as f64 > fair + HERD_OVER * fair.sqrt() + HERD_OVER {
            let new = at > place.herd_until;
            place.herd_until = at + HERD_TIME;
            self.seen.herds += u64::from(new);
            self.seen.last_herd = Some(at);
        }
    }
}

/// Looks at the records from a moment on; those before it only tell what stands.
pub fn measure_spread(records: &[TrafficRecord], from: f64) -> SpreadReport {
    let mut records: Vec<&TrafficRecord> = records.iter().collect();
    records.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let mut eye = Eye {
        now: from,
        second: from,
        ..Eye::default()
    };
    for record in records {
        let at = record.at();
        if at > from {
            eye.pass(at);
        }
        match record {
            TrafficRecord::Stands {
                executor, lanes, ..
            } => {
                let place = eye.place(*executor);
                *place = Place {
                    lanes: Some(f64::from(*lanes)),
                    ..Place::default()
                };
                eye.seen.executors += 1;
            }
            TrafficRecord::Down { executor, .. } => *eye.place(*executor) = Place::default(),
            TrafficRecord::Reached { executor, .. } if at >= from => eye.reached(at, *executor),
            TrafficRecord::Reached { executor, .. } => eye.place(*executor).in_hand += 1.0,
            TrafficRecord::Ended { executor, .. } => {
                let place = eye.place(*executor);
                place.in_hand = (place.in_hand - 1.0).max(0.0);
            }
            TrafficRecord::Loads {
                executor, function, ..
            } => {
                let elsewhere = eye.places.iter().any(|p| p.holds.contains(function));
                eye.place(*executor).holds.insert(function.clone());
                if at >= from {
                    eye.seen.copies += 1;
                    eye.seen.copies_elsewhere += u64::from(elsewhere);
                }
            }
            TrafficRecord::Unloads {
                executor, function, ..
            } => _ = eye.place(*executor).holds.remove(function),
            _ => {}
        }
    }
    eye.seen.idle_beside_queue = eye.idle / eye.stood.max(1e-9);
    eye.seen.peak_over_fair = eye.peaks.0 / eye.peaks.1.max(1) as f64;
    eye.seen
}
