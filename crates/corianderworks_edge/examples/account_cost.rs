//! Measures what the account of connections costs: processor time of one request and of one pass
//! over all connections, and the bytes of its guards.

use std::hint::black_box;
use std::time::{Duration, Instant};

use corianderworks_decision::edge::progress::{Phase, VmLimits};
use corianderworks_edge::account::{
    Account, AdmittedRequest, CallerConnection, DescriptorGuard, MemoryGuard, MemoryKind,
    PendingReplyGuard, RequestSlot, WritingGuard,
};
use corianderworks_edge::metrics::Metrics;

const REQUESTS: u32 = 1_000_000;
const PASSES: u32 = 1_000;
/// Connections of callers that the smallest VM may have.
const CONNECTIONS: usize = 1_900;

/// Does what a request with a small response needs of the account.
fn account_request(account: &std::sync::Arc<Account>, connection: &CallerConnection) {
    connection.set_reading(Phase::Head);
    connection.record_progress(200);
    let mut head = connection.empty_guard(MemoryKind::Connection);
    head.try_grow(500);
    connection.set_reading(Phase::Body);
    connection.set_reading(Phase::Idle);
    let slot = connection.admit_request(true);
    let reply = connection.start_reply();
    let mut response = account.empty_guard(MemoryKind::ResponseBody);
    response.try_grow(1_000);
    connection.assign(&mut response);
    let writing = connection.start_writing();
    connection.record_progress(1_200);
    assert!(matches!(slot, AdmittedRequest::Start(_)));
    drop(black_box((head, slot, response, writing, reply)));
}

fn main() {
    let metrics = Metrics::new().expect("metrics");
    let account = Account::new(VmLimits::new(480_000_000, 4_100), metrics);
    let open = |_| account.open_connection(Duration::ZERO);
    let connections: Vec<_> = (0..CONNECTIONS).filter_map(open).collect();
    let connection = connections.first().expect("a connection");
    let started = Instant::now();
    for _ in 0..REQUESTS {
        account_request(&account, connection);
    }
    println!("request: {:?}", started.elapsed() / REQUESTS);
    let started = Instant::now();
    for pass in 1..=PASSES {
        account.relieve(Duration::from_millis(100) * pass);
    }
    let count = connections.len();
    println!(
        "pass over {count} connections: {:?}",
        started.elapsed() / PASSES
    );
    let guards = 2 * size_of::<MemoryGuard>()
        + size_of::<RequestSlot>()
        + size_of::<WritingGuard>()
        + size_of::<PendingReplyGuard>();
    println!("guards of a request: {guards} bytes");
    println!(
        "guards of a connection: {} bytes, of a connection to a server: {} bytes",
        size_of::<CallerConnection>() + size_of::<MemoryGuard>(),
        size_of::<DescriptorGuard>()
    );
}
