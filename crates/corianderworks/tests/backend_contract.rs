//! Contract of the outcomes towards callers under faults of the backend servers.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::backend::{
    BackendSettings, BackendStandIn, Execution, Executions, Mode,
};
use support::{READY_TIMEOUT, RawResponse, Testbed, send_raw};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time that the caller gives each request.
const DEADLINE_MS: u64 = 400;
/// Requests of each kind under each fault.
const REQUESTS: usize = 2;

/// Outcome as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// Complete response of the backend server.
    Answered,
    /// Complete error response of the backend server.
    Error,
    /// Response that is visibly cut off.
    Cut,
    NotRun,
    Unknown,
}

use Class::{Answered, Cut, Error, NotRun, Unknown};

fn classify(got: &RawResponse) -> Class {
    match (got.field("cw-outcome"), got.status, got.complete) {
        (Some("not-run"), ..) => NotRun,
        (Some("unknown"), ..) => Unknown,
        (_, 200, true) => Answered,
        (_, 400.., true) => Error,
        (_, 200, false) => Cut,
        _ => panic!("no outcome: {got:?}"),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    IssuedKey,
    OwnKey,
    NoKey,
}

const KINDS: [Kind; 4] = [Kind::Read, Kind::IssuedKey, Kind::OwnKey, Kind::NoKey];

#[derive(Debug, Clone, Copy)]
enum Fault {
    Mode(Mode),
    Silence,
    Drain,
    Busy,
}

/// Fault of all backend servers, and the outcomes it allows: reads, orders.
type Case = (&'static str, Fault, &'static [Class], &'static [Class]);

const fn errors(status: u16, run_share: f64) -> Fault {
    Fault::Mode(Mode::Errors {
        share: 1.0,
        status,
        run_share,
    })
}

/// A stand-in that breaks off before it has sent its head leaves no response to cut, hence
/// `Unknown` beside `Cut`. Once servers are judged unhealthy a request may be refused instead, hence `NotRun`.
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
    // At the deadline the server stops the run with 504, unless the daemon is first.
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
        &[Cut, Unknown, NotRun],
        &[Cut, Unknown, NotRun],
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
    // daemon gives it up and can't know that it did not run; an order is never given up.
    ("shedding", Fault::Busy, &[NotRun, Unknown], &[NotRun]),
    // Last: each owner finds out on its own that its connections are silent.
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

/// In a fleet of its own: a daemon takes no server back that has said that it leaves.
const DRAINING: [Case; 1] = [(
    "draining",
    Fault::Drain,
    &[Answered, NotRun],
    &[Answered, NotRun],
)];

/// Order that was sent, with the outcome that its caller saw.
struct Sent {
    case: &'static str,
    kind: Kind,
    check: String,
    class: Class,
}

struct Bench {
    testbed: Testbed,
    /// Connections that keep the slots of a shedding server busy.
    hogs: Vec<TcpStream>,
    sent: Vec<Sent>,
}

impl Bench {
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
                        let mut hog = TcpStream::connect(stand_in.address()).await.unwrap();
                        let hold = b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n";
                        hog.write_all(hold).await.unwrap();
                        self.hogs.push(hog);
                    }
                    support::wait_until("all slots are busy", || stand_in.stats().busy == 8).await;
                    stand_in.set_mode(Mode::Healthy);
                }
            }
        }
    }

    /// Takes the fault back and waits until requests are answered again.
    async fn recover(&mut self, case: &str) {
        self.hogs.clear();
        for stand_in in self.stand_ins() {
            stand_in.set_mode(Mode::Healthy);
        }
        let start = Instant::now();
        let mut streak = 0;
        while streak < 5 {
            assert!(start.elapsed() < READY_TIMEOUT, "no recovery after {case}");
            let got = self.exchange("GET", "/ordering", "").await;
            streak = if got.status == 200 { streak + 1 } else { 0 };
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn exchange(&self, method: &str, path: &str, fields: &str) -> RawResponse {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: a\r\ncw-customer: customer-0\r\nconnection: close\r\n{fields}\r\n"
        );
        send_raw(self.testbed.entry().http_address, text.as_bytes()).await
    }

    async fn prefix(&self) -> String {
        let got = self.exchange("POST", "/v1/keys", "").await;
        let issued: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
        issued["key_prefix"].as_str().unwrap().to_owned()
    }

    async fn request(&mut self, case: &'static str, kind: Kind, allowed: &[Class]) {
        let check = format!("check-{}", self.sent.len());
        let key = match kind {
            Kind::IssuedKey => Some(format!("{}{check}", self.prefix().await)),
            Kind::OwnKey => Some(format!("own-{check}")),
            Kind::Read | Kind::NoKey => None,
        };
        let mut fields = format!("cw-check: {check}\r\ncw-deadline-ms: {DEADLINE_MS}\r\n");
        if let Some(key) = &key {
            fields += &format!("idempotency-key: {key}\r\ncw-attempt: first\r\n");
        }
        let (method, path) = match kind {
            Kind::Read => ("GET", "/ordering?size=200000"),
            _ => ("POST", "/ordering/orders?size=200000"),
        };
        let got = self.exchange(method, path, &fields).await;
        let class = classify(&got);
        assert!(
            allowed.contains(&class),
            "{case}, {kind:?}: {class:?} is not in {allowed:?}: {got:?}"
        );
        if let Some(key) = &key {
            let state = self.exchange("GET", &format!("/v1/keys/{key}"), "").await;
            let state = String::from_utf8_lossy(&state.body).into_owned();
            let not_run = state.contains("not-run");
            assert!(
                !not_run || class == NotRun,
                "{case}, {kind:?}: {class:?}, key {state}"
            );
            // A repeat must never run the order a second time.
            self.exchange(method, path, &fields.replace("first", "again"))
                .await;
        }
        let class = match (kind, &key) {
            // The repeat of a request that was not run may run.
            (_, Some(_)) if class == NotRun => Unknown,
            _ => class,
        };
        self.sent.push(Sent {
            case,
            kind,
            check,
            class,
        });
    }

    /// Checks the executions of all orders sent so far.
    fn check_executions(&self) {
        let mut all = Executions::default();
        for stand_in in self.stand_ins() {
            all.merge(&stand_in.executions());
        }
        for sent in self.sent.iter().filter(|sent| sent.kind != Kind::Read) {
            let Execution { started, .. } =
                all.by_check.get(&sent.check).copied().unwrap_or_default();
            let right = match sent.class {
                Answered | Cut => started == 1,
                NotRun => started == 0,
                Error | Unknown => started <= 1,
            };
            let Sent {
                case, kind, class, ..
            } = sent;
            assert!(
                right,
                "{case}, {kind:?}: {class:?} with {started} executions"
            );
        }
    }
}

async fn run_cases(daemons: usize, cases: &[Case]) {
    let testbed = Testbed::start(daemons, BackendSettings::default()).await;
    let mut bench = Bench {
        testbed,
        hogs: Vec::new(),
        sent: Vec::new(),
    };
    for &(case, fault, reads, orders) in cases {
        bench.apply(fault).await;
        for kind in KINDS {
            let allowed = if kind == Kind::Read { reads } else { orders };
            for _ in 0..REQUESTS {
                bench.request(case, kind, allowed).await;
            }
        }
        bench.check_executions();
        if !matches!(
            fault,
            Fault::Drain | Fault::Silence | Fault::Mode(Mode::Vanished)
        ) {
            bench.recover(case).await;
        }
    }
    bench.check_executions();
}

/// Guards against orders that run twice, requests that ran although they were refused as
/// not run, and cut-off responses that look complete, at a daemon that is itself the home.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcomes_are_true_under_every_fault_direct() {
    run_cases(1, &CASES).await;
    run_cases(1, &DRAINING).await;
}

/// As above, relayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outcomes_are_true_under_every_fault_relayed() {
    run_cases(6, &CASES).await;
    run_cases(6, &DRAINING).await;
}
