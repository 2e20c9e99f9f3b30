//! The store's process: the stand-in on loopback sockets, and commands from standard input.

use super::command::{Answer, ClientUsage, Command, MemberUsage, Usage};
use super::{MEMBER_REGIONS, PREFIX};
use crate::clock;
use crate::config::{entries, request};
use orchidtally_config_sync::GatewaySchema;
use orchidtally_config_sync::writer::{self, DEFAULT_MAX_OPERATIONS, ReadValue, ReadValues};
use orchidtally_etcd::rpc::{CompactionRequest, PutRequest, RangeRequest};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::etcd::{ClientCounters, CrashPoint, EtcdServer};
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::net::Ipv4Addr;
use std::rc::Rc;

/// Commands that wait at most; the run waits for each answer, so that one is enough.
const COMMANDS: usize = 1;
/// Interval of the progress notifications of a watch, in seconds; that of etcd.
const PROGRESS_INTERVAL: f64 = 600.0;

/// The address of the first executor; the next ones follow it.
const FIRST_EXECUTOR: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 0);

/// Serves until standard input ends.
pub fn serve(seed: u64) -> std::io::Result<()> {
    let stage = TestEnvironment::new(seed);
    let served = EtcdServer::start_in_regions(&stage, &MEMBER_REGIONS)?;
    served.timing.progress_interval.set(PROGRESS_INTERVAL);
    let (sender, commands) = async_channel::bounded::<String>(COMMANDS);
    std::thread::spawn(move || {
        let lines = std::io::stdin().lock().lines();
        for line in lines.map_while(Result::ok) {
            if sender.send_blocking(line).is_err() {
                return;
            }
        }
    });
    let work = async {
        while let Ok(line) = commands.recv().await {
            let answer = match serde_json::from_str(&line) {
                Ok(command) => perform(&served, &command),
                Err(why) => Answer::Failed {
                    reason: format!("no command of ours: {why}"),
                },
            };
            let mut text = serde_json::to_string(&answer)?;
            text.push('\n');
            let mut out = std::io::stdout().lock();
            out.write_all(text.as_bytes())?;
            out.flush()?;
        }
        Ok(())
    };
    async_io::block_on(stage.tasks.run(work))
}

fn perform(served: &Rc<EtcdServer>, command: &Command) -> Answer {
    match command {
        Command::Addresses => {
            return Answer::Addresses {
                by_region: addresses(served),
            };
        }
        Command::Usage => return Answer::Usage(usage_of(served)),
        Command::Clients => {
            return Answer::Clients {
                clients: clients_of(served),
            };
        }
        Command::PutExecutors { count } => {
            return put(served, (0..*count).map(|n| executor_entry(n, true)));
        }
        Command::ChangeExecutors { from, count } => return change_executors(served, *from, *count),
        Command::PutConfiguration { functions } => return put(served, entries::all(*functions)),
        Command::StopMember { member } => served.stop(*member),
        Command::RestartMember { member } => served.restart(*member),
        Command::CrashInNextTransaction { members, committed } => {
            let point = if *committed {
                CrashPoint::AfterCommit
            } else {
                CrashPoint::BeforeCommit
            };
            served.crash_in_next_transaction(point, *members);
        }
        Command::CutRegion { region } => served.cut(*region),
        Command::Heal => served.heal(),
        Command::Compact => return compact(served),
        Command::ChangeFunctions {
            from,
            count,
            version,
        } => {
            return change_functions(served, *from, *count, *version);
        }
        Command::LoseEvents { client } => {
            *served.faults.loses_events_of.borrow_mut() = Some(client.clone());
        }
        Command::Delay { seconds } => served.faults.delay.set(*seconds),
    }
    Answer::Done
}

fn addresses(served: &EtcdServer) -> Vec<Vec<std::net::SocketAddr>> {
    let regions: BTreeSet<u32> = MEMBER_REGIONS.iter().copied().collect();
    let of = |&region: &u32| {
        let all = served.addresses_from(region);
        let mut members: Vec<_> = all.into_iter().zip(MEMBER_REGIONS).collect();
        members.sort_by_key(|(_, of_member)| *of_member != region);
        members.into_iter().map(|(address, _)| address).collect()
    };
    regions.iter().map(of).collect()
}

