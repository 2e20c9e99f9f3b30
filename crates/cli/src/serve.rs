//! `orchidtally serve`.

use crate::{BAD_INPUT, COULD_NOT_RUN, check_text, local, read_text, signals};
use orchidtally_frontend::Start;
use orchidtally_frontend::mqtt::Triggers;
use orchidtally_frontend::promise_store::PromiseStore;
use orchidtally_frontend::reload::Reloads;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
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
    #[arg(long, hide = true, default_value_t = 0.0, allow_negative_numbers = true)]
    clock_ahead: f64,
    /// Step that clock after so many seconds by so many: `AFTER,BY`.
    #[arg(long, hide = true, value_parser = step, allow_negative_numbers = true)]
    clock_step: Option<(f64, f64)>,
    /// End as told to when standard input ends, so that it does not outlive the process that started it.
    #[arg(long, hide = true)]
    until_input_ends: bool,
    /// Decide by random choice instead of the module, for measurements.
    #[arg(long, hide = true)]
    random: bool,
}

fn step(text: &str) -> Result<(f64, f64), String> {
    let (after, by) = text.split_once(',').ok_or("AFTER,BY is wanted")?;
    let number = |t: &str| t.parse::<f64>().map_err(|e| format!("'{t}': {e}"));
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

/// A front end on the platform's protocol, told all by its environment.
fn platform() -> Result<(), u8> {
    let told = |key| std::env::var(key).ok();
    let bad = |fault: String| {
        eprintln!("{fault}");
        BAD_INPUT
    };
    let unable = |e: std::io::Error| {
        eprintln!("can't serve: {e}");
        COULD_NOT_RUN
    };
    let signals = orchidtally_platform::PendingSignals::new().map_err(unable)?;
    let file = PathBuf::from(told("LB_CONFIG").ok_or_else(|| bad("LB_CONFIG names no file".into()))?);
    let start = orchidtally_platform::start::read(&file).map_err(|e| bad(e.to_string()))?;
    start.agrees(told("LB_NAME").as_deref(), told("LB_LISTEN").as_deref()).map_err(|e| bad(e.to_string()))?;
    orchidtally_platform::run(start, file, signals).map(drop).map_err(unable)
}

/// What reads the deployment file again, and what it is told by.
fn reading_again(path: PathBuf, text: String) -> (async_channel::Sender<()>, Reloads) {
    let (reread, rereads) = async_channel::bounded(1);
    let (tell, read) = async_channel::bounded(1);
    signals::read_again(path.clone(), rereads, tell);
    (reread, Reloads { path, text, read })
}

pub fn run(arguments: Arguments) -> Result<(), u8> {
    if arguments.platform {
        return platform();
    }
    let caught = signals::catch().map_err(|e| {
        eprintln!("can't wait for signals: {e}");
        COULD_NOT_RUN
    })?;
    let text = arguments.deployment.as_deref().map(read_text).transpose()?;
    let (mut deployment, section) = match arguments.deployment.as_deref().zip(text.as_deref()) {
        Some((file, text)) => check_text(file, text)?,
        None => local::deployment(arguments.listen).map(|d| (d, None)).map_err(|e| {
            eprintln!("no local executors: {e}");
            COULD_NOT_RUN
        })?,
    };
    if let Some(index) = arguments.index {
        if f64::from(index) >= deployment.policy.front_ends {
            eprintln!("--index {index} is no index among {} front ends", deployment.policy.front_ends);
            return Err(BAD_INPUT);
        }
        deployment.policy.index = f64::from(index);
    }
    let index = deployment.policy.index as u32;
    let triggers = section.map(|s| Triggers::open(s, index)).transpose().map_err(|e| {
        eprintln!("the journal of triggers can't be used: {e}");
        COULD_NOT_RUN
    })?;
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
    let promise_store = PromiseStore::open(&deployment, now).map_err(|e| {
        eprintln!("the journal of promises can't be used: {e}");
        COULD_NOT_RUN
    })?;
    let at = arguments.listen.unwrap_or(deployment.listen);
    let listener = orchidtally_frontend::listen(at).map_err(|e| {
        eprintln!("can't listen at {at}: {e}");
        COULD_NOT_RUN
    })?;
    let at = listener.get_ref().local_addr().unwrap_or(at);
    let (stop, stopped) = async_channel::bounded(1);
    if arguments.until_input_ends {
        let stop = stop.clone();
        at_end_of_input(move || {
            stop.close();
        });
    }
    let (reread, reloads) = match arguments.deployment.clone().zip(text) {
        Some((path, text)) => {
            let (reread, reloads) = reading_again(path, text);
            (Some(reread), Some(reloads))
        }
        None => (None, None),
    };
    signals::follow(caught, stop, reread);
    let mut words = format!("listening on http://{at}\n");
    if arguments.deployment.is_none() {
        words += &format!("try: curl -d 'hello' http://{at}/v1/functions/upper/invocations\n");
        words += &format!("functions: {}\n", local::FUNCTIONS.map(|f| f.0).join(", "));
    }
    // Whoever started it may have stopped reading: that is no reason to end.
    let _ = std::io::stdout().write_all(words.as_bytes());
    let seed = arguments.seed.unwrap_or_else(rand::random);
    let start = Start {
        deployment,
        seed,
        ahead: arguments.clock_ahead,
        step: arguments.clock_step,
        stop: stopped,
        random: arguments.random,
        triggers,
        promise_store,
        reloads,
    };
    let tally = orchidtally_frontend::run(start, listener);
    info!(?tally, "ended");
    Ok(())
}
