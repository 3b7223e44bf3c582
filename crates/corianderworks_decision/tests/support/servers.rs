//! Backend servers of simulated fleets.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};

/// Returns the store entry of the server `index` of a service.
pub fn server_entry(index: usize, service: &str, domain: &str, slots: u32) -> ServerEntry {
    ServerEntry {
        id: format!("s{index}").into(),
        revision: 1,
        started_unix_ms: 1_000,
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.into(),
        slots,
        draining: false,
        cold: Duration::ZERO,
    }
}

/// Lists a server that isn't listed yet.
pub fn add_server(servers: &mut Servers, entry: ServerEntry) -> ServerKey {
    match servers.upsert(entry, Duration::ZERO) {
        Change::Added(key) => key,
        other => panic!("{other:?}"),
    }
}
