//! HTTP/1.1 and HTTP/2 on one port: what clients send becomes an invocation, its final answer a response.
//! A body is taken in whole chunks, which are handed on as they are; it is here before the module hears of
//! the invocation, so that a slow sender holds neither a stream nor a decision.

use crate::book::{Book, NotKept, Promised};
use crate::config::Refusal;
use crate::hub::{Asked, Brought, CutOff, Final, Hub, NotTaken};
use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_lite::future;
use futures_lite::io::AsyncWriteExt;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::server::conn::auto;
use orchidtally::interface::Effect;
use orchidtally_engine::Cause;
use orchidtally_net::{Stream, within};
use orchidtally_rollout::plan::Key;
use orchidtally_rollout::split::Who;
use orchidtally_trigger::promises::{Outcome, Standing};
use serde_json::json;
use smol_hyper::rt::SmolTimer;
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tracing::{debug, warn};

pub const TRIGGER_TYPE: &str = "orchidtally-trigger-type";
pub const CUSTOMER: &str = "orchidtally-customer";
/// Milliseconds that the client goes on waiting.
pub const TIME_LEFT: &str = "orchidtally-time-left";
/// `1` where the client asks again.
pub const REPEAT: &str = "orchidtally-repeat";
/// The invocation's name in logs and traces; one is drawn where the client gives none.
pub const INVOCATION: &str = "orchidtally-invocation";
/// `1` where an answer was given before, or would have been.
pub const RECORDED: &str = "orchidtally-recorded";
/// `1` where its body was too long to be kept.
pub const BODY_LEFT_OUT: &str = "orchidtally-body-left-out";
pub const TOKEN: &str = "idempotency-key";
/// Milliseconds to stay away; `Retry-After` has whole seconds only.
pub const STAY_AWAY: &str = "orchidtally-stay-away";
const LONGEST_NAME: usize = 128;

/// The body of a response.
pub enum Answer {
    Chunks(VecDeque<Bytes>),
    Streamed(Pin<Box<async_channel::Receiver<Result<Bytes, CutOff>>>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        use futures_lite::stream::Stream;
        Poll::Ready(match self.get_mut() {
            Answer::Chunks(chunks) => chunks.pop_front().map(|c| Ok(Frame::data(c))),
            Answer::Streamed(parts) => ready!(parts.as_mut().poll_next(cx)).map(|part| part.map(Frame::data)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Answer::Chunks(chunks) if chunks.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Chunks(chunks) => SizeHint::with_exact(chunks.iter().map(|c| c.len() as u64).sum()),
            Answer::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A fault in what a client sent, or the reason why it can't be taken.
struct Problem {
    status: StatusCode,
    title: &'static str,
    detail: String,
    retry_after: Option<f64>,
}

impl Problem {
    fn new(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Problem {
        Problem { status, title, detail: detail.into(), retry_after: None }
    }

    fn bad(detail: impl Into<String>) -> Problem {
        Problem::new(StatusCode::BAD_REQUEST, "the invocation is malformed", detail)
    }

    /// Nothing of what is refused here was ever dispatched.
    fn response(self) -> Response<Answer> {
        let mut response = problem(self.status, self.title, &self.detail, false);
        if let Some(time) = self.retry_after {
            stay_away(response.headers_mut(), time);
        }
        response
    }
}

fn problem(status: StatusCode, title: &str, detail: &str, may_have_run: bool) -> Response<Answer> {
    let body = json!({
        "type": "about:blank",
        "title": title,
        "status": status.as_u16(),
        "detail": detail,
        "mayHaveRun": may_have_run,
    });
    let mut response = Response::new(Answer::Chunks([Bytes::from(body.to_string())].into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    response
}

fn stay_away(headers: &mut HeaderMap, time: f64) {
    headers.insert(RETRY_AFTER, HeaderValue::from(time.ceil().max(1.0) as u64));
    headers.insert(HeaderName::from_static(STAY_AWAY), HeaderValue::from((time * 1e3).ceil() as u64));
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Problem::bad(format!("header '{name}' is given twice")));
    }
    let text = value.to_str().map_err(|_| Problem::bad(format!("header '{name}' is not plain text")))?;
    if text.is_empty() || text.len() > LONGEST_NAME {
        return Err(Problem::bad(format!("header '{name}' must have 1 to {LONGEST_NAME} letters")));
    }
    Ok(Some(text))
}

/// The function that a path names.
fn function_of(path: &str) -> Result<String, Problem> {
    let unknown =
        || Problem::new(StatusCode::NOT_FOUND, "no such place", "POST /v1/functions/{name}/invocations");
    let name = path.strip_prefix("/v1/functions/").and_then(|p| p.strip_suffix("/invocations"));
    let name = name.filter(|n| !n.is_empty() && !n.contains('/')).ok_or_else(unknown)?;
    let mut bytes = Vec::with_capacity(name.len());
    let mut rest = name.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
        let (Some(high), Some(low)) = (digit(rest.next()), digit(rest.next())) else {
            return Err(Problem::bad("the path has a '%' without two hexadecimal digits"));
        };
        bytes.push((16 * high + low) as u8);
    }
    String::from_utf8(bytes).map_err(|_| Problem::bad("the function's name is not UTF-8"))
}

/// Withdraws an invocation whose client goes away before it is answered.
pub(crate) struct Guard<'a> {
    pub hub: &'a Hub,
    pub inv: Rc<Cell<u32>>,
    pub answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.hub.withdraw(self.inv.get());
        }
    }
}

async fn body(hub: &Hub, body: Incoming, told: Option<u64>) -> Result<(Vec<Bytes>, u64), Problem> {
    let b = &hub.deployment.bounds;
    let too_large = || {
        let detail = format!("{} bytes at most are taken", b.body_bytes);
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large", detail)
    };
    if told.is_some_and(|n| n > b.body_bytes as u64) {
        return Err(too_large());
    }
    let gather = async {
        let (mut chunks, mut length) = (vec![], 0u64);
        let mut body = body;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Problem::bad(format!("the body broke off: {e}")))?;
            if let Ok(chunk) = frame.into_data()
                && !chunk.is_empty()
            {
                length += chunk.len() as u64;
                if length > b.body_bytes as u64 {
                    return Err(too_large());
                }
                chunks.push(chunk);
            }
        }
        Ok((chunks, length))
    };
    within(Duration::from_secs_f64(b.sender_time), gather).await.unwrap_or_else(|| {
        let detail = format!("it has to be here within {} s", b.sender_time);
        Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly", detail))
    })
}

