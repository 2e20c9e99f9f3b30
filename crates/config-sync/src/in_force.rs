//! Whether a revision is in force at every front end: a pure function for the writer, over front ends' reports.

use crate::report::{Report, ReportedState};
use std::collections::{BTreeMap, BTreeSet};

/// Why a front end is not known to have the revision in force.
#[derive(Clone, Debug, PartialEq)]
pub enum MissingReason {
    /// It lives, but has reported nothing yet.
    NotReported,
    /// Its report names an older revision.
    Behind {
        /// How far it has come.
        applied_revision: i64,
        /// Whether it follows the store.
        state: ReportedState,
    },
    /// It follows another generation, or another store.
    OtherStore {
        /// The generation that it follows.
        generation: u64,
        /// The cluster id that it follows.
        cluster: u64,
    },
    /// It came to the revision, but rejected the transaction; reasons as it reports them.
    Rejected {
        /// The offending keys.
        keys: Vec<String>,
    },
    /// It came to the revision, but names only a part of what it rejects: the transaction may be among the rest.
    PerhapsRejected {
        /// Rejections that its report leaves out.
        omitted: usize,
    },
    /// It was there when the change was written, and its lease is over without its word that it ended: it died, or is
    /// cut off.
    LeaseLost,
}

/// A front end that the revision is not known to be in force at.
#[derive(Clone, Debug, PartialEq)]
pub struct Missing {
    /// Its name, as in its report's key.
    pub front_end: String,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Whether what the revision takes away can still be used anywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RevocationState {
    /// It can't: the limit has passed since the write. It holds for entries that said `"when_stale":"refuse"` in a
    /// revision that was in force everywhere before.
    InForce,
    /// A front end that is cut off may use it until this time, in seconds of the caller's clock.
    NotBefore(f64),
}

/// The answer to "is it in force everywhere?".
#[derive(Clone, Debug, PartialEq)]
pub enum InForce {
    /// All front ends that were there at the write or are there now have it, or have ended.
    Everywhere,
    /// These are missing, sorted by name; what is taken away is treated by itself.
    Missing {
        /// Who is missing, and why.
        missing: Vec<Missing>,
        /// Whether what is taken away can still be used.
        revocations: RevocationState,
    },
}

/// What is asked about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Written {
    /// The revision that the store answered to the write.
    pub revision: i64,
    /// The store's generation at the write.
    pub generation: u64,
    /// The store's cluster id.
    pub cluster: u64,
    /// When the write was answered, in seconds of the caller's clock: not before it was committed.
    pub at: f64,
}

/// Tells whether a write is in force everywhere.
///
/// `at_write` names the front ends that had a lease when the change was written, `live` those that have one now,
/// `reports` holds the reports that were read last (linearizably), by front end. `limit` is
/// [`SyncSettings::in_force_limit`](crate::SyncSettings::in_force_limit) in seconds. A front end whose report says that
/// it has ended is gone: it serves nothing and is not missing; [`ended`] names them.
pub fn in_force(
    written: &Written,
    now: f64,
    at_write: &BTreeSet<String>,
    live: &BTreeSet<String>,
    reports: &BTreeMap<String, Report>,
    limit: f64,
) -> InForce {
    let missing: Vec<Missing> = at_write
        .union(live)
        .filter_map(|front_end| {
            let reason = missing_reason(written, live.contains(front_end), reports.get(front_end))?;
            Some(Missing {
                front_end: front_end.clone(),
                reason,
            })
        })
        .collect();
    if missing.is_empty() {
        return InForce::Everywhere;
    }
    let revocations = match written.at + limit {
        until if now < until => RevocationState::NotBefore(until),
        _ => RevocationState::InForce,
    };
    InForce::Missing {
        missing,
        revocations,
    }
}

/// The front ends whose reports say that they have ended, sorted by name.
pub fn ended(reports: &BTreeMap<String, Report>) -> Vec<&str> {
    let has_ended = |report: &Report| report.state == ReportedState::Ended;
    reports
        .iter()
        .filter(|(_, report)| has_ended(report))
        .map(|(name, _)| name.as_str())
        .collect()
}

fn missing_reason(
    written: &Written,
    is_live: bool,
    report: Option<&Report>,
) -> Option<MissingReason> {
    if report.is_some_and(|report| report.state == ReportedState::Ended) {
        return None;
    }
    if !is_live {
        return Some(MissingReason::LeaseLost);
    }
    let Some(report) = report else {
        return Some(MissingReason::NotReported);
    };
    if (report.generation, report.cluster) != (written.generation, written.cluster) {
        let (generation, cluster) = (report.generation, report.cluster);
        return Some(MissingReason::OtherStore {
            generation,
            cluster,
        });
    }
    if report.applied_revision < written.revision {
        let (applied_revision, state) = (report.applied_revision, report.state);
        return Some(MissingReason::Behind {
            applied_revision,
            state,
        });
    }
    rejected_reason(written, report)
}

fn rejected_reason(written: &Written, report: &Report) -> Option<MissingReason> {
    let of_write = report
        .rejected
        .iter()
        .filter(|rejection| rejection.revision == written.revision);
    let keys: Vec<String> = of_write.map(|rejection| rejection.key.clone()).collect();
    if !keys.is_empty() {
        return Some(MissingReason::Rejected { keys });
    }
    (report.rejected_omitted > 0).then_some(MissingReason::PerhapsRejected {
        omitted: report.rejected_omitted,
    })
}
