//! What callers sent and what backend servers ran, and the promises about both.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time within which no new work may reach a server that drains.
const DRAIN_MAX: Duration = Duration::from_millis(2_000);
/// Time on this machine between the store's acknowledgement and the check.
const DRAIN_SLACK: Duration = Duration::from_millis(500);
/// Time after a fault of the store or a daemon for which the drain bound does not hold.
const CALM: Duration = Duration::from_millis(4_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// The connection ended without a response.
    Closed,
    /// No response until the caller's deadline.
    Late,
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub once: bool,
    pub path: String,
    pub body: String,
    pub vm: usize,
    pub at: Instant,
    pub end: Option<(End, Instant)>,
}

#[derive(Debug, Clone)]
pub struct Ran {
    pub server: String,
    pub service: String,
    pub path: String,
    pub body: String,
    pub at: Instant,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    pub sent: Mutex<HashMap<String, Sent>>,
    pub ran: Mutex<HashMap<String, Vec<Ran>>>,
    /// When servers began to drain.
    pub drained: Mutex<HashMap<String, Instant>>,
    /// Services that any configuration allows, by path prefix.
    pub allowed: Mutex<HashMap<String, HashSet<String>>>,
    /// Faults of daemons that excuse a lost response, by VM.
    pub struck: Mutex<Vec<(usize, Instant)>>,
    /// Start and end of faults that make drains late.
    pub disturbed: Mutex<Vec<(Instant, Instant)>>,
    pub violations: Mutex<Vec<String>>,
}

impl Ledger {
    pub fn violation(&self, text: String) {
        self.violations.lock().push(text);
    }

    /// Notes that a server drains; false if it does already.
    pub fn begin_drain(&self, id: &str) -> bool {
        let mut drained = self.drained.lock();
        drained.insert(id.to_owned(), Instant::now()).is_none()
    }

    /// Compares what was sent with what ran.
    pub fn reconcile(&self) {
        let sent = self.sent.lock().clone();
        let ran = self.ran.lock().clone();
        for (id, runs) in &ran {
            match sent.get(id) {
                None => self.violation(format!("UNASKED {id}: {runs:?}")),
                Some(request) => self.check_runs(id, request, runs),
            }
        }
        for (id, request) in &sent {
            let runs = ran.get(id).map_or(0, Vec::len);
            if let Some((End::Closed, at)) = request.end {
                self.check_closed(id, request, at, runs);
            }
        }
    }

    fn check_runs(&self, id: &str, request: &Sent, runs: &[Ran]) {
        if request.once && runs.len() > 1 {
            self.violation(format!("TWICE {id}: {runs:?}"));
        }
        if request.once && matches!(request.end, Some((End::Refused, _))) {
            self.violation(format!("REFUSED {id}: {runs:?}"));
        }
        let allowed = self.allowed.lock();
        let drained = self.drained.lock();
        for run in runs {
            if run.path != request.path || run.body != request.body {
                self.violation(format!("UNASKED {id}: sent {request:?}, ran {run:?}"));
            }
            let prefix = run.path.rsplit_once('/').map_or("/", |(p, _)| p);
            let services = allowed.get(&format!("{prefix}/"));
            if services.is_none_or(|s| !s.contains(&run.service)) {
                self.violation(format!("ROUTE {id}: {run:?}"));
            }
            let since = drained.get(&run.server);
            let late = since.is_some_and(|at| run.at > *at + DRAIN_MAX + DRAIN_SLACK);
            if late && request.at > run.at - CALM && !self.was_disturbed(run.at) {
                self.violation(format!("DRAIN {id}: {run:?}, draining since {since:?}"));
            }
        }
    }

    fn check_closed(&self, id: &str, request: &Sent, at: Instant, runs: usize) {
        let struck = self.struck.lock();
        let excused = struck
            .iter()
            .any(|(vm, when)| *vm == request.vm && *when <= at && *when + CALM * 2 >= request.at);
        if !excused && runs > 0 {
            self.violation(format!("LOST {id}: {request:?}"));
        }
    }

    fn was_disturbed(&self, at: Instant) -> bool {
        let disturbed = self.disturbed.lock();
        disturbed
            .iter()
            .any(|(from, to)| *from <= at && at <= *to + CALM)
    }

    /// Number of requests by how they ended, and of the attempts that servers ran.
    pub fn ends(&self) -> String {
        let sent = self.sent.lock();
        let count = |end: End| {
            let ends = sent.values().filter_map(|s| s.end);
            ends.filter(|(e, _)| *e == end).count()
        };
        let ran = self.ran.lock();
        let more = ran.values().filter(|r| r.len() > 1).count();
        format!(
            "{} served, {} refused, {} failed, {} closed, {} late; {more} ran more than once",
            count(End::Served),
            count(End::Refused),
            count(End::Failed),
            count(End::Closed),
            count(End::Late)
        )
    }

    /// Share of the requests sent since `since` that were served.
    pub fn served_share(&self, since: Instant) -> (usize, f64) {
        let sent = self.sent.lock();
        let ends: Vec<_> = sent.values().filter(|s| s.at >= since).collect();
        let served = |s: &&&Sent| matches!(s.end, Some((End::Served, _)));
        let share = ends.iter().filter(served).count() as f64 / ends.len().max(1) as f64;
        (ends.len(), share)
    }
}
