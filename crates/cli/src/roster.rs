//! `orchidtally roster`: shows the executors and front ends registered in etcd, and drains executors.

use crate::{BAD_INPUT, COULD_NOT_RUN, NEGATIVE_RESULT, fail, read_deployment};
use bytes::Bytes;
use clap::Subcommand;
use futures_lite::future::block_on;
use http::Method;
use orchidtally_deployment::{EndpointSource, EtcdSettings};
use orchidtally_etcd::rpc::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
};
use orchidtally_etcd::{Client, ClientError, DELETE_RANGE, PUT, RANGE, range_end};
use orchidtally_http_frontend::etcd::{EXECUTORS_PREFIX, FRONT_ENDS_PREFIX};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Arguments {
    /// The deployment file, with `executors.etcd`.
    #[arg(long, global = true)]
    deployment: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print the executors and front ends that are registered in the store.
    List {
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Print each change of an executor's entry until interrupted.
    Watch {
        /// Stop after so many seconds.
        #[arg(long, value_name = "SECONDS")]
        seconds: Option<f64>,
    },
    /// Drain executors: front ends dispatch nothing new to them. A drain stays in force if an executor registers
    /// again.
    Drain {
        /// Addresses of the executors.
        #[arg(required = true)]
        executors: Vec<SocketAddr>,
        /// Wait until every front end has received the change, for so many seconds at most.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
    /// Cancel the drain of executors.
    Undrain {
        /// Addresses of the executors.
        #[arg(required = true)]
        executors: Vec<SocketAddr>,
        /// Wait until every front end has received the change, for so many seconds at most.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
}

/// Time limit of a request to the store or to a front end.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts of a request; each goes to the next member of the store.
const MAX_ATTEMPTS: usize = 3;
/// Interval between two reads of the store by `watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two queries of all front ends by `--wait`.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Upper limit of `watch --seconds`, in seconds.
const MAX_WATCH: f64 = 1e6;
/// Upper limit of `--wait`, in seconds.
const MAX_WAIT: f64 = 3_600.0;

/// A connection to the etcd store in which executors and front ends are registered.
struct Store {
    client: Client,
    prefix: String,
    tasks: Rc<async_executor::LocalExecutor<'static>>,
}

impl Store {
    /// Blocks until `work` is complete, and runs the client's tasks meanwhile.
    fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        block_on(self.tasks.run(work))
    }

    /// Sends a request; fails over to the next member if one is unreachable or times out. The last error is printed.
    fn send<M: prost::Message + Default>(
        &self,
        path: &str,
        request: &impl prost::Message,
    ) -> Result<M, u8> {
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.block_on(self.client.unary(path, request, REQUEST_TIMEOUT)) {
                Ok(response) => return Ok(response),
                Err(error @ (ClientError::Unreachable(_) | ClientError::TimedOut)) => {
                    last_error = Some(error);
                    self.client.fail_over();
                }
                Err(error) => {
                    last_error = Some(error);
                    break;
                }
            }
        }
        Err(fail(
            COULD_NOT_RUN,
            last_error.map_or_else(String::new, |error| error.to_string()),
        ))
    }

    /// Reads the entries below a prefix. Returns their names, values and revisions.
    fn list(&self, kind_prefix: &str) -> Result<Vec<(String, Value, i64)>, u8> {
        let prefix = format!("{}{kind_prefix}", self.prefix);
        let request = RangeRequest {
            key: prefix.clone().into(),
            range_end: range_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.send(RANGE, &request)?;
        let read = |kv: orchidtally_etcd::rpc::KeyValue| {
            let key = String::from_utf8_lossy(&kv.key).into_owned();
            let name = key.strip_prefix(&prefix).unwrap_or(&key).to_owned();
            let value = serde_json::from_slice(&kv.value)
                .unwrap_or_else(|_| json!({ "unreadable": String::from_utf8_lossy(&kv.value) }));
            (name, value, kv.mod_revision)
        };
        Ok(response.kvs.into_iter().map(read).collect())
    }

    /// Reads the executors, each with whether an operator has drained it, and the front ends.
    fn entries(&self) -> Result<(Vec<Value>, Vec<Value>), u8> {
        let all = self.list(EXECUTORS_PREFIX)?;
        let drained = |name: &str| all.iter().any(|(n, _, _)| *n == format!("{name}/drain"));
        let executors = all.iter().filter(|(name, _, _)| !name.ends_with("/drain"));
        let executors = executors.map(|(name, value, revision)| {
            json!({ "executor": name, "entry": value, "revision": revision, "drained": drained(name) })
        });
        let front_ends = self.list(FRONT_ENDS_PREFIX)?;
        let front_ends = front_ends
            .iter()
            .map(|(name, value, _)| json!({ "index": name, "entry": value }));
        Ok((executors.collect(), front_ends.collect()))
    }

    /// Waits until each front end knows a revision of the store.
    fn wait(&self, revision: i64, seconds: f64) -> Result<(), u8> {
        let until = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT));
        loop {
            let mut behind = vec![];
            for (index, value, _) in self.list(FRONT_ENDS_PREFIX)? {
                let at = value
                    .get("at")
                    .and_then(Value::as_str)
                    .and_then(|a| a.parse::<SocketAddr>().ok());
                let known_revision = at.and_then(|at| {
                    let fetched = orchidtally_socket_io::http::fetch(
                        at,
                        Method::GET,
                        "/v1/front-end",
                        vec![],
                        REQUEST_TIMEOUT,
                    );
                    let (_, body) = self.block_on(fetched).ok()?;
                    let status: Value = serde_json::from_slice(&body).ok()?;
                    status.pointer("/roster/revision")?.as_i64()
                });
                if known_revision.is_none_or(|r| r < revision) {
                    behind.push(index);
                }
            }
            if behind.is_empty() {
                println!("every front end has received the change");
                return Ok(());
            }
            if Instant::now() > until {
                println!(
                    "front ends that have not received the change: {}",
                    behind.join(", ")
                );
                return Err(NEGATIVE_RESULT);
            }
            std::thread::sleep(WAIT_INTERVAL);
        }
    }
}

