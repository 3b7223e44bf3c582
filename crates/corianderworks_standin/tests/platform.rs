//! Contract of the platform stand-in.

mod support;

use std::time::{Duration, Instant};

use corianderworks_standin::budget::Budget;
use corianderworks_standin::platform::{
    Cut, PlatformFault, PlatformSettings, PlatformStandIn, Vm, VmKind, VmState,
};
use support::{Http, any, is_pending, soon};

const CREATE: (&str, &str) = ("if-none-match", "*");

async fn start(settings: PlatformSettings) -> (PlatformStandIn, Http) {
    let platform = PlatformStandIn::start(any(), settings)
        .await
        .expect("start");
    let http = Http::http1(platform.address());
    (platform, http)
}

fn if_match(version: u64) -> String {
    format!("\"{version}\"")
}

/// Guards against a lost update: a write may only succeed on the version that
/// the writer saw.
#[tokio::test]
async fn writes_are_conditional() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let created = soon(http.send("PUT", "/objects/a/b", &[CREATE], "one"))
        .await
        .unwrap();
    assert_eq!(created.status, 200);
    let first = created.version();
    assert_eq!(created.json()["version"], first);
    let again = soon(http.send("PUT", "/objects/a/b", &[CREATE], "x"))
        .await
        .unwrap();
    assert_eq!((again.status.as_u16(), again.version()), (412, first));
    let matching = if_match(first);
    let headers = [("if-match", matching.as_str())];
    let second = soon(http.send("PUT", "/objects/a/b", &headers, "two"))
        .await
        .unwrap();
    assert!(second.version() > first);
    let late = soon(http.send("PUT", "/objects/a/b", &headers, "x"))
        .await
        .unwrap();
    assert_eq!(late.status, 412);
    let late = soon(http.send("DELETE", "/objects/a/b", &headers, ""))
        .await
        .unwrap();
    assert_eq!(late.status, 412);
    let read = soon(http.get("/objects/a/b")).await.unwrap();
    assert_eq!(
        (read.version(), read.body.as_ref()),
        (second.version(), b"two".as_ref())
    );
    let matching = if_match(second.version());
    let headers = [("if-match", matching.as_str())];
    let deleted = soon(http.send("DELETE", "/objects/a/b", &headers, ""))
        .await
        .unwrap();
    assert_eq!(deleted.status, 200);
    assert_eq!(soon(http.get("/objects/a/b")).await.unwrap().status, 404);
    let recreated = soon(http.send("PUT", "/objects/a/b", &[CREATE], "one"))
        .await
        .unwrap();
    assert!(
        recreated.version() > deleted.version(),
        "a version was repeated"
    );
    assert_eq!(platform.counts().conflicts, 3);
}

/// Guards against calls outside the protocol that pass by accident.
#[tokio::test]
async fn malformed_calls_are_refused() {
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
            vec![CREATE, ("if-match", "\"1\"")],
            "",
            400,
        ),
        ("PUT", "/objects/a", vec![CREATE], "nine byte", 413),
        ("PUT", "/objects/", vec![CREATE], "", 404),
        ("POST", "/objects/a", vec![CREATE], "", 404),
        ("GET", "/watch/a?after=x", vec![], "", 400),
        ("GET", "/objects/a", vec![], "", 404),
    ];
    for (method, path, headers, body, status) in cases {
        let answer = soon(http.send(method, path, &headers, body)).await.unwrap();
        assert_eq!(answer.status, status, "{method} {path} {headers:?}");
    }
}

/// Guards against a watch that misses a change or returns an old version.
#[tokio::test]
async fn watch_returns_the_next_version() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let first = platform.write("m", "one");
    let seen = soon(http.get("/watch/m?after=0&wait_ms=1000"))
        .await
        .unwrap();
    assert_eq!((seen.status.as_u16(), seen.version()), (200, first));
    let path = format!("/watch/m?after={first}&wait_ms=40");
    assert_eq!(soon(http.get(&path)).await.unwrap().status, 204);
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
    let seen = soon(waiting).await.unwrap().unwrap();
    assert_eq!(
        (seen.version(), seen.body.as_ref()),
        (second, b"two".as_ref())
    );
    assert_eq!(platform.counts().pending_watches, 0);
}

/// Guards against a list that leaks other prefixes or deleted objects, and
/// against a VM list without lag.
#[tokio::test]
async fn lists_show_the_prefix_and_vms_lag() {
    let settings = PlatformSettings {
        vm_lag_ms: 150,
        ..PlatformSettings::default()
    };
    let (platform, http) = start(settings).await;
    let (b, a) = (platform.write("p/b", "1"), platform.write("p/a", "1"));
    platform.write("q/a", "1");
    let listed = soon(http.get("/list/p/")).await.unwrap().json();
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
    let shown = loop {
        let shown = soon(http.get("/vms")).await.unwrap().json();
        if shown != serde_json::json!([]) {
            break shown;
        }
        assert!(changed.elapsed() < Duration::from_secs(5), "never visible");
    };
    assert!(changed.elapsed() >= Duration::from_millis(150), "no lag");
    assert_eq!(shown[0]["state"], "leaving");
    assert_eq!(serde_json::from_value::<Vec<Vm>>(shown).unwrap(), [vm]);
}

/// Guards against a budget that is not enforced or not counted.
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
            let answer = soon(http.send(method, "/objects/a", &headers, "")).await;
            statuses.push(answer.unwrap().status.as_u16());
        }
        assert_eq!(statuses[..2], [allowed; 2], "{method}");
        assert_eq!(statuses[7], 429, "{method}");
    }
    let counts = platform.counts();
    assert_eq!((counts.reads, counts.writes), (8, 8));
    assert!(counts.over_budget >= 2);
    assert_eq!(counts.by_client.values().sum::<u64>(), 16);
}

