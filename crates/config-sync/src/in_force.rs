//! Determines for writers whether a revision is in force at every front end, from the front ends' reports.

use crate::report::{Report, ReportedState};
use std::collections::{BTreeMap, BTreeSet};

/// Why a front end is not known to have the revision in force.
#[derive(Clone, Debug, PartialEq)]
pub enum MissingReason {
    /// It is live, but hasn't reported yet.
    NotReported,
    /// It reported an older revision.
    Behind {
        /// The revision that it has applied.
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
    /// It reached the revision, but rejected the transaction.
    Rejected {
        /// The offending keys.
        keys: Vec<String>,
    },
    /// It reached the revision, but its report omits some rejections, which may include this transaction.
    PossiblyRejected {
        /// Number of rejections that the report omits.
        omitted: usize,
    },
    /// It was live when the change was written, and its lease has expired without a report that it ended: it crashed,
    /// or is partitioned.
    LeaseLost,
}

/// A front end at which the revision is not known to be in force.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingFrontEnd {
    /// Name of the front end, as in the key of its report.
    pub front_end: String,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Whether something that the revision revokes may still be used at a front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RevocationState {
    /// The revocation is in force, as the limit has passed since the write. This holds for entries with
    /// `"when_stale":"refuse"` in a revision that was in force everywhere before.
    InForce,
    /// A partitioned front end may use it until this time, in seconds of the caller's clock.
    NotBefore(f64),
}

/// Whether a write is in force at every front end.
#[derive(Clone, Debug, PartialEq)]
pub enum InForce {
    /// All front ends that were live at the write, or are live now, have the revision in force or have ended.
    Everywhere,
    /// Some front ends aren't known to have the revision in force.
    Missing {
        /// These front ends, sorted by name.
        missing: Vec<MissingFrontEnd>,
        /// Whether something that the revision revokes may still be used.
        revocations: RevocationState,
    },
}

/// A write to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Written {
    /// The revision of the write.
    pub revision: i64,
    /// The store's generation at the write.
    pub generation: u64,
    /// The store's cluster id.
    pub cluster: u64,
    /// When the response to the write was received, in seconds of the caller's clock; not before it was committed.
    pub at: f64,
}

/// Determines whether a write is in force at every front end.
///
/// `at_write` lists the front ends that had a lease when the change was written, `live` those that have one now,
/// `reports` are the reports that were read last (linearizably), by front end. `limit` is
/// [`SyncSettings::in_force_limit`](crate::SyncSettings::in_force_limit) in seconds. A front end whose report says that
/// it has ended serves nothing, so it is not missing; [`ended`] lists these front ends.
pub fn in_force(
    written: &Written,
    now: f64,
    at_write: &BTreeSet<String>,
    live: &BTreeSet<String>,
    reports: &BTreeMap<String, Report>,
    limit: f64,
) -> InForce {
    let missing: Vec<MissingFrontEnd> = at_write
        .union(live)
        .filter_map(|front_end| {
            let reason = missing_reason(written, live.contains(front_end), reports.get(front_end))?;
            Some(MissingFrontEnd {
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
    (report.rejected_omitted > 0).then_some(MissingReason::PossiblyRejected {
        omitted: report.rejected_omitted,
    })
}
