//! A front end in simulated time: the core with a host in memory, which is connected to one member at a time.

mod member;

use super::store::{MEMBERS, Store};
use orchidtally_config_sync::action::ReadKind;
use orchidtally_config_sync::schema::GatewayEntry;
use orchidtally_config_sync::{
    Action, BarrierAnswer, ConfigSync, GatewaySchema, Header, RangeAnswer, Report, RequestFailure,
    RequestId, SyncSettings, View, WatchBatch,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The default one-way latency between a front end and a member, in seconds.
const LATENCY: f64 = 0.03;
/// The delay between fragments of one transaction, in seconds.
const FRAGMENT_DELAY: f64 = 0.1;
/// A request without an answer fails after this time, in seconds.
const REQUEST_TIMEOUT: f64 = 2.0;

#[derive(Clone, Debug)]
enum Message {
    Batch { watch: u64, batch: WatchBatch },
    Progress { watch: u64, header: Header },
    Compacted { watch: u64, revision: i64 },
    Range(RangeAnswer),
    Barrier(BarrierAnswer),
    Failed(RequestId, RequestFailure),
    Reported(u64),
}

#[derive(Clone, Copy, Debug)]
struct WatchState {
    number: u64,
    next: i64,
    wants_progress: bool,
}

/// The traffic of a front end, in both directions.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub by_second: BTreeMap<u64, usize>,
    /// Bytes of read answers, by second.
    pub reads_by_second: BTreeMap<u64, usize>,
    pub reads: usize,
    /// The number of read answers and their bytes, by the kind of read.
    pub reads_by_kind: BTreeMap<&'static str, (usize, usize)>,
    pub scans: usize,
    pub bucket_reads: usize,
}

pub struct FrontEnd {
    pub core: ConfigSync<GatewaySchema>,
    /// The region, by which tests select front ends.
    pub region: usize,
    pub is_paused: bool,
    /// The partition of the store that it reaches; `None` if it reaches no member.
    pub partition: Option<u8>,
    pub member: usize,
    pub is_connected: bool,
    pub snapshots: Vec<Vec<u8>>,
    pub report: Option<Report>,
    pub applied: Vec<Arc<View<GatewayEntry>>>,
    pub traffic: Traffic,
    /// One-way latency between the front end and its member, in seconds.
    pub latency: f64,
    /// Maximum number of changes in one message of the watch.
    pub fragment_size: usize,
    /// The longest delay between attempts to connect, in seconds.
    pub max_reconnect_delay: f64,
    reconnect_at: f64,
    reconnect_random: u64,
    watch: Option<WatchState>,
    watches: u64,
    inbox: VecDeque<(f64, Message)>,
    /// When the newest message of the watch's stream is sent. Later messages aren't sent earlier, so that the stream
    /// keeps its order.
    stream_until: f64,
}

fn kind_name(kind: ReadKind) -> &'static str {
    match kind {
        ReadKind::Digests => "digests",
        ReadKind::Scan => "scan",
        ReadKind::Deletion => "deletion",
        ReadKind::Changed => "changed",
        ReadKind::Bucket(_) => "bucket",
    }
}

impl FrontEnd {
    pub fn new(settings: SyncSettings, seed: u64, region: usize, now: f64) -> FrontEnd {
        let core = ConfigSync::new(settings, GatewaySchema, seed, now)
            .expect("the test's settings are valid");
        FrontEnd {
            core,
            region,
            is_paused: false,
            partition: Some(0),
            member: (seed as usize) % MEMBERS,
            is_connected: false,
            snapshots: vec![],
            report: None,
            applied: vec![],
            traffic: Traffic::default(),
            latency: LATENCY,
            fragment_size: usize::MAX,
            max_reconnect_delay: 2.0,
            reconnect_at: now,
            reconnect_random: seed,
            watch: None,
            watches: 0,
            inbox: VecDeque::new(),
            stream_until: now,
        }
    }

    /// Restarts from the snapshots on disk.
    pub fn restart(&mut self, settings: SyncSettings, seed: u64, now: f64) {
        let restarted = FrontEnd::new(settings, seed, self.region, now);
        let snapshots = std::mem::take(&mut self.snapshots);
        *self = FrontEnd {
            snapshots,
            partition: self.partition,
            latency: self.latency,
            ..restarted
        };
        let newest_first: Vec<&[u8]> = self.snapshots.iter().rev().map(Vec::as_slice).collect();
        self.core.restore(now, &newest_first);
    }