/// What an earlier invocation of a name came to.
fn recorded(standing: Standing) -> Response<Answer> {
    let recorded = |mut response: Response<Answer>| {
        response.headers_mut().insert(HeaderName::from_static(RECORDED), HeaderValue::from_static("1"));
        response
    };
    match standing {
        Standing::Over(Outcome::Answered { status, body, whole }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            let mut response =
                Response::new(Answer::Chunks(if body.is_empty() { [].into() } else { [body].into() }));
            if !whole {
                response
                    .headers_mut()
                    .insert(HeaderName::from_static(BODY_LEFT_OUT), HeaderValue::from_static("1"));
            }
            if status != StatusCode::OK {
                let problem = HeaderValue::from_static("application/problem+json");
                response.headers_mut().insert(CONTENT_TYPE, problem);
            }
            *response.status_mut() = status;
            recorded(response)
        }
        Standing::Over(Outcome::Unknown) => {
            let detail =
                "the front end died, or its client left, with its dispatch out: whether it ran isn't known";
            recorded(problem(StatusCode::INTERNAL_SERVER_ERROR, "unknown outcome", detail, true))
        }
        Standing::Running | Standing::New(_) => {
            problem(StatusCode::CONFLICT, "still running", "an invocation of this name is under way", true)
        }
        Standing::Full => {
            let detail = "as many invocations are kept as may be; nothing has run";
            problem(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail, false)
        }
    }
}

/// A promise under a name, or what to answer where there was one.
async fn promise(
    hub: &Hub,
    book: &Rc<Book>,
    name: &str,
) -> Result<Result<Promised, Response<Answer>>, Problem> {
    match book.offered(hub.now(), name).await {
        Ok((Standing::New(_), Some(promised))) => Ok(Ok(promised)),
        Ok((standing, _)) => Ok(Err(recorded(standing))),
        Err(NotKept) => {
            let detail = "the journal can't be written; nothing has run";
            let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
            problem.retry_after = Some(hub.deployment.terms.max_retry_after);
            Err(problem)
        }
    }
}

/// The status and title of what the configuration doesn't let through.
fn refused_as(refusal: &Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::NotAllowed { .. } => (StatusCode::FORBIDDEN, "not allowed"),
        Refusal::Stale { .. } | Refusal::NotLoaded { .. } => (StatusCode::SERVICE_UNAVAILABLE, "throttled"),
    }
}

