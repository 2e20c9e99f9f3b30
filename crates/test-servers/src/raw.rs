//! A scripted HTTP/2 server that writes raw frames, for behaviour that no library produces: GOAWAY in the middle of
//! streams, bytes that are not frames, responses that never end. It does not decode header fields.

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use std::net::{TcpListener, TcpStream};

/// The type of a frame; types that scripts don't need to distinguish are `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
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
    pub kind: FrameKind,
    /// The flags.
    pub flags: u8,
    /// The id of the stream; 0 for the connection.
    pub stream: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Whether the END_STREAM flag is set.
    pub fn ends_stream(&self) -> bool {
        matches!(self.kind, FrameKind::Data | FrameKind::Headers) && self.flags & 1 != 0
    }
}

/// What the script does next.
pub enum ScriptAction {
    /// Send these bytes.
    Send(Vec<u8>),
    /// Send these bytes, then close the connection.
    SendAndClose(Vec<u8>),
    /// Send these bytes, then reset the connection.
    SendAndReset(Vec<u8>),
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

/// A SETTINGS frame with these settings: their identifiers and values.
pub fn settings_with(settings: &[(u16, u32)]) -> Vec<u8> {
    let mut payload = vec![];
    for (identifier, value) in settings {
        payload.extend(identifier.to_be_bytes());
        payload.extend(value.to_be_bytes());
    }
    frame(4, 0, 0, &payload)
}

/// The identifier of the setting that limits the streams that the client may open (RFC 9113, section 6.5.2).
pub const MAX_CONCURRENT_STREAMS: u16 = 3;
/// The identifier of the setting for the initial flow control window of streams.
pub const INITIAL_WINDOW_SIZE: u16 = 4;

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
        0 => FrameKind::Data,
        1 => FrameKind::Headers,
        3 => FrameKind::Reset,
        4 => FrameKind::Settings,
        6 => FrameKind::Ping,
        7 => FrameKind::GoAway,
        other => FrameKind::Other(other),
    };
    Ok(Frame {
        kind,
        flags: head[4],
        stream,
        payload,
    })
}

/// Serves one connection and calls the script for each frame. SETTINGS and PING frames are acknowledged without it.
pub async fn connection(
    socket: Async<TcpStream>,
    script: impl FnMut(&Frame) -> ScriptAction,
) -> std::io::Result<()> {
    connection_with(&settings(), socket, script).await
}

/// Like [`connection`], with the frame of the server's settings.
pub async fn connection_with(
    settings: &[u8],
    mut socket: Async<TcpStream>,
    mut script: impl FnMut(&Frame) -> ScriptAction,
) -> std::io::Result<()> {
    let mut preface = [0; 24];
    socket.read_exact(&mut preface).await?;
    socket.write_all(settings).await?;
    loop {
        let received = read(&mut socket).await?;
        match received.kind {
            FrameKind::Settings if received.flags & 1 == 0 => {
                socket.write_all(&frame(4, 1, 0, &[])).await?
            }
            FrameKind::Ping if received.flags & 1 == 0 => {
                socket.write_all(&frame(6, 1, 0, &received.payload)).await?
            }
            _ => match script(&received) {
                ScriptAction::Send(bytes) => socket.write_all(&bytes).await?,
                ScriptAction::SendAndClose(bytes) => {
                    socket.write_all(&bytes).await?;
                    return socket.close().await;
                }
                ScriptAction::SendAndReset(bytes) => {
                    socket.write_all(&bytes).await?;
                    orchidtally_socket_io::reset_on_close(socket.get_ref());
                    return Ok(());
                }
                ScriptAction::StopReading => futures_lite::future::pending().await,
            },
        }
    }
}

/// Accepts the next connection.
pub async fn accept(listener: &Async<TcpListener>) -> std::io::Result<Async<TcpStream>> {
    listener.accept().await.map(|a| a.0)
}
