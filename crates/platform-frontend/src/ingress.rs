//! Clients: what they ask, checked, and what they are told where it is not taken.

use crate::clients::{self, PendingInvocation};
use crate::front::{Front, READS};
use crate::host_state::OpenInvocation;
use orchidtally_dispatch_policy::interface::Idempotency;
use orchidtally_engine::{AdmissionError, InvocationRequest};
use orchidtally_platform_client_protocol as frames;
use orchidtally_socket_io::turn::ReadOutcome;
use tracing::debug;

/// The longest that a client may say it waits: a day would only hold a place.
const LONGEST_ALLOW_MS: f64 = 600_000.0;
/// A token's length at the most.
const LONGEST_TOKEN: usize = 256;

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A figure of a client: a number within bounds.
fn figure(text: &str, least: f64, most: f64) -> Option<f64> {
    text.parse::<f64>()
        .ok()
        .filter(|n| (least..=most).contains(n))
}

impl Front {
    pub fn read_client(&mut self, now: f64, slot: usize) {
        self.read_frames(now, slot);
        let Some(client) = self
            .host
            .clients
            .get_mut(slot)
            .filter(|c| c.ending.is_none())
        else {
            return;
        };
        if client.full {
            if client.holds_too_much() {
                client.answer(
                    0,
                    frames::ERRORED,
                    &[],
                    b"more is asked than answers are read",
                );
                self.end_client(now, slot);
            }
            return;
        }
        let (guest, asked) = (client.guest, client.asked);
        for pending in std::mem::take(&mut client.pending) {
            self.invoke(slot, &pending, guest);
        }
        if guest && asked {
            self.end_client(now, slot);
        }
    }

    /// Reads what there is, also where nothing is taken: its end, and what it takes back, are to be seen at once.
    /// Invocations are taken after that, but for those that were withdrawn by then: guards against clients that take
    /// back hundreds at once, each of which would have had its placement.
    fn read_frames(&mut self, now: f64, slot: usize) {
        for _ in 0..READS {
            let Some(client) = self.host.clients.get_mut(slot) else {
                return;
            };
            client.full = client.socket.waiting() > clients::BACKLOG;
            match client.socket.read(&mut self.buffer) {
                Ok(ReadOutcome::Nothing) => {
                    if client.socket.waiting() > 0 {
                        self.host.touch_client(slot);
                    }
                    return;
                }
                Ok(ReadOutcome::Bytes(n)) if client.ending.is_some() => {
                    if !client.reads_over(n) {
                        return self.close_client(now, slot);
                    }
                }
                Ok(ReadOutcome::Bytes(n)) => {
                    client.decoder.push(&self.buffer[..n]);
                    if let Err(fault) = self.frames(now, slot) {
                        self.counts.unreadable += 1;
                        if let Some(client) = self.host.clients.get_mut(slot) {
                            client.answer(0, frames::ERRORED, &[], fault.0.as_bytes());
                        }
                        return self.end_client(now, slot);
                    }
                }
                Ok(ReadOutcome::End) | Err(_) => return self.close_client(now, slot),
            }
        }
        self.again.push_back(clients::token(slot));
    }

