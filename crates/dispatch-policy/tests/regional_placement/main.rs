//! Placement where the regions of zones are known: within the front end's own region and across its zones.

#[path = "../reference_model/mod.rs"]
mod reference_model;

mod failures;
mod fixtures;
mod large_region;
mod placement;