fn not_taken(hub: &Hub, why: NotTaken) -> Problem {
    let throttled = |detail: &str, time: f64| {
        let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "throttled", detail);
        problem.retry_after = Some(time);
        problem
    };
    match why {
        NotTaken::Full => {
            throttled("as many invocations are open as may be", hub.deployment.terms.max_retry_after)
        }
        NotTaken::Leaving => throttled("this front end is ending; ask another", 0.0),
        NotTaken::Refused(refusal) => {
            let (status, title) = refused_as(&refusal);
            let mut problem = Problem::new(status, title, refusal.to_string());
            problem.retry_after = refusal.retry_after();
            problem
        }
    }
}

async fn invoke(hub: &Hub, request: Request<Incoming>) -> Result<Response<Answer>, Problem> {
    let arrived = hub.now();
    let revision = hub.revision();
    let deployment = &hub.deployment;
    let (parts, incoming) = request.into_parts();
    let name = function_of(parts.uri.path())?;
    if parts.method != Method::POST {
        let detail = format!("{} is not taken here, POST is", parts.method);
        return Err(Problem::new(StatusCode::METHOD_NOT_ALLOWED, "wrong method", detail));
    }
    let headers = &parts.headers;
    let (trigger_place, trigger_type) = match header(headers, TRIGGER_TYPE)? {
        Some(name) => revision.trigger_type(name).ok_or_else(|| {
            let known = revision.trigger_type_names().join(", ");
            Problem::bad(format!("no trigger type '{name}'; known are {known}"))
        })?,
        None => match revision.only_trigger_type() {
            Some(only) => only,
            None => return Err(Problem::bad(format!("header '{TRIGGER_TYPE}' is missing"))),
        },
    };
    let terms = &trigger_type.terms;
    let customer = match (header(headers, CUSTOMER)?, !revision.has_customers()) {
        (given, true) => (0, given.unwrap_or_default()),
        (Some(given), false) => {
            let known = revision.customer(given).map(|customer| customer.index);
            let unknown =
                || Problem::new(StatusCode::FORBIDDEN, "unknown customer", format!("no customer '{given}'"));
            (known.ok_or_else(unknown)?, given)
        }
        (None, false) => return Err(Problem::bad(format!("header '{CUSTOMER}' is missing"))),
    };
    let token = header(headers, TOKEN)?;
    if terms.effect == Effect::Tokened && token.is_none() {
        return Err(Problem::bad(format!("header '{TOKEN}' is missing; this trigger type is tokened")));
    }
    let left = match header(headers, TIME_LEFT)? {
        None => terms.timeout,
        Some(text) => {
            let milliseconds: u32 = text.parse().map_err(|_| {
                Problem::bad(format!("header '{TIME_LEFT}': '{text}' is no whole number of ms"))
            })?;
            (f64::from(milliseconds) / 1e3).min(terms.timeout)
        }
    };
    let repeat = match header(headers, REPEAT)? {
        None | Some("0") => false,
        Some("1") => true,
        Some(other) => return Err(Problem::bad(format!("header '{REPEAT}': '{other}' is neither 0 nor 1"))),
    };
    let given = header(headers, INVOCATION)?.map(str::to_owned);
    let named = given.is_some();
    let name_of_invocation = given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let (name, asked) = match name.split_once('@') {
        Some((name, version)) => (name, Some(version)),
        None => (name.as_str(), None),
    };
    let unknown = |what: String| Problem::new(StatusCode::NOT_FOUND, "unknown function", what);
    let function = revision.function(name).ok_or_else(|| unknown(format!("no function '{name}'")))?;
    // What the split sticks to, where a rollout is on.
    let key = hub.shares.borrow().key(name).cloned();
    let key = match &key {
        None | Some(Key::Invocation) => None,
        Some(Key::Customer) => Some(customer.1),
        Some(Key::Token) => token,
        Some(Key::Header(name)) => header(headers, name)?,
    };
    let who = Who { customer: customer.1, location: hub.location(), key: key.unwrap_or(&name_of_invocation) };
    let no_version = || unknown(format!("function '{name}' has no version '{}'", asked.unwrap_or("stable")));
    let resolved = hub.resolve(&function, asked, trigger_place, customer.0, &who).ok_or_else(no_version)?;
    let told = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let (payload, payload_bytes) = body(hub, incoming, told).await?;
    let bounds = &deployment.bounds;
    let asked = Asked {
        name: name_of_invocation.clone(),
        function: function.name,
        resolved,
        revision: revision.clone(),
        trigger_type: trigger_type.clone(),
        customer,
        token: token.unwrap_or_default(),
        repeat,
        timeout_at: arrived + left - bounds.answer_margin - hub.open() as f64 * bounds.answer_time,
        payload,
        payload_bytes,
    };
    // Before it is promised: what is refused leaves no record.
    hub.check_admission(&revision, &asked.subject()).map_err(|why| not_taken(hub, why))?;
    let promised = match &hub.book {
        Some(book) if trigger_type.trigger.journalled => {
            if !named {
                let detail =
                    format!("header '{INVOCATION}' is missing; this trigger type is journalled by it");
                return Err(Problem::bad(detail));
            }
            match promise(hub, book, &name_of_invocation).await? {
                Ok(promised) => Some(promised),
                Err(before) => return Ok(before),
            }
        }
        _ => None,
    };
    let (inv, answer) = hub.take_asked(asked).map_err(|refused| not_taken(hub, refused))?;
    let mut guard = Guard { hub, inv, answered: false };
    let answer = answer.await;
    guard.answered = true;
    let mut may_have_run = true;
    let mut response = match answer {
        Ok(Final::Succeeded(brought)) => Response::new(match brought {
            Brought::Whole(chunks) => Answer::Chunks(chunks.into()),
            Brought::Streamed(parts) => Answer::Streamed(Box::pin(parts)),
        }),
        Ok(Final::Throttled { retry_after, past_share }) => {
            let (status, detail) = if past_share {
                (StatusCode::TOO_MANY_REQUESTS, "the customer has had its share; nothing has run")
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, "there is no room in time; asking again is harmless")
            };
            may_have_run = false;
            let mut response = problem(status, "throttled", detail, false);
            stay_away(response.headers_mut(), retry_after);
            response
        }
        Ok(Final::Errored { cause, may_have_run: ran }) => {
            let status = match cause {
                Cause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
                Cause::Failed => StatusCode::BAD_GATEWAY,
            };
            let detail = if ran { "it may have run" } else { "it has not run" };
            may_have_run = ran;
            problem(status, "errored", detail, ran)
        }
        Ok(Final::Refused { refusal, may_have_run: ran }) => {
            may_have_run = ran;
            let (status, title) = refused_as(&refusal);
            let mut response = problem(status, title, &refusal.to_string(), ran);
            if let Some(time) = refusal.retry_after() {
                stay_away(response.headers_mut(), time);
            }
            response
        }
        Err(_) => {
            let detail = "the front end lost track of it; it may have run";
            problem(StatusCode::INTERNAL_SERVER_ERROR, "errored", detail, true)
        }
    };
    if let (Some(promised), Answer::Chunks(chunks)) = (promised, response.body()) {
        let body = Bytes::from(chunks.iter().flatten().copied().collect::<Vec<u8>>());
        promised.answered(hub.now(), may_have_run, response.status().as_u16(), &body).await;
    }
    if let Ok(value) = HeaderValue::from_str(&name_of_invocation) {
        response.headers_mut().insert(HeaderName::from_static(INVOCATION), value);
    }
    Ok(response)
}

