//! Callers that reuse a connection for many requests and check every response.

use std::collections::VecDeque;
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

use crate::backend::{HttpMessage, SLOW, body_of, signature_of};
use crate::fleet::{DOMAINS, Vm};
use crate::history::{End, History, SentRequest};

/// Time limit for opening a connection and for the response to an address request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a caller waits for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Number of requests after which a caller replaces a connection that is still open.
const REQUESTS_PER_CONNECTION: u32 = 40;
/// Range of the pause before each request on a connection, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Number of requests that a caller that pipelines keeps in flight, and that it sends on one
/// connection, which outlasts the stop of a daemon.
const PIPELINED_REQUESTS: usize = 12;
const PIPELINED_REQUESTS_TOTAL: u32 = 1_000;
/// Range of the pause before each of its requests, in milliseconds. Shorter than the processing time
/// of its requests divided by their number, so that there is always one in flight.
const PIPELINING_PAUSE_MS: std::ops::Range<u64> = 5..15;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Caller {
    pub history: Arc<History>,
    pub directory_addresses: Vec<SocketAddr>,
    pub prefixes: Vec<String>,
    pub stop: watch::Receiver<bool>,
    pub seed: u64,
    /// Whether the caller sends further requests before the first one is answered.
    pub pipelines: bool,
}

struct CallerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Ids and paths of the requests that were sent and not answered yet.
    in_flight: VecDeque<(String, String)>,
}

