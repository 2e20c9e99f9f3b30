//! A real `orchidtally serve` on loopback, with executors within the test's process, for tests that signal it.

#![allow(dead_code)] // Each test file uses a part of it.

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
/// What nothing here takes longer than.
const PATIENCE: Duration = Duration::from_secs(10);
/// Seconds that invocations of functions whose names begin with `slow` take.
pub const SLOW: f64 = 1.0;

/// Starts an executor on a thread of its own; it serves any function until the test ends.
pub fn executor() -> SocketAddr {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let stage = TestEnvironment::new(1);
        let program = |name: &str| {
            let work = if name.starts_with("slow") {
                SLOW
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
        let around = SharedResources {
            store: PackageStore::new(&stage, 8.0, 8),
            catalogue: Rc::new(program),
            token_cache: Rc::default(),
            deduplication_window: 5.0,
        };
        let executor = Executor::start(
            &stage,
            ExecutorSpec::with_ample_capacity(1),
            orchidtally_test_servers::unused_address(),
            around,
        )
        .unwrap();
        tell.send(executor.address).unwrap();
        async_io::block_on(stage.tasks.run(std::future::pending::<()>()));
    });
    told.recv().unwrap()
}

/// A file of the test's own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Puts a text under a path at once, as an operator's tool does.
pub fn replace(path: &Path, text: &str) {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text).unwrap();
    std::fs::rename(&beside, path).unwrap();
}

/// A front end's process.
pub struct Serve {
    pub process: Child,
    pub at: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Drop for Serve {
    fn drop(&mut self) {
        // It may have ended already; a paused one ends by this as well.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Serve {
    /// Starts `orchidtally serve` with some arguments and waits until it listens.
    pub fn start(arguments: &[&str]) -> Serve {
        Serve::start_with(arguments, |_| {})
    }

    /// The same; `meanwhile` gets the process before it listens.
    pub fn start_with(arguments: &[&str], meanwhile: impl FnOnce(&Child)) -> Serve {
        Serve::start_in(&[], arguments, meanwhile)
    }

    /// The same with the library of faults in `examples/fault_shim.rs`, which reads these variables.
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
        let mut errors = BufReader::new(process.stderr.take().unwrap());
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while errors.read_line(&mut line).is_ok_and(|count| count > 0) {
                kept.lock().unwrap().push_str(&line);
                line.clear();
            }
        });
        meanwhile(&process);
        let mut told = String::new();
        BufReader::new(process.stdout.take().unwrap())
            .read_line(&mut told)
            .unwrap();
        let at = told
            .trim()
            .strip_prefix("listening on http://")
            .and_then(|at| at.parse().ok());
        let at = at.unwrap_or_else(|| panic!("it said '{told}': {}", log.lock().unwrap()));
        Serve { process, at, log }
    }

    /// Sends it a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        signal(&self.process, name);
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until its log holds a text so many times.
    pub fn logs(&self, text: &str, times: usize) {
        let begun = Instant::now();
        while self.log().matches(text).count() < times {
            assert!(
                begun.elapsed() < PATIENCE,
                "'{text}' is not {times} times in its log:\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether it still runs.
    pub fn is_alive(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub fn ended(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(
                begun.elapsed() < PATIENCE,
                "it did not end:\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends an invocation; its answer is read from what this gives.
    pub fn send(&self, function: &str, headers: &[(&str, &str)]) -> TcpStream {
        let mut stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

    /// Invokes a function: the status and the whole answer.
    pub fn invoke(&self, function: &str, headers: &[(&str, &str)]) -> (u16, String) {
        answer(self.send(function, headers))
    }

    /// The status of an invocation of a function.
    pub fn status(&self, function: &str) -> u16 {
        self.invoke(function, &[]).0
    }
}

/// Sends a process a signal, such as `HUP`.
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

/// Reads the answer to an invocation.
pub fn answer(mut stream: TcpStream) -> (u16, String) {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (
        status.unwrap_or_else(|| panic!("no answer: '{text}'")),
        text,
    )
}