/// Opens the store that the deployment file names.
fn open(arguments: &Arguments) -> Result<Store, u8> {
    let Some(file) = &arguments.deployment else {
        return Err(fail(BAD_INPUT, "--deployment FILE is missing"));
    };
    let deployment = read_deployment(file)?;
    let EndpointSource::Etcd(EtcdSettings {
        endpoints, prefix, ..
    }) = deployment.endpoint_source
    else {
        return Err(fail(
            BAD_INPUT,
            format!("{}: executors.etcd is missing", file.display()),
        ));
    };
    let tasks = Rc::new(async_executor::LocalExecutor::new());
    Ok(Store {
        client: Client::new(endpoints, tasks.clone()),
        prefix,
        tasks,
    })
}

/// Formats an executor as a row of the table.
fn format_row(e: &Value) -> String {
    let field = |key: &str| match e.pointer(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".into(),
        Some(other) => other.to_string(),
    };
    let status = if e["drained"] == true {
        "drained".into()
    } else {
        field("/entry/standing")
    };
    format!(
        "{:<24} {status:<9} {:<12} {:<8} {:>5} {:>9}",
        field("/executor"),
        field("/entry/location"),
        field("/entry/kind"),
        field("/entry/cell"),
        field("/revision")
    )
}

impl Store {
    /// Prints the executors and front ends.
    fn print(&self, as_json: bool) -> Result<(), u8> {
        let (executors, front_ends) = self.entries()?;
        if as_json {
            println!(
                "{}",
                json!({ "executors": executors, "frontEnds": front_ends })
            );
            return Ok(());
        }
        println!("executor                 standing  location     kind      cell  revision");
        executors
            .iter()
            .for_each(|executor| println!("{}", format_row(executor)));
        println!(
            "{} executors, {} front ends",
            executors.len(),
            front_ends.len()
        );
        Ok(())
    }

    /// Prints each change, for so many seconds or without end.
    fn watch(&self, seconds: Option<f64>) -> Result<(), u8> {
        let until = seconds
            .map(|time| Instant::now() + Duration::from_secs_f64(time.clamp(0.0, MAX_WATCH)));
        let mut before: Vec<Value> = vec![];
        while until.is_none_or(|until| Instant::now() < until) {
            let (now, _) = self.entries()?;
            now.iter()
                .filter(|e| !before.contains(e))
                .for_each(|e| println!("{}", format_row(e)));
            let is_present = |e: &&Value| now.iter().any(|n| n["executor"] == e["executor"]);
            before
                .iter()
                .filter(|e| !is_present(e))
                .for_each(|e| println!("{} is gone", e["executor"]));
            before = now;
            std::thread::sleep(WATCH_INTERVAL);
        }
        Ok(())
    }

    fn drain_key(&self, executor: &SocketAddr) -> Bytes {
        format!("{}{EXECUTORS_PREFIX}{executor}/drain", self.prefix).into()
    }

    /// Drains executors; returns the revision of the last change.
    fn drain(&self, executors: &[SocketAddr]) -> Result<i64, u8> {
        let known = self.list(EXECUTORS_PREFIX)?;
        let mut revision = 0;
        for executor in executors {
            if !known
                .iter()
                .any(|(name, _, _)| *name == executor.to_string())
            {
                eprintln!(
                    "{executor} has no entry in the store yet; the drain applies once it registers"
                );
            }
            let put = PutRequest {
                key: self.drain_key(executor),
                value: "{}".into(),
                ..PutRequest::default()
            };
            let done: PutResponse = self.send(PUT, &put)?;
            revision = done.header.unwrap_or_default().revision;
            println!("{executor} is drained as of revision {revision}");
        }
        Ok(revision)
    }

    /// Cancels drains; returns the revision of the last change.
    fn undrain(&self, executors: &[SocketAddr]) -> Result<i64, u8> {
        let mut revision = 0;
        for executor in executors {
            let delete = DeleteRangeRequest {
                key: self.drain_key(executor),
                ..DeleteRangeRequest::default()
            };
            let done: DeleteRangeResponse = self.send(DELETE_RANGE, &delete)?;
            revision = done.header.unwrap_or_default().revision;
            if done.deleted == 0 {
                println!("{executor} was not drained");
            } else {
                println!("{executor} is drained no more as of revision {revision}");
            }
        }
        Ok(revision)
    }
}

/// Prints or changes the executors registered in etcd.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    let store = open(&arguments)?;
    let (revision, wait) = match arguments.command {
        Command::List { json } => return store.print(json),
        Command::Watch { seconds } => return store.watch(seconds),
        Command::Drain { executors, wait } => (store.drain(&executors)?, wait),
        Command::Undrain { executors, wait } => (store.undrain(&executors)?, wait),
    };
    wait.map_or(Ok(()), |seconds| store.wait(revision, seconds))
}
