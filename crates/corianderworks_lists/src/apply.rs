//! Commit of a new list version, as a state machine without I/O.
//!
//! The order of writes is: new chunks, the audit record of the replaced version
//! into the history, then the manifest by conditional update, which is the commit point. Afterwards
//! chunks that no version can name any more are deleted.
//!
//! A change can only become version `base + 1`. So a lost response is resolved
//! exactly: either the record of version `base + 1` has the id of this change,
//! or the change was not committed and never will be.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub use crate::apply_types::{Applied, Call, Next, Outcome, Reply, Request};
use crate::chunk::{self, CHUNK_PREFIX, Chunk, ChunkHash, Contents};
use crate::diff::Diff;
use crate::manifest::{AuditRecord, MANIFEST_PATH, Manifest, entries_of, history_path};

/// Attempts at one step before the change is given up.
const ATTEMPTS: u32 = 5;

/// Pause before another attempt, multiplied by the number of attempts so far.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest value of an object in the platform.
const OBJECT_LIMIT_BYTES: usize = 1_000_000;

/// Chunks deleted after one change. A change drops few chunks, so this only
/// bounds the work after a bulk change.
const SWEEP_LIMIT: usize = 64;

/// Manifest that the change replaces.
#[derive(Debug)]
struct Base {
    manifest: Manifest,
    object_version: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    ReadManifest,
    ReadOldChunks,
    WriteChunks,
    Archive,
    Commit,
    ReadBack,
    ReadRecord,
    List,
    ReadOrphan,
    DeleteOrphan,
}

/// State of one change.
#[derive(Debug)]
pub struct Apply {
    request: Request,
    phase: Phase,
    attempts: u32,
    base: Option<Base>,
    contents: Contents,
    new_chunks: Vec<Chunk>,
    written_chunks: usize,
    to_read: Vec<ChunkHash>,
    old_chunks: BTreeMap<ChunkHash, Vec<u8>>,
    next: Option<(Manifest, Vec<u8>)>,
    diff: Diff,
    maybe_committed: bool,
    lost_race: bool,
    current: Option<Manifest>,
    orphans: VecDeque<(ChunkHash, u64)>,
    deleted: usize,
}

impl Apply {
    /// Starts a change; the first call is to read the manifest.
    pub fn new(request: Request) -> (Self, Next) {
        let apply = Self {
            request,
            phase: Phase::ReadManifest,
            attempts: 0,
            base: None,
            contents: Contents::default(),
            new_chunks: Vec::new(),
            written_chunks: 0,
            to_read: Vec::new(),
            old_chunks: BTreeMap::new(),
            next: None,
            diff: Diff::default(),
            maybe_committed: false,
            lost_race: false,
            current: None,
            orphans: VecDeque::new(),
            deleted: 0,
        };
        let next = apply.call();
        (apply, next)
    }

    /// Takes the reply to the last call and returns the next action.
    pub fn on(&mut self, reply: Reply) -> Next {
        let sweeping = matches!(
            self.phase,
            Phase::List | Phase::ReadOrphan | Phase::DeleteOrphan
        );
        match (self.phase, reply) {
            (_, Reply::Resumed) => self.call(),
            (Phase::DeleteOrphan, reply) => self.orphan_deleted(&reply),
            // The change is committed; a later change deletes what remains.
            (_, Reply::Failed(_) | Reply::Unknown) if sweeping => self.applied(),
            (Phase::Commit, Reply::Unknown) => {
                self.maybe_committed = true;
                self.go_read_back()
            }
            (_, Reply::Failed(error)) => self.retry(&error),
            (_, Reply::Unknown) => self.retry("the platform did not confirm a write"),
            (Phase::ReadManifest, Reply::Object(object)) => self.manifest_read(object),
            (Phase::ReadOldChunks, Reply::Object(object)) => self.old_chunk_read(object),
            // An existing object with the same name has the same bytes.
            (Phase::WriteChunks, Reply::Written | Reply::Conflict) => self.chunk_written(),
            (Phase::Archive, Reply::Written | Reply::Conflict) => self.go(Phase::Commit),
            (Phase::Commit, Reply::Written) => self.go(Phase::List),
            (Phase::Commit, Reply::Conflict) => {
                self.lost_race = true;
                self.go_read_back()
            }
            (Phase::ReadBack, Reply::Object(object)) => self.read_back(object),
            (Phase::ReadRecord, Reply::Object(object)) => self.record_read(object),
            (Phase::List, Reply::Listed(objects)) => self.listed(objects),
            (Phase::ReadOrphan, Reply::Object(object)) => self.orphan_read(object),
            (phase, reply) => self.give_up(&format!("unexpected reply {reply:?} in {phase:?}")),
        }
    }

    fn go(&mut self, phase: Phase) -> Next {
        self.attempts = 0;
        self.phase = phase;
        self.call()
    }

    /// Reads the manifest to learn the result of the commit. The attempts at
    /// commit and read are counted together.
    fn go_read_back(&mut self) -> Next {
        self.phase = Phase::ReadBack;
        self.call()
    }

