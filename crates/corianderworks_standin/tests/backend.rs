//! Contract of the backend stand-in.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::backend::{
    BackendSettings, BackendStandIn, BackendStats, HealthReport, Mode, PathFault, ServiceTime,
};
use corianderworks_standin::body::SeededBytes;
use support::{Answer, Http, any, is_pending, soon};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const STALL: Mode = Mode::Stall { share: 1.0 };
const POST: &[(&str, &str)] = &[
    ("cw-check", "c1"),
    ("idempotency-key", "k1"),
    ("cw-request-id", "r1"),
];

fn settings() -> BackendSettings {
    BackendSettings {
        service_time: constant(0.0),
        ..BackendSettings::default()
    }
}

fn constant(ms: f64) -> ServiceTime {
    ServiceTime {
        median_ms: ms,
        sigma: 0.0,
        max_ms: 10_000.0,
    }
}

async fn start(settings: BackendSettings) -> BackendStandIn {
    BackendStandIn::start(any(), settings).await.expect("start")
}

fn clients(backend: &BackendStandIn) -> [Http; 2] {
    [
        Http::http1(backend.address()),
        Http::http2(backend.address()),
    ]
}

/// Sends a request in the background and returns once it is counted.
async fn begin(
    backend: &BackendStandIn,
    http: &Http,
    reached: impl Fn(BackendStats) -> bool,
) -> tokio::task::JoinHandle<Result<Answer, String>> {
    let http = http.clone();
    let task = tokio::spawn(async move { http.send("POST", "/x", POST, "").await });
    until(backend, reached).await;
    task
}

async fn until(backend: &BackendStandIn, reached: impl Fn(BackendStats) -> bool) {
    soon(async {
        while !reached(backend.stats()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Guards against a response that does not prove which request it answers.
#[tokio::test]
async fn response_proves_its_request() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        for size in [0_u64, 1, 16_384, 100_001] {
            let path = format!("/a?size={size}");
            let headers = [("cw-check", "id-7")];
            let answer = soon(http.send("PUT", &path, &headers, "sent"))
                .await
                .unwrap();
            let mut expected = Vec::new();
            let mut bytes = SeededBytes::new("id-7", size);
            while let Some(frame) = bytes.next_frame() {
                expected.extend_from_slice(&frame);
            }
            assert_eq!(answer.body, expected, "size {size}");
            assert_eq!(answer.header("cw-echo-id"), Some("id-7"));
            let hash = blake3::hash(&expected).to_hex();
            assert_eq!(answer.header("cw-body-blake3"), Some(hash.as_str()));
            let hash = blake3::hash(b"sent").to_hex();
            assert_eq!(answer.header("cw-request-blake3"), Some(hash.as_str()));
        }
        let answer = soon(http.send("GET", "/a/b", &[("cw-check", "id-8")], ""))
            .await
            .unwrap();
        assert_eq!(answer.json()["check"], "id-8");
        let hash = blake3::hash(&answer.body).to_hex();
        assert_eq!(answer.header("cw-body-blake3"), Some(hash.as_str()));
    }
    assert_ne!(
        SeededBytes::new("a", 9).hash(),
        SeededBytes::new("b", 9).hash()
    );
}

/// Guards against an execution that is not counted, or counted twice.
#[tokio::test]
async fn executions_are_counted() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        soon(http.send("POST", "/x", POST, "")).await.unwrap();
        soon(http.send("GET", "/x", &[("cw-check", "c2")], ""))
            .await
            .unwrap();
    }
    let executions = backend.executions();
    for counted in [
        &executions.by_key["k1"],
        &executions.by_check["c1"],
        &executions.by_request_id["r1"],
    ] {
        assert_eq!((counted.started, counted.finished), (2, 2));
    }
    assert!(!executions.by_check.contains_key("c2"));
    let mut merged = executions.clone();
    merged.merge(&executions);
    assert_eq!(merged.by_key["k1"].started, 4);
}

