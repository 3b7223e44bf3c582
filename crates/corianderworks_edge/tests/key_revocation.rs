//! Strict revocation of keys at daemons: no request with a withdrawn key may run, whatever has
//! failed, and callers with valid keys must not notice the checks.

mod support;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::clock::{Clock, ManualClock, SystemClock};
use corianderworks_decision::edge::fleet::{DaemonStatus, Member};
use corianderworks_decision::edge::key_permission::{ConfigurationId, Proof};
use corianderworks_decision::edge::organisations::{Organisation, Organisations};
use corianderworks_decision::edge::routes::{ConfigVersion, Configuration};
use corianderworks_edge::metrics::Metrics;
use corianderworks_edge::peers::{Incoming, Message, Peers, StoreUpdate};
use corianderworks_edge::state::Edge;
use corianderworks_edge::{caller, peer_sync, registration, store_sync};
use corianderworks_platform::store::StoreClient;
use corianderworks_wire::codec;
use serde_json::{Value, json};
use support::store::{ResponseMode, Store, configuration_spec, entry_spec, entry_status};
use support::{Action, Backend, Daemon, Response, assert_eventually, get, header, settings};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const REVOCATION: Duration = Duration::from_millis(5_000);
const KEPT_KEY: &str = "key-that-is-kept";
const WITHDRAWN_KEY: &str = "key-that-is-withdrawn";

static NEXT_PORT: AtomicU16 = AtomicU16::new(23_000);

fn with_key(key: &str) -> String {
    get("/read/x", "r1").replacen("\r\n", &format!("\r\nAuthorization: Token {key}\r\n"), 1)
}

/// Daemon in the test process whose clock is set by the test.
struct ManualDaemon {
    daemon: Daemon,
    clock: Arc<ManualClock>,
}

impl ManualDaemon {
    async fn start(backends: &[&Backend]) -> Self {
        let clock = Arc::new(ManualClock::default());
        let mut settings = settings();
        settings.key_revocation = Some(REVOCATION);
        let metrics = Metrics::new().expect("metrics");
        let edge = Arc::new(Edge::new(settings, clock.clone(), metrics));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(caller::accept(edge.clone(), listener));
        let daemon = Daemon { edge, address };
        for (i, backend) in backends.iter().enumerate() {
            daemon.apply_entry(&format!("s{i}"), backend, "a", 1);
        }
        Self { daemon, clock }
    }

    /// Installs a configuration in which the key belongs to an organisation.
    fn install(&self, version: u64, key: &str) {
        let mut organisations = Organisations::new([1; 32]);
        let organisation = Organisation {
            name: "north".into(),
            priority: None,
            limit: None,
        };
        organisations.add(organisation, [key]);
        let configuration: Configuration = support::configuration(version);
        let configuration = configuration.with_organisations(organisations);
        self.daemon
            .edge
            .install_configuration(Arc::new(configuration), None, "test");
    }

    fn prove(&self, version: u64) {
        let proof = Proof {
            configuration: ConfigurationId::new(ConfigVersion(version), &[]),
            queried_at: self.clock.since_boot(),
            age: Duration::ZERO,
        };
        let mut state = self.daemon.edge.lock_state();
        assert!(state.key_permission.record(proof));
    }

    async fn fetch(&self, key: &str) -> Response {
        self.daemon.fetch(&with_key(key)).await
    }
}

fn assert_key_check_expired(response: &Response) {
    assert_eq!(response.status, 503, "{}", response.head);
    assert!(
        response.body.contains("key-check-expired"),
        "{}",
        response.body
    );
    assert!(header(&response.head, "retry-after").is_some());
}

/// `CLOCK_MONOTONIC` does not advance while a VM is suspended, so a permission measured by it would
/// outlast any suspension.
#[tokio::test]
async fn a_suspended_daemon_sends_no_request_until_its_configuration_is_confirmed() {
    let backend = Backend::start([]).await;
    let daemon = ManualDaemon::start(&[&backend]).await;
    daemon.install(1, KEPT_KEY);
    daemon.prove(1);
    assert_eq!(daemon.fetch(KEPT_KEY).await.status, 200);
    daemon.clock.suspend(REVOCATION);
    assert_key_check_expired(&daemon.fetch(KEPT_KEY).await);
    assert_eq!(backend.received_requests().len(), 1);
    daemon.prove(1);
    assert_eq!(daemon.fetch(KEPT_KEY).await.status, 200);
}

