//! The memory that open invocations and idle connections take in a front end.

use super::process::{Part, deployment};
use orchidtally_test_servers::{ExchangeError, TestEnvironment, baseline};
use serde::Serialize;
use std::io;
use std::time::Duration;

#[derive(Serialize)]
pub(super) struct Memory {
    /// Bytes of the front end for each open invocation, and for each idle connection.
    pub(super) open_invocation: f64,
    pub(super) idle_connection: f64,
    /// Invocations offered at once, and the resident memory that this came to at the most.
    pub(super) offered: usize,
    pub(super) most_bytes: f64,
    /// How many of them had a final answer within their client timeout.
    pub(super) answered_in_time: usize,
}

/// Memory of a front end with many invocations open at a slow executor.
pub(super) fn memory() -> io::Result<Option<Memory>> {
    const OPEN: usize = 20_000;
    const CONNECTIONS: usize = 200;
    const STREAMS: usize = 1_000;
    const TIME: f64 = 8.0;
    let slow = Part::start(&["measure", "--part", "executor=30x16"])?;
    let file = deployment(&slow.all, OPEN)?;
    let path = file.display().to_string();
    let front_end = Part::start(&[
        "--log",
        "error",
        "serve",
        "--deployment",
        &path,
        "--listen",
        "127.0.0.1:0",
        "--until-input-ends",
    ])?;
    let stage = TestEnvironment::new(1);
    let tasks = stage.tasks.clone();
    let sleep =
        |time: f64| async move { async_io::Timer::after(Duration::from_secs_f64(time)).await };
    let answered = std::rc::Rc::new(std::cell::Cell::new(0));
    let work = async {
        sleep(0.3).await;
        let empty = front_end.memory();
        let idle =
            baseline::open_streams(&stage, front_end.at, CONNECTIONS, 0, TIME, &answered).await?;
        sleep(0.3).await;
        let connected = front_end.memory();
        drop(idle);
        let some =
            baseline::open_streams(&stage, front_end.at, 10, STREAMS, TIME, &answered).await?;
        sleep(0.5).await;
        let open = front_end.memory();
        let many =
            baseline::open_streams(&stage, front_end.at, CONNECTIONS, STREAMS, TIME, &answered)
                .await?;
        let mut most = 0.0f64;
        for _ in 0..(TIME * 10.0) as usize + 10 {
            sleep(0.1).await;
            most = most.max(front_end.memory().unwrap_or(0.0));
        }
        drop((some, many));
        Ok::<_, ExchangeError>((empty, connected, open, most))
    };
    let seen = async_io::block_on(tasks.run(work)).map_err(io::Error::other)?;
    // It lies in the temporary folder, where nobody misses it.
    let _ = std::fs::remove_file(file);
    let (Some(empty), Some(connected), Some(open), most) = seen else {
        return Ok(None);
    };
    Ok(Some(Memory {
        idle_connection: (connected - empty) / CONNECTIONS as f64,
        open_invocation: (open - connected) / (10 * STREAMS) as f64,
        offered: (CONNECTIONS + 10) * STREAMS,
        most_bytes: most,
        answered_in_time: answered.get(),
    }))
}
