//! Watches the TLS files, so that the front end reconnects when certificates are replaced.

use orchidtally_mqtt_triggers::TriggerSettings;
use std::path::PathBuf;
use std::time::SystemTime;

/// Seconds between two checks of the files.
pub(super) const CHECK_INTERVAL: f64 = 3.0;

/// Modification times of the TLS files.
pub(super) struct TlsFiles {
    paths: Vec<PathBuf>,
    /// The newest modification time when the current connection was opened.
    changed_at: Option<SystemTime>,
    next_check_at: f64,
}

impl TlsFiles {
    pub(super) fn new(settings: &TriggerSettings, now: f64) -> TlsFiles {
        let mut paths = vec![];
        if let Some(tls) = &settings.tls {
            paths.push(tls.ca_certificates.clone());
            paths.extend(
                tls.client_identity
                    .iter()
                    .flat_map(|(certificates, key)| [certificates, key])
                    .cloned(),
            );
        }
        TlsFiles {
            paths,
            changed_at: None,
            next_check_at: now,
        }
    }

    /// Whether the connection uses TLS.
    pub(super) fn are_used(&self) -> bool {
        !self.paths.is_empty()
    }

    /// When the newest of the files was changed.
    fn latest_modification(&self) -> Option<SystemTime> {
        let changed_at = |path: &PathBuf| {
            std::fs::metadata(path)
                .and_then(|file| file.modified())
                .ok()
        };
        self.paths.iter().filter_map(changed_at).max()
    }

    /// Records the modification time of the files that the next connection uses.
    pub(super) fn record_modification_time(&mut self) {
        self.changed_at = self.latest_modification();
    }

    /// Whether a check is due.
    pub(super) fn is_check_due(&mut self, now: f64) -> bool {
        if now < self.next_check_at || !self.are_used() {
            return false;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        true
    }

    /// Whether a file was changed since the current connection was opened.
    pub(super) fn have_changed(&self) -> bool {
        self.latest_modification() != self.changed_at
    }
}
