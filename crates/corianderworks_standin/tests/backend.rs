//! Behaviour of the backend stand-in over HTTP/1.1 and HTTP/2, with and without
//! faults.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::backend::{
    BackendSettings, BackendStandIn, BackendStats, HealthReport, Mode, PathFault, ServiceTime,
};
use corianderworks_standin::body::SeededBytes;
use support::{HttpClient, HttpResponse, is_pending, loopback_any_port, with_timeout};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const STALL_ALL: Mode = Mode::Stall { share: 1.0 };
const POST_HEADERS: &[(&str, &str)] = &[
    ("cw-check", "c1"),
    ("idempotency-key", "k1"),
    ("cw-request-id", "r1"),
];

fn settings() -> BackendSettings {
    BackendSettings {
        service_time: constant_service_time(0.0),
        ..BackendSettings::default()
    }
}

fn constant_service_time(ms: f64) -> ServiceTime {
    ServiceTime {
        median_ms: ms,
        sigma: 0.0,
        max_ms: 10_000.0,
    }
}

async fn start(settings: BackendSettings) -> BackendStandIn {
    BackendStandIn::start(loopback_any_port(), settings)
        .await
        .expect("start")
}

fn clients(backend: &BackendStandIn) -> [HttpClient; 2] {
    [
        HttpClient::http1(backend.address()),
        HttpClient::http2(backend.address()),
    ]
}

/// Sends a request in the background and returns once the statistics meet the
/// condition.
async fn send_in_background(
    backend: &BackendStandIn,
    http: &HttpClient,
    condition: impl Fn(BackendStats) -> bool,
) -> tokio::task::JoinHandle<Result<HttpResponse, String>> {
    let http = http.clone();
    let task = tokio::spawn(async move { http.send("POST", "/x", POST_HEADERS, "").await });
    wait_for_stats(backend, condition).await;
    task
}

