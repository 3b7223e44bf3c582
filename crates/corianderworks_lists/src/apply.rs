//! Commit of a new list version, as a state machine without I/O.
//!
//! The writes are ordered: the new chunks, the audit record of the replaced version in the history,
//! then a conditional update of the manifest, which is the commit point. Afterwards, chunks that no
//! version can reference any more are deleted.
//!
//! A change can only become version `base + 1`. The result of a commit whose response was lost can
//! therefore always be determined: either the audit record of version `base + 1` has the id of this
//! change, or the change was not committed and never will be.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub use crate::apply_types::{Action, Applied, Call, Outcome, Reply, Request};
use crate::chunk::{self, CHUNK_PREFIX, Chunk, ChunkHash, Contents};
use crate::diff::Diff;
use crate::manifest::{AuditRecord, MANIFEST_PATH, Manifest, decode_chunks, history_path};

/// Maximum number of attempts at one step before the change fails.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before another attempt, multiplied by the number of attempts so far.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum size of an object value that the platform accepts.
const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Maximum number of unreferenced chunks that are examined after one change. A change drops few
/// chunks, so this only bounds the work after a bulk change.
const MAX_EXAMINED_UNREFERENCED: usize = 64;

/// Manifest that the change replaces, with the version of its object in the platform.
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
    ArchiveRecord,
    Commit,
    ReadBack,
    ReadRecord,
    ListChunks,
    ReadUnreferenced,
    DeleteUnreferenced,
}

/// State machine that commits one change.
#[derive(Debug)]
pub struct Apply {
    request: Request,
    phase: Phase,
    attempts: u32,
    base: Option<Base>,
    contents: Contents,
    new_chunks: Vec<Chunk>,
    written_chunks: usize,
    old_chunks_to_read: Vec<ChunkHash>,
    old_chunks: BTreeMap<ChunkHash, Vec<u8>>,
    new_manifest: Option<(Manifest, Vec<u8>)>,
    diff: Diff,
    maybe_committed: bool,
    commit_conflicted: bool,
    current_manifest: Option<Manifest>,
    unreferenced: VecDeque<(ChunkHash, u64)>,
    deleted_chunks: usize,
}

impl Apply {
    /// Starts a change. The first action is to read the manifest.
    pub fn new(request: Request) -> (Self, Action) {
        let apply = Self {
            request,
            phase: Phase::ReadManifest,
            attempts: 0,
            base: None,
            contents: Contents::default(),
            new_chunks: Vec::new(),
            written_chunks: 0,
            old_chunks_to_read: Vec::new(),
            old_chunks: BTreeMap::new(),
            new_manifest: None,
            diff: Diff::default(),
            maybe_committed: false,
            commit_conflicted: false,
            current_manifest: None,
            unreferenced: VecDeque::new(),
            deleted_chunks: 0,
        };
        let action = apply.current_call();
        (apply, action)
    }

    /// Handles the reply to the last call and returns the next action.
    pub fn handle_reply(&mut self, reply: Reply) -> Action {
        let deleting_unreferenced = matches!(
            self.phase,
            Phase::ListChunks | Phase::ReadUnreferenced | Phase::DeleteUnreferenced
        );
        match (self.phase, reply) {
            (_, Reply::Resumed) => self.current_call(),
            (Phase::DeleteUnreferenced, reply) => self.on_unreferenced_deleted(&reply),
            // The change is already committed, and a later change deletes the remaining chunks.
            (_, Reply::Failed(_) | Reply::Unknown) if deleting_unreferenced => self.applied(),
            (Phase::Commit, Reply::Unknown) => {
                self.maybe_committed = true;
                self.enter_read_back()
            }
            (_, Reply::Failed(error)) => self.retry(&error),
            (_, Reply::Unknown) => self.retry("the platform did not confirm a write"),
            (Phase::ReadManifest, Reply::Object(object)) => self.on_manifest_read(object),
            (Phase::ReadOldChunks, Reply::Object(object)) => self.on_old_chunk_read(object),
            // An existing chunk or audit record at the same path has the same bytes.
            (Phase::WriteChunks, Reply::Written | Reply::Conflict) => self.on_chunk_written(),
            (Phase::ArchiveRecord, Reply::Written | Reply::Conflict) => self.enter(Phase::Commit),
            (Phase::Commit, Reply::Written) => self.enter(Phase::ListChunks),
            (Phase::Commit, Reply::Conflict) => {
                self.commit_conflicted = true;
                self.enter_read_back()
            }
            (Phase::ReadBack, Reply::Object(object)) => self.on_read_back(object),
            (Phase::ReadRecord, Reply::Object(object)) => self.on_record_read(object),
            (Phase::ListChunks, Reply::Listed(objects)) => self.on_chunks_listed(objects),
            (Phase::ReadUnreferenced, Reply::Object(object)) => self.on_unreferenced_read(object),
            (phase, reply) => self.fail(&format!("unexpected reply {reply:?} in {phase:?}")),
        }
    }

