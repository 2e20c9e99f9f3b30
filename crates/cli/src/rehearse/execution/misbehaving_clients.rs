//! Misbehaving clients: they send invalid bytes, never read responses or send one byte at a time.

use super::Rehearsal;
use futures_lite::future;
use futures_lite::io::AsyncWriteExt;
use std::time::Duration;

impl Rehearsal {
    /// Sends invalid bytes to front ends and executors in turn.
    pub(super) async fn send_garbage(&self, until: f64) {
        let mut count = 0;
        while self.environment.now() < until {
            let to = match count % 2 {
                0 => self.front_ends[count / 2 % self.front_ends.len()].at,
                _ => self.executors[count / 2 % self.executors.len()].address,
            };
            count += 1;
            let mut bytes: Vec<u8> = (0..600)
                .map(|_| (self.environment.random_unit() * 256.0) as u8)
                .collect();
            match count % 4 {
                // An HTTP/2 preface without frames; endless headers; an unknown HTTP version; otherwise random bytes.
                0 => bytes
                    .splice(0..0, *b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
                    .for_each(drop),
                1 => {
                    bytes =
                        b"POST /v1/functions/fn-1/invocations HTTP/1.1\r\nhost: x\r\nx: ".to_vec();
                    bytes.resize(70_000, b'a');
                }
                2 => bytes = b"POST /v1/functions/fn-1/invocations HTTP/9.9\r\n\r\n".to_vec(),
                _ => {}
            }
            if let Ok(mut stream) =
                orchidtally_socket_io::connect(to, Duration::from_millis(200)).await
            {
                let write = stream.socket().write_all(&bytes);
                // An error is ignored: the peer may close the connection at any time.
                let _ =
                    orchidtally_socket_io::with_timeout(Duration::from_millis(100), write).await;
                self.environment.sleep(0.02).await;
            }
            self.environment.sleep(0.05).await;
        }
    }

    /// Sends `bytes` to a front end until a time: all of them at each interval with `flood`, otherwise one byte at a
    /// time.
    async fn send_repeatedly(&self, bytes: &[u8], interval: f64, until: f64, flood: bool) {
        let Some(front_end) = self.front_ends.iter().find(|f| f.in_use.get()) else {
            return;
        };
        let Ok(mut stream) =
            orchidtally_socket_io::connect(front_end.at, Duration::from_millis(200)).await
        else {
            return;
        };
        let mut sent = 0;
        while self.environment.now() < until {
            let part = if flood {
                bytes
            } else {
                &bytes[sent % bytes.len()..][..1]
            };
            let write = stream.socket().write_all(part);
            if !matches!(
                orchidtally_socket_io::with_timeout(Duration::from_millis(200), write).await,
                Some(Ok(()))
            ) && !flood
            {
                return;
            }
            sent += 1;
            self.environment.sleep(interval).await;
        }
    }

    /// Sends requests over three connections and never reads the responses.
    pub(super) async fn flood_without_reading(&self, until: f64) {
        let request = b"GET /v1/front-end HTTP/1.1\r\nhost: x\r\n\r\n".repeat(200);
        let one = || self.send_repeatedly(&request, 0.02, until, true);
        future::zip(one(), future::zip(one(), one())).await;
    }

    /// Sends requests over three connections, one byte at a time.
    pub(super) async fn send_slowly(&self, until: f64) {
        let request =
            b"POST /v1/functions/fn-1/invocations HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\nslowly";
        let one = || self.send_repeatedly(request, 0.03, until, false);
        future::zip(one(), future::zip(one(), one())).await;
    }
}
