//! An executor of the gateway: HTTP/2 streams with the messages of `crates/executor-protocol`.

use crate::Record;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use orchidtally_executor_protocol::{
    DISPATCH_PATH, Deframer, LOAD_PATH, MAX_MESSAGE_LENGTH, frame, v1,
};
use orchidtally_socket_io::Stream;
use prost::Message;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A dispatch that has arrived whole.
pub struct Arrival {
    pub executor: usize,
    pub dispatch: v1::Dispatch,
    pub payload: Vec<u8>,
}

/// What the executor does with a dispatch.
pub enum Reply {
    /// Answers with this body.
    Body(Vec<u8>),
    /// Streams this part so many times.
    Parts(Vec<u8>, usize),
    /// Closes the connection with no answer.
    CloseConnection,
}

/// Decides what becomes of a dispatch, and how long it runs.
pub type Script = Arc<dyn Fn(&Arrival) -> (Duration, Reply) + Send + Sync>;

/// The settings of an executor.
#[derive(Clone)]
pub struct Settings {
    pub number: usize,
    /// The most streams that it serves at a time on a connection (SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_streams: u32,
    pub script: Script,
}

/// Starts an executor on a thread of its own; it serves until the case ends.
pub fn start(settings: Settings, record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        let tasks = Rc::new(LocalExecutor::new());
        let listener = Async::new(listener).expect("the listener can be polled");
        let accept = async {
            loop {
                let stream = orchidtally_socket_io::accept(&listener).await;
                let work = serve(tasks.clone(), stream, settings.clone(), record.clone());
                tasks.spawn(work).detach();
            }
        };
        async_io::block_on(tasks.run(accept));
    });
    address
}

async fn serve(
    tasks: Rc<LocalExecutor<'static>>,
    stream: Stream,
    settings: Settings,
    record: Arc<Record>,
) {
    let abort = Rc::new(stream.abort_handle());
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(settings.max_streams)
        .initial_window_size(1 << 20)
        .initial_connection_window_size(4 << 20);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let work = handle(
            request,
            respond,
            settings.clone(),
            record.clone(),
            abort.clone(),
        );
        tasks.spawn(work).detach();
    }
}

async fn read_body(stream: &mut h2::RecvStream) -> Option<Deframer> {
    let mut deframer = Deframer::default();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        let _ = stream.flow_control().release_capacity(chunk.len());
        deframer.push(chunk);
    }
    Some(deframer)
}

async fn handle(
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    settings: Settings,
    record: Arc<Record>,
    abort: Rc<Option<std::net::TcpStream>>,
) -> Option<()> {
    let path = request.uri().path().to_owned();
    let mut body = read_body(&mut request.into_body()).await?;
    match path.as_str() {
        DISPATCH_PATH => {
            let dispatch: v1::Dispatch = body.next_message(MAX_MESSAGE_LENGTH).ok()??;
            let payload: Vec<u8> = std::iter::from_fn(|| body.next_payload_chunk())
                .flatten()
                .collect();
            let arrival = Arrival {
                executor: settings.number,
                dispatch,
                payload,
            };
            record.line(format!(
                "executor {} got dispatch {} of invocation {} ({} {}, token '{}', {:.3} s left)",
                arrival.executor,
                arrival.dispatch.number,
                arrival.dispatch.invocation,
                arrival.dispatch.trigger_type,
                arrival.dispatch.function,
                arrival.dispatch.token,
                arrival.dispatch.time_left as f64 / 1e6,
            ));
            let (time, reply) = (settings.script)(&arrival);
            let reset = async { future::poll_fn(|cx| respond.poll_reset(cx)).await.is_ok() };
            let ran = async {
                Timer::after(time).await;
                false
            };
            if future::or(ran, reset).await {
                record.line(format!(
                    "executor {}: dispatch of {} was cancelled",
                    settings.number, arrival.dispatch.invocation
                ));
                return None;
            }
            let head = v1::Answer {
                ending: v1::Ending::Ok.into(),
                found: v1::Found::Warm.into(),
                streams: matches!(reply, Reply::Parts(..)),
                ..v1::Answer::default()
            };
            match reply {
                Reply::CloseConnection => {
                    record.line(format!(
                        "executor {} closes the connection without an answer to {}",
                        settings.number, arrival.dispatch.invocation
                    ));
                    let socket = abort.as_ref().as_ref()?;
                    let _ = socket.shutdown(std::net::Shutdown::Both);
                }
                Reply::Body(bytes) => answer(&mut respond, &head, vec![bytes.into()]).await?,
                Reply::Parts(part, count) => {
                    let part = Bytes::from(part);
                    answer(&mut respond, &head, vec![part; count]).await?;
                }
            }
        }
        LOAD_PATH => {
            let order: v1::Order = body.next_message(MAX_MESSAGE_LENGTH).ok()??;
            let head = v1::OrderAnswer {
                ending: v1::Ending::Ok.into(),
                copies: order.copies,
                ..v1::OrderAnswer::default()
            };
            answer(&mut respond, &head, vec![]).await?;
        }
        _ => answer(&mut respond, &v1::ProbeAnswer::default(), vec![]).await?,
    }
    Some(())
}

/// Sends a message and a payload, as fast as the peer takes them.
async fn answer(
    respond: &mut SendResponse<Bytes>,
    head: &impl Message,
    payload: Vec<Bytes>,
) -> Option<()> {
    let mut out = respond.send_response(http::Response::new(()), false).ok()?;
    out.send_data(frame(head), payload.is_empty()).ok()?;
    let last = payload.len();
    for (n, mut chunk) in payload.into_iter().enumerate() {
        loop {
            out.reserve_capacity(chunk.len().max(1));
            let room = future::poll_fn(|cx| out.poll_capacity(cx)).await?.ok()?;
            let part = chunk.split_to(room.min(chunk.len()));
            let is_end = n + 1 == last && chunk.is_empty();
            out.send_data(part, is_end).ok()?;
            if chunk.is_empty() {
                break;
            }
        }
    }
    Some(())
}
