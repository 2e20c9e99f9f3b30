//! Which zones stand in the front end's own region.

/// The regions of zones, seen from a front end.
#[derive(Default)]
pub struct Regions {
    /// By the zone's number; `None` for a zone without a known region.
    region_of_zone: Vec<Option<u8>>,
    own_region: Option<u8>,
}

impl Regions {
    /// The regions for a front end in `own_zone`.
    pub fn new(region_of_zone: Vec<Option<u8>>, own_zone: u8) -> Regions {
        let own_region = region_of_zone.get(usize::from(own_zone)).copied().flatten();
        Regions {
            region_of_zone,
            own_region,
        }
    }

    /// Whether the front end's own region is known.
    pub fn has_own(&self) -> bool {
        self.own_region.is_some()
    }

    /// Whether a zone is known to be in the front end's own region.
    pub fn is_own(&self, zone: u8) -> bool {
        let region = self.region_of_zone.get(usize::from(zone));
        self.has_own() && region.copied().flatten() == self.own_region
    }
}
