//! `orchidtally roster`: the roster in etcd, as operators see and change it.

use crate::{BAD_INPUT, COULD_NOT_RUN, NOT_SO, fail, read_deployment};
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
    /// Print executors and front ends as they stand in the store.
    List {
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Print each change until interrupted, or for so many seconds.
    Watch {
        #[arg(long, value_name = "SECONDS")]
        seconds: Option<f64>,
    },
    /// Have executors drained: nothing new is sent there. It outlives their registering again.
    Drain {
        #[arg(required = true)]
        executors: Vec<SocketAddr>,
        /// Wait until every front end has heard of it, for so many seconds at the most.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
    /// Withdraw a drain.
    Undrain {
        #[arg(required = true)]
        executors: Vec<SocketAddr>,
        #[arg(long, value_name = "SECONDS")]
        wait: Option<f64>,
    },
}

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests that are sent to one endpoint after the other.
const MAX_TRIES: usize = 3;
/// The time between two looks at the store, and at the front ends.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// The longest watch and the longest wait, in seconds.
const MAX_WATCH: f64 = 1e6;
const MAX_WAIT: f64 = 3_600.0;

/// The store with the list of executors.
struct Store {
    client: Client,
    prefix: String,
    tasks: Rc<async_executor::LocalExecutor<'static>>,
}

impl Store {
    /// Runs work to its end.
    fn on<T>(&self, work: impl Future<Output = T>) -> T {
        block_on(self.tasks.run(work))
    }

    /// Sends a request to one endpoint after the other.
    fn ask<M: prost::Message + Default>(
        &self,
        path: &str,
        question: &impl prost::Message,
    ) -> Result<M, u8> {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            match self.on(self.client.unary(path, question, REQUEST_TIMEOUT)) {
                Ok(answer) => return Ok(answer),
                Err(fault @ (ClientError::Unreachable(_) | ClientError::TimedOut)) => {
                    last = Some(fault);
                    self.client.fail_over();
                }
                Err(fault) => {
                    last = Some(fault);
                    break;
                }
            }
        }
        Err(fail(
            COULD_NOT_RUN,
            last.map_or_else(String::new, |fault| fault.to_string()),
        ))
    }

    /// The entries of a kind: names, values and revisions.
    fn list(&self, what: &str) -> Result<Vec<(String, Value, i64)>, u8> {
        let prefix = format!("{}{what}", self.prefix);
        let question = RangeRequest {
            key: prefix.clone().into(),
            range_end: range_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        let answer: RangeResponse = self.ask(RANGE, &question)?;
        let read = |kv: orchidtally_etcd::rpc::KeyValue| {
            let key = String::from_utf8_lossy(&kv.key).into_owned();
            let name = key.strip_prefix(&prefix).unwrap_or(&key).to_owned();
            let value = serde_json::from_slice(&kv.value)
                .unwrap_or_else(|_| json!({ "unreadable": String::from_utf8_lossy(&kv.value) }));
            (name, value, kv.mod_revision)
        };
        Ok(answer.kvs.into_iter().map(read).collect())
    }

    /// Executors, with the drains that operators have ordered, and front ends.
    fn standing(&self) -> Result<(Vec<Value>, Vec<Value>), u8> {
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

    /// Waits until each front end knows a revision.
    fn wait(&self, revision: i64, seconds: f64) -> Result<(), u8> {
        let until = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT));
        loop {
            let mut behind = vec![];
            for (index, value, _) in self.list(FRONT_ENDS_PREFIX)? {
                let at = value
                    .get("at")
                    .and_then(Value::as_str)
                    .and_then(|a| a.parse::<SocketAddr>().ok());
                let heard = at.and_then(|at| {
                    let asked = orchidtally_socket_io::http::fetch(
                        at,
                        Method::GET,
                        "/v1/front-end",
                        vec![],
                        REQUEST_TIMEOUT,
                    );
                    let (_, body) = self.on(asked).ok()?;
                    let standing: Value = serde_json::from_slice(&body).ok()?;
                    standing.pointer("/roster/revision")?.as_i64()
                });
                if heard.is_none_or(|r| r < revision) {
                    behind.push(index);
                }
            }
            if behind.is_empty() {
                println!("every front end has heard of it");
                return Ok(());
            }
            if Instant::now() > until {
                println!(
                    "front ends that have not heard of it: {}",
                    behind.join(", ")
                );
                return Err(NOT_SO);
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
            format!("{}: its executors come from no etcd", file.display()),
        ));
    };
    let tasks = Rc::new(async_executor::LocalExecutor::new());
    Ok(Store {
        client: Client::new(endpoints, tasks.clone()),
        prefix,
        tasks,
    })
}

/// An executor as a line of a table.
fn line(e: &Value) -> String {
    let of = |key: &str| match e.pointer(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".into(),
        Some(other) => other.to_string(),
    };
    let standing = if e["drained"] == true {
        "drained".into()
    } else {
        of("/entry/standing")
    };
    format!(
        "{:<24} {standing:<9} {:<12} {:<8} {:>5} {:>9}",
        of("/executor"),
        of("/entry/location"),
        of("/entry/kind"),
        of("/entry/cell"),
        of("/revision")
    )
}

impl Store {
    fn print(&self, as_json: bool) -> Result<(), u8> {
        let (executors, front_ends) = self.standing()?;
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
            .for_each(|executor| println!("{}", line(executor)));
        println!(
            "{} executors, {} front ends",
            executors.len(),
            front_ends.len()
        );
        Ok(())
    }

    /// Prints each change, without end or for some seconds.
    fn watch(&self, seconds: Option<f64>) -> Result<(), u8> {
        let until = seconds
            .map(|time| Instant::now() + Duration::from_secs_f64(time.clamp(0.0, MAX_WATCH)));
        let mut before: Vec<Value> = vec![];
        while until.is_none_or(|until| Instant::now() < until) {
            let (now, _) = self.standing()?;
            now.iter()
                .filter(|e| !before.contains(e))
                .for_each(|e| println!("{}", line(e)));
            let is_there = |e: &&Value| now.iter().any(|n| n["executor"] == e["executor"]);
            before
                .iter()
                .filter(|e| !is_there(e))
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
                eprintln!("{executor} has no entry in the store; it is drained once it has");
            }
            let put = PutRequest {
                key: self.drain_key(executor),
                value: "{}".into(),
                ..PutRequest::default()
            };
            let done: PutResponse = self.ask(PUT, &put)?;
            revision = done.header.unwrap_or_default().revision;
            println!("{executor} is drained as of revision {revision}");
        }
        Ok(revision)
    }

    /// Withdraws drains; returns the revision of the last change.
    fn undrain(&self, executors: &[SocketAddr]) -> Result<i64, u8> {
        let mut revision = 0;
        for executor in executors {
            let delete = DeleteRangeRequest {
                key: self.drain_key(executor),
                ..DeleteRangeRequest::default()
            };
            let done: DeleteRangeResponse = self.ask(DELETE_RANGE, &delete)?;
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

/// Prints or changes the list of executors in etcd.
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