    fn enter(&mut self, phase: Phase) -> Action {
        self.attempts = 0;
        self.phase = phase;
        self.current_call()
    }

    /// Reads the manifest to determine the result of the commit. The attempts are not reset, so
    /// that those of the commit and of the read count together.
    fn enter_read_back(&mut self) -> Action {
        self.phase = Phase::ReadBack;
        self.current_call()
    }

    fn current_call(&self) -> Action {
        let call = match self.phase {
            Phase::ReadManifest | Phase::ReadBack => Call::Read(MANIFEST_PATH.to_owned()),
            Phase::ReadOldChunks => match self.old_chunks_to_read.last() {
                Some(hash) => Call::Read(hash.path()),
                None => {
                    return Action::Done(Outcome::Failed(
                        "there is no chunk left to read".to_owned(),
                    ));
                }
            },
            Phase::WriteChunks => {
                let chunk = &self.new_chunks[self.written_chunks];
                Call::Create(chunk.hash.path(), chunk.bytes.clone())
            }
            Phase::ArchiveRecord => match self.base.as_ref().and_then(|b| b.manifest.change()) {
                Some(record) => Call::Create(history_path(record.to_version), record.to_bytes()),
                None => return self.commit_call(),
            },
            Phase::Commit => return self.commit_call(),
            Phase::ReadRecord => Call::Read(history_path(self.request.base_version + 1)),
            Phase::ListChunks => Call::List(CHUNK_PREFIX.to_owned()),
            Phase::ReadUnreferenced | Phase::DeleteUnreferenced => {
                match self.unreferenced.front() {
                    Some((hash, _)) if self.phase == Phase::ReadUnreferenced => {
                        Call::Read(hash.path())
                    }
                    Some((hash, version)) => Call::Delete(hash.path(), *version),
                    None => return self.applied(),
                }
            }
        };
        Action::Call(call)
    }

    fn commit_call(&self) -> Action {
        let bytes = self
            .new_manifest
            .as_ref()
            .map_or(Vec::new(), |(_, b)| b.clone());
        let path = MANIFEST_PATH.to_owned();
        Action::Call(match &self.base {
            Some(base) => Call::Update(path, base.object_version, bytes),
            None => Call::Create(path, bytes),
        })
    }

