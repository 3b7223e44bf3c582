//! List versions in the platform: reading, and driving a commit.

use std::collections::BTreeMap;

use bytes::Bytes;
use corianderworks_lists::apply::{Apply, Call, Next, Outcome, Reply, Request};
use corianderworks_lists::chunk::ChunkHash;
use corianderworks_lists::manifest::{
    HISTORY_PREFIX, MANIFEST_PATH, Manifest, ManifestError, Snapshot, assemble, history_path,
};
use tokio::task::JoinSet;

use crate::platform::{PlatformClient, PlatformError, WriteOutcome};

/// Chunks that are read at once.
const PARALLEL_READS: usize = 16;

/// Failure to read a list version.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A call failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A stored object is missing or damaged.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The version does not exist or its chunks have been deleted.
    #[error("there is no version {0}, or it is too old to be read")]
    NoVersion(u64),
    /// No version has been committed yet.
    #[error("the platform holds no lists yet; `lists apply --base 0` puts the first in force")]
    Empty,
}

/// Reads the manifest in force.
pub async fn manifest(client: &PlatformClient) -> Result<Option<Manifest>, StoreError> {
    let object = client.read(MANIFEST_PATH).await?;
    let manifest = object.map(|o| Manifest::from_bytes(&o.value)).transpose()?;
    Ok(manifest)
}

/// Reads the manifest of a version, by default the one in force.
pub async fn manifest_of(
    client: &PlatformClient,
    version: Option<u64>,
) -> Result<Manifest, StoreError> {
    let current = manifest(client).await?.ok_or(StoreError::Empty)?;
    match version {
        None => Ok(current),
        Some(version) if version == current.version => Ok(current),
        Some(version) => archived(client, version).await,
    }
}

async fn archived(client: &PlatformClient, version: u64) -> Result<Manifest, StoreError> {
    let object = client.read(&history_path(version)).await?;
    let object = object.ok_or(StoreError::NoVersion(version))?;
    Ok(Manifest::from_bytes(&object.value)?)
}

/// Reads a version with its chunks, by default the one in force.
pub async fn snapshot(
    client: &PlatformClient,
    version: Option<u64>,
) -> Result<Snapshot, StoreError> {
    let manifest = manifest_of(client, version).await?;
    let hashes: Vec<ChunkHash> = manifest.contents.iter().map(|c| c.hash).collect();
    let mut chunks = BTreeMap::new();
    for hashes in hashes.chunks(PARALLEL_READS) {
        let mut reads = JoinSet::new();
        for hash in hashes.iter().copied() {
            let client = client.clone();
            reads.spawn(async move { (hash, client.read(&hash.path()).await) });
        }
        for (hash, object) in reads.join_all().await {
            let object = object?.ok_or(StoreError::NoVersion(manifest.version))?;
            chunks.insert(hash, object.value);
        }
    }
    Ok(assemble(&manifest, |hash| chunks.get(hash))?)
}

/// Reads the latest manifests, newest first.
pub async fn history(client: &PlatformClient, limit: usize) -> Result<Vec<Manifest>, StoreError> {
    let Some(current) = manifest(client).await? else {
        return Ok(Vec::new());
    };
    let listed = client.list(HISTORY_PREFIX).await?;
    let number = |name: &str| name.rsplit('/').next()?.parse::<u64>().ok();
    let mut versions: Vec<u64> = listed.iter().filter_map(|l| number(&l.name)).collect();
    // A writer archives the version in force before it tries to replace it.
    versions.retain(|version| *version < current.version);
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.truncate(limit.saturating_sub(1));
    let mut manifests = vec![current];
    for version in versions {
        manifests.push(archived(client, version).await?);
    }
    manifests.truncate(limit);
    Ok(manifests)
}

/// Commits a change.
pub async fn commit(client: &PlatformClient, request: Request) -> Outcome {
    let (mut apply, mut next) = Apply::new(request);
    loop {
        match next {
            Next::Done(outcome) => return outcome,
            Next::Call(call) => next = apply.on(carry_out(client, call).await),
        }
    }
}

async fn carry_out(client: &PlatformClient, call: Call) -> Reply {
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
