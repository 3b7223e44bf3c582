//! Daemons of a fleet in the test process, on loopback addresses of their own.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::peers::Peers;
use corianderworks_edge::state::Edge;
use corianderworks_edge::{peer_sync, registration, store_sync};
use corianderworks_platform::store::StoreClient;

use super::settings;

/// Starts the background tasks of a daemon, but no listener for callers. `host` is the last byte
/// of its loopback address.
pub async fn start_daemon(port: u16, host: u8, domain: &str, store: SocketAddr) -> Arc<Edge> {
    let address: IpAddr = IpAddr::from([127, 0, 0, host]);
    let mut settings = settings();
    settings.vm = format!("vm-{host}");
    settings.address = address;
    settings.domain = domain.to_owned();
    settings.callers = SocketAddr::new(address, 80);
    settings.peer_port = port;
    settings.seeds = vec![IpAddr::from([127, 0, 0, 2])];
    settings.store = store;
    let metrics = Metrics::new().expect("metrics");
    let edge = Arc::new(Edge::new(settings, Arc::new(SystemClock::new()), metrics));
    let (peers, incoming) = Peers::bind(SocketAddr::new(address, port)).expect("a peer socket");
    let client = Arc::new(StoreClient::new(store));
    tokio::spawn(registration::register(
        edge.clone(),
        client.clone(),
        peers.clone(),
    ));
    tokio::spawn(store_sync::run(edge.clone(), client, peers.clone()));
    tokio::spawn(peer_sync::run(edge.clone(), peers, incoming));
    let ticking_edge = edge.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            ticking_edge.tick();
        }
    });
    edge
}

pub fn configuration_version(edge: &Edge) -> u64 {
    edge.configuration().map_or(0, |c| c.version.0)
}

/// Number of backend servers of the service in [`super::store::configuration_spec`] that the daemon
/// would send a request to.
pub fn accepting_servers(edge: &Edge) -> usize {
    let now = edge.clock.now();
    edge.lock_state()
        .servers
        .of_service("ledger")
        .filter(|(_, s)| s.accepts_requests(now))
        .count()
}

/// Number of daemons that are up, as the daemon sees them.
pub fn up_count(edge: &Edge) -> usize {
    edge.lock_state().fleet.up_count(edge.clock.now())
}
