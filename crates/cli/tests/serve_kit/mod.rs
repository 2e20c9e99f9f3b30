//! Runs `orchidtally serve` on loopback with executors in the test's process, for tests that send signals to it.

#![allow(dead_code)] // Each test binary uses a part of this module.

use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::executor::{Executor, ExecutorSpec, Program, SharedResources, echo};
use orchidtally_test_servers::store::PackageStore;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_orchidtally");
/// Time within which everything that these tests wait for has to happen.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Run time of functions whose names begin with `slow`, in seconds.
pub const SLOW_WORK: f64 = 1.0;

/// Starts an executor on a thread of its own. It serves any function until the test process exits.
pub fn start_executor() -> SocketAddr {
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let environment = TestEnvironment::new(1);
        let program = |name: &str| {
            let work = if name.starts_with("slow") {
                SLOW_WORK
            } else {
                0.001
            };
            Some(Program {
                concurrency: 64,
                load_time: 0.01,
                cpu_time: work,
                run: echo,
                ..Program::default()
            })
        };
        let resources = SharedResources {
            store: PackageStore::new(&environment, 8.0, 8),
            catalogue: Rc::new(program),
            token_cache: Rc::default(),
            deduplication_window: 5.0,
        };
        let executor = Executor::start(
            &environment,
            ExecutorSpec::with_ample_capacity(1),
            orchidtally_test_servers::unused_address(),
            resources,
        )
        .unwrap();
        address_sender.send(executor.address).unwrap();
        async_io::block_on(environment.tasks.run(std::future::pending::<()>()));
    });
    address_receiver.recv().unwrap()
}

/// Writes a file in the tests' temporary directory.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Replaces a file atomically, by a rename, as an operator's tool does.
pub fn replace_file(path: &Path, text: &str) {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text).unwrap();
    std::fs::rename(&temporary, path).unwrap();
}

/// A front end's process.
pub struct Serve {
    pub process: Child,
    pub address: SocketAddr,
    /// What the process has written to standard error.
    log: Arc<Mutex<String>>,
}

impl Drop for Serve {
    fn drop(&mut self) {
        // Fails if the process has exited already. SIGKILL also ends a paused process.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Serve {
    /// Starts `orchidtally serve` with some arguments and waits until it listens.
    pub fn start(arguments: &[&str]) -> Serve {
        Serve::start_with(arguments, |_| {})
    }

    /// Like [`Serve::start`], but calls `meanwhile` with the process before it listens.
    pub fn start_with(arguments: &[&str], meanwhile: impl FnOnce(&Child)) -> Serve {
        Serve::start_in(&[], arguments, meanwhile)
    }

    /// Like [`Serve::start`], with the fault library of `examples/fault_shim.rs` preloaded. `variables` are the
    /// library's environment variables.
    pub fn start_shimmed(variables: &[(&str, String)], arguments: &[&str]) -> Serve {
        let shim = PathBuf::from(PROGRAM)
            .with_file_name("examples")
            .join("libfault_shim.so");
        assert!(
            shim.is_file(),
            "{} is missing: cargo build -p orchidtally-cli --examples",
            shim.display()
        );
        let mut environment = variables.to_vec();
        environment.push(("LD_PRELOAD", shim.display().to_string()));
        Serve::start_in(&environment, arguments, |_| {})
    }

    fn start_in(
        environment: &[(&str, String)],
        arguments: &[&str],
        meanwhile: impl FnOnce(&Child),
    ) -> Serve {
        let mut process = Command::new(PROGRAM)
            .envs(environment.iter().map(|(key, value)| (*key, value.clone())))
            .args(["serve", "--listen", "127.0.0.1:0"])
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::<Mutex<String>>::default();
        let mut stderr = BufReader::new(process.stderr.take().unwrap());
        let log_writer = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while stderr.read_line(&mut line).is_ok_and(|count| count > 0) {
                log_writer.lock().unwrap().push_str(&line);
                line.clear();
            }
        });
        meanwhile(&process);
        let mut first_line = String::new();
        BufReader::new(process.stdout.take().unwrap())
            .read_line(&mut first_line)
            .unwrap();
        let address = first_line
            .trim()
            .strip_prefix("listening on http://")
            .and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| {
            panic!(
                "unexpected first line of the output: '{first_line}'\n{}",
                log.lock().unwrap()
            )
        });
        Serve {
            process,
            address,
            log,
        }
    }

    /// Sends a signal, such as `HUP`, to the process.
    pub fn signal(&self, name: &str) {
        signal(&self.process, name);
    }

    /// The log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until the log contains `text` at least `times` times.
    pub fn wait_for_log(&self, text: &str, times: usize) {
        let started_at = Instant::now();
        while self.log().matches(text).count() < times {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the log does not contain '{text}' {times} times:\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the process did not exit:\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends an invocation. Returns the connection on which the response arrives.
    pub fn send(&self, function: &str, headers: &[(&str, &str)]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut request = format!(
            "POST /v1/functions/{function}/invocations HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: 2\r\n"
        );
        headers
            .iter()
            .for_each(|(name, value)| request += &format!("{name}: {value}\r\n"));
        stream
            .write_all(format!("{request}\r\nhi").as_bytes())
            .unwrap();
        stream
    }

    /// Invokes a function. Returns the status code and the whole response.
    pub fn invoke(&self, function: &str, headers: &[(&str, &str)]) -> (u16, String) {
        read_response(self.send(function, headers))
    }

    /// Invokes a function. Returns the status code.
    pub fn status(&self, function: &str) -> u16 {
        self.invoke(function, &[]).0
    }
}

/// Sends a signal, such as `HUP`, to a process.
pub fn signal(process: &Child, name: &str) {
    let id = process.id().to_string();
    assert!(
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .unwrap()
            .success()
    );
}

/// Reads the response to an invocation. Returns the status code and the whole response.
pub fn read_response(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (
        status.unwrap_or_else(|| panic!("the response has no status: '{text}'")),
        text,
    )
}
