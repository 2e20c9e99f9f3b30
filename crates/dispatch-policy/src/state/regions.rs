//! Which zones stand in the front end's own region.

/// The regions of zones, seen from a front end.
#[derive(Default)]
pub struct Regions {
    /// By the zone's number; of a zone without one nothing is told.
    of_zones: Vec<Option<u8>>,
    own: Option<u8>,
}

impl Regions {
    /// Those told of zones, for a front end in a zone.
    pub fn new(of_zones: Vec<Option<u8>>, own_zone: u8) -> Regions {
        let own = of_zones.get(usize::from(own_zone)).copied().flatten();
        Regions { of_zones, own }
    }

    /// Whether the front end's own region is told.
    pub fn has_own(&self) -> bool {
        self.own.is_some()
    }

    /// Whether a zone is told to be in the front end's own region.
    pub fn is_own(&self, zone: u8) -> bool {
        self.has_own() && self.of_zones.get(usize::from(zone)).copied().flatten() == self.own
    }
}
