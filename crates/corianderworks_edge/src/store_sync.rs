//! Reads the configuration and the backend servers from the store.
//!
//! A few daemons watch the store and send changes to the other daemons of their domain. Those
//! compare the store view (the configuration version and a digest of the servers) that the watchers
//! report with their own, and read the store themselves if the two differ or if no report arrives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::key_permission::{ConfigurationId, Proof};
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_platform::store::{
    Changes, Listing, ObjectEvent, StoreClient, StoreError, StoredObject,
};
use corianderworks_platform::{configuration, servers};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::key_check;
use crate::peers::{Peers, StoreUpdate};
use crate::state::{Edge, EntryRemoval};

/// Longest time that a watch waits for changes, as a share of the time within which changes have to
/// be in force. Each response shows that the store is reachable, so this bounds the time for which a
/// lost connection goes unnoticed.
const WATCH_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum age of the reported view, as a share of the same time. If it is older, the daemon reads
/// the store itself. One watch timeout plus the delay of a report.
const VIEW_MAX_AGE_SHARE: f64 = 0.8;
/// Delay before the next watch after a change, as a share of the same time.
const BATCH_DELAY_SHARE: f64 = 0.075;
/// Shortest and longest time for which the own view may differ from the reported one before the
/// store is read. The daemons of a domain choose different times, and the first one that reads the
/// store sends on what it finds.
const MISMATCH_TIMEOUT_MIN: Duration = Duration::from_millis(300);
const MISMATCH_TIMEOUT_MAX: Duration = Duration::from_millis(600);
/// Time for which a starting daemon waits for the state of another one before it reads the store.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(400);
/// Same at the first start of the fleet, when the daemons have to find each other first.
const INITIAL_STATE_TIMEOUT_FIRST_START: Duration = Duration::from_millis(4_000);
/// Interval at which a starting daemon checks whether it has that state.
const INITIAL_STATE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between comparisons of the own view with the reported one.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a watch waits whose response is only needed as a proof. A store may take 0 for
/// a missing value.
const PROOF_WATCH_TIMEOUT: Duration = Duration::from_millis(50);
/// Part by which the response to a watch may exceed a list: this fraction of the list, or this many
/// bytes if they are more. Beyond that a list arrives sooner, because it contains each object once.
const WATCH_EXCESS_DIVISOR: usize = 4;
const WATCH_EXCESS_BYTES_MIN: usize = 64 * 1024;
/// First and longest delay before the retry of a failed call. It doubles with each failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Kind of store objects that a daemon reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ObjectKind {
    Configuration,
    Servers,
}

impl ObjectKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => configuration::KIND,
            Self::Servers => servers::KIND,
        }
    }
}

/// Point in the history of the store from which a watch continues.
#[derive(Debug, Clone, Copy)]
struct WatchStart {
    revision: u64,
    /// Longest response that is read.
    response_bytes_max: usize,
}

impl WatchStart {
    fn after_list(listing: &Listing) -> Self {
        let listed = listing.response_bytes;
        let excess = (listed / WATCH_EXCESS_DIVISOR).max(WATCH_EXCESS_BYTES_MIN);
        Self {
            revision: listing.revision,
            response_bytes_max: listed + excess,
        }
    }

    fn after_changes(self, changes: &Changes) -> Self {
        Self {
            revision: changes.revision,
            ..self
        }
    }
}

/// Where a daemon gets changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// From the store itself, by a list or a watch.
    Store,
    /// From other daemons that watch the store.
    Peers,
}

/// Keeps the configuration and the backend servers in sync with the store until the daemon exits.
pub async fn run(edge: Arc<Edge>, store: Arc<StoreClient>, peers: Arc<Peers>) {
    let sync = |object_kind| StoreSync::new(&edge, &store, &peers, object_kind).run();
    tokio::join!(sync(ObjectKind::Configuration), sync(ObjectKind::Servers));
}

struct StoreSync {
    edge: Arc<Edge>,
    store: Arc<StoreClient>,
    peers: Arc<Peers>,
    object_kind: ObjectKind,
    reachable: bool,
    retry_delay: Duration,
    /// Where the next watch continues; `None` if changes since the last call may have been missed
    /// and the objects have to be listed again.
    watch_start: Option<WatchStart>,
    /// When the store is read because the own view differs from the reported one; `None` if it
    /// doesn't.
    mismatch_read_at: Option<Instant>,
    /// Configuration that the store holds as of `watch_start`; `None` if it has none that can be
    /// decoded, or if it isn't known.
    stored_configuration: Option<ConfigurationId>,
    /// Stored configuration that was logged because another one is in force.
    logged_mismatch: Option<ConfigurationId>,
    /// Revision of each object that could not be decoded. Each revision is logged once.
    undecodable_revisions: HashMap<String, u64>,
}

