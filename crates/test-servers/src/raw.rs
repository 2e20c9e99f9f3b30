//! A scripted HTTP/2 peer that writes frames by hand, for what no library would send: GOAWAY in the middle of
//! streams, bytes that are no frames, responses that never end. It reads no header fields.

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{TcpListener, TcpStream};

/// The type of a frame, as far as scripts tell them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// DATA.
    Data,
    /// HEADERS.
    Headers,
    /// RST_STREAM.
    Reset,
    /// SETTINGS.
    Settings,
    /// PING.
    Ping,
    /// GOAWAY.
    GoAway,
    /// Any other type, by its number.
    Other(u8),
}

/// A frame as it was received.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The type.
    pub kind: Kind,
    /// The flags.
    pub flags: u8,
    /// The id of the stream; 0 for the connection.
    pub stream: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Whether the peer sends nothing more on the stream.
    pub fn ends_stream(&self) -> bool {
        matches!(self.kind, Kind::Data | Kind::Headers) && self.flags & 1 != 0
    }
}

/// What the script does next.
pub enum Next {
    /// Send these bytes.
    Say(Vec<u8>),
    /// Say it, then end the connection.
    Close(Vec<u8>),
    /// Say it, then reset the connection.
    Break(Vec<u8>),
    /// Read nothing more, and leave the connection open.
    StopReading,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// An empty SETTINGS frame.
pub fn settings() -> Vec<u8> {
    frame(4, 0, 0, &[])
}

/// Response headers that hold `:status: 200` alone.
pub fn ok(stream: u32) -> Vec<u8> {
    frame(1, 4, stream, &[0x88])
}

/// A DATA frame; `ends` sets END_STREAM.
pub fn data(stream: u32, payload: &[u8], ends: bool) -> Vec<u8> {
    frame(0, u8::from(ends), stream, payload)
}

/// A RST_STREAM frame with an error code.
pub fn reset(stream: u32, code: u32) -> Vec<u8> {
    frame(3, 0, stream, &code.to_be_bytes())
}

/// The error code of a stream that was refused before any processing (RFC 9113, section 7).
pub const REFUSED_STREAM: u32 = 7;

/// A GOAWAY frame with the last stream id and an error code.
pub fn go_away(last: u32, code: u32) -> Vec<u8> {
    let mut payload = last.to_be_bytes().to_vec();
    payload.extend(code.to_be_bytes());
    frame(7, 0, 0, &payload)
}

async fn read(socket: &mut Async<TcpStream>) -> std::io::Result<Frame> {
    let mut head = [0; 9];
    socket.read_exact(&mut head).await?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    let mut payload = vec![0; length];
    socket.read_exact(&mut payload).await?;
    let kind = match head[3] {
        0 => Kind::Data,
        1 => Kind::Headers,
        3 => Kind::Reset,
        4 => Kind::Settings,
        6 => Kind::Ping,
        7 => Kind::GoAway,
        other => Kind::Other(other),
    };
    Ok(Frame {
        kind,
        flags: head[4],
        stream,
        payload,
    })
}

/// Serves one connection by a script, which hears each frame. Settings and pings are answered by themselves.
pub async fn connection(
    mut socket: Async<TcpStream>,
    mut script: impl FnMut(&Frame) -> Next,
) -> std::io::Result<()> {
    let mut preface = [0; 24];
    socket.read_exact(&mut preface).await?;
    socket.write_all(&settings()).await?;
    loop {
        let frame_in = read(&mut socket).await?;
        match frame_in.kind {
            Kind::Settings if frame_in.flags & 1 == 0 => {
                socket.write_all(&frame(4, 1, 0, &[])).await?
            }
            Kind::Ping if frame_in.flags & 1 == 0 => {
                socket.write_all(&frame(6, 1, 0, &frame_in.payload)).await?
            }
            _ => match script(&frame_in) {
                Next::Say(bytes) => socket.write_all(&bytes).await?,
                Next::Close(bytes) => {
                    socket.write_all(&bytes).await?;
                    return socket.close().await;
                }
                Next::Break(bytes) => {
                    socket.write_all(&bytes).await?;
                    orchidtally_socket_io::reset_on_close(socket.get_ref());
                    return Ok(());
                }
                Next::StopReading => futures_lite::future::pending().await,
            },
        }
    }
}

/// The next connection, as a plain socket.
pub async fn accept(listener: &Async<TcpListener>) -> std::io::Result<Async<TcpStream>> {
    listener.accept().await.map(|a| a.0)
}
