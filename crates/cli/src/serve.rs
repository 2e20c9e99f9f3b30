//! `orchidtally serve`: runs a front end.

use crate::{BAD_INPUT, COULD_NOT_RUN, fail, local, parse_deployment, read_text, signals};
use orchidtally_deployment::Deployment;
use orchidtally_http_frontend::FrontEndOptions;
use orchidtally_http_frontend::durable_invocation_store::DurableInvocationStore;
use orchidtally_http_frontend::mqtt::MessageTriggers;
use orchidtally_http_frontend::reload::DeploymentReloads;
use orchidtally_mqtt_triggers::TriggerSettings;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::info;

#[derive(clap::Args)]
pub struct Arguments {
    /// Serve the platform's protocol, configured by the file that LB_CONFIG names.
    #[arg(long, conflicts_with_all = ["deployment", "listen", "index", "seed"])]
    platform: bool,
    /// The deployment file, in JSON5.
    #[arg(long)]
    deployment: Option<PathBuf>,
    /// Address to listen on, instead of the deployment file's; port 0 picks a free port.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Index of this front end in the deployment, from 0, instead of the deployment file's.
    #[arg(long)]
    index: Option<u32>,
    /// Seed of the front end's random numbers; random by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Shift the wall clock forward by so many seconds, for tests.
    #[arg(
        long,
        hide = true,
        default_value_t = 0.0,
        allow_negative_numbers = true
    )]
    clock_ahead: f64,
    /// Step the wall clock once, `BY` seconds forward `AFTER` seconds after the start: `AFTER,BY`, for tests.
    #[arg(long, hide = true, value_parser = clock_step, allow_negative_numbers = true)]
    clock_step: Option<(f64, f64)>,
    /// Shut down when standard input ends, so that the process does not outlive its parent.
    #[arg(long, hide = true)]
    until_input_ends: bool,
    /// Choose executors at random instead of by the dispatch policy, for measurements.
    #[arg(long, hide = true)]
    random: bool,
}

/// Why a value of `--clock-step` can't be parsed.
#[derive(Debug, thiserror::Error)]
enum ClockStepError {
    /// The value has no comma.
    #[error("expected AFTER,BY")]
    NoComma,
    /// One of the two parts is not a number.
    #[error("'{text}': {source}")]
    NoNumber {
        text: String,
        source: std::num::ParseFloatError,
    },
}

/// Parses a value of `--clock-step`: `AFTER,BY`, both in seconds.
fn clock_step(text: &str) -> Result<(f64, f64), ClockStepError> {
    let (after, by) = text.split_once(',').ok_or(ClockStepError::NoComma)?;
    let number = |text: &str| {
        text.parse::<f64>()
            .map_err(|source| ClockStepError::NoNumber {
                text: text.to_owned(),
                source,
            })
    };
    Ok((number(after)?, number(by)?))
}

/// Calls `then` on a background thread once standard input has ended or can't be read.
pub fn on_input_end(then: impl FnOnce() + Send + 'static) {
    std::thread::spawn(move || {
        // A read error counts as the end of the input.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        then();
    });
}

/// Runs a front end on the platform's protocol, configured by environment variables.
fn serve_platform() -> Result<(), u8> {
    let variable = |key| std::env::var(key).ok();
    let input_error = |fault: String| fail(BAD_INPUT, fault);
    let serve_error = |e: std::io::Error| fail(COULD_NOT_RUN, format!("can't serve: {e}"));
    let signals = orchidtally_platform_frontend::PendingSignals::new().map_err(serve_error)?;
    let file = variable("LB_CONFIG")
        .ok_or_else(|| input_error("LB_CONFIG does not name a file".into()))?;
    let file = PathBuf::from(file);
    let start = orchidtally_platform_frontend::start::read_at_start(&file)
        .map_err(|e| input_error(e.to_string()))?;
    start
        .check_environment(
            variable("LB_NAME").as_deref(),
            variable("LB_LISTEN").as_deref(),
        )
        .map_err(|e| input_error(e.to_string()))?;
    orchidtally_platform_frontend::run(start, file, signals)
        .map(drop)
        .map_err(serve_error)
}

/// The configuration that a front end starts with.
struct Loaded {
    deployment: Deployment,
    /// MQTT triggers; `None` if the deployment file has no broker.
    trigger_settings: Option<TriggerSettings>,
    /// Path and text of the deployment file; `None` with local executors.
    file: Option<(PathBuf, String)>,
}

