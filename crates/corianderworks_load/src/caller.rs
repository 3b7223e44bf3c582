//! Callers that ask for addresses and send requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_standin::backend::{DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER};
use corianderworks_standin::body::CHECK_HEADER;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::address::Addresses;
use crate::check::{Violation, check_response};
use crate::mix::Planned;
use crate::outcome::{Next, Outcome, Tries, Try};
use crate::settings::{KeyKind, LoadSettings, Verb};

/// Header with the customer of a request.
const CUSTOMER_HEADER: &str = "cw-customer";
/// Request header that tells the first use of a key from a repeated one.
const ATTEMPT_HEADER: &str = "cw-attempt";
/// Header with the reason of a refusal.
const REASON_HEADER: &str = "cw-reason";
/// Longest wait for an address response.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Daemons asked for an address response before a caller goes on without.
const ADDRESS_TRIES: usize = 3;
/// An address response is refreshed in the last part of its time, one over this number.
const REFRESH_SHARE: u32 = 4;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Debug, Clone)]
pub struct Finished {
    /// The request.
    pub planned: Planned,
    /// Outcome for the caller.
    pub outcome: Outcome,
    /// Broken guarantee seen by the caller.
    pub violation: Option<Violation>,
    /// Key that it was sent with.
    pub key: Option<String>,
    /// Time from the intended send time to the end.
    pub latency: Duration,
    /// Time from the actual first send to the end.
    pub since_send: Duration,
    /// Tries made.
    pub tries: u32,
    /// Whether the answer was a recorded one of an earlier try.
    pub replayed: bool,
    /// Reasons of refusals and kinds of failures, one for each failed try.
    pub failures: Vec<String>,
}

#[derive(Debug, Default)]
struct Cache {
    response: Option<(Arc<Addresses>, Instant)>,
    refreshing: bool,
    fetch_again: Option<Instant>,
}

/// One caller with its own connections and address cache.
#[derive(Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: Arc<LoadSettings>,
    domain: String,
    caches: Mutex<HashMap<String, Arc<tokio::sync::Mutex<Cache>>>>,
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
    random: Mutex<Pcg64Mcg>,
    address_failures: AtomicU64,
}

impl Caller {
    /// Caller number `index` of a run.
    pub fn new(settings: Arc<LoadSettings>, index: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http2_only(settings.http2)
            .build(connector);
        let domains = settings.domains.len().max(1);
        let domain = settings.domains.get(index % domains).cloned();
        let seed = settings.seed.wrapping_add(index as u64 + 1);
        Self {
            client,
            domain: domain.unwrap_or_default(),
            caches: Mutex::default(),
            avoided: Mutex::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            address_failures: AtomicU64::new(0),
            settings,
        }
    }

    /// Address requests that failed.
    pub fn address_failures(&self) -> u64 {
        self.address_failures.load(Ordering::Relaxed)
    }

    /// Sends a request and returns how it ended.
    pub async fn send(self: &Arc<Self>, planned: Planned, intended: Instant) -> Finished {
        let sent = Instant::now();
        let deadline = intended + Duration::from_millis(self.settings.deadline_ms);
        let mut progress = Progress::default();
        let outcome =
            match timeout_at(deadline, self.attempts(&planned, deadline, &mut progress)).await {
                Ok(outcome) => outcome,
                Err(_) => progress.interrupted(),
            };
        Finished {
            outcome,
            violation: progress.violation,
            key: progress.key,
            latency: intended.elapsed(),
            since_send: sent.elapsed(),
            tries: progress.count,
            replayed: progress.replayed,
            failures: progress.failures,
            planned,
        }
    }

    async fn attempts(
        self: &Arc<Self>,
        planned: &Planned,
        deadline: Instant,
        progress: &mut Progress,
    ) -> Outcome {
        let mut used = Vec::new();
        loop {
            let Some(addresses) = self.addresses(&planned.service).await else {
                progress.failures.push("no address response".to_owned());
                if progress.count >= self.settings.tries {
                    return progress.tries.give_up();
                }
                progress.count += 1;
                self.back_off(progress.count).await;
                continue;
            };
            if progress.key.is_none() {
                // A resent request keeps its key, whatever the prefix is now.
                progress.key = self.key(planned, &addresses).await;
            }
            let Some(address) = self.choose(&addresses, &used) else {
                return progress.tries.give_up();
            };
            used.push(address);
            progress.count += 1;
            progress.in_flight = true;
            let result = self.attempt(planned, address, deadline, progress).await;
            progress.in_flight = false;
            progress.note(&result);
            if is_fault_of_address(&result) {
                self.avoid(address);
            }
            let can_repeat = planned.is_idempotent() || progress.key.is_some();
            let left = progress.count < self.settings.tries && Instant::now() < deadline;
            match progress.tries.next(&result, can_repeat, left) {
                Next::End(outcome) => return outcome,
                Next::Again => self.back_off(progress.count).await,
            }
        }
    }

