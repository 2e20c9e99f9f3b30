//! Peers that mean no good: bytes that are no messages, clients that never read, clients that send a byte at a time.

use super::Rehearsal;
use futures_lite::future;
use futures_lite::io::AsyncWriteExt;
use std::time::Duration;

impl Rehearsal {
    /// Bytes that are no messages, to both sides of the front ends.
    pub(super) async fn garbage(&self, until: f64) {
        let mut n = 0;
        while self.stage.now() < until {
            let to = match n % 2 {
                0 => self.front_ends[n / 2 % self.front_ends.len()].at,
                _ => self.executors[n / 2 % self.executors.len()].address,
            };
            n += 1;
            let mut bytes: Vec<u8> = (0..600)
                .map(|_| (self.stage.random_unit() * 256.0) as u8)
                .collect();
            match n % 4 {
                // A preface, then no frames; headers without end; a wrong version.
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
                let say = stream.socket().write_all(&bytes);
                // Whether it is cut off in the middle is the peer's to decide.
                let _ = orchidtally_socket_io::with_timeout(Duration::from_millis(100), say).await;
                self.stage.sleep(0.02).await;
            }
            self.stage.sleep(0.05).await;
        }
    }

    /// Sends to a front end what is no client's of the day.
    async fn dribble(&self, bytes: &[u8], pause: f64, until: f64, flood: bool) {
        let Some(fe) = self.front_ends.iter().find(|f| f.used.get()) else {
            return;
        };
        let Ok(mut stream) =
            orchidtally_socket_io::connect(fe.at, Duration::from_millis(200)).await
        else {
            return;
        };
        let mut sent = 0;
        while self.stage.now() < until {
            let part = if flood {
                bytes
            } else {
                &bytes[sent % bytes.len()..][..1]
            };
            let say = stream.socket().write_all(part);
            if !matches!(
                orchidtally_socket_io::with_timeout(Duration::from_millis(200), say).await,
                Some(Ok(()))
            ) && !flood
            {
                return;
            }
            sent += 1;
            self.stage.sleep(pause).await;
        }
    }

    pub(super) async fn stop_reading(&self, until: f64) {
        let ask = b"GET /v1/front-end HTTP/1.1\r\nhost: x\r\n\r\n".repeat(200);
        let one = || self.dribble(&ask, 0.02, until, true);
        future::zip(one(), future::zip(one(), one())).await;
    }

    pub(super) async fn slow_senders(&self, until: f64) {
        let ask =
            b"POST /v1/functions/fn-1/invocations HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\nslowly";
        let one = || self.dribble(ask, 0.03, until, false);
        future::zip(one(), future::zip(one(), one())).await;
    }
}
