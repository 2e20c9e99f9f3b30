//! Sends the reads of a session within the rate limit, several at a time, and handles their failures.

use super::range_read::OpenRead;
use super::session::SyncSession;
use super::{ConfigSync, Phase, SyncMode};
use crate::action::{Action, ReadRequest};
use crate::message::{RequestFailure, RequestId};
use crate::report::ReportedState;
use crate::schema::Schema;

/// Maximum number of reads in flight. The rate limit bounds their bytes; several concurrent reads hide the round trip
/// to a distant store.
const MAX_OPEN_READS: usize = 16;

impl<S: Schema> ConfigSync<S> {
    /// The time at which a read is due or times out.
    pub(super) fn read_timer(&self) -> f64 {
        self.read_deadline()
            .map_or(f64::INFINITY, |(_, deadline)| deadline)
            .min(self.send_timer())
    }

    pub(super) fn run_read_timer(&mut self, now: f64) {
        if let Some((id, _)) = self
            .read_deadline()
            .filter(|(_, deadline)| now >= *deadline)
        {
            self.on_request_failed(now, id, RequestFailure::Unavailable);
        } else if now >= self.send_timer() {
            self.send_read(now);
        }
    }

    /// The session, if it may send requests and receive answers in the present phase.
    fn active_session(&self) -> Option<&SyncSession> {
        let is_active = matches!(self.phase, Phase::Synchronizing | Phase::Following);
        self.session.as_ref().filter(|_| is_active)
    }

    /// The read with the earliest deadline.
    fn read_deadline(&self) -> Option<(RequestId, f64)> {
        let open = self.active_session()?.open.iter();
        open.map(|open| (open.id, open.deadline))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The time at which the next read may be sent; infinite if there is none.
    fn send_timer(&self) -> f64 {
        let Some(session) = self.active_session() else {
            return f64::INFINITY;
        };
        let Some(next) = session
            .pending
            .front()
            .filter(|_| session.open.len() < MAX_OPEN_READS)
        else {
            return f64::INFINITY;
        };
        let expected = session.expected_bytes(next, self.settings.page_bytes);
        self.read_limiter.ready_at(expected).max(session.not_before)
    }

    fn send_read(&mut self, now: f64) {
        let id = self.request_id();
        let known_revision = if self.view_source == self.source {
            self.applied_revision
        } else {
            0
        };
        let deadline = now + self.settings.request_timeout;
        let page_bytes = self.settings.page_bytes;
        let Some(session) = &mut self.session else {
            return;
        };
        let Some(range) = session.pending.pop_front() else {
            return;
        };
        let request = ReadRequest {
            id,
            kind: session.kind(&range),
            range: range.range.clone(),
            min_mod_revision: session.min_mod_revision(),
            at_revision: session.revision,
            limit: session.limit(page_bytes),
            keys_only: session.reads_keys_only(),
        };
        let charged = session.expected_bytes(&range, page_bytes);
        session.open.push(OpenRead {
            id,
            deadline,
            known_revision,
            range,
            charged,
        });
        self.read_limiter.charge(now, charged);
        self.actions.push_back(Action::Read(request));
    }

    pub(super) fn take_open_read(&mut self, id: RequestId) -> Option<OpenRead> {
        let open = &mut self.session.as_mut()?.open;
        let position = open.iter().position(|open| open.id == id)?;
        Some(open.swap_remove(position))
    }

    /// Handles the failure of a read or a barrier.
    pub fn on_request_failed(&mut self, now: f64, id: RequestId, failure: RequestFailure) {
        if self.barrier_failed(now, id) {
            return;
        }
        let Some(open) = self.take_open_read(id) else {
            return;
        };
        match failure {
            RequestFailure::Unavailable => self.retry_read(now, open),
            RequestFailure::Compacted => self.on_read_compacted(now),
            RequestFailure::FutureRevision => self.halt(now, ReportedState::StoreRolledBack),
        }
    }

    fn retry_read(&mut self, now: f64, open: OpenRead) {
        self.back_off_reads(now);
        if let Some(session) = &mut self.session {
            session.pending.push_front(open.range);
        }
    }

    fn back_off_reads(&mut self, now: f64) {
        let random = self.random_below(1.0);
        if let Some(session) = &mut self.session {
            session.back_off(now, random);
        }
    }

    /// Handles that the revision at which the session reads is compacted.
    fn on_read_compacted(&mut self, now: f64) {
        let digests = self.keyspace.digests();
        let Some(session) = &mut self.session else {
            return;
        };
        if !session.is_verification() {
            session.restart(digests);
            self.back_off_reads(now);
            return;
        }
        self.session = None;
        match self.phase {
            Phase::Following => self.schedule_audit(now),
            // Without the old revision nothing can show that the history is the same.
            _ if self.is_history_suspect => self.halt(now, ReportedState::StoreRolledBack),
            _ => {
                self.close_watch();
                self.start_session(now, SyncMode::CatchUp);
            }
        }
    }
}
