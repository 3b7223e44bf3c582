//! Behaviour of the platform stand-in over HTTP, with and without faults.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::budget::Budget;
use corianderworks_standin::platform::{
    Cut, PlatformFault, PlatformSettings, PlatformStandIn, Vm, VmKind, VmState,
};
use support::{HttpClient, is_pending, loopback_any_port, with_timeout};

const IF_ABSENT: (&str, &str) = ("if-none-match", "*");

async fn start(settings: PlatformSettings) -> (PlatformStandIn, HttpClient) {
    let platform = PlatformStandIn::start(loopback_any_port(), settings)
        .await
        .expect("start");
    let http = HttpClient::http1(platform.address());
    (platform, http)
}

fn if_match(version: u64) -> String {
    format!("\"{version}\"")
}

/// A write must only succeed on the version that the writer has read. Otherwise
/// concurrent writers would overwrite each other's updates.
#[tokio::test]
async fn writes_are_conditional() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let created = with_timeout(http.send("PUT", "/objects/a/b", &[IF_ABSENT], "one"))
        .await
        .unwrap();
    assert_eq!(created.status, 200);
    let first = created.version();
    assert_eq!(created.json()["version"], first);
    let second_create = with_timeout(http.send("PUT", "/objects/a/b", &[IF_ABSENT], "x"))
        .await
        .unwrap();
    assert_eq!(
        (second_create.status.as_u16(), second_create.version()),
        (412, first)
    );
    let matching = if_match(first);
    let headers = [("if-match", matching.as_str())];
    let second = with_timeout(http.send("PUT", "/objects/a/b", &headers, "two"))
        .await
        .unwrap();
    assert!(second.version() > first);
    let conflicting = with_timeout(http.send("PUT", "/objects/a/b", &headers, "x"))
        .await
        .unwrap();
    assert_eq!(conflicting.status, 412);
    let conflicting = with_timeout(http.send("DELETE", "/objects/a/b", &headers, ""))
        .await
        .unwrap();
    assert_eq!(conflicting.status, 412);
    let read = with_timeout(http.get("/objects/a/b")).await.unwrap();
    assert_eq!(
        (read.version(), read.body.as_ref()),
        (second.version(), b"two".as_ref())
    );
    let matching = if_match(second.version());
    let headers = [("if-match", matching.as_str())];
    let deleted = with_timeout(http.send("DELETE", "/objects/a/b", &headers, ""))
        .await
        .unwrap();
    assert_eq!(deleted.status, 200);
    assert_eq!(
        with_timeout(http.get("/objects/a/b")).await.unwrap().status,
        404
    );
    let recreated = with_timeout(http.send("PUT", "/objects/a/b", &[IF_ABSENT], "one"))
        .await
        .unwrap();
    assert!(
        recreated.version() > deleted.version(),
        "a version was repeated"
    );
    assert_eq!(platform.counts().conflicts, 3);
}

/// Calls that violate the protocol must be rejected with the matching status, not
/// accepted by accident.
#[tokio::test]
async fn malformed_calls_are_rejected() {
    let settings = PlatformSettings {
        value_limit_bytes: 8,
        ..PlatformSettings::default()
    };
    let (_platform, http) = start(settings).await;
    let cases = [
        ("PUT", "/objects/a", vec![], "", 428),
        ("DELETE", "/objects/a", vec![], "", 428),
        ("PUT", "/objects/a", vec![("if-match", "1")], "", 400),
        (
            "PUT",
            "/objects/a",
            vec![IF_ABSENT, ("if-match", "\"1\"")],
            "",
            400,
        ),
        ("PUT", "/objects/a", vec![IF_ABSENT], "nine byte", 413),
        ("PUT", "/objects/", vec![IF_ABSENT], "", 404),
        ("POST", "/objects/a", vec![IF_ABSENT], "", 404),
        ("GET", "/watch/a?after=x", vec![], "", 400),
        ("GET", "/objects/a", vec![], "", 404),
    ];
    for (method, path, headers, body, status) in cases {
        let response = with_timeout(http.send(method, path, &headers, body))
            .await
            .unwrap();
        assert_eq!(response.status, status, "{method} {path} {headers:?}");
    }
}

