//! A configuration store: the project's own stand-in of etcd with three members, on a thread of its own, and a writer of
//! entries as the pages ask for (entries and digests in one transaction, guarded by their revisions).

use crate::Record;
use orchidtally_config_sync::writer::{self, EntryChange, Operation, ReadValue, ReadValues};
use orchidtally_config_sync::{EntryKey, GatewaySchema, Keyspace};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::{
    Compare, DeleteRangeRequest, PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest,
    TxnResponse,
};
use orchidtally_etcd::{Client, ClientError, RANGE, TXN};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::EtcdServer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

/// The prefix of all keys: the pages' default.
pub const PREFIX: &str = "orchidtally/config/";
/// The limits of a value and of a transaction, as the pages state them.
const MAX_VALUE_BYTES: usize = 16 * 1024;
const MAX_OPERATIONS: usize = 128;
const EXCHANGE_TIME: Duration = Duration::from_secs(2);

enum Command {
    /// Writes an entry; answers with the revision.
    Write(String, String),
    /// Answers with the newest revision.
    Revision,
    /// Stops all members, sets the store back to a revision as a restore from a backup does, and starts them again.
    Restore(i64),
    /// Answers with the revision that a front end has last reported as applied, and its state.
    Applied,
}

/// A store on loopback addresses.
pub struct Store {
    pub addresses: Vec<SocketAddr>,
    commands: async_channel::Sender<Command>,
    answers: mpsc::Receiver<(i64, String)>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Store {
        let (commands, received) = async_channel::unbounded();
        let (started, start) = mpsc::channel();
        let (answer, answers) = mpsc::channel();
        let record = record.clone();
        std::thread::spawn(move || {
            let environment = TestEnvironment::new(1);
            let etcd = EtcdServer::start(&environment, 3).expect("the members can listen");
            let _ = started.send(etcd.addresses.clone());
            let work = async {
                let client = Client::new(etcd.addresses.clone(), environment.tasks.clone());
                while let Ok(command) = received.recv().await {
                    let done = perform(&environment, &etcd, &client, command, &record).await;
                    let _ = answer.send(done);
                }
            };
            async_io::block_on(environment.tasks.run(work));
        });
        Store {
            addresses: start.recv().expect("the store has started"),
            commands,
            answers,
        }
    }

    fn ask(&self, command: Command) -> (i64, String) {
        let _ = self.commands.send_blocking(command);
        self.answers.recv_timeout(Duration::from_secs(20)).unwrap_or((-1, String::new()))
    }

    /// Writes an entry with its digest in one transaction; returns the revision.
    pub fn write(&self, key: &str, document: &str) -> i64 {
        self.ask(Command::Write(key.into(), document.into())).0
    }

    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.ask(Command::Revision).0
    }

    /// Restores the store from a backup that was made at a revision.
    pub fn restore(&self, revision: i64) {
        self.ask(Command::Restore(revision));
    }

    /// The least revision that front ends with a live report have applied, and the state of that front end; -1 without a
    /// report.
    pub fn applied(&self) -> (i64, String) {
        self.ask(Command::Applied)
    }
}

async fn perform(
    environment: &TestEnvironment,
    etcd: &Rc<EtcdServer>,
    client: &Client,
    command: Command,
    record: &Record,
) -> (i64, String) {
    match command {
        Command::Write(key, document) => {
            for _ in 0..20 {
                match try_write(client, &key, &document).await {
                    Ok(Some(revision)) => {
                        record.line(format!("store: revision {revision}: {key} = {document}"));
                        return (revision, String::new());
                    }
                    Ok(None) => {}
                    Err(_) => client.fail_over(),
                }
                environment.sleep(0.2).await;
            }
            (-1, String::new())
        }
        Command::Revision => (etcd.store.borrow().revision, String::new()),
        Command::Restore(revision) => {
            (0..3).for_each(|member| etcd.stop(member));
            environment.sleep(0.5).await;
            let before = etcd.store.borrow().revision;
            etcd.store.borrow_mut().restore(revision);
            (0..3).for_each(|member| etcd.restart(member));
            environment.sleep(1.5).await;
            record.line(format!("store: restored from a backup, revision {before} -> {revision}"));
            (revision, String::new())
        }
        Command::Applied => applied(client).await.unwrap_or((-1, String::new())),
    }
}

async fn applied(client: &Client) -> Option<(i64, String)> {
    let range = Keyspace::new(PREFIX).reports();
    let question = RangeRequest {
        key: range.start.into(),
        range_end: range.end.into(),
        ..RangeRequest::default()
    };
    let Ok(answer) = client.unary::<RangeResponse>(RANGE, &question, EXCHANGE_TIME).await else {
        client.fail_over();
        return None;
    };
    let reports = answer.kvs.iter().filter_map(|pair| {
        let report: serde_json::Value = serde_json::from_slice(&pair.value).ok()?;
        let state = report["state"].as_str()?.to_owned();
        (state != "ended").then_some((report["applied_revision"].as_i64()?, state))
    });
    reports.min()
}

async fn try_write(client: &Client, key: &str, document: &str) -> Result<Option<i64>, ClientError> {
    let keyspace = Keyspace::new(PREFIX);
    let changes = [EntryChange {
        key: EntryKey::parse(key).expect("the key is an entry's"),
        document: Some(document.as_bytes().to_vec()),
    }];
    let mut read = ReadValues::new();
    for key in writer::keys_to_read(&keyspace, &changes) {
        let question = RangeRequest {
            key: key.clone().into(),
            ..RangeRequest::default()
        };
        let answer: RangeResponse = client.unary(RANGE, &question, EXCHANGE_TIME).await?;
        if let Some(pair) = answer.kvs.into_iter().next() {
            let value = ReadValue {
                value: pair.value.to_vec(),
                mod_revision: pair.mod_revision,
            };
            read.insert(key, value);
        }
    }
    let plan = writer::plan(
        &keyspace,
        &GatewaySchema,
        &changes,
        &read,
        MAX_VALUE_BYTES,
        MAX_OPERATIONS,
    )
    .expect("the change is valid");
    let compare = plan.guards.into_iter().map(|guard| Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: guard.key.into(),
        target_union: Some(TargetUnion::ModRevision(guard.mod_revision)),
    });
    let success = plan.operations.into_iter().map(|operation| RequestOp {
        request: Some(match operation {
            Operation::Put { key, value } => Request::RequestPut(PutRequest {
                key: key.into(),
                value: value.into(),
                ..PutRequest::default()
            }),
            Operation::Delete { key } => Request::RequestDeleteRange(DeleteRangeRequest {
                key: key.into(),
                ..DeleteRangeRequest::default()
            }),
        }),
    });
    let transaction = TxnRequest {
        compare: compare.collect(),
        success: success.collect(),
        failure: vec![],
    };
    let answer: TxnResponse = client.unary(TXN, &transaction, EXCHANGE_TIME).await?;
    Ok(answer.succeeded.then(|| answer.header.unwrap_or_default().revision))
}