impl StoreSync {
    fn new(
        edge: &Arc<Edge>,
        store: &Arc<StoreClient>,
        peers: &Arc<Peers>,
        object_kind: ObjectKind,
    ) -> Self {
        Self {
            edge: edge.clone(),
            store: store.clone(),
            peers: peers.clone(),
            object_kind,
            reachable: false,
            retry_delay: RETRY_DELAY_MIN,
            watch_start: None,
            mismatch_read_at: None,
            stored_configuration: None,
            logged_mismatch: None,
            undecodable_revisions: HashMap::new(),
        }
    }

    async fn run(mut self) {
        self.wait_for_initial_state().await;
        loop {
            match self.source() {
                Source::Store => self.read(self.watch_timeout()).await,
                Source::Peers => self.compare_views().await,
            }
        }
    }

    /// Waits until another daemon has sent the state of the store, so that not all daemons of a
    /// starting fleet read it. Daemons that watch the store read it as soon as they know that they
    /// do.
    async fn wait_for_initial_state(&self) {
        let timeout = match self.edge.settings.first_start {
            true => INITIAL_STATE_TIMEOUT_FIRST_START,
            false => INITIAL_STATE_TIMEOUT,
        };
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline && !(self.has_state() && self.source() == Source::Peers) {
            if self.edge.lock_state().knows_registered_members && self.is_watcher() {
                return;
            }
            sleep(INITIAL_STATE_CHECK_INTERVAL).await;
        }
    }

    fn has_state(&self) -> bool {
        let state = self.edge.lock_state();
        match self.object_kind {
            ObjectKind::Configuration => state.configuration.is_some(),
            ObjectKind::Servers => !state.servers.is_empty(),
        }
    }

    fn share_of_apply_timeout(&self, share: f64) -> Duration {
        self.edge.settings.apply_timeout.mul_f64(share)
    }

    fn is_watcher(&self) -> bool {
        self.edge
            .lock_state()
            .fleet
            .watches_store(self.edge.clock.now())
    }

    fn source(&self) -> Source {
        let now = self.edge.clock.now();
        let state = self.edge.lock_state();
        if state.fleet.watches_store(now) {
            return Source::Store;
        }
        let max_age = self.share_of_apply_timeout(VIEW_MAX_AGE_SHARE);
        let reported = state.reported_store_view.recent(now, max_age);
        let is_reported = reported.is_some_and(|view| match self.object_kind {
            ObjectKind::Configuration => view.configuration.is_some(),
            ObjectKind::Servers => view.servers_digest.is_some(),
        });
        match is_reported {
            true => Source::Peers,
            false => Source::Store,
        }
    }

    /// Waits for an interval, and reads the store if the own view has differed from the reported
    /// one for too long.
    async fn compare_views(&mut self) {
        // Changes sent by peers don't update the revision, so a later watch can't continue from it.
        // For the configuration it can: versions that peers have sent before change nothing.
        if self.object_kind == ObjectKind::Servers {
            self.watch_start = None;
        }
        sleep(COMPARE_INTERVAL).await;
        if self.is_key_check_due() {
            return self.read(PROOF_WATCH_TIMEOUT).await;
        }
        if !self.has_mismatch() {
            self.mismatch_read_at = None;
            return;
        }
        let read_at = *self.mismatch_read_at.get_or_insert_with(|| {
            let range = MISMATCH_TIMEOUT_MIN..MISMATCH_TIMEOUT_MAX;
            Instant::now() + rand::rng().random_range(range)
        });
        if Instant::now() >= read_at {
            self.mismatch_read_at = None;
            tracing::info!(
                kind = self.object_kind.as_str(),
                "store: own view differs from the reported one, listing again"
            );
            self.list().await;
        }
    }

    /// Whether the configuration has to be read because peers supply no proof that it is current.
    fn is_key_check_due(&self) -> bool {
        let is_configuration = self.object_kind == ObjectKind::Configuration;
        is_configuration && key_check::take_store_read(&self.edge)
    }

    /// Reads the changes since the last read, for which it waits up to `timeout`, or all objects if
    /// that isn't possible. A list transfers all of them each time, several megabytes in a large
    /// deployment.
    async fn read(&mut self, timeout: Duration) {
        match self.watch_start {
            Some(start) => self.watch(start, timeout).await,
            None => self.list().await,
        }
    }

    /// Records that the stored configuration was the latest one when a call was sent. That proves
    /// nothing if another one is in force, or if the stored one can't be decoded.
    fn record_proof(&mut self, called_at: Duration) {
        let Some(configuration) = self.stored_configuration else {
            return;
        };
        let proof = Proof {
            configuration,
            queried_at: called_at,
            age: Duration::ZERO,
        };
        let mut state = self.edge.lock_state();
        let is_in_force = state.key_permission.record(proof);
        let is_relevant = !is_in_force && state.key_permission.is_active();
        if is_relevant && self.logged_mismatch != Some(configuration) {
            let in_force = state.configuration_version();
            let stored = configuration.version.0;
            tracing::warn!(
                stored,
                in_force,
                "configuration: the store has one that is not in force"
            );
            self.logged_mismatch = Some(configuration);
        }
    }