/// Connections that callers keep open and requests that they pipeline are checked one by one.
#[tokio::test]
async fn an_open_connection_does_not_keep_the_permission() {
    let backend = Backend::start([]).await;
    let daemon = ManualDaemon::start(&[&backend]).await;
    daemon.install(1, KEPT_KEY);
    daemon.prove(1);
    let mut caller = daemon.daemon.connect().await;
    caller.send(&with_key(KEPT_KEY)).await;
    assert_eq!(caller.response().await.expect("a response").status, 200);
    daemon.clock.suspend(REVOCATION);
    caller.send(&with_key(KEPT_KEY).repeat(2)).await;
    for _ in 0..2 {
        assert_key_check_expired(&caller.response().await.expect("a response"));
    }
    assert_eq!(backend.received_requests().len(), 1);
}

/// A request that was refused by a server waits for its retry, and the permission ends meanwhile.
#[tokio::test]
async fn the_key_is_checked_again_before_a_retry() {
    let refusing = Backend::start([Action::Refuse]).await;
    let daemon = ManualDaemon::start(&[&refusing]).await;
    daemon.install(1, KEPT_KEY);
    daemon.prove(1);
    let (clock, observed) = (daemon.clock.clone(), refusing.clone());
    tokio::spawn(async move {
        while observed.received_requests().is_empty() {
            tokio::task::yield_now().await;
        }
        clock.suspend(REVOCATION);
    });
    assert_key_check_expired(&daemon.fetch(KEPT_KEY).await);
    assert_eq!(refusing.received_requests().len(), 1);
}

/// A configuration without the key arrives while the request waits for its retry.
#[tokio::test]
async fn a_key_is_looked_up_again_before_a_retry() {
    let refusing = Backend::start([Action::Refuse]).await;
    let daemon = ManualDaemon::start(&[&refusing]).await;
    daemon.install(1, WITHDRAWN_KEY);
    daemon.prove(1);
    let request = with_key(WITHDRAWN_KEY);
    let withdraw = async {
        while refusing.received_requests().is_empty() {
            tokio::task::yield_now().await;
        }
        daemon.install(2, KEPT_KEY);
    };
    let (response, ()) = tokio::join!(daemon.daemon.fetch(&request), withdraw);
    assert_eq!(response.status, 401);
    assert_eq!(refusing.received_requests().len(), 1);
}

/// A missing key is no matter of the configuration's age. An unknown one may have been added since.
#[tokio::test]
async fn without_a_permission_only_requests_with_a_key_are_refused_for_now() {
    let backend = Backend::start([]).await;
    let daemon = ManualDaemon::start(&[&backend]).await;
    daemon.install(1, KEPT_KEY);
    assert_key_check_expired(&daemon.fetch(KEPT_KEY).await);
    assert_key_check_expired(&daemon.fetch("unknown").await);
    let without_key = daemon.daemon.fetch(&get("/read/x", "r1")).await;
    assert_eq!(without_key.status, 401);
    daemon.prove(1);
    assert_eq!(daemon.fetch("unknown").await.status, 401);
    assert_eq!(backend.received_requests().len(), 0);
}

/// Callers are directed to daemons with a permission; the platform must not take an outage of the
/// store for a failure of all VMs.
#[tokio::test]
async fn a_daemon_without_a_permission_is_ready_but_named_last() {
    let backend = Backend::start([]).await;
    let daemon = ManualDaemon::start(&[&backend]).await;
    daemon.install(1, KEPT_KEY);
    let edge = &daemon.daemon.edge;
    assert_eq!(edge.status(), DaemonStatus::WithoutKeyPermission);
    assert!(edge.is_ready());
    assert_eq!(edge.addresses_for("a").len(), 1);
    daemon.prove(1);
    assert_eq!(edge.status(), DaemonStatus::Ready);
    let metrics = edge.metrics_text().expect("metrics");
    assert!(metrics.contains("key_permission_remaining_ms"), "{metrics}");
}

