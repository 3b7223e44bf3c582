//! Reads routes and backend servers from the store.
//!
//! A few daemons watch the store and tell those of their domain what changed. The others
//! compare what the watching daemons report with what they believe, and read the store
//! themselves if these differ, or if no report comes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_platform::store::{ObjectEvent, StoreClient, StoreError, StoredObject};
use corianderworks_platform::{configuration, servers};
use tokio::time::{Instant, sleep};

use crate::peers::{Peers, StoreUpdate, store_messages};
use crate::state::Edge;

/// Longest time that a watch waits. Each end of a watch shows that the store is reached, so
/// the wait bounds the time for which a lost connection goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Age of the latest reported view at which a daemon reads the store itself. One waiting
/// time and the delay of a report; changes have to be in force within 2 s.
const VIEW_MAX_AGE: Duration = Duration::from_millis(1_600);
/// Time for which the own belief may differ from the reported view.
const DIFFERENCE_MAX: Duration = Duration::from_millis(300);
/// Pause between comparisons.
const COMPARE: Duration = Duration::from_millis(100);
/// Pause after changes, so that several changes end one watch.
const GATHER: Duration = Duration::from_millis(150);
/// First and longest pause after a failed call.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(800);

/// What the store keeps for a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    Configuration,
    Servers,
}

impl Subject {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => configuration::KIND,
            Self::Servers => servers::KIND,
        }
    }
}

/// How a daemon learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It watches the store.
    Store,
    /// Other daemons tell it.
    Peers,
}

/// Follows the store until the daemon ends.
pub async fn run(edge: Arc<Edge>, store: Arc<StoreClient>, peers: Arc<Peers>) {
    let follow = |subject| Follower::new(&edge, &store, &peers, subject).run();
    tokio::join!(follow(Subject::Configuration), follow(Subject::Servers));
}

struct Follower {
    edge: Arc<Edge>,
    store: Arc<StoreClient>,
    peers: Arc<Peers>,
    subject: Subject,
    reachable: bool,
    pause: Duration,
    /// Revision to watch from, while the history has no gap.
    revision: Option<u64>,
    /// Since when the own belief differs from the reported view.
    differs_since: Option<Instant>,
    /// Revisions of entries that could not be read; each is logged once.
    unreadable: HashMap<String, u64>,
}

impl Follower {
    fn new(
        edge: &Arc<Edge>,
        store: &Arc<StoreClient>,
        peers: &Arc<Peers>,
        subject: Subject,
    ) -> Self {
        Self {
            edge: edge.clone(),
            store: store.clone(),
            peers: peers.clone(),
            subject,
            reachable: false,
            pause: RETRY_MIN,
            revision: None,
            differs_since: None,
            unreadable: HashMap::new(),
        }
    }

