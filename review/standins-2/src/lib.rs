//! What the cases share: the record, processes of the program, a small HTTP/1.1 client, an executor of the gateway
//! and an MQTT broker.

pub mod broker;
pub mod client;
pub mod executor;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The file `record.txt` of a case. Each line has the seconds since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(COULD_NOT_RUN)
        });
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the file and to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), text.as_ref());
        println!("{line}");
        let _ = writeln!(lock(&self.file), "{line}");
    }
}

/// A folder under the system's temporary folder, removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> TemporaryFolder {
        let nanoseconds = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_nanos());
        let name = format!("orchidtally-review-2-{}-{nanoseconds}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder can be created");
        TemporaryFolder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file in the temporary folder can be written");
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the program; it is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a command line by the shell, from the root of the repository. Its output is appended to the file `log`.
    pub fn start(command: &str, log: &Path) -> Process {
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log can be written");
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", command])
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log can be written"))
            .stderr(output);
        // The process ends with the case, also where the case itself is killed.
        unsafe {
            shell.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = shell.spawn().expect("the shell can be started");
        Process {
            child,
            log: log.to_owned(),
        }
    }

    /// Sends a signal to the process. The command lines begin with `exec`, so the shell's id is the program's.
    pub fn signal(&self, signal: i32) {
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(libc::SIGCONT);
        self.signal(libc::SIGKILL);
        let _ = self.child.wait();
    }

    /// Waits for the end of the process, for `limit` at most; returns its exit code, if it had one.
    pub fn wait(&mut self, limit: Duration) -> Option<Option<i32>> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code());
            }
            if Instant::now() > deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What the process has written.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address of the loopback interface with a port that is free.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

/// Waits until a condition holds; returns whether it did within the limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for some milliseconds.
pub fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// Ends a case that could not run.
pub fn could_not_run(record: &Record, why: impl AsRef<str>) -> i32 {
    record.line(format!("COULD NOT RUN: {}", why.as_ref()));
    COULD_NOT_RUN
}
