//! In-memory store of versioned objects with conditional writes and watches.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Number of revisions kept per object, including the newest. Stale reads return the
/// second newest.
const MAX_REVISIONS: usize = 8;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must exist with this version.
    Version(u64),
}

/// State of an object after one write or delete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// Version, unique and increasing across all objects.
    pub version: u64,
    /// Content of the object; `None` after a delete.
    pub value: Option<Bytes>,
}

/// Entry in the list of existing objects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Full path of the object, including the listed prefix.
    pub name: String,
    /// Version of the newest revision.
    pub version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    last_version: u64,
    objects: BTreeMap<String, VecDeque<Revision>>,
}

/// Store of versioned objects. All versions come from one counter, so that an object
/// that is deleted and created again never repeats a version.
#[derive(Debug)]
pub struct ObjectStore {
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl ObjectStore {
    /// Returns the newest revision of an object, which may be a deletion; `None` if the
    /// object never existed.
    pub fn newest(&self, path: &str) -> Option<Revision> {
        self.state.lock().objects.get(path)?.back().cloned()
    }

    /// Returns the second newest revision of an object, or the only one if there are no
    /// others; `None` if the object never existed.
    pub fn previous(&self, path: &str) -> Option<Revision> {
        let state = self.state.lock();
        let history = state.objects.get(path)?;
        history.iter().rev().nth(1).or(history.back()).cloned()
    }

    /// Writes the value, or deletes the object if the value is `None`, provided that the
    /// condition is met. Returns the new version, or as an error the current version (0
    /// if the object does not exist). A delete without a condition fails if the object
    /// does not exist.
    pub fn write(
        &self,
        path: &str,
        condition: Option<Condition>,
        value: Option<Bytes>,
    ) -> Result<u64, u64> {
        let mut state = self.state.lock();
        let current = state
            .objects
            .get(path)
            .and_then(|history| history.back())
            .filter(|revision| revision.value.is_some())
            .map_or(0, |revision| revision.version);
        let condition_met = match condition {
            None => value.is_some() || current != 0,
            Some(Condition::Absent) => current == 0,
            Some(Condition::Version(version)) => current != 0 && current == version,
        };
        if !condition_met {
            return Err(current);
        }
        state.last_version += 1;
        let version = state.last_version;
        let history = state.objects.entry(path.to_owned()).or_default();
        history.push_back(Revision { version, value });
        if history.len() > MAX_REVISIONS {
            history.pop_front();
        }
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Lists the existing objects whose path starts with the prefix, in order of path.
    pub fn list(&self, prefix: &str) -> Vec<ListEntry> {
        let state = self.state.lock();
        state
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter_map(|(name, history)| {
                let revision = history.back().filter(|r| r.value.is_some())?;
                Some(ListEntry {
                    name: name.clone(),
                    version: revision.version,
                })
            })
            .collect()
    }

    /// Waits for a revision of the object with a version greater than `after`.
    pub async fn wait_newer(&self, path: &str, after: u64) -> Revision {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(revision) = self.newest(path).filter(|r| r.version > after) {
                return revision;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