    fn has_mismatch(&self) -> bool {
        let state = self.edge.lock_state();
        let reported = &state.reported_store_view;
        match self.object_kind {
            ObjectKind::Configuration => reported
                .configuration
                .is_some_and(|(version, _)| version > state.configuration_version()),
            ObjectKind::Servers => reported
                .servers_digest
                .is_some_and(|(digest, _)| digest != state.servers.digest()),
        }
    }

    async fn list(&mut self) {
        let called_at = self.edge.clock.since_boot();
        match self.store.list(self.object_kind.as_str()).await {
            Ok(listing) => {
                self.handle_success();
                self.log_unnamed(listing.unnamed);
                let update = self.apply_list(&listing.objects, listing.revision);
                self.send_if_watcher(&update);
                self.watch_start = Some(WatchStart::after_list(&listing));
                self.record_proof(called_at);
                self.report_store_view();
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    fn watch_timeout(&self) -> Duration {
        let timeout = self.share_of_apply_timeout(WATCH_TIMEOUT_SHARE);
        let max = match self.object_kind {
            ObjectKind::Configuration => self.edge.lock_state().key_permission.watch_timeout_max(),
            ObjectKind::Servers => None,
        };
        max.map_or(timeout, |max| timeout.min(max))
    }

    async fn watch(&mut self, start: WatchStart, timeout: Duration) {
        let called_at = self.edge.clock.since_boot();
        let (kind, revision) = (self.object_kind.as_str(), start.revision);
        let watch = self
            .store
            .watch(kind, revision, timeout, start.response_bytes_max);
        match watch.await {
            Ok(changes) => {
                self.handle_success();
                self.watch_start = Some(start.after_changes(&changes));
                let has_changes = !changes.events.is_empty();
                self.log_unnamed(changes.unnamed);
                let update = self.apply_events(changes.events);
                self.send_if_watcher(&update);
                if changes.unnamed > 0 && self.object_kind == ObjectKind::Configuration {
                    // The object without a name may be the configuration.
                    self.stored_configuration = None;
                    self.watch_start = None;
                }
                self.record_proof(called_at);
                self.report_store_view();
                if has_changes {
                    self.wait_for_batch().await;
                }
            }
            Err(StoreError::TooLong(bytes)) => {
                self.edge.metrics.store_call(kind, "too_long");
                tracing::info!(
                    kind,
                    revision,
                    bytes,
                    "store: changes are longer than a list, listing again"
                );
                self.watch_start = None;
                self.list().await;
                self.wait_for_batch().await;
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(
                    kind,
                    revision,
                    "store: history no longer available, listing again"
                );
                self.watch_start = None;
                self.list().await;
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    /// Waits before the next watch, so that one response returns several changes.
    async fn wait_for_batch(&self) {
        sleep(self.share_of_apply_timeout(BATCH_DELAY_SHARE)).await;
    }

    /// Adds what was read to the next report if this daemon watches the store for others. The other
    /// kind of object is left out, since calls for it may fail.
    fn report_store_view(&self) {
        if !self.is_watcher() {
            return;
        }
        let mut state = self.edge.lock_state();
        let mut view = state.pending_report.store.unwrap_or_default();
        match self.object_kind {
            ObjectKind::Configuration => view.configuration = Some(state.configuration_version()),
            ObjectKind::Servers => view.servers_digest = Some(state.servers.digest()),
        }
        state.pending_report.store = Some(view);
        drop(state);
        self.edge.report_trigger.notify_one();
    }

    fn handle_success(&mut self) {
        self.edge
            .metrics
            .store_call(self.object_kind.as_str(), "answered");
        self.retry_delay = RETRY_DELAY_MIN;
        if !self.reachable {
            self.reachable = true;
            tracing::info!(kind = self.object_kind.as_str(), "store: reached");
        }
        let now = self.edge.clock.now();
        let mut state = self.edge.lock_state();
        state.servers.store_responded(now);
        let read_at = match self.object_kind {
            ObjectKind::Configuration => &mut state.store_reads.configuration,
            ObjectKind::Servers => &mut state.store_reads.servers,
        };
        *read_at = Some(now);
    }

    async fn handle_failure(&mut self, error: &StoreError) {
        self.edge
            .metrics
            .store_call(self.object_kind.as_str(), "failed");
        if self.reachable {
            self.reachable = false;
            let kind = self.object_kind.as_str();
            let revision = self.watch_start.map(|start| start.revision);
            tracing::warn!(kind, revision, %error, "store: lost");
        }
        self.edge.lock_state().servers.store_call_failed();
        sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }

    /// Applies a complete list and returns what it contains.
    fn apply_list(&mut self, objects: &[StoredObject], revision: u64) -> StoreUpdate {
        let mut update = StoreUpdate::default();
        match self.object_kind {
            ObjectKind::Configuration => {
                self.stored_configuration = None;
                for object in objects {
                    if let Some(bytes) = self.apply_configuration(object) {
                        update.configuration = Some(bytes);
                    }
                }
            }
            ObjectKind::Servers => {
                let entries: Vec<_> = objects
                    .iter()
                    .filter_map(|o| self.decode_entry(o))
                    .collect();
                self.edge.replace_servers(entries.clone(), revision, "list");
                update.entries = entries;
            }
        }
        update
    }

    /// Applies changes and returns them.
    fn apply_events(&mut self, events: Vec<ObjectEvent>) -> StoreUpdate {
        let mut update = StoreUpdate::default();
        for event in events {
            match self.object_kind {
                // An undecodable version must not replace an earlier usable one of the same watch.
                ObjectKind::Configuration => {
                    if let Some(bytes) = self.handle_configuration_event(&event) {
                        update.configuration = Some(bytes);
                    }
                }
                ObjectKind::Servers => self.handle_server_event(&event, &mut update),
            }
        }
        update
    }

    /// Sends what was read to the own domain and to the other relays if this daemon watches the
    /// store for others.
    fn send_if_watcher(&self, update: &StoreUpdate) {
        if update.is_empty() || !self.is_watcher() {
            return;
        }
        for address in self.edge.store_update_recipients() {
            self.peers.send_store_update(address, update);
        }
    }

    fn handle_configuration_event(&mut self, event: &ObjectEvent) -> Option<Bytes> {
        if event.removed {
            if event.object.name == configuration::NAME {
                self.stored_configuration = None;
            }
            tracing::warn!(
                name = event.object.name,
                "configuration: removed from the store, keeping the current one"
            );
            return None;
        }
        self.apply_configuration(&event.object)
    }

    fn handle_server_event(&mut self, event: &ObjectEvent, update: &mut StoreUpdate) {
        let entry = match event.removed {
            true => None,
            false => self.decode_entry(&event.object),
        };
        match entry {
            Some(entry) => {
                update.entries.push(entry.clone());
                self.edge.apply_entry(entry, "watch");
            }
            None => {
                let removal = EntryRemoval {
                    id: event.object.name.clone(),
                    revision: event.object.revision,
                    may_have_lapsed: event.removed,
                };
                self.edge.remove_entry(&removal, "watch");
                update.removed.push(removal);
            }
        }
    }

    /// Installs a configuration and returns its encoded form, or `None` if it can't be decoded or
    /// the object isn't the configuration.
    fn apply_configuration(&mut self, object: &StoredObject) -> Option<Bytes> {
        if object.name != configuration::NAME {
            return None;
        }
        self.stored_configuration = None;
        let decoded = configuration::decode(object);
        self.log_undecodable(object, decoded.as_ref().err());
        let configuration = Arc::new(decoded.ok()?);
        let bytes = Bytes::from(object.spec.to_string());
        self.stored_configuration = Some(ConfigurationId::new(configuration.version, &bytes));
        self.edge
            .install_configuration(configuration, Some(bytes.clone()), "store");
        Some(bytes)
    }

    fn decode_entry(&mut self, object: &StoredObject) -> Option<ServerEntry> {
        let decoded = servers::decode(object);
        self.log_undecodable(object, decoded.as_ref().err());
        decoded.ok()
    }

    /// Logs objects that can't be decoded far enough to tell which they are.
    fn log_unnamed(&self, count: usize) {
        if count > 0 {
            let kind = self.object_kind.as_str();
            tracing::warn!(kind, count, "store: malformed objects without a name");
        }
    }

    /// Logs once per revision that an object, or a part of it, can't be decoded.
    fn log_undecodable<E>(&mut self, object: &StoredObject, error: Option<&E>)
    where
        E: std::error::Error,
    {
        let part_error = object.undecodable.as_deref();
        if error.is_none() && part_error.is_none() {
            return;
        }
        let previous = self
            .undecodable_revisions
            .insert(object.name.clone(), object.revision);
        if previous == Some(object.revision) {
            return;
        }
        let (kind, name, revision) = (self.object_kind.as_str(), &object.name, object.revision);
        match error {
            Some(error) => {
                tracing::warn!(kind, name, revision, %error, part_error, "store: cannot decode object");
            }
            None => {
                tracing::warn!(
                    kind,
                    name,
                    revision,
                    part_error,
                    "store: cannot decode a part of an object, ignored"
                );
            }
        }
    }
}