/// Guards against more requests in flight than slots, and against a shed
/// request that was run.
#[tokio::test]
async fn requests_over_the_slots_are_shed() {
    let backend = start(BackendSettings {
        queue: 1,
        queue_ms: 2_000,
        ..settings()
    })
    .await;
    backend.set_mode(STALL);
    let http = Http::http1(backend.address());
    let _first = begin(&backend, &http, |s| s.busy == 1).await;
    let _second = begin(&backend, &http, |s| s.busy == 2).await;
    let queued = begin(&backend, &http, |s| s.waiting == 1).await;
    let at_once = soon(http.send("POST", "/x", POST, "")).await.unwrap();
    let later = soon(queued).await.unwrap().unwrap();
    for answer in [at_once, later] {
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("cw-outcome"), Some("not-run"));
    }
    let stats = backend.stats();
    assert_eq!(
        (stats.started, stats.shed, stats.busy_peak, stats.waiting),
        (2, 2, 2, 0)
    );
    assert_eq!(backend.executions().by_key["k1"].started, 2);
}

/// Guards against work that goes on, and a slot that stays taken, after the
/// client went away.
#[tokio::test]
async fn work_stops_when_the_client_goes_away() {
    let backend = start(settings()).await;
    backend.set_mode(STALL);
    for (cancelled, http) in clients(&backend).into_iter().enumerate() {
        let call = begin(&backend, &http, |s| s.busy == 1).await;
        call.abort();
        until(&backend, |s| {
            s.busy == 0 && s.cancelled == cancelled as u64 + 1
        })
        .await;
    }
    assert_eq!(backend.executions().by_key["k1"].finished, 0);
}

/// Guards against work past its deadline, and against a late request that is
/// refused as not run although it ran.
#[tokio::test]
async fn deadlines_are_kept() {
    let backend = start(BackendSettings {
        slots: 1,
        queue_ms: 5_000,
        service_time: constant(1_000.0),
        ..settings()
    })
    .await;
    let http = Http::http1(backend.address());
    let running = begin(&backend, &http, |s| s.busy == 1).await;
    let headers = [("cw-deadline-ms", "5"), ("idempotency-key", "late")];
    let late = soon(http.send("POST", "/x", &headers, "")).await.unwrap();
    assert_eq!(
        (late.status.as_u16(), late.header("cw-outcome")),
        (503, Some("not-run"))
    );
    assert_eq!(soon(running).await.unwrap().unwrap().status, 200);
    assert!(!backend.executions().by_key.contains_key("late"));
    let headers = [("cw-deadline-ms", "100"), ("idempotency-key", "stopped")];
    let stopped = soon(http.send("POST", "/x", &headers, "")).await.unwrap();
    assert_eq!(
        (stopped.status.as_u16(), stopped.header("cw-outcome")),
        (504, None)
    );
    let execution = backend.executions().by_key["stopped"];
    assert_eq!((execution.started, execution.finished), (1, 0));
    let stats = backend.stats();
    assert_eq!(
        (stats.late, stats.deadline_stopped, stats.cancelled),
        (1, 1, 0)
    );
}

/// Guards against a drain without a signal, and against a drain that
/// interrupts a request in flight.
#[tokio::test]
async fn drain_is_announced_and_interrupts_nothing() {
    for http2 in [false, true] {
        let backend = start(BackendSettings {
            service_time: constant(200.0),
            ..settings()
        })
        .await;
        let http = clients(&backend)[usize::from(http2)].clone();
        let before = soon(http.get("/x")).await.unwrap();
        assert_eq!(before.header("cw-drain"), None);
        let running = begin(&backend, &http, |s| s.busy == 1).await;
        backend.start_drain();
        let finished = soon(running).await.unwrap().unwrap();
        assert_eq!(
            (finished.status.as_u16(), finished.header("cw-drain")),
            (200, Some("1"))
        );
        let close = finished.header("connection");
        assert_eq!(close, (!http2).then_some("close"));
        assert_eq!(
            soon(http.get("/load")).await.unwrap().json()["draining"],
            true
        );
        assert_eq!(
            backend.stats().connections_accepted,
            2,
            "the old connection was used again"
        );
        assert_eq!(backend.stats().requests_since_drain, 0);
        soon(http.get("/x")).await.unwrap();
        assert_eq!(backend.stats().requests_since_drain, 1);
        assert!(backend.stats().last_request_since_drain.is_some());
    }
}