/// A watch must return the next version of its object. It must neither miss a change
/// nor return an old version or another object.
#[tokio::test]
async fn watch_returns_the_next_version() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let first = platform.write("m", "one");
    let observed = with_timeout(http.get("/watch/m?after=0&wait_ms=1000"))
        .await
        .unwrap();
    assert_eq!((observed.status.as_u16(), observed.version()), (200, first));
    let path = format!("/watch/m?after={first}&wait_ms=40");
    assert_eq!(with_timeout(http.get(&path)).await.unwrap().status, 204);
    let path = format!("/watch/m?after={first}&wait_ms=4000");
    let waiting = tokio::spawn({
        let http = http.clone();
        async move { http.get(&path).await }
    });
    while platform.counts().pending_watches == 0 {
        tokio::task::yield_now().await;
    }
    platform.write("other", "x");
    let second = platform.write("m", "two");
    let observed = with_timeout(waiting).await.unwrap().unwrap();
    assert_eq!(
        (observed.version(), observed.body.as_ref()),
        (second, b"two".as_ref())
    );
    assert_eq!(platform.counts().pending_watches, 0);
}

/// A list must contain only existing objects with the prefix. A change of the VM list
/// must become visible only after the lag.
#[tokio::test]
async fn lists_match_the_prefix_and_the_vm_list_lags() {
    let settings = PlatformSettings {
        vm_lag_ms: 150,
        ..PlatformSettings::default()
    };
    let (platform, http) = start(settings).await;
    let (b, a) = (platform.write("p/b", "1"), platform.write("p/a", "1"));
    platform.write("q/a", "1");
    let listed = with_timeout(http.get("/list/p/")).await.unwrap().json();
    let expected = serde_json::json!([
        {"name": "p/a", "version": a}, {"name": "p/b", "version": b},
    ]);
    assert_eq!(listed, expected);
    let vm = Vm {
        name: "vm-1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "ee-north".into(),
        domain: "keila".into(),
        state: VmState::Leaving,
        kind: VmKind::Backend,
        service: Some("stock".into()),
    };
    let changed = Instant::now();
    platform.set_vms(vec![vm.clone()]);
    let visible_vms = loop {
        let visible_vms = with_timeout(http.get("/vms")).await.unwrap().json();
        if visible_vms != serde_json::json!([]) {
            break visible_vms;
        }
        assert!(changed.elapsed() < Duration::from_secs(5), "never visible");
    };
    assert!(changed.elapsed() >= Duration::from_millis(150), "no lag");
    assert_eq!(visible_vms[0]["state"], "leaving");
    assert_eq!(
        serde_json::from_value::<Vec<Vm>>(visible_vms).unwrap(),
        [vm]
    );
}

/// Calls beyond the budget must be rejected with 429, and every call must be counted.
#[tokio::test]
async fn budget_is_enforced_and_counted() {
    let settings = PlatformSettings {
        reads_per_s: 1,
        writes_per_s: 1,
        burst_ms: 2_000,
        latency_ms: 0,
        ..PlatformSettings::default()
    };
    let (platform, http) = start(settings).await;
    for (method, allowed) in [("GET", 404), ("DELETE", 412)] {
        let headers = [("if-match", "\"7\"")];
        let mut statuses = Vec::new();
        for _ in 0..8 {
            let response = with_timeout(http.send(method, "/objects/a", &headers, "")).await;
            statuses.push(response.unwrap().status.as_u16());
        }
        assert_eq!(statuses[..2], [allowed; 2], "{method}");
        assert_eq!(statuses[7], 429, "{method}");
    }
    let counts = platform.counts();
    assert_eq!((counts.reads, counts.writes), (8, 8));
    assert!(counts.over_budget >= 2);
    assert_eq!(counts.by_client.values().sum::<u64>(), 16);
}

/// The bucket must refill at its rate, reduced by one call per second for each pending
/// watch, and never beyond its capacity.
#[test]
fn budget_refills_at_its_rate() {
    let mut budget = Budget::new(100, Duration::from_millis(50));
    let count_taken = |budget: &mut Budget, ms, pending| {
        let now = Duration::from_millis(ms);
        (0..200).filter(|_| budget.try_take(now, pending)).count()
    };
    assert_eq!(count_taken(&mut budget, 0, 0), 5);
    assert_eq!(count_taken(&mut budget, 20, 0), 2);
    assert_eq!(count_taken(&mut budget, 60, 50), 2);
    assert_eq!(count_taken(&mut budget, 1_060, 100), 0);
    assert_eq!(count_taken(&mut budget, 9_000, 0), 5);
    assert_eq!(count_taken(&mut budget, 8_000, 0), 0);
}