/// Daemon with the tasks of a real one, in front of a backend server.
struct FleetDaemon {
    edge: Arc<Edge>,
    daemon: Daemon,
    access: Store,
}

impl FleetDaemon {
    async fn start(port: u16, host: u8, access: Store, revocation: Option<Duration>) -> Self {
        let address: IpAddr = IpAddr::from([127, 0, 0, host]);
        let mut settings = settings();
        settings.vm = format!("vm-{host}");
        settings.address = address;
        settings.peer_port = port;
        settings.first_start = false;
        settings.seeds = vec![IpAddr::from([127, 0, 0, 2])];
        settings.store = access.address;
        settings.key_revocation = revocation;
        let listener = TcpListener::bind(SocketAddr::new(address, 0))
            .await
            .expect("a free port");
        settings.callers = listener.local_addr().expect("an address");
        let metrics = Metrics::new().expect("metrics");
        let edge = Arc::new(Edge::new(settings, Arc::new(SystemClock::new()), metrics));
        let (peers, incoming) = Peers::bind(SocketAddr::new(address, port)).expect("a socket");
        let client = Arc::new(StoreClient::new(access.address));
        let register = registration::register(edge.clone(), client.clone(), peers.clone());
        tokio::spawn(register);
        tokio::spawn(store_sync::run(edge.clone(), client, peers.clone()));
        tokio::spawn(peer_sync::run(edge.clone(), peers, incoming));
        let address = edge.settings.callers;
        tokio::spawn(caller::accept(edge.clone(), listener));
        let daemon = Daemon {
            edge: edge.clone(),
            address,
        };
        Self {
            edge,
            daemon,
            access,
        }
    }

    fn version(&self) -> u64 {
        self.edge.configuration().map_or(0, |c| c.version.0)
    }

    fn has_permission(&self) -> bool {
        let now = self.edge.clock.since_boot();
        let state = self.edge.lock_state();
        state.configuration.is_some() && state.key_permission.is_valid(now)
    }

    fn watches_store(&self) -> bool {
        let now = self.edge.clock.now();
        self.edge.lock_state().fleet.watches_store(now)
    }

    async fn status_of(&self, key: &str) -> u16 {
        self.daemon.fetch(&with_key(key)).await.status
    }
}

/// Four daemons of one domain, each with an address of the store of its own. Two of them watch it.
struct KeyFleet {
    store: Store,
    backend: Backend,
    daemons: Vec<FleetDaemon>,
    port: u16,
}

fn spec_with_keys(version: u64, keys: &[&str]) -> Value {
    let mut spec = configuration_spec(version);
    spec["tenants"] = json!([{"name": "north", "apiKeys": keys}]);
    spec
}

impl KeyFleet {
    async fn start(revocation: Option<Duration>) -> Self {
        Self::with_spec(revocation, spec_with_keys(1, &[KEPT_KEY, WITHDRAWN_KEY])).await
    }

    async fn with_spec(revocation: Option<Duration>, spec: Value) -> Self {
        let store = Store::start().await;
        let backend = Backend::start([]).await;
        store.put("config", "main", spec, Value::Null);
        let address = backend.address.to_string();
        store.put("servers", "s1", entry_spec(&address), entry_status("ready"));
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let mut daemons = Vec::new();
        for host in 2..6 {
            let access = store.open_address().await;
            daemons.push(FleetDaemon::start(port, host, access, revocation).await);
        }
        let up = |d: &FleetDaemon| d.edge.lock_state().fleet.up_count(d.edge.clock.now());
        assert_eventually(Duration::from_secs(8), "complete fleet", || {
            let is_complete = |d: &FleetDaemon| up(d) == 4 && d.edge.is_ready();
            daemons.iter().all(|d| is_complete(d) && d.has_permission())
        })
        .await;
        // Watches of daemons that knew no others end.
        sleep(Duration::from_millis(2_000)).await;
        Self {
            store,
            backend,
            daemons,
            port,
        }
    }