/// Every mode over both protocols: what a caller of a real request sees, and
/// how often the request was run. The health endpoint stays at 200, except for
/// a VM that is gone. Guards against a gray failure that is visible to probes.
#[tokio::test]
async fn mode_matrix() {
    let errors = |run_share| Mode::Errors {
        share: 1.0,
        status: 502,
        run_share,
    };
    let flap = |up_ms, down_ms| Mode::Flap { up_ms, down_ms };
    let cases = [
        (Mode::Healthy, "200", 1),
        (errors(0.0), "502", 0),
        (errors(1.0), "502", 1),
        (
            Mode::Errors {
                share: 0.0,
                status: 502,
                run_share: 1.0,
            },
            "200",
            1,
        ),
        (STALL, "nothing", 1),
        (Mode::Slow { factor: 1_000.0 }, "nothing", 1),
        (Mode::Truncate { share: 1.0 }, "incomplete", 1),
        (flap(0, 60_000), "500", 0),
        (flap(60_000, 60_000), "200", 1),
        (Mode::Vanished, "nothing", 0),
    ];
    let check = async |(mode, seen, runs): (Mode, &str, u64), http2: bool| {
        let backend = start(BackendSettings {
            service_time: constant(10.0),
            ..settings()
        })
        .await;
        backend.set_mode(mode);
        let http = clients(&backend)[usize::from(http2)].clone();
        let call = http.send("POST", "/x?size=100000", POST, "");
        // Far above the duration of any request that is answered.
        let result = match tokio::time::timeout(Duration::from_secs(3), call).await {
            Err(_) => "nothing".to_owned(),
            Ok(Err(_)) => "incomplete".to_owned(),
            Ok(Ok(answer)) => answer.status.as_str().to_owned(),
        };
        assert_eq!(result, seen, "{mode:?} http2 {http2}");
        let run = backend
            .executions()
            .by_key
            .get("k1")
            .map_or(0, |e| e.started);
        assert_eq!(run, runs, "{mode:?} http2 {http2}");
        let fresh = Http::http1(backend.address());
        if mode == Mode::Vanished {
            assert!(is_pending(fresh.get("/health"), Duration::from_millis(200)).await);
        } else {
            assert_eq!(
                soon(fresh.get("/health")).await.unwrap().status,
                200,
                "{mode:?}"
            );
        }
        backend.set_mode(Mode::Healthy);
        let fresh = Http::http1(backend.address());
        assert_eq!(
            soon(fresh.get("/x")).await.unwrap().status,
            200,
            "{mode:?} afterwards"
        );
    };
    let cases = cases
        .into_iter()
        .flat_map(|case| [check(case, false), check(case, true)]);
    futures_util::future::join_all(cases).await;
}

/// Guards against an HTTP/2 client that matches responses by order.
#[tokio::test]
async fn responses_come_out_of_order_on_http2() {
    let backend = start(settings()).await;
    let http = Http::http2(backend.address());
    backend.set_mode(Mode::OutOfOrder { window_ms: 60_000 });
    let held = begin(&backend, &http, |s| s.finished == 1).await;
    assert!(!held.is_finished());
    let second = soon(http.send("GET", "/x", &[("cw-check", "c2")], ""))
        .await
        .unwrap();
    assert_eq!(second.header("cw-echo-id"), Some("c2"));
    let held = soon(held).await.unwrap().unwrap();
    assert_eq!(held.header("cw-echo-id"), Some("c1"));
    assert_eq!(backend.stats().connections_accepted, 1);
    let http = Http::http1(backend.address());
    assert_eq!(
        soon(http.get("/x")).await.unwrap().status,
        200,
        "held back on HTTP/1.1"
    );
}

