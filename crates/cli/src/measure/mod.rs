//! `orchidtally measure`: compares a front end on this machine with a direct client, a plain relay and the same front
//! end with random choice. Each runs as one process on one thread; ratios are comparable only within one run.

mod memory;
mod process;

use crate::{BAD_INPUT, COULD_NOT_RUN};
use clap::ValueEnum;
use memory::{Memory, memory};
use orchidtally_test_servers::TestEnvironment;
use orchidtally_test_servers::baseline::{self, BaselineRequest, LoadResult};
use process::{MeasuredProcess, run_part, write_deployment};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;

#[derive(clap::Args)]
pub struct Arguments {
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 3.0)]
    time: f64,
    /// Concurrent streams of the client in the throughput measurement.
    #[arg(long, default_value_t = 64)]
    streams: usize,
    /// Size of a request body, in bytes.
    #[arg(long, default_value_t = 256)]
    payload: usize,
    /// Number of functions that are invoked in turn.
    #[arg(long, default_value_t = 16)]
    functions: usize,
    /// Number of executors that the front end sees: addresses of a single process.
    #[arg(long, default_value_t = 16)]
    executors: usize,
    /// Skip the memory measurement.
    #[arg(long)]
    no_memory: bool,
    /// Format of the result.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
    /// Run as one process of a measurement: `executor=DELAY[xCOUNT]` or `relay=ADDRESS`.
    #[arg(long, hide = true)]
    part: Option<String>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Output {
    Table,
    Json,
}

/// The throughput and latency over one path to an executor.
#[derive(Serialize)]
struct Row {
    way: &'static str,
    per_second: f64,
    of_direct: f64,
    /// CPU time of the front end or relay, in microseconds per invocation.
    cpu_us: Option<f64>,
    median_us: f64,
    failed: u64,
}

/// The result of a run, as it is printed in JSON.
#[derive(Serialize)]
struct Measurement {
    ways: Vec<Row>,
    memory: Option<Memory>,
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Sends requests over so many streams for the measurement's duration.
fn load(
    to: SocketAddr,
    request: BaselineRequest,
    streams: usize,
    arguments: &Arguments,
) -> io::Result<LoadResult> {
    let environment = TestEnvironment::new(1);
    let tasks = environment.tasks.clone();
    let observed = async_io::block_on(tasks.run(baseline::run_closed_loop(
        &environment,
        to,
        request,
        streams,
        arguments.time,
        arguments.payload,
    )));
    observed.map_err(io::Error::other)
}

/// Measures one path: throughput and CPU time over all streams, then the latency over a single stream. `of_direct` is
/// filled in by the caller.
fn measure_path(
    name: &'static str,
    to: SocketAddr,
    measured_process: Option<&MeasuredProcess>,
    request: BaselineRequest,
    arguments: &Arguments,
) -> io::Result<Row> {
    eprintln!("measuring {name}");
    // Warms up first: connections are open and replicas are known before the measurement begins.
    let warm_up = Arguments {
        time: 0.3,
        part: None,
        ..*arguments
    };
    load(to, request, arguments.streams, &warm_up)?;
    let before = measured_process.and_then(MeasuredProcess::cpu);
    let concurrent = load(to, request, arguments.streams, arguments)?;
    let after = measured_process.and_then(MeasuredProcess::cpu);
    let single_stream = load(
        to,
        request,
        1,
        &Arguments {
            time: arguments.time / 2.0,
            part: None,
            ..*arguments
        },
    )?;
    let cpu_seconds = before.zip(after).map(|(before, after)| after - before);
    Ok(Row {
        way: name,
        per_second: concurrent.succeeded as f64 / concurrent.seconds,
        of_direct: 1.0,
        cpu_us: cpu_seconds
            .map(|u| 1e6 * u / (concurrent.succeeded + concurrent.failed).max(1) as f64),
        median_us: 1e6 * median(single_stream.latencies),
        failed: concurrent.failed + single_stream.failed,
    })
}

/// Starts all processes and measures each path, and memory unless it is skipped.
fn measure(arguments: &Arguments) -> io::Result<Measurement> {
    let executor = MeasuredProcess::start(&[
        "measure",
        "--part",
        &format!("executor=0x{}", arguments.executors),
    ])?;
    let relay = MeasuredProcess::start(&["measure", "--part", &format!("relay={}", executor.at)])?;
    let file = write_deployment(&executor.addresses, 20_001)?;
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
    let front_end = MeasuredProcess::start(&serve)?;
    let random = MeasuredProcess::start(&[&serve[..], &["--random"]].concat())?;
    let request = BaselineRequest::Invocation {
        functions: arguments.functions,
    };
    let mut ways = vec![
        measure_path(
            "direct",
            executor.at,
            None,
            BaselineRequest::Dispatch,
            arguments,
        )?,
        measure_path(
            "relay",
            relay.at,
            Some(&relay),
            BaselineRequest::Dispatch,
            arguments,
        )?,
        measure_path(
            "front end",
            front_end.at,
            Some(&front_end),
            request,
            arguments,
        )?,
        measure_path(
            "random choice",
            random.at,
            Some(&random),
            request,
            arguments,
        )?,
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

/// Runs a measurement, or one of its processes.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    if let Some(part) = &arguments.part {
        return run_part(part);
    }
    if arguments.streams == 0
        || arguments.functions == 0
        || !(1..=1_000).contains(&arguments.executors)
        || !(0.1..=600.0).contains(&arguments.time)
    {
        eprintln!(
            "--streams and --functions must be at least 1, --executors 1 to 1000, --time 0.1 to 600 seconds"
        );
        return Err(BAD_INPUT);
    }
    let result = measure(&arguments).map_err(|e| {
        eprintln!("the measurement failed: {e}");
        COULD_NOT_RUN
    })?;
    if let Output::Json = arguments.output {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
        return Ok(());
    }
    println!("path           per second  of direct  CPU us per inv  median, idle  failed");
    for row in &result.ways {
        let cpu = row.cpu_us.map_or("-".into(), |c| format!("{c:.1}"));
        println!(
            "{:<15} {:>9.0} {:>10.2} {cpu:>15} {:>10.0} us {:>7}",
            row.way, row.per_second, row.of_direct, row.median_us, row.failed
        );
    }
    if let Some(memory) = &result.memory {
        println!(
            "bytes per open invocation {:.0}, per idle connection {:.0}",
            memory.open_invocation, memory.idle_connection
        );
        println!(
            "{} invocations at once: {:.0} MB peak, {} answered within their client timeout",
            memory.offered,
            memory.most_bytes / 1e6,
            memory.answered_in_time
        );
    }
    Ok(())
}
