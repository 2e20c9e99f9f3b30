//! Copies of functions: loaded from the store once for all that wait, unloaded for room, run lane by lane.

use super::Executor;
use super::guards::{Slot, WaitingForCopy};
use super::program::{Program, digest};
use async_channel::{Receiver, Sender};
use orchidtally_executor_protocol::v1;
use std::rc::Rc;

/// A copy of a function.
pub(super) struct Copy {
    /// Loading until the last sender is dropped; `None` once it is loaded.
    pub(super) loading: Option<Receiver<()>>,
    pub(super) loaded: bool,
    pub(super) running: usize,
    pub(super) held: usize,
    pub(super) used_at: f64,
    pub(super) lanes: Receiver<()>,
    pub(super) free_slot: Sender<()>,
    pub(super) memory: f64,
    /// Of the bytes that were loaded.
    pub(super) digest: String,
}

impl Executor {
    /// Waits until a copy stands; begins to load one where none does.
    pub(super) async fn copy(
        self: &Rc<Self>,
        function: &str,
        requested: &str,
        program: &Program,
        loads: bool,
    ) -> Result<v1::Found, Unloaded> {
        let mut found = v1::Found::Warm;
        loop {
            let loading = match self.copies.borrow_mut().get_mut(function) {
                Some(copy) if copy.loaded => {
                    copy.used_at = self.stage.now();
                    return Ok(found);
                }
                Some(copy) => copy.loading.clone(),
                None if found != v1::Found::Warm => {
                    let other = self.other_bytes.borrow().contains(function);
                    return Err(if other {
                        Unloaded::OtherBytes
                    } else {
                        Unloaded::Failed
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
                // Nothing is ever sent: the channel closes when the load has ended.
                let _ = loading.recv().await;
                continue;
            }
            if !loads {
                return Err(Unloaded::Missing);
            }
            self.make_room(program.memory)?;
            found = v1::Found::Loaded;
            self.begin_load(function, requested, program);
        }
    }

    /// Begins to load a copy; those who wait for it hear when its channel closes.
    fn begin_load(self: &Rc<Self>, function: &str, requested: &str, program: &Program) {
        let (ended, loading) = async_channel::bounded(1);
        let (free_slot, lanes) = async_channel::bounded(program.concurrency.max(1));
        for _ in 0..program.concurrency.max(1) {
            // The channel has room for just these.
            let _ = free_slot.try_send(());
        }
        let copy = Copy {
            loading: Some(loading),
            loaded: false,
            running: 0,
            held: 0,
            used_at: self.stage.now(),
            lanes,
            free_slot,
            memory: program.memory,
            digest: String::new(),
        };
        self.copies.borrow_mut().insert(function.to_owned(), copy);
        let (me, name, time) = (self.clone(), function.to_owned(), program.load_time);
        let (bytes, requested) = (program.package.clone(), requested.to_owned());
        let load = async move {
            let fetched = me.store.fetch(time).await;
            let found = digest(&bytes);
            let came = fetched && (requested.is_empty() || found == requested);
            if fetched && !came {
                me.other_bytes.borrow_mut().insert(name.clone());
            }
            let mut copies = me.copies.borrow_mut();
            match copies.get_mut(&name) {
                Some(copy) if came => {
                    copy.loaded = true;
                    copy.digest = found;
                    copy.loading = None;
                    copy.used_at = me.stage.now();
                }
                _ => {
                    copies.remove(&name);
                }
            }
            drop(copies);
            drop(ended);
        };
        self.stage.spawn(load).detach();
    }

    /// Unloads idle copies, the longest unused first, until so much memory is free.
    fn make_room(&self, memory: f64) -> Result<(), Unloaded> {
        while self.memory_used() + memory > self.spec.memory {
            let mut copies = self.copies.borrow_mut();
            let idle = copies
                .iter()
                .filter(|(_, c)| c.loaded && c.running == 0 && c.held == 0);
            let oldest = idle
                .min_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at))
                .map(|(name, _)| name.clone());
            let Some(oldest) = oldest else {
                return Err(Unloaded::NoCapacity);
            };
            copies.remove(&oldest);
        }
        Ok(())
    }

    /// A lane of a copy, once one is free.
    pub(super) async fn slot(self: &Rc<Self>, function: &str) -> Option<Slot> {
        let (lanes, back, digest) = {
            let mut copies = self.copies.borrow_mut();
            let copy = copies.get_mut(function)?;
            copy.held += 1;
            (
                copy.lanes.clone(),
                copy.free_slot.clone(),
                copy.digest.clone(),
            )
        };
        let held = WaitingForCopy {
            executor: self.clone(),
            function: function.to_owned(),
        };
        lanes.recv().await.ok()?;
        drop(held);
        self.copies.borrow_mut().get_mut(function)?.running += 1;
        Some(Slot {
            executor: self.clone(),
            function: function.to_owned(),
            back,
            digest,
        })
    }
}

/// Why there is no copy.
pub(super) enum Unloaded {
    Failed,
    /// What was fetched is not what the digest names.
    OtherBytes,
    NoCapacity,
    Missing,
}