    fn withdraw(&self, version: u64) -> Instant {
        let spec = spec_with_keys(version, &[KEPT_KEY]);
        self.store.put("config", "main", spec, Value::Null);
        Instant::now()
    }

    fn set_store(&self, mode: ResponseMode) {
        let accesses = self.daemons.iter().map(|d| &d.access);
        accesses.for_each(|a| a.set_response_mode(mode));
    }
}

/// In the first seconds after the withdrawal it is the usual distribution that ends the use of the
/// key, without a wait for those that are kept.
#[tokio::test]
async fn a_withdrawn_key_ends_everywhere_and_the_others_are_never_refused() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    let withdrawn_at = fleet.withdraw(2);
    let mut refused_at = None;
    while withdrawn_at.elapsed() < Duration::from_millis(3_000) {
        let mut refused = 0;
        for daemon in &fleet.daemons {
            assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
            refused += usize::from(daemon.status_of(WITHDRAWN_KEY).await == 401);
        }
        if refused == fleet.daemons.len() {
            refused_at.get_or_insert(withdrawn_at.elapsed());
        }
    }
    let refused_at = refused_at.expect("the key is refused everywhere");
    assert!(refused_at < Duration::from_millis(2_000), "{refused_at:?}");
}

/// Guards against use of a withdrawn key while the store is away for all daemons, and against an
/// empty address response in that time.
#[tokio::test]
async fn all_daemons_refuse_keys_in_an_outage_of_the_store_and_recover_after_it() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    fleet.set_store(ResponseMode::CloseConnection);
    let withdrawn_at = fleet.withdraw(2);
    sleep_until(withdrawn_at + REVOCATION).await;
    for daemon in &fleet.daemons {
        let response = daemon.daemon.fetch(&with_key(WITHDRAWN_KEY)).await;
        assert_key_check_expired(&response);
        assert_eq!(daemon.edge.addresses_for("a").len(), 4);
    }
    fleet.set_store(ResponseMode::Respond);
    let recovered = || {
        fleet
            .daemons
            .iter()
            .all(|d| d.version() == 2 && d.has_permission())
    };
    assert_eventually(Duration::from_millis(2_000), "recovery", recovered).await;
    for daemon in &fleet.daemons {
        assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 401);
        assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
    }
}

/// A daemon that only lost the store gets its proofs from its relays, and callers notice nothing.
#[tokio::test]
async fn a_daemon_without_store_access_keeps_its_permission() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    let mut others = fleet.daemons.iter().filter(|d| !d.watches_store());
    let daemon = others.next_back().expect("a daemon that watches nothing");
    daemon
        .access
        .set_response_mode(ResponseMode::CloseConnection);
    let end = Instant::now() + REVOCATION * 2;
    while Instant::now() < end {
        assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
        sleep(Duration::from_millis(50)).await;
    }
    fleet.withdraw(2);
    assert_eventually(Duration::from_millis(2_000), "version 2", || {
        daemon.version() == 2
    })
    .await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 401);
    assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
}

/// A daemon that restarts gets its configuration from a peer. It must be able to use keys at once,
/// though it can't reach the store.
#[tokio::test]
async fn a_restarted_daemon_uses_keys_at_once() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    let access = fleet.store.open_address().await;
    // The daemon may read the records of the others, but not the configuration.
    access.set_response_mode_of("config", ResponseMode::Unavailable);
    let daemon = FleetDaemon::start(fleet.port, 6, access, Some(REVOCATION)).await;
    assert_eventually(Duration::from_millis(1_500), "configuration", || {
        daemon.version() == 1
    })
    .await;
    assert_eventually(Duration::from_millis(300), "permission", || {
        daemon.has_permission()
    })
    .await;
    assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
    assert!(!fleet.backend.received_requests().is_empty());
}

