//! The fields of an object.

use super::Place;
use jsonc_parser::ast::Object;
use jsonc_parser::common::Ranged;

/// The fields of an object; empty if the object is missing.
pub struct Fields<'a, 'd> {
    place: Place<'a, 'd>,
    object: Option<&'d Object<'a>>,
}

impl<'a, 'd> Fields<'a, 'd> {
    pub(super) fn new(place: Place<'a, 'd>, object: Option<&'d Object<'a>>) -> Fields<'a, 'd> {
        Fields { place, object }
    }

    /// Returns the place of a key, whether it is given or not.
    pub fn at(&self, name: &str) -> Place<'a, 'd> {
        let property = self
            .object
            .and_then(|o| o.properties.iter().find(|p| p.name.as_str() == name));
        Place {
            document: self.place.document,
            value: property.map(|p| &p.value),
            at: property.map_or(self.place.at, |p| p.value.range().start),
            key: self.place.child(name),
        }
    }

    /// Returns the fields of an object under `name` that is left out.
    fn empty(&self, name: &str) -> Fields<'a, 'd> {
        Fields {
            place: self.at(name),
            object: None,
        }
    }

    /// Reads a key if it is given.
    pub fn optional<T>(
        &self,
        name: &str,
        read: impl FnOnce(&Place<'a, 'd>) -> Option<T>,
    ) -> Option<T> {
        let place = self.at(name);
        if place.is_given() { read(&place) } else { None }
    }

    /// Returns the fields of an object under `name`, which may be left out as a whole.
    pub fn optional_object(&self, name: &str, keys: &[&str]) -> Fields<'a, 'd> {
        let place = self.at(name);
        if place.is_given() {
            place.object(keys)
        } else {
            self.empty(name)
        }
    }
}
