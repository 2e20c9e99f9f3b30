//! The `regions` section: groups of nearby locations. Without it, functions are placed anywhere.

use crate::reader::{Fields, Place};

/// The most regions: as many as locations.
const MAX_REGIONS: usize = 250;

/// Reads the region of each location, by the location's index; empty if the section is left out.
pub(crate) fn read_regions(top: &Fields, locations: &[String]) -> Vec<Option<u8>> {
    let section = top.at("regions");
    if !section.is_given() {
        return vec![];
    }
    let list = section.list();
    if list.is_empty() {
        section.fault(
            "at least one region is wanted; leave 'regions' out to place functions anywhere",
        );
        return vec![];
    }
    if list.len() > MAX_REGIONS {
        section.fault(format!(
            "{} are too many, {MAX_REGIONS} at most",
            list.len()
        ));
        return vec![];
    }
    let mut reader = RegionReader {
        locations,
        names: vec![],
        by_location: vec![None; locations.len()],
    };
    list.iter().for_each(|place| reader.read_region(place));
    for (name, region) in locations.iter().zip(&reader.by_location) {
        if region.is_none() {
            section.fault(format!(
                "location '{name}' is in no region; name it under one of them"
            ));
        }
    }
    reader.by_location
}

/// Reads regions one by one.
struct RegionReader<'a> {
    locations: &'a [String],
    /// Names of the regions read so far.
    names: Vec<String>,
    /// The region of each location.
    by_location: Vec<Option<u8>>,
}

impl RegionReader<'_> {
    fn read_region(&mut self, place: &Place) {
        let fields = place.object(&["name", "locations"]);
        let number = self.names.len();
        let name = fields
            .at("name")
            .text()
            .unwrap_or_else(|| format!("number {number}"));
        if self.names.contains(&name) {
            fields
                .at("name")
                .fault(format!("there are two regions '{name}'"));
        }
        self.names.push(name);
        let members = fields.at("locations").list();
        if members.is_empty() {
            fields
                .at("locations")
                .fault("at least one location is wanted");
        }
        members
            .iter()
            .for_each(|member| self.read_location(member, number));
    }

    fn read_location(&mut self, place: &Place, region: usize) {
        let names: Vec<(&str, usize)> = self
            .locations
            .iter()
            .enumerate()
            .map(|(number, name)| (name.as_str(), number))
            .collect();
        let Some(location) = place.choice(&names) else {
            return;
        };
        match self.by_location[location] {
            Some(other) => place.fault(format!(
                "is in region '{}' already; a location belongs to one region",
                self.names[usize::from(other)]
            )),
            None => self.by_location[location] = Some(region as u8),
        }
    }
}
