//! Runs the `orchidtally` binary with a log that nobody reads.

mod kit;

use kit::*;
use orchidtally_platform_client_protocol as frames;
use std::io::Write;
use std::process::{Command, Stdio};

/// Guards against a front end that stands still in a log line because the reader of its log is stuck.
#[test]
fn a_log_that_nobody_reads_does_not_stop_the_front_end() {
    /// Log lines of each kind are limited to twenty a second; a line has more than 100 bytes.
    const INVALID_INVOCATIONS: u32 = 40;
    const SECONDS: u64 = 9;
    let dispatch_log = DispatchLog::default();
    let hosts = [host(1, start_executor(dispatch_log.clone()))];
    let (settings, address) = settings_file(&hosts, 128);
    let file = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("unread-log.json");
    std::fs::write(&file, settings).unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .args(["--log", "trace", "serve", "--platform"])
        .env("LB_CONFIG", &file)
        .stderr(Stdio::piped());
    let front_end = FrontEnd {
        process: command.spawn().unwrap(),
        address,
        file,
        dispatch_log,
    };
    front_end.wait_until_listening();
    let mut client = front_end.client();
    let mut stream = 0;
    for n in 1..=SECONDS * 10 {
        for _ in 0..INVALID_INVOCATIONS {
            stream += 1;
            client
                .write_all(&invocation(stream, "no id", "read", PROMPT, b""))
                .unwrap();
            let answer = read_frame(&mut client).expect("the front end answers");
            assert_eq!(answer.2, frames::ERRORED);
        }
        stream += 1;
        let valid = invocation(stream, &hex_id(n), "read", PROMPT, b"");
        let answer = exchange(&mut client, &valid);
        assert_eq!(answer.0, frames::RESPONSE);
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
}
