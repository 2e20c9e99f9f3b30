//! `orchidtally rollout`: runs a coordinator, and sends it an operator's requests.

use crate::{BAD_INPUT, COULD_NOT_RUN, NEGATIVE_RESULT, fail, read_deployment, read_text};
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

/// Time limit of a request to the coordinator.
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
struct Target {
    /// The coordinator's address.
    #[arg(long, default_value = "127.0.0.1:7400")]
    at: SocketAddr,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

#[derive(Subcommand)]
enum Command {
    /// Run the coordinator. Only one process at a time may use its state folder.
    Coordinate {
        /// The deployment file, the same as the front ends'.
        #[arg(long)]
        deployment: PathBuf,
        /// The folder in which the state is stored.
        #[arg(long)]
        state: PathBuf,
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7400")]
        listen: SocketAddr,
        /// Shut down when standard input ends.
        #[arg(long, hide = true)]
        until_input_ends: bool,
    },
    /// Start a rollout.
    Start {
        /// The file with the plan, in JSON5.
        plan: PathBuf,
        /// Only show the steps, their load commands, the load budget and the expected duration.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        target: Target,
    },
    /// Show the state and evidence of all rollouts, or of one, and why the next step has not started.
    Status {
        /// The name of the rollout.
        name: Option<String>,
        #[command(flatten)]
        target: Target,
    },
    /// Pause at the current step. A gate that fails still rolls back.
    Pause {
        /// The name of the rollout.
        name: String,
        #[command(flatten)]
        target: Target,
    },
    /// Resume a paused rollout.
    Resume {
        /// The name of the rollout.
        name: String,
        #[command(flatten)]
        target: Target,
    },
    /// Roll back: all new invocations go to the old version.
    Back {
        /// The name of the rollout.
        name: String,
        /// The reason, recorded in the history.
        #[arg(long, default_value = "an operator took it back")]
        why: String,
        #[command(flatten)]
        target: Target,
    },
    /// Start the next step before its evidence and time are complete. Does not override a gate that failed.
    Advance {
        /// The name of the rollout.
        name: String,
        /// The reason, recorded in the history.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        target: Target,
    },
    /// Finish a rollout in its last step, without keeping the old version any longer.
    Finish {
        /// The name of the rollout.
        name: String,
        #[command(flatten)]
        target: Target,
    },
    /// Show the events of a rollout since its start.
    History {
        /// The name of the rollout.
        name: String,
        #[command(flatten)]
        target: Target,
    },
}

/// Sends a request to the coordinator. Errors in its response are printed with the prefix `file`, as they concern the
/// plan in that file.
fn send_request(
    target: &Target,
    method: Method,
    path: &str,
    body: Vec<u8>,
    file: &str,
) -> Result<Value, u8> {
    let response = async_io::block_on(orchidtally_socket_io::http::fetch(
        target.at,
        method,
        path,
        body,
        REQUEST_TIMEOUT,
    ));
    let (status, body) = response.map_err(|e| {
        fail(
            COULD_NOT_RUN,
            format!("can't reach the coordinator at {}: {e}", target.at),
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
        eprintln!("the coordinator responded with status {status}");
    }
    Err(match status {
        StatusCode::BAD_REQUEST => BAD_INPUT,
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => NEGATIVE_RESULT,
        _ => COULD_NOT_RUN,
    })
}

/// Sends an operator's request to the coordinator.
fn send_operator_request(
    target: &Target,
    request: &OperatorRequest,
    file: &str,
) -> Result<Value, u8> {
    let body = serde_json::to_vec(request).map_err(|_| COULD_NOT_RUN)?;
    send_request(target, Method::POST, "/v1/rollouts/orders", body, file)
}

/// Decodes a response of the coordinator.
fn decode<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, u8> {
    serde_json::from_value(value.clone()).map_err(|e| {
        fail(
            COULD_NOT_RUN,
            format!("can't decode the coordinator's response: {e}"),
        )
    })
}

/// Prints the forecast of a dry run.
fn show_steps(value: &Value, output: Output) -> Result<(), u8> {
    if output == Output::Json {
        println!("{value}");
        return Ok(());
    }
    let steps: Vec<StepForecast> = decode(&value["steps"])?;
    println!(
        "step    share  copies   loads  loading s  evidence s  least time s  responses to detect twice the errors"
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
    println!("at least {total:.0} s in total, if no gate fails");
    println!(
        "loads: {} per second in total, of {} that the load budget grants rollouts",
        value["loadsPerSecond"], value["granted"]
    );
    Ok(())
}

/// Prints all rollouts, or only the one of a name.
fn show_status(value: &Value, name_filter: Option<&str>, output: Output) -> Result<(), u8> {
    let list: Vec<RolloutStatus> = decode(&value["rollouts"])?;
    let shown: Vec<_> = list
        .iter()
        .filter(|s| name_filter.is_none_or(|n| n == s.name))
        .collect();
    if let (Some(name), true) = (name_filter, shown.is_empty()) {
        return Err(fail(
            NEGATIVE_RESULT,
            format!("there is no rollout '{name}'"),
        ));
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
        "  gate           old         new         evidence of regression (rolls back at {:.0})",
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
    let events: Vec<Event> = decode(value)?;
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

/// Runs a coordinator until a signal or the end of standard input stops it.
fn coordinate(
    deployment: &std::path::Path,
    state: &std::path::Path,
    listen: SocketAddr,
    until_input_ends: bool,
) -> Result<(), u8> {
    let deployment = read_deployment(deployment)?;
    let run_error = |reason: String| fail(COULD_NOT_RUN, reason);
    let listener = orchidtally_socket_io::listen(listen)
        .map_err(|e| run_error(format!("can't listen at {listen}: {e}")))?;
    let at = listener.get_ref().local_addr().unwrap_or(listen);
    let (stop, stopped) = async_channel::bounded(1);
    if until_input_ends {
        let stop = stop.clone();
        crate::serve::on_input_end(move || {
            stop.close();
        });
    }
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| run_error(format!("can't wait for signals: {e}")))?;
    std::thread::spawn(move || {
        async_io::block_on(signals.next());
        stop.close();
    });
    println!("listening on http://{at}");
    match orchidtally_coordinator::run(deployment, state, listener, stopped) {
        Ok(StopReason::Stopped) => Ok(()),
        Ok(StopReason::Superseded(epoch)) => Err(fail(
            NEGATIVE_RESULT,
            format!(
                "another coordinator, of term {}, has taken over",
                epoch.term
            ),
        )),
        Err(e) => Err(run_error(format!("the state can't be kept: {e}"))),
    }
}

/// Runs a rollout command.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    let send_change = |target: &Target, name: &str, request: OperatorRequest| {
        let value = send_operator_request(target, &request, "")?;
        show_status(&value, Some(name), target.output)
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
            target,
        } => {
            let text = read_text(&plan)?;
            let file = format!("{}:", plan.display());
            let value = send_operator_request(
                &target,
                &OperatorRequest::Start {
                    plan: text,
                    dry_run,
                },
                &file,
            )?;
            if dry_run {
                show_steps(&value, target.output)
            } else {
                show_status(&value, None, target.output)
            }
        }
        Command::Status { name, target } => {
            let value = send_request(&target, Method::GET, "/v1/rollouts", vec![], "")?;
            show_status(&value, name.as_deref(), target.output)
        }
        Command::Pause { name, target } => {
            send_change(&target, &name.clone(), OperatorRequest::Pause { name })
        }
        Command::Resume { name, target } => {
            send_change(&target, &name.clone(), OperatorRequest::Resume { name })
        }
        Command::Back { name, why, target } => send_change(
            &target,
            &name.clone(),
            OperatorRequest::RollBack { name, reason: why },
        ),
        Command::Advance { name, why, target } => send_change(
            &target,
            &name.clone(),
            OperatorRequest::Advance { name, reason: why },
        ),
        Command::Finish { name, target } => {
            send_change(&target, &name.clone(), OperatorRequest::Finish { name })
        }
        Command::History { name, target } => {
            let value = send_request(
                &target,
                Method::GET,
                &format!("/v1/rollouts/{name}/history"),
                vec![],
                "",
            )?;
            show_history(&value, target.output)
        }
    }
}