async fn wait_for_stats(backend: &BackendStandIn, condition: impl Fn(BackendStats) -> bool) {
    with_timeout(async {
        while !condition(backend.stats()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// A response must carry the check id and the hashes of its request and body, so that a
/// misdirected or altered response is detected.
#[tokio::test]
async fn response_identifies_its_request() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        for size in [0_u64, 1, 16_384, 100_001] {
            let path = format!("/a?size={size}");
            let headers = [("cw-check", "id-7")];
            let response = with_timeout(http.send("PUT", &path, &headers, "sent"))
                .await
                .unwrap();
            let mut expected = Vec::new();
            let mut bytes = SeededBytes::new("id-7", size);
            while let Some(frame) = bytes.next_frame() {
                expected.extend_from_slice(&frame);
            }
            assert_eq!(response.body, expected, "size {size}");
            assert_eq!(response.header("cw-echo-id"), Some("id-7"));
            let hash = blake3::hash(&expected).to_hex();
            assert_eq!(response.header("cw-body-blake3"), Some(hash.as_str()));
            let hash = blake3::hash(b"sent").to_hex();
            assert_eq!(response.header("cw-request-blake3"), Some(hash.as_str()));
        }
        let response = with_timeout(http.send("GET", "/a/b", &[("cw-check", "id-8")], ""))
            .await
            .unwrap();
        assert_eq!(response.json()["check"], "id-8");
        let hash = blake3::hash(&response.body).to_hex();
        assert_eq!(response.header("cw-body-blake3"), Some(hash.as_str()));
    }
    assert_ne!(
        SeededBytes::new("a", 9).hash(),
        SeededBytes::new("b", 9).hash()
    );
}

/// Each execution must be counted once under each identifier of its request. Idempotent
/// requests must not be counted by check id.
#[tokio::test]
async fn executions_are_counted() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        with_timeout(http.send("POST", "/x", POST_HEADERS, ""))
            .await
            .unwrap();
        with_timeout(http.send("GET", "/x", &[("cw-check", "c2")], ""))
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

/// No more requests may be processed at the same time than there are slots, and a shed
/// request must not be executed.
#[tokio::test]
async fn requests_beyond_the_slots_and_queue_are_shed() {
    let backend = start(BackendSettings {
        queue: 1,
        queue_ms: 2_000,
        ..settings()
    })
    .await;
    backend.set_mode(STALL_ALL);
    let http = HttpClient::http1(backend.address());
    let _first = send_in_background(&backend, &http, |s| s.busy == 1).await;
    let _second = send_in_background(&backend, &http, |s| s.busy == 2).await;
    let queued = send_in_background(&backend, &http, |s| s.waiting == 1).await;
    let shed_immediately = with_timeout(http.send("POST", "/x", POST_HEADERS, ""))
        .await
        .unwrap();
    let shed_after_wait = with_timeout(queued).await.unwrap().unwrap();
    for response in [shed_immediately, shed_after_wait] {
        assert_eq!(response.status, 503);
        assert_eq!(response.header("cw-outcome"), Some("not-run"));
    }
    let stats = backend.stats();
    assert_eq!(
        (stats.started, stats.shed, stats.busy_peak, stats.waiting),
        (2, 2, 2, 0)
    );
    assert_eq!(backend.executions().by_key["k1"].started, 2);
}

/// When the client disconnects, its request must be cancelled and its slot released.
#[tokio::test]
async fn execution_is_cancelled_when_the_client_disconnects() {
    let backend = start(settings()).await;
    backend.set_mode(STALL_ALL);
    for (cancelled, http) in clients(&backend).into_iter().enumerate() {
        let call = send_in_background(&backend, &http, |s| s.busy == 1).await;
        call.abort();
        wait_for_stats(&backend, |s| {
            s.busy == 0 && s.cancelled == cancelled as u64 + 1
        })
        .await;
    }
    assert_eq!(backend.executions().by_key["k1"].finished, 0);
}

/// An execution must be aborted at its deadline. Only a request that never started may
/// be refused as `not-run`.
#[tokio::test]
async fn deadlines_are_enforced() {
    let backend = start(BackendSettings {
        slots: 1,
        queue_ms: 5_000,
        service_time: constant_service_time(1_000.0),
        ..settings()
    })
    .await;
    let http = HttpClient::http1(backend.address());
    let running = send_in_background(&backend, &http, |s| s.busy == 1).await;
    let headers = [("cw-deadline-ms", "5"), ("idempotency-key", "late")];
    let late = with_timeout(http.send("POST", "/x", &headers, ""))
        .await
        .unwrap();
    assert_eq!(
        (late.status.as_u16(), late.header("cw-outcome")),
        (503, Some("not-run"))
    );
    assert_eq!(with_timeout(running).await.unwrap().unwrap().status, 200);
    assert!(!backend.executions().by_key.contains_key("late"));
    let headers = [("cw-deadline-ms", "100"), ("idempotency-key", "stopped")];
    let stopped = with_timeout(http.send("POST", "/x", &headers, ""))
        .await
        .unwrap();
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

/// A drain must be announced to clients of both protocols and must not interrupt a
/// request in flight.
#[tokio::test]
async fn drain_is_announced_and_interrupts_nothing() {
    for http2 in [false, true] {
        let backend = start(BackendSettings {
            service_time: constant_service_time(200.0),
            ..settings()
        })
        .await;
        let http = clients(&backend)[usize::from(http2)].clone();
        let before = with_timeout(http.get("/x")).await.unwrap();
        assert_eq!(before.header("cw-drain"), None);
        let running = send_in_background(&backend, &http, |s| s.busy == 1).await;
        backend.start_drain();
        let finished = with_timeout(running).await.unwrap().unwrap();
        assert_eq!(
            (finished.status.as_u16(), finished.header("cw-drain")),
            (200, Some("1"))
        );
        let close = finished.header("connection");
        assert_eq!(close, (!http2).then_some("close"));
        assert_eq!(
            with_timeout(http.get("/load")).await.unwrap().json()["draining"],
            true
        );
        assert_eq!(
            backend.stats().connections_accepted,
            2,
            "the draining connection was reused"
        );
        assert_eq!(backend.stats().requests_since_drain, 0);
        with_timeout(http.get("/x")).await.unwrap();
        assert_eq!(backend.stats().requests_since_drain, 1);
        assert!(backend.stats().last_request_since_drain.is_some());
    }
}

/// Runs each mode over both protocols and checks what the caller observes and how often
/// the request is executed. The health endpoint must return 200 in every mode except
/// `Vanished`, or the simulated gray failures would be visible to health checks.
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
        (STALL_ALL, "nothing", 1),
        (Mode::Slow { factor: 1_000.0 }, "nothing", 1),
        (Mode::Truncate { share: 1.0 }, "incomplete", 1),
        (flap(0, 60_000), "500", 0),
        (flap(60_000, 60_000), "200", 1),
        (Mode::Vanished, "nothing", 0),
    ];
    let run_case = async |(mode, expected_result, expected_executions): (Mode, &str, u64),
                          http2: bool| {
        let backend = start(BackendSettings {
            service_time: constant_service_time(10.0),
            ..settings()
        })
        .await;
        backend.set_mode(mode);
        let http = clients(&backend)[usize::from(http2)].clone();
        let call = http.send("POST", "/x?size=100000", POST_HEADERS, "");
        // Far longer than any request that gets a response.
        let result = match tokio::time::timeout(Duration::from_secs(3), call).await {
            Err(_) => "nothing".to_owned(),
            Ok(Err(_)) => "incomplete".to_owned(),
            Ok(Ok(response)) => response.status.as_str().to_owned(),
        };
        assert_eq!(result, expected_result, "{mode:?} http2 {http2}");
        let executions = backend
            .executions()
            .by_key
            .get("k1")
            .map_or(0, |e| e.started);
        assert_eq!(executions, expected_executions, "{mode:?} http2 {http2}");
        let new_client = HttpClient::http1(backend.address());
        if mode == Mode::Vanished {
            assert!(is_pending(new_client.get("/health"), Duration::from_millis(200)).await);
        } else {
            assert_eq!(
                with_timeout(new_client.get("/health"))
                    .await
                    .unwrap()
                    .status,
                200,
                "{mode:?}"
            );
        }
        backend.set_mode(Mode::Healthy);
        let new_client = HttpClient::http1(backend.address());
        assert_eq!(
            with_timeout(new_client.get("/x")).await.unwrap().status,
            200,
            "{mode:?} afterwards"
        );
    };
    let cases = cases
        .into_iter()
        .flat_map(|case| [run_case(case, false), run_case(case, true)]);
    futures_util::future::join_all(cases).await;
}

/// Responses on HTTP/2 must arrive out of order, so that a client that matches them to
/// requests by order fails. HTTP/1.1 responses must not be held back.
#[tokio::test]
async fn responses_arrive_out_of_order_on_http2() {
    let backend = start(settings()).await;
    let http = HttpClient::http2(backend.address());
    backend.set_mode(Mode::OutOfOrder { window_ms: 60_000 });
    let held_back = send_in_background(&backend, &http, |s| s.finished == 1).await;
    assert!(!held_back.is_finished());
    let second = with_timeout(http.send("GET", "/x", &[("cw-check", "c2")], ""))
        .await
        .unwrap();
    assert_eq!(second.header("cw-echo-id"), Some("c2"));
    let held_back = with_timeout(held_back).await.unwrap().unwrap();
    assert_eq!(held_back.header("cw-echo-id"), Some("c1"));
    assert_eq!(backend.stats().connections_accepted, 1);
    let http = HttpClient::http1(backend.address());
    assert_eq!(
        with_timeout(http.get("/x")).await.unwrap().status,
        200,
        "held back on HTTP/1.1"
    );
}

/// A path fault must affect only its clients, and only until it ends.
#[tokio::test]
async fn path_faults_affect_their_clients_only() {
    let backend = start(settings()).await;
    let unaffected_client = HttpClient::http1(backend.address());
    let affected_client = || HttpClient::from_address(backend.address(), [127, 0, 0, 9]);
    let before = affected_client();
    assert_eq!(with_timeout(before.get("/x")).await.unwrap().status, 200);
    let fault = |mode| PathFault {
        clients: vec![[127, 0, 0, 9].into()],
        mode,
    };
    backend.set_path_faults(vec![fault(Mode::Flap {
        up_ms: 0,
        down_ms: 1,
    })]);
    assert_eq!(with_timeout(before.get("/x")).await.unwrap().status, 500);
    assert_eq!(
        with_timeout(unaffected_client.get("/x"))
            .await
            .unwrap()
            .status,
        200
    );
    backend.set_path_faults(vec![fault(Mode::Vanished)]);
    for unreachable in [before, affected_client()] {
        assert!(is_pending(unreachable.get("/x"), Duration::from_millis(200)).await);
    }
    assert_eq!(
        with_timeout(unaffected_client.get("/x"))
            .await
            .unwrap()
            .status,
        200
    );
    backend.set_path_faults(vec![]);
    assert_eq!(
        with_timeout(affected_client().get("/x"))
            .await
            .unwrap()
            .status,
        200
    );
}

/// A silenced connection must neither recover nor report an error, and new connections
/// must work.
#[tokio::test]
async fn silent_connections_stay_silent() {
    let backend = start(settings()).await;
    for http in clients(&backend) {
        with_timeout(http.get("/x")).await.unwrap();
        let silenced = http.clone();
        backend.silence_connections();
        assert!(is_pending(silenced.get("/x"), Duration::from_millis(200)).await);
        let new_client = HttpClient::http1(backend.address());
        assert_eq!(
            with_timeout(new_client.get("/x")).await.unwrap().status,
            200
        );
    }
}

/// The stand-in must not accept more connections than a real backend server, and closed
/// connections must not count towards the limit.
#[tokio::test]
async fn connections_are_limited() {
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
    wait_for_stats(&backend, |s| s.connections == 2).await;
    let mut third = connect().await;
    let read = with_timeout(third.read(&mut [0; 1])).await;
    assert!(matches!(read, Ok(0) | Err(_)));
    assert_eq!(backend.stats().connections_refused, 1);
    drop(first);
    wait_for_stats(&backend, |s| s.connections == 1).await;
    let http = HttpClient::http1(backend.address());
    assert_eq!(with_timeout(http.get("/x")).await.unwrap().status, 200);
    backend.stop().await;
    assert!(TcpStream::connect(backend.address()).await.is_err());
}

/// Health probes and cold starts must take their configured time. The load endpoint must
/// lag, and the health endpoint must report a wrong status where configured.
#[tokio::test]
async fn health_and_load_endpoints_can_be_stale_or_wrong() {
    let measure = async |http: &HttpClient, path: &str| {
        let start_time = Instant::now();
        let response = with_timeout(http.get(path)).await.unwrap();
        (start_time.elapsed(), response)
    };
    let backend = start(BackendSettings {
        service_time: constant_service_time(10.0),
        cold_start_ms: 1_000_000,
        cold_factor: 20.0,
        load_lag_ms: 60_000,
        load_bias: 1,
        ..settings()
    })
    .await;
    let http = HttpClient::http1(backend.address());
    let (probe, _) = measure(&http, "/health").await;
    assert!(probe >= Duration::from_millis(25));
    let (cold, _) = measure(&http, "/x").await;
    assert!(cold >= Duration::from_millis(150));
    assert_eq!(
        with_timeout(http.get("/load")).await.unwrap().json()["busy"],
        1
    );
    backend.set_mode(STALL_ALL);
    let _running = send_in_background(&backend, &http, |s| s.busy == 1).await;
    assert_eq!(
        with_timeout(http.get("/load")).await.unwrap().json()["busy"],
        1
    );
    let cases = [
        (HealthReport::Truthful, Mode::Healthy, 200),
        (HealthReport::Truthful, STALL_ALL, 503),
        (HealthReport::AlwaysUnhealthy, Mode::Healthy, 503),
        (HealthReport::AlwaysHealthy, STALL_ALL, 200),
    ];
    for (health, mode, status) in cases {
        let backend = start(BackendSettings {
            health,
            mode,
            ..settings()
        })
        .await;
        let http = HttpClient::http1(backend.address());
        assert_eq!(
            with_timeout(http.get("/health")).await.unwrap().status,
            status,
            "{health:?}"
        );
    }
}
