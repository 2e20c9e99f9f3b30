//! Front ends as processes of their own: started, killed, ended and replaced.

use super::{FrontEnd, NOTICE, Rehearsal, START_TIME};
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
    pub(super) fn start(&self, fe: &FrontEnd) -> io::Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["--log", &self.log, "serve", "--deployment"])
            .arg(&self.file)
            .args([
                "--listen",
                &fe.at.to_string(),
                "--index",
                &fe.index.to_string(),
            ])
            .args(["--clock-ahead", &fe.ahead.to_string()])
            .arg("--until-input-ends")
            .stdin(Stdio::piped())
            .stdout(Stdio::null());
        if fe.step != 0.0 {
            command.args([
                "--clock-step",
                &format!("{},{}", self.scenario.length / 2.0, fe.step),
            ]);
        }
        *fe.child.borrow_mut() = Some(command.spawn()?);
        Ok(())
    }

    pub(super) async fn until_up(&self, fe: &FrontEnd) -> io::Result<()> {
        let until = self.stage.now() + START_TIME;
        loop {
            if orchidtally_socket_io::connect(fe.at, Duration::from_millis(200))
                .await
                .is_ok()
            {
                self.stage.record(TrafficRecord::FrontEndReady {
                    at: self.stage.now(),
                    front_end: fe.index,
                });
                fe.used.set(true);
                return Ok(());
            }
            if let Some(child) = fe.child.borrow_mut().as_mut()
                && let Some(status) = child.try_wait()?
            {
                return Err(io::Error::other(format!(
                    "front end {} ended at its start: {status}",
                    fe.index
                )));
            }
            if self.stage.now() > until {
                return Err(io::Error::other(format!(
                    "front end {} did not start",
                    fe.index
                )));
            }
            self.stage.sleep(0.02).await;
        }
    }

    pub(super) async fn kill_front_ends(self: &Rc<Self>, fault: &ScheduledFault) {
        let some = self.some(&self.front_ends, fault.size, |f| f.used.get());
        for fe in &some {
            self.stage.record(TrafficRecord::FrontEndKilled {
                at: self.stage.now(),
                front_end: fe.index,
            });
            if let Some(mut child) = fe.child.borrow_mut().take() {
                // Outright, as a machine that is lost.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.stage.sleep(NOTICE).await;
        some.iter().for_each(|fe| fe.used.set(false));
        self.stage.sleep((fault.duration - NOTICE).max(0.1)).await;
        for fe in &some {
            self.again(fe).await;
        }
    }

    async fn again(&self, fe: &FrontEnd) {
        let started = self.start(fe);
        let up = match started {
            Ok(()) => self.until_up(fe).await,
            Err(e) => Err(e),
        };
        if let Err(e) = up {
            eprintln!("front end {} did not come up again: {e}", fe.index);
        }
    }

    pub(super) async fn roll_front_ends(self: &Rc<Self>, fault: &ScheduledFault) {
        let some = self.some(&self.front_ends, fault.size, |f| f.used.get());
        for fe in some {
            if self.front_ends.iter().filter(|f| f.used.get()).count() < 2 {
                return;
            }
            fe.used.set(false);
            self.stage.sleep(NOTICE).await;
            let Some(mut child) = fe.child.borrow_mut().take() else {
                continue;
            };
            // By the tool that every system has, since the standard library sends no other signal.
            let notified = Command::new("kill")
                .args(["-TERM", &child.id().to_string()])
                .status();
            if !notified.is_ok_and(|s| s.success()) {
                eprintln!("front end {} could not be told to end", fe.index);
            }
            let until = self.stage.now() + 8.0;
            loop {
                match child.try_wait() {
                    Ok(None) if self.stage.now() < until => self.stage.sleep(0.02).await,
                    Ok(Some(status)) if status.success() => break,
                    other => {
                        eprintln!("front end {} did not end well: {other:?}", fe.index);
                        let _ = child.kill();
                        let _ = child.wait();
                        break;
                    }
                }
            }
            self.again(&fe).await;
        }
    }
}

/// Why a front end did not report its state. The text is that of the cause.
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
    /// There was no response in time.
    #[error("no answer")]
    TimedOut,
    /// The response is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] std::string::FromUtf8Error),
}

/// The state that a front end reports, as JSON.
pub(super) async fn state(at: SocketAddr) -> Result<String, StateError> {
    use http_body_util::{BodyExt, Empty};
    let stream = orchidtally_socket_io::connect(at, Duration::from_secs(1)).await?;
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(stream).await?;
    let ask = http::Request::get("/v1/front-end")
        .header(http::header::HOST, at.to_string())
        .body(Empty::new())?;
    let work = async {
        Ok::<_, hyper::Error>(
            sender
                .send_request(ask)
                .await?
                .into_body()
                .collect()
                .await?
                .to_bytes(),
        )
    };
    let drive = async {
        let _ = driver.await;
        future::pending().await
    };
    let body =
        orchidtally_socket_io::with_timeout(Duration::from_secs(2), future::or(work, drive)).await;
    Ok(String::from_utf8(
        body.ok_or(StateError::TimedOut)??.to_vec(),
    )?)
}
