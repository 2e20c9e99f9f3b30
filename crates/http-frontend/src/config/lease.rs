//! The front end's own lease in the configuration store.

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Lease {
    pub(super) id: i64,
    /// The store keeps the lease at least until then, in seconds of [`super::boot_time`].
    pub(super) valid_until: f64,
}