/// The rollouts as this front end has them.
fn rollouts(hub: &Hub) -> serde_json::Value {
    let shares = hub.shares.borrow();
    let published = shares.published();
    let on = |(name, r): (&String, &orchidtally_rollout::Rollout)| {
        let state = json!({ "phase": r.phase, "step": r.step, "number": r.number, "reason": r.reason });
        (name.clone(), state)
    };
    let rollouts: serde_json::Map<_, _> = published.rollouts.iter().map(on).collect();
    json!({ "term": published.epoch.term, "number": published.number, "rollouts": rollouts })
}

/// The roster and the front ends, where they come from etcd.
fn roster(hub: &Hub) -> serde_json::Value {
    if !matches!(hub.deployment.source, orchidtally_deployment::Source::Etcd(_)) {
        return serde_json::Value::Null;
    }
    let (cache, now) = (hub.cache.borrow(), hub.now());
    let (known, held) = cache.known();
    let figure = hub.members.borrow().figure(now);
    let faults: serde_json::Map<_, _> =
        cache.faults().map(|(key, why)| (String::from_utf8_lossy(key).into_owned(), why.into())).collect();
    json!({
        "age": cache.age(now),
        "revision": cache.revision(),
        "executors": known,
        "held": held,
        "relists": cache.relists,
        "wentBack": cache.went_back,
        "faults": faults,
        "frontEnds": figure.count,
        "shares": figure.shares,
    })
}

/// How triggers stand.
fn triggers(hub: &Hub) -> serde_json::Value {
    let Some(standing) = hub.triggers.get() else { return serde_json::Value::Null };
    json!({
        "connected": standing.connected,
        "inHand": standing.in_hand,
        "waiting": standing.waiting,
        "journalWorks": standing.journal_works,
        "messages": standing.tally,
    })
}

