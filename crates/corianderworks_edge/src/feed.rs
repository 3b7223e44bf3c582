//! Reads routes and backend servers from the store and follows their changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_platform::store::{ObjectEvent, StoreClient, StoreError, StoredObject};
use corianderworks_platform::{configuration, servers};
use tokio::time::sleep;

use crate::state::Edge;

/// Longest time that a watch waits. The kernel ends silent connections sooner.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after changes, so that several changes end one watch. Changes have to be in force
/// within 2 s.
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

/// Follows the store until the daemon ends.
pub async fn run(edge: Arc<Edge>, store: Arc<StoreClient>) {
    let configuration = Follower::new(&edge, &store, Subject::Configuration);
    let servers = Follower::new(&edge, &store, Subject::Servers);
    tokio::join!(configuration.run(), servers.run());
}

struct Follower {
    edge: Arc<Edge>,
    store: Arc<StoreClient>,
    subject: Subject,
    reachable: bool,
    pause: Duration,
    /// Revisions of entries that could not be read; each is logged once.
    unreadable: HashMap<String, u64>,
}

impl Follower {
    fn new(edge: &Arc<Edge>, store: &Arc<StoreClient>, subject: Subject) -> Self {
        Self {
            edge: edge.clone(),
            store: store.clone(),
            subject,
            reachable: false,
            pause: RETRY_MIN,
            unreadable: HashMap::new(),
        }
    }

    async fn run(mut self) {
        loop {
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
                    self.apply_all(listing.objects);
                    self.follow(listing.revision).await;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Watches from `revision` until the history is gone.
    async fn follow(&mut self, mut revision: u64) {
        loop {
            match self
                .store
                .watch(self.subject.kind(), revision, WATCH_WAIT)
                .await
            {
                Ok(changes) => {
                    self.answered();
                    revision = changes.revision;
                    let any = !changes.events.is_empty();
                    for event in changes.events {
                        self.apply(event);
                    }
                    if any {
                        sleep(GATHER).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    tracing::info!(kind = self.subject.kind(), revision, "store: history gone");
                    return;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn answered(&mut self) {
        self.edge
            .metrics
            .store_call(self.subject.kind(), "answered");
        self.pause = RETRY_MIN;
        if !self.reachable {
            self.reachable = true;
            tracing::info!(kind = self.subject.kind(), "store: reached");
            self.set_reachable();
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.edge.metrics.store_call(self.subject.kind(), "failed");
        if self.reachable {
            self.reachable = false;
            tracing::warn!(kind = self.subject.kind(), %error, "store: lost");
            self.set_reachable();
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_MAX);
    }

    fn set_reachable(&self) {
        if self.subject == Subject::Servers {
            let now = self.edge.clock.now();
            self.edge
                .beliefs()
                .servers
                .set_store_reachable(self.reachable, now);
        }
    }

    fn apply_all(&mut self, objects: Vec<StoredObject>) {
        match self.subject {
            Subject::Configuration => objects.iter().for_each(|o| self.apply_configuration(o)),
            Subject::Servers => {
                let entries = objects.iter().filter_map(|o| self.entry(o)).collect();
                self.edge.apply_servers(entries, "list");
            }
        }
    }

    fn apply(&mut self, event: ObjectEvent) {
        match (self.subject, event.removed) {
            (Subject::Configuration, false) => self.apply_configuration(&event.object),
            (Subject::Configuration, true) => {
                tracing::warn!(
                    name = event.object.name,
                    "configuration: removed; the last one stays"
                );
            }
            (Subject::Servers, true) => self.edge.apply_vanished(&event.object.name, "watch"),
            (Subject::Servers, false) => match self.entry(&event.object) {
                Some(entry) => self.edge.apply_entry(entry, "watch"),
                None => self.edge.apply_vanished(&event.object.name, "unreadable"),
            },
        }
    }

    fn apply_configuration(&mut self, object: &StoredObject) {
        if object.name != configuration::NAME {
            return;
        }
        match configuration::decode(object) {
            Ok(next) => self.edge.offer_configuration(Arc::new(next), "store"),
            Err(error) => self.skip(object, &error),
        }
    }

    fn entry(
        &mut self,
        object: &StoredObject,
    ) -> Option<corianderworks_decision::edge::servers::ServerEntry> {
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
