//! Runs the attempts of one request at backend servers.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::admission::{Admission, admit, retry_after, retry_after_pause};
use corianderworks_decision::edge::attempts::{
    AttemptEnd, AttemptState, NextStep, RefusedRequest, RefusedStep, delay_after_refusal,
    may_retry_refused, next_step,
};
use corianderworks_decision::edge::key_permission::SendPermit;
use corianderworks_decision::edge::load_balancer::{Candidates, Choice, Evidence};
use corianderworks_decision::edge::organisations::CallerIdentity;
use corianderworks_decision::edge::routes::Idempotency;
use corianderworks_decision::edge::servers::ServerKey;
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_platform::headers;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::forward::{CallerRequest, Outcome, RETRY_AFTER_BASE, Routing, jitter};
use crate::key_check::{self, KeyDecision};
use crate::reason::Reason;
use crate::reply::Reply;
use crate::state::{Edge, Lifecycle};
use crate::upstream::{
    Exchange, ExchangeResult, Observations, OutgoingRequest, ResponseBody, ResponseError, Target,
    UpstreamResponse,
};
use crate::waiting::Turn;

/// Multiple of the route's typical latency after which an attempt counts as overdue. Latency varies
/// with the amount of work: the slowest 1 % of requests take about four times the mean.
const OVERDUE_LATENCY_FACTOR: f64 = 4.0;
/// Minimum time after which an attempt counts as overdue, whatever the typical latency.
const OVERDUE_MIN: Duration = Duration::from_millis(250);

/// Longest pause of a server that is respected. A longer one is more likely a fault of the server
/// than its wish.
const PAUSE_MAX: Duration = Duration::from_secs(15 * 60);

/// Result of an attempt, returned by its task.
struct EndedAttempt {
    key: ServerKey,
    target: Target,
    exchange: Exchange,
    took: Duration,
}

/// State of a request and its attempts.
pub(crate) struct RequestRun {
    edge: Arc<Edge>,
    routing: Routing,
    outgoing: Arc<OutgoingRequest>,
    tried_servers: Vec<ServerKey>,
    /// Server, start time and whether it was reported as overdue, for each attempt in progress.
    open_attempts: Vec<(ServerKey, Instant, bool)>,
    /// Servers that refused the request without running it, and may be tried again.
    refused_by: Vec<ServerKey>,
    /// Number of servers that the request was sent to; a retry at the same server isn't counted.
    sent: u32,
    refusals: u32,
    connects_failed: u32,
    /// Number of delays of the request after refusals.
    refused_delays: u32,
    /// Time at which the request, which servers refused, may be retried.
    retry_refused_at: Option<Instant>,
    attempts: JoinSet<EndedAttempt>,
    last_response: Option<UpstreamResponse>,
    last_end: Option<AttemptEnd>,
    /// Whether a server may have run the request.
    may_have_run: bool,
    attempt_history: Vec<String>,
    /// Why the last attempt may not use the key of the request.
    key_refusal: Option<Reason>,
    /// Time at which the request entered the queue of this daemon, while it is there.
    queued_since: Option<Instant>,
    /// Time for which the request waited in the queue of this daemon, once it has left it.
    queued_for: Duration,
}

enum Step {
    Continue,
    End(Box<Outcome>),
}

impl RequestRun {
    pub(crate) fn new(edge: Arc<Edge>, routing: Routing, request: CallerRequest) -> Self {
        let outgoing = OutgoingRequest {
            request_id: request.request_id(),
            head: request.head,
            body: request.body,
            request_idempotency: routing.route.idempotency,
            caller: routing.caller.clone(),
        };
        Self {
            edge,
            routing,
            outgoing: Arc::new(outgoing),
            tried_servers: Vec::new(),
            open_attempts: Vec::new(),
            refused_by: Vec::new(),
            sent: 0,
            refusals: 0,
            connects_failed: 0,
            refused_delays: 0,
            retry_refused_at: None,
            attempts: JoinSet::new(),
            last_response: None,
            last_end: None,
            may_have_run: false,
            attempt_history: Vec::new(),
            key_refusal: None,
            queued_since: None,
            queued_for: Duration::ZERO,
        }
    }