    /// Runs one step of the host.
    pub fn step(&mut self, now: f64, store: &mut Store) {
        self.push_events(now, store);
        if self.is_paused {
            return;
        }
        self.check_connection(now, store);
        while self.inbox.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, message)) = self.inbox.pop_front() else {
                break;
            };
            self.receive(now, message);
        }
        while let Some(action) = self.core.poll(now) {
            self.perform(now, action, store);
        }
    }

    fn reaches(&self, store: &Store, member: usize) -> bool {
        store.members[member].is_alive && self.partition == Some(store.members[member].partition)
    }

    fn check_connection(&mut self, now: f64, store: &Store) {
        if self.is_connected && !self.reaches(store, self.member) {
            self.disconnect(now);
        }
        if !self.is_connected && now >= self.reconnect_at {
            self.member = (self.member + 1) % MEMBERS;
            if self.reaches(store, self.member) {
                self.is_connected = true;
                self.core.on_connected(now);
            } else {
                self.delay_reconnect(now);
            }
        }
    }

    pub fn disconnect(&mut self, now: f64) {
        self.is_connected = false;
        self.inbox.clear();
        self.watch = None;
        self.stream_until = now;
        self.core.on_disconnected(now);
        self.delay_reconnect(now);
    }

    fn delay_reconnect(&mut self, now: f64) {
        // A linear congruential generator, so that runs are reproducible.
        self.reconnect_random = self
            .reconnect_random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let fraction = (self.reconnect_random >> 33) as f64 / (1u64 << 31) as f64;
        self.reconnect_at = now + self.max_reconnect_delay * fraction;
    }

    /// Receives only the answer to a barrier that is in flight.
    pub fn receive_barrier(&mut self, now: f64) {
        let is_barrier = |(_, message): &(f64, Message)| matches!(message, Message::Barrier(_));
        let position = self
            .inbox
            .iter()
            .position(is_barrier)
            .expect("an answer is in flight");
        if let Some((_, message)) = self.inbox.remove(position) {
            self.receive(now, message);
        }
    }

    /// Whether the answer to a barrier is in flight.
    pub fn is_barrier_in_flight(&self) -> bool {
        self.inbox
            .iter()
            .any(|(_, message)| matches!(message, Message::Barrier(_)))
    }

    fn send(&mut self, now: f64, bytes: usize, message: Message) {
        self.count_bytes(now, bytes);
        let due = now + self.latency;
        let position = self
            .inbox
            .iter()
            .position(|(other, _)| *other > due)
            .unwrap_or(self.inbox.len());
        self.inbox.insert(position, (due, message));
    }

    fn count_bytes(&mut self, now: f64, bytes: usize) {
        *self.traffic.by_second.entry(now as u64).or_default() += bytes;
    }

    fn receive(&mut self, now: f64, message: Message) {
        let current = self.watch.map_or(self.watches, |watch| watch.number);
        match message {
            Message::Batch { watch, batch } if watch == current => {
                self.core.on_watch_batch(now, batch)
            }
            Message::Progress { watch, header } if watch == current => {
                self.core.on_watch_progress(now, header)
            }
            Message::Compacted { watch, revision } if watch == current => {
                self.core.on_watch_compacted(now, revision);
            }
            Message::Batch { .. } | Message::Progress { .. } | Message::Compacted { .. } => {}
            Message::Range(answer) => self.core.on_range_answer(now, answer),
            Message::Barrier(answer) => self.core.on_barrier_answer(now, answer),
            Message::Failed(id, failure) => self.core.on_request_failed(now, id, failure),
            Message::Reported(sequence) => self.core.on_reported(now, sequence),
        }
    }

    fn perform(&mut self, now: f64, action: Action<GatewayEntry>, store: &mut Store) {
        match action {
            Action::Watch { from_revision } => {
                self.watches += 1;
                let watch = WatchState {
                    number: self.watches,
                    next: from_revision,
                    wants_progress: false,
                };
                self.watch = Some(watch);
            }
            Action::CancelWatch => {
                self.watch = None;
                self.switch_member(store);
            }
            Action::RequestProgress => {
                if let Some(watch) = &mut self.watch {
                    watch.wants_progress = true;
                }
            }
            Action::Read(request) => self.read(now, &request, store),
            Action::Barrier { id } => self.barrier(now, id, store),
            Action::WriteSnapshot { bytes, .. } => {
                self.snapshots.push(bytes);
                if self.snapshots.len() > 2 {
                    self.snapshots.remove(0);
                }
            }
            Action::Report(report) => self.put_report(now, report, store),
            Action::Apply(view) => self.applied.push(view),
        }
    }

    /// Switches to another reachable member after a watch was cancelled.
    fn switch_member(&mut self, store: &Store) {
        let others = (1..MEMBERS).map(|offset| (self.member + offset) % MEMBERS);
        if let Some(other) = others
            .into_iter()
            .find(|member| self.reaches(store, *member))
        {
            self.member = other;
        }
    }
}
