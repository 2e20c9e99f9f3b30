//! `orchidtally rollout`: runs a coordinator, and sends it an operator's orders.

use crate::{BAD_INPUT, COULD_NOT_RUN, NOT_SO, fail, read_deployment, read_text};
use async_signal::{Signal, Signals};
use clap::{Subcommand, ValueEnum};
use futures_lite::StreamExt;
use http::{Method, StatusCode};
use orchidtally_coordinator::{OperatorRequest, RolloutStatus, StopReason};
use orchidtally_rollout::Counts;
use orchidtally_rollout::coordinator::Event;
use orchidtally_rollout::forecast::StepForecast;
use orchidtally_rollout::plan::{GATES, Gate};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How long the coordinator may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum Output {
    Table,
    Json,
}

#[derive(clap::Args)]
struct Where {
    /// The coordinator's address.
    #[arg(long, default_value = "127.0.0.1:7400")]
    at: SocketAddr,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

#[derive(Subcommand)]
enum Command {
    /// Run the coordinator. Its state is in a folder that one process at a time may use.
    Coordinate {
        /// The deployment file, as the front ends have it.
        #[arg(long)]
        deployment: PathBuf,
        /// Where the state is kept.
        #[arg(long)]
        state: PathBuf,
        #[arg(long, default_value = "127.0.0.1:7400")]
        listen: SocketAddr,
        /// End when standard input ends.
        #[arg(long, hide = true)]
        until_input_ends: bool,
    },
    /// Start a rollout by a plan in JSON5.
    Start {
        plan: PathBuf,
        /// Show the steps, the loads against the ration and the expected time, and start nothing.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        place: Where,
    },
    /// Show all rollouts, or one, with the evidence and why the next step has not come.
    Status {
        name: Option<String>,
        #[command(flatten)]
        place: Where,
    },
    /// Hold the step that is on. Gates that fail still take the rollout back.
    Pause {
        name: String,
        #[command(flatten)]
        place: Where,
    },
    /// Go on after a pause.
    Resume {
        name: String,
        #[command(flatten)]
        place: Where,
    },
    /// Take the rollout back: all new invocations go to the old version.
    Back {
        name: String,
        /// For the history.
        #[arg(long, default_value = "an operator took it back")]
        why: String,
        #[command(flatten)]
        place: Where,
    },
    /// Go to the next step though evidence or time is missing. A gate that failed is not overridden.
    Advance {
        name: String,
        /// For the history.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        place: Where,
    },
    /// End a rollout whose last step is on, without keeping the old version any longer.
    Finish {
        name: String,
        #[command(flatten)]
        place: Where,
    },
    /// Show what became of a rollout, from its start on.
    History {
        name: String,
        #[command(flatten)]
        place: Where,
    },
}

/// Sends a request to the coordinator. Faults that it names are printed after the name of the file that they are in.
fn ask(place: &Where, method: Method, path: &str, body: Vec<u8>, file: &str) -> Result<Value, u8> {
    let asked = async_io::block_on(orchidtally_socket_io::http::fetch(
        place.at,
        method,
        path,
        body,
        REQUEST_TIMEOUT,
    ));
    let (status, body) = asked.map_err(|e| {
        fail(
            COULD_NOT_RUN,
            format!("no coordinator at {}: {e}", place.at),
        )
    })?;
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status == StatusCode::OK {
        return Ok(value);
    }
    let faults = value
        .get("faults")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    for fault in &faults {
        eprintln!("{file}{}", fault.as_str().unwrap_or_default());
    }
    if faults.is_empty() {
        eprintln!("the coordinator answered {status}");
    }
    Err(match status {
        StatusCode::BAD_REQUEST => BAD_INPUT,
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => NOT_SO,
        _ => COULD_NOT_RUN,
    })
}

fn order(place: &Where, order: &OperatorRequest, file: &str) -> Result<Value, u8> {
    let body = serde_json::to_vec(order).map_err(|_| COULD_NOT_RUN)?;
    ask(place, Method::POST, "/v1/rollouts/orders", body, file)
}

fn read<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, u8> {
    serde_json::from_value(value.clone()).map_err(|e| {
        fail(
            COULD_NOT_RUN,
            format!("the coordinator's answer can't be read: {e}"),
        )
    })
}

fn show_steps(value: &Value, output: Output) -> Result<(), u8> {
    if output == Output::Json {
        println!("{value}");
        return Ok(());
    }
    let steps: Vec<StepForecast> = read(&value["steps"])?;
    println!(
        "step    share  copies  orders  loading s  evidence s  least time s  answers to tell twice the errors"
    );
    let mut total = 0.0;
    for s in &steps {
        let evidence = s
            .sampling_duration
            .map_or("-".into(), |e| format!("{e:.0}"));
        println!(
            "{:>4} {:>7.2} % {:>6} {:>7} {:>10.1} {evidence:>11} {:>13.0} {:>10}",
            s.step + 1,
            100.0 * s.share,
            s.replicas,
            s.load_commands,
            s.load_duration,
            s.duration,
            s.answers_to_detect
        );
        total += s.duration;
    }
    println!("at least {total:.0} s in all, where nothing looks worse");
    println!(
        "loads: {} a second in all, of {} that the ration grants rollouts",
        value["loadsPerSecond"], value["granted"]
    );
    Ok(())
}

fn show_status(value: &Value, only: Option<&str>, output: Output) -> Result<(), u8> {
    let list: Vec<RolloutStatus> = read(&value["rollouts"])?;
    let shown: Vec<_> = list
        .iter()
        .filter(|s| only.is_none_or(|n| n == s.name))
        .collect();
    if let (Some(name), true) = (only, shown.is_empty()) {
        return Err(fail(NOT_SO, format!("there is no rollout '{name}'")));
    }
    if output == Output::Json {
        println!("{}", serde_json::to_string(&shown).unwrap_or_default());
        return Ok(());
    }
    println!(
        "coordinator of term {}, state {}",
        value["term"], value["number"]
    );
    shown.into_iter().for_each(show_rollout);
    Ok(())
}

fn show_rollout(status: &RolloutStatus) {
    println!(
        "{} ({}): {}, step {} of {}, share {:.1} %, on for {:.0} s, {:.1} invocations a second",
        status.name,
        status.function,
        status.phase.name(),
        status.step,
        status.steps,
        100.0 * status.share,
        status.step_duration,
        status.rate
    );
    println!("  {}", status.reason);
    println!(
        "  gate           old         new         evidence it is worse (takes back at {:.0})",
        status.rollback_threshold
    );
    let events = |counts: &Counts, gate: Gate| {
        format!(
            "{}/{}",
            counts.events[gate.index()],
            counts.sample_count(gate)
        )
    };
    for gate in GATES {
        let Some(evidence) = status.evidence.get(gate.name()) else {
            continue;
        };
        let (old, new) = (events(&status.old, gate), events(&status.new, gate));
        println!("  {:<12} {old:>9} {new:>11} {evidence:>12.2}", gate.name());
    }
}

fn show_history(value: &Value, output: Output) -> Result<(), u8> {
    if output == Output::Json {
        println!("{value}");
        return Ok(());
    }
    let events: Vec<Event> = read(value)?;
    println!("seconds since 1970  run               number  phase       step  by      why");
    for e in events {
        let by = if e.by_operator { "hand" } else { "rules" };
        let (run, phase) = (format!("{:016x}", e.run), e.phase.name());
        println!(
            "{:>18.3}  {run}  {:>6}  {phase:<10} {:>5}  {by:<6}  {}",
            e.at,
            e.revision,
            e.step + 1,
            e.reason
        );
    }
    Ok(())
}

fn coordinate(
    deployment: &std::path::Path,
    state: &std::path::Path,
    listen: SocketAddr,
    ends: bool,
) -> Result<(), u8> {
    let deployment = read_deployment(deployment)?;
    let could_not = |reason: String| fail(COULD_NOT_RUN, reason);
    let listener = orchidtally_socket_io::listen(listen)
        .map_err(|e| could_not(format!("can't listen at {listen}: {e}")))?;
    let at = listener.get_ref().local_addr().unwrap_or(listen);
    let (stop, stopped) = async_channel::bounded(1);
    if ends {
        let stop = stop.clone();
        crate::serve::at_end_of_input(move || {
            stop.close();
        });
    }
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| could_not(format!("can't wait for signals: {e}")))?;
    std::thread::spawn(move || {
        async_io::block_on(signals.next());
        stop.close();
    });
    println!("listening on http://{at}");
    match orchidtally_coordinator::run(deployment, state, listener, stopped) {
        Ok(StopReason::Stopped) => Ok(()),
        Ok(StopReason::Superseded(epoch)) => Err(fail(
            NOT_SO,
            format!(
                "another coordinator, of term {}, has taken over",
                epoch.term
            ),
        )),
        Err(e) => Err(could_not(format!("the state can't be kept: {e}"))),
    }
}

