//! `orchidtally measure`: a front end on this machine against a direct client, a bare relay and the same front
//! end with random choice. Ratios in one run; each part is one process on one thread.

mod memory;
mod process;

use crate::{BAD_INPUT, COULD_NOT_RUN};
use clap::ValueEnum;
use memory::{Memory, memory};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::baseline::{self, BaselineRequest, LoadResult};
use process::{Part, deployment, play};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;

#[derive(clap::Args)]
pub struct Arguments {
    /// Seconds for each measurement.
    #[arg(long, default_value_t = 3.0)]
    time: f64,
    /// Streams that the client keeps open where throughput is measured.
    #[arg(long, default_value_t = 64)]
    streams: usize,
    /// Bytes of a body.
    #[arg(long, default_value_t = 256)]
    payload: usize,
    /// Functions that invocations go round.
    #[arg(long, default_value_t = 16)]
    functions: usize,
    /// Executors: addresses of one process, each of which the front end takes for one.
    #[arg(long, default_value_t = 16)]
    executors: usize,
    /// Leave the measurement of memory out.
    #[arg(long)]
    no_memory: bool,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
    /// Plays a part of a measurement: an executor, or a relay to this address.
    #[arg(long, hide = true)]
    part: Option<String>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Output {
    Table,
    Json,
}

#[derive(Serialize)]
struct Row {
    way: &'static str,
    per_second: f64,
    of_direct: f64,
    /// CPU of the process in the middle, in microseconds an invocation.
    cpu_us: Option<f64>,
    median_us: f64,
    failed: u64,
}

#[derive(Serialize)]
struct Measurement {
    ways: Vec<Row>,
    memory: Option<Memory>,
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(f64::NAN)
}

fn load(
    to: SocketAddr,
    ask: BaselineRequest,
    streams: usize,
    arguments: &Arguments,
) -> io::Result<LoadResult> {
    let stage = TestEnvironment::new(1);
    let tasks = stage.tasks.clone();
    let seen = async_io::block_on(tasks.run(baseline::run_closed_loop(
        &stage,
        to,
        ask,
        streams,
        arguments.time,
        arguments.payload,
    )));
    seen.map_err(io::Error::other)
}

fn way(
    name: &'static str,
    to: SocketAddr,
    middle: Option<&Part>,
    ask: BaselineRequest,
    arguments: &Arguments,
) -> io::Result<Row> {
    eprintln!("measuring {name}");
    // Connections stand and copies are known before it counts.
    let warm = Arguments {
        time: 0.3,
        part: None,
        ..*arguments
    };
    load(to, ask, arguments.streams, &warm)?;
    let before = middle.and_then(Part::cpu);
    let busy = load(to, ask, arguments.streams, arguments)?;
    let after = middle.and_then(Part::cpu);
    let quiet = load(
        to,
        ask,
        1,
        &Arguments {
            time: arguments.time / 2.0,
            part: None,
            ..*arguments
        },
    )?;
    let used = before.zip(after).map(|(before, after)| after - before);
    Ok(Row {
        way: name,
        per_second: busy.succeeded as f64 / busy.seconds,
        of_direct: 1.0,
        cpu_us: used.map(|u| 1e6 * u / (busy.succeeded + busy.failed).max(1) as f64),
        median_us: 1e6 * median(quiet.latencies),
        failed: busy.failed + quiet.failed,
    })
}

fn measure(arguments: &Arguments) -> io::Result<Measurement> {
    let executor = Part::start(&[
        "measure",
        "--part",
        &format!("executor=0x{}", arguments.executors),
    ])?;
    let relay = Part::start(&["measure", "--part", &format!("relay={}", executor.at)])?;
    let file = deployment(&executor.all, 20_001)?;
    let path = file.display().to_string();
    let serve = [
        "--log",
        "error",
        "serve",
        "--deployment",
        &path,
        "--listen",
        "127.0.0.1:0",
        "--until-input-ends",
    ];
    let front_end = Part::start(&serve)?;
    let random = Part::start(&[&serve[..], &["--random"]].concat())?;
    let ask = BaselineRequest::Invocation {
        functions: arguments.functions,
    };
    let mut ways = vec![
        way(
            "direct",
            executor.at,
            None,
            BaselineRequest::Dispatch,
            arguments,
        )?,
        way(
            "relay",
            relay.at,
            Some(&relay),
            BaselineRequest::Dispatch,
            arguments,
        )?,
        way("front end", front_end.at, Some(&front_end), ask, arguments)?,
        way("random choice", random.at, Some(&random), ask, arguments)?,
    ];
    let direct = ways[0].per_second;
    ways.iter_mut()
        .for_each(|row| row.of_direct = row.per_second / direct);
    let _ = std::fs::remove_file(file);
    if arguments.no_memory {
        return Ok(Measurement { ways, memory: None });
    }
    eprintln!("measuring memory");
    Ok(Measurement {
        ways,
        memory: memory()?,
    })
}

pub fn run(arguments: Arguments) -> Result<(), u8> {
    if let Some(part) = &arguments.part {
        return play(part);
    }
    if arguments.streams == 0
        || arguments.functions == 0
        || !(1..=1_000).contains(&arguments.executors)
        || !(0.1..=600.0).contains(&arguments.time)
    {
        eprintln!(
            "--streams and --functions have to be 1 at least, --executors 1 to 1000, --time 0.1 to 600 seconds"
        );
        return Err(BAD_INPUT);
    }
    let result = measure(&arguments).map_err(|e| {
        eprintln!("could not measure: {e}");
        COULD_NOT_RUN
    })?;
    if let Output::Json = arguments.output {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
        return Ok(());
    }
    println!("way              a second  of direct  CPU us an inv.  median alone  failed");
    for row in &result.ways {
        let cpu = row.cpu_us.map_or("-".into(), |c| format!("{c:.1}"));
        println!(
            "{:<15} {:>9.0} {:>10.2} {cpu:>15} {:>10.0} us {:>7}",
            row.way, row.per_second, row.of_direct, row.median_us, row.failed
        );
    }
    if let Some(memory) = &result.memory {
        println!(
            "bytes an open invocation {:.0}, an idle connection {:.0}",
            memory.open_invocation, memory.idle_connection
        );
        println!(
            "{} offered at once: {:.0} MB at the most, {} answered within their client timeout",
            memory.offered,
            memory.most_bytes / 1e6,
            memory.answered_in_time
        );
    }
    Ok(())
}
