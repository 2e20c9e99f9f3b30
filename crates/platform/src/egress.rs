//! Executors: what they answer, and what the end of a connection proves.

use crate::floor::ORDER;
use crate::front::{Front, READS};
use crate::links;
use orchidtally::interface::{Ending, Found};
use orchidtally_engine::Told;
use orchidtally_engine::evidence::{self, Transport};
use orchidtally_lines::{Answer, Tell, Word};
use orchidtally_net::turn::Brought;
use tracing::debug;

/// What the module is told of an answer's ending.
fn ending(word: Word) -> Transport {
    match word {
        Word::Done => Transport::Answered(Ending::Ok),
        Word::Lack => Transport::Answered(Ending::Miss),
        Word::Wait => Transport::Answered(Ending::Full),
        Word::Broke => Transport::Answered(Ending::Error),
        Word::Past => Transport::Answered(Ending::NeverSent),
        // No answer to a dispatch or an order.
        Word::Fit | Word::Unfit => Transport::Malformed,
    }
}

impl Front {
    /// Reads what there is; tells whether the connection still stands.
    pub fn read_link(&mut self, now: f64, slot: usize) -> bool {
        let Some(link) = self.floor.links.get_mut(slot) else { return false };
        if !link.connected {
            match link.socket.is_connected() {
                Ok(false) => return true,
                Ok(true) => {
                    link.connected = true;
                    link.heard(now);
                    let took = now - link.begun_at;
                    if let Some(executor) = self.floor.executors.get_mut(&link.to) {
                        executor.reach = executor.reach.min(took);
                    }
                    self.counts.links_made += 1;
                    self.floor.touch_link(slot);
                }
                Err(fault) => {
                    self.dissolve(now, slot, Transport::NoConnection, &fault.to_string());
                    return false;
                }
            }
        }
        for _ in 0..READS {
            let Some(link) = self.floor.links.get_mut(slot) else { return false };
            match link.socket.read(&mut self.buffer) {
                Ok(Brought::Nothing) => {
                    if link.socket.waiting() > 0 || !link.queue.is_empty() {
                        self.floor.touch_link(slot);
                    }
                    return true;
                }
                Ok(Brought::Bytes(n)) => {
                    link.decoder.push(&self.buffer[..n]);
                    loop {
                        let Some(link) = self.floor.links.get_mut(slot) else { return false };
                        match link.decoder.read() {
                            Ok(None) => break link.heard(now),
                            Ok(Some(answer)) => self.answered(now, slot, answer),
                            Err(fault) => {
                                self.dissolve(now, slot, Transport::Malformed, &fault.0);
                                return false;
                            }
                        }
                    }
                }
                Ok(Brought::End) => {
                    self.dissolve(now, slot, Transport::Broken, "closed by the executor");
                    return false;
                }
                Err(fault) => {
                    self.dissolve(now, slot, Transport::Broken, &fault.to_string());
                    return false;
                }
            }
        }
        self.again.push_back(links::token(slot));
        true
    }

    fn answered(&mut self, now: f64, slot: usize, answer: Answer) {
        let Some(link) = self.floor.links.get_mut(slot) else { return };
        (link.heard_at, link.idle_since, link.answered) = (now, now, true);
        if let Some(tag) = answer.id.strip_prefix(ORDER).and_then(|t| t.parse().ok()) {
            return self.ordered(now, tag, ending(answer.word), answer.count);
        }
        let there = link.open.get(answer.id.as_str()).is_some_and(|o| o.from.is_some());
        let Some(out) = there.then(|| link.open.remove(answer.id.as_str())).flatten() else {
            // Of one given up, a second copy, or of nothing that was asked.
            return link.settled(&answer.id);
        };
        link.said(now, answer.id.as_str().into());
        self.floor.outs.remove(&(out.inv, out.dispatch));
        if answer.word != Word::Done {
            let executor = self.floor.executors.get(&link.to).map(|e| e.name.as_str());
            debug!(executor, word = ?answer.word, tell = ?answer.tell, after = now - out.at, "no success");
        }
        self.floor.brought = answer.body;
        let found = match answer.tell {
            Tell::Nothing => Found::Untold,
            Tell::Warm => Found::Warm,
            Tell::Cold => Found::Loaded,
            Tell::Joined => Found::Waited,
            Tell::LoadFailed => Found::LoadFailed,
        };
        let report = orchidtally_lines::report(&answer.meter, &self.grounds.report);
        let told = Told { found, crowd: answer.crowd, report: &report };
        let ending = evidence::ending(ending(answer.word));
        self.engine.ended(now, out.inv, out.dispatch, ending, told, &mut self.floor);
        self.floor.brought = vec![];
    }

    /// An order to load has come to its end.
    pub fn ordered(&mut self, now: f64, tag: u64, seen: Transport, count: u32) {
        let Some(order) = self.floor.orders.remove(&tag) else { return };
        if let Some(link) = self.floor.links.get_mut(order.link) {
            link.orders.remove(&tag);
        }
        let ending = match evidence::ending(seen) {
            // One that only asked.
            Ending::Ok if order.copies == 0 && count == 0 => Ending::Miss,
            ending => ending,
        };
        self.engine.held(now, order.to, order.function, ending, &mut self.floor);
    }

    /// Ends a connection to an executor, and with it all that is open on it.
    pub fn dissolve(&mut self, now: f64, slot: usize, seen: Transport, why: &str) {
        let Some(mut link) = self.floor.links.try_remove(slot) else { return };
        // One whose socket is gone already needs no more.
        let _ = self.poll.registry().deregister(&mut link.socket.stream);
        if let Some(executor) = self.floor.executors.get_mut(&link.to) {
            executor.links.retain(|&l| l != slot);
            if !link.is_idle() {
                self.counts.links_lost += 1;
                debug!(executor = executor.name, open = link.open.len(), why, "lost a connection");
            }
            if !executor.listed && executor.links.is_empty() {
                self.floor.executors.remove(&link.to);
            }
        }
        let again = link.connected || self.floor.stands(link.to, now);
        self.floor.send_again(link.to, link.take_unwritten(), again);
        for (id, out) in &link.open {
            self.floor.outs.remove(&(out.inv, out.dispatch));
            self.floor.note_given_up(id, link.to);
        }
        // An answer that breaks off was begun: the executor is there, as it is where it sent what can't be read.
        let seen =
            if seen == Transport::Broken && link.decoder.is_within() { Transport::Malformed } else { seen };
        self.severed.push_back((now, seen, link));
    }

    /// Judges what ended connections leave: where another stands, the process did not end.
    pub fn judge_severed(&mut self, now: f64) {
        for _ in 0..self.severed.len() {
            let Some((at, seen, link)) = self.severed.pop_front() else { return };
            let stands = self.floor.stands(link.to, at);
            if seen == Transport::Broken && stands && now < at + links::ALL_RESET {
                self.severed.push_back((at, seen, link));
                continue;
            }
            let one_of_several = seen == Transport::Malformed || stands;
            for (out, verdict) in link.verdicts(seen) {
                let ending = evidence::ending(if one_of_several { verdict } else { seen });
                let told = orchidtally_engine::NOTHING_TOLD;
                self.engine.ended(now, out.inv, out.dispatch, ending, told, &mut self.floor);
            }
            for &tag in link.orders.keys() {
                self.ordered(now, tag, if one_of_several { Transport::Cut } else { seen }, 0);
            }
        }
    }
}