fn usage_of(served: &EtcdServer) -> Usage {
    let member = |member| {
        let counters = served.counters(member);
        MemberUsage {
            bytes_received: counters.bytes_received,
            bytes_sent: counters.bytes_sent,
            connections: counters.connections_open,
            watches: counters.watches_open,
        }
    };
    Usage {
        cpu_s: clock::process_cpu_s(),
        heap_bytes: clock::heap_bytes(),
        revision: served.store.borrow().revision,
        members: (0..MEMBER_REGIONS.len()).map(member).collect(),
    }
}

fn clients_of(served: &EtcdServer) -> Vec<ClientUsage> {
    let usage = |client: ClientCounters| ClientUsage {
        name: client.name,
        bytes_received: client.bytes_received,
        bytes_sent: client.bytes_sent,
    };
    served.client_counters().into_iter().map(usage).collect()
}

fn put(served: &EtcdServer, entries: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>) -> Answer {
    for (key, value) in entries {
        let request = PutRequest {
            key: key.into(),
            value: value.into(),
            ..PutRequest::default()
        };
        if let Err(status) = served.store.borrow_mut().put(&request) {
            return Answer::Failed {
                reason: status.to_string(),
            };
        }
    }
    Answer::Done
}

fn change_executors(served: &EtcdServer, from: usize, count: usize) -> Answer {
    // One that drains is ready after its next change.
    let is_ready = served.store.borrow().revision % 2 == 0;
    put(
        served,
        (from..from + count).map(|n| executor_entry(n, is_ready)),
    )
}

fn change_functions(served: &EtcdServer, from: usize, count: usize, version: u64) -> Answer {
    let changes = entries::changes(from..from + count, version);
    let keyspace = entries::keyspace();
    let read = read_values(served, &writer::keys_to_read(&keyspace, &changes));
    let (most_bytes, most) = (entries::settings().max_value_bytes, DEFAULT_MAX_OPERATIONS);
    let planned = writer::plan(&keyspace, &GatewaySchema, &changes, &read, most_bytes, most);
    let request = match planned {
        Ok(transaction) => request(&transaction),
        Err(why) => {
            return Answer::Failed {
                reason: why.to_string(),
            };
        }
    };
    let mut store = served.store.borrow_mut();
    match store.txn(&request) {
        Ok(answer) if answer.succeeded => Answer::Changed {
            revision: store.revision,
        },
        Ok(_) => Answer::Failed {
            reason: "a guard of the change did not hold".into(),
        },
        Err(status) => Answer::Failed {
            reason: status.to_string(),
        },
    }
}

fn read_values(served: &EtcdServer, keys: &[Vec<u8>]) -> ReadValues {
    let store = served.store.borrow();
    let read = |key: &Vec<u8>| {
        let request = RangeRequest {
            key: key.clone().into(),
            ..RangeRequest::default()
        };
        let entry = store.range(&request).ok()?.kvs.into_iter().next()?;
        let value = ReadValue {
            value: entry.value.to_vec(),
            mod_revision: entry.mod_revision,
        };
        Some((key.clone(), value))
    };
    keys.iter().filter_map(read).collect()
}

fn compact(served: &EtcdServer) -> Answer {
    let mut store = served.store.borrow_mut();
    let request = CompactionRequest {
        revision: store.revision,
        ..CompactionRequest::default()
    };
    match store.compact(request.revision) {
        Ok(_) => Answer::Done,
        Err(status) => Answer::Failed {
            reason: status.to_string(),
        },
    }
}

/// An executor's key and value, as `docs/operate/etcd.md` says. The addresses are loopback's: a front end that went to
/// one would leave the machine in peace.
fn executor_entry(number: usize, is_ready: bool) -> (Vec<u8>, Vec<u8>) {
    let address = Ipv4Addr::from(FIRST_EXECUTOR.to_bits() + number as u32);
    let state = if is_ready { "ready" } else { "draining" };
    let value = serde_json::json!({
        "location": format!("zone-{}", number % 8), "kind": "standard", "cell": number % 64,
        "standing": state, "weight": 1.0, "since": 1_790_000_000.0 + number as f64,
    });
    (
        format!("{PREFIX}executors/{address}:7000").into_bytes(),
        value.to_string().into_bytes(),
    )
}