/// Reads the deployment file, or starts local executors if none is given.
fn load(arguments: &Arguments) -> Result<Loaded, u8> {
    let mut loaded = match &arguments.deployment {
        Some(path) => {
            let text = read_text(path)?;
            let (deployment, trigger_settings) = parse_deployment(path, &text)?;
            Loaded {
                deployment,
                trigger_settings,
                file: Some((path.clone(), text)),
            }
        }
        None => {
            let deployment = local::deployment(arguments.listen)
                .map_err(|e| fail(COULD_NOT_RUN, format!("can't start local executors: {e}")))?;
            Loaded {
                deployment,
                trigger_settings: None,
                file: None,
            }
        }
    };
    if let Some(index) = arguments.index {
        let policy = &mut loaded.deployment.policy;
        let (index, count) = (f64::from(index), policy.front_ends);
        if index >= count {
            let reason = format!("--index {index} is out of range for {count} front ends");
            return Err(fail(BAD_INPUT, reason));
        }
        policy.front_end_index = index;
    }
    Ok(loaded)
}

/// Starts the thread that reads the deployment file again for each message on the returned sender.
fn watch_for_reloads(
    path: PathBuf,
    text: String,
) -> (async_channel::Sender<()>, DeploymentReloads) {
    let (reload_sender, reload_receiver) = async_channel::bounded(1);
    let (text_sender, read) = async_channel::bounded(1);
    signals::spawn_file_reader(path.clone(), reload_receiver, text_sender);
    (
        reload_sender,
        DeploymentReloads {
            path,
            initial_text: text,
            texts: read,
        },
    )
}

/// Wall-clock time, in seconds since the Unix epoch.
fn now() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |time| time.as_secs_f64())
}

/// Prints the front end's address, and with local executors an example invocation.
fn print_address(at: SocketAddr, is_local: bool) {
    let mut text = format!("listening on http://{at}\n");
    if is_local {
        let functions = local::FUNCTIONS.map(|function| function.name).join(", ");
        text += &format!("try: curl -d 'hello' http://{at}/v1/functions/upper/invocations\n");
        text += &format!("functions: {functions}\n");
    }
    // A write error is ignored: the front end runs on if the reader has closed the pipe.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Runs a front end until a signal stops it.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    if arguments.platform {
        return serve_platform();
    }
    let caught_signals = signals::install()
        .map_err(|e| fail(COULD_NOT_RUN, format!("can't wait for signals: {e}")))?;
    let Loaded {
        deployment,
        trigger_settings,
        file,
    } = load(&arguments)?;
    let is_local = file.is_none();
    let index = deployment.policy.front_end_index as u32;
    let triggers = trigger_settings
        .map(|trigger_settings| MessageTriggers::open(trigger_settings, index))
        .transpose()
        .map_err(|e| {
            fail(
                COULD_NOT_RUN,
                format!("can't open the journal of MQTT triggers: {e}"),
            )
        })?;
    let durable_invocation_store =
        DurableInvocationStore::open(&deployment, now()).map_err(|e| {
            fail(
                COULD_NOT_RUN,
                format!("can't open the journal of durable invocations: {e}"),
            )
        })?;
    let at = arguments.listen.unwrap_or(deployment.listen);
    let listener = orchidtally_http_frontend::listen(at)
        .map_err(|e| fail(COULD_NOT_RUN, format!("can't listen at {at}: {e}")))?;
    let at = listener.get_ref().local_addr().unwrap_or(at);
    let (stop, stopped) = async_channel::bounded(1);
    if arguments.until_input_ends {
        let stop = stop.clone();
        on_input_end(move || {
            stop.close();
        });
    }
    let (reload_sender, reloads) = file
        .map(|(path, text)| watch_for_reloads(path, text))
        .unzip();
    signals::spawn_handler(caught_signals, stop, reload_sender);
    print_address(at, is_local);
    let start = FrontEndOptions {
        deployment,
        seed: arguments.seed.unwrap_or_else(rand::random),
        clock_offset: arguments.clock_ahead,
        clock_step: arguments.clock_step,
        shutdown: stopped,
        uses_random_policy: arguments.random,
        message_triggers: triggers,
        durable_invocation_store,
        reloads,
    };
    let tally = orchidtally_http_frontend::run(start, listener);
    info!(?tally, "front end stopped");
    Ok(())
}
