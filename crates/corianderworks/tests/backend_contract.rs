//! Contract tests of the outcomes that callers observe under faults of the backend servers.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::backend::{
    BackendSettings, BackendStandIn, Execution, Executions, Mode,
};
use support::{READY_TIMEOUT, RawResponse, Testbed, send_raw};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Deadline that the caller sets for each request.
const DEADLINE_MS: u64 = 400;
/// Requests of each kind under each fault.
const REQUESTS_PER_KIND: usize = 2;

/// Outcome of a request as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ObservedOutcome {
    /// Complete response of the backend server.
    Answered,
    /// Complete error response of the backend server.
    Error,
    /// Truncated response that the caller can recognise as such.
    Truncated,
    NotRun,
    Unknown,
}

use ObservedOutcome::{Answered, Error, NotRun, Truncated, Unknown};

fn classify(response: &RawResponse) -> ObservedOutcome {
    match (
        response.field("cw-outcome"),
        response.status,
        response.complete,
    ) {
        (Some("not-run"), ..) => NotRun,
        (Some("unknown"), ..) => Unknown,
        (_, 200, true) => Answered,
        (_, 400.., true) => Error,
        (_, 200, false) => Truncated,
        _ => panic!("no outcome: {response:?}"),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Read,
    IssuedKey,
    CallerKey,
    NoKey,
}

const KINDS: [RequestKind; 4] = [
    RequestKind::Read,
    RequestKind::IssuedKey,
    RequestKind::CallerKey,
    RequestKind::NoKey,
];

#[derive(Debug, Clone, Copy)]
enum Fault {
    Mode(Mode),
    Silence,
    Drain,
    Busy,
}

/// Name, fault of all backend servers, and the outcomes allowed for reads and for orders.
type Case = (
    &'static str,
    Fault,
    &'static [ObservedOutcome],
    &'static [ObservedOutcome],
);

const fn errors(status: u16, run_share: f64) -> Fault {
    Fault::Mode(Mode::Errors {
        share: 1.0,
        status,
        run_share,
    })
}

/// `Unknown` is allowed beside `Truncated` because a stand-in may close the connection before it
/// has sent the response head. `NotRun` is allowed because requests may be refused once the
/// servers count as unhealthy.
const CASES: [Case; 14] = [
    (
        "healthy",
        Fault::Mode(Mode::Healthy),
        &[Answered],
        &[Answered],
    ),
    (
        "500 before the run",
        errors(500, 0.0),
        &[Error, NotRun],
        &[Error, NotRun],
    ),
    (
        "500 after the run",
        errors(500, 1.0),
        &[Error, NotRun],
        &[Error, NotRun],
    ),
    (
        "503 before the run",
        errors(503, 0.0),
        &[Error, NotRun],
        &[Error, NotRun],
    ),
    ("404 after the run", errors(404, 1.0), &[Error], &[Error]),
    // At the deadline the server aborts the run with 504, unless the daemon times out first.
    (
        "stall",
        Fault::Mode(Mode::Stall { share: 1.0 }),
        &[Unknown, Error, NotRun],
        &[Unknown, Error, NotRun],
    ),
    (
        "slow beyond the deadline",
        Fault::Mode(Mode::Slow { factor: 400.0 }),
        &[Unknown, Error, NotRun],
        &[Unknown, Error, NotRun],
    ),
    (
        "slow within the deadline",
        Fault::Mode(Mode::Slow { factor: 8.0 }),
        &[Answered],
        &[Answered],
    ),
    (
        "truncated",
        Fault::Mode(Mode::Truncate { share: 1.0 }),
        &[Truncated, Unknown, NotRun],
        &[Truncated, Unknown, NotRun],
    ),
    (
        "out of order",
        Fault::Mode(Mode::OutOfOrder { window_ms: 20 }),
        &[Answered],
        &[Answered],
    ),
    (
        "flapping",
        Fault::Mode(Mode::Flap {
            up_ms: 30,
            down_ms: 30,
        }),
        &[Answered, Error, NotRun],
        &[Answered, Error, NotRun],
    ),
    // A read that waits in the server's own queue is overdue before the server refuses it. The
    // daemon abandons it and can't know that it did not run; an order is never abandoned.
    ("shedding", Fault::Busy, &[NotRun, Unknown], &[NotRun]),
    // Near the end, because each owner detects on its own that its connections are silent.
    (
        "silent connections",
        Fault::Silence,
        &[Answered, Unknown],
        &[Answered, Unknown],
    ),
    (
        "vanished",
        Fault::Mode(Mode::Vanished),
        &[Unknown, NotRun],
        &[Unknown, NotRun],
    ),
];

/// Run in a separate fleet: a daemon never uses a server again that has announced its drain.
const DRAINING: [Case; 1] = [(
    "draining",
    Fault::Drain,
    &[Answered, NotRun],
    &[Answered, NotRun],
)];

/// Request that was sent, with the outcome that its caller observed.
struct SentRequest {
    case: &'static str,
    kind: RequestKind,
    check: String,
    outcome: ObservedOutcome,
}

/// Fleet under test and the requests sent to it.
struct FaultTest {
    testbed: Testbed,
    /// Connections that occupy the slots of the servers, so that they shed requests.
    slot_holders: Vec<TcpStream>,
    sent: Vec<SentRequest>,
}

impl FaultTest {
    async fn start(daemons: usize) -> Self {
        Self {
            testbed: Testbed::start(daemons, BackendSettings::default()).await,
            slot_holders: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn stand_ins(&self) -> impl Iterator<Item = &BackendStandIn> {
        self.testbed
            .fleet
            .backends
            .iter()
            .map(|backend| &backend.stand_in)
    }

    async fn apply(&mut self, fault: Fault) {
        let stand_ins: Vec<BackendStandIn> = self.stand_ins().cloned().collect();
        for stand_in in stand_ins {
            match fault {
                Fault::Mode(mode) => stand_in.set_mode(mode),
                Fault::Silence => stand_in.silence_connections(),
                Fault::Drain => stand_in.start_drain(),
                Fault::Busy => {
                    stand_in.set_mode(Mode::Stall { share: 1.0 });
                    let busy = stand_in.stats().busy;
                    for _ in busy..8 {
                        let mut slot_holder = TcpStream::connect(stand_in.address()).await.unwrap();
                        let hold = b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n";
                        slot_holder.write_all(hold).await.unwrap();
                        self.slot_holders.push(slot_holder);
                    }
                    support::wait_until("all slots are busy", || stand_in.stats().busy == 8).await;
                    stand_in.set_mode(Mode::Healthy);
                }
            }
        }
    }

    /// Ends the fault and waits until five consecutive requests succeed.
    async fn recover(&mut self, case: &str) {
        self.slot_holders.clear();
        for stand_in in self.stand_ins() {
            stand_in.set_mode(Mode::Healthy);
        }
        let start = Instant::now();
        let mut successes = 0;
        while successes < 5 {
            assert!(start.elapsed() < READY_TIMEOUT, "no recovery after {case}");
            let response = self.exchange("GET", "/ordering", "").await;
            successes = if response.status == 200 {
                successes + 1
            } else {
                0
            };
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn exchange(&self, method: &str, path: &str, fields: &str) -> RawResponse {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n{fields}\r\n"
        );
        send_raw(self.testbed.entry().http_address, text.as_bytes()).await
    }

    async fn issue_key_prefix(&self) -> String {
        let response = self.exchange("POST", "/v1/keys", "").await;
        let issued: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        issued["key_prefix"].as_str().unwrap().to_owned()
    }

    /// Sends one request, checks its outcome against `allowed` and repeats it if it has a key.
    async fn run_request(
        &mut self,
        case: &'static str,
        kind: RequestKind,
        allowed: &[ObservedOutcome],
    ) {
        let check = format!("check-{}", self.sent.len());
        let key = match kind {
            RequestKind::IssuedKey => Some(format!("{}{check}", self.issue_key_prefix().await)),
            RequestKind::CallerKey => Some(format!("own-{check}")),
            RequestKind::Read | RequestKind::NoKey => None,
        };
        let mut fields = format!("cw-check: {check}\r\ncw-deadline-ms: {DEADLINE_MS}\r\n");
        if let Some(key) = &key {
            fields += &format!("idempotency-key: {key}\r\ncw-attempt: first\r\n");
        }
        let (method, path) = match kind {
            RequestKind::Read => ("GET", "/ordering?size=200000"),
            _ => ("POST", "/ordering/orders?size=200000"),
        };
        let response = self.exchange(method, path, &fields).await;
        let outcome = classify(&response);
        assert!(
            allowed.contains(&outcome),
            "{case}, {kind:?}: {outcome:?} is not in {allowed:?}: {response:?}"
        );
        if let Some(key) = &key {
            let state = self.exchange("GET", &format!("/v1/keys/{key}"), "").await;
            let state = String::from_utf8_lossy(&state.body).into_owned();
            let not_run = state.contains("not-run");
            assert!(
                !not_run || outcome == NotRun,
                "{case}, {kind:?}: {outcome:?}, key {state}"
            );
            // Repeating the request must never run the order a second time.
            self.exchange(method, path, &fields.replace("first", "again"))
                .await;
        }
        let outcome = match (kind, &key) {
            // The repetition of a request that was not run may run.
            (_, Some(_)) if outcome == NotRun => Unknown,
            _ => outcome,
        };
        self.sent.push(SentRequest {
            case,
            kind,
            check,
            outcome,
        });
    }

    /// Checks the number of executions of each order sent so far.
    fn check_executions(&self) {
        let mut merged = Executions::default();
        for stand_in in self.stand_ins() {
            merged.merge(&stand_in.executions());
        }
        for sent in self
            .sent
            .iter()
            .filter(|sent| sent.kind != RequestKind::Read)
        {
            let Execution { started, .. } = merged
                .by_check
                .get(&sent.check)
                .copied()
                .unwrap_or_default();
            let is_allowed = match sent.outcome {
                Answered | Truncated => started == 1,
                NotRun => started == 0,
                Error | Unknown => started <= 1,
            };
            let SentRequest {
                case,
                kind,
                outcome,
                ..
            } = sent;
            assert!(
                is_allowed,
                "{case}, {kind:?}: {outcome:?} with {started} executions"
            );
        }
    }
}

async fn run_cases(daemons: usize, cases: &[Case]) {
    let mut test = FaultTest::start(daemons).await;
    for &(case, fault, reads, orders) in cases {
        test.apply(fault).await;
        for kind in KINDS {
            let allowed = if kind == RequestKind::Read {
                reads
            } else {
                orders
            };
            for _ in 0..REQUESTS_PER_KIND {
                test.run_request(case, kind, allowed).await;
            }
        }
        test.check_executions();
        if !matches!(
            fault,
            Fault::Drain | Fault::Silence | Fault::Mode(Mode::Vanished)
        ) {
            test.recover(case).await;
        }
    }
    test.check_executions();
}

/// Guards against orders that run twice, requests that ran although they were reported as not
/// run, and truncated responses that look complete, at a daemon that is the home itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcomes_are_correct_under_every_fault_direct() {
    run_cases(1, &CASES).await;
    run_cases(1, &DRAINING).await;
}

/// Guards against the same failures for relayed requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcomes_are_correct_under_every_fault_relayed() {
    run_cases(6, &CASES).await;
    run_cases(6, &DRAINING).await;
}

/// Guards against abandoning late reads when the retry budget is empty, which fails requests that
/// slow servers answer within the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_reads_are_answered_when_no_retry_is_left() {
    let mut test = FaultTest::start(1).await;
    // Latencies of healthy servers, against which the later reads are overdue.
    for _ in 0..40 {
        let response = test.exchange("GET", "/ordering", "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    test.apply(errors(500, 0.0)).await;
    for _ in 0..12 {
        test.exchange("GET", "/ordering", "").await;
    }
    test.apply(Fault::Mode(Mode::Slow { factor: 32.0 })).await;
    let fields = "cw-deadline-ms: 2000\r\n";
    for read in 0..6 {
        let response = test.exchange("GET", "/ordering", fields).await;
        let outcome = classify(&response);
        assert_eq!(outcome, Answered, "read {read}: {response:?}");
    }
}
