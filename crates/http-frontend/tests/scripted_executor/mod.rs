//! Shared test code: an executor whose responses to HTTP/2 frames are scripted.

#![allow(dead_code)] // Each test file uses a part of it.

use async_io::Async;
use orchidtally_executor_protocol::{frame, v1};
use orchidtally_test_servers::raw::{self, ScriptAction};
use orchidtally_test_servers::{TestEnvironment, unused_address};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// The section of a deployment file that disables load commands.
pub const NO_LOAD_COMMANDS: &str = "loading: { orders: false },";

/// The message of a successful response from a warm replica.
pub fn warm() -> Vec<u8> {
    let mut answer = v1::Answer::default();
    answer.set_ending(v1::Ending::Ok);
    answer.set_found(v1::Found::Warm);
    frame(&answer).to_vec()
}

/// The frames of a successful response on a stream.
pub fn answered(stream: u32) -> Vec<u8> {
    [raw::ok(stream), raw::data(stream, &warm(), true)].concat()
}

/// Starts a scripted executor and returns its address. `script` is called with each frame of each connection.
pub fn scripted(
    environment: &TestEnvironment,
    script: impl FnMut(&raw::Frame) -> ScriptAction + 'static,
) -> SocketAddr {
    scripted_with_settings(environment, &[], script)
}

/// Like [`scripted`], with HTTP/2 settings of the executor.
pub fn scripted_with_settings(
    environment: &TestEnvironment,
    settings: &[(u16, u32)],
    script: impl FnMut(&raw::Frame) -> ScriptAction + 'static,
) -> SocketAddr {
    let settings = raw::settings_with(settings);
    let listener = Async::<TcpListener>::bind(unused_address()).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let script = Rc::new(RefCell::new(script));
    let serve = environment.clone();
    environment
        .spawn(async move {
            while let Ok(socket) = raw::accept(&listener).await {
                let script = script.clone();
                let settings = settings.clone();
                serve
                    .spawn(async move {
                        // The connection ends by the script or by the peer; both are expected.
                        let script = move |f: &raw::Frame| (script.borrow_mut())(f);
                        let _ = raw::connection_with(&settings, socket, script).await;
                    })
                    .detach();
            }
        })
        .detach();
    at
}
