//! Connections of front ends: reads requests from HTTP/2 streams and sends answers, as one message or
//! streamed in parts.

use super::Executor;
use super::dispatch::DispatchResponse;
use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use orchidtally_executor_protocol::{
    CONTENT_TYPE, DISPATCH_PATH, Deframer, HEALTH_CHECK_PATH, LOAD_PATH, MAX_MESSAGE_LENGTH, frame,
    v1,
};
use orchidtally_invariants::DispatchOutcome;
use orchidtally_socket_io::Stream;
use prost::Message;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

impl Executor {
    pub(super) async fn connection(self: Rc<Self>, stream: Stream, go_away_signal: Receiver<()>) {
        let now = self.environment.now();
        if self.faults.slow_handshakes.is_active(now) {
            self.environment
                .sleep(self.faults.slow_handshakes.ends_at() - now)
                .await;
        }
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(self.spec.max_streams)
            .initial_window_size(1 << 20)
            .initial_connection_window_size(4 << 20);
        let Some(Ok(mut connection)) = orchidtally_socket_io::with_timeout(
            Duration::from_secs(5),
            builder.handshake::<_, Bytes>(stream),
        )
        .await
        else {
            return;
        };
        // Dropping this local executor when the connection ends cancels the tasks of its streams.
        let streams = async_executor::LocalExecutor::new();
        let mut sent_go_away = false;
        let serve = async {
            loop {
                while self.faults.reads_paused.is_active(self.environment.now()) {
                    self.environment.sleep(0.05).await;
                }
                let go_away = async {
                    if sent_go_away {
                        future::pending::<()>().await;
                    }
                    let _ = go_away_signal.recv().await;
                    None
                };
                match future::or(async { Some(connection.accept().await) }, go_away).await {
                    None => {
                        sent_go_away = true;
                        connection.graceful_shutdown();
                    }
                    Some(None) => return,
                    Some(Some(Err(fault))) => {
                        if !fault.is_io() {
                            warn!(executor = %self.address, %fault, "protocol error, connection closed");
                        }
                        return;
                    }
                    Some(Some(Ok((request, respond)))) => {
                        streams
                            .spawn(self.clone().stream(request, respond))
                            .detach();
                    }
                }
            }
        };
        streams.run(serve).await;
    }

    async fn stream(
        self: Rc<Self>,
        request: http::Request<h2::RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let is_expected_type = request
            .headers()
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|t| t == CONTENT_TYPE);
        let path = request.uri().path().to_owned();
        let mut body = Body {
            stream: request.into_body(),
            deframer: Deframer::default(),
        };
        if !is_expected_type {
            reject(&mut respond, http::StatusCode::UNSUPPORTED_MEDIA_TYPE);
            return;
        }
        // A dispatch is cancelled when the peer resets its stream.
        let sent = match path.as_str() {
            DISPATCH_PATH => {
                let Some(dispatch) = body.read_message::<v1::Dispatch>().await else {
                    return reject(&mut respond, http::StatusCode::BAD_REQUEST);
                };
                match self.serve_dispatch(dispatch, &mut body, &mut respond).await {
                    Some(sent) => sent,
                    None => return,
                }
            }
            LOAD_PATH => {
                let Some(order) = body.read_message::<v1::Order>().await else {
                    return reject(&mut respond, http::StatusCode::BAD_REQUEST);
                };
                let answer = self.clone().execute_load_command(order).await;
                send_response(&mut respond, &answer, vec![])
            }
            HEALTH_CHECK_PATH => send_response(
                &mut respond,
                &v1::ProbeAnswer {
                    report: self.report(),
                },
                vec![],
            ),
            _ => return reject(&mut respond, http::StatusCode::NOT_FOUND),
        };
        if let Err(fault) = sent {
            debug!(executor = %self.address, %fault, "failed to send the response");
        }
    }

    /// Runs a dispatch and sends its answer. Returns `None` if the peer resets the stream first.
    async fn serve_dispatch(
        self: &Rc<Self>,
        dispatch: v1::Dispatch,
        body: &mut Body,
        respond: &mut SendResponse<Bytes>,
    ) -> Option<Result<(), h2::Error>> {
        let work = self.clone().dispatch(dispatch, body);
        let reset = async {
            future::poll_fn(|cx| respond.poll_reset(cx)).await.ok();
            None
        };
        let response = future::or(async { Some(work.await) }, reset).await;
        let DispatchResponse {
            answer,
            output,
            mut pending_dispatch,
            outcome,
        } = response?;
        let sent = if output.response_parts > 0 {
            self.send_in_parts(respond, &answer, output.payload, output.response_parts)
                .await
        } else {
            send_response(respond, &answer, output.payload)
        };
        pending_dispatch.end(if sent.is_ok() {
            outcome
        } else {
            DispatchOutcome::Abandoned
        });
        Some(sent)
    }

    async fn send_in_parts(
        &self,
        respond: &mut SendResponse<Bytes>,
        answer: &v1::Answer,
        payload: Vec<Bytes>,
        parts: usize,
    ) -> Result<(), h2::Error> {
        let mut out = respond.send_response(http::Response::new(()), false)?;
        out.send_data(frame(answer), false)?;
        for n in 0..parts {
            self.environment.sleep(0.02).await;
            for chunk in &payload {
                out.send_data(chunk.clone(), false)?;
            }
            if n + 1 == parts {
                out.send_data(Bytes::new(), true)?;
            }
        }
        Ok(())
    }
}

pub(super) struct Body {
    stream: h2::RecvStream,
    deframer: Deframer,
}

impl Body {
    async fn read_chunk(&mut self) -> bool {
        match self.stream.data().await {
            Some(Ok(chunk)) => {
                let _ = self.stream.flow_control().release_capacity(chunk.len());
                self.deframer.push(chunk);
                true
            }
            _ => false,
        }
    }

    async fn read_message<M: Message + Default>(&mut self) -> Option<M> {
        loop {
            match self.deframer.next_message(MAX_MESSAGE_LENGTH) {
                Ok(Some(message)) => return Some(message),
                Ok(None) if self.read_chunk().await => {}
                Ok(None) => return None,
                Err(fault) => {
                    warn!(%fault, "invalid message received");
                    return None;
                }
            }
        }
    }

    pub(super) async fn read_payload(&mut self) -> Vec<Bytes> {
        while self.read_chunk().await {}
        std::iter::from_fn(|| self.deframer.next_payload_chunk()).collect()
    }
}

fn reject(respond: &mut SendResponse<Bytes>, status: http::StatusCode) {
    let mut response = http::Response::new(());
    *response.status_mut() = status;
    // Sending fails if the peer has closed the connection; nothing is left to do then.
    let _ = respond.send_response(response, true);
}

fn send_response(
    respond: &mut SendResponse<Bytes>,
    head: &impl Message,
    payload: Vec<Bytes>,
) -> Result<(), h2::Error> {
    let mut out = respond.send_response(http::Response::new(()), false)?;
    out.send_data(frame(head), payload.is_empty())?;
    let last = payload.len();
    for (n, chunk) in payload.into_iter().enumerate() {
        out.send_data(chunk, n + 1 == last)?;
    }
    Ok(())
}
