//! A starting daemon sends no caller away that another daemon would serve.

mod support;

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_edge::caller;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::state::Edge;
use support::{configuration, settings};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

/// Time in which a connection must be possible once the daemon can serve.
const OPEN_WITHIN: Duration = Duration::from_millis(200);

fn bound() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any).expect("a free port");
    socket
}

fn daemon() -> Arc<Edge> {
    let metrics = Metrics::new().expect("metrics");
    Arc::new(Edge::new(settings(), Arc::new(SystemClock::new()), metrics))
}

#[tokio::test]
async fn connections_are_refused_until_the_daemon_can_serve() {
    let (edge, socket) = (daemon(), bound());
    let address = socket.local_addr().expect("an address");
    tokio::spawn(caller::open_when_ready(edge.clone(), socket));
    sleep(Duration::from_millis(100)).await;
    assert!(TcpStream::connect(address).await.is_err());
    edge.install_configuration(Arc::new(configuration(1)), None, "test");
    let entry = ServerEntry {
        id: "s1".into(),
        started_unix_ms: 1,
        service: "ledger".into(),
        address,
        domain: "a".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    };
    edge.apply_entry(entry, "test");
    let can_serve_since = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(can_serve_since.elapsed() < OPEN_WITHIN, "port still closed");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_daemon_that_learns_nothing_answers_after_a_second() {
    let (edge, socket) = (daemon(), bound());
    let address = socket.local_addr().expect("an address");
    tokio::spawn(caller::open_when_ready(edge, socket));
    let started = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(2), "port closed");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(started.elapsed() >= Duration::from_millis(900));
}