    /// Waits for the turn of the request and applies admission control, then runs attempts until
    /// there is a response for the caller.
    pub(crate) async fn run(&mut self) -> Outcome {
        if let Turn::Refuse {
            reason,
            retry_after: time,
        } = self.wait_for_turn().await
        {
            let time = time.unwrap_or_else(|| retry_after(RETRY_AFTER_BASE, jitter()));
            return self.refuse(reason, time);
        }
        let first = self.choose(Candidates::Except(&[]));
        let remaining = self.remaining();
        match admit(
            first.as_ref().map(|(choice, _)| choice),
            remaining,
            jitter(),
        ) {
            Admission::Admit => {}
            Admission::Refuse { retry_after } => {
                if first.is_some() {
                    return self.refuse(Reason::NoCapacity, retry_after);
                }
                return self.give_up_without_server(retry_after);
            }
        }
        if let Some((choice, target)) = first {
            match self.permit() {
                Some(permit) => self.start(permit, choice, target),
                None => return self.give_up(AttemptEnd::NotSent),
            }
        }
        let mut life = self.edge.subscribe_lifecycle();
        loop {
            let overdue_at = self.overdue_at();
            tokio::select! {
                biased;
                Some(ended) = self.attempts.join_next() => match ended {
                    Ok(ended) => if let Step::End(outcome) = self.ended(ended) {
                        return *outcome;
                    },
                    Err(error) => {
                        tracing::error!(%error, "forward: attempt task failed");
                        return self.fail(Reason::NoResponse);
                    }
                },
                () = sleep_until(self.routing.deadline) => return self.timed_out(),
                _ = life.wait_for(|l| *l == Lifecycle::Stopping(Phase::Exit)) => {
                    return self.end_at_exit();
                }
                () = sleep_until(self.retry_refused_at.unwrap_or(self.routing.deadline)),
                    if self.retry_refused_at.is_some() =>
                    if let Step::End(outcome) = self.retry_refused() {
                        return *outcome;
                    },
                () = sleep_until(overdue_at.unwrap_or(self.routing.deadline)),
                    if overdue_at.is_some() => self.handle_overdue(),
            }
        }
    }

    async fn wait_for_turn(&mut self) -> Turn {
        let began = *self.queued_since.insert(Instant::now());
        let bytes = self.outgoing.body.len() + self.outgoing.head.headers.memory_bytes();
        let turn = self.edge.wait_for_turn(&self.routing, bytes).await;
        self.queued_since = None;
        self.queued_for = began.elapsed();
        self.edge
            .metrics
            .queued(self.routing.priority, self.queued_for);
        turn
    }

    /// Returns the time for which the request waited in the queue of this daemon, until now if it is
    /// still there.
    pub(crate) fn queued_for(&self) -> Duration {
        self.queued_since
            .map_or(self.queued_for, |since| since.elapsed())
    }

    /// Returns the routing decision of the request.
    pub(crate) fn routing(&self) -> &Routing {
        &self.routing
    }

    pub(crate) fn routing_mut(&mut self) -> &mut Routing {
        &mut self.routing
    }

    /// Returns the servers that were tried and how the attempts ended, for the log line of a request
    /// that ended for `reason`.
    pub(crate) fn attempt_history(&self, reason: Reason) -> String {
        let mut history = self.attempt_history.join(" ");
        if reason != Reason::Served && !self.attempts.is_empty() {
            history.push_str(" (unfinished)");
        }
        history
    }

    fn choose(&self, candidates: Candidates<'_>) -> Option<(Choice, Target)> {
        let request_idempotency = match self.sent + 1 < self.routing.route.attempts_max {
            true => self.routing.route.idempotency,
            // A failure of the last attempt can't be retried, as with a non-idempotent request.
            false => Idempotency::NonIdempotent,
        };
        self.edge.choose_server(
            &self.routing.route,
            &self.routing.service,
            request_idempotency,
            candidates,
            self.remaining(),
        )
    }

