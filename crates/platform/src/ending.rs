//! Signals: another resolver, and the end.

use crate::clients::Client;
use crate::front::{Front, RESOLVER};
use crate::start;
use orchidtally_frames as frames;
use signal_hook::consts::SIGHUP;
use tracing::{info, warn};

/// After SIGTERM clients go on coming for up to 0.6 s; then they are told to come no more. What comes later than 0.7 s
/// has to be answered before the process is killed, which may be 0.7 s after the longest client timeout: from then
/// on nothing is taken, and it is throttled at once.
const SERVE_ON: f64 = 0.65;
/// So long clients have to read their last answers before the process ends, and so long it waits after what a
/// client sent in spite of having been told; until shortly before it may be killed at the most.
const LAST_WORDS: f64 = 0.1;
/// The process may be killed so long after SIGTERM, and the longest client timeout before it, or this where that is
/// longer. All is answered, and read if it is read at all, a moment sooner.
const KILLED_AFTER: f64 = 0.7;
const LONGEST_COUNTED: f64 = 3.0;
const SOONER: f64 = 0.15;
/// After SIGHUP the file is read again this often for so long: it may be half replaced when the signal comes, and
/// nobody tells when it is whole. What the new resolver has to tell counts as told 4 s after the signal.
const REREAD_EVERY: f64 = 0.25;
const REREAD_FOR: f64 = 3.5;

impl Front {
    pub fn signalled(&mut self, now: f64, signal: i32) {
        if signal != SIGHUP {
            info!(signal, "told to end");
            self.leaving_since.get_or_insert(now);
            return;
        }
        self.reread_until = now + REREAD_FOR;
        self.reread(now, true);
    }

    /// Takes the resolver's address from the file after SIGHUP, as often as it may still change.
    pub fn reread(&mut self, now: f64, first: bool) {
        if now < self.reread_at && !first {
            return;
        }
        self.reread_at = if now < self.reread_until { now + REREAD_EVERY } else { f64::INFINITY };
        let last = self.reread_at.is_infinite();
        match start::read(&self.file) {
            Err(fault) if first => {
                warn!(%fault, "the new file can't be used yet; the old one stays, it is read again")
            }
            Err(fault) if last => warn!(%fault, "the new file can't be used; the old one stays"),
            Err(_) => {}
            Ok(new) if new.resolver == self.resolver.at() => {
                if first {
                    info!("the new file names the same resolver");
                }
            }
            Ok(new) => match self.resolver.turn_to(new.resolver, self.poll.registry(), RESOLVER) {
                Ok(()) => info!(resolver = %new.resolver, "asks another resolver"),
                Err(fault) => warn!(%fault, resolver = %new.resolver, "the resolver can't be asked"),
            },
        }
    }

    /// Some time after it was told to end nothing new is taken, and clients are told so.
    pub fn stop_taking(&mut self, now: f64) {
        if self.listener.is_none() || self.leaving_since.is_none_or(|since| now <= since + SERVE_ON) {
            return;
        }
        // Who waits to be accepted is told with the others: no more can wait than one look takes.
        self.accept(now);
        let Some(mut listener) = self.listener.take() else { return };
        // The process ends anyway.
        let _ = self.poll.registry().deregister(&mut listener);
        self.engine.leave();
        let end_by = self.killed_at() - SOONER;
        self.host.invocations.values_mut().for_each(|w| w.timeout_at = w.timeout_at.min(end_by));
        self.engine.end_by(now, end_by, &mut self.host);
        info!(open = self.engine.open(), clients = self.host.clients.len(), "nothing new is taken");
        let all: Vec<usize> = self.host.clients.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            frames::put(self.host.clients[slot].socket.out(), frames::NO_MORE, 0, None, None, &[]);
            self.host.touch_client(slot);
        }
    }

    /// When the process may be killed, once it was told to end.
    fn killed_at(&self) -> f64 {
        let longest = self.grounds.policy.trigger_types.iter().map(|t| t.timeout).fold(0.0, f64::max);
        self.leaving_since.map_or(f64::INFINITY, |since| since + longest.min(LONGEST_COUNTED) + KILLED_AFTER)
    }

    /// Told to end, nothing open, and clients had the time to read.
    pub fn is_over(&mut self, now: f64) -> bool {
        if self.listener.is_some() || self.engine.open() > 0 {
            self.quiet_since = None;
            return false;
        }
        if now > self.killed_at() - SOONER / 3.0 {
            return true;
        }
        let is_done = |c: &Client| c.socket.waiting() == 0 && c.is_idle() && !c.is_within();
        if !self.host.clients.iter().all(|(_, c)| c.ending.is_some() || is_done(c)) {
            self.quiet_since = None;
            return false;
        }
        if now <= *self.quiet_since.get_or_insert(now) + LAST_WORDS {
            return false;
        }
        // What came since this turn began is answered too.
        let all: Vec<usize> = self.host.clients.iter().map(|(slot, _)| slot).collect();
        all.into_iter().for_each(|slot| self.read_client(now, slot));
        self.settle(now);
        self.quiet_since.is_some()
    }
}
