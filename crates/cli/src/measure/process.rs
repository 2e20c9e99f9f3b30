//! Processes of a measurement: this executable, started as a front end, an executor or a relay.

use crate::{BAD_INPUT, COULD_NOT_RUN};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::baseline;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A process of the measurement. It is killed when the value is dropped.
pub(super) struct MeasuredProcess {
    child: Child,
    /// The first of its addresses.
    pub(super) at: SocketAddr,
    /// All addresses that the process listens on.
    pub(super) addresses: Vec<SocketAddr>,
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl MeasuredProcess {
    /// Starts this executable with `arguments`. Its first line of output has to end with `/` and its addresses,
    /// separated by commas.
    pub(super) fn start(arguments: &[&str]) -> io::Result<MeasuredProcess> {
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
        let addresses = line
            .trim()
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .split(',')
            .map(str::parse);
        let addresses = addresses
            .collect::<Result<Vec<SocketAddr>, _>>()
            .map_err(io::Error::other)?;
        let at = *addresses
            .first()
            .ok_or_else(|| io::Error::other("no address"))?;
        Ok(MeasuredProcess {
            child,
            at,
            addresses,
        })
    }

    /// User and system CPU time so far, in seconds; `None` if `/proc` does not provide it. The kernel is assumed to
    /// count 100 ticks per second.
    pub(super) fn cpu(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }

    /// Resident memory, in bytes; `None` if `/proc` does not provide it.
    pub(super) fn memory(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some(1024.0 * line.split_whitespace().nth(1)?.parse::<f64>().ok()?)
    }
}

/// Writes a deployment file with these executors and this limit of open invocations to the temporary folder.
pub(super) fn write_deployment(
    executors: &[SocketAddr],
    max_open_invocations: usize,
) -> io::Result<std::path::PathBuf> {
    let executor_list: Vec<_> = executors
        .iter()
        .map(|a| format!("{{ address: \"{a}\" }}"))
        .collect();
    let text = format!(
        r#"{{
            triggerTypes: [{{ name: "look", effect: "idempotent", objective: "4s", timeout: "9s", lateShare: 1 }}],
            otherFunctions: {{ lanes: 64, loadTime: "50ms" }},
            executors: {{ allowedNetworks: ["127.0.0.0/8"], list: [{}] }},
            limits: {{ openInvocations: {max_open_invocations}, streamsPerConnection: 1000 }},
            loading: {{ orders: false, tellsCrowd: false, keepAlive: "60s" }},
        }}"#,
        executor_list.join(", ")
    );
    let file = std::env::temp_dir().join(format!(
        "orchidtally-measure-{}-{max_open_invocations}.json5",
        std::process::id()
    ));
    std::fs::write(&file, text)?;
    Ok(file)
}

/// Runs an executor or a relay until standard input ends. `part` is a value of `--part`.
pub(super) fn run_part(part: &str) -> Result<(), u8> {
    let listen = || orchidtally_socket_io::listen(orchidtally_test_servers::unused_address());
    let (kind, value) = part.split_once('=').ok_or(BAD_INPUT)?;
    // The dispatch policy limits the concurrency at each executor, so a single executor would throttle a busy client:
    // the process listens on several addresses.
    let (value, listener_count) = value.split_once('x').unwrap_or((value, "1"));
    let listener_count: usize = listener_count.parse().map_err(|_| BAD_INPUT)?;
    let listeners = (0..listener_count)
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
    let environment = TestEnvironment::new(1);
    let tasks = environment.tasks.clone();
    println!("http://{}", at.join(","));
    crate::serve::on_input_end(|| std::process::exit(0));
    for listener in listeners {
        match kind {
            "relay" => {
                let to = value.parse().map_err(|_| BAD_INPUT)?;
                environment
                    .spawn(baseline::relay(environment.clone(), listener, to))
                    .detach();
            }
            "executor" => {
                let delay = value.parse().map_err(|_| BAD_INPUT)?;
                environment
                    .spawn(baseline::executor(environment.clone(), listener, delay))
                    .detach();
            }
            _ => return Err(BAD_INPUT),
        }
    }
    async_io::block_on(tasks.run(std::future::pending()))
}
