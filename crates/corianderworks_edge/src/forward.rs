//! Request forwarding: matches the route, runs the attempts and logs the result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::admission::retry_after;
use corianderworks_decision::edge::organisations::CallerIdentity;
use corianderworks_decision::edge::routes::{ConfigVersion, Route};
use corianderworks_platform::headers;
use rand::Rng;
use tokio::time::Instant;

use crate::http1::RequestHead;
use crate::key_check;
use crate::reason::Reason;
use crate::reply::Reply;
use crate::run::RequestRun;
use crate::state::{Edge, QuotaGuard};

/// Minimum `retry-after` time of requests that are refused for other reasons than admission
/// control; jitter only adds to it.
pub(crate) const RETRY_AFTER_BASE: Duration = Duration::from_millis(300);

/// Request received from a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Parsed head; shared with the outgoing requests and the log.
    pub head: Arc<RequestHead>,
    /// Body, read completely before the request is forwarded; empty if there is none.
    pub body: Bytes,
    /// Time at which the head was read; timeouts count from here.
    pub received_at: Instant,
}

impl CallerRequest {
    pub(crate) fn request_id(&self) -> Option<Bytes> {
        self.head
            .headers
            .get(headers::REQUEST_ID)
            .map(Bytes::copy_from_slice)
    }
}

/// Routing decision for a request.
#[derive(Debug)]
pub(crate) struct Routing {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) version: ConfigVersion,
    pub(crate) caller: CallerIdentity,
    /// Token of the organisation's quota; `None` if it has no limit.
    pub(crate) quota: Option<QuotaGuard>,
    /// Priority of the caller's organisation or else of the route; 0 is the highest.
    pub(crate) priority: u32,
    /// Highest priority that requests of the service may have.
    pub(crate) highest_priority: u32,
    /// Time at which the head was read.
    pub(crate) received_at: Instant,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
}

impl Routing {
    /// Sets whether the request may have been run; if not, its end gives the quota token back.
    pub(crate) fn set_quota_used(&mut self, is_used: bool) {
        if let Some(quota) = &mut self.quota {
            quota.set_used(is_used);
        }
    }
}

/// Refusal of a request that is not forwarded.
struct Refusal {
    reason: Reason,
    /// Organisation and retry time of a request that exceeds a quota.
    quota: Option<(Arc<str>, Duration)>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            quota: None,
        }
    }
}

impl Refusal {
    fn organisation(&self) -> Option<&Arc<str>> {
        self.quota.as_ref().map(|(name, _)| name)
    }

    fn into_reply(self, request_id: Option<Bytes>) -> Reply {
        match self.quota {
            Some((_, retry_after)) => Reply::Local {
                reason: self.reason,
                retry_after: Some(retry_after),
                request_id,
            },
            None => reply_without_attempt(self.reason, request_id),
        }
    }
}

/// Response to a request and the reason that is logged and counted for it.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) reason: Reason,
    pub(crate) reply: Reply,
}

/// Forwards a request to backend servers and returns the response for the caller.
///
/// Dropping the future aborts the attempts and logs that the caller disconnected.
pub async fn forward_request(edge: Arc<Edge>, request: CallerRequest) -> Reply {
    let request_id = request.request_id();
    let mut ending = RequestEnding::new(&edge, &request);
    let outcome = match routing(&edge, &request) {
        Ok(routing) => {
            let run = RequestRun::new(edge.clone(), routing, request);
            let run = ending.run.insert(run);
            let outcome = run.run().await;
            if outcome.reason.means_not_run() {
                run.routing_mut().set_quota_used(false);
            }
            outcome
        }
        Err(refusal) => {
            ending.refused_organisation = refusal.organisation().cloned();
            let reason = refusal.reason;
            let reply = refusal.into_reply(request_id);
            Outcome { reason, reply }
        }
    };
    ending.log(outcome.reason, Some(status(&outcome.reply)));
    outcome.reply
}

fn status(reply: &Reply) -> u16 {
    match reply {
        Reply::Upstream { response, .. } => response.head.status,
        Reply::Local { reason, .. } => reason.status().0,
        Reply::Continue => 100,
    }
}

/// Returns the response to a request that isn't forwarded. If the reason is temporary, it says when
/// the caller may retry.
pub(crate) fn reply_without_attempt(reason: Reason, request_id: Option<Bytes>) -> Reply {
    let is_temporary = matches!(
        reason,
        Reason::NoConfiguration
            | Reason::KeyCheckExpired
            | Reason::Stopping
            | Reason::BodyMemory
            | Reason::DaemonFull
    );
    Reply::Local {
        reason,
        retry_after: is_temporary.then(|| retry_after(RETRY_AFTER_BASE, jitter())),
        request_id,
    }
}

