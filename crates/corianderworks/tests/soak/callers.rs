//! Callers that keep their connections until these end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::backend::{Request, body_of, signature_of};
use crate::fleet::{DOMAINS, Vm};
use crate::ledger::{End, Ledger, Sent};

/// Time that a caller allows for a connection or an address answer.
const CONNECT_MAX: Duration = Duration::from_secs(1);
/// Time that a caller waits for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after which a connection is replaced although it is open.
const REQUESTS_PER_CONNECTION: u32 = 40;
const PAUSE_MS: std::ops::Range<u64> = 5..60;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Caller {
    pub ledger: Arc<Ledger>,
    pub directories: Vec<SocketAddr>,
    pub prefixes: Vec<String>,
    pub stop: watch::Receiver<bool>,
    pub seed: u64,
}

impl Caller {
    pub async fn run(self) {
        let mut random = Pcg64::seed_from_u64(self.seed);
        while !*self.stop.borrow() {
            let Some(address) = self.address(&mut random).await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let Ok(Ok(stream)) = timeout(CONNECT_MAX, TcpStream::connect(address)).await else {
                continue;
            };
            self.use_connection(stream, address, &mut random).await;
        }
    }

    async fn address(&self, random: &mut Pcg64) -> Option<SocketAddr> {
        let directory = *self.directories.choose(random)?;
        let domain = DOMAINS.choose(random)?;
        let ask = async {
            let mut stream = TcpStream::connect(directory).await.ok()?;
            let ask = format!(
                "GET /v1/resolve?name=shop.example&region=r&zone={domain} HTTP/1.1\r\n\
                 Host: {directory}\r\n\r\n"
            );
            stream.write_all(ask.as_bytes()).await.ok()?;
            let answer = Request::read(&mut stream, &mut Vec::new()).await?;
            let answer: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
            let addresses = answer["addresses"].as_array()?.clone();
            addresses.choose(random)?.as_str()?.parse().ok()
        };
        timeout(CONNECT_MAX, ask).await.ok()?
    }

    async fn use_connection(&self, mut stream: TcpStream, address: SocketAddr, random: &mut Pcg64) {
        let mut buffer = Vec::new();
        for _ in 0..REQUESTS_PER_CONNECTION {
            if *self.stop.borrow() {
                return;
            }
            let pause_ms = random.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let prefix = self.prefixes.choose(random).expect("prefixes");
            let once = prefix.starts_with("/write");
            let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let path = format!("{prefix}{number}");
            let body = match once {
                true => format!("fee {number}"),
                false => String::new(),
            };
            let sent = Sent {
                once,
                path: path.clone(),
                body: body.clone(),
                vm: Vm::number_of(address),
                at: Instant::now(),
                end: None,
            };
            self.ledger.sent.lock().insert(id.clone(), sent);
            let method = if once { "POST" } else { "GET" };
            let length = match once {
                true => format!("Content-Length: {}\r\n", body.len()),
                false => String::new(),
            };
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: {}\r\n{length}\r\n{body}",
                DEADLINE.as_millis()
            );
            let exchange = async {
                stream.write_all(text.as_bytes()).await.ok()?;
                Request::read(&mut stream, &mut buffer).await
            };
            let answer = timeout(DEADLINE, exchange).await;
            let (end, closes) = match &answer {
                Err(_) => (End::Late, true),
                Ok(None) => (End::Closed, true),
                Ok(Some(answer)) => (
                    self.judge(&id, &path, answer),
                    answer.header("connection").eq_ignore_ascii_case("close"),
                ),
            };
            if let Some(sent) = self.ledger.sent.lock().get_mut(&id) {
                sent.end = Some((end, Instant::now()));
            }
            if closes {
                return;
            }
        }
    }

    fn judge(&self, id: &str, path: &str, answer: &Request) -> End {
        let status = answer.status();
        let echoed = answer.header("request-id");
        if !echoed.is_empty() && echoed != id {
            self.ledger
                .violation(format!("MIXED {id}: answer to {echoed}"));
        }
        match status {
            200..=299 => {
                let whole = answer.body == body_of(id, path);
                let signed = answer.header("response-signature") == signature_of(id);
                if !whole || !signed {
                    let line = &answer.first_line;
                    self.ledger.violation(format!("MIXED {id}: {line}"));
                }
                End::Served
            }
            408 | 421 | 429 | 503 => End::Refused,
            404 => {
                // All prefixes stand in each configuration of a run.
                self.ledger
                    .violation(format!("DENIED {id}: {path} is not found"));
                End::Failed
            }
            _ => End::Failed,
        }
    }
}
