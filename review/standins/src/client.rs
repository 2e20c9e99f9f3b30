//! A client of the gateway by HTTP/1.1, one request at a time on a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response, read to the end of its connection or of its body.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says: by its length, or by the last chunk.
    pub is_whole: bool,
}

impl Response {
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

/// Opens a connection and sends a request.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<TcpStream> {
    let mut stream = connect(address)?;
    send_on(&mut stream, method, path, headers, body)?;
    Ok(stream)
}

/// Opens a connection.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(40)))?;
    Ok(stream)
}

/// Sends a request on an open connection.
pub fn send_on(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: front-end\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("content-length: {}\r\n\r\n", body.len());
    stream.write_all(request.as_bytes())?;
    stream.write_all(body)
}

/// Reads a response. `pause_after` bytes of its body, `pause` is waited once before more is read.
pub fn receive(
    stream: &mut TcpStream,
    pause_after: usize,
    pause: Duration,
) -> io::Result<Response> {
    let mut bytes = vec![];
    let mut buffer = vec![0; 16 * 1024];
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => bytes.extend_from_slice(&buffer[..n]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut response = Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        head,
        body: vec![],
        is_whole: false,
    };
    let length: Option<usize> = response
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let is_chunked = response.header("transfer-encoding") == Some("chunked");
    let mut raw = bytes.split_off(head_end);
    let mut parsed = 0;
    let mut has_paused = pause.is_zero();
    loop {
        if is_chunked {
            while let Some(end) = find(&raw[parsed..], b"\r\n") {
                let size = String::from_utf8_lossy(&raw[parsed..parsed + end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                let start = parsed + end + 2;
                if raw.len() < start + size + 2 {
                    break;
                }
                response.body.extend_from_slice(&raw[start..start + size]);
                parsed = start + size + 2;
                if size == 0 {
                    response.is_whole = true;
                    return Ok(response);
                }
            }
            raw.drain(..parsed);
            parsed = 0;
        } else {
            response.body.append(&mut raw);
            if length.is_some_and(|length| response.body.len() >= length) {
                response.is_whole = true;
                return Ok(response);
            }
        }
        if !has_paused && response.body.len() >= pause_after {
            has_paused = true;
            std::thread::sleep(pause);
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(response),
            Ok(n) => raw.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => return Ok(response),
            Err(error) => return Err(error),
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|part| part == what)
}

/// Sends a request and reads its response.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Response> {
    let mut stream = send(address, method, path, headers, body)?;
    receive(&mut stream, 0, Duration::ZERO)
}
