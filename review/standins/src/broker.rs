//! A broker for one client: MQTT 5, QoS 2 both ways.

use crate::Record;
use bytes::{Bytes, BytesMut};
use orchidtally_mqtt::packet::*;
use orchidtally_mqtt::{decode, encode};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest packet that is read, in bytes.
const MAX_PACKET: usize = 1 << 20;
/// The packet identifier of the message that the broker delivers.
const MESSAGE_ID: u16 = 1;

/// What has happened at the broker.
#[derive(Default)]
pub struct Events {
    /// The client has subscribed.
    pub subscribed: AtomicBool,
    /// The client has completed the exchange of the message (PUBCOMP): it is the client's alone.
    pub completed: AtomicBool,
    /// The client has completed the publication of an answer (PUBREL).
    pub answered: AtomicBool,
    /// Set by the case: the broker ends all connections and takes no new ones.
    pub stops: AtomicBool,
}

/// A broker that serves one client.
pub struct Broker {
    pub address: SocketAddr,
    pub events: Arc<Events>,
    stream: Arc<Mutex<Option<TcpStream>>>,
}

fn send(stream: &mut TcpStream, packet: &Packet) {
    if let Ok(bytes) = encode(packet, Version::V5) {
        let _ = stream.write_all(&bytes);
    }
}

fn ack(id: u16) -> Ack {
    Ack {
        id,
        ..Ack::default()
    }
}

impl Broker {
    pub fn start(record: Arc<Record>) -> Broker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        listener
            .set_nonblocking(true)
            .expect("the listener can be polled");
        let events: Arc<Events> = Arc::default();
        let stream: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let (known, current) = (events.clone(), stream.clone());
        std::thread::spawn(move || {
            while !known.stops.load(Ordering::SeqCst) {
                let Ok((connection, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(5));
                    continue;
                };
                let _ = connection.set_nonblocking(false);
                if let (Ok(copy), Ok(mut current)) = (connection.try_clone(), current.lock()) {
                    *current = Some(copy);
                }
                let (known, record) = (known.clone(), record.clone());
                std::thread::spawn(move || serve(connection, &known, &record));
            }
            if let Ok(Some(connection)) = current.lock().as_deref() {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
            // The listener ends here: connections are refused from now on.
        });
        Broker {
            address,
            events,
            stream,
        }
    }

    /// Delivers a message with QoS 2, whose answer is wanted on a topic.
    pub fn deliver(&self, topic: &str, answer_topic: &str, payload: &str) {
        let publish = Publish {
            qos: Qos::ExactlyOnce,
            topic: topic.to_owned(),
            id: MESSAGE_ID,
            properties: vec![Property::ResponseTopic(answer_topic.to_owned())],
            payload: Bytes::copy_from_slice(payload.as_bytes()),
            ..Publish::default()
        };
        if let Ok(Some(stream)) = self.stream.lock().as_deref_mut() {
            send(stream, &Packet::Publish(publish));
        }
    }

    /// Ends the connection and the listener.
    pub fn stop(&self) {
        self.events.stops.store(true, Ordering::SeqCst);
    }
}

fn serve(mut stream: TcpStream, events: &Events, record: &Record) {
    let (mut buffer, mut bytes) = (BytesMut::new(), [0; 4096]);
    loop {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
            _ => return record.line("broker: the connection has ended"),
        }
        while let Ok(Some((_, packet))) = decode(&mut buffer, Version::V5, MAX_PACKET) {
            match packet {
                Packet::Connect(_) => send(&mut stream, &Packet::ConnAck(ConnAck::default())),
                Packet::Subscribe(subscribe) => {
                    let granted = Codes {
                        id: subscribe.id,
                        codes: vec![2; subscribe.filters.len()],
                        ..Codes::default()
                    };
                    send(&mut stream, &Packet::SubAck(granted));
                    events.subscribed.store(true, Ordering::SeqCst);
                }
                Packet::PingReq => send(&mut stream, &Packet::PingResp),
                Packet::PubRec(got) => send(&mut stream, &Packet::PubRel(ack(got.id))),
                Packet::PubComp(_) => {
                    record.line("broker: the message is the front end's (PUBCOMP)");
                    events.completed.store(true, Ordering::SeqCst);
                }
                Packet::Publish(answer) => {
                    record.line(format!("broker: an answer on {}", answer.topic));
                    send(&mut stream, &Packet::PubRec(ack(answer.id)));
                }
                Packet::PubRel(got) => {
                    send(&mut stream, &Packet::PubComp(ack(got.id)));
                    events.answered.store(true, Ordering::SeqCst);
                }
                _ => {}
            }
        }
    }
}
