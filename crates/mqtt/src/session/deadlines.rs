//! Keep alive, and timeouts for the server's responses.

use super::{ConnectionError, ConnectionState, Event, Session};
use crate::packet::Packet;

/// The timeout of a ping as a fraction of the keep alive.
const PING_TIMEOUT_SHARE: f64 = 0.5;
/// The timeout in seconds of a CONNECT or a SUBSCRIBE, and of a ping if there is no keep alive.
const REQUEST_TIMEOUT: f64 = 10.0;

/// A PINGREQ that the server has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Ping {
    sent_at: f64,
    /// Whether it is the first ping of the connection. The server sends its redeliveries before the PINGRESP.
    follows_connect: bool,
    /// The numbers of the deliveries that were acknowledged by PUBACK before the ping.
    acknowledged: Vec<u64>,
}

/// A SUBSCRIBE that the server has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingSubscribe {
    pub(super) id: u16,
    pub(super) sent_at: f64,
}

impl Session {
    /// Sends a ping if there are unconfirmed PUBACKs and no ping is outstanding. A server processes the packets of a
    /// connection in order, so that its PINGRESP confirms all earlier PUBACKs.
    pub(super) fn request_confirmation(&mut self, now: f64) {
        if self.options.requests_confirmation && self.ping.is_none() && !self.unconfirmed.is_empty()
        {
            self.send_ping(now, false);
        }
    }

    pub(super) fn send_ping(&mut self, now: f64, follows_connect: bool) {
        let acknowledged = std::mem::take(&mut self.unconfirmed);
        self.ping = Some(Ping {
            sent_at: now,
            follows_connect,
            acknowledged,
        });
        self.send(now, Packet::PingReq);
    }

    /// Handles a PINGRESP.
    pub(super) fn ping_answered(&mut self, now: f64) -> Vec<Event> {
        let Some(ping) = self.ping.take() else {
            return vec![];
        };
        let confirmed = ping
            .acknowledged
            .into_iter()
            .map(|number| Event::Confirmed { number });
        let mut events: Vec<Event> = confirmed.collect();
        if ping.follows_connect {
            events.push(Event::Resumed);
        }
        self.request_confirmation(now);
        events
    }

    /// The time at which `tick` has to be called next.
    pub fn next_tick_at(&self) -> f64 {
        let connected_by = match self.state {
            ConnectionState::Disconnected => return f64::INFINITY,
            ConnectionState::Connecting(sent_at) => sent_at + REQUEST_TIMEOUT,
            ConnectionState::Connected => f64::INFINITY,
        };
        let subscribed_by = self
            .pending_subscribe
            .as_ref()
            .map_or(f64::INFINITY, |request| request.sent_at + REQUEST_TIMEOUT);
        let ping_at = match &self.ping {
            _ if !self.is_connected() => f64::INFINITY,
            Some(ping) => ping.sent_at + self.ping_timeout(),
            None if self.keep_alive > 0.0 => self.last_sent_at + self.keep_alive,
            None => f64::INFINITY,
        };
        connected_by.min(subscribed_by).min(ping_at)
    }

    fn ping_timeout(&self) -> f64 {
        if self.keep_alive > 0.0 {
            PING_TIMEOUT_SHARE * self.keep_alive
        } else {
            REQUEST_TIMEOUT
        }
    }

    /// Sends a ping if one is due. Returns an error if the server has not answered in time.
    pub fn tick(&mut self, now: f64) -> Result<(), ConnectionError> {
        if now < self.next_tick_at() {
            return Ok(());
        }
        let is_late = |sent_at: f64| now >= sent_at + REQUEST_TIMEOUT;
        let is_silent = matches!(self.state, ConnectionState::Connecting(sent_at) if is_late(sent_at))
            || self
                .pending_subscribe
                .as_ref()
                .is_some_and(|request| is_late(request.sent_at))
            || self
                .ping
                .as_ref()
                .is_some_and(|ping| now >= ping.sent_at + self.ping_timeout());
        if is_silent {
            return Err(ConnectionError::Timeout);
        }
        self.send_ping(now, false);
        Ok(())
    }
}
