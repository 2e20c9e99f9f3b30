//! The writer of changes: the core's transactions over the true client.

use super::entries;
use async_executor::LocalExecutor;
use orchidtally_config_sync::writer::{
    self, DEFAULT_MAX_OPERATIONS, EntryChange, ModRevisionGuard, Operation, ReadValue, ReadValues,
    Transaction, WriteError,
};
use orchidtally_config_sync::{GatewaySchema, Keyspace};
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::*;
use orchidtally_etcd::{Client, ClientError, TXN};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Writes that wait for the writer at most; who asks for more waits.
const MAX_JOBS: usize = 64;
/// Between tries of a write, in seconds.
const RETRY_DELAY: f64 = 0.1;

/// Why a change was not written.
#[derive(Debug, Error)]
pub enum ChangeError {
    #[error("the change can't be planned: {0}")]
    Unplanned(#[from] WriteError),
    #[error("the store did not take the change within {seconds} s; the last try: {last}")]
    NotWritten { seconds: f64, last: String },
    #[error("the writer's thread has ended; see its messages above")]
    NoWriter,
}

/// Changes to write and where the answer goes.
struct Job {
    changes: Vec<EntryChange>,
    answer: async_channel::Sender<Result<Written, ChangeError>>,
}

/// What the store answered to a write.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    pub revision: i64,
    /// When the first try began.
    pub began: Instant,
    /// When the store had answered.
    pub answered: Instant,
}

/// A writer on a thread of its own, as it is a process of its own beside front ends. It ends when this is dropped.
pub struct WriterThread {
    jobs: async_channel::Sender<Job>,
}

impl WriterThread {
    /// Starts a writer that uses these members and abandons a write after `timeout_s` seconds.
    pub fn start(endpoints: Vec<SocketAddr>, timeout_s: f64) -> WriterThread {
        let (jobs, received) = async_channel::bounded::<Job>(MAX_JOBS);
        std::thread::spawn(move || {
            let tasks = Rc::new(LocalExecutor::new());
            let writer = ChangeWriter::new(Client::new(endpoints, tasks.clone()), timeout_s);
            let work = async {
                while let Ok(job) = received.recv().await {
                    // The run may have given up waiting.
                    let _ = job.answer.send(writer.write(&job.changes).await).await;
                }
            };
            async_io::block_on(tasks.run(work));
        });
        WriterThread { jobs }
    }

    /// Has some changes written in one transaction, after those that were asked for before.
    pub async fn submit(&self, changes: Vec<EntryChange>) -> Result<PendingWrite, ChangeError> {
        let (answer, answered) = async_channel::bounded(1);
        self.jobs
            .send(Job { changes, answer })
            .await
            .map_err(|_| ChangeError::NoWriter)?;
        Ok(PendingWrite { answered })
    }
}

/// A write that was asked for.
pub struct PendingWrite {
    answered: async_channel::Receiver<Result<Written, ChangeError>>,
}

impl PendingWrite {
    /// Waits until it is written.
    pub async fn written(self) -> Result<Written, ChangeError> {
        self.answered
            .recv()
            .await
            .map_err(|_| ChangeError::NoWriter)?
    }
}

/// Writes changes, again until the store has taken them.
struct ChangeWriter {
    client: Client,
    keyspace: Keyspace,
    max_value_bytes: usize,
    /// A write is given up after this time, in seconds.
    timeout_s: f64,
}

impl ChangeWriter {
    fn new(client: Client, timeout_s: f64) -> ChangeWriter {
        let max_value_bytes = entries::settings().max_value_bytes;
        ChangeWriter {
            client,
            keyspace: entries::keyspace(),
            max_value_bytes,
            timeout_s,
        }
    }

