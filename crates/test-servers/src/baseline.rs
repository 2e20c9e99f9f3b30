//! Minimal HTTP/2 programs as a baseline for measurements of the gateway: an executor that answers at once, a relay
//! without any policy, and a client that keeps a number of streams open.

use crate::{ExchangeError, TestEnvironment};
use bytes::Bytes;
use h2::client::SendRequest;
use orchidtally_executor_protocol::{CONTENT_TYPE, DISPATCH_PATH, frame, v1};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

fn set_windows(builder: &mut h2::client::Builder) {
    builder
        .initial_window_size(1 << 20)
        .initial_connection_window_size(4 << 20)
        .enable_push(false);
}

/// Reads a body to its end.
async fn read_body(mut body: h2::RecvStream) -> Result<Vec<Bytes>, h2::Error> {
    let mut chunks = vec![];
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        chunks.push(chunk);
    }
    Ok(chunks)
}

/// Accepts connections and serves each of their streams with `answer`, until it is dropped.
async fn serve<F, W>(
    environment: TestEnvironment,
    listener: async_io::Async<TcpListener>,
    answer: F,
) where
    F: Fn(http::Request<h2::RecvStream>, h2::server::SendResponse<Bytes>) -> W + Clone + 'static,
    W: Future<Output = Result<(), ExchangeError>> + 'static,
{
    loop {
        let stream = orchidtally_socket_io::accept(&listener).await;
        let (connection_environment, answer) = (environment.clone(), answer.clone());
        let connection = async move {
            let mut builder = h2::server::Builder::new();
            builder
                .initial_window_size(1 << 20)
                .initial_connection_window_size(4 << 20);
            builder.max_concurrent_streams(10_000);
            let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
                return;
            };
            while let Some(Ok((request, respond))) = connection.accept().await {
                let work = answer(request, respond);
                // Errors are dropped here; the client counts the failed stream.
                connection_environment
                    .spawn(async move { drop(work.await) })
                    .detach();
            }
        };
        environment.spawn(connection).detach();
    }
}

/// Serves as an executor that has every function loaded, and answers with an empty result after `delay` seconds.
pub async fn executor(
    environment: TestEnvironment,
    listener: async_io::Async<TcpListener>,
    delay: f64,
) {
    let mut answer = v1::Answer::default();
    answer.set_ending(v1::Ending::Ok);
    answer.set_found(v1::Found::Warm);
    let head = frame(&answer);
    let clock = environment.clone();
    serve(environment, listener, move |request, mut respond| {
        let (head, clock) = (head.clone(), clock.clone());
        async move {
            read_body(request.into_body()).await?;
            clock.sleep(delay).await;
            let mut out = respond.send_response(http::Response::new(()), false)?;
            out.send_data(head, true)?;
            Ok(())
        }
    })
    .await;
}

/// Forwards the body of each stream to the executor at `to`, and the response back, unchanged.
pub async fn relay(
    environment: TestEnvironment,
    listener: async_io::Async<TcpListener>,
    to: SocketAddr,
) {
    let Ok(upstream) = connect(&environment, to).await else {
        return;
    };
    let upstream = Rc::new(RefCell::new(upstream));
    serve(environment, listener, move |request, mut respond| {
        let upstream = upstream.clone();
        async move {
            let chunks = read_body(request.into_body()).await?;
            let request = dispatch(to)?;
            let sender = upstream.borrow().clone();
            let (response, mut out) = sender.ready().await?.send_request(request, false)?;
            for chunk in chunks {
                out.send_data(chunk, false)?;
            }
            out.send_data(Bytes::new(), true)?;
            let chunks = read_body(response.await?.into_body()).await?;
            let mut out = respond.send_response(http::Response::new(()), false)?;
            for chunk in chunks {
                out.send_data(chunk, false)?;
            }
            out.send_data(Bytes::new(), true)?;
            Ok(())
        }
    })
    .await;
}

fn dispatch(to: SocketAddr) -> http::Result<http::Request<()>> {
    http::Request::post(format!("http://{to}{DISPATCH_PATH}"))
        .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
        .body(())
}

async fn connect(
    environment: &TestEnvironment,
    to: SocketAddr,
) -> Result<SendRequest<Bytes>, ExchangeError> {
    let stream = orchidtally_socket_io::connect(to, std::time::Duration::from_secs(2)).await?;
    let mut builder = h2::client::Builder::new();
    set_windows(&mut builder);
    let (sender, driver) = builder.handshake::<_, Bytes>(stream).await?;
    // An error of the connection also fails the next request, which reports it.
    environment
        .spawn(async move { drop(driver.await) })
        .detach();
    Ok(sender)
}

/// What a client of a measurement sends: dispatches to an executor, or invocations to a front end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BaselineRequest {
    /// A dispatch to an executor.
    Dispatch,
    /// An invocation; the functions take turns.
    Invocation {
        /// The number of functions.
        functions: usize,
    },
}

/// The result of a closed loop.
pub struct LoadResult {
    /// Responses with status 200.
    pub succeeded: u64,
    /// Responses with another status.
    pub failed: u64,
    /// How long the loop ran, in seconds.
    pub seconds: f64,
    /// Latencies of the responses with status 200, in seconds.
    pub latencies: Vec<f64>,
}

