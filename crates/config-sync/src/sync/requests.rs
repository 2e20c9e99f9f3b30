//! Reads as requests: sent at the pace, several at a time, with a deadline each.

use super::reading::{Part, Reading};
use super::{ConfigSync, Need, Phase};
use crate::action::{Action, ReadRequest};
use crate::message::{RequestFailure, RequestId};
use crate::report::ReportedState;
use crate::schema::Schema;

/// Reads that wait for their answers at most. The pace bounds what they bring; several hide the way to a distant store.
const MAX_OPEN_READS: usize = 16;

/// A read that isn't answered yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRead {
    id: RequestId,
    deadline: f64,
    /// Applied when it was asked: a linearizable answer can't be older in the same history.
    pub(super) known_revision: i64,
    /// What it reads.
    pub(super) part: Part,
    /// Bytes that were charged when it was sent.
    pub(super) charged: f64,
}

impl<S: Schema> ConfigSync<S> {
    /// When something is to be done about reads.
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
            self.request_failed(now, id, RequestFailure::Unavailable);
        } else if now >= self.send_timer() {
            self.send_read(now);
        }
    }

    /// The reading that may send requests and gets answers now.
    fn active_reading(&self) -> Option<&Reading> {
        let is_active = matches!(self.phase, Phase::Reading | Phase::Following);
        self.reading.as_ref().filter(|_| is_active)
    }

    /// The read that has to be answered first.
    fn read_deadline(&self) -> Option<(RequestId, f64)> {
        let open = self.active_reading()?.open.iter();
        open.map(|open| (open.id, open.deadline))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// When the next read may be sent.
    fn send_timer(&self) -> f64 {
        let Some(reading) = self.active_reading() else {
            return f64::INFINITY;
        };
        let Some(next) = reading
            .pending
            .front()
            .filter(|_| reading.open.len() < MAX_OPEN_READS)
        else {
            return f64::INFINITY;
        };
        let expected = reading.expected_bytes(next, self.settings.page_bytes);
        self.read_pace.ready_at(expected).max(reading.not_before)
    }

    fn send_read(&mut self, now: f64) {
        let id = self.request_id();
        let known_revision = if self.loaded == self.source {
            self.applied_revision
        } else {
            0
        };
        let deadline = now + self.settings.request_timeout;
        let page_bytes = self.settings.page_bytes;
        let Some(reading) = &mut self.reading else {
            return;
        };
        let Some(part) = reading.pending.pop_front() else {
            return;
        };
        let request = ReadRequest {
            id,
            kind: reading.kind(&part),
            range: part.range.clone(),
            min_mod_revision: reading.min_mod_revision(),
            at_revision: reading.revision,
            limit: reading.limit(page_bytes),
            keys_only: reading.reads_keys_only(),
        };
        let charged = reading.expected_bytes(&part, page_bytes);
        reading.open.push(OpenRead {
            id,
            deadline,
            known_revision,
            part,
            charged,
        });
        self.read_pace.charge(now, charged);
        self.actions.push_back(Action::Read(request));
    }

    pub(super) fn take_open_read(&mut self, id: RequestId) -> Option<OpenRead> {
        let open = &mut self.reading.as_mut()?.open;
        let place = open.iter().position(|open| open.id == id)?;
        Some(open.swap_remove(place))
    }

    /// A read or a barrier failed.
    pub fn request_failed(&mut self, now: f64, id: RequestId, failure: RequestFailure) {
        if self.barrier_failed(now, id) {
            return;
        }
        let Some(open) = self.take_open_read(id) else {
            return;
        };
        match failure {
            RequestFailure::Unavailable => self.read_again(now, open),
            RequestFailure::Compacted => self.read_was_compacted(now),
            RequestFailure::FutureRevision => self.halt(now, ReportedState::StoreSetBack),
        }
    }

    fn read_again(&mut self, now: f64, open: OpenRead) {
        self.pause_reading(now);
        if let Some(reading) = &mut self.reading {
            reading.pending.push_front(open.part);
        }
    }

    fn pause_reading(&mut self, now: f64) {
        let part = self.draw(1.0);
        if let Some(reading) = &mut self.reading {
            reading.pause(now, part);
        }
    }

    /// The revision that was read at is gone.
    fn read_was_compacted(&mut self, now: f64) {
        let digests = self.keyspace.digests();
        let Some(reading) = &mut self.reading else {
            return;
        };
        if !reading.is_verification() {
            reading.begin_anew(digests);
            self.pause_reading(now);
            return;
        }
        self.reading = None;
        match self.phase {
            Phase::Following => self.schedule_audit(now),
            // Without the old revision nothing shows that the history is the same.
            _ if self.distrusts => self.halt(now, ReportedState::StoreSetBack),
            _ => {
                self.close_watch();
                self.start_reading(now, Need::CatchUp);
            }
        }
    }
}