impl Caller {
    pub async fn run(self) {
        let mut random = Pcg64::seed_from_u64(self.seed);
        while !*self.stop.borrow() {
            let Some(address) = self.resolve_address(&mut random).await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
                continue;
            };
            self.send_requests(stream, address, &mut random).await;
        }
    }

    async fn resolve_address(&self, random: &mut Pcg64) -> Option<SocketAddr> {
        let directory_address = *self.directory_addresses.choose(random)?;
        let domain = DOMAINS.choose(random)?;
        let resolving = async {
            let mut stream = TcpStream::connect(directory_address).await.ok()?;
            let request_text = format!(
                "GET /v1/resolve?name=shop.example&region=r&zone={domain} HTTP/1.1\r\n\
                 Host: {directory_address}\r\n\r\n"
            );
            stream.write_all(request_text.as_bytes()).await.ok()?;
            let response = HttpMessage::read(&mut stream, &mut Vec::new()).await?;
            let response: serde_json::Value = serde_json::from_str(&response.body).ok()?;
            let addresses = response["addresses"].as_array()?.clone();
            addresses.choose(random)?.as_str()?.parse().ok()
        };
        timeout(CONNECT_TIMEOUT, resolving).await.ok()?
    }

    /// Sends requests on a connection, one at a time or with others in flight behind the first.
    async fn send_requests(&self, stream: TcpStream, address: SocketAddr, random: &mut Pcg64) {
        let mut connection = CallerConnection {
            stream,
            buffer: Vec::new(),
            in_flight: VecDeque::new(),
        };
        let (in_flight_max, requests, pauses_ms) = match self.pipelines {
            true => (
                PIPELINED_REQUESTS,
                PIPELINED_REQUESTS_TOTAL,
                PIPELINING_PAUSE_MS,
            ),
            false => (1, REQUESTS_PER_CONNECTION, PAUSE_MS),
        };
        for _ in 0..requests {
            if *self.stop.borrow() {
                break;
            }
            let pause_ms = random.random_range(pauses_ms.clone());
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            self.send_request(&mut connection, address, random).await;
            let is_full = connection.in_flight.len() >= in_flight_max;
            if is_full && !self.receive_response(&mut connection).await {
                return;
            }
        }
        while !connection.in_flight.is_empty() && self.receive_response(&mut connection).await {}
    }

    /// Sends a request. A connection that fails shows when its responses are received.
    async fn send_request(
        &self,
        connection: &mut CallerConnection,
        address: SocketAddr,
        random: &mut Pcg64,
    ) {
        let prefix = loop {
            let prefix = self.prefixes.choose(random).expect("prefixes");
            // Callers pipeline idempotent requests only.
            if !(self.pipelines && prefix.starts_with("/write")) {
                break prefix;
            }
        };
        let non_idempotent = prefix.starts_with("/write");
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let path = match self.pipelines {
            true => format!("{prefix}{SLOW}{number}"),
            false => format!("{prefix}{number}"),
        };
        let body = match non_idempotent {
            true => format!("fee {number}"),
            false => String::new(),
        };
        let sent = SentRequest {
            non_idempotent,
            path: path.clone(),
            body: body.clone(),
            vm: Vm::number_of(address),
            at: Instant::now(),
            end: None,
            leaving_seen_at: None,
        };
        self.history.sent.lock().insert(id.clone(), sent);
        let method = if non_idempotent { "POST" } else { "GET" };
        let length_header = match non_idempotent {
            true => format!("Content-Length: {}\r\n", body.len()),
            false => String::new(),
        };
        let request_text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {}\r\n{length_header}\r\n{body}",
            DEADLINE.as_millis()
        );
        connection.in_flight.push_back((id, path));
        let _ = connection.stream.write_all(request_text.as_bytes()).await;
    }

    /// Receives the response to the first request in flight. Returns whether the connection can be
    /// used further.
    async fn receive_response(&self, connection: &mut CallerConnection) -> bool {
        let Some((id, path)) = connection.in_flight.pop_front() else {
            return false;
        };
        let read = HttpMessage::read(&mut connection.stream, &mut connection.buffer);
        let response = timeout(DEADLINE, read).await;
        let (end, connection_closed) = match &response {
            Err(_) => (End::TimedOut, true),
            Ok(None) => (End::Closed, true),
            Ok(Some(response)) => (
                self.check_response(&id, &path, response),
                response.header("connection").eq_ignore_ascii_case("close"),
            ),
        };
        let unread = connection.in_flight.iter().filter(|_| connection_closed);
        let unread_end = match end {
            End::Closed | End::TimedOut => end,
            _ => End::Unread,
        };
        let mut sent = self.history.sent.lock();
        for (id, _) in unread {
            if let Some(sent) = sent.get_mut(id) {
                sent.end = Some((unread_end, Instant::now()));
            }
        }
        if let Some(sent) = sent.get_mut(&id) {
            sent.end = Some((end, Instant::now()));
            let passed_on = response.as_ref().ok().and_then(Option::as_ref);
            let says_leaving = passed_on.is_some_and(|r| !r.header("server-leaving").is_empty());
            sent.leaving_seen_at = says_leaving.then(Instant::now);
        }
        !connection_closed
    }

    /// Checks a response and returns how the request ended. Records the violation `MIXED` if the
    /// id, the body or the signature of the response doesn't match the request, and `DENIED` if the
    /// daemon found no route although there is one.
    fn check_response(&self, id: &str, path: &str, response: &HttpMessage) -> End {
        let status = response.status();
        let echoed = response.header("request-id");
        if !echoed.is_empty() && echoed != id {
            self.history
                .record_violation(format!("MIXED {id}: response to request {echoed}"));
        }
        if !(100..=599).contains(&status) {
            self.history.record_violation(format!(
                "MIXED {id}: invalid status: {}",
                response.first_line
            ));
        }
        match status {
            200..=299 => {
                let body_matches = response.body == body_of(id, path);
                let signature_matches = response.header("response-signature") == signature_of(id);
                if !body_matches || !signature_matches {
                    let line = &response.first_line;
                    self.history.record_violation(format!(
                        "MIXED {id}: unexpected body or signature: {line}"
                    ));
                }
                End::Served
            }
            408 | 421 | 429 | 503 => End::Refused,
            404 => {
                // Every configuration of a run has a route for each prefix.
                self.history
                    .record_violation(format!("DENIED {id}: status 404 for {path}"));
                End::Failed
            }
            _ => End::Failed,
        }
    }
}
