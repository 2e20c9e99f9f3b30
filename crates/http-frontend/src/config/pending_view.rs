//! A configuration view that waits to be applied.

use orchidtally_config_sync::View;
use std::sync::Arc;

/// A view that isn't applied to the target yet, or that the target rejected.
pub(super) struct PendingView<E> {
    pub(super) view: Arc<View<E>>,
    /// When it is to be applied, in seconds of [`super::boot_time`].
    pub(super) retry_at: f64,
}