/// Applies each fault to each kind of call and checks what the caller observes and
/// whether a write takes effect. A write whose response is lost must still take effect,
/// and a write that the fault stops must not.
#[tokio::test]
async fn fault_matrix() {
    #[derive(Debug, PartialEq, Clone, Copy)]
    enum Observed {
        Status(u16),
        Closed,
        NoResponse,
    }
    let none = PlatformFault::default();
    let cases = [
        (
            "none",
            none.clone(),
            Observed::Status(200),
            Observed::Status(200),
            true,
        ),
        (
            "outage",
            PlatformFault {
                outage: true,
                ..none.clone()
            },
            Observed::Status(503),
            Observed::Status(503),
            false,
        ),
        (
            "reset",
            PlatformFault {
                reset: true,
                ..none.clone()
            },
            Observed::Closed,
            Observed::Closed,
            false,
        ),
        (
            "lost response",
            PlatformFault {
                lost_response_share: 1.0,
                ..none.clone()
            },
            Observed::Status(200),
            Observed::Closed,
            true,
        ),
        (
            "calls cut",
            PlatformFault {
                cut: Some(Cut::Calls),
                ..none.clone()
            },
            Observed::NoResponse,
            Observed::NoResponse,
            false,
        ),
        (
            "responses cut",
            PlatformFault {
                cut: Some(Cut::Responses),
                ..none.clone()
            },
            Observed::NoResponse,
            Observed::NoResponse,
            true,
        ),
        (
            "slow",
            PlatformFault {
                delay_ms: 5_000,
                ..none.clone()
            },
            Observed::NoResponse,
            Observed::NoResponse,
            false,
        ),
        (
            "other client",
            PlatformFault {
                outage: true,
                clients: vec!["127.0.0.9".parse().unwrap()],
                ..none.clone()
            },
            Observed::Status(200),
            Observed::Status(200),
            true,
        ),
    ];
    let run_case = async |(name, fault, on_read, on_write, effect)| {
        let (platform, http) = start(PlatformSettings::default()).await;
        let version_to_update = if_match(platform.write("r", "old"));
        platform.write("d", "old");
        let version_to_delete = if_match(platform.read("d").expect("just written").0);
        platform.set_fault(fault);
        let expect_result = async |method, path, headers: &[(&str, &str)], expected| {
            // Far longer than any call that gets a response.
            let wait = Duration::from_secs(2);
            let call = http.send(method, path, headers, "new");
            let observed = match tokio::time::timeout(wait, call).await {
                Err(_) => Observed::NoResponse,
                Ok(Err(_)) => Observed::Closed,
                Ok(Ok(response)) => Observed::Status(response.status.as_u16()),
            };
            assert_eq!(observed, expected, "{name}: {method} {path}");
        };
        let reads = [
            "/objects/r",
            "/watch/r?after=0&wait_ms=50",
            "/list/",
            "/vms",
        ];
        let reads = reads.map(|path| expect_result("GET", path, &[], on_read));
        let update = [("if-match", version_to_update.as_str())];
        let delete = [("if-match", version_to_delete.as_str())];
        tokio::join!(
            futures_util::future::join_all(reads),
            expect_result("PUT", "/objects/w", &[IF_ABSENT], on_write),
            expect_result("PUT", "/objects/r", &update, on_write),
            expect_result("DELETE", "/objects/d", &delete, on_write),
        );
        let is_updated = platform.read("r").expect("never deleted").1 == "new";
        let effects = [
            platform.read("w").is_some(),
            is_updated,
            platform.read("d").is_none(),
        ];
        assert_eq!(effects, [effect; 3], "{name}: effects");
        platform.set_fault(PlatformFault::default());
        let new_client = HttpClient::http1(platform.address());
        let after = with_timeout(new_client.get("/objects/r")).await.unwrap();
        assert_eq!(after.status, 200, "{name}: afterwards");
    };
    futures_util::future::join_all(cases.map(run_case)).await;
}

/// A stale read must return an older version, and a stale watch must not report the
/// change.
#[tokio::test]
async fn stale_reads_return_an_older_version() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let old = platform.write("m", "one");
    platform.write("m", "two");
    platform.set_fault(PlatformFault {
        stale_share: 1.0,
        ..PlatformFault::default()
    });
    let read = with_timeout(http.get("/objects/m")).await.unwrap();
    assert_eq!((read.version(), read.body.as_ref()), (old, b"one".as_ref()));
    let watch = http.get("/watch/m?after=0&wait_ms=5000");
    assert!(is_pending(watch, Duration::from_millis(100)).await);
}
