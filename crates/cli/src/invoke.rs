//! `orchidtally invoke`: invokes a function at a front end.

use crate::{BAD_INPUT, COULD_NOT_RUN, NEGATIVE_RESULT, fail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use orchidtally_http_frontend::ingress;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Arguments {
    /// The name of the function.
    name: String,
    /// The front end's address.
    #[arg(long, default_value = "127.0.0.1:7300")]
    at: SocketAddr,
    /// The request body. Without this and --file it is read from standard input, unless that is a terminal.
    #[arg(long, short)]
    data: Option<String>,
    /// A file with the request body.
    #[arg(long, conflicts_with = "data")]
    file: Option<PathBuf>,
    /// The trigger type; optional if the deployment has only one.
    #[arg(long, short)]
    trigger_type: Option<String>,
    /// The customer of the invocation.
    #[arg(long)]
    customer: Option<String>,
    /// The deduplication token of a tokened invocation.
    #[arg(long)]
    token: Option<String>,
    /// Client timeout, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    time_left: u32,
    /// Also print the status and headers, on standard error.
    #[arg(long, short)]
    verbose: bool,
}

fn payload(arguments: &Arguments) -> std::io::Result<Vec<u8>> {
    use std::io::IsTerminal;
    match (&arguments.data, &arguments.file) {
        (Some(data), _) => Ok(data.clone().into_bytes()),
        (None, Some(file)) => std::fs::read(file),
        (None, None) if std::io::stdin().is_terminal() => Ok(vec![]),
        (None, None) => {
            let mut bytes = vec![];
            std::io::stdin().lock().read_to_end(&mut bytes)?;
            Ok(bytes)
        }
    }
}

/// Percent-encodes a path segment, except for the unreserved characters of RFC 3986.
fn percent_encoded(name: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes()
        .map(|b| {
            if is_unreserved(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

/// Builds the HTTP request that the arguments describe.
fn request(
    arguments: &Arguments,
    payload: Vec<u8>,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let path = format!(
        "/v1/functions/{}/invocations",
        percent_encoded(&arguments.name)
    );
    let mut request = http::Request::post(path)
        .header(http::header::HOST, arguments.at.to_string())
        .header(ingress::TIME_LEFT, arguments.time_left.to_string());
    let headers = [
        (ingress::TRIGGER_TYPE, &arguments.trigger_type),
        (ingress::CUSTOMER, &arguments.customer),
        (ingress::IDEMPOTENCY_KEY, &arguments.token),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            request = request.header(name, value);
        }
    }
    request.body(Full::new(Bytes::from(payload)))
}

/// Sends a request and returns the head and the body of its response. `time` limits only the connecting.
async fn exchange(
    at: SocketAddr,
    request: http::Request<Full<Bytes>>,
    time: Duration,
) -> std::io::Result<(http::response::Parts, Bytes)> {
    let stream = orchidtally_socket_io::connect(at, time).await?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(stream)
        .await
        .map_err(std::io::Error::other)?;
    let round_trip = async {
        let (parts, body) = sender.send_request(request).await?.into_parts();
        Ok::<_, hyper::Error>((parts, body.collect().await?.to_bytes()))
    };
    let drive_connection = async {
        // A connection error is returned by `send_request`.
        let _ = driver.await;
        futures_lite::future::pending().await
    };
    futures_lite::future::or(round_trip, drive_connection)
        .await
        .map_err(std::io::Error::other)
}

fn print_head(parts: &http::response::Parts) {
    eprintln!("{:?} {}", parts.version, parts.status);
    for (name, value) in &parts.headers {
        eprintln!("{name}: {}", String::from_utf8_lossy(value.as_bytes()));
    }
}

/// Invokes a function and prints the response body: on standard output if the status is a success, otherwise on
/// standard error.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    let payload = payload(&arguments)
        .map_err(|e| fail(BAD_INPUT, format!("can't read the request body: {e}")))?;
    let request = request(&arguments, payload).map_err(|e| fail(BAD_INPUT, e))?;
    let (at, time) = (
        arguments.at,
        Duration::from_millis(arguments.time_left.into()),
    );
    let response = async_io::block_on(orchidtally_socket_io::with_timeout(
        time,
        exchange(at, request, time),
    ));
    let (parts, body) = match response {
        Some(Ok(response)) => response,
        Some(Err(e)) => return Err(fail(COULD_NOT_RUN, format!("{at}: {e}"))),
        None => {
            let reason = format!("{at}: no response within {} ms", arguments.time_left);
            return Err(fail(NEGATIVE_RESULT, reason));
        }
    };
    if arguments.verbose {
        print_head(&parts);
    }
    let is_success = parts.status.is_success();
    let mut out: Box<dyn Write> = if is_success {
        Box::new(std::io::stdout())
    } else {
        Box::new(std::io::stderr())
    };
    // A write error is ignored: the reader may have closed the pipe on purpose.
    let _ = out.write_all(&body).and_then(|()| out.flush());
    if is_success {
        Ok(())
    } else {
        Err(NEGATIVE_RESULT)
    }
}
