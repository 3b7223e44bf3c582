//! Table of keys under the prefixes issued by this daemon run.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slotmap::{Key, KeyData, SlotMap};

use super::key::IssuedKey;
use super::permission::{DispatchCheck, DispatchPermission, Dispatched, Issued, NotRunReason};
use crate::ids::DaemonRun;

/// Time for which an outcome is kept after the request ended.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);
/// Time after the issue of a prefix within which a key under it may be used for the first time.
///
/// Half of [`KEY_LIFETIME`], and also the age from which outcomes may be evicted under memory
/// pressure: when an outcome is evicted, new keys under its prefix are no longer accepted.
pub const FIRST_USE_WINDOW: Duration = Duration::from_secs(300);
/// Maximum number of keys in a table.
pub const KEY_TABLE_MAX: usize = 50_000;

/// Result of [`KeyTable::begin`] for an arriving request.
#[derive(Debug)]
pub enum BeginResult {
    /// The request may be dispatched once.
    Dispatch(DispatchPermission<Issued>),
    /// An earlier request with the same key is being processed; the caller waits for its outcome.
    InProgress,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request may have run.
    Unknown,
    /// The key was not run and never will be.
    NotRun(NotRunReason),
    /// The key belongs to a different request; this one was not run.
    NotRunConflict,
    /// The table is full; the key was not run and never will be.
    TableFull,
}

/// Outcome of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server sent a complete response with this status.
    Done(u16),
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The response was lost or incomplete.
    Unknown,
}

/// State of a key as reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The request was not dispatched to a backend server and never will be.
    NotRun,
    /// The request is being processed.
    Running,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request may have run.
    Unknown,
}

slotmap::new_key_type! {
    struct EntryId;
}

/// Progress of a key in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A permission is issued but not used yet.
    Permitted,
    /// The request was dispatched to a backend server.
    Running,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request was not run and never will be.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    key: Arc<IssuedKey>,
    /// Hash of the request, absent if the key was sealed before its request arrived.
    fingerprint: Option<u64>,
    deadline: Duration,
    stage: Stage,
}

/// State of a key without an entry in the table.
enum AbsentKey {
    /// The key was never used and may be used now.
    Open,
    /// The key was never used and never will be.
    Closed,
    /// The key may have been used.
    Unknown,
}

/// Keys and outcomes of one daemon run.
///
/// No key runs twice: a key without an entry is accepted only within [`FIRST_USE_WINDOW`] of the
/// issue of its prefix, and an outcome is removed only after that time. When the table is full,
/// the refused key's prefix and all older ones are closed for unused keys, so that "not run"
/// stays true for later requests although no entry records it.
#[derive(Debug)]
pub struct KeyTable {
    run: DaemonRun,
    capacity: usize,
    entries: SlotMap<EntryId, Entry>,
    ids: HashMap<Arc<IssuedKey>, EntryId>,
    /// Deadlines of the permissions that are issued but not used yet.
    permission_deadlines: BTreeSet<(Duration, EntryId)>,
    /// Ended keys with the start of their lifetime, oldest first.
    ended: VecDeque<(Duration, EntryId)>,
    last_issued_us: u64,
    /// Unused keys under prefixes issued up to this time, in microseconds, are closed.
    closed_until_us: u64,
}

impl KeyTable {
    /// Creates the empty table of a daemon run; every restart has a new incarnation.
    ///
    /// A daemon must never reuse an incarnation: a key of the earlier run would be mistaken for
    /// an unused key of this run.
    pub fn new(run: DaemonRun, capacity: usize) -> Self {
        Self {
            run,
            capacity,
            entries: SlotMap::with_key(),
            ids: HashMap::new(),
            permission_deadlines: BTreeSet::new(),
            ended: VecDeque::new(),
            last_issued_us: 0,
            closed_until_us: 0,
        }
    }

    /// Daemon run whose prefixes the table decides on.
    pub fn run(&self) -> DaemonRun {
        self.run
    }

    /// Issues a prefix. A key under it must first be used within [`FIRST_USE_WINDOW`].
    pub fn issue(&mut self, now: Duration) -> String {
        // Every prefix is unique: two callers with the same prefix could choose the same suffix.
        self.last_issued_us = as_micros_u64(now).max(self.last_issued_us + 1);
        IssuedKey::prefix(self.run, self.last_issued_us)
    }

