//! Requests that callers sent, their executions by backend servers, and the checks of the
//! guarantees about both.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::backend::PAUSE;

/// Time limit, counted from the start of a drain, after which no new request may reach the
/// server.
const DRAIN_MAX: Duration = Duration::from_millis(2_000);
/// Tolerance for the delay, on this machine, between the store's acknowledgement of a drain and
/// the check.
const DRAIN_SLACK: Duration = Duration::from_millis(500);
/// Time after a fault of the store or a daemon for which `DRAIN_MAX` is not checked.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// Time after the request for a pause from which on requests are counted, and how many of one VM may
/// reach the server until the end of the pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
const PAUSE_ARRIVALS_MAX: usize = 2;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// The connection was closed without a response.
    Closed,
    /// No response arrived before the caller's deadline.
    TimedOut,
    /// The request was sent behind another one whose response closed the connection.
    Unread,
}

#[derive(Debug, Clone)]
pub struct SentRequest {
    pub non_idempotent: bool,
    pub path: String,
    pub body: String,
    pub vm: usize,
    pub at: Instant,
    pub end: Option<(End, Instant)>,
    /// When the caller got a response whose server said that it is leaving.
    pub leaving_seen_at: Option<Instant>,
}

#[derive(Debug, Clone)]
pub struct Execution {
    pub server: String,
    pub service: String,
    pub path: String,
    pub body: String,
    pub at: Instant,
}

/// Record of all requests, executions and faults of one seed.
#[derive(Debug, Default)]
pub struct History {
    pub sent: Mutex<HashMap<String, SentRequest>>,
    pub executions: Mutex<HashMap<String, Vec<Execution>>>,
    /// Time at which each server started to drain, by server id.
    pub drain_starts: Mutex<HashMap<String, Instant>>,
    /// Time at which each server began to say in its responses that it is leaving, by server id.
    pub leaving_starts: Mutex<HashMap<String, Instant>>,
    /// Requests that reached a server: server id, request id and time.
    pub arrivals: Mutex<Vec<(String, String, Instant)>>,
    /// Requests that a server answered by asking for a pause.
    pub pauses: Mutex<Vec<(String, String, Instant)>>,
    /// Services to which any configuration of the run routes a path prefix.
    pub allowed_services: Mutex<HashMap<String, HashSet<String>>>,
    /// Service to which the last configuration routes each path prefix.
    pub routed_services: Mutex<HashMap<String, String>>,
    /// Time from which on that configuration has to be in force everywhere; `None` before.
    pub configured_at: Mutex<Option<Instant>>,
    /// VM and time of daemon faults, which may explain a lost response.
    pub daemon_faults: Mutex<Vec<(usize, Instant)>>,
    /// Start and end of faults, which may delay the effect of a drain.
    pub fault_periods: Mutex<Vec<(Instant, Instant)>>,
    pub violations: Mutex<Vec<String>>,
}

impl History {
    pub fn record_violation(&self, text: String) {
        self.violations.lock().push(text);
    }

    /// Records that a server starts to drain; returns false if it is already draining.
    pub fn begin_drain(&self, id: &str) -> bool {
        let mut drain_starts = self.drain_starts.lock();
        drain_starts.insert(id.to_owned(), Instant::now()).is_none()
    }

    pub fn is_draining(&self, id: &str) -> bool {
        self.drain_starts.lock().contains_key(id)
    }