    async fn run(mut self) {
        self.list().await;
        loop {
            match (self.source(), self.revision) {
                (Source::Store, Some(revision)) => self.watch(revision).await,
                (Source::Store, None) => self.list().await,
                (Source::Peers, _) => self.compare().await,
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
        let fresh = |at: Duration| now.saturating_sub(at) < VIEW_MAX_AGE;
        match state.reported_store_view {
            Some((_, at)) if fresh(at) => Source::Peers,
            _ => Source::Store,
        }
    }

    /// Waits, and reads the store if the own belief differs from the view for too long.
    async fn compare(&mut self) {
        // A later watch would miss what the peers told meanwhile.
        self.revision = None;
        sleep(COMPARE).await;
        if !self.differs() {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(Instant::now());
        if since.elapsed() >= DIFFERENCE_MAX {
            self.differs_since = None;
            tracing::info!(
                kind = self.subject.kind(),
                "store: belief differs from the reported view"
            );
            self.list().await;
        }
    }

    fn differs(&self) -> bool {
        let state = self.edge.lock_state();
        let Some((view, _)) = state.reported_store_view else {
            return false;
        };
        let own = state.store_view();
        match self.subject {
            Subject::Configuration => view.configuration > own.configuration,
            Subject::Servers => view.servers_digest != own.servers_digest,
        }
    }

    async fn list(&mut self) {
        match self.store.list(self.subject.kind()).await {
            Ok(listing) => {
                self.answered();
                if listing.unreadable > 0 {
                    let count = listing.unreadable;
                    tracing::warn!(
                        kind = self.subject.kind(),
                        count,
                        "store: unreadable objects"
                    );
                }
                self.apply_all(&listing.objects);
                self.revision = Some(listing.revision);
                self.confirm();
            }
            Err(error) => self.failed(&error).await,
        }
    }

    async fn watch(&mut self, revision: u64) {
        match self
            .store
            .watch(self.subject.kind(), revision, WATCH_WAIT)
            .await
        {
            Ok(changes) => {
                self.answered();
                self.revision = Some(changes.revision);
                let any = !changes.events.is_empty();
                self.apply_events(changes.events);
                self.confirm();
                if any {
                    sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(kind = self.subject.kind(), revision, "store: history gone");
                self.revision = None;
            }
            Err(error) => self.failed(&error).await,
        }
    }

    /// Reports the view of the store, if this daemon watches it for others.
    fn confirm(&self) {
        if !self.is_watcher() {
            return;
        }
        let mut state = self.edge.lock_state();
        let view = state.store_view();
        state.pending_report.store = Some(view);
        drop(state);
        self.edge.report_trigger.notify_one();
    }

    fn answered(&mut self) {
        self.edge
            .metrics
            .store_call(self.subject.kind(), "answered");
        self.pause = RETRY_MIN;
        if !self.reachable {
            self.reachable = true;
            tracing::info!(kind = self.subject.kind(), "store: reached");
        }
        self.set_reachable();
    }

    async fn failed(&mut self, error: &StoreError) {
        self.edge.metrics.store_call(self.subject.kind(), "failed");
        if self.reachable {
            self.reachable = false;
            tracing::warn!(kind = self.subject.kind(), %error, "store: lost");
        }
        self.set_reachable();
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_MAX);
    }

    fn set_reachable(&self) {
        if self.subject == Subject::Servers {
            let now = self.edge.clock.now();
            self.edge
                .lock_state()
                .servers
                .set_store_reachable(self.reachable, now);
        }
    }

    fn apply_all(&mut self, objects: &[StoredObject]) {
        match self.subject {
            Subject::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            Subject::Servers => {
                let entries: Vec<_> = objects.iter().filter_map(|o| self.entry(o)).collect();
                self.edge.replace_servers(entries, "list");
            }
        }
    }

    /// Applies changes and tells the daemons of the domain.
    fn apply_events(&mut self, events: Vec<ObjectEvent>) {
        let mut news = StoreUpdate::default();
        for event in events {
            match self.subject {
                // An unreadable version does not take the place of a usable one before it.
                Subject::Configuration => {
                    if let Some(bytes) = self.configuration_event(&event) {
                        news.configuration = Some(bytes);
                    }
                }
                Subject::Servers => self.server_event(&event, &mut news),
            }
        }
        let messages = store_messages(&news);
        if messages.is_empty() || !self.is_watcher() {
            return;
        }
        for address in self.edge.domain_peer_addresses() {
            self.peers.send(address, messages.clone());
        }
    }

    fn configuration_event(&mut self, event: &ObjectEvent) -> Option<Bytes> {
        if event.removed {
            tracing::warn!(
                name = event.object.name,
                "configuration: removed; the last one stays"
            );
            return None;
        }
        self.apply_configuration(&event.object)
    }

    fn server_event(&mut self, event: &ObjectEvent, news: &mut StoreUpdate) {
        let entry = match event.removed {
            true => None,
            false => self.entry(&event.object),
        };
        match entry {
            Some(entry) => {
                news.entries.push(entry.clone());
                self.edge.apply_entry(entry, "watch");
            }
            None => {
                let id = &event.object.name;
                let now = self.edge.clock.now();
                let grace = match event.removed {
                    true => self.edge.lock_state().servers.lapse_grace(now),
                    false => Duration::ZERO,
                };
                let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
                news.removed.push((id.clone(), grace_ms));
                self.edge.remove_entry(id, grace, "watch");
            }
        }
    }

    /// Returns the bytes of a configuration that can be used.
    fn apply_configuration(&mut self, object: &StoredObject) -> Option<Bytes> {
        if object.name != configuration::NAME {
            return None;
        }
        match configuration::decode(object) {
            Ok(next) => {
                let bytes = Bytes::from(object.spec.to_string());
                self.edge
                    .install_configuration(Arc::new(next), Some(bytes.clone()), "store");
                Some(bytes)
            }
            Err(error) => {
                self.skip(object, &error);
                None
            }
        }
    }

    fn entry(&mut self, object: &StoredObject) -> Option<ServerEntry> {
        match servers::decode(object) {
            Ok(entry) => Some(entry),
            Err(error) => {
                self.skip(object, &error);
                None
            }
        }
    }

    fn skip(&mut self, object: &StoredObject, error: &dyn std::error::Error) {
        let before = self.unreadable.insert(object.name.clone(), object.revision);
        if before != Some(object.revision) {
            let (kind, name, revision) = (self.subject.kind(), &object.name, object.revision);
            tracing::warn!(kind, name, revision, %error, "store: object skipped");
        }
    }
}
