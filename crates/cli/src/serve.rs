//! `orchidtally serve`: runs a front end.

use crate::{BAD_INPUT, COULD_NOT_RUN, check_text, fail, local, read_text, signals};
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
    /// Serve on the platform's protocol, as the file named by LB_CONFIG tells.
    #[arg(long, conflicts_with_all = ["deployment", "listen", "index", "seed"])]
    platform: bool,
    /// The deployment file, in JSON5.
    #[arg(long)]
    deployment: Option<PathBuf>,
    /// Listen here, whatever the file says; port 0 takes any free one.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Which of the deployment's front ends this is, from 0, whatever the file says.
    #[arg(long)]
    index: Option<u32>,
    /// seed of the front end's random numbers; drawn where none is given.
    #[arg(long)]
    seed: Option<u64>,
    /// Take the wall clock to be ahead by so many seconds.
    #[arg(
        long,
        hide = true,
        default_value_t = 0.0,
        allow_negative_numbers = true
    )]
    clock_ahead: f64,
    /// Step that clock after so many seconds by so many: `AFTER,BY`.
    #[arg(long, hide = true, value_parser = clock_step, allow_negative_numbers = true)]
    clock_step: Option<(f64, f64)>,
    /// End as told to when standard input ends, so that it does not outlive the process that started it.
    #[arg(long, hide = true)]
    until_input_ends: bool,
    /// Decide by random choice instead of the module, for measurements.
    #[arg(long, hide = true)]
    random: bool,
}

/// A value of `--clock-step` that can't be read.
#[derive(Debug, thiserror::Error)]
enum ClockStepError {
    /// It has no comma.
    #[error("AFTER,BY is wanted")]
    NoComma,
    /// One of its parts is no number.
    #[error("'{text}': {source}")]
    NoNumber {
        text: String,
        source: std::num::ParseFloatError,
    },
}

/// Parses `AFTER,BY`, both in seconds.
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

/// Does something once standard input has ended.
pub fn at_end_of_input(then: impl FnOnce() + Send + 'static) {
    std::thread::spawn(move || {
        // An input that can't be read has ended too.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        then();
    });
}

/// Runs a front end on the platform's protocol, which its environment describes.
fn serve_platform() -> Result<(), u8> {
    let variable = |key| std::env::var(key).ok();
    let bad = |fault: String| fail(BAD_INPUT, fault);
    let unable = |e: std::io::Error| fail(COULD_NOT_RUN, format!("can't serve: {e}"));
    let signals = orchidtally_platform_frontend::PendingSignals::new().map_err(unable)?;
    let file = variable("LB_CONFIG").ok_or_else(|| bad("LB_CONFIG names no file".into()))?;
    let file = PathBuf::from(file);
    let start = orchidtally_platform_frontend::start::read_at_start(&file)
        .map_err(|e| bad(e.to_string()))?;
    start
        .check_environment(
            variable("LB_NAME").as_deref(),
            variable("LB_LISTEN").as_deref(),
        )
        .map_err(|e| bad(e.to_string()))?;
    orchidtally_platform_frontend::run(start, file, signals)
        .map(drop)
        .map_err(unable)
}

/// What a front end is started from.
struct Loaded {
    deployment: Deployment,
    /// Triggers by messages, where the deployment file has a broker.
    section: Option<TriggerSettings>,
    /// The deployment file and its text; `None` with local executors.
    file: Option<(PathBuf, String)>,
}

/// Reads the deployment file, or starts local executors where there is none.
fn load(arguments: &Arguments) -> Result<Loaded, u8> {
    let mut loaded = match &arguments.deployment {
        Some(path) => {
            let text = read_text(path)?;
            let (deployment, section) = check_text(path, &text)?;
            Loaded {
                deployment,
                section,
                file: Some((path.clone(), text)),
            }
        }
        None => {
            let deployment = local::deployment(arguments.listen)
                .map_err(|e| fail(COULD_NOT_RUN, format!("no local executors: {e}")))?;
            Loaded {
                deployment,
                section: None,
                file: None,
            }
        }
    };
    if let Some(index) = arguments.index {
        let policy = &mut loaded.deployment.policy;
        let (index, count) = (f64::from(index), policy.front_ends);
        if index >= count {
            let reason = format!("--index {index} is no index among {count} front ends");
            return Err(fail(BAD_INPUT, reason));
        }
        policy.front_end_index = index;
    }
    Ok(loaded)
}

/// Has the deployment file read again when the returned channel is sent to.
fn watch_for_reloads(
    path: PathBuf,
    text: String,
) -> (async_channel::Sender<()>, DeploymentReloads) {
    let (reread, rereads) = async_channel::bounded(1);
    let (tell, read) = async_channel::bounded(1);
    signals::read_again(path.clone(), rereads, tell);
    (
        reread,
        DeploymentReloads {
            path,
            initial_text: text,
            texts: read,
        },
    )
}

/// Seconds since 1970.
fn now() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |time| time.as_secs_f64())
}

/// Says where the front end listens, and with local executors how to try it.
fn greet(at: SocketAddr, is_local: bool) {
    let mut text = format!("listening on http://{at}\n");
    if is_local {
        let functions = local::FUNCTIONS.map(|function| function.name).join(", ");
        text += &format!("try: curl -d 'hello' http://{at}/v1/functions/upper/invocations\n");
        text += &format!("functions: {functions}\n");
    }
    // Whoever started it may have stopped reading: that is no reason to end.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Runs a front end until it is stopped.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    if arguments.platform {
        return serve_platform();
    }
    let caught = signals::catch()
        .map_err(|e| fail(COULD_NOT_RUN, format!("can't wait for signals: {e}")))?;
    let Loaded {
        deployment,
        section,
        file,
    } = load(&arguments)?;
    let is_local = file.is_none();
    let index = deployment.policy.front_end_index as u32;
    let triggers = section
        .map(|section| MessageTriggers::open(section, index))
        .transpose()
        .map_err(|e| {
            fail(
                COULD_NOT_RUN,
                format!("the journal of triggers can't be used: {e}"),
            )
        })?;
    let durable_invocation_store =
        DurableInvocationStore::open(&deployment, now()).map_err(|e| {
            fail(
                COULD_NOT_RUN,
                format!("the journal of promises can't be used: {e}"),
            )
        })?;
    let at = arguments.listen.unwrap_or(deployment.listen);
    let listener = orchidtally_http_frontend::listen(at)
        .map_err(|e| fail(COULD_NOT_RUN, format!("can't listen at {at}: {e}")))?;
    let at = listener.get_ref().local_addr().unwrap_or(at);
    let (stop, stopped) = async_channel::bounded(1);
    if arguments.until_input_ends {
        let stop = stop.clone();
        at_end_of_input(move || {
            stop.close();
        });
    }
    let (reread, reloads) = file
        .map(|(path, text)| watch_for_reloads(path, text))
        .unzip();
    signals::follow(caught, stop, reread);
    greet(at, is_local);
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