    fn remaining(&self) -> Duration {
        self.routing
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// Checks again that the request may be sent with its key, before each attempt. A request on a
    /// public route is sent without a key that can't be checked.
    fn permit(&mut self) -> Option<SendPermit> {
        match key_check::decide(&self.edge, &self.routing, &self.outgoing.head) {
            KeyDecision::Send(permit) => Some(permit),
            KeyDecision::SendWithoutKey(permit) => {
                Arc::make_mut(&mut self.outgoing).caller = CallerIdentity::Anonymous;
                Some(permit)
            }
            KeyDecision::Refuse(reason) => {
                self.key_refusal = Some(reason);
                self.attempt_history.push(format!("({})", reason.name()));
                None
            }
        }
    }

    fn start(&mut self, permit: SendPermit, choice: Choice, target: Target) {
        self.routing.set_quota_used(true);
        let guard = self.edge.start_attempt(choice.key);
        let (edge, outgoing) = (self.edge.clone(), self.outgoing.clone());
        let remaining = self.remaining();
        let started = Instant::now();
        if !self.tried_servers.contains(&choice.key) {
            self.tried_servers.push(choice.key);
            self.sent += 1;
        }
        self.refused_by.retain(|key| *key != choice.key);
        self.open_attempts.push((choice.key, started, false));
        self.attempt_history.push(format!(
            "{}(busy {}, failing {:.2}, expected {} ms, idle {} ms)",
            target.id,
            choice.in_flight,
            choice.failing_probability,
            choice.expected_latency.as_millis(),
            choice.idle_for.as_millis()
        ));
        self.attempts.spawn(async move {
            let exchange = edge
                .pool
                .exchange(permit, &outgoing, &target, remaining)
                .await;
            drop(guard);
            EndedAttempt {
                key: choice.key,
                target,
                exchange,
                took: started.elapsed(),
            }
        });
    }

    /// Starts an attempt at another server if one is available and the retry budget allows it, or
    /// if the attempt is exempt from the budget. Returns whether an attempt was started.
    fn try_another_server(&mut self, exempt_from_budget: bool) -> bool {
        let Some((choice, target)) = self.choose(Candidates::Except(&self.tried_servers)) else {
            return false;
        };
        let Some(permit) = self.permit() else {
            return false;
        };
        let now = self.edge.clock.now();
        if !exempt_from_budget
            && !self
                .edge
                .lock_state()
                .budget
                .try_acquire(&self.routing.service, now)
        {
            self.attempt_history
                .push("(no budget for another attempt)".to_owned());
            return false;
        }
        self.start(permit, choice, target);
        true
    }

    /// Retries a request that servers refused, or lets it wait further.
    fn retry_refused(&mut self) -> Step {
        self.retry_refused_at = None;
        let Some(permit) = self.permit() else {
            return Step::End(Box::new(self.give_up(AttemptEnd::NotRun)));
        };
        let now = self.edge.clock.now();
        let request = self.refused_request();
        let budget_left = {
            let mut state = self.edge.lock_state();
            state.budget.unused_share(&self.routing.service, now)
        };
        if !may_retry_refused(request, budget_left, jitter()) {
            return self.wait_after_refusal();
        }
        let Some((choice, target)) = self.choose_after_refusal() else {
            return self.wait_after_refusal();
        };
        let is_within_budget = {
            let mut state = self.edge.lock_state();
            state.budget.try_acquire(&self.routing.service, now)
        };
        if !is_within_budget {
            return self.wait_after_refusal();
        }
        self.start(permit, choice, target);
        Step::Continue
    }

    /// Chooses among all servers that may run the request, or those that refused it if it may not
    /// be sent to others.
    fn choose_after_refusal(&self) -> Option<(Choice, Target)> {
        let may_run = |key: &ServerKey| !self.refused_by.contains(key);
        let others: Vec<_> = self.tried_servers.iter().copied().filter(may_run).collect();
        match self.sent < self.routing.route.attempts_max {
            true => self.choose(Candidates::Except(&others)),
            false => self.choose(Candidates::Only(&self.refused_by)),
        }
    }

    /// Schedules the next retry of a request that servers refused. Gives up if the request is not
    /// expected to be served in its time.
    fn wait_after_refusal(&mut self) -> Step {
        let request = self.refused_request();
        match delay_after_refusal(request, jitter()) {
            // While all servers pause, the caller learns from the refusal when to come back.
            RefusedStep::Wait(delay) if self.choose_after_refusal().is_some() => {
                self.refused_delays += 1;
                self.retry_refused_at = Some(Instant::now() + delay);
                Step::Continue
            }
            _ => {
                let accepted = request.accepted_share;
                self.attempt_history
                    .push(format!("(no time to wait, accepted {accepted:.2})"));
                Step::End(Box::new(self.give_up(AttemptEnd::NotRun)))
            }
        }
    }

    fn refused_request(&self) -> RefusedRequest {
        let route = &self.routing.route;
        let now = self.edge.clock.now();
        let state = self.edge.lock_state();
        RefusedRequest {
            delays: self.refused_delays,
            accepted_share: state.acceptance.share(&self.routing.service, now),
            service_idle_for: state.acceptance.idle_for(&self.routing.service, now),
            elapsed: self.routing.received_at.elapsed(),
            time_left: self.remaining(),
            latency_objective: route.latency_objective,
            typical_latency: state.load_balancer.typical_route_latency(route),
        }
    }

    fn overdue_after(&self) -> Duration {
        let typical_latency = self.edge.typical_latency(&self.routing.route);
        typical_latency
            .mul_f64(OVERDUE_LATENCY_FACTOR)
            .max(OVERDUE_MIN)
    }

    fn overdue_at(&self) -> Option<Instant> {
        let after = self.overdue_after();
        let open_attempts = self
            .open_attempts
            .iter()
            .filter(|(_, _, reported)| !reported);
        open_attempts.map(|(_, started, _)| *started + after).min()
    }

    /// Records evidence against servers whose attempts are overdue, and starts an attempt at
    /// another server if the request is idempotent.
    fn handle_overdue(&mut self) {
        let (now, after) = (Instant::now(), self.overdue_after());
        let mut newly_overdue = false;
        for (key, started, reported) in &mut self.open_attempts {
            if !*reported && now >= *started + after {
                *reported = true;
                newly_overdue = true;
                self.edge.observe(*key, Evidence::Overdue);
            }
        }
        let idempotent = self.routing.route.idempotency == Idempotency::Idempotent;
        let may_send = self.sent < self.routing.route.attempts_max && self.open_attempts.len() < 2;
        if newly_overdue && idempotent && may_send {
            self.attempt_history.push("(overdue)".to_owned());
            self.try_another_server(false);
        }
    }

    fn ended(&mut self, ended: EndedAttempt) -> Step {
        self.open_attempts.retain(|(key, _, _)| *key != ended.key);
        self.record_announcements(&ended);
        let observations = ended.exchange.observations;
        self.edge
            .metrics
            .skipped_responses(&self.routing.service, observations.skipped_responses);
        let (end, evidence, response) = classify(ended.exchange.result);
        if let Some(ResponseBody::Complete(body)) = response.as_ref().map(|r| &r.body) {
            self.edge
                .record_response_bytes(&self.routing.route, body.len());
        }
        self.edge.metrics.attempt(end_name(end), ended.took);
        let evidence = match end {
            AttemptEnd::Served => Some(self.edge.record_latency(&self.routing.route, ended.took)),
            _ => evidence,
        };
        if let Some(evidence) = evidence {
            self.edge.observe(ended.key, evidence);
        }
        if end != AttemptEnd::Served {
            let status = response.as_ref().map(|r| r.head.status);
            self.attempt_history
                .push(describe_end(end, status, observations));
            tracing::debug!(
                server = &*ended.target.id,
                ?end,
                status,
                "forward: attempt failed"
            );
        }
        if end == AttemptEnd::NotSent {
            self.sent -= 1;
            self.connects_failed += 1;
        }
        if end == AttemptEnd::NotRun {
            self.refusals += 1;
            self.refused_by.push(ended.key);
        }
        // A refusal of the retry says nothing about the first attempt, whose response is for the caller.
        let is_refused_retry = end == AttemptEnd::NotRun && self.may_have_run;
        self.may_have_run |= matches!(end, AttemptEnd::Failed | AttemptEnd::Unknown);
        if response.is_some() && end != AttemptEnd::Unknown && !is_refused_retry {
            self.last_response = response;
        }
        self.last_end = Some(end);
        self.advance(end)
    }

    /// Records whether the server is shutting down or wants no requests for some time.
    fn record_announcements(&self, ended: &EndedAttempt) {
        if ended.exchange.observations.is_leaving {
            self.edge.record_leaving(ended.key);
        }
        let ExchangeResult::Response(response) = &ended.exchange.result else {
            return;
        };
        if let Some(pause) = requested_pause(response) {
            self.edge.record_pause(ended.key, pause);
        }
    }

    fn advance(&mut self, end: AttemptEnd) -> Step {
        let state = AttemptState {
            idempotency: self.routing.route.idempotency,
            sent: self.sent,
            attempts_max: self.routing.route.attempts_max,
            refusals: self.refusals,
            siblings_accepted_share: self.siblings_accepted_share(),
            failed_connects: self.connects_failed,
            time_left: self.remaining(),
        };
        let step = next_step(end, state);
        if step == NextStep::Deliver && end == AttemptEnd::Served {
            return Step::End(Box::new(self.deliver(Reason::Served)));
        }
        if !self.open_attempts.is_empty() {
            return Step::Continue;
        }
        // A failed connection put no load on a backend server, so it costs no retry budget.
        let exempt_from_budget = end == AttemptEnd::NotSent;
        if step == NextStep::TryAnotherServer && self.try_another_server(exempt_from_budget) {
            return Step::Continue;
        }
        let no_other_server = step == NextStep::TryAnotherServer && end == AttemptEnd::NotRun;
        if self.key_refusal.is_some() {
            return Step::End(Box::new(self.give_up(end)));
        }
        if step == NextStep::RetryRefused || no_other_server {
            return self.wait_after_refusal();
        }
        Step::End(Box::new(self.give_up(end)))
    }

    fn siblings_accepted_share(&self) -> f64 {
        let now = self.edge.clock.now();
        let state = self.edge.lock_state();
        state
            .acceptance
            .share_without(&self.routing.service, &self.refused_by, now)
    }

    fn give_up(&mut self, end: AttemptEnd) -> Outcome {
        let was_executed = |r: &UpstreamResponse| !is_not_run(r);
        if self.may_have_run && self.last_response.as_ref().is_some_and(was_executed) {
            return self.deliver(Reason::ServerFailed);
        }
        if self.may_have_run {
            return self.fail(Reason::NoResponse);
        }
        match self.key_refusal {
            Some(Reason::KeyCheckExpired) => {
                let wait = retry_after(RETRY_AFTER_BASE, jitter());
                return self.refuse(Reason::KeyCheckExpired, wait);
            }
            Some(reason) => return self.fail(reason),
            None => {}
        }
        let reason = match end {
            AttemptEnd::NotSent => Reason::Unreachable,
            _ => Reason::ServersFull,
        };
        let wait = match self.edge.time_to_next_opening(&self.routing.service) {
            Some(opening) => retry_after_pause(opening, jitter()),
            None => retry_after(RETRY_AFTER_BASE, jitter()),
        };
        self.refuse(reason, wait)
    }

    /// Refuses a request for whose service no server takes requests now.
    fn give_up_without_server(&self, wait: Duration) -> Outcome {
        match self.edge.time_to_next_opening(&self.routing.service) {
            Some(opening) => {
                self.refuse(Reason::ServersPaused, retry_after_pause(opening, jitter()))
            }
            None => self.refuse(Reason::NoServer, wait),
        }
    }

    fn timed_out(&mut self) -> Outcome {
        for (key, started, reported) in std::mem::take(&mut self.open_attempts) {
            // An attempt started shortly before the deadline is no evidence against its server.
            if !reported && started.elapsed() >= self.overdue_after() / 2 {
                self.edge.observe(key, Evidence::Overdue);
            }
        }
        self.fail(Reason::TimedOut)
    }

    /// Ends the request because the daemon exits. The responses to later requests of the connection
    /// may be complete, and are written after this one.
    fn end_at_exit(&mut self) -> Outcome {
        if !self.open_attempts.is_empty() {
            return self.fail(Reason::Stopped);
        }
        match self.may_have_run {
            true => self.give_up(AttemptEnd::Unknown),
            false => self.refuse(Reason::Stopping, retry_after(RETRY_AFTER_BASE, jitter())),
        }
    }

    fn deliver(&mut self, reason: Reason) -> Outcome {
        let non_idempotent = self.routing.route.idempotency == Idempotency::NonIdempotent;
        match self.last_response.take() {
            // The status would tell the caller that the request was not run; it may have been.
            Some(r) if non_idempotent && !is_not_run(&r) && implies_not_run(r.head.status) => {
                self.fail(Reason::NoResponse)
            }
            Some(response) => Outcome {
                reason,
                reply: Reply::Upstream {
                    response,
                    method: self.outgoing.head.method.clone(),
                },
            },
            None => self.fail(Reason::NoResponse),
        }
    }

    fn refuse(&self, reason: Reason, retry_after: Duration) -> Outcome {
        let reply = Reply::Local {
            reason,
            retry_after: Some(retry_after),
            request_id: self.outgoing.request_id.clone(),
        };
        Outcome { reason, reply }
    }

    fn fail(&self, reason: Reason) -> Outcome {
        let reply = Reply::local(reason, self.outgoing.request_id.clone());
        Outcome { reason, reply }
    }
}

/// Describes the end of an attempt for the log line of its request, with what tells a response to the
/// attempt from one to an earlier request on the same connection.
fn describe_end(end: AttemptEnd, status: Option<u16>, observations: Observations) -> String {
    let mut text = format!("{}:{}", end_name(end), status.unwrap_or_default());
    if let Some(connection) = observations.connection {
        let kind = if connection.is_reused {
            "reused"
        } else {
            "new"
        };
        text.push_str(&format!(" ({kind} port {}", connection.local_port));
        if observations.skipped_responses > 0 {
            text.push_str(&format!(", skipped {}", observations.skipped_responses));
        }
        text.push(')');
    }
    text
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "served",
        AttemptEnd::Failed => "failed",
        AttemptEnd::NotRun => "not-run",
        AttemptEnd::NotSent => "not-sent",
        AttemptEnd::Unknown => "unknown",
    }
}

