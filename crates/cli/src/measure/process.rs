//! Processes of a measurement: this program again as a front end, an executor or a relay.

use crate::{BAD_INPUT, COULD_NOT_RUN};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::baseline;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A process of the measurement, ended with it.
pub(super) struct Part {
    child: Child,
    pub(super) at: SocketAddr,
    /// All addresses that it takes connections at.
    pub(super) all: Vec<SocketAddr>,
}

impl Drop for Part {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Part {
    /// Starts one that prints its address at the end of its first line.
    pub(super) fn start(arguments: &[&str]) -> io::Result<Part> {
        let mut command = Command::new(std::env::current_exe()?);
        let mut child = command
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let all = line
            .trim()
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .split(',')
            .map(str::parse);
        let all = all
            .collect::<Result<Vec<SocketAddr>, _>>()
            .map_err(io::Error::other)?;
        let at = *all.first().ok_or_else(|| io::Error::other("no address"))?;
        Ok(Part { child, at, all })
    }

    /// CPU seconds so far; none where the system doesn't tell.
    pub(super) fn cpu(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }

    /// Resident memory in bytes.
    pub(super) fn memory(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some(1024.0 * line.split_whitespace().nth(1)?.parse::<f64>().ok()?)
    }
}

pub(super) fn deployment(executors: &[SocketAddr], open: usize) -> io::Result<std::path::PathBuf> {
    let list: Vec<_> = executors
        .iter()
        .map(|a| format!("{{ address: \"{a}\" }}"))
        .collect();
    let text = format!(
        r#"{{
            triggerTypes: [{{ name: "look", effect: "idempotent", objective: "4s", timeout: "9s", lateShare: 1 }}],
            otherFunctions: {{ lanes: 64, loadTime: "50ms" }},
            executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{}] }},
            limits: {{ openInvocations: {open}, streamsPerConnection: 1000 }},
            loading: {{ orders: false, tellsCrowd: false, keepAlive: "60s" }},
        }}"#,
        list.join(", ")
    );
    let file = std::env::temp_dir().join(format!(
        "orchidtally-measure-{}-{open}.json5",
        std::process::id()
    ));
    std::fs::write(&file, text)?;
    Ok(file)
}

/// Plays a part until it is ended.
pub(super) fn play(part: &str) -> Result<(), u8> {
    let listen = || orchidtally_socket_io::listen(orchidtally_test_servers::unused_address());
    let (kind, value) = part.split_once('=').ok_or(BAD_INPUT)?;
    // The module keeps to a limit at each executor, so that one alone would hold back a busy client.
    let (value, ports) = value.split_once('x').unwrap_or((value, "1"));
    let ports: usize = ports.parse().map_err(|_| BAD_INPUT)?;
    let listeners = (0..ports)
        .map(|_| listen())
        .collect::<io::Result<Vec<_>>>()
        .map_err(|e| {
            eprintln!("{e}");
            COULD_NOT_RUN
        })?;
    let at: Vec<String> = listeners
        .iter()
        .filter_map(|l| Some(l.get_ref().local_addr().ok()?.to_string()))
        .collect();
    let stage = TestEnvironment::new(1);
    let tasks = stage.tasks.clone();
    println!("http://{}", at.join(","));
    crate::serve::at_end_of_input(|| std::process::exit(0));
    for listener in listeners {
        match kind {
            "relay" => {
                let to = value.parse().map_err(|_| BAD_INPUT)?;
                stage
                    .spawn(baseline::relay(stage.clone(), listener, to))
                    .detach();
            }
            "executor" => {
                let delay = value.parse().map_err(|_| BAD_INPUT)?;
                stage
                    .spawn(baseline::executor(stage.clone(), listener, delay))
                    .detach();
            }
            _ => return Err(BAD_INPUT),
        }
    }
    async_io::block_on(tasks.run(std::future::pending()))
}
