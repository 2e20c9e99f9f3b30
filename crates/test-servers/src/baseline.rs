//! The least that speaks HTTP/2 on these sockets, to measure the gateway against: an executor that answers at
//! once, a relay that decides nothing, and a client that keeps so many streams open.

use crate::{ExchangeError, TestEnvironment};
use bytes::Bytes;
use h2::client::SendRequest;
use orchidtally_executor_protocol::{CONTENT_TYPE, DISPATCH_PATH, frame, v1};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

fn windows(builder: &mut h2::client::Builder) {
    builder
        .initial_window_size(1 << 20)
        .initial_connection_window_size(4 << 20)
        .enable_push(false);
}

/// Reads a body to its end.
async fn drain(mut body: h2::RecvStream) -> Result<Vec<Bytes>, h2::Error> {
    let mut chunks = vec![];
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        chunks.push(chunk);
    }
    Ok(chunks)
}

/// Serves streams, each by `answer`, until the thread ends.
async fn serve<F, W>(stage: TestEnvironment, listener: async_io::Async<TcpListener>, answer: F)
where
    F: Fn(http::Request<h2::RecvStream>, h2::server::SendResponse<Bytes>) -> W + Clone + 'static,
    W: Future<Output = Result<(), ExchangeError>> + 'static,
{
    loop {
        let stream = orchidtally_socket_io::accept(&listener).await;
        let (stage_, answer) = (stage.clone(), answer.clone());
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
                // A stream that breaks is its client's to count.
                stage_.spawn(async move { drop(work.await) }).detach();
            }
        };
        stage.spawn(connection).detach();
    }
}

/// An executor that has every function loaded and echoes at once, after `delay` seconds.
pub async fn executor(stage: TestEnvironment, listener: async_io::Async<TcpListener>, delay: f64) {
    let mut answer = v1::Answer::default();
    answer.set_ending(v1::Ending::Ok);
    answer.set_found(v1::Found::Warm);
    let head = frame(&answer);
    let clock = stage.clone();
    serve(stage, listener, move |request, mut respond| {
        let (head, clock) = (head.clone(), clock.clone());
        async move {
            drain(request.into_body()).await?;
            clock.sleep(delay).await;
            let mut out = respond.send_response(http::Response::new(()), false)?;
            out.send_data(head, true)?;
            Ok(())
        }
    })
    .await;
}