/// Logs and counts the end of a request. If the caller disconnects, the future of the request is
/// dropped before it completes, and this with it.
struct RequestEnding {
    edge: Arc<Edge>,
    head: Arc<RequestHead>,
    received_at: Instant,
    /// Attempts of the request; `None` if it was refused before it had a server.
    run: Option<RequestRun>,
    /// Organisation of a request that exceeds a quota.
    refused_organisation: Option<Arc<str>>,
    is_logged: bool,
}

impl RequestEnding {
    fn new(edge: &Arc<Edge>, request: &CallerRequest) -> Self {
        Self {
            edge: edge.clone(),
            head: request.head.clone(),
            received_at: request.received_at,
            run: None,
            refused_organisation: None,
            is_logged: false,
        }
    }

    /// Logs and counts the end. `status` is that of the response, `None` if there is none.
    fn log(&mut self, reason: Reason, status: Option<u16>) {
        self.is_logged = true;
        let (edge, took) = (&self.edge, self.received_at.elapsed());
        edge.metrics.request(reason, took);
        let run = self.run.as_ref();
        if let Some(run) = run.filter(|_| reason.status().0 == 503) {
            edge.metrics.refusal(reason, run.routing().priority);
        }
        let limiter = match reason {
            Reason::Served => &edge.served_log_limit,
            _ => &edge.failed_log_limit,
        };
        let Some(omitted) = limiter.try_acquire(edge.clock.now()) else {
            return;
        };
        let message = match reason {
            Reason::CallerLeft => "forward: caller left",
            _ => "forward: ended",
        };
        let organisation = run
            .and_then(|r| r.routing().caller.organisation())
            .map(|o| &o.name)
            .or(self.refused_organisation.as_ref());
        tracing::info!(
            request = id_text(&self.head),
            method = self.head.method,
            path = self.head.path(),
            route = run.map(|r| &*r.routing().route.name),
            service = run.map(|r| &*r.routing().service),
            configuration = run.map(|r| r.routing().version.0),
            priority = run.map(|r| r.routing().priority),
            organisation = organisation.map(|name| &**name),
            servers = run.map(|r| r.attempt_history(reason)),
            queued_ms = run.map(|r| r.queued_for().as_millis() as u64),
            reason = reason.name(),
            status,
            took_ms = took.as_millis() as u64,
            omitted,
            "{message}"
        );
    }
}

impl Drop for RequestEnding {
    fn drop(&mut self) {
        if !self.is_logged {
            self.log(Reason::CallerLeft, None);
        }
    }
}

fn id_text(head: &RequestHead) -> &str {
    head.headers.text(headers::REQUEST_ID).unwrap_or("-")
}

/// Returns a random number in 0..1 that spreads the retries of refused callers over time.
pub(crate) fn jitter() -> f64 {
    rand::rng().random()
}

/// Determines the route, the service and the deadline of a request, and counts the request for the
/// retry budget of the service.
fn routing(edge: &Arc<Edge>, request: &CallerRequest) -> Result<Routing, Refusal> {
    let checked = key_check::configuration(edge).ok_or(Reason::NoConfiguration)?;
    let configuration = &checked.configuration;
    let head = &request.head;
    let host = head.headers.text("host").ok_or(Reason::Malformed)?;
    let route = configuration
        .route(host, head.path())
        .ok_or(Reason::NoRoute)?;
    let caller = checked.identify(route, head)?;
    let service = route
        .select_service(rand::rng().random())
        .ok_or(Reason::MalformedRoute)?;
    let deadline_ms = head
        .headers
        .text(headers::DEADLINE_MS)
        .and_then(|v| v.trim().parse().ok());
    let time_limit = deadline_ms.map_or(route.timeout, |ms| {
        Duration::from_millis(ms).min(route.timeout)
    });
    let deadline = request.received_at + time_limit;
    if !edge.admits_request(deadline.saturating_duration_since(Instant::now())) {
        return Err(Reason::Stopping.into());
    }
    let quota = admit_to_quota(edge, &caller)?;
    edge.lock_state()
        .budget
        .record_request(service, edge.clock.now());
    Ok(Routing {
        route: route.clone(),
        service: service.clone(),
        version: configuration.version,
        priority: priority(&caller, route),
        highest_priority: configuration.highest_priority(service),
        caller,
        received_at: request.received_at,
        quota,
        deadline,
    })
}

fn admit_to_quota(
    edge: &Arc<Edge>,
    caller: &CallerIdentity,
) -> Result<Option<QuotaGuard>, Refusal> {
    let Some(organisation) = caller.organisation() else {
        return Ok(None);
    };
    edge.admit_to_quota(organisation)
        .map_err(|retry_after| Refusal {
            reason: Reason::Quota,
            quota: Some((organisation.name.clone(), retry_after)),
        })
}

fn priority(caller: &CallerIdentity, route: &Route) -> u32 {
    let organisation = caller.organisation();
    let own_priority = organisation.and_then(|organisation| organisation.priority);
    own_priority.unwrap_or(route.priority)
}
