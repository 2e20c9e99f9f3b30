//! The `frontEnds` section: the number of front ends, the index of this one, and the largest skew of their clocks.

use crate::reader::Fields;

const DEFAULT_MAX_CLOCK_SKEW: f64 = 0.5;
const DEFAULT_CLOCK_TICK: f64 = 0.002;

/// The front ends of a deployment. Times are in seconds.
pub(crate) struct FrontEnds {
    pub(crate) count: u32,
    /// The index of the front end that reads the file.
    pub(crate) index: u32,
    pub(crate) max_clock_skew: f64,
    pub(crate) clock_tick: f64,
}

/// Reads the section; there is one front end if it is left out.
pub(crate) fn read_front_ends(top: &Fields) -> FrontEnds {
    let fields = top.optional_object("frontEnds", &["count", "index", "clockSkew", "tick"]);
    let count = fields.optional("count", |place| place.integer(1..=100_000));
    let count = count.unwrap_or(1);
    let index = fields.optional("index", |place| place.integer(0..=99_999));
    let index = index.unwrap_or(0);
    if index >= count {
        fields.at("index").fault(format!(
            "{index} is not an index of {count} front ends, 0 to {} is wanted",
            count - 1
        ));
    }
    let max_clock_skew = fields.optional("clockSkew", |place| place.seconds(0.0..=60.0));
    let clock_tick = fields.optional("tick", |place| place.seconds(1e-4..=0.05));
    FrontEnds {
        count,
        index,
        max_clock_skew: max_clock_skew.unwrap_or(DEFAULT_MAX_CLOCK_SKEW),
        clock_tick: clock_tick.unwrap_or(DEFAULT_CLOCK_TICK),
    }
}