/// Passes streams on as they are.
pub async fn relay(stage: TestEnvironment, listener: async_io::Async<TcpListener>, to: SocketAddr) {
    let Ok(onward) = connect(&stage, to).await else {
        return;
    };
    let onward = Rc::new(RefCell::new(onward));
    serve(stage, listener, move |request, mut respond| {
        let onward = onward.clone();
        async move {
            let chunks = drain(request.into_body()).await?;
            let request = dispatch(to)?;
            let sender = onward.borrow().clone();
            let (response, mut out) = sender.ready().await?.send_request(request, false)?;
            for chunk in chunks {
                out.send_data(chunk, false)?;
            }
            out.send_data(Bytes::new(), true)?;
            let chunks = drain(response.await?.into_body()).await?;
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
    stage: &TestEnvironment,
    to: SocketAddr,
) -> Result<SendRequest<Bytes>, ExchangeError> {
    let stream = orchidtally_socket_io::connect(to, std::time::Duration::from_secs(2)).await?;
    let mut builder = h2::client::Builder::new();
    windows(&mut builder);
    let (sender, driver) = builder.handshake::<_, Bytes>(stream).await?;
    // Whoever sends next hears how it ended.
    stage.spawn(async move { drop(driver.await) }).detach();
    Ok(sender)
}

/// What a client of a measurement sends: dispatches to an executor, or invocations to a front end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BaselineRequest {
    /// A dispatch to an executor.
    Dispatch,
    /// An invocation of one of so many functions in turn.
    Invocation {
        /// How many functions take turns.
        functions: usize,
    },
}

/// What a closed loop of so many streams saw.
pub struct Observed {
    /// Responses with status 200.
    pub succeeded: u64,
    /// Responses with another status.
    pub failed: u64,
    /// How long the loop ran, in seconds.
    pub seconds: f64,
    /// Times of the succeeded ones, in seconds.
    pub times: Vec<f64>,
}

/// Keeps so many streams open for a time, each sending again once it is answered.
pub async fn load(
    stage: &TestEnvironment,
    to: SocketAddr,
    ask: BaselineRequest,
    streams: usize,
    time: f64,
    payload: usize,
) -> Result<Observed, ExchangeError> {
    let sender = connect(stage, to).await?;
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
    let tally = Rc::new(Tally::default());
    let load_stream = LoadStream {
        sender,
        to,
        ask,
        head,
        body: Bytes::from(vec![b'x'; payload]),
        started: Instant::now(),
        time,
        tally: tally.clone(),
    };
    let started = load_stream.started;
    let mut tasks = vec![];
    for first_turn in 0..streams {
        tasks.push(stage.spawn(load_stream.clone().run(first_turn)));
    }
    for task in tasks {
        task.await?;
    }
    Ok(Observed {
        succeeded: tally.succeeded.get(),
        failed: tally.failed.get(),
        seconds: started.elapsed().as_secs_f64(),
        times: tally.times.take(),
    })
}

/// What the streams of a closed loop have counted.
#[derive(Default)]
struct Tally {
    succeeded: Cell<u64>,
    failed: Cell<u64>,
    /// Times of the succeeded ones, in seconds.
    times: RefCell<Vec<f64>>,
}

/// One stream of a closed loop: it sends again once it is answered.
#[derive(Clone)]
struct LoadStream {
    sender: SendRequest<Bytes>,
    to: SocketAddr,
    ask: BaselineRequest,
    /// The message that begins a dispatch.
    head: Bytes,
    body: Bytes,
    started: Instant,
    /// How long requests are sent, in seconds.
    time: f64,
    tally: Rc<Tally>,
}

impl LoadStream {
    async fn run(self, first_turn: usize) -> Result<(), ExchangeError> {
        let mut turn = first_turn;
        while self.started.elapsed().as_secs_f64() < self.time {
            turn += 1;
            self.exchange(turn).await?;
        }
        Ok(())
    }

    fn request(&self, turn: usize) -> http::Result<http::Request<()>> {
        match self.ask {
            BaselineRequest::Dispatch => dispatch(self.to),
            BaselineRequest::Invocation { functions } => http::Request::post(format!(
                "http://{}/v1/functions/f{}/invocations",
                self.to,
                turn % functions
            ))
            .header("orchidtally-time-left", "4000")
            .body(()),
        }
    }

    /// Sends one request and counts its response.
    async fn exchange(&self, turn: usize) -> Result<(), ExchangeError> {
        let sent_at = Instant::now();
        let request = self.request(turn)?;
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut out) = sender.send_request(request, false)?;
        if self.ask == BaselineRequest::Dispatch {
            out.send_data(self.head.clone(), false)?;
        }
        out.send_data(self.body.clone(), true)?;
        let response = response.await?;
        let is_success = response.status() == http::StatusCode::OK;
        drain(response.into_body()).await?;
        if is_success {
            self.tally.succeeded.set(self.tally.succeeded.get() + 1);
            let time = sent_at.elapsed().as_secs_f64();
            self.tally.times.borrow_mut().push(time);
        } else {
            self.tally.failed.set(self.tally.failed.get() + 1);
        }
        Ok(())
    }
}

/// Opens so many connections and streams at once and holds them. Final answers within `time` are counted.
pub async fn hold(
    stage: &TestEnvironment,
    to: SocketAddr,
    connections: usize,
    streams: usize,
    time: f64,
    answered: &Rc<Cell<usize>>,
) -> Result<Vec<SendRequest<Bytes>>, ExchangeError> {
    let mut held = vec![];
    for _ in 0..connections {
        let sender = connect(stage, to).await?;
        for n in 0..streams {
            let request =
                http::Request::post(format!("http://{to}/v1/functions/f{}/invocations", n % 50))
                    .header("orchidtally-time-left", ((time * 1e3) as u64).to_string())
                    .body(())?;
            let (response, mut out) = sender.clone().ready().await?.send_request(request, false)?;
            out.send_data(Bytes::from_static(b"0123456789"), true)?;
            let (began, answered) = (Instant::now(), answered.clone());
            let hear = async move {
                let well = response.await.is_ok() && began.elapsed().as_secs_f64() <= time;
                answered.set(answered.get() + usize::from(well));
            };
            stage.spawn(hear).detach();
        }
        held.push(sender);
    }
    Ok(held)
}