    /// Decides on an arriving request with a key.
    ///
    /// `fingerprint` identifies the request, so that a key is not reused for another one.
    pub fn begin(
        &mut self,
        now: Duration,
        key: &IssuedKey,
        fingerprint: u64,
        deadline: Duration,
    ) -> BeginResult {
        if let Some(entry_id) = self.find(now, key) {
            return self.answer_repeat(entry_id, fingerprint);
        }
        match self.classify_absent(now, key) {
            AbsentKey::Open => {}
            AbsentKey::Closed => return BeginResult::NotRun(NotRunReason::TableFull),
            AbsentKey::Unknown => return BeginResult::Unknown,
        }
        if !self.ensure_capacity(now) {
            self.close_prefixes_up_to(key);
            return BeginResult::TableFull;
        }
        let entry_id = self.insert(key, Some(fingerprint), deadline);
        if now >= deadline {
            self.set_ended(now, entry_id, Stage::NotRun(NotRunReason::DeadlinePassed));
            return BeginResult::NotRun(NotRunReason::DeadlinePassed);
        }
        self.permission_deadlines.insert((deadline, entry_id));
        BeginResult::Dispatch(DispatchPermission::new(raw_id(entry_id), deadline))
    }

    /// Records the dispatch to a backend server, immediately before the first byte is written.
    pub fn record_dispatch(
        &mut self,
        now: Duration,
        permission: DispatchPermission<Issued>,
    ) -> DispatchCheck<Issued> {
        let entry_id = entry_id(permission.raw_id);
        match self.entries.get(entry_id).map(|entry| entry.stage) {
            Some(Stage::Permitted) => {}
            Some(Stage::NotRun(reason)) => return DispatchCheck::NotRun(reason),
            _ => return DispatchCheck::NotRun(NotRunReason::Abandoned),
        }
        let decision = permission.check(now);
        match &decision {
            DispatchCheck::Proceed(_) => {
                let entry = &mut self.entries[entry_id];
                entry.stage = Stage::Running;
                self.permission_deadlines
                    .remove(&(entry.deadline, entry_id));
            }
            DispatchCheck::NotRun(reason) => self.set_ended(now, entry_id, Stage::NotRun(*reason)),
        }
        decision
    }

    /// Takes back an unused permission and sets the outcome "not run", which seals the key.
    pub fn refuse(
        &mut self,
        now: Duration,
        permission: DispatchPermission<Issued>,
        reason: NotRunReason,
    ) {
        let entry_id = entry_id(permission.raw_id);
        if self.stage(entry_id) == Some(Stage::Permitted) {
            self.set_ended(now, entry_id, Stage::NotRun(reason));
        }
    }

    /// Issues the permission again after the backend server stated that it did not run the
    /// request, so that another server can be tried before the deadline.
    pub fn reissue_permission(
        &mut self,
        dispatched: Dispatched<Issued>,
    ) -> DispatchPermission<Issued> {
        let entry_id = entry_id(dispatched.raw_id);
        let mut deadline = Duration::ZERO;
        if let Some(entry) = self.entries.get_mut(entry_id)
            && entry.stage == Stage::Running
        {
            entry.stage = Stage::Permitted;
            deadline = entry.deadline;
            self.permission_deadlines.insert((deadline, entry_id));
        }
        DispatchPermission::new(dispatched.raw_id, deadline)
    }

    /// Records the outcome of a dispatched request.
    pub fn finish(&mut self, now: Duration, dispatched: Dispatched<Issued>, outcome: Outcome) {
        let entry_id = entry_id(dispatched.raw_id);
        if self.stage(entry_id) == Some(Stage::Running) {
            let stage = match outcome {
                Outcome::Done(status) => Stage::Done(status),
                Outcome::NotRun => Stage::NotRun(NotRunReason::Refused),
                Outcome::Unknown => Stage::Unknown,
            };
            self.set_ended(now, entry_id, stage);
        }
    }

    /// Returns the state of a key. An unused key is sealed, so that "not run" stays true.
    pub fn state(&mut self, now: Duration, key: &IssuedKey) -> KeyState {
        if let Some(entry_id) = self.find(now, key) {
            return match self.entries[entry_id].stage {
                Stage::Permitted | Stage::Running => KeyState::Running,
                Stage::Done(status) => KeyState::Done(status),
                Stage::NotRun(_) => KeyState::NotRun,
                Stage::Unknown => KeyState::Unknown,
            };
        }
        match self.classify_absent(now, key) {
            AbsentKey::Unknown => return KeyState::Unknown,
            AbsentKey::Closed => return KeyState::NotRun,
            AbsentKey::Open => {}
        }
        if self.ensure_capacity(now) {
            let entry_id = self.insert(key, None, now);
            self.set_ended(now, entry_id, Stage::NotRun(NotRunReason::SealedByQuery));
        } else {
            self.close_prefixes_up_to(key);
        }
        KeyState::NotRun
    }

