//! The main loop of the message triggers.

use super::MessageTriggers;
use super::connection::Input;
use super::host::{ConsumerHost, JournalResult};
use super::tls_files::CHECK_INTERVAL;
use crate::router::Router;
use bytes::Bytes;
use futures_lite::future;
use orchidtally_journal::GroupCommit;
use orchidtally_mqtt_triggers::{Consumer, TriggerSettings};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, error, info};

/// The maximum number of queued inputs. The socket is not read while the queue is full.
const MAX_INPUTS: usize = 1_024;
/// The longest sleep in seconds.
const MAX_SLEEP: f64 = 60.0;
/// Journal entries that may be queued for each message in flight, and in addition to those.
const ENTRIES_PER_MESSAGE: usize = 8;
const SPARE_ENTRIES: usize = 1_024;

/// An event that wakes the main loop.
#[allow(
    clippy::large_enum_variant,
    reason = "it is matched at once and never stored"
)]
enum Wake {
    Input(Input),
    JournalResult(JournalResult),
    /// The front end is shutting down.
    Drain,
}

/// Serves message triggers until the front end shuts down and all messages in flight are answered.
pub async fn consume(
    router: Rc<Router>,
    triggers: MessageTriggers,
    draining: async_channel::Receiver<()>,
) {
    let MessageTriggers {
        settings,
        journal,
        records,
        truncated_bytes,
        max_batch,
    } = triggers;
    if truncated_bytes > 0 || !records.is_empty() {
        info!(
            entries = records.len(),
            truncated_bytes, "journal of the previous incarnation read"
        );
    }
    let settings = Rc::new(settings);
    let (index, password) = (
        router.deployment.policy.front_end_index as u32,
        read_password(&settings),
    );
    let consumer = Consumer::new(
        &settings,
        &router.deployment,
        index,
        password,
        &records,
        router.now(),
    );
    let max_entries = ENTRIES_PER_MESSAGE * settings.max_held_messages() + SPARE_ENTRIES;
    let (input_sender, inputs) = async_channel::bounded(MAX_INPUTS);
    let (result_sender, journal_results) = async_channel::bounded(2 * max_entries);
    let journal = GroupCommit::with_max_batch(journal, max_entries, max_batch);
    let mut host = ConsumerHost::new(
        router.clone(),
        settings,
        consumer,
        journal,
        input_sender,
        result_sender,
    );
    let queues = Queues {
        inputs,
        journal_results,
        draining,
    };
    run(&mut host, &router, &queues).await;
    host.close().await;
    debug!("message triggers stopped");
}

/// The queues that wake the main loop.
struct Queues {
    inputs: async_channel::Receiver<Input>,
    journal_results: async_channel::Receiver<JournalResult>,
    /// Closed when the front end shuts down.
    draining: async_channel::Receiver<()>,
}

impl Queues {
    /// Waits for the next input, for at most `sleep`. Results of the journal come first.
    async fn next(&self, sleep: Duration, is_draining: bool) -> Option<Wake> {
        let input = async { self.inputs.recv().await.ok().map(Wake::Input) };
        let journal_result = async {
            let result = self.journal_results.recv().await;
            result.ok().map(Wake::JournalResult)
        };
        let drain = async {
            if is_draining {
                future::pending::<()>().await;
            }
            // No message is ever sent; closing the channel is the signal.
            let _ = self.draining.recv().await;
            Some(Wake::Drain)
        };
        let wake = future::or(journal_result, future::or(input, drain));
        orchidtally_socket_io::with_timeout(sleep, wake)
            .await
            .flatten()
    }

    /// Processes everything that is queued before the next tick.
    fn apply_queued(&self, host: &mut ConsumerHost) {
        for _ in 0..MAX_INPUTS {
            let Ok(result) = self.journal_results.try_recv() else {
                break;
            };
            host.apply_journal_result(result);
        }
        for _ in 0..MAX_INPUTS {
            let Ok(input) = self.inputs.try_recv() else {
                break;
            };
            host.apply(input);
        }
    }
}

/// Runs the main loop until the front end shuts down and all messages in flight are answered.
async fn run(host: &mut ConsumerHost, router: &Router, queues: &Queues) {
    let mut is_draining = false;
    loop {
        host.tick();
        if is_draining && host.consumer.backlog().0 == 0 {
            return;
        }
        let max_sleep = if host.uses_tls() {
            CHECK_INTERVAL
        } else {
            MAX_SLEEP
        };
        let sleep =
            Duration::from_secs_f64((host.next_tick_at() - router.now()).clamp(0.0, max_sleep));
        match queues.next(sleep, is_draining).await {
            Some(Wake::Input(input)) => host.apply(input),
            Some(Wake::JournalResult(result)) => host.apply_journal_result(result),
            Some(Wake::Drain) => {
                is_draining = true;
                host.consumer.drain();
            }
            None => {}
        }
        queues.apply_queued(host);
    }
}

fn read_password(settings: &TriggerSettings) -> Option<Bytes> {
    let file = settings.password_file.as_ref()?;
    match std::fs::read(file) {
        Ok(bytes) => Some(Bytes::from(bytes.trim_ascii_end().to_vec())),
        Err(fault) => {
            error!(%fault, ?file, "broker password unreadable");
            None
        }
    }
}
