//! Measures how much memory open invocations and idle connections take in a front end.

use super::process::{MeasuredProcess, write_deployment};
use orchidtally_test_servers::{ExchangeError, TestEnvironment, baseline};
use serde::Serialize;
use std::io;
use std::time::Duration;

/// The result of the memory measurement.
#[derive(Serialize)]
pub(super) struct Memory {
    /// Bytes of the front end per open invocation.
    pub(super) open_invocation: f64,
    /// Bytes of the front end per idle connection.
    pub(super) idle_connection: f64,
    /// Invocations sent at once.
    pub(super) offered: usize,
    /// The peak of the front end's resident memory meanwhile, in bytes.
    pub(super) most_bytes: f64,
    /// How many of the offered invocations had a final answer within their client timeout.
    pub(super) answered_in_time: usize,
}

/// Measures a front end with many invocations open at a slow executor; `None` if the system does not report memory use.
pub(super) fn memory() -> io::Result<Option<Memory>> {
    const MAX_OPEN_INVOCATIONS: usize = 20_000;
    const CONNECTIONS: usize = 200;
    const STREAMS: usize = 1_000;
    const HOLD_TIME: f64 = 8.0;
    let slow_executor = MeasuredProcess::start(&["measure", "--part", "executor=30x16"])?;
    let file = write_deployment(&slow_executor.addresses, MAX_OPEN_INVOCATIONS)?;
    let path = file.display().to_string();
    let front_end = MeasuredProcess::start(&[
        "--log",
        "error",
        "serve",
        "--deployment",
        &path,
        "--listen",
        "127.0.0.1:0",
        "--until-input-ends",
    ])?;
    let environment = TestEnvironment::new(1);
    let tasks = environment.tasks.clone();
    let sleep =
        |time: f64| async move { async_io::Timer::after(Duration::from_secs_f64(time)).await };
    let answered_count = std::rc::Rc::new(std::cell::Cell::new(0));
    let work = async {
        sleep(0.3).await;
        let empty_bytes = front_end.memory();
        let idle_connections = baseline::open_streams(
            &environment,
            front_end.at,
            CONNECTIONS,
            0,
            HOLD_TIME,
            &answered_count,
        )
        .await?;
        sleep(0.3).await;
        let connected_bytes = front_end.memory();
        drop(idle_connections);
        let some = baseline::open_streams(
            &environment,
            front_end.at,
            10,
            STREAMS,
            HOLD_TIME,
            &answered_count,
        )
        .await?;
        sleep(0.5).await;
        let open = front_end.memory();
        let many = baseline::open_streams(
            &environment,
            front_end.at,
            CONNECTIONS,
            STREAMS,
            HOLD_TIME,
            &answered_count,
        )
        .await?;
        let mut peak_bytes = 0.0f64;
        for _ in 0..(HOLD_TIME * 10.0) as usize + 10 {
            sleep(0.1).await;
            peak_bytes = peak_bytes.max(front_end.memory().unwrap_or(0.0));
        }
        drop((some, many));
        Ok::<_, ExchangeError>((empty_bytes, connected_bytes, open, peak_bytes))
    };
    let measured = async_io::block_on(tasks.run(work)).map_err(io::Error::other)?;
    // An error is ignored: a file left in the temporary folder does no harm.
    let _ = std::fs::remove_file(file);
    let (Some(empty_bytes), Some(connected_bytes), Some(open), peak_bytes) = measured else {
        return Ok(None);
    };
    Ok(Some(Memory {
        idle_connection: (connected_bytes - empty_bytes) / CONNECTIONS as f64,
        open_invocation: (open - connected_bytes) / (10 * STREAMS) as f64,
        offered: (CONNECTIONS + 10) * STREAMS,
        most_bytes: peak_bytes,
        answered_in_time: answered_count.get(),
    }))
}