/// Runs a closed loop for `time` seconds. `streams` requests with bodies of `payload` bytes are in progress at a time;
/// the next one is sent when one is answered.
pub async fn run_closed_loop(
    environment: &TestEnvironment,
    to: SocketAddr,
    request_kind: BaselineRequest,
    streams: usize,
    time: f64,
    payload: usize,
) -> Result<LoadResult, ExchangeError> {
    let sender = connect(environment, to).await?;
    let head = frame(&v1::Dispatch {
        from: Some(v1::Sender {
            index: 0,
            count: 1,
            incarnation: 1,
        }),
        invocation: "measure".into(),
        function: "f0".into(),
        trigger_type: "look".into(),
        time_left: 5_000_000,
        payload_bytes: payload as u64,
        ..v1::Dispatch::default()
    });
    let counts = Rc::new(Counts::default());
    let load_stream = LoadStream {
        sender,
        to,
        request_kind,
        head,
        body: Bytes::from(vec![b'x'; payload]),
        started: Instant::now(),
        time,
        counts: counts.clone(),
    };
    let started = load_stream.started;
    let mut tasks = vec![];
    for first_sequence in 0..streams {
        tasks.push(environment.spawn(load_stream.clone().run(first_sequence)));
    }
    for task in tasks {
        task.await?;
    }
    Ok(LoadResult {
        succeeded: counts.succeeded.get(),
        failed: counts.failed.get(),
        seconds: started.elapsed().as_secs_f64(),
        latencies: counts.latencies.take(),
    })
}

/// Counters that the streams of a closed loop share.
#[derive(Default)]
struct Counts {
    succeeded: Cell<u64>,
    failed: Cell<u64>,
    /// Latencies of the responses with status 200, in seconds.
    latencies: RefCell<Vec<f64>>,
}

/// One of the concurrent request sequences of a closed loop. It sends the next request once the last one is answered.
#[derive(Clone)]
struct LoadStream {
    sender: SendRequest<Bytes>,
    to: SocketAddr,
    request_kind: BaselineRequest,
    /// The message that begins a dispatch.
    head: Bytes,
    body: Bytes,
    started: Instant,
    /// How long requests are sent, in seconds.
    time: f64,
    counts: Rc<Counts>,
}

impl LoadStream {
    async fn run(self, first_sequence: usize) -> Result<(), ExchangeError> {
        let mut sequence = first_sequence;
        while self.started.elapsed().as_secs_f64() < self.time {
            sequence += 1;
            self.exchange(sequence).await?;
        }
        Ok(())
    }

    fn request(&self, sequence: usize) -> http::Result<http::Request<()>> {
        match self.request_kind {
            BaselineRequest::Dispatch => dispatch(self.to),
            BaselineRequest::Invocation { functions } => http::Request::post(format!(
                "http://{}/v1/functions/f{}/invocations",
                self.to,
                sequence % functions
            ))
            .header("orchidtally-time-left", "4000")
            .body(()),
        }
    }

    /// Sends one request and counts its response.
    async fn exchange(&self, sequence: usize) -> Result<(), ExchangeError> {
        let sent_at = Instant::now();
        let request = self.request(sequence)?;
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut out) = sender.send_request(request, false)?;
        if self.request_kind == BaselineRequest::Dispatch {
            out.send_data(self.head.clone(), false)?;
        }
        out.send_data(self.body.clone(), true)?;
        let response = response.await?;
        let is_success = response.status() == http::StatusCode::OK;
        read_body(response.into_body()).await?;
        if is_success {
            self.counts.succeeded.set(self.counts.succeeded.get() + 1);
            let time = sent_at.elapsed().as_secs_f64();
            self.counts.latencies.borrow_mut().push(time);
        } else {
            self.counts.failed.set(self.counts.failed.get() + 1);
        }
        Ok(())
    }
}

/// Opens `connections` connections with `streams` streams each and returns them open. Counts the responses that arrive
/// within `time` seconds in `answered`.
pub async fn open_streams(
    environment: &TestEnvironment,
    to: SocketAddr,
    connections: usize,
    streams: usize,
    time: f64,
    answered: &Rc<Cell<usize>>,
) -> Result<Vec<SendRequest<Bytes>>, ExchangeError> {
    let mut senders = vec![];
    for _ in 0..connections {
        let sender = connect(environment, to).await?;
        for n in 0..streams {
            let request =
                http::Request::post(format!("http://{to}/v1/functions/f{}/invocations", n % 50))
                    .header("orchidtally-time-left", ((time * 1e3) as u64).to_string())
                    .body(())?;
            let (response, mut out) = sender.clone().ready().await?.send_request(request, false)?;
            out.send_data(Bytes::from_static(b"0123456789"), true)?;
            let (sent_at, answered) = (Instant::now(), answered.clone());
            let receive = async move {
                let in_time = response.await.is_ok() && sent_at.elapsed().as_secs_f64() <= time;
                answered.set(answered.get() + usize::from(in_time));
            };
            environment.spawn(receive).detach();
        }
        senders.push(sender);
    }
    Ok(senders)
}