    fn call(&self) -> Next {
        let call = match self.phase {
            Phase::ReadManifest | Phase::ReadBack => Call::Read(MANIFEST_PATH.to_owned()),
            Phase::ReadOldChunks => match self.to_read.last() {
                Some(hash) => Call::Read(hash.path()),
                None => return Next::Done(Outcome::Failed("no chunk to read".to_owned())),
            },
            Phase::WriteChunks => {
                let chunk = &self.new_chunks[self.written_chunks];
                Call::Create(chunk.hash.path(), chunk.bytes.clone())
            }
            Phase::Archive => match self.base.as_ref().and_then(|b| b.manifest.change()) {
                Some(record) => Call::Create(history_path(record.to_version), record.to_bytes()),
                None => return self.commit_call(),
            },
            Phase::Commit => return self.commit_call(),
            Phase::ReadRecord => Call::Read(history_path(self.request.base_version + 1)),
            Phase::List => Call::List(CHUNK_PREFIX.to_owned()),
            Phase::ReadOrphan | Phase::DeleteOrphan => match self.orphans.front() {
                Some((hash, _)) if self.phase == Phase::ReadOrphan => Call::Read(hash.path()),
                Some((hash, version)) => Call::Delete(hash.path(), *version),
                None => return self.applied(),
            },
        };
        Next::Call(call)
    }

    fn commit_call(&self) -> Next {
        let bytes = self.next.as_ref().map_or(Vec::new(), |(_, b)| b.clone());
        let path = MANIFEST_PATH.to_owned();
        Next::Call(match &self.base {
            Some(base) => Call::Update(path, base.object_version, bytes),
            None => Call::Create(path, bytes),
        })
    }

    fn retry(&mut self, error: &str) -> Next {
        self.attempts += 1;
        if self.attempts >= ATTEMPTS {
            return self.give_up(error);
        }
        Next::Call(Call::Pause(PAUSE * self.attempts))
    }

    fn give_up(&self, error: &str) -> Next {
        Next::Done(if self.maybe_committed {
            Outcome::Undetermined(error.to_owned())
        } else {
            Outcome::Failed(error.to_owned())
        })
    }

    fn manifest_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Next {
        let base = match object.map(Base::read).transpose() {
            Ok(base) => base,
            Err(error) => return self.retry(&error),
        };
        let version = base.as_ref().map_or(0, |b| b.manifest.version);
        if let Some(base) = &base {
            if let Some(record) = base.manifest.find_change(&self.request.change_id) {
                return already_applied(record);
            }
            if version > self.request.base_version {
                return self.outdated(&base.manifest);
            }
        }
        if version < self.request.base_version {
            // Either the platform returned a stale value or the base is wrong.
            return self.retry(&format!(
                "the platform has version {version}, older than the base version {}",
                self.request.base_version
            ));
        }
        self.base = base;
        self.prepare()
    }

    fn prepare(&mut self) -> Next {
        let Request {
            customers, plans, ..
        } = &self.request;
        let previous = self.base.as_ref().map(|b| &b.manifest.contents);
        let version = self.request.base_version + 1;
        let (contents, new_chunks) = chunk::split(customers, plans, version, previous);
        self.to_read = previous
            .into_iter()
            .flat_map(Contents::iter)
            .filter(|old| !contents.contains(&old.hash))
            .map(|old| old.hash)
            .collect();
        if self.base.is_some() && self.to_read.is_empty() && new_chunks.is_empty() {
            let version = self.request.base_version;
            return Next::Done(Outcome::Unchanged { version });
        }
        (self.contents, self.new_chunks) = (contents, new_chunks);
        if self.to_read.is_empty() {
            return self.build();
        }
        self.go(Phase::ReadOldChunks)
    }

    fn old_chunk_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Next {
        let Some((bytes, _)) = object else {
            // Chunks of the version in force are never deleted, so a newer
            // version is in force.
            return self.retry("a chunk of the base version is missing");
        };
        if let Some(hash) = self.to_read.pop() {
            self.old_chunks.insert(hash, bytes);
        }
        if self.to_read.is_empty() {
            return self.build();
        }
        self.go(Phase::ReadOldChunks)
    }

    /// Builds the manifest. Unchanged buckets cannot differ, so the differences
    /// are those between the old and the new chunks of the changed buckets.
    fn build(&mut self) -> Next {
        let new = self.new_chunks.iter().map(|c| (&c.hash, &c.bytes));
        let (old, new) = match (entries_of(self.old_chunks.iter()), entries_of(new)) {
            (Ok(old), Ok(new)) => (old, new),
            (Err(error), _) | (_, Err(error)) => return self.give_up(&error.to_string()),
        };
        self.diff = Diff::between((&old.0, &old.1), (&new.0, &new.1));
        let record = AuditRecord {
            from_version: self.request.base_version,
            to_version: self.request.base_version + 1,
            change_id: self.request.change_id.clone(),
            who: self.request.who.clone(),
            when: self.request.when,
            reason: self.request.reason.clone(),
            summary: self.diff.summary(),
        };
        let base = self.base.as_ref().map(|b| &b.manifest);
        let next = Manifest::next(base, self.contents.clone(), record);
        let bytes = next.to_bytes();
        let sizes = self.new_chunks.iter().map(|c| c.bytes.len());
        if sizes.chain([bytes.len()]).any(|s| s > OBJECT_LIMIT_BYTES) {
            return self.give_up("a chunk would exceed the platform's limit of 1 MB");
        }
        self.next = Some((next, bytes));
        if self.new_chunks.is_empty() {
            return self.go(Phase::Archive);
        }
        self.go(Phase::WriteChunks)
    }

