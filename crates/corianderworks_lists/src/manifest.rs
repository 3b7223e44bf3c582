//! Manifest of a list version, the commit point of a change.

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::chunk::{self, ChunkHash, ChunkRef, Contents, Kind};
use crate::lists::{Customers, Plans};

/// Path of the manifest in the platform.
pub const MANIFEST_PATH: &str = "lists/manifest";

/// Path prefix of the audit records of replaced versions in the platform.
pub const HISTORY_PREFIX: &str = "lists/history/";

/// Audit records that a manifest carries. Each costs about 250 bytes in every
/// change that is shipped; older records are in the history.
pub const RECENT_RECORDS: usize = 8;

/// Versions for which a dropped chunk is kept, for readers of an older manifest.
pub const KEPT_VERSIONS: u64 = 8;

/// Path of the audit record of a replaced version.
pub fn history_path(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version}")
}

/// One version of both lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Version number.
    pub version: u64,
    /// Plans that customers hold.
    pub customers: Customers,
    /// What each plan may use.
    pub plans: Plans,
}

/// Record of one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Version that the change was based on.
    pub from_version: u64,
    /// Version that the change produced.
    pub to_version: u64,
    /// Unique id of the change, chosen by the writer.
    pub change_id: String,
    /// Operator who made the change.
    pub who: String,
    /// When the writer prepared the change.
    pub when: Timestamp,
    /// Reason given by the operator.
    pub reason: String,
    /// Differences, one line each; only the first line in older records.
    pub summary: Vec<String>,
}

/// A chunk that a version dropped; an array in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Kind, ChunkRef)", into = "(u64, Kind, ChunkRef)")]
pub struct Dropped {
    /// Version that no longer names the chunk.
    pub in_version: u64,
    /// Kind of the entries of the chunk.
    pub kind: Kind,
    /// The chunk.
    pub chunk: ChunkRef,
}

impl From<(u64, Kind, ChunkRef)> for Dropped {
    fn from((in_version, kind, chunk): (u64, Kind, ChunkRef)) -> Self {
        Self {
            in_version,
            kind,
            chunk,
        }
    }
}

impl From<Dropped> for (u64, Kind, ChunkRef) {
    fn from(dropped: Dropped) -> Self {
        (dropped.in_version, dropped.kind, dropped.chunk)
    }
}

/// A list version: its chunks and the changes that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version number of the lists; independent of the object's version in the
    /// platform.
    pub version: u64,
    /// Chunks of this version.
    pub contents: Contents,
    /// Latest changes, newest first; the first produced this version.
    pub recent: Vec<AuditRecord>,
    /// Chunks dropped lately, kept for readers of an older manifest.
    #[serde(default)]
    pub dropped: Vec<Dropped>,
}

/// Failure to read a manifest or to assemble a version.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// A manifest or record is not valid JSON of the expected form.
    #[error("manifest or audit record cannot be read: {0}")]
    Manifest(serde_json::Error),
    /// Chunks are missing.
    #[error("{} chunks of version {version} are missing", hashes.len())]
    Missing {
        /// Version to assemble.
        version: u64,
        /// Hashes of the missing chunks.
        hashes: Vec<ChunkHash>,
    },
    /// The bytes of a chunk do not match its hash.
    #[error("chunk {0} is corrupt")]
    Corrupt(ChunkHash),
    /// A chunk is not valid JSON of the expected form.
    #[error("chunk {hash} cannot be read: {error}")]
    Chunk {
        /// Hash of the chunk.
        hash: ChunkHash,
        /// Cause.
        error: serde_json::Error,
    },
}

impl AuditRecord {
    /// Reads a record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ManifestError> {
        serde_json::from_slice(bytes).map_err(ManifestError::Manifest)
    }

    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has string keys and no fallible types")
    }
}