/// What the front end says of itself.
fn standing(hub: &Hub) -> Response<Answer> {
    let t = hub.tally();
    let body = json!({
        "deployment": hub.deployment.name,
        "revision": hub.revision().number,
        "index": hub.sender.get().index,
        "frontEnds": hub.sender.get().count,
        "configuration": hub.admission.get().map(|admission| admission.host().status()),
        "roster": roster(hub),
        "open": hub.open(),
        "taken": t.taken,
        "refused": t.refused,
        "succeeded": t.succeeded,
        "throttled": t.throttled,
        "errored": t.errored,
        "withdrawn": t.withdrawn,
        "dispatches": t.dispatches,
        "orders": t.orders,
        "overdue": t.overdue,
        "indexTaken": hub.index_taken.get(),
        "rollouts": rollouts(hub),
        "mqtt": triggers(hub),
    });
    let mut response = Response::new(Answer::Chunks([Bytes::from(body.to_string())].into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn respond(hub: Rc<Hub>, request: Request<Incoming>) -> Result<Response<Answer>, Infallible> {
    if request.method() == Method::GET && request.uri().path() == "/v1/front-end" {
        return Ok(standing(&hub));
    }
    let asked =
        request.uri().path().strip_prefix("/v1/invocations/").filter(|_| request.method() == Method::GET);
    if let (Some(name), Some(book)) = (asked, &hub.book) {
        let unknown =
            || problem(StatusCode::NOT_FOUND, "unknown invocation", "none of this name is kept here", false);
        return Ok(book.standing(name).map_or_else(unknown, recorded));
    }
    Ok(invoke(&hub, request).await.unwrap_or_else(Problem::response))
}

/// Spawns what the HTTP library wants spawned on this thread.
#[derive(Clone)]
struct Spawner(Weak<LocalExecutor<'static>>);

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for Spawner {
    fn execute(&self, work: F) {
        if let Some(spawner) = self.0.upgrade() {
            spawner.spawn(work).detach();
        }
    }
}

/// Counts open connections.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    pub fn new(open: &Rc<Cell<usize>>) -> Counted {
        open.set(open.get() + 1);
        Counted(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Says on a connection over the bound that it is one, and closes it.
pub async fn turn_away(mut stream: Stream) {
    const FULL: &[u8] =
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let say = async {
        let socket = stream.socket();
        socket.write_all(FULL).await?;
        socket.close().await
    };
    // It was told why, or went away before.
    let _ = within(Duration::from_secs(1), say).await;
}

/// Serves one connection until it ends, or until `leaving` closes and what is open on it is answered.
pub async fn serve(hub: Rc<Hub>, stream: Stream, leaving: async_channel::Receiver<()>, _open: Counted) {
    let bounds = hub.deployment.bounds.clone();
    let time = Duration::from_secs_f64(bounds.sender_time);
    let peer = stream.peer();
    if within(time, stream.readable()).await.is_none() {
        debug!(?peer, "closed a connection over which nothing came");
        return;
    }
    let mut builder = auto::Builder::new(Spawner(hub.spawner()));
    builder
        .http1()
        .timer(SmolTimer::new())
        .header_read_timeout(time)
        .max_buf_size(bounds.header_bytes as usize);
    builder
        .http2()
        .timer(SmolTimer::new())
        .max_header_list_size(bounds.header_bytes)
        .max_concurrent_streams(1_000)
        .keep_alive_interval(Some(time))
        .keep_alive_timeout(time);
    let spoke = Rc::new(Cell::new(false));
    let service = {
        let (hub, spoke) = (hub.clone(), spoke.clone());
        hyper::service::service_fn(move |request| {
            spoke.set(true);
            respond(hub.clone(), request)
        })
    };
    let mut connection = pin!(builder.serve_connection(stream, service));
    let slow = async {
        async_io::Timer::after(2 * time).await;
        if spoke.get() { future::pending().await } else { None }
    };
    let left = async {
        // Nothing is ever sent: the channel closes.
        let _ = leaving.recv().await;
        None
    };
    let ended = future::or(async { Some(connection.as_mut().await) }, future::or(slow, left)).await;
    let ended = match ended {
        Some(ended) => ended,
        None if leaving.is_closed() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
        None => {
            warn!(?peer, "closed a connection whose first headers came too slowly");
            return;
        }
    };
    if let Err(fault) = ended {
        let plain = fault
            .downcast_ref::<hyper::Error>()
            .is_some_and(|e| e.is_incomplete_message() || e.is_canceled());
        if plain {
            debug!(?peer, %fault, "a client broke off")
        } else {
            warn!(?peer, %fault, "closed a connection")
        }
    }
}