    /// Builds the key of a request; without a prefix in the response, asks a daemon for one.
    async fn key(&self, planned: &Planned, addresses: &Addresses) -> Option<String> {
        match (&addresses.key_prefix, planned.key) {
            (Some(prefix), _) => planned.key(prefix),
            (None, Some(KeyKind::Issued)) => {
                let (fresh, _) = self.fetch(&planned.service).await?;
                planned.key(fresh.key_prefix.as_ref()?)
            }
            (None, _) => planned.key(""),
        }
    }

    async fn attempt(
        &self,
        planned: &Planned,
        address: SocketAddr,
        deadline: Instant,
        progress: &mut Progress,
    ) -> Try {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(self.settings.try_ms));
        let Ok(request) = build(planned, address, limit, progress) else {
            progress.failures.push("invalid request".to_owned());
            return Try::NotConnected;
        };
        let exchange = async {
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return (Try::NotConnected, None),
                Err(_) => return (Try::Broken, None),
            };
            judge(planned, response, progress.tries.may_have_run).await
        };
        let (result, reason) = timeout(limit, exchange)
            .await
            .unwrap_or((Try::TimedOut, None));
        if let Some(reason) = reason {
            progress.failures.push(reason);
        }
        result
    }

    fn choose(&self, addresses: &Addresses, used: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let avoided = self.avoided.lock();
        let is_avoided = |address| {
            used.contains(&address) || avoided.get(&address).is_some_and(|until| *until > now)
        };
        addresses.choose(&mut *self.random.lock(), is_avoided)
    }

    fn avoid(&self, address: SocketAddr) {
        let until = Instant::now() + Duration::from_millis(self.settings.avoid_ms);
        self.avoided.lock().insert(address, until);
    }

    /// Waits a random time before the next try.
    async fn back_off(&self, tries: u32) {
        let bound = self.settings.backoff_ms << tries.saturating_sub(1).min(8);
        let wait = self.random.lock().random_range(0..=bound);
        sleep(Duration::from_millis(wait)).await;
    }

    /// Cached address response, refreshed ahead of its expiry. An expired one is used only while
    /// no daemon gives a new one, because its key prefix may be of a daemon that has stopped.
    async fn addresses(self: &Arc<Self>, service: &str) -> Option<Arc<Addresses>> {
        let cache = {
            let mut caches = self.caches.lock();
            caches.entry(service.to_owned()).or_default().clone()
        };
        let mut guard = cache.lock().await;
        let now = Instant::now();
        if let Some((addresses, expires)) = &guard.response {
            let (addresses, left) = (addresses.clone(), expires.saturating_duration_since(now));
            if left < addresses.keep() / REFRESH_SHARE && !guard.refreshing {
                guard.refreshing = true;
                let (caller, service) = (self.clone(), service.to_owned());
                let cache = cache.clone();
                tokio::spawn(async move {
                    let fetched = caller.fetch(&service).await;
                    let mut guard = cache.lock().await;
                    guard.refreshing = false;
                    if fetched.is_some() {
                        guard.response = fetched;
                    }
                });
            }
            if !left.is_zero() || guard.fetch_again.is_some_and(|at| now < at) {
                return Some(addresses);
            }
        }
        match self.fetch(service).await {
            Some(fetched) => guard.response = Some(fetched),
            None => guard.fetch_again = Some(Instant::now() + ADDRESS_TIMEOUT),
        }
        Some(guard.response.as_ref()?.0.clone())
    }

    /// Asks the daemons in random order until one answers.
    async fn fetch(&self, service: &str) -> Option<(Arc<Addresses>, Instant)> {
        if !self.settings.direct.is_empty() {
            let addresses = Addresses::direct(&self.settings.direct);
            let expires = Instant::now() + addresses.keep();
            return Some((Arc::new(addresses), expires));
        }
        let mut daemons = self.settings.daemons.clone();
        daemons.shuffle(&mut *self.random.lock());
        for daemon in daemons.into_iter().take(ADDRESS_TRIES) {
            if let Some(fetched) = self.fetch_from(daemon, service).await {
                return Some(fetched);
            }
        }
        None
    }

    async fn fetch_from(
        &self,
        daemon: SocketAddr,
        service: &str,
    ) -> Option<(Arc<Addresses>, Instant)> {
        let domain = &self.domain;
        let uri = format!("http://{daemon}/v1/addresses?service={service}&domain={domain}");
        let fetched = timeout(ADDRESS_TIMEOUT, async {
            let request = Request::get(uri).body(Full::default()).ok()?;
            let response = self.client.request(request).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let body = response.into_body().collect().await.ok()?.to_bytes();
            let parsed = Addresses::parse(&body);
            if let Err(error) = &parsed {
                tracing::warn!("load: {error}");
            }
            parsed.ok()
        });
        match fetched.await {
            Ok(Some(addresses)) => {
                let expires = Instant::now() + addresses.keep();
                Some((Arc::new(addresses), expires))
            }
            _ => {
                self.address_failures.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }
}

/// State of a request that survives its deadline.
#[derive(Debug, Default)]
struct Progress {
    tries: Tries,
    count: u32,
    in_flight: bool,
    key: Option<String>,
    violation: Option<Violation>,
    replayed: bool,
    failures: Vec<String>,
}

impl Progress {
    fn note(&mut self, result: &Try) {
        match result {
            Try::Wrong(violation) => self.violation = Some(*violation),
            Try::Replayed => self.replayed = true,
            Try::Status(status) => self.failures.push(format!("status {status}")),
            Try::NotConnected => self.failures.push("not connected".to_owned()),
            Try::Broken => self.failures.push("broken off".to_owned()),
            Try::TimedOut => self.failures.push("timed out".to_owned()),
            Try::Answered | Try::NotRun { .. } | Try::Unknown => {}
        }
    }

    /// Outcome at the deadline; a try in flight may have run.
    fn interrupted(&mut self) -> Outcome {
        if self.in_flight {
            self.tries.may_have_run = true;
        }
        self.failures.push("past the deadline".to_owned());
        self.tries.give_up()
    }
}

fn is_fault_of_address(result: &Try) -> bool {
    matches!(result, Try::NotConnected | Try::Broken | Try::TimedOut)
}

fn build(
    planned: &Planned,
    address: SocketAddr,
    limit: Duration,
    progress: &Progress,
) -> http::Result<Request<Full<Bytes>>> {
    let method = match planned.verb {
        Verb::Get => "GET",
        Verb::Put => "PUT",
        Verb::Post => "POST",
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}", planned.path))
        .header(CHECK_HEADER, &planned.check)
        .header(CUSTOMER_HEADER, &planned.customer)
        .header(DEADLINE_HEADER, limit.as_millis().max(1) as u64);
    if let Some(key) = &progress.key {
        request = request.header(KEY_HEADER, key);
        if progress.count == 1 {
            request = request.header(ATTEMPT_HEADER, "first");
        }
    }
    request.body(Full::new(planned.body.clone()))
}

/// Reads a response and tells what it means, with the reason of a refusal.
async fn judge(
    planned: &Planned,
    response: Response<Incoming>,
    resent: bool,
) -> (Try, Option<String>) {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return (Try::Broken, None);
    };
    let body = body.to_bytes();
    let status = parts.status.as_u16();
    let reason = || {
        let reason = text(&parts.headers, REASON_HEADER).unwrap_or("no reason given");
        Some(format!("{status} {reason}"))
    };
    match text(&parts.headers, OUTCOME_HEADER) {
        Some("not-run") => (Try::NotRun { status }, reason()),
        Some("unknown" | "running") => (Try::Unknown, reason()),
        // The daemon that issued a key keeps the status of its request, not
        // the body, so only a resent request may be answered this way.
        Some("done") if resent && parts.status.is_success() => (Try::Replayed, None),
        _ if !parts.status.is_success() => (Try::Status(status), None),
        _ => match check_response(planned, &parts.headers, &body) {
            Ok(()) => (Try::Answered, None),
            Err(violation) => (Try::Wrong(violation), None),
        },
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
