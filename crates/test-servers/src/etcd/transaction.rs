//! Transactions. The form of the request and the operations of the chosen branch are checked before the first write, so
//! a transaction either applies as a whole in one revision or has no effect.

use super::history::KeyRange;
use super::store::{Store, check_key};
use super::{INVALID_ARGUMENT, refuse};
use bytes::Bytes;
use orchidtally_etcd::grpc::Status;
use orchidtally_etcd::rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use orchidtally_etcd::rpc::request_op::Request;
use orchidtally_etcd::rpc::response_op::Response;
use orchidtally_etcd::rpc::*;
use std::collections::BTreeSet;

/// The maximum number of comparisons, and of operations per branch: etcd's default for `--max-txn-ops`.
pub const MAX_OPERATIONS: usize = 128;

impl Store {
    /// Applies a transaction in one revision, or fails without effect.
    pub fn txn(&mut self, txn: &TxnRequest) -> Result<TxnResponse, Status> {
        validate(txn)?;
        let succeeded = txn.compare.iter().all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let requests: Vec<&Request> = operations
            .iter()
            .filter_map(|op| op.request.as_ref())
            .collect();
        for request in &requests {
            self.check(request)?;
        }
        let next = self.revision + 1;
        let mut has_written = false;
        let mut responses = vec![];
        for request in requests {
            let (response, wrote) = self.apply(request, next);
            has_written |= wrote;
            responses.push(ResponseOp {
                response: Some(response),
            });
        }
        if has_written {
            self.commit();
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn check(&self, request: &Request) -> Result<(), Status> {
        match request {
            Request::RequestRange(range) => self.check_range(range, self.view()),
            Request::RequestPut(put) => self.check_put(put),
            Request::RequestDeleteRange(delete) => check_key(&delete.key),
        }
    }

    /// Applies an operation that has been checked, and returns whether it wrote. Reads see earlier writes of the same
    /// transaction.
    fn apply(&mut self, request: &Request, next: i64) -> (Response, bool) {
        match request {
            Request::RequestRange(range) => {
                let revision = if range.revision > 0 {
                    range.revision
                } else {
                    next
                };
                let response = self.read_range(range, revision, self.view());
                (Response::ResponseRange(response), false)
            }
            Request::RequestPut(put) => {
                let prev_kv = self.write_put(next, put).filter(|_| put.prev_kv);
                (
                    Response::ResponsePut(PutResponse {
                        header: None,
                        prev_kv,
                    }),
                    true,
                )
            }
            Request::RequestDeleteRange(delete) => {
                let entries = self.write_delete(next, delete);
                let deleted = entries.len() as i64;
                let prev_kvs = if delete.prev_kv { entries } else { vec![] };
                let response = DeleteRangeResponse {
                    header: None,
                    deleted,
                    prev_kvs,
                };
                (Response::ResponseDeleteRange(response), deleted > 0)
            }
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let entry = self
            .history
            .entry_at(&compare.key, self.revision)
            .cloned()
            .unwrap_or_default();
        let order = match (&compare.target_union, compare.target()) {
            (Some(TargetUnion::Version(v)), CompareTarget::Version) => entry.version.cmp(v),
            (Some(TargetUnion::CreateRevision(v)), CompareTarget::Create) => {
                entry.create_revision.cmp(v)
            }
            (Some(TargetUnion::ModRevision(v)), CompareTarget::Mod) => entry.mod_revision.cmp(v),
            (Some(TargetUnion::Value(v)), CompareTarget::Value) => entry.value.cmp(v),
            (Some(TargetUnion::Lease(v)), CompareTarget::Lease) => entry.lease.cmp(v),
            // An omitted operand means zero.
            (None, CompareTarget::Version) => entry.version.cmp(&0),
            (None, CompareTarget::Create) => entry.create_revision.cmp(&0),
            (None, CompareTarget::Mod) => entry.mod_revision.cmp(&0),
            (None, CompareTarget::Lease) => entry.lease.cmp(&0),
            _ => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }
}

fn validate(txn: &TxnRequest) -> Result<(), Status> {
    let longest = txn
        .compare
        .len()
        .max(txn.success.len())
        .max(txn.failure.len());
    if longest > MAX_OPERATIONS {
        return refuse(
            INVALID_ARGUMENT,
            "etcdserver: too many operations in txn request",
        );
    }
    check_branch(&txn.success)?;
    check_branch(&txn.failure)
}

/// Checks that a branch has no empty operation, puts no key twice and deletes no key that it puts.
fn check_branch(operations: &[RequestOp]) -> Result<(), Status> {
    let mut put_keys: BTreeSet<&Bytes> = BTreeSet::new();
    let mut deleted: Vec<KeyRange> = vec![];
    for operation in operations {
        match &operation.request {
            None => {
                return refuse(
                    INVALID_ARGUMENT,
                    "etcdserver: an operation without a request",
                );
            }
            Some(Request::RequestRange(_)) => {}
            Some(Request::RequestDeleteRange(delete)) => {
                deleted.push(KeyRange::new(&delete.key, &delete.range_end));
            }
            Some(Request::RequestPut(put)) if put_keys.insert(&put.key) => {}
            Some(Request::RequestPut(_)) => return refuse_duplicate(),
        }
    }
    let is_deleted = |key: &&Bytes| deleted.iter().any(|range| range.contains(key));
    if put_keys.iter().any(is_deleted) {
        return refuse_duplicate();
    }
    Ok(())
}

fn refuse_duplicate() -> Result<(), Status> {
    refuse(
        INVALID_ARGUMENT,
        "etcdserver: duplicate key given in txn request",
    )
}