/// A daemon whose relays confirm nothing reads the store itself, every 2.75 s at most.
#[tokio::test]
async fn a_daemon_without_confirmations_reads_the_store() {
    let fleet = KeyFleet::start(None).await;
    let access = fleet.store.open_address().await;
    let daemon = FleetDaemon::start(fleet.port, 6, access, Some(REVOCATION)).await;
    assert_eventually(Duration::from_millis(3_000), "permission", || {
        daemon.has_permission() && !daemon.watches_store()
    })
    .await;
    sleep(Duration::from_millis(2_000)).await;
    let before = fleet.store.calls();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(8_400) {
        assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
        sleep(Duration::from_millis(50)).await;
    }
    // 2 watchers of 2 kinds, each with a watch of 1.2 s, and the reads of this daemon.
    let calls = fleet.store.calls() - before;
    assert!(calls <= 4 * 8 + 4, "{calls} calls");
    fleet.withdraw(2);
    assert_eventually(Duration::from_millis(2_000), "version 2", || {
        daemon.version() == 2
    })
    .await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 401);
    // The proof of the earlier version has to be replaced by one of the new version.
    sleep(REVOCATION).await;
    assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
}

/// The stored object is newer than the configuration in force and can't be decoded, so it may have
/// withdrawn any key.
#[tokio::test]
async fn an_undecodable_configuration_proves_nothing_about_the_earlier_one() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    fleet
        .store
        .put("config", "main", json!({"version": "r2"}), Value::Null);
    let stored_at = Instant::now();
    sleep_until(stored_at + REVOCATION).await;
    for daemon in &fleet.daemons {
        assert_key_check_expired(&daemon.daemon.fetch(&with_key(KEPT_KEY)).await);
    }
    fleet.withdraw(3);
    let recovered = || {
        fleet
            .daemons
            .iter()
            .all(|d| d.version() == 3 && d.has_permission())
    };
    assert_eventually(Duration::from_millis(2_000), "version 3", recovered).await;
}

/// Store calls are limited for the whole fleet. With strict revocation, only the watches of the
/// configuration are shorter; without it or without organisations, nothing changes.
#[tokio::test]
async fn checks_cost_calls_only_where_they_are_enabled() {
    let with_keys = spec_with_keys(1, &[KEPT_KEY]);
    for (revocation, spec, calls_max) in [
        // 2 watchers of 2 kinds, each with a watch of 1.2 s.
        (None, with_keys.clone(), 16),
        (Some(REVOCATION), configuration_spec(1), 16),
        // Watches of the configuration last 0.625 s.
        (Some(REVOCATION), with_keys, 24),
    ] {
        let fleet = KeyFleet::with_spec(revocation, spec).await;
        let is_active = fleet.daemons.iter().map(|d| {
            let state = d.edge.lock_state();
            state.key_permission.is_active()
        });
        assert!(is_active.clone().all(|active| active == (calls_max == 24)));
        let before = fleet.store.calls();
        sleep(Duration::from_millis(3_600)).await;
        let calls = fleet.store.calls() - before;
        assert!(calls <= calls_max, "{calls} calls, at most {calls_max}");
    }
}

/// Relay that a test plays: the only peer of a daemon that can't read the configuration itself. It
/// answers queries when the test says so.
struct FakeRelay {
    peers: Arc<Peers>,
    incoming: UnboundedReceiver<Incoming>,
    own: Member,
    daemon: SocketAddr,
}

