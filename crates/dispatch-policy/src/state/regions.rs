//! The zones of the front end's own region.

/// The region of each zone, and the front end's own region.
#[derive(Default)]
pub struct Regions {
    /// Indexed by zone number; `None` for a zone without a known region.
    region_of_zone: Vec<Option<u8>>,
    own_region: Option<u8>,
}

impl Regions {
    /// Creates the regions for a front end in `own_zone`.
    pub fn new(region_of_zone: Vec<Option<u8>>, own_zone: u8) -> Regions {
        let own_region = region_of_zone.get(usize::from(own_zone)).copied().flatten();
        Regions {
            region_of_zone,
            own_region,
        }
    }

    /// Returns whether the front end's own region is known.
    pub fn has_own_region(&self) -> bool {
        self.own_region.is_some()
    }

    /// Returns whether a zone is known to be in the front end's own region.
    pub fn is_own_region(&self, zone: u8) -> bool {
        let region = self.region_of_zone.get(usize::from(zone));
        self.has_own_region() && region.copied().flatten() == self.own_region
    }
}
