//! A client by HTTP/1.1: one request on a connection of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response with a body of a stated length.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request and reads its response, which has to come within `limit`.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: front-end\r\nconnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    let mut bytes = vec![];
    stream.read_to_end(&mut bytes)?;
    let end = bytes
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let response = Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        body: bytes.split_off(end + 4),
        head,
    };
    let length = response
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_some_and(|length| length != response.body.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(response)
}

/// Whether a front end answers at its address.
pub fn is_up(address: SocketAddr) -> bool {
    let limit = Duration::from_secs(2);
    request(address, "GET", "/v1/front-end", &[], b"", limit).is_ok()
}
