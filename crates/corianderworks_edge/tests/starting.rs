//! A starting daemon keeps its port closed until it is ready. A caller whose connection is refused
//! tries another daemon at once, while one that gets a 503 has to wait.

mod support;

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_edge::caller;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::state::Edge;
use support::{configuration, server_entry, settings};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

/// Time within which the port has to be open once the daemon is ready.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

fn bound_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    socket
}

fn new_edge() -> Arc<Edge> {
    let metrics = Metrics::new().expect("metrics");
    Arc::new(Edge::new(settings(), Arc::new(SystemClock::new()), metrics))
}

#[tokio::test]
async fn connections_are_refused_until_the_daemon_is_ready() {
    let (edge, socket) = (new_edge(), bound_socket());
    let address = socket.local_addr().expect("an address");
    tokio::spawn(caller::open_when_ready(edge.clone(), socket));
    sleep(Duration::from_millis(100)).await;
    assert!(TcpStream::connect(address).await.is_err());
    edge.install_configuration(Arc::new(configuration(1)), None, "test");
    edge.apply_entry(server_entry("s1", address, 4), "test");
    let ready_since = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(ready_since.elapsed() < OPEN_TIMEOUT, "port still closed");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn daemon_without_a_configuration_opens_its_port_after_a_second() {
    let (edge, socket) = (new_edge(), bound_socket());
    let address = socket.local_addr().expect("an address");
    tokio::spawn(caller::open_when_ready(edge, socket));
    let started = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(2), "port closed");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(started.elapsed() >= Duration::from_millis(900));
}
