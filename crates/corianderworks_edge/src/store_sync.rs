//! Reads the configuration and the backend servers from the store.
//!
//! A few daemons watch the store and send changes to the other daemons of their domain. Those
//! compare the store view (the configuration version and a digest of the servers) that the watchers
//! report with their own, and read the store themselves if the two differ or if no report arrives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_platform::store::{ObjectEvent, StoreClient, StoreError, StoredObject};
use corianderworks_platform::{configuration, servers};
use tokio::time::{Instant, sleep};

use crate::peers::{Peers, StoreUpdate, store_messages};
use crate::state::{Edge, EntryRemoval};

/// Longest time that a watch waits for changes. Each response shows that the store is reachable,
/// so this bounds the time for which a lost connection goes unnoticed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum age of the reported view. If it is older, the daemon reads the store itself. One watch
/// timeout plus the delay of a report; changes have to be in force within 2 s.
const VIEW_MAX_AGE: Duration = Duration::from_millis(1_600);
/// Time for which the own view may differ from the reported one before the store is read.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between comparisons of the own view with the reported one.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the next watch after a change, so that one response returns several changes.
const BATCH_DELAY: Duration = Duration::from_millis(150);
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
    /// Revision to watch from; `None` if changes since the last call may have been missed and the
    /// objects have to be listed again.
    revision: Option<u64>,
    /// Since when the own view differs from the reported one.
    mismatch_since: Option<Instant>,
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
            revision: None,
            mismatch_since: None,
            undecodable_revisions: HashMap::new(),
        }
    }

    async fn run(mut self) {
        self.list().await;
        loop {
            match (self.source(), self.revision) {
                (Source::Store, Some(revision)) => self.watch(revision).await,
                (Source::Store, None) => self.list().await,
                (Source::Peers, _) => self.compare_views().await,
            }
        }
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
        let is_recent = |at: Duration| now.saturating_sub(at) < VIEW_MAX_AGE;
        match state.reported_store_view {
            Some((_, at)) if is_recent(at) => Source::Peers,
            _ => Source::Store,
        }
    }

    /// Waits for an interval, and reads the store if the own view has differed from the reported
    /// one for too long.
    async fn compare_views(&mut self) {
        // Changes sent by peers don't update the revision, so a later watch can't continue from it.
        self.revision = None;
        sleep(COMPARE_INTERVAL).await;
        if !self.has_mismatch() {
            self.mismatch_since = None;
            return;
        }
        let since = *self.mismatch_since.get_or_insert(Instant::now());
        if since.elapsed() >= MISMATCH_TIMEOUT {
            self.mismatch_since = None;
            tracing::info!(
                kind = self.object_kind.as_str(),
                "store: own view differs from the reported one, listing again"
            );
            self.list().await;
        }
    }

    fn has_mismatch(&self) -> bool {
        let state = self.edge.lock_state();
        let Some((view, _)) = state.reported_store_view else {
            return false;
        };
        let own = state.store_view();
        match self.object_kind {
            ObjectKind::Configuration => view.configuration > own.configuration,
            ObjectKind::Servers => view.servers_digest != own.servers_digest,
        }
    }

    async fn list(&mut self) {
        match self.store.list(self.object_kind.as_str()).await {
            Ok(listing) => {
                self.handle_success();
                self.log_unnamed(listing.unnamed);
                self.apply_list(&listing.objects, listing.revision);
                self.revision = Some(listing.revision);
                self.report_store_view();
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    async fn watch(&mut self, revision: u64) {
        match self
            .store
            .watch(self.object_kind.as_str(), revision, WATCH_TIMEOUT)
            .await
        {
            Ok(changes) => {
                self.handle_success();
                self.revision = Some(changes.revision);
                let has_changes = !changes.events.is_empty();
                self.log_unnamed(changes.unnamed);
                self.apply_events(changes.events);
                self.report_store_view();
                if has_changes {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(
                    kind = self.object_kind.as_str(),
                    revision,
                    "store: history no longer available, listing again"
                );
                self.revision = None;
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    /// Adds the view of the store to the next report if this daemon watches the store for others.
    fn report_store_view(&self) {
        if !self.is_watcher() {
            return;
        }
        let mut state = self.edge.lock_state();
        let view = state.store_view();
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
        self.update_store_reachable();
    }

    async fn handle_failure(&mut self, error: &StoreError) {
        self.edge
            .metrics
            .store_call(self.object_kind.as_str(), "failed");
        if self.reachable {
            self.reachable = false;
            tracing::warn!(kind = self.object_kind.as_str(), %error, "store: lost");
        }
        self.update_store_reachable();
        sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }

    fn update_store_reachable(&self) {
        if self.object_kind == ObjectKind::Servers {
            let now = self.edge.clock.now();
            self.edge
                .lock_state()
                .servers
                .set_store_reachable(self.reachable, now);
        }
    }

    fn apply_list(&mut self, objects: &[StoredObject], revision: u64) {
        match self.object_kind {
            ObjectKind::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            ObjectKind::Servers => {
                let entries: Vec<_> = objects
                    .iter()
                    .filter_map(|o| self.decode_entry(o))
                    .collect();
                self.edge.replace_servers(entries, revision, "list");
            }
        }
    }

    /// Applies changes and sends them to the other daemons of the domain.
    fn apply_events(&mut self, events: Vec<ObjectEvent>) {
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
        let messages = store_messages(&update);
        if messages.is_empty() || !self.is_watcher() {
            return;
        }
        for address in self.edge.domain_peer_addresses() {
            self.peers.send(address, messages.clone());
        }
    }

    fn handle_configuration_event(&mut self, event: &ObjectEvent) -> Option<Bytes> {
        if event.removed {
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
                let now = self.edge.clock.now();
                // An entry that is removed soon after a store outage may have lapsed in it although
                // its server is running, so the server is kept for a grace period. An undecodable
                // entry removes its server at once.
                let grace = match event.removed {
                    true => self.edge.lock_state().servers.lapse_grace(now),
                    false => Duration::ZERO,
                };
                let removal = EntryRemoval {
                    id: event.object.name.clone(),
                    revision: event.object.revision,
                    grace,
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
        match configuration::decode(object) {
            Ok(decoded) => {
                let bytes = Bytes::from(object.spec.to_string());
                self.edge
                    .install_configuration(Arc::new(decoded), Some(bytes.clone()), "store");
                Some(bytes)
            }
            Err(error) => {
                self.log_undecodable(object, &error);
                None
            }
        }
    }

    fn decode_entry(&mut self, object: &StoredObject) -> Option<ServerEntry> {
        match servers::decode(object) {
            Ok(entry) => Some(entry),
            Err(error) => {
                self.log_undecodable(object, &error);
                None
            }
        }
    }

    /// Logs objects that can't be decoded far enough to tell which they are.
    fn log_unnamed(&self, count: usize) {
        if count > 0 {
            let kind = self.object_kind.as_str();
            tracing::warn!(kind, count, "store: malformed objects without a name");
        }
    }

    fn log_undecodable(&mut self, object: &StoredObject, error: &dyn std::error::Error) {
        let previous = self
            .undecodable_revisions
            .insert(object.name.clone(), object.revision);
        if previous != Some(object.revision) {
            let (kind, name, revision) = (self.object_kind.as_str(), &object.name, object.revision);
            tracing::warn!(kind, name, revision, %error, "store: cannot decode object");
        }
    }
}