/// Guards against a path fault that other clients see too, or that outlasts
/// its end.
#[tokio::test]
async fn path_faults_affect_their_clients_only() {
    let backend = start(settings()).await;
    let near = Http::http1(backend.address());
    let far = || Http::from_address(backend.address(), [127, 0, 0, 9]);
    let before = far();
    assert_eq!(soon(before.get("/x")).await.unwrap().status, 200);
    let fault = |mode| PathFault {
        clients: vec![[127, 0, 0, 9].into()],
        mode,
    };
    backend.set_path_faults(vec![fault(Mode::Flap {
        up_ms: 0,
        down_ms: 1,
    })]);
    assert_eq!(soon(before.get("/x")).await.unwrap().status, 500);
    assert_eq!(soon(near.get("/x")).await.unwrap().status, 200);
    backend.set_path_faults(vec![fault(Mode::Vanished)]);
    for cut in [before, far()] {
        assert!(is_pending(cut.get("/x"), Duration::from_millis(200)).await);
    }
    assert_eq!(soon(near.get("/x")).await.unwrap().status, 200);
    backend.set_path_faults(vec![]);
    assert_eq!(soon(far().get("/x")).await.unwrap().status, 200);
}

/// Guards against a silent connection that recovers or shows an error, and
/// against new connections that are silent too.
#[tokio::test]
async fn silent_connections_stay_silent() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        soon(http.get("/x")).await.unwrap();
        let fresh = http.clone();
        backend.silence_connections();
        assert!(is_pending(fresh.get("/x"), Duration::from_millis(200)).await);
        let fresh = Http::http1(backend.address());
        assert_eq!(soon(fresh.get("/x")).await.unwrap().status, 200);
    }
}

/// Guards against a stand-in that accepts more connections than the real one,
/// and against a cap that counts closed connections.
#[tokio::test]
async fn connections_are_capped() {
    let backend = start(BackendSettings {
        connections: 2,
        ..settings()
    })
    .await;
    let connect = || async {
        TcpStream::connect(backend.address())
            .await
            .expect("connect")
    };
    let first = connect().await;
    let _second = connect().await;
    until(&backend, |s| s.connections == 2).await;
    let mut third = connect().await;
    let read = soon(third.read(&mut [0; 1])).await;
    assert!(matches!(read, Ok(0) | Err(_)));
    assert_eq!(backend.stats().connections_refused, 1);
    drop(first);
    until(&backend, |s| s.connections == 1).await;
    let http = Http::http1(backend.address());
    assert_eq!(soon(http.get("/x")).await.unwrap().status, 200);
    backend.stop().await;
    assert!(TcpStream::connect(backend.address()).await.is_err());
}

/// Guards against probes and cold starts that cost nothing, and against
/// endpoints that report the truth when they should lag or mislead.
#[tokio::test]
async fn endpoints_lag_and_mislead() {
    let elapsed = async |http: &Http, path: &str| {
        let began = Instant::now();
        let answer = soon(http.get(path)).await.unwrap();
        (began.elapsed(), answer)
    };
    let backend = start(BackendSettings {
        service_time: constant(10.0),
        cold_start_ms: 1_000_000,
        cold_factor: 20.0,
        load_lag_ms: 60_000,
        load_bias: 1,
        ..settings()
    })
    .await;
    let http = Http::http1(backend.address());
    let (probe, _) = elapsed(&http, "/health").await;
    assert!(probe >= Duration::from_millis(25));
    let (cold, _) = elapsed(&http, "/x").await;
    assert!(cold >= Duration::from_millis(150));
    assert_eq!(soon(http.get("/load")).await.unwrap().json()["busy"], 1);
    backend.set_mode(STALL);
    let _running = begin(&backend, &http, |s| s.busy == 1).await;
    assert_eq!(soon(http.get("/load")).await.unwrap().json()["busy"], 1);
    let cases = [
        (HealthReport::Truthful, Mode::Healthy, 200),
        (HealthReport::Truthful, STALL, 503),
        (HealthReport::AlwaysUnhealthy, Mode::Healthy, 503),
        (HealthReport::AlwaysHealthy, STALL, 200),
    ];
    for (health, mode, status) in cases {
        let backend = start(BackendSettings {
            health,
            mode,
            ..settings()
        })
        .await;
        let http = Http::http1(backend.address());
        assert_eq!(
            soon(http.get("/health")).await.unwrap().status,
            status,
            "{health:?}"
        );
    }
}