impl Manifest {
    /// Reads a manifest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ManifestError> {
        serde_json::from_slice(bytes).map_err(ManifestError::Manifest)
    }

    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has string keys and no fallible types")
    }

    /// Returns the record of the change that produced this version.
    pub fn change(&self) -> Option<&AuditRecord> {
        self.recent.first()
    }

    /// Returns the record of a recent change by its id.
    pub fn find_change(&self, change_id: &str) -> Option<&AuditRecord> {
        self.recent.iter().find(|r| r.change_id == change_id)
    }

    /// Builds the manifest that follows `base`, which is `None` for the first version.
    pub fn next(base: Option<&Manifest>, contents: Contents, record: AuditRecord) -> Self {
        let version = record.to_version;
        let mut recent = vec![record];
        let mut dropped = Vec::new();
        if let Some(base) = base {
            recent.extend(base.recent.iter().take(RECENT_RECORDS - 1).cloned());
            recent[1..].iter_mut().for_each(|r| r.summary.truncate(1));
            dropped.extend(base.dropped.iter().copied());
            dropped.extend(
                base.contents
                    .kinds()
                    .filter(|(_, chunk)| !contents.contains(&chunk.hash))
                    .map(|(kind, chunk)| Dropped {
                        in_version: version,
                        kind,
                        chunk: *chunk,
                    }),
            );
            dropped.retain(|d| d.in_version + KEPT_VERSIONS > version);
        }
        Self {
            version,
            contents,
            recent,
            dropped,
        }
    }

    /// Returns the chunks of an earlier version, or `None` if some of them may
    /// have been deleted.
    pub fn contents_of(&self, version: u64) -> Option<Contents> {
        if version == 0 || version > self.version || version + KEPT_VERSIONS < self.version {
            return None;
        }
        let dropped = self.dropped.iter().filter(|d| d.in_version > version);
        let chunks = self.contents.kinds().map(|(kind, chunk)| (kind, *chunk));
        let chunks = chunks.chain(dropped.map(|d| (d.kind, d.chunk)));
        Some(chunks.filter(|(_, c)| c.since <= version).collect())
    }

    /// Returns whether a stored chunk may be deleted.
    ///
    /// A later version names only chunks of its predecessor and new chunks with
    /// its own number in `since`. So a chunk that is old enough to be known to
    /// this version and that it does not name is never named again.
    pub fn is_garbage(&self, hash: &ChunkHash, since: u64) -> bool {
        since <= self.version && !self.is_known(hash)
    }

    /// Returns whether this version names the chunk or dropped it lately.
    pub fn is_known(&self, hash: &ChunkHash) -> bool {
        self.contents.contains(hash) || self.dropped.iter().any(|d| d.chunk.hash == *hash)
    }
}

/// Assembles the version of a manifest from its chunks.
pub fn assemble<F, B>(manifest: &Manifest, chunk: F) -> Result<Snapshot, ManifestError>
where
    F: Fn(&ChunkHash) -> Option<B>,
    B: AsRef<[u8]>,
{
    assemble_contents(manifest.version, &manifest.contents, chunk)
}

/// Assembles a version from its chunks.
pub fn assemble_contents<F, B>(
    version: u64,
    contents: &Contents,
    chunk: F,
) -> Result<Snapshot, ManifestError>
where
    F: Fn(&ChunkHash) -> Option<B>,
    B: AsRef<[u8]>,
{
    let (mut chunks, mut hashes) = (Vec::new(), Vec::new());
    for ChunkRef { hash, .. } in contents.iter() {
        match chunk(hash) {
            Some(bytes) => chunks.push((hash, bytes)),
            None => hashes.push(*hash),
        }
    }
    if !hashes.is_empty() {
        return Err(ManifestError::Missing { version, hashes });
    }
    let (customers, plans) = entries_of(chunks)?;
    Ok(Snapshot {
        version,
        customers,
        plans,
    })
}

/// Reads the entries of some chunks after a check of their hashes.
pub(crate) fn entries_of<'a, I, B>(chunks: I) -> Result<(Customers, Plans), ManifestError>
where
    I: IntoIterator<Item = (&'a ChunkHash, B)>,
    B: AsRef<[u8]>,
{
    let (mut customers, mut plans) = (Customers::default(), Plans::default());
    for (hash, bytes) in chunks {
        let bytes = bytes.as_ref();
        if ChunkHash::of(bytes) != *hash {
            return Err(ManifestError::Corrupt(*hash));
        }
        chunk::read_into(bytes, &mut customers, &mut plans)
            .map_err(|error| ManifestError::Chunk { hash: *hash, error })?;
    }
    Ok((customers, plans))
}
