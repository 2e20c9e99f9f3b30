//! A client of a streamed answer takes nothing for a while, and then reads on to the end of the answer.

use orchidtally_executor_protocol::v1;
use review_standins_2::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The length of the answer, and of what the client reads before it pauses, in bytes.
const ANSWER: usize = 32 * 1024 * 1024;
const BEFORE: usize = 256 * 1024;
/// How long the client takes nothing, in seconds: `limits.senderTime` is 10 s.
const PAUSE: u64 = 13;

fn main() {
    std::process::exit(play());
}

fn play() -> i32 {
    let record = Record::create();
    let folder = TemporaryFolder::create();
    let executor = executor::start(
        1,
        Arc::new(|_| {
            let answer = v1::Answer {
                streams: true,
                ..executor::succeeded()
            };
            (Duration::from_millis(20), answer, vec![b'p'; ANSWER])
        }),
        executor::loads_at_once(),
        record.clone(),
    );
    let front_end = free_address();
    let text = format!(
        r#"{{
  name: "print-shop",
  listen: "{front_end}",
  frontEnds: {{ count: 1, index: 0, clockSkew: "500ms" }},
  triggerTypes: [{{ name: "preview", effect: "idempotent", objective: "300ms", timeout: "30s", streams: true, lateShare: 0.5 }}],
  otherFunctions: {{ lanes: 1, memory: "2GB", loadTime: "3s" }},
  executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{{ address: "{executor}" }}] }},
}}
"#
    );
    let file = folder.write("deployment.json5", &text);
    let command = format!(
        "exec target/release/orchidtally serve --deployment {}",
        file.display()
    );
    let process = Process::start(&command, &folder.0.join("log"));
    if !wait_until(Duration::from_secs(10), || client::is_up(front_end)) {
        return could_not_run(&record, process.output());
    }
    let pause = if has_trouble() { PAUSE } else { 0 };
    let answer = match ask(front_end, pause, &record) {
        Ok(answer) => answer,
        Err(error) => return could_not_run(&record, format!("{error}; {}", process.output())),
    };
    record.line(format!(
        "client: status {}, {} of {ANSWER} bytes, ended by its last chunk: {}",
        answer.status, answer.bytes, answer.is_ended
    ));
    record.line(format!("the front end's log:\n{}", process.output()));
    if answer.status != 200 {
        return could_not_run(&record, "the answer is not a success");
    }
    if answer.is_ended && answer.bytes != ANSWER {
        record.line("BROKEN: the client was given a part of the answer as a whole one");
        return BROKEN;
    }
    HELD
}

struct Answer {
    status: u16,
    bytes: usize,
    /// Whether the body ended as its framing says, by its last chunk.
    is_ended: bool,
}

/// Asks by HTTP/1.1, pauses once after some bytes, and reads the answer to its end.
fn ask(front_end: SocketAddr, pause: u64, record: &Record) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(front_end)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    stream.write_all(
        b"POST /v1/functions/proof/invocations HTTP/1.1\r\nhost: front-end\r\ncontent-length: 0\r\n\r\n",
    )?;
    record.line("client: asks");
    let mut raw = vec![];
    let mut buffer = vec![0; 64 * 1024];
    let end = loop {
        if let Some(end) = raw.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => raw.extend_from_slice(&buffer[..n]),
        }
    };
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    record.line(format!("client: {}", head.replace("\r\n", " | ")));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    raw.drain(..end);
    let (mut bytes, mut has_paused) = (0, pause == 0);
    loop {
        // Takes whole chunks from the front.
        let mut at = 0;
        while let Some(line) = raw[at..]
            .windows(2)
            .take(20)
            .position(|part| part == b"\r\n")
        {
            let size = String::from_utf8_lossy(&raw[at..at + line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let start = at + line + 2;
            if raw.len() < start + size + 2 {
                break;
            }
            if size == 0 {
                return Ok(Answer {
                    status,
                    bytes,
                    is_ended: true,
                });
            }
            bytes += size;
            at = start + size + 2;
        }
        raw.drain(..at);
        if !has_paused && bytes >= BEFORE {
            record.line(format!(
                "client: has {bytes} bytes, and takes nothing for {pause} s"
            ));
            std::thread::sleep(Duration::from_secs(pause));
            record.line("client: reads on");
            has_paused = true;
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => raw.extend_from_slice(&buffer[..n]),
            Ok(_) => {
                return Ok(Answer {
                    status,
                    bytes,
                    is_ended: false,
                });
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                return Ok(Answer {
                    status,
                    bytes,
                    is_ended: false,
                });
            }
            Err(error) => return Err(error),
        }
    }
}