/// Whether callers take a status to mean that the request was not run.
fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn is_not_run(response: &UpstreamResponse) -> bool {
    response.head.status == 421 || response.head.headers.get(headers::NOT_RUN).is_some()
}

/// Returns the time for which a server that turned the request away wants no further ones.
fn requested_pause(response: &UpstreamResponse) -> Option<Duration> {
    if response.head.status != 503 {
        return None;
    }
    let seconds: f64 = response
        .head
        .headers
        .text(headers::RETRY_AFTER)?
        .trim()
        .parse()
        .ok()?;
    let pause = Duration::try_from_secs_f64(seconds).ok()?;
    Some(pause.min(PAUSE_MAX))
}

/// Returns how an attempt ended, the evidence that a failure gives about the server, and the
/// response if it is usable.
fn classify(exchange: ExchangeResult) -> (AttemptEnd, Option<Evidence>, Option<UpstreamResponse>) {
    let response = match exchange {
        ExchangeResult::Response(response) => response,
        ExchangeResult::NotSent(error) => {
            tracing::debug!(%error, "forward: request not sent");
            // Without a free descriptor, nothing is known about the server.
            let is_own_limit = error.kind() == std::io::ErrorKind::QuotaExceeded;
            let evidence = (!is_own_limit).then_some(Evidence::Unreachable);
            return (AttemptEnd::NotSent, evidence, None);
        }
        ExchangeResult::Unknown(response_error) => {
            tracing::debug!(error = %response_error, "forward: no usable response");
            let evidence = match response_error {
                ResponseError::ReusedConnectionClosed => None,
                _ => Some(Evidence::Failure),
            };
            return (AttemptEnd::Unknown, evidence, None);
        }
    };
    let status = response.head.status;
    let signed = response.head.headers.get(headers::SIGNATURE).is_some();
    let encoded = response.head.headers.get("content-encoding").is_some();
    if is_not_run(&response) {
        let evidence = match status {
            421 => Evidence::Misdirected,
            _ => Evidence::Shed,
        };
        return (AttemptEnd::NotRun, Some(evidence), Some(response));
    }
    match status {
        200..=299 if !signed || encoded => (AttemptEnd::Unknown, Some(Evidence::Failure), None),
        504 => (AttemptEnd::Failed, Some(Evidence::Overdue), Some(response)),
        500.. => (AttemptEnd::Failed, Some(Evidence::Failure), Some(response)),
        _ => (AttemptEnd::Served, None, Some(response)),
    }
}
