//! An executor of the gateway: HTTP/2 streams with the messages of `crates/executor-protocol`. A script says what
//! becomes of each dispatch and of each order to load.

use crate::Record;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use orchidtally_executor_protocol::{
    DISPATCH_PATH, Deframer, LOAD_PATH, MAX_MESSAGE_LENGTH, frame, v1,
};
use prost::Message;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Decides what becomes of a dispatch that has arrived whole: how long it runs, and its answer and body.
pub type DispatchScript =
    Arc<dyn Fn(&v1::Dispatch) -> (Duration, v1::Answer, Vec<u8>) + Send + Sync>;
/// Decides what becomes of an order to load: how long it takes, and its answer.
pub type OrderScript = Arc<dyn Fn(&v1::Order) -> (Duration, v1::OrderAnswer) + Send + Sync>;

/// An answer of a function that was loaded and has succeeded.
pub fn succeeded() -> v1::Answer {
    v1::Answer {
        ending: v1::Ending::Ok.into(),
        found: v1::Found::Warm.into(),
        ..v1::Answer::default()
    }
}

/// Answers each order to load at once: the copies stand.
pub fn loads_at_once() -> OrderScript {
    Arc::new(|order| {
        let answer = v1::OrderAnswer {
            ending: v1::Ending::Ok.into(),
            copies: order.copies.max(1),
            ..v1::OrderAnswer::default()
        };
        (Duration::ZERO, answer)
    })
}

/// Starts an executor on a thread of its own; it serves until the case ends.
pub fn start(
    number: usize,
    dispatches: DispatchScript,
    orders: OrderScript,
    record: Arc<Record>,
) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let executor = start_at(any, number, dispatches, orders, record);
    let address = executor.address;
    // It goes on without its handle.
    std::mem::forget(executor);
    address
}

/// An executor that can die.
pub struct Executor {
    pub address: SocketAddr,
    dies: async_channel::Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Executor {
    /// Ends the executor as the death of its process does: its connections are reset, and new ones are refused.
    pub fn die(mut self) {
        self.dies.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts an executor at an address on a thread of its own.
pub fn start_at(
    address: SocketAddr,
    number: usize,
    dispatches: DispatchScript,
    orders: OrderScript,
    record: Arc<Record>,
) -> Executor {
    let listener = orchidtally_socket_io::listen(address).expect("the port is free");
    let address = listener.get_ref().local_addr().expect("it is bound");
    let listener: TcpListener = listener.into_inner().expect("it is not polled yet");
    let (dies, death) = async_channel::bounded::<()>(1);
    let thread = std::thread::spawn(move || {
        let sockets: Rc<RefCell<Vec<TcpStream>>> = Rc::default();
        let tasks = LocalExecutor::new();
        let listener = Async::new(listener).expect("the listener can be polled");
        let accept = async {
            loop {
                let stream = orchidtally_socket_io::accept(&listener).await;
                sockets.borrow_mut().extend(stream.abort_handle());
                let work = serve(
                    stream,
                    number,
                    dispatches.clone(),
                    orders.clone(),
                    record.clone(),
                );
                tasks.spawn(work).detach();
            }
        };
        let dead = async {
            // No message is ever sent; closing the channel is the signal.
            let _ = death.recv().await;
        };
        async_io::block_on(tasks.run(future::or(accept, dead)));
        sockets
            .borrow()
            .iter()
            .for_each(orchidtally_socket_io::reset_on_close);
        // The sockets are closed as the thread ends.
    });
    Executor {
        address,
        dies,
        thread: Some(thread),
    }
}

/// Serves a connection until it ends. Dropping this ends all that is open on it.
async fn serve(
    stream: orchidtally_socket_io::Stream,
    number: usize,
    dispatches: DispatchScript,
    orders: OrderScript,
    record: Arc<Record>,
) {
    let Ok(mut connection) = h2::server::Builder::new()
        .handshake::<_, Bytes>(stream)
        .await
    else {
        return;
    };
    let tasks = LocalExecutor::new();
    let accept = async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            let (dispatches, orders, record) = (dispatches.clone(), orders.clone(), record.clone());
            let work = async move {
                handle(request, respond, number, dispatches, orders, &record).await;
            };
            tasks.spawn(work).detach();
        }
    };
    tasks.run(accept).await;
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

/// Waits for a time; returns whether the peer has reset the stream meanwhile.
async fn is_reset(respond: &mut SendResponse<Bytes>, time: Duration) -> bool {
    let reset = async { future::poll_fn(|cx| respond.poll_reset(cx)).await.is_ok() };
    let passed = async {
        Timer::after(time).await;
        false
    };
    future::or(passed, reset).await
}

async fn handle(
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    number: usize,
    dispatches: DispatchScript,
    orders: OrderScript,
    record: &Record,
) -> Option<()> {
    let path = request.uri().path().to_owned();
    let mut body = read_body(&mut request.into_body()).await?;
    match path.as_str() {
        DISPATCH_PATH => {
            let dispatch: v1::Dispatch = body.next_message(MAX_MESSAGE_LENGTH).ok()??;
            record.line(format!(
                "executor {number}: dispatch {} of {} ({} {}{}, {:.3} s left)",
                dispatch.number,
                dispatch.invocation,
                dispatch.trigger_type,
                dispatch.function,
                short_digest(&dispatch.digest),
                dispatch.time_left as f64 / 1e6,
            ));
            let (time, answer, output) = dispatches(&dispatch);
            if is_reset(&mut respond, time).await {
                record.line(format!(
                    "executor {number}: {} is given up",
                    dispatch.invocation
                ));
                return None;
            }
            send(&mut respond, &answer, output)
        }
        LOAD_PATH => {
            let order: v1::Order = body.next_message(MAX_MESSAGE_LENGTH).ok()??;
            record.line(format!(
                "executor {number}: order {:?} of {} copies of {}{}",
                order.kind(),
                order.copies,
                order.function,
                short_digest(&order.digest),
            ));
            let (time, answer) = orders(&order);
            if is_reset(&mut respond, time).await {
                return None;
            }
            send(&mut respond, &answer, vec![])
        }
        _ => send(&mut respond, &v1::ProbeAnswer::default(), vec![]),
    }
}

fn short_digest(digest: &str) -> String {
    match digest.get(..4) {
        Some(start) => format!("@{start}"),
        None => String::new(),
    }
}

fn send(respond: &mut SendResponse<Bytes>, head: &impl Message, payload: Vec<u8>) -> Option<()> {
    let mut out = respond.send_response(http::Response::new(()), false).ok()?;
    out.send_data(frame(head), payload.is_empty()).ok()?;
    if !payload.is_empty() {
        out.send_data(payload.into(), true).ok()?;
    }
    Some(())
}
