//! Asks the resolver for the list of executors, over and over.

use mio::net::UdpSocket;
use mio::{Interest, Registry};
use orchidtally_resolver::{Entry, LONGEST, Places};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// An event counts as told 1.5 s after it happened: asked this often, several answers may be lost by then.
const ASK_EVERY: f64 = 0.2;
/// A query without a good answer by then is lost, or its answer was no good; another is asked.
const ANSWER_WITHIN: f64 = 0.15;

pub struct Resolver {
    socket: UdpSocket,
    at: SocketAddr,
    /// The id of the query that is out, and when it was asked.
    asked: Option<(u16, f64)>,
    next_at: f64,
    serial: u32,
    buffer: Box<[u8]>,
    /// Answers that could not be used, since the last good one.
    pub bad: u64,
}

fn socket(at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<UdpSocket> {
    let any: IpAddr =
        if at.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { std::net::Ipv6Addr::UNSPECIFIED.into() };
    let mut socket = UdpSocket::bind(SocketAddr::new(any, 0))?;
    // What others send is not received then.
    socket.connect(at)?;
    registry.register(&mut socket, token, Interest::READABLE)?;
    Ok(socket)
}

impl Resolver {
    pub fn new(at: SocketAddr, serial: u32, registry: &Registry, token: mio::Token) -> io::Result<Resolver> {
        let socket = socket(at, registry, token)?;
        let buffer = vec![0; LONGEST].into();
        Ok(Resolver { socket, at, asked: None, next_at: 0.0, serial, buffer, bad: 0 })
    }

    /// Asks at another address from now on. The numbers of events go on.
    pub fn turn_to(&mut self, at: SocketAddr, registry: &Registry, token: mio::Token) -> io::Result<()> {
        let socket = socket(at, registry, token)?;
        (self.socket, self.at, self.asked, self.next_at) = (socket, at, None, 0.0);
        Ok(())
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn due_at(&self) -> f64 {
        self.asked.map_or(self.next_at, |(_, at)| at + ANSWER_WITHIN)
    }

    pub fn turn(&mut self, now: f64) {
        if now < self.due_at() {
            return;
        }
        // Ids are drawn, so that no answer to another query fits this one.
        let id = rand::random();
        self.asked = Some((id, now));
        // One that can't be sent is asked again like one whose answer got lost.
        if let Ok(query) = orchidtally_resolver::query(id) {
            let _ = self.socket.send(&query);
        }
    }

    /// Reads what has come; the latest list, if it is newer than the last.
    pub fn read(&mut self, now: f64, places: &mut Places) -> Option<Vec<Entry>> {
        let mut newest = None;
        // A bound on what a flood of answers may hold a turn up.
        for _ in 0..32 {
            let read = match self.socket.recv(&mut self.buffer) {
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // Nobody listens there, for now.
                Err(_) => continue,
            };
            let Some((id, _)) = self.asked else { continue };
            match orchidtally_resolver::answer(&self.buffer[..read], id, self.serial, places) {
                // An older list than was told already comes from a resolver that lags: asked again soon.
                Ok((serial, _)) if serial < self.serial => self.bad += 1,
                Ok((serial, entries)) => {
                    (self.asked, self.next_at, self.bad) = (None, now + ASK_EVERY, 0);
                    self.serial = serial;
                    newest = entries.or(newest);
                }
                Err(fault) => {
                    self.bad += 1;
                    if self.bad.is_power_of_two() {
                        tracing::warn!(fault, bad = self.bad, "an answer of the resolver was passed over");
                    }
                }
            }
        }
        newest
    }
}
