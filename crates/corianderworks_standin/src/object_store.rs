//! Versioned objects with conditional writes and watches.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Old versions kept per object, for stale reads.
const HISTORY: usize = 8;

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// One state of an object; `value` is `None` after a delete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// Version, unique and increasing over all objects.
    pub version: u64,
    /// Content.
    pub value: Option<Bytes>,
}

/// Name and version of an object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Full path.
    pub name: String,
    /// Version.
    pub version: u64,
}

#[derive(Debug, Default)]
struct State {
    last: u64,
    objects: BTreeMap<String, VecDeque<Revision>>,
}

/// Objects with versions. Versions come from one counter, so that an object
/// that was deleted and created again never repeats a version.
#[derive(Debug)]
pub struct ObjectStore {
    state: Mutex<State>,
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
    /// Newest revision of an object, `None` if it never existed.
    pub fn newest(&self, path: &str) -> Option<Revision> {
        self.state.lock().objects.get(path)?.back().cloned()
    }

    /// An older revision, or the newest one if there is no older one.
    pub fn older(&self, path: &str) -> Option<Revision> {
        let state = self.state.lock();
        let history = state.objects.get(path)?;
        history.iter().rev().nth(1).or(history.back()).cloned()
    }

    /// Writes if the condition holds and returns the new version, or else the
    /// current one (0 if absent).
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
        let holds = match condition {
            None => value.is_some() || current != 0,
            Some(Condition::Absent) => current == 0,
            Some(Condition::Version(version)) => current != 0 && current == version,
        };
        if !holds {
            return Err(current);
        }
        state.last += 1;
        let version = state.last;
        let history = state.objects.entry(path.to_owned()).or_default();
        history.push_back(Revision { version, value });
        if history.len() > HISTORY {
            history.pop_front();
        }
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Objects whose path starts with the prefix.
    pub fn list(&self, prefix: &str) -> Vec<Listed> {
        let state = self.state.lock();
        state
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter_map(|(name, history)| {
                let revision = history.back().filter(|r| r.value.is_some())?;
                Some(Listed {
                    name: name.clone(),
                    version: revision.version,
                })
            })
            .collect()
    }

    /// Waits for a revision above `after`.
    pub async fn above(&self, path: &str, after: u64) -> Revision {
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
