//! The member of the store to which a front end is connected.

use super::{FRAGMENT_DELAY, FrontEnd, Message, REQUEST_TIMEOUT, kind_name};
use crate::kit::store::Store;
use orchidtally_config_sync::action::{ReadKind, ReadRequest};
use orchidtally_config_sync::{
    BarrierAnswer, Change, Header, RangeAnswer, Report, RequestFailure, RequestId, WatchBatch,
};

impl FrontEnd {
    /// Sends the new changes of the watch, even if the front end is paused.
    pub(super) fn push_events(&mut self, now: f64, store: &mut Store) {
        if !self.is_connected || !self.reaches(store, self.member) {
            return;
        }
        let Some(mut watch) = self.watch else { return };
        let range = self.core.keyspace().entries();
        match store.events(self.member, &range, watch.next) {
            Err(revision) => {
                self.send(
                    now,
                    60,
                    Message::Compacted {
                        watch: watch.number,
                        revision,
                    },
                );
                self.watch = None;
                return;
            }
            Ok(batches) => {
                for (revision, changes) in batches {
                    watch.next = revision + 1;
                    self.send_batch(now, watch.number, revision, changes, store.cluster);
                }
            }
        }
        if watch.wants_progress {
            watch.wants_progress = false;
            let header = store.header(self.member);
            self.stream_until = self.stream_until.max(now);
            self.send(
                self.stream_until,
                60,
                Message::Progress {
                    watch: watch.number,
                    header,
                },
            );
        }
        self.watch = Some(watch);
    }

    fn send_batch(
        &mut self,
        now: f64,
        watch: u64,
        revision: i64,
        changes: Vec<Change>,
        cluster: u64,
    ) {
        let header = Header { cluster, revision };
        let chunks: Vec<&[Change]> = changes
            .chunks(self.fragment_size.min(changes.len()))
            .collect();
        for (index, chunk) in chunks.iter().enumerate() {
            let complete = index + 1 == chunks.len();
            let change_bytes = |c: &Change| c.key.len() + c.value.as_ref().map_or(0, Vec::len) + 24;
            let bytes = 60 + chunk.iter().map(change_bytes).sum::<usize>();
            let batch = WatchBatch {
                header,
                changes: chunk.to_vec(),
                complete,
            };
            let delay = if index == 0 { 0.0 } else { FRAGMENT_DELAY };
            self.stream_until = self.stream_until.max(now) + delay;
            self.send(self.stream_until, bytes, Message::Batch { watch, batch });
        }
    }

    pub(super) fn read(&mut self, now: f64, request: &ReadRequest, store: &mut Store) {
        self.traffic.reads += 1;
        match request.kind {
            ReadKind::Scan => self.traffic.scans += 1,
            ReadKind::Bucket(_) => self.traffic.bucket_reads += 1,
            _ => {}
        }
        let answer = store.range(
            self.member,
            &request.range,
            request.at_revision,
            request.min_mod_revision,
            request.limit as usize,
        );
        self.count_bytes(now, 120);
        match answer {
            Ok((header, mut entries, more)) => {
                if request.keys_only {
                    entries.iter_mut().for_each(|entry| entry.value.clear());
                }
                let entry_bytes =
                    |e: &orchidtally_config_sync::RangeEntry| e.key.len() + e.value.len() + 24;
                let bytes = 60 + entries.iter().map(entry_bytes).sum::<usize>();
                *self.traffic.reads_by_second.entry(now as u64).or_default() += bytes;
                let of_kind = self
                    .traffic
                    .reads_by_kind
                    .entry(kind_name(request.kind))
                    .or_default();
                *of_kind = (of_kind.0 + 1, of_kind.1 + bytes);
                let answer = RangeAnswer {
                    id: request.id,
                    header,
                    entries,
                    more,
                    bytes,
                };
                self.send(now + self.latency, bytes, Message::Range(answer));
            }
            Err(failure) => self.fail(now, request.id, failure),
        }
    }

    pub(super) fn barrier(&mut self, now: f64, id: RequestId, store: &mut Store) {
        self.count_bytes(now, 100);
        if !store.has_quorum(self.member) {
            self.fail(now, id, RequestFailure::Unavailable);
            return;
        }
        let header = Header {
            cluster: store.cluster,
            revision: store.revision,
        };
        let generation = store
            .get(&self.core.keyspace().generation())
            .map(|known| known.value);
        self.send(
            now + self.latency,
            100,
            Message::Barrier(BarrierAnswer {
                id,
                header,
                generation,
            }),
        );
    }

    fn fail(&mut self, now: f64, id: RequestId, failure: RequestFailure) {
        let delay = if failure == RequestFailure::Unavailable {
            REQUEST_TIMEOUT
        } else {
            self.latency
        };
        self.send(now + delay, 40, Message::Failed(id, failure));
    }

    pub(super) fn put_report(&mut self, now: f64, report: Report, store: &mut Store) {
        let bytes = report.to_json().len() + 100;
        self.count_bytes(now, bytes);
        if !store.has_quorum(self.member) {
            return;
        }
        self.send(now + self.latency, 60, Message::Reported(report.sequence));
        self.report = Some(report);
        store.touch();
    }
}