    /// Writes some changes in one transaction.
    async fn write(&self, changes: &[EntryChange]) -> Result<Written, ChangeError> {
        let mut last = String::new();
        let began = Instant::now();
        while began.elapsed().as_secs_f64() < self.timeout_s {
            match self.try_write(changes).await {
                Ok(Ok(Some(revision))) => {
                    return Ok(Written {
                        revision,
                        began,
                        answered: Instant::now(),
                    });
                }
                Ok(Ok(None)) => last = "another writer was faster".into(),
                Ok(Err(unplanned)) => return Err(unplanned.into()),
                Err(fault) => {
                    last = fault.to_string();
                    self.client.fail_over();
                    async_io::Timer::after(Duration::from_secs_f64(RETRY_DELAY)).await;
                }
            }
        }
        Err(ChangeError::NotWritten {
            seconds: self.timeout_s,
            last,
        })
    }

    async fn try_write(
        &self,
        changes: &[EntryChange],
    ) -> Result<Result<Option<i64>, WriteError>, ClientError> {
        let read = self
            .read(&writer::keys_to_read(&self.keyspace, changes))
            .await?;
        // A try whose answer was lost may have been committed.
        if let Some(revision) = self.written_before(changes, &read) {
            return Ok(Ok(Some(revision)));
        }
        let (schema, most) = (GatewaySchema, DEFAULT_MAX_OPERATIONS);
        match writer::plan(
            &self.keyspace,
            &schema,
            changes,
            &read,
            self.max_value_bytes,
            most,
        ) {
            Ok(transaction) => self.commit(&transaction).await.map(Ok),
            Err(unplanned) => Ok(Err(unplanned)),
        }
    }

    fn written_before(&self, changes: &[EntryChange], read: &ReadValues) -> Option<i64> {
        let revision_of = |change: &EntryChange| {
            let known = read.get(&self.keyspace.entry(&change.key))?;
            (change.document.as_ref() == Some(&known.value)).then_some(known.mod_revision)
        };
        let revisions: Option<Vec<i64>> = changes.iter().map(revision_of).collect();
        revisions?.into_iter().max()
    }

    /// Reads keys at one revision.
    async fn read(&self, keys: &[Vec<u8>]) -> Result<ReadValues, ClientError> {
        let range = |key: &Vec<u8>| {
            let request = RangeRequest {
                key: key.clone().into(),
                ..RangeRequest::default()
            };
            RequestOp {
                request: Some(Request::RequestRange(request)),
            }
        };
        let mut values = ReadValues::new();
        let request = TxnRequest {
            success: keys.iter().map(range).collect(),
            ..TxnRequest::default()
        };
        let answer: TxnResponse = self.client.unary(TXN, &request, REQUEST_TIMEOUT).await?;
        for response in answer.responses {
            let Some(Response::ResponseRange(range)) = response.response else {
                continue;
            };
            for entry in range.kvs {
                let value = ReadValue {
                    value: entry.value.to_vec(),
                    mod_revision: entry.mod_revision,
                };
                values.insert(entry.key.to_vec(), value);
            }
        }
        Ok(values)
    }

    /// Commits; `None` if a guard did not hold.
    async fn commit(&self, transaction: &Transaction) -> Result<Option<i64>, ClientError> {
        let answer: TxnResponse = self
            .client
            .unary(TXN, &request(transaction), REQUEST_TIMEOUT)
            .await?;
        let revision = answer.header.map_or(0, |header| header.revision);
        Ok(answer.succeeded.then_some(revision))
    }
}

/// A transaction in the store's terms.
pub fn request(transaction: &Transaction) -> TxnRequest {
    TxnRequest {
        compare: transaction.guards.iter().map(compare).collect(),
        success: transaction.operations.iter().map(operation).collect(),
        failure: vec![],
    }
}

fn compare(guard: &ModRevisionGuard) -> Compare {
    Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: guard.key.clone().into(),
        target_union: Some(TargetUnion::ModRevision(guard.mod_revision)),
    }
}

fn operation(operation: &Operation) -> RequestOp {
    let request = match operation {
        Operation::Put { key, value } => Request::RequestPut(PutRequest {
            key: key.clone().into(),
            value: value.clone().into(),
            ..PutRequest::default()
        }),
        Operation::Delete { key } => Request::RequestDeleteRange(DeleteRangeRequest {
            key: key.clone().into(),
            ..DeleteRangeRequest::default()
        }),
    };
    RequestOp {
        request: Some(request),
    }
}