    fn chunk_written(&mut self) -> Next {
        self.written_chunks += 1;
        if self.written_chunks < self.new_chunks.len() {
            return self.go(Phase::WriteChunks);
        }
        let archive = self.base.is_some();
        self.go(if archive {
            Phase::Archive
        } else {
            Phase::Commit
        })
    }

    /// Determines the result of a commit from the manifest in force.
    fn read_back(&mut self, object: Option<(Vec<u8>, u64)>) -> Next {
        let manifest = match object.map(Base::read).transpose() {
            Ok(base) => base.map(|b| b.manifest),
            Err(error) => return self.retry(&error),
        };
        let Some(manifest) = manifest.filter(|m| m.version > self.request.base_version) else {
            if self.lost_race {
                // The write found a newer version that this read does not show.
                return self.retry("the platform returned a stale manifest");
            }
            // Not applied so far. Sending the same conditional update again is
            // safe: at most one of the two can take effect.
            self.phase = Phase::Commit;
            return self.retry("the platform did not confirm the commit");
        };
        let version = self.request.base_version + 1;
        match manifest.recent.iter().find(|r| r.to_version == version) {
            Some(record) if record.change_id == self.request.change_id => self.go(Phase::List),
            Some(_) => self.outdated(&manifest),
            None => {
                self.current = Some(manifest);
                self.go(Phase::ReadRecord)
            }
        }
    }

    fn record_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Next {
        let Some((bytes, _)) = object else {
            return self.retry("the record of the next version is missing");
        };
        match (AuditRecord::from_bytes(&bytes), &self.current) {
            (Ok(record), _) if record.change_id == self.request.change_id => self.go(Phase::List),
            (Ok(_), Some(current)) => self.outdated(current),
            (Ok(_), None) => self.go_read_back(),
            (Err(error), _) => self.retry(&error.to_string()),
        }
    }

    fn outdated(&self, current: &Manifest) -> Next {
        let base = self.request.base_version;
        let records = current.recent.iter().filter(|r| r.to_version > base);
        Next::Done(Outcome::Outdated {
            version: current.version,
            since_base: records.cloned().collect(),
        })
    }

    fn listed(&mut self, objects: Vec<(String, u64)>) -> Next {
        if let Some((next, _)) = &self.next {
            self.orphans = objects
                .iter()
                .filter_map(|(name, version)| Some((ChunkHash::from_path(name)?, *version)))
                .filter(|(hash, _)| !next.is_known(hash))
                .take(SWEEP_LIMIT)
                .collect();
        }
        self.go(Phase::ReadOrphan)
    }

    fn orphan_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Next {
        let garbage = match (self.orphans.front(), &self.next, object) {
            (Some((hash, _)), Some((next, _)), Some((bytes, _))) => {
                chunk::since(&bytes).is_some_and(|since| next.is_garbage(hash, since))
            }
            _ => false,
        };
        if garbage {
            return self.go(Phase::DeleteOrphan);
        }
        self.orphans.pop_front();
        self.go(Phase::ReadOrphan)
    }

    fn orphan_deleted(&mut self, reply: &Reply) -> Next {
        self.deleted += usize::from(*reply == Reply::Written);
        self.orphans.pop_front();
        self.go(Phase::ReadOrphan)
    }

    fn applied(&self) -> Next {
        let chunk_bytes: usize = self.new_chunks.iter().map(|c| c.bytes.len()).sum();
        let manifest_bytes = self.next.as_ref().map_or(0, |(_, b)| b.len());
        Next::Done(Outcome::Applied(Applied {
            version: self.request.base_version + 1,
            diff: self.diff.clone(),
            chunks: self.new_chunks.len(),
            shipped_bytes: chunk_bytes + manifest_bytes,
            deleted: self.deleted,
        }))
    }
}

impl Base {
    fn read((bytes, object_version): (Vec<u8>, u64)) -> Result<Self, String> {
        let manifest = Manifest::from_bytes(&bytes).map_err(|e| e.to_string())?;
        Ok(Self {
            manifest,
            object_version,
        })
    }
}

fn already_applied(record: &AuditRecord) -> Next {
    Next::Done(Outcome::Applied(Applied {
        version: record.to_version,
        diff: Diff::default(),
        chunks: 0,
        shipped_bytes: 0,
        deleted: 0,
    }))
}
