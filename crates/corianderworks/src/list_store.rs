//! Reads and commits versions of the lists in the platform's object store.

use std::collections::BTreeMap;

use bytes::Bytes;
use corianderworks_lists::apply::{Apply, Call, Next, Outcome, Reply, Request};
use corianderworks_lists::chunk::ChunkHash;
use corianderworks_lists::manifest::{
    AuditRecord, MANIFEST_PATH, Manifest, ManifestError, Snapshot, assemble_contents, history_path,
};

use crate::platform::{PlatformClient, PlatformError, WriteOutcome};

/// Number of objects that are read concurrently.
const PARALLEL_READS: usize = 16;

/// Failure to read a version of the lists.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A stored object is missing or damaged.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The version does not exist or its chunks have been deleted.
    #[error("there is no version {0}, or it is too old to be read")]
    NoVersion(u64),
    /// The task of a read was cancelled or panicked.
    #[error("a read was aborted: {0}")]
    Read(String),
    /// No version has been committed yet.
    #[error("the platform has no lists yet; `lists apply --base 0` commits the first version")]
    Empty,
}

/// Reads the current manifest; `None` before the first commit.
pub async fn manifest(client: &PlatformClient) -> Result<Option<Manifest>, StoreError> {
    let object = client.read(MANIFEST_PATH).await?;
    let manifest = object.map(|o| Manifest::from_bytes(&o.value)).transpose()?;
    Ok(manifest)
}

/// Reads a version with its chunks; `None` selects the current version.
pub async fn snapshot(
    client: &PlatformClient,
    version: Option<u64>,
) -> Result<Snapshot, StoreError> {
    let manifest = manifest(client).await?.ok_or(StoreError::Empty)?;
    let version = version.unwrap_or(manifest.version);
    let missing_version = StoreError::NoVersion(version);
    let Some(contents) = manifest.contents_of(version) else {
        return Err(missing_version);
    };
    let hashes: Vec<ChunkHash> = contents.iter().map(|c| c.hash).collect();
    let mut chunks = BTreeMap::new();
    for hashes in hashes.chunks(PARALLEL_READS) {
        let paths = hashes.iter().map(ChunkHash::path);
        let values = read_all(client, paths).await?;
        for (hash, value) in hashes.iter().zip(values) {
            let Some(value) = value else {
                return Err(missing_version);
            };
            chunks.insert(*hash, value);
        }
    }
    Ok(assemble_contents(version, &contents, |hash| {
        chunks.get(hash)
    })?)
}

/// Reads the latest audit records that `keep` accepts, newest first: at most `limit` of them, from
/// the current version and the `scan_versions` versions before it.
pub async fn history<F>(
    client: &PlatformClient,
    limit: usize,
    scan_versions: u64,
    keep: F,
) -> Result<Vec<AuditRecord>, StoreError>
where
    F: Fn(&AuditRecord) -> bool,
{
    let Some(current) = manifest(client).await? else {
        return Ok(Vec::new());
    };
    let mut records: Vec<AuditRecord> = current.change().cloned().into_iter().collect();
    records.retain(&keep);
    let oldest = current.version.saturating_sub(scan_versions).max(1);
    let versions: Vec<u64> = (oldest..current.version).rev().collect();
    for versions in versions.chunks(PARALLEL_READS) {
        if records.len() >= limit {
            break;
        }
        let paths = versions.iter().copied().map(history_path);
        for value in read_all(client, paths).await?.into_iter().flatten() {
            records.push(AuditRecord::from_bytes(&value)?);
        }
        records.retain(&keep);
    }
    records.truncate(limit);
    Ok(records)
}

/// Reads objects concurrently; `None` stands for an absent object.
async fn read_all<I>(client: &PlatformClient, paths: I) -> Result<Vec<Option<Bytes>>, StoreError>
where
    I: Iterator<Item = String>,
{
    let reads: Vec<_> = paths
        .map(|path| {
            let client = client.clone();
            tokio::spawn(async move { client.read(&path).await })
        })
        .collect();
    let mut values = Vec::new();
    for read in reads {
        let object = read.await.map_err(|e| StoreError::Read(e.to_string()))??;
        values.push(object.map(|o| o.value));
    }
    Ok(values)
}

/// Commits a change by running the calls of the [`Apply`] state machine until it is done.
pub async fn commit(client: &PlatformClient, request: Request) -> Outcome {
    let (mut apply, mut next) = Apply::new(request);
    loop {
        match next {
            Next::Done(outcome) => return outcome,
            Next::Call(call) => next = apply.on(execute(client, call).await),
        }
    }
}

async fn execute(client: &PlatformClient, call: Call) -> Reply {
    let reply = match call {
        Call::Read(path) => client
            .read(&path)
            .await
            .map(|object| Reply::Object(object.map(|o| (o.value.to_vec(), o.version)))),
        Call::Create(path, value) => client
            .create(&path, Bytes::from(value))
            .await
            .map(write_reply),
        Call::Update(path, version, value) => client
            .update(&path, version, Bytes::from(value))
            .await
            .map(write_reply),
        Call::Delete(path, version) => client.delete(&path, version).await.map(write_reply),
        Call::List(prefix) => client
            .list(&prefix)
            .await
            .map(|listed| Reply::Listed(listed.into_iter().map(|l| (l.name, l.version)).collect())),
        Call::Pause(pause) => {
            tokio::time::sleep(pause).await;
            Ok(Reply::Resumed)
        }
    };
    reply.unwrap_or_else(|error| Reply::Failed(error.to_string()))
}

fn write_reply(outcome: WriteOutcome) -> Reply {
    match outcome {
        WriteOutcome::Written(_) => Reply::Written,
        WriteOutcome::Conflict => Reply::Conflict,
        WriteOutcome::Unknown => Reply::Unknown,
    }
}