impl FakeRelay {
    /// Starts a daemon that reads only servers from the store, and a relay at the next address.
    async fn start(revocation: Option<Duration>) -> (Self, FleetDaemon, Backend) {
        let store = Store::start().await;
        let backend = Backend::start([]).await;
        let address = backend.address.to_string();
        store.put("servers", "s1", entry_spec(&address), entry_status("ready"));
        store.set_response_mode_of("config", ResponseMode::Unavailable);
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let daemon = FleetDaemon::start(port, 2, store, revocation).await;
        let address = SocketAddr::from(([127, 0, 0, 3], port));
        let (peers, incoming) = Peers::bind(address).expect("a socket");
        let own = Member {
            vm: "vm-3".into(),
            started_unix_ms: 1,
            domain: "a".into(),
            peer: address,
            callers: address,
            capacity_millicores: 9_000,
        };
        let mut relay = Self {
            peers,
            incoming,
            own,
            daemon: SocketAddr::from(([127, 0, 0, 2], port)),
        };
        relay.peers.start_connecting(relay.daemon);
        while !matches!(relay.incoming.recv().await, Some(Incoming::Connected(_))) {}
        let hello = Message::Hello {
            own: relay.own.clone(),
            others: Vec::new(),
            has_state: true,
        };
        relay.peers.send(relay.daemon, vec![hello]);
        (relay, daemon, backend)
    }

    fn send_configuration(&self, spec: &Value) {
        let update = StoreUpdate {
            configuration: Some(Bytes::from(spec.to_string())),
            ..StoreUpdate::default()
        };
        self.peers.send_store_update(self.daemon, &update);
    }

    /// Receives for some time, and keeps up with the daemon's view of its members. Returns the
    /// numbers of the queries that arrived.
    async fn queries_within(&mut self, time: Duration) -> Vec<u32> {
        let deadline = Instant::now() + time;
        let mut queries = Vec::new();
        while let Ok(Some(received)) = timeout_at(deadline, self.incoming.recv()).await {
            if let Incoming::Message(_, Message::ConfirmConfiguration { sequence }) = received {
                queries.push(sequence);
            }
            let hello = Message::Hello {
                own: self.own.clone(),
                others: Vec::new(),
                has_state: true,
            };
            self.peers.send(self.daemon, vec![hello]);
        }
        queries
    }

    async fn next_query(&mut self) -> u32 {
        for _ in 0..100 {
            let queries = self.queries_within(Duration::from_millis(20)).await;
            if let Some(sequence) = queries.last() {
                return *sequence;
            }
        }
        panic!("no query within 2 s");
    }

    fn confirm(&self, sequence: u32, spec: &Value, age_ms: u32) {
        let version = spec["version"].as_str().and_then(|v| v[1..].parse().ok());
        let version = version.expect("a version");
        let encoded = spec.to_string();
        let id = ConfigurationId::new(ConfigVersion(version), encoded.as_bytes());
        let message = Message::ConfigurationConfirmed {
            sequence,
            version,
            digest: id.digest,
            age_ms,
        };
        let bytes = codec::encode(&message).expect("a message");
        self.peers.send_datagram(self.daemon, bytes);
    }
}

/// A relay was suspended after it had read a query, or the network held back its response. The
/// arrival of the response says nothing about the time for which it is true.
#[tokio::test]
async fn a_response_that_was_held_back_gives_no_permission() {
    let (mut relay, daemon, backend) = FakeRelay::start(Some(REVOCATION)).await;
    let spec = spec_with_keys(1, &[WITHDRAWN_KEY]);
    relay.send_configuration(&spec);
    let sequence = relay.next_query().await;
    relay.queries_within(REVOCATION).await;
    relay.confirm(sequence, &spec, 0);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 503);
    // A proof that was already old when the relay sent it.
    let sequence = relay.next_query().await;
    relay.confirm(sequence, &spec, 5_000);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 503);
    assert_eq!(backend.received_requests().len(), 0);
    let sequence = relay.next_query().await;
    relay.confirm(sequence, &spec, 0);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 200);
}

