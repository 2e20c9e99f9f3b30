//! Replicas of functions. A replica is loaded from the store once for all waiting dispatches, runs as many of them at
//! a time as its function's concurrency allows, and is evicted when memory is needed.

use super::Executor;
use super::guards::{Slot, WaitingForReplica};
use super::program::{Program, digest};
use async_channel::{Receiver, Sender};
use orchidtally_executor_protocol::v1;
use std::rc::Rc;

/// A function that is loaded, or being loaded, on an executor.
pub(super) struct Replica {
    /// Closes when the load ends, successfully or not; `None` once the replica is loaded.
    pub(super) loading: Option<Receiver<()>>,
    pub(super) loaded: bool,
    pub(super) running: usize,
    /// Dispatches that wait for a free slot.
    pub(super) waiting: usize,
    pub(super) used_at: f64,
    /// Has one message for each free slot.
    pub(super) free_slots: Receiver<()>,
    pub(super) release_slot: Sender<()>,
    pub(super) memory: f64,
    /// SHA-256 of the loaded package, in hexadecimal digits.
    pub(super) digest: String,
}

impl Executor {
    /// Waits until the function is loaded. If it isn't, starts a load, or fails with `LoadFailure::Missing` where
    /// `may_load` is false.
    pub(super) async fn loaded_replica(
        self: &Rc<Self>,
        function: &str,
        requested_digest: &str,
        program: &Program,
        may_load: bool,
    ) -> Result<v1::Found, LoadFailure> {
        let mut found = v1::Found::Warm;
        loop {
            let loading = match self.replicas.borrow_mut().get_mut(function) {
                Some(replica) if replica.loaded => {
                    replica.used_at = self.environment.now();
                    return Ok(found);
                }
                Some(replica) => replica.loading.clone(),
                None if found != v1::Found::Warm => {
                    let digest_mismatch = self.digest_mismatches.borrow().contains(function);
                    return Err(if digest_mismatch {
                        LoadFailure::DigestMismatch
                    } else {
                        LoadFailure::Failed
                    });
                }
                None => None,
            };
            if let Some(loading) = loading {
                found = if found == v1::Found::Warm {
                    v1::Found::Waited
                } else {
                    found
                };
                // Nothing is sent over this channel; it closes when the load ends.
                let _ = loading.recv().await;
                continue;
            }
            if !may_load {
                return Err(LoadFailure::Missing);
            }
            self.evict_idle_replicas(program.memory)?;
            found = v1::Found::Loaded;
            self.begin_load(function, requested_digest, program);
        }
    }

    /// Starts to load a replica. The channel `Replica::loading` closes when the load ends.
    fn begin_load(self: &Rc<Self>, function: &str, requested_digest: &str, program: &Program) {
        let (ended, loading) = async_channel::bounded(1);
        let (release_slot, free_slots) = async_channel::bounded(program.concurrency.max(1));
        for _ in 0..program.concurrency.max(1) {
            // Never fails: the channel's capacity is the number of slots.
            let _ = release_slot.try_send(());
        }
        let replica = Replica {
            loading: Some(loading),
            loaded: false,
            running: 0,
            waiting: 0,
            used_at: self.environment.now(),
            free_slots,
            release_slot,
            memory: program.memory,
            digest: String::new(),
        };
        self.replicas
            .borrow_mut()
            .insert(function.to_owned(), replica);
        let (executor, name, time) = (self.clone(), function.to_owned(), program.load_time);
        let (bytes, requested_digest) = (program.package.clone(), requested_digest.to_owned());
        let load = async move {
            let fetched = executor.store.fetch(time).await;
            let actual_digest = digest(&bytes);
            let is_valid =
                fetched && (requested_digest.is_empty() || actual_digest == requested_digest);
            if fetched && !is_valid {
                executor.digest_mismatches.borrow_mut().insert(name.clone());
            }
            let mut replicas = executor.replicas.borrow_mut();
            match replicas.get_mut(&name) {
                Some(replica) if is_valid => {
                    replica.loaded = true;
                    replica.digest = actual_digest;
                    replica.loading = None;
                    replica.used_at = executor.environment.now();
                }
                _ => {
                    replicas.remove(&name);
                }
            }
            drop(replicas);
            drop(ended);
        };
        self.environment.spawn(load).detach();
    }

    /// Unloads idle replicas, the least recently used first, until `memory` is free.
    fn evict_idle_replicas(&self, memory: f64) -> Result<(), LoadFailure> {
        while self.memory_used() + memory > self.spec.memory {
            let mut replicas = self.replicas.borrow_mut();
            let idle = replicas.iter().filter(|(_, replica)| {
                replica.loaded && replica.running == 0 && replica.waiting == 0
            });
            let oldest = idle
                .min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at))
                .map(|(name, _)| name.clone());
            let Some(oldest) = oldest else {
                return Err(LoadFailure::NoCapacity);
            };
            replicas.remove(&oldest);
        }
        Ok(())
    }

    /// Waits for a free slot of a replica; returns `None` if the replica is unloaded meanwhile.
    pub(super) async fn slot(self: &Rc<Self>, function: &str) -> Option<Slot> {
        let (free_slots, release_slot, digest) = {
            let mut replicas = self.replicas.borrow_mut();
            let replica = replicas.get_mut(function)?;
            replica.waiting += 1;
            (
                replica.free_slots.clone(),
                replica.release_slot.clone(),
                replica.digest.clone(),
            )
        };
        let waiting = WaitingForReplica {
            executor: self.clone(),
            function: function.to_owned(),
        };
        free_slots.recv().await.ok()?;
        drop(waiting);
        self.replicas.borrow_mut().get_mut(function)?.running += 1;
        Some(Slot {
            executor: self.clone(),
            function: function.to_owned(),
            release_slot,
            digest,
        })
    }
}

/// Why a function has no loaded replica.
pub(super) enum LoadFailure {
    Failed,
    /// The digest of the fetched package differs from the requested one.
    DigestMismatch,
    /// Replicas in use occupy the memory, or the executor is draining.
    NoCapacity,
    /// The function is not loaded, and the caller does not allow a load.
    Missing,
}