    /// Records that a server says from now on that it is leaving; returns false if it already does.
    pub fn begin_leaving(&self, id: &str) -> bool {
        let mut leaving_starts = self.leaving_starts.lock();
        let now = Instant::now();
        leaving_starts.insert(id.to_owned(), now).is_none()
    }

    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving_starts.lock().contains_key(id)
    }

    pub fn record_arrival(&self, server: &str, request: &str) {
        let arrival = (server.to_owned(), request.to_owned(), Instant::now());
        self.arrivals.lock().push(arrival);
    }

    pub fn record_pause(&self, server: &str, request: &str) {
        let pause = (server.to_owned(), request.to_owned(), Instant::now());
        self.pauses.lock().push(pause);
    }

    /// Returns the requests of a VM that reached a server, with the times of their arrival.
    fn arrivals_of(&self, server: &str, vm: usize) -> Vec<(SentRequest, Instant)> {
        let sent = self.sent.lock();
        let arrivals = self.arrivals.lock();
        let of_server = arrivals.iter().filter(|(s, _, _)| s == server);
        of_server
            .filter_map(|(_, id, at)| sent.get(id).map(|r| (r.clone(), *at)))
            .filter(|(request, _)| request.vm == vm)
            .collect()
    }

    fn has_daemon_fault(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let daemon_faults = self.daemon_faults.lock();
        let mut faults = daemon_faults.iter();
        faults.any(|(faulty, at)| *faulty == vm && *at + SETTLE_TIME >= from && *at <= to)
    }

    /// Checks that a VM to which a server said that it is leaving, or that it wants a pause, sends
    /// no more requests to it.
    fn check_announcements(&self) {
        let leaving_starts = self.leaving_starts.lock().clone();
        let vms: HashSet<usize> = self.sent.lock().values().map(|r| r.vm).collect();
        for server in leaving_starts.keys() {
            for vm in &vms {
                let arrivals = self.arrivals_of(server, *vm);
                let told_at = arrivals.iter().filter_map(|(r, _)| r.leaving_seen_at).min();
                let Some(told_at) = told_at else {
                    continue;
                };
                let bound = told_at + DRAIN_MAX + DRAIN_SLACK;
                for (request, at) in arrivals.iter().filter(|(r, _)| r.at > bound) {
                    if !self.has_daemon_fault(*vm, told_at, *at) {
                        self.record_violation(format!(
                            "DRAIN {server}: request of vm {vm} after it left: {}, sent {:?} and \
                             arrived {:?} after the VM was told",
                            request.path,
                            request.at - told_at,
                            *at - told_at
                        ));
                    }
                }
            }
        }
        for (server, request, at) in self.pauses.lock().clone() {
            let Some(vm) = self.sent.lock().get(&request).map(|r| r.vm) else {
                continue;
            };
            let pause = at + PAUSE_SLACK..at + PAUSE;
            let arrivals = self.arrivals_of(&server, vm);
            let count = arrivals.iter().filter(|a| pause.contains(&a.1)).count();
            if count > PAUSE_ARRIVALS_MAX && !self.has_daemon_fault(vm, at, pause.end) {
                let text = format!("BUDGET {server}: {count} requests of vm {vm} in a pause");
                self.record_violation(text);
            }
        }
    }

    /// Compares the requests that callers sent with their executions and records each violation.
    pub fn check_all(&self) {
        self.check_announcements();
        let sent = self.sent.lock().clone();
        let executions = self.executions.lock().clone();
        for (id, request_executions) in &executions {
            match sent.get(id) {
                None => self.record_violation(format!(
                    "UNASKED {id}: no caller sent this request: {request_executions:?}"
                )),
                Some(request) => self.check_executions(id, request, request_executions),
            }
        }
        for (id, request) in &sent {
            let request_executions = executions.get(id).map_or(0, Vec::len);
            if let Some((End::Closed | End::Unread, at)) = request.end {
                self.check_closed(id, request, at, request_executions);
            }
        }
    }

    fn check_executions(&self, id: &str, request: &SentRequest, request_executions: &[Execution]) {
        if request.non_idempotent && request_executions.len() > 1 {
            self.record_violation(format!(
                "TWICE {id}: not idempotent, executed more than once: {request_executions:?}"
            ));
        }
        if request.non_idempotent && matches!(request.end, Some((End::Refused, _))) {
            self.record_violation(format!(
                "REFUSED {id}: refused although executed: {request_executions:?}"
            ));
        }
        let is_configured = self.configured_at.lock().is_some_and(|at| request.at > at);
        let allowed_services = self.allowed_services.lock();
        let routed_services = self.routed_services.lock();
        let drain_starts = self.drain_starts.lock();
        for execution in request_executions {
            if execution.path != request.path || execution.body != request.body {
                self.record_violation(format!(
                    "UNASKED {id}: sent {request:?}, executed {execution:?}"
                ));
            }
            let prefix = execution.path.rsplit_once('/').map_or("/", |(p, _)| p);
            let services = allowed_services.get(&format!("{prefix}/"));
            if services.is_none_or(|s| !s.contains(&execution.service)) {
                self.record_violation(format!(
                    "ROUTE {id}: no configuration routes this path to the service: {execution:?}"
                ));
            }
            let routed = routed_services.get(&format!("{prefix}/"));
            if is_configured && routed != Some(&execution.service) {
                self.record_violation(format!(
                    "CONFIG {id}: the last configuration routes to {routed:?}: {execution:?}"
                ));
            }
            let since = drain_starts.get(&execution.server);
            let late = since.is_some_and(|at| execution.at > *at + DRAIN_MAX + DRAIN_SLACK);
            if late
                && request.at > execution.at - SETTLE_TIME
                && !self.is_near_fault_period(execution.at)
            {
                self.record_violation(format!(
                    "DRAIN {id}: {execution:?}, draining since {since:?}"
                ));
            }
        }
    }

    fn check_closed(
        &self,
        id: &str,
        request: &SentRequest,
        at: Instant,
        request_executions: usize,
    ) {
        let daemon_faults = self.daemon_faults.lock();
        let explained_by_fault = daemon_faults.iter().any(|(vm, when)| {
            *vm == request.vm && *when <= at && *when + SETTLE_TIME * 2 >= request.at
        });
        if !explained_by_fault && request_executions > 0 {
            self.record_violation(format!(
                "LOST {id}: executed, connection closed without a response: {request:?}"
            ));
        }
    }

    fn is_near_fault_period(&self, at: Instant) -> bool {
        let fault_periods = self.fault_periods.lock();
        fault_periods
            .iter()
            .any(|(from, to)| *from <= at && at <= *to + SETTLE_TIME)
    }

    /// Returns the number of requests per end, and of those that were executed more than once.
    pub fn ends(&self) -> String {
        let sent = self.sent.lock();
        let count = |end: End| {
            let ends = sent.values().filter_map(|s| s.end);
            ends.filter(|(e, _)| *e == end).count()
        };
        let executions = self.executions.lock();
        let repeated = executions.values().filter(|r| r.len() > 1).count();
        format!(
            "{} served, {} refused, {} failed, {} closed, {} timed out, {} unread; \
             {repeated} executed more than once",
            count(End::Served),
            count(End::Refused),
            count(End::Failed),
            count(End::Closed),
            count(End::TimedOut),
            count(End::Unread)
        )
    }

    /// Returns the number of requests sent since `since`, and the share of them that was served.
    pub fn served_share(&self, since: Instant) -> (usize, f64) {
        let sent = self.sent.lock();
        let is_measured =
            |s: &&SentRequest| s.at >= since && !matches!(s.end, Some((End::Unread, _)));
        let ends: Vec<_> = sent.values().filter(is_measured).collect();
        let served = |s: &&&SentRequest| matches!(s.end, Some((End::Served, _)));
        let share = ends.iter().filter(served).count() as f64 / ends.len().max(1) as f64;
        (ends.len(), share)
    }
}