    fn frames(&mut self, now: f64, slot: usize) -> Result<(), frames::ProtocolError> {
        let mut whole = false;
        loop {
            let Some(client) = self.host.clients.get_mut(slot) else {
                return Ok(());
            };
            let Some(frame) = client.decoder.next_frame()? else {
                break;
            };
            whole = true;
            let stream = frame.stream;
            match frame.kind {
                frames::INVOKE => {
                    if stream <= client.last_stream {
                        return Err(frames::ProtocolError("a stream's number was used before"));
                    }
                    client.last_stream = stream;
                    let payload = frame.payload.map(<[u8]>::to_vec);
                    let at = self.host.clock.arrived_by(now);
                    client.pending.push(PendingInvocation {
                        at,
                        stream,
                        payload,
                    });
                }
                frames::CANCEL => {
                    client.pending.retain(|f| f.stream != stream);
                    if let Some(&inv) = client.open.get(&stream) {
                        self.host.drop_invocation(inv);
                        self.engine.on_client_cancel(now, inv, &mut self.host);
                    }
                }
                frames::READINESS_QUERY => {
                    // With nobody who could tell of any executor it serves what comes all the same.
                    let known = !self.host.executors.is_empty() || self.resolver.is_quiet();
                    let ready = self.leaving_since.is_none() && known;
                    let code = if ready {
                        frames::READY_CODE
                    } else {
                        frames::NOT_READY_CODE
                    };
                    frames::write_frame(
                        client.socket.out(),
                        frames::READINESS,
                        stream,
                        Some(code),
                        Some(&[]),
                        &[],
                    );
                    self.host.touch_client(slot);
                }
                _ => {
                    return Err(frames::ProtocolError(
                        "a frame of a type that clients don't send",
                    ));
                }
            }
        }
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.heard(now, whole);
        }
        Ok(())
    }

    /// Takes an invocation, or answers why not.
    fn invoke(&mut self, slot: usize, pending: &PendingInvocation, guest: bool) {
        let (stream, now) = (pending.stream, pending.at);
        let read = pending
            .payload
            .as_deref()
            .ok_or("the frame is too long for an invocation");
        let (code, cooldown, why) = match read.and_then(|p| self.offer(now, slot, stream, p)) {
            Err(why) => {
                self.counts.unusable += 1;
                (frames::ERRORED, 0.0, why)
            }
            Ok((offer, work)) => {
                let full = guest
                    || self
                        .host
                        .clients
                        .get(slot)
                        .is_none_or(|c| c.open.len() >= clients::MOST_OPEN)
                    || self.host.kept + work.body.len() > self.most_held;
                let taken = if full {
                    Err(AdmissionError::AtCapacity)
                } else {
                    self.host.taking = Some(work);
                    self.engine.admit(self.host.now, &offer, &mut self.host)
                };
                self.host.taking = None;
                match taken {
                    Ok(_) => return,
                    Err(AdmissionError::AtCapacity) => (
                        frames::THROTTLED,
                        self.host.longest_stay_away,
                        "too much is open",
                    ),
                    Err(AdmissionError::ShuttingDown) => {
                        self.quiet_since = None;
                        (frames::THROTTLED, 0.0, "the front end is ending")
                    }
                }
            }
        };
        debug!(why, "not taken");
        self.counts.turned_away += u64::from(code == frames::THROTTLED);
        let ms = format!("{}", (cooldown * 1e3).ceil());
        let fields = [("cooldown", ms.as_str())];
        if let Some(client) = self.host.clients.get_mut(slot) {
            client.answer(
                stream,
                code,
                if cooldown > 0.0 { &fields } else { &[] },
                why.as_bytes(),
            );
        }
        self.host.touch_client(slot);
    }

    /// What a client asks, checked; or what is wrong with it.
    pub fn offer(
        &self,
        now: f64,
        client: usize,
        stream: u32,
        payload: &[u8],
    ) -> Result<(InvocationRequest, OpenInvocation), &'static str> {
        let (fields, body) = frames::parse_fields(payload).map_err(|e| e.0)?;
        if body.len() > frames::MAX_BODY_LENGTH {
            return Err("the body is over 16 KiB");
        }
        let field = |name: &str| fields.iter().find(|f| f.0 == name).map(|f| f.1);
        let service = field("service").ok_or("no 'service'")?;
        let trigger_type = self
            .settings
            .trigger_types
            .iter()
            .position(|t| t == service);
        let trigger_type = trigger_type.ok_or("'service' names nothing that is served")?;
        let ty = &self.settings.policy.trigger_types[trigger_type];
        let id = field("ref")
            .filter(|id| hex(id).is_some())
            .ok_or("'ref' is not 16 hex digits")?;
        if self.host.ids.contains(id) {
            return Err("'ref' is that of an open invocation");
        }
        let function_text = field("lookup").ok_or("no 'lookup'")?;
        let function = hex(function_text).ok_or("'lookup' is not 16 hex digits")?;
        let allow = field("allow").and_then(|a| figure(a, 1.0, LONGEST_ALLOW_MS));
        let allow = allow.ok_or("'allow' is no number of milliseconds that can be waited")?;
        let repeat = match field("dup") {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err("'dup' is neither 1 nor absent"),
        };
        // Who names no customer is within nobody's share, and takes of none.
        let customers = &self.settings.customers;
        let customer = match field("project").filter(|_| !customers.is_empty()) {
            None => customers.len(),
            Some(name) => customers
                .iter()
                .position(|c| c == name)
                .ok_or("'project' names no customer")?,
        };
        let token = field("replay");
        if token.is_some_and(|t| t.is_empty() || t.len() > LONGEST_TOKEN) {
            return Err("'replay' is empty or too long");
        }
        if token.is_none() && ty.idempotency == Idempotency::Keyed {
            return Err("no 'replay', which this 'service' needs");
        }
        let (mut lanes, mut load_time) = (1.0, None);
        for tag in field("tags")
            .unwrap_or_default()
            .split(';')
            .filter(|t| !t.is_empty())
        {
            let (name, value) = tag
                .split_once(':')
                .ok_or("'tags' has no form that can be read")?;
            match name {
                "memory_mb" => _ = figure(value, 0.0, 1e7).ok_or("'memory_mb' is out of range")?,
                "lanes" => lanes = figure(value, 1.0, 1e4).ok_or("'lanes' is out of range")?,
                "load_ms" => {
                    load_time =
                        Some(figure(value, 0.0, 3.6e6).ok_or("'load_ms' is out of range")? / 1e3)
                }
                _ => {}
            }
        }
        let timeout_at = now + (allow / 1e3).min(ty.client_timeout);
        let offer = InvocationRequest {
            trigger_type,
            customer,
            function,
            is_retry: repeat,
            is_migrated: false,
            timeout_at,
            expected_work: None,
            concurrency: lanes,
            load_time,
        };
        let work = OpenInvocation {
            client,
            stream,
            id: id.into(),
            trigger_type,
            function: function_text.into(),
            token: token.map(str::to_owned),
            body: body.to_vec(),
            timeout_at,
        };
        Ok((offer, work))
    }
}
