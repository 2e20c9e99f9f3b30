//! Signals: another resolver, and the end.

use crate::clients::Client;
use crate::front::{Front, RESOLVER};
use crate::log_budget::LogBudget;
use crate::start;
use orchidtally_platform_client_protocol as frames;
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
/// Where it could not be used until then it is tried again after pauses that double up to this, until it can be: given up,
/// the resolver that was asked before would be asked for good.
const LONGEST_REREAD_PAUSE: f64 = 4.0;

/// Reads of the file after SIGHUP.
#[derive(Debug)]
pub struct Reread {
    /// It is read again until then, and on while it can't be used.
    until: f64,
    /// When next; infinity for never.
    at: f64,
    pause: f64,
    log: LogBudget,
}

impl Default for Reread {
    fn default() -> Reread {
        Reread {
            until: f64::NEG_INFINITY,
            at: f64::INFINITY,
            pause: REREAD_EVERY,
            log: LogBudget::default(),
        }
    }
}

impl Reread {
    /// A signal has come.
    fn begin(&mut self, now: f64) {
        (self.until, self.at, self.pause) = (now + REREAD_FOR, now, REREAD_EVERY);
    }

    fn is_due(&self, now: f64) -> bool {
        now >= self.at
    }

    /// It was read; sets when it is again.
    fn done(&mut self, now: f64, was_used: bool) {
        if now < self.until {
            self.at = now + REREAD_EVERY;
        } else if was_used {
            self.at = f64::INFINITY;
        } else {
            self.pause = (2.0 * self.pause).min(LONGEST_REREAD_PAUSE);
            self.at = now + self.pause;
        }
    }
}

impl Front {
    pub fn signalled(&mut self, now: f64, signal: i32) {
        if signal != SIGHUP {
            info!(signal, "told to end");
            self.leaving_since.get_or_insert(now);
            return;
        }
        self.reread.begin(now);
        self.reread(now);
    }

    /// Takes the resolver's address from the file after SIGHUP, as often as it may still change and until it can be.
    pub fn reread(&mut self, now: f64) {
        if !self.reread.is_due(now) {
            return;
        }
        let was_used = match start::read(&self.file) {
            Err(fault) => {
                self.note_unusable(now, &fault.to_string());
                false
            }
            Ok(new) if new.resolver == self.resolver.at() => true,
            Ok(new) => match self
                .resolver
                .turn_to(new.resolver, self.poll.registry(), RESOLVER)
            {
                Ok(()) => {
                    info!(resolver = %new.resolver, "asks another resolver");
                    true
                }
                Err(fault) => {
                    self.note_unusable(now, &fault.to_string());
                    false
                }
            },
        };
        self.reread.done(now, was_used);
    }

    fn note_unusable(&mut self, now: f64, fault: &str) {
        if let Some(left_out) = self.reread.log.admit(now) {
            let asked = self.resolver.at();
            warn!(fault, %asked, left_out, "the new file can't be used yet; the old one stays, it is read again");
        }
    }

    /// Some time after it was told to end nothing new is taken, and clients are told so.
    pub fn stop_taking(&mut self, now: f64) {
        if self.listener.is_none()
            || self
                .leaving_since
                .is_none_or(|since| now <= since + SERVE_ON)
        {
            return;
        }
        // Who waits to be accepted is told with the others: no more can wait than one look takes.
        self.accept(now);
        let Some(mut listener) = self.listener.take() else {
            return;
        };
        // The process ends anyway.
        let _ = self.poll.registry().deregister(&mut listener);
        self.engine.start_draining();
        let end_by = self.killed_at() - SOONER;
        self.host
            .invocations
            .values_mut()
            .for_each(|w| w.timeout_at = w.timeout_at.min(end_by));
        self.engine.begin_shutdown(now, end_by, &mut self.host);
        info!(
            open = self.engine.open_invocations(),
            clients = self.host.clients.len(),
            "nothing new is taken"
        );
        let all: Vec<usize> = self.host.clients.iter().map(|(slot, _)| slot).collect();
        for slot in all {
            frames::write_frame(
                self.host.clients[slot].socket.out(),
                frames::GO_AWAY,
                0,
                None,
                None,
                &[],
            );
            self.host.touch_client(slot);
        }
    }

    /// When the process may be killed, once it was told to end.
    fn killed_at(&self) -> f64 {
        let longest = self
            .settings
            .policy
            .trigger_types
            .iter()
            .map(|t| t.client_timeout)
            .fold(0.0, f64::max);
        self.leaving_since.map_or(f64::INFINITY, |since| {
            since + longest.min(LONGEST_COUNTED) + KILLED_AFTER
        })
    }

    /// Told to end, nothing open, and clients had the time to read.
    pub fn is_over(&mut self, now: f64) -> bool {
        if self.listener.is_some() || self.engine.open_invocations() > 0 {
            self.quiet_since = None;
            return false;
        }
        if now > self.killed_at() - SOONER / 3.0 {
            return true;
        }
        let is_done = |c: &Client| c.socket.waiting() == 0 && c.is_idle() && !c.is_within();
        if !self
            .host
            .clients
            .iter()
            .all(|(_, c)| c.ending.is_some() || is_done(c))
        {
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
