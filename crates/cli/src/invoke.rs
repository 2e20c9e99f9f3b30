//! `orchidtally invoke`: invokes a function at a front end.

use crate::{BAD_INPUT, COULD_NOT_RUN, NOT_SO, fail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use orchidtally_http_frontend::ingress;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(clap::Args)]
pub struct Arguments {
    /// The function.
    name: String,
    /// The front end.
    #[arg(long, default_value = "127.0.0.1:7300")]
    at: SocketAddr,
    /// The body; from standard input where neither this nor --file is given and it is no terminal.
    #[arg(long, short)]
    data: Option<String>,
    /// A file with the body.
    #[arg(long, conflicts_with = "data")]
    file: Option<PathBuf>,
    /// The trigger type; not needed where the deployment has only one.
    #[arg(long, short)]
    trigger_type: Option<String>,
    #[arg(long)]
    customer: Option<String>,
    /// The token of a tokened invocation.
    #[arg(long)]
    token: Option<String>,
    /// How long to wait, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    time_left: u32,
    /// Print status and headers as well, on standard error.
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

/// A path segment with all but plain letters escaped.
fn escaped(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes()
        .map(|b| {
            if plain(b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

/// The request that the arguments describe.
fn request(
    arguments: &Arguments,
    payload: Vec<u8>,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let path = format!("/v1/functions/{}/invocations", escaped(&arguments.name));
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

/// Sends a request; returns the head and the body of its response.
async fn exchange(
    at: SocketAddr,
    request: http::Request<Full<Bytes>>,
    time: Duration,
) -> std::io::Result<(http::response::Parts, Bytes)> {
    let stream = orchidtally_socket_io::connect(at, time).await?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(stream)
        .await
        .map_err(std::io::Error::other)?;
    let work = async {
        let (parts, body) = sender.send_request(request).await?.into_parts();
        Ok::<_, hyper::Error>((parts, body.collect().await?.to_bytes()))
    };
    let drive = async {
        // The response says how the connection ended.
        let _ = driver.await;
        futures_lite::future::pending().await
    };
    futures_lite::future::or(work, drive)
        .await
        .map_err(std::io::Error::other)
}

fn print_head(parts: &http::response::Parts) {
    eprintln!("{:?} {}", parts.version, parts.status);
    for (name, value) in &parts.headers {
        eprintln!("{name}: {}", String::from_utf8_lossy(value.as_bytes()));
    }
}

/// Invokes a function and prints its response.
pub fn run(arguments: Arguments) -> Result<(), u8> {
    let payload = payload(&arguments).map_err(|e| fail(BAD_INPUT, format!("no body: {e}")))?;
    let request = request(&arguments, payload).map_err(|e| fail(BAD_INPUT, e))?;
    let (at, time) = (
        arguments.at,
        Duration::from_millis(arguments.time_left.into()),
    );
    let answered = async_io::block_on(orchidtally_socket_io::with_timeout(
        time,
        exchange(at, request, time),
    ));
    let (parts, body) = match answered {
        Some(Ok(answered)) => answered,
        Some(Err(e)) => return Err(fail(COULD_NOT_RUN, format!("{at}: {e}"))),
        None => {
            let reason = format!("{at}: no answer within {} ms", arguments.time_left);
            return Err(fail(NOT_SO, reason));
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
    // A reader that closed the pipe has seen what it wanted.
    let _ = out.write_all(&body).and_then(|()| out.flush());
    if is_success { Ok(()) } else { Err(NOT_SO) }
}