/// The daemon restarts and gets an outdated configuration from a relay that is cut off itself and
/// confirms nothing. Public routes are served.
#[tokio::test]
async fn a_daemon_that_starts_with_an_old_configuration_uses_no_keys() {
    let (mut relay, daemon, backend) = FakeRelay::start(Some(REVOCATION)).await;
    let mut spec = spec_with_keys(1, &[WITHDRAWN_KEY]);
    let mut public = spec["hosts"][0]["paths"][0].clone();
    public["pathPrefix"] = json!("/public/");
    public["public"] = json!(true);
    let paths = spec["hosts"][0]["paths"].as_array_mut();
    paths.expect("a list of routes").push(public);
    relay.send_configuration(&spec);
    relay.queries_within(Duration::from_millis(500)).await;
    assert_eq!(daemon.version(), 1);
    assert_key_check_expired(&daemon.daemon.fetch(&with_key(WITHDRAWN_KEY)).await);
    assert_eq!(backend.received_requests().len(), 0);
    let public = with_key(WITHDRAWN_KEY).replace("/read/", "/public/");
    assert_eq!(daemon.daemon.fetch(&public).await.status, 200);
    // Nothing vouches for the key, so the server is not told whose it was.
    let received = backend.received_requests();
    assert_eq!(received[0].header("tenant-name"), None);
    assert_eq!(received[0].header("authorization"), None);
}

/// Version 2 adds the key and version 3 withdraws it at once. The relay sends version 2 late and
/// version 3 never, and confirms only what it has.
#[tokio::test]
async fn a_key_added_and_withdrawn_in_quick_succession_is_not_used_for_long() {
    let (mut relay, daemon, _backend) = FakeRelay::start(Some(REVOCATION)).await;
    let first = spec_with_keys(1, &[KEPT_KEY]);
    relay.send_configuration(&first);
    let sequence = relay.next_query().await;
    relay.confirm(sequence, &first, 0);
    let withdrawn_at = Instant::now();
    relay.queries_within(Duration::from_millis(3_000)).await;
    assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
    let second = spec_with_keys(2, &[KEPT_KEY, WITHDRAWN_KEY]);
    relay.send_configuration(&second);
    let sequence = relay.next_query().await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 200);
    let third = spec_with_keys(3, &[KEPT_KEY]);
    relay.confirm(sequence, &third, 0);
    let rest = (withdrawn_at + REVOCATION).saturating_duration_since(Instant::now());
    relay.queries_within(rest).await;
    assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 503);
}

/// A third of the fleet reaches neither the store nor its relays.
#[tokio::test]
async fn partitioned_daemons_stop_using_keys_in_time_and_the_others_go_on() {
    let fleet = KeyFleet::start(Some(REVOCATION)).await;
    let mut cut_off = Vec::new();
    for _ in 0..2 {
        let (relay, daemon, _) = FakeRelay::start(Some(REVOCATION)).await;
        cut_off.push((relay, daemon));
    }
    let spec = spec_with_keys(1, &[KEPT_KEY, WITHDRAWN_KEY]);
    for (relay, daemon) in &mut cut_off {
        relay.send_configuration(&spec);
        let sequence = relay.next_query().await;
        relay.confirm(sequence, &spec, 0);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 200);
    }
    // The partition begins together with the withdrawal.
    let withdrawn_at = fleet.withdraw(2);
    sleep_until(withdrawn_at + REVOCATION).await;
    for (_, daemon) in &cut_off {
        assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 503);
    }
    for daemon in &fleet.daemons {
        assert_eq!(daemon.status_of(WITHDRAWN_KEY).await, 401);
        assert_eq!(daemon.status_of(KEPT_KEY).await, 200);
    }
}

/// Deployments without the setting or without organisations must not pay for the checks.
#[tokio::test]
async fn no_query_is_sent_without_strict_revocation_or_organisations() {
    let with_keys = spec_with_keys(1, &[KEPT_KEY]);
    for (revocation, spec, expects_queries) in [
        (None, with_keys.clone(), false),
        (Some(REVOCATION), configuration_spec(1), false),
        (Some(REVOCATION), with_keys, true),
    ] {
        let (mut relay, daemon, _backend) = FakeRelay::start(revocation).await;
        relay.send_configuration(&spec);
        let queries = relay.queries_within(Duration::from_millis(1_500)).await;
        assert_eq!(daemon.version(), 1);
        assert_eq!(!queries.is_empty(), expects_queries);
        let status = daemon.status_of(KEPT_KEY).await;
        assert_eq!(status, if expects_queries { 503 } else { 200 });
    }
}