pub fn run(arguments: Arguments) -> Result<(), u8> {
    let change = |place: &Where, name: &str, change: OperatorRequest| {
        let value = order(place, &change, "")?;
        show_status(&value, Some(name), place.output)
    };
    match arguments.command {
        Command::Coordinate {
            deployment,
            state,
            listen,
            until_input_ends,
        } => coordinate(&deployment, &state, listen, until_input_ends),
        Command::Start {
            plan,
            dry_run,
            place,
        } => {
            let text = read_text(&plan)?;
            let file = format!("{}:", plan.display());
            let value = order(
                &place,
                &OperatorRequest::Start {
                    plan: text,
                    dry_run,
                },
                &file,
            )?;
            if dry_run {
                show_steps(&value, place.output)
            } else {
                show_status(&value, None, place.output)
            }
        }
        Command::Status { name, place } => {
            let value = ask(&place, Method::GET, "/v1/rollouts", vec![], "")?;
            show_status(&value, name.as_deref(), place.output)
        }
        Command::Pause { name, place } => {
            change(&place, &name.clone(), OperatorRequest::Pause { name })
        }
        Command::Resume { name, place } => {
            change(&place, &name.clone(), OperatorRequest::Resume { name })
        }
        Command::Back { name, why, place } => change(
            &place,
            &name.clone(),
            OperatorRequest::RollBack { name, reason: why },
        ),
        Command::Advance { name, why, place } => change(
            &place,
            &name.clone(),
            OperatorRequest::Advance { name, reason: why },
        ),
        Command::Finish { name, place } => {
            change(&place, &name.clone(), OperatorRequest::Finish { name })
        }
        Command::History { name, place } => {
            let value = ask(
                &place,
                Method::GET,
                &format!("/v1/rollouts/{name}/history"),
                vec![],
                "",
            )?;
            show_history(&value, place.output)
        }
    }
}
