//! What the clients of a crowd do.

use super::*;
use std::time::Duration;

/// The largest request that the platform's protocol allows, with a body of 16 KiB.
fn large_invocation(stream: u32, id: u64, function: &str) -> Vec<u8> {
    invocation(
        stream,
        &hex_id(id),
        "command",
        function,
        &[b'x'; frames::MAX_BODY_LENGTH],
    )
}

/// Appends the header of an INVOKE frame whose payload has the given length.
fn append_invoke_header(out: &mut Vec<u8>, payload_length: usize, stream: u32) {
    out.extend_from_slice(&(payload_length as u32 + 5).to_be_bytes());
    out.push(frames::INVOKE);
    out.extend_from_slice(&stream.to_be_bytes());
}

/// Appends an INVOKE frame without fields.
fn append_unsound(out: &mut Vec<u8>, stream: u32) {
    append_invoke_header(out, 1, stream);
    out.push(0);
}

/// A large request, of which the last piece is missing.
pub fn stop_half_way(
    stream: &mut TcpStream,
    _numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let payload = 2 * frames::MAX_BODY_LENGTH - 5;
    let mut header = vec![];
    append_invoke_header(&mut header, payload, 1);
    stream.write_all(&header)?;
    write_pieces(
        stream,
        &vec![b'x'; payload - 100],
        4 * 1024,
        Duration::from_millis(100),
        is_over,
    )?;
    read_until_end(stream, is_over)
}

/// Large requests of which nobody reads the answers.
pub fn read_no_answers(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    flood(
        stream,
        numbers,
        |n, out| out.extend(large_invocation(n, numbers.next(), PROMPT)),
        is_over,
    )
}

/// Requests without any field, as fast as they are taken.
pub fn send_unsound(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    flood_and_read(stream, numbers, |n, out| append_unsound(out, n), is_over)
}

/// Requests with as many fields as a head can have.
pub fn send_many_fields(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let names: Vec<String> = (0..250).map(|n| format!("{n:x}")).collect();
    let id = numbers.next();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    flood_and_read(
        stream,
        numbers,
        |n, out| {
            let body = id.to_be_bytes();
            frames::write_frame(out, frames::INVOKE, n, None, Some(&fields), &body);
        },
        is_over,
    )
}

/// Readiness queries at full speed; nothing is read.
pub fn query_readiness_unread(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    flood(
        stream,
        numbers,
        |_, out| append_readiness_query(out),
        is_over,
    )
}

/// Readiness queries at full speed, of whose answers a little is read now and then.
pub fn query_readiness_read_in_drops(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    read_in_drops(
        stream,
        |stream| {
            flood(
                stream,
                numbers,
                |_, out| append_readiness_query(out),
                is_over,
            )
        },
        is_over,
    )
}

/// Requests with large answers, of which a little is read now and then.
pub fn read_large_answers_in_drops(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    read_in_drops(
        stream,
        |stream| {
            for n in 1..=32 {
                let id = hex_id(numbers.next());
                stream.write_all(&invocation(n, &id, "read", LARGE_RESPONSE, b""))?;
            }
            while !is_over.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
            }
            Ok(())
        },
        is_over,
    )
}

/// Large requests for functions that nobody else names, from a client that closes its connection at once.
pub fn name_new_functions_and_close(
    stream: &mut TcpStream,
    numbers: &Numbers,
    _is_over: &AtomicBool,
) -> std::io::Result<()> {
    for n in 1..=4 {
        let id = numbers.next();
        stream.write_all(&large_invocation(n, id, &hex_id(id)))?;
    }
    std::thread::sleep(Duration::from_millis(5));
    Ok(())
}

fn append_readiness_query(out: &mut Vec<u8>) {
    frames::write_frame(out, frames::READINESS_QUERY, 0, None, Some(&[]), &[]);
}

/// Sends frames in one thread and reads the answers in another.
fn flood_and_read(
    stream: &mut TcpStream,
    numbers: &Numbers,
    next: impl FnMut(u32, &mut Vec<u8>),
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut reading = stream.try_clone()?;
    std::thread::scope(|scope| {
        scope.spawn(move || read_until_end(&mut reading, is_over));
        let sent = flood(stream, numbers, next, is_over);
        // Fails if the connection has ended.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        sent
    })
}

/// Large requests that no executor answers.
pub fn keep_open(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    for n in 1..=32 {
        stream.write_all(&large_invocation(n, numbers.next(), NO_RESPONSE))?;
    }
    read_until_end(stream, is_over)
}

/// The same, and the answers are not read.
pub fn send_unsound_unread(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    flood(stream, numbers, |n, out| append_unsound(out, n), is_over)
}

/// A request for a function that nobody else names, taken back at once, again and again.
pub fn name_new_functions(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        // Each batch is admitted before it is taken back, because the two are written apart.
        let (mut batch, mut cancels) = (vec![], vec![]);
        for _ in 0..30 {
            number += 1;
            let id = numbers.next();
            batch.extend(invocation(number, &hex_id(id), "read", &hex_id(id), b""));
            frames::write_frame(&mut cancels, frames::CANCEL, number, None, None, &[]);
        }
        stream.write_all(&batch)?;
        std::thread::sleep(Duration::from_micros(500));
        stream.write_all(&cancels)?;
    }
    Ok(())
}

/// Large requests for functions that nobody else names, as many as a connection may have open, whose answers are read.
pub fn invoke_new_functions(
    stream: &mut TcpStream,
    numbers: &Numbers,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    for n in 1..=32 {
        let id = numbers.next();
        stream.write_all(&large_invocation(n, id, &hex_id(id)))?;
    }
    read_until_end(stream, is_over)
}
