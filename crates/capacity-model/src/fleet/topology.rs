//! Where machines stand, and how far they are from each other.

use super::assumptions::{DELAY_BETWEEN_REGIONS, DELAY_WITHIN_REGION, DELAY_WITHIN_ZONE, RACK};
use orchidtally_dispatch_policy::interface::{Endpoint, EndpointState, ExecutorId};
use std::net::{IpAddr, Ipv4Addr};

/// The first executor's address; the others' follow.
const FIRST_ADDRESS: u32 = 0x0a00_0000;
const PORT: u16 = 7_000;

/// The place of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: u8,
    pub zone: u8,
}

impl Place {
    /// The one-way delay to another place, in seconds.
    pub fn delay(self, other: Place) -> f64 {
        if self.region != other.region {
            DELAY_BETWEEN_REGIONS
        } else if self.zone != other.zone {
            DELAY_WITHIN_REGION
        } else {
            DELAY_WITHIN_ZONE
        }
    }
}

/// The places of all machines: each region has an equal part, spread evenly over its zones.
#[derive(Clone, Debug)]
pub struct Topology {
    pub front_ends: Vec<Place>,
    pub executors: Vec<Place>,
    /// The rack of each executor; a rack belongs to one zone.
    pub racks: Vec<u16>,
    /// The region of each zone, as in a deployment file of the front ends.
    pub regions: Vec<Option<u8>>,
}

impl Topology {
    /// `regions` and `zones` at least 1, and no fewer zones than regions.
    pub fn new(front_ends: usize, executors: usize, regions: usize, zones: usize) -> Topology {
        let region_of = |zone: usize| zone * regions / zones;
        let place = |machine: usize| {
            let region = machine % regions;
            let of_region: Vec<usize> = (0..zones)
                .filter(|&zone| region_of(zone) == region)
                .collect();
            let zone = of_region[(machine / regions) % of_region.len()];
            Place {
                region: region as u8,
                zone: zone as u8,
            }
        };
        let executors: Vec<Place> = (0..executors).map(place).collect();
        let racks = racks(&executors, zones);
        Topology {
            front_ends: (0..front_ends).map(place).collect(),
            executors,
            racks,
            regions: (0..zones).map(|zone| Some(region_of(zone) as u8)).collect(),
        }
    }

    /// The roster row of an executor that started at `since`.
    pub fn row(&self, executor: usize, state: EndpointState, since: f64) -> Endpoint {
        Endpoint {
            executor: executor_id(executor),
            zone: self.executors[executor].zone,
            kind: 0,
            cell: self.racks[executor],
            state,
            weight: 1.0,
            started_at: since,
        }
    }
}

fn racks(executors: &[Place], zones: usize) -> Vec<u16> {
    let mut in_zone = vec![0; zones];
    let rack = |place: &Place| {
        let zone = usize::from(place.zone);
        in_zone[zone] += 1;
        let number = (in_zone[zone] - 1) / RACK;
        (number * zones + zone) as u16
    };
    executors.iter().map(rack).collect()
}

/// The id of an executor by its number.
pub fn executor_id(executor: usize) -> ExecutorId {
    ExecutorId(
        Ipv4Addr::from_bits(FIRST_ADDRESS + executor as u32).into(),
        PORT,
    )
}

/// The number of an executor by its id; `None` for an id that [`executor_id`] never gave.
pub fn executor_number(id: ExecutorId) -> Option<usize> {
    match id.0 {
        IpAddr::V4(address) => address
            .to_bits()
            .checked_sub(FIRST_ADDRESS)
            .map(|n| n as usize),
        IpAddr::V6(_) => None,
    }
}