    fn retry(&mut self, error: &str) -> Action {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return self.fail(error);
        }
        Action::Call(Call::Pause(RETRY_DELAY * self.attempts))
    }

    fn fail(&self, error: &str) -> Action {
        Action::Done(if self.maybe_committed {
            Outcome::Undetermined(error.to_owned())
        } else {
            Outcome::Failed(error.to_owned())
        })
    }

    fn on_manifest_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Action {
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
            // Either the platform returned a stale manifest or the base version is wrong.
            return self.retry(&format!(
                "the platform has version {version}, older than the base version {}",
                self.request.base_version
            ));
        }
        self.base = base;
        self.split_lists()
    }

    fn split_lists(&mut self) -> Action {
        let Request {
            customers, plans, ..
        } = &self.request;
        let previous = self.base.as_ref().map(|b| &b.manifest.contents);
        let version = self.request.base_version + 1;
        let (contents, new_chunks) = chunk::split(customers, plans, version, previous);
        self.old_chunks_to_read = previous
            .into_iter()
            .flat_map(Contents::iter)
            .filter(|old| !contents.contains(&old.hash))
            .map(|old| old.hash)
            .collect();
        if self.base.is_some() && self.old_chunks_to_read.is_empty() && new_chunks.is_empty() {
            let version = self.request.base_version;
            return Action::Done(Outcome::Unchanged { version });
        }
        (self.contents, self.new_chunks) = (contents, new_chunks);
        if self.old_chunks_to_read.is_empty() {
            return self.build_manifest();
        }
        self.enter(Phase::ReadOldChunks)
    }

    fn on_old_chunk_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Action {
        let Some((bytes, _)) = object else {
            // Chunks of the version in force are never deleted, so a newer version is in force.
            return self.retry("a chunk of the base version is missing");
        };
        if let Some(hash) = self.old_chunks_to_read.pop() {
            self.old_chunks.insert(hash, bytes);
        }
        if self.old_chunks_to_read.is_empty() {
            return self.build_manifest();
        }
        self.enter(Phase::ReadOldChunks)
    }

    /// Builds the new manifest. The diff is computed from the old and the new chunks of the changed
    /// buckets only, because unchanged buckets contain no differences.
    fn build_manifest(&mut self) -> Action {
        let new = self.new_chunks.iter().map(|c| (&c.hash, &c.bytes));
        let (old, new) = match (decode_chunks(self.old_chunks.iter()), decode_chunks(new)) {
            (Ok(old), Ok(new)) => (old, new),
            (Err(error), _) | (_, Err(error)) => return self.fail(&error.to_string()),
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
        let new_manifest = Manifest::next(base, self.contents.clone(), record);
        let bytes = new_manifest.to_bytes();
        let sizes = self.new_chunks.iter().map(|c| c.bytes.len());
        if sizes.chain([bytes.len()]).any(|s| s > MAX_OBJECT_BYTES) {
            return self.fail("a chunk or the manifest would exceed the platform's limit of 1 MB");
        }
        self.new_manifest = Some((new_manifest, bytes));
        if self.new_chunks.is_empty() {
            return self.enter(Phase::ArchiveRecord);
        }
        self.enter(Phase::WriteChunks)
    }

    fn on_chunk_written(&mut self) -> Action {
        self.written_chunks += 1;
        if self.written_chunks < self.new_chunks.len() {
            return self.enter(Phase::WriteChunks);
        }
        let has_base = self.base.is_some();
        self.enter(if has_base {
            Phase::ArchiveRecord
        } else {
            Phase::Commit
        })
    }

    /// Determines the result of the commit from the manifest in force.
    fn on_read_back(&mut self, object: Option<(Vec<u8>, u64)>) -> Action {
        let manifest = match object.map(Base::read).transpose() {
            Ok(base) => base.map(|b| b.manifest),
            Err(error) => return self.retry(&error),
        };
        let Some(manifest) = manifest.filter(|m| m.version > self.request.base_version) else {
            if self.commit_conflicted {
                // The commit failed because of a newer version, which this read does not return.
                return self.retry("the platform returned a stale manifest");
            }
            // The commit has not taken effect so far. Sending the same conditional update again is
            // safe, because at most one of the two can take effect.
            self.phase = Phase::Commit;
            return self.retry("the platform did not confirm the commit");
        };
        let version = self.request.base_version + 1;
        match manifest.recent.iter().find(|r| r.to_version == version) {
            Some(record) if record.change_id == self.request.change_id => {
                self.enter(Phase::ListChunks)
            }
            Some(_) => self.outdated(&manifest),
            None => {
                self.current_manifest = Some(manifest);
                self.enter(Phase::ReadRecord)
            }
        }
    }

    fn on_record_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Action {
        let Some((bytes, _)) = object else {
            return self.retry("the audit record of the version after the base version is missing");
        };
        match (AuditRecord::from_bytes(&bytes), &self.current_manifest) {
            (Ok(record), _) if record.change_id == self.request.change_id => {
                self.enter(Phase::ListChunks)
            }
            (Ok(_), Some(current)) => self.outdated(current),
            (Ok(_), None) => self.enter_read_back(),
            (Err(error), _) => self.retry(&error.to_string()),
        }
    }

    fn outdated(&self, current: &Manifest) -> Action {
        let base = self.request.base_version;
        let records = current.recent.iter().filter(|r| r.to_version > base);
        Action::Done(Outcome::Outdated {
            version: current.version,
            since_base: records.cloned().collect(),
        })
    }

    fn on_chunks_listed(&mut self, objects: Vec<(String, u64)>) -> Action {
        if let Some((new_manifest, _)) = &self.new_manifest {
            self.unreferenced = objects
                .iter()
                .filter_map(|(name, version)| Some((ChunkHash::from_path(name)?, *version)))
                .filter(|(hash, _)| !new_manifest.is_retained(hash))
                .take(MAX_EXAMINED_UNREFERENCED)
                .collect();
        }
        self.enter(Phase::ReadUnreferenced)
    }

    fn on_unreferenced_read(&mut self, object: Option<(Vec<u8>, u64)>) -> Action {
        let garbage = match (self.unreferenced.front(), &self.new_manifest, object) {
            (Some((hash, _)), Some((new_manifest, _)), Some((bytes, _))) => {
                chunk::introducing_version(&bytes)
                    .is_some_and(|since| new_manifest.is_garbage(hash, since))
            }
            _ => false,
        };
        if garbage {
            return self.enter(Phase::DeleteUnreferenced);
        }
        self.unreferenced.pop_front();
        self.enter(Phase::ReadUnreferenced)
    }

    fn on_unreferenced_deleted(&mut self, reply: &Reply) -> Action {
        self.deleted_chunks += usize::from(*reply == Reply::Written);
        self.unreferenced.pop_front();
        self.enter(Phase::ReadUnreferenced)
    }

    fn applied(&self) -> Action {
        let chunk_bytes: usize = self.new_chunks.iter().map(|c| c.bytes.len()).sum();
        let manifest_bytes = self.new_manifest.as_ref().map_or(0, |(_, b)| b.len());
        Action::Done(Outcome::Applied(Applied {
            version: self.request.base_version + 1,
            diff: self.diff.clone(),
            chunks: self.new_chunks.len(),
            shipped_bytes: chunk_bytes + manifest_bytes,
            deleted: self.deleted_chunks,
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

fn already_applied(record: &AuditRecord) -> Action {
    Action::Done(Outcome::Applied(Applied {
        version: record.to_version,
        diff: Diff::default(),
        chunks: 0,
        shipped_bytes: 0,
        deleted: 0,
    }))
}