    /// Seals keys whose permission is past its deadline and removes outcomes past their
    /// lifetime.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(deadline, entry_id)) = self.permission_deadlines.first()
            && deadline <= now
        {
            self.set_ended(now, entry_id, Stage::NotRun(NotRunReason::DeadlinePassed));
        }
        self.remove_ended(now, KEY_LIFETIME);
    }

    /// Removes outcomes past half of their lifetime under memory pressure, and returns their
    /// number.
    pub fn evict(&mut self, now: Duration) -> usize {
        self.remove_ended(now, FIRST_USE_WINDOW)
    }

    /// Number of keys in the table, sealed and ended ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entry, as after a restart.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn stage(&self, entry_id: EntryId) -> Option<Stage> {
        self.entries.get(entry_id).map(|entry| entry.stage)
    }

    /// Finds the entry of a key, and seals it first if its permission is past the deadline.
    fn find(&mut self, now: Duration, key: &IssuedKey) -> Option<EntryId> {
        let entry_id = *self.ids.get(key)?;
        let entry = &self.entries[entry_id];
        if entry.stage == Stage::Permitted && now >= entry.deadline {
            self.set_ended(now, entry_id, Stage::NotRun(NotRunReason::DeadlinePassed));
        }
        Some(entry_id)
    }

    fn answer_repeat(&self, entry_id: EntryId, fingerprint: u64) -> BeginResult {
        let entry = &self.entries[entry_id];
        if entry.fingerprint.is_some_and(|known| known != fingerprint) {
            return BeginResult::NotRunConflict;
        }
        match entry.stage {
            Stage::Permitted | Stage::Running => BeginResult::InProgress,
            Stage::Done(status) => BeginResult::Done(status),
            Stage::NotRun(reason) => BeginResult::NotRun(reason),
            Stage::Unknown => BeginResult::Unknown,
        }
    }

    fn classify_absent(&self, now: Duration, key: &IssuedKey) -> AbsentKey {
        let open_until = Duration::from_micros(key.issued_us).saturating_add(FIRST_USE_WINDOW);
        if key.run != self.run || key.issued_us > self.last_issued_us || now >= open_until {
            // The key is of another run, was never issued, or may have been used and removed.
            AbsentKey::Unknown
        } else if key.issued_us <= self.closed_until_us {
            AbsentKey::Closed
        } else {
            AbsentKey::Open
        }
    }

    fn close_prefixes_up_to(&mut self, key: &IssuedKey) {
        self.closed_until_us = self.closed_until_us.max(key.issued_us);
    }

    fn ensure_capacity(&mut self, now: Duration) -> bool {
        if self.entries.len() >= self.capacity {
            self.expire(now);
        }
        if self.entries.len() >= self.capacity {
            self.evict(now);
        }
        self.entries.len() < self.capacity
    }

    fn insert(&mut self, key: &IssuedKey, fingerprint: Option<u64>, deadline: Duration) -> EntryId {
        let key = Arc::new(key.clone());
        let entry_id = self.entries.insert(Entry {
            key: Arc::clone(&key),
            fingerprint,
            deadline,
            stage: Stage::Permitted,
        });
        self.ids.insert(key, entry_id);
        entry_id
    }

    fn set_ended(&mut self, now: Duration, entry_id: EntryId, stage: Stage) {
        let entry = &mut self.entries[entry_id];
        entry.stage = stage;
        self.permission_deadlines
            .remove(&(entry.deadline, entry_id));
        // Prefixes issued in the same microsecond get later times of issue, so a key can be
        // used shortly before its nominal time of issue.
        let issued = Duration::from_micros(entry.key.issued_us);
        self.ended.push_back((now.max(issued), entry_id));
    }

    fn remove_ended(&mut self, now: Duration, age: Duration) -> usize {
        let before = self.entries.len();
        while let Some(&(lifetime_start, entry_id)) = self.ended.front()
            && lifetime_start.saturating_add(age) <= now
        {
            self.ended.pop_front();
            if let Some(entry) = self.entries.remove(entry_id) {
                self.ids.remove(&entry.key);
            }
        }
        before - self.entries.len()
    }
}

fn as_micros_u64(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn raw_id(entry_id: EntryId) -> u64 {
    entry_id.data().as_ffi()
}

fn entry_id(raw_id: u64) -> EntryId {
    EntryId::from(KeyData::from_ffi(raw_id))
}