/// Guards against a bucket that refills too fast or ignores pending watches.
#[test]
fn budget_refills_at_its_rate() {
    let mut budget = Budget::new(100, Duration::from_millis(50));
    let taken = |budget: &mut Budget, ms, pending| {
        let now = Duration::from_millis(ms);
        (0..200).filter(|_| budget.try_take(now, pending)).count()
    };
    assert_eq!(taken(&mut budget, 0, 0), 5);
    assert_eq!(taken(&mut budget, 20, 0), 2);
    assert_eq!(taken(&mut budget, 60, 50), 2);
    assert_eq!(taken(&mut budget, 1_060, 100), 0);
    assert_eq!(taken(&mut budget, 9_000, 0), 5);
    assert_eq!(taken(&mut budget, 8_000, 0), 0);
}

/// Every fault at every call: what the caller sees and whether a write took
/// effect. Guards against a fault that hides its effect.
#[tokio::test]
async fn fault_matrix() {
    #[derive(Debug, PartialEq, Clone, Copy)]
    enum Seen {
        Status(u16),
        Closed,
        Nothing,
    }
    let none = PlatformFault::default();
    let cases = [
        (
            "none",
            none.clone(),
            Seen::Status(200),
            Seen::Status(200),
            true,
        ),
        (
            "outage",
            PlatformFault {
                outage: true,
                ..none.clone()
            },
            Seen::Status(503),
            Seen::Status(503),
            false,
        ),
        (
            "reset",
            PlatformFault {
                reset: true,
                ..none.clone()
            },
            Seen::Closed,
            Seen::Closed,
            false,
        ),
        (
            "lost response",
            PlatformFault {
                lost_response_share: 1.0,
                ..none.clone()
            },
            Seen::Status(200),
            Seen::Closed,
            true,
        ),
        (
            "calls cut",
            PlatformFault {
                cut: Some(Cut::Calls),
                ..none.clone()
            },
            Seen::Nothing,
            Seen::Nothing,
            false,
        ),
        (
            "responses cut",
            PlatformFault {
                cut: Some(Cut::Responses),
                ..none.clone()
            },
            Seen::Nothing,
            Seen::Nothing,
            true,
        ),
        (
            "slow",
            PlatformFault {
                delay_ms: 5_000,
                ..none.clone()
            },
            Seen::Nothing,
            Seen::Nothing,
            false,
        ),
        (
            "other client",
            PlatformFault {
                outage: true,
                clients: vec!["127.0.0.9".parse().unwrap()],
                ..none.clone()
            },
            Seen::Status(200),
            Seen::Status(200),
            true,
        ),
    ];
    let check = async |(name, fault, on_read, on_write, effect)| {
        let (platform, http) = start(PlatformSettings::default()).await;
        let version = if_match(platform.write("r", "old"));
        platform.write("d", "old");
        let stored = if_match(platform.read("d").expect("just written").0);
        platform.set_fault(fault);
        let observe = async |method, path, headers: &[(&str, &str)], expected| {
            // Far above the duration of any call that is answered.
            let wait = Duration::from_secs(2);
            let call = http.send(method, path, headers, "new");
            let seen = match tokio::time::timeout(wait, call).await {
                Err(_) => Seen::Nothing,
                Ok(Err(_)) => Seen::Closed,
                Ok(Ok(answer)) => Seen::Status(answer.status.as_u16()),
            };
            assert_eq!(seen, expected, "{name}: {method} {path}");
        };
        let reads = [
            "/objects/r",
            "/watch/r?after=0&wait_ms=50",
            "/list/",
            "/vms",
        ];
        let reads = reads.map(|path| observe("GET", path, &[], on_read));
        let update = [("if-match", version.as_str())];
        let delete = [("if-match", stored.as_str())];
        tokio::join!(
            futures_util::future::join_all(reads),
            observe("PUT", "/objects/w", &[CREATE], on_write),
            observe("PUT", "/objects/r", &update, on_write),
            observe("DELETE", "/objects/d", &delete, on_write),
        );
        let new = platform.read("r").expect("never deleted").1 == "new";
        let effects = [
            platform.read("w").is_some(),
            new,
            platform.read("d").is_none(),
        ];
        assert_eq!(effects, [effect; 3], "{name}: effects");
        platform.set_fault(PlatformFault::default());
        let fresh = Http::http1(platform.address());
        let after = soon(fresh.get("/objects/r")).await.unwrap();
        assert_eq!(after.status, 200, "{name}: afterwards");
    };
    futures_util::future::join_all(cases.map(check)).await;
}

/// Guards against stale reads that return nothing stale, and against a stale
/// watch that sees the change at once.
#[tokio::test]
async fn stale_reads_return_an_older_version() {
    let (platform, http) = start(PlatformSettings::default()).await;
    let old = platform.write("m", "one");
    platform.write("m", "two");
    platform.set_fault(PlatformFault {
        stale_share: 1.0,
        ..PlatformFault::default()
    });
    let read = soon(http.get("/objects/m")).await.unwrap();
    assert_eq!((read.version(), read.body.as_ref()), (old, b"one".as_ref()));
    let watch = http.get("/watch/m?after=0&wait_ms=5000");
    assert!(is_pending(watch, Duration::from_millis(100)).await);
}
