//! Starts, kills and restarts the front ends' processes.

use super::{FAILURE_DETECTION_TIME, FrontEnd, Rehearsal, START_TIMEOUT};
use crate::rehearse::scenario::ScheduledFault;
use bytes::Bytes;
use futures_lite::future;
use orchidtally_invariants::TrafficRecord;
use std::io;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

impl Rehearsal {
    /// Starts a front end's process.
    pub(super) fn start(&self, front_end: &FrontEnd) -> io::Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["--log", &self.front_end_log, "serve", "--deployment"])
            .arg(&self.file)
            .args([
                "--listen",
                &front_end.at.to_string(),
                "--index",
                &front_end.index.to_string(),
            ])
            .args(["--clock-ahead", &front_end.clock_ahead.to_string()])
            .arg("--until-input-ends")
            .stdin(Stdio::piped())
            .stdout(Stdio::null());
        if front_end.clock_step != 0.0 {
            command.args([
                "--clock-step",
                &format!("{},{}", self.scenario.length / 2.0, front_end.clock_step),
            ]);
        }
        *front_end.child.borrow_mut() = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until a front end accepts connections.
    ///
    /// # Errors
    /// The process exits, or does not accept connections within [`START_TIMEOUT`].
    pub(super) async fn wait_until_up(&self, front_end: &FrontEnd) -> io::Result<()> {
        let until = self.environment.now() + START_TIMEOUT;
        loop {
            if orchidtally_socket_io::connect(front_end.at, Duration::from_millis(200))
                .await
                .is_ok()
            {
                self.environment.record(TrafficRecord::FrontEndReady {
                    at: self.environment.now(),
                    front_end: front_end.index,
                });
                front_end.in_use.set(true);
                return Ok(());
            }
            if let Some(child) = front_end.child.borrow_mut().as_mut()
                && let Some(status) = child.try_wait()?
            {
                return Err(io::Error::other(format!(
                    "front end {} exited at its start: {status}",
                    front_end.index
                )));
            }
            if self.environment.now() > until {
                return Err(io::Error::other(format!(
                    "front end {} did not start",
                    front_end.index
                )));
            }
            self.environment.sleep(0.02).await;
        }
    }

    /// Kills front ends at once and restarts them after the fault's duration.
    pub(super) async fn kill_front_ends(self: &Rc<Self>, fault: &ScheduledFault) {
        let selected = self.sample(&self.front_ends, fault.size, |f| f.in_use.get());
        for front_end in &selected {
            self.environment.record(TrafficRecord::FrontEndKilled {
                at: self.environment.now(),
                front_end: front_end.index,
            });
            if let Some(mut child) = front_end.child.borrow_mut().take() {
                // SIGKILL, to simulate the loss of a machine.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.environment.sleep(FAILURE_DETECTION_TIME).await;
        selected
            .iter()
            .for_each(|front_end| front_end.in_use.set(false));
        self.environment
            .sleep((fault.duration - FAILURE_DETECTION_TIME).max(0.1))
            .await;
        for front_end in &selected {
            self.restart(front_end).await;
        }
    }

    /// Restarts a front end and waits until it accepts connections.
    async fn restart(&self, front_end: &FrontEnd) {
        let started = self.start(front_end);
        let up = match started {
            Ok(()) => self.wait_until_up(front_end).await,
            Err(e) => Err(e),
        };
        if let Err(e) = up {
            eprintln!("front end {} did not restart: {e}", front_end.index);
        }
    }

    /// Restarts front ends gracefully in sequence. Stops when fewer than two are in use.
    pub(super) async fn roll_front_ends(self: &Rc<Self>, fault: &ScheduledFault) {
        let selected = self.sample(&self.front_ends, fault.size, |f| f.in_use.get());
        for front_end in selected {
            if self.front_ends.iter().filter(|f| f.in_use.get()).count() < 2 {
                return;
            }
            front_end.in_use.set(false);
            self.environment.sleep(FAILURE_DETECTION_TIME).await;
            let Some(mut child) = front_end.child.borrow_mut().take() else {
                continue;
            };
            // Uses the `kill` tool, as the standard library can send only SIGKILL.
            let signalled = Command::new("kill")
                .args(["-TERM", &child.id().to_string()])
                .status();
            if !signalled.is_ok_and(|s| s.success()) {
                eprintln!("front end {} could not be sent SIGTERM", front_end.index);
            }
            let until = self.environment.now() + 8.0;
            loop {
                match child.try_wait() {
                    Ok(None) if self.environment.now() < until => {
                        self.environment.sleep(0.02).await
                    }
                    Ok(Some(status)) if status.success() => break,
                    other => {
                        eprintln!(
                            "front end {} did not shut down cleanly: {other:?}",
                            front_end.index
                        );
                        let _ = child.kill();
                        let _ = child.wait();
                        break;
                    }
                }
            }
            self.restart(&front_end).await;
        }
    }
}

/// Why a front end did not report its state. It is displayed as its cause.
#[derive(Debug, thiserror::Error)]
pub(super) enum StateError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request can't be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// There was no response within 2 s.
    #[error("no response in time")]
    TimedOut,
    /// The response is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] std::string::FromUtf8Error),
}

/// Reads the state that a front end reports, as JSON.
pub(super) async fn fetch_state(at: SocketAddr) -> Result<String, StateError> {
    use http_body_util::{BodyExt, Empty};
    let stream = orchidtally_socket_io::connect(at, Duration::from_secs(1)).await?;
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(stream).await?;
    let request = http::Request::get("/v1/front-end")
        .header(http::header::HOST, at.to_string())
        .body(Empty::new())?;
    let round_trip = async {
        Ok::<_, hyper::Error>(
            sender
                .send_request(request)
                .await?
                .into_body()
                .collect()
                .await?
                .to_bytes(),
        )
    };
    let drive_connection = async {
        let _ = driver.await;
        future::pending().await
    };
    let body = orchidtally_socket_io::with_timeout(
        Duration::from_secs(2),
        future::or(round_trip, drive_connection),
    )
    .await;
    Ok(String::from_utf8(
        body.ok_or(StateError::TimedOut)??.to_vec(),
    )?)
}
