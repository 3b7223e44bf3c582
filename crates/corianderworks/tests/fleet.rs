//! Fleets in one process: daemons that communicate over QUIC and HTTP, with stand-ins for the
//! platform and the backend servers.

use std::time::{Duration, Instant};

use corianderworks::fleet::{Fleet, ee_north};
use corianderworks_standin::backend::BackendSettings;
use corianderworks_standin::platform::PlatformFault;

/// Limit on the start of a fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

async fn fleet(daemons: usize) -> Fleet {
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_test_writer()
        .try_init();
    let mut fleet = Fleet::start(ee_north(), BackendSettings::default(), 40)
        .await
        .unwrap();
    fleet.add_daemons(daemons).await.unwrap();
    for (_, daemon) in &fleet.daemons {
        tokio::time::timeout(READY_TIMEOUT, daemon.ready())
            .await
            .unwrap();
    }
    wait_until(READY_TIMEOUT, "all daemons see each other", || {
        fleet
            .daemons
            .iter()
            .all(|(_, d)| d.member_count() == daemons && d.version() == 1)
    })
    .await;
    fleet
}

/// Returns the time until the condition held.
async fn wait_until<F>(limit: Duration, what: &str, condition: F) -> Duration
where
    F: Fn() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "timed out after {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    start.elapsed()
}

/// Guards against a list change that reaches some daemon too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn list_change_is_applied_on_40_daemons_within_6_s() {
    let fleet = fleet(40).await;
    fleet.write_lists(2);
    let limit = Duration::from_secs(6);
    let took = wait_until(limit, "all daemons use version 2", || {
        fleet.daemons.iter().all(|(_, d)| d.version() == 2)
    })
    .await;
    println!("in force on 40 daemons after {} ms", took.as_millis());
}

/// Guards against a daemon that needs the platform to start.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn new_daemon_is_ready_within_2_s_while_the_platform_is_down() {
    let mut fleet = fleet(5).await;
    fleet.platform.set_fault(PlatformFault {
        outage: true,
        ..PlatformFault::default()
    });
    let start = Instant::now();
    let index = fleet.add_daemon().await.unwrap();
    let daemon = &fleet.daemons[index].1;
    let ready = tokio::time::timeout(Duration::from_secs(2), daemon.ready()).await;
    assert!(
        ready.is_ok(),
        "not ready within 2 s; version {}",
        daemon.version()
    );
    println!("ready after {} ms", start.elapsed().as_millis());
}

/// Guards against an older list version replacing a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_version_from_the_platform_is_ignored() {
    let fleet = fleet(3).await;
    fleet.write_lists(5);
    wait_until(Duration::from_secs(6), "all daemons use version 5", || {
        fleet.daemons.iter().all(|(_, d)| d.version() == 5)
    })
    .await;
    fleet.write_lists(3);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        assert!(fleet.daemons.iter().all(|(_, d)| d.version() == 5));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
