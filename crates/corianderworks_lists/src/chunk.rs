//! Content-addressed chunks of a list version.
//!
//! Customers, services and plans are partitioned into buckets by a hash of
//! their name, so that one change rewrites one bucket. The bytes of a chunk
//! contain the version that introduced it: a chunk that a later version dropped
//! is never named again, even if the same content returns, and can be deleted
//! at any time without a race against a writer.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::lists::{Customers, Plans};

/// Path prefix of the chunks in the platform.
pub const CHUNK_PREFIX: &str = "lists/chunks/";

/// Number of buckets of customers. More buckets make the rewritten bucket
/// smaller and the manifest longer. Measured at 19,000 customers with the
/// example `change_size`: a changed customer ships 31 KB with 32 buckets, 23 KB
/// with 64 and 22 KB with 128, while other changes ship 5 KB more with 128.
pub const CUSTOMER_BUCKETS: u16 = 64;

/// Number of buckets of services.
pub const SERVICE_BUCKETS: u16 = 32;

/// Number of buckets of plans.
pub const PLAN_BUCKETS: u16 = 8;

/// BLAKE3 hash of the bytes of a chunk.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChunkHash([u8; 32]);

impl ChunkHash {
    /// Hashes the bytes of a chunk.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the path of the chunk in the platform.
    pub fn path(&self) -> String {
        format!("{CHUNK_PREFIX}{self}")
    }

    /// Reads the hash from the last segment of a path.
    pub fn from_path(path: &str) -> Option<Self> {
        path.rsplit('/').next()?.to_owned().try_into().ok()
    }

    /// Returns the 32 bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<[u8; 32]> for ChunkHash {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkHash({self})")
    }
}

impl From<ChunkHash> for String {
    fn from(hash: ChunkHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for ChunkHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(&text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|e| format!("invalid chunk hash `{text}`: {e}"))
    }
}

/// A chunk, ready to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the bytes.
    pub hash: ChunkHash,
    /// Bytes as stored.
    pub bytes: Vec<u8>,
}

/// A chunk as named by a manifest; an array `[bucket, since, hash]` in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u64, ChunkHash)", into = "(u16, u64, ChunkHash)")]
pub struct ChunkRef {
    /// Bucket within its kind.
    pub bucket: u16,
    /// Version that introduced the chunk.
    pub since: u64,
    /// Hash of the bytes.
    pub hash: ChunkHash,
}

impl From<(u16, u64, ChunkHash)> for ChunkRef {
    fn from((bucket, since, hash): (u16, u64, ChunkHash)) -> Self {
        Self {
            bucket,
            since,
            hash,
        }
    }
}

impl From<ChunkRef> for (u16, u64, ChunkHash) {
    fn from(chunk: ChunkRef) -> Self {
        (chunk.bucket, chunk.since, chunk.hash)
    }
}

/// Chunks of one version, sorted by bucket; empty buckets have no chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Contents {
    /// Buckets of customers.
    pub customers: Vec<ChunkRef>,
    /// Buckets of services.
    pub services: Vec<ChunkRef>,
    /// Buckets of plans.
    pub plans: Vec<ChunkRef>,
}

impl Contents {
    /// Iterates over all chunks.
    pub fn iter(&self) -> impl Iterator<Item = &ChunkRef> {
        self.kinds().map(|(_, chunk)| chunk)
    }

    /// Iterates over all chunks with the kind of their entries.
    pub fn kinds(&self) -> impl Iterator<Item = (Kind, &ChunkRef)> {
        fn of(kind: Kind, chunks: &[ChunkRef]) -> impl Iterator<Item = (Kind, &ChunkRef)> {
            chunks.iter().map(move |chunk| (kind, chunk))
        }
        of(Kind::Customers, &self.customers)
            .chain(of(Kind::Services, &self.services))
            .chain(of(Kind::Plans, &self.plans))
    }

    /// Returns whether the chunk belongs to this version.
    pub fn contains(&self, hash: &ChunkHash) -> bool {
        self.iter().any(|chunk| chunk.hash == *hash)
    }
}

impl FromIterator<(Kind, ChunkRef)> for Contents {
    fn from_iter<I>(chunks: I) -> Self
    where
        I: IntoIterator<Item = (Kind, ChunkRef)>,
    {
        let mut contents = Self::default();
        for (kind, chunk) in chunks {
            match kind {
                Kind::Customers => contents.customers.push(chunk),
                Kind::Services => contents.services.push(chunk),
                Kind::Plans => contents.plans.push(chunk),
            }
        }
        for chunks in [
            &mut contents.customers,
            &mut contents.services,
            &mut contents.plans,
        ] {
            chunks.sort_by_key(|chunk| chunk.bucket);
        }
        contents
    }
}

/// Kind of the entries of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Customers.
    Customers,
    /// Services.
    Services,
    /// Plans.
    Plans,
}

/// Stored form of a bucket.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
struct Bucket<T> {
    /// Version that introduced the chunk.
    since: u64,
    /// Kind of the entries.
    kind: Kind,
    /// Bucket within its kind.
    bucket: u16,
    /// Entries by name.
    entries: BTreeMap<String, T>,
}

/// Splits the lists into chunks for version `version`.
///
/// Buckets whose content equals that of `previous` keep their chunk. The second
/// value holds only the chunks that are new in this version.
pub fn split(
    customers: &Customers,
    plans: &Plans,
    version: u64,
    previous: Option<&Contents>,
) -> (Contents, Vec<Chunk>) {
    let mut new = Vec::new();
    let empty = Contents::default();
    let previous = previous.unwrap_or(&empty);
    let contents = Contents {
        customers: Splitter {
            kind: Kind::Customers,
            buckets: CUSTOMER_BUCKETS,
            version,
            previous: &previous.customers,
        }
        .split(&customers.customers, &mut new),
        services: Splitter {
            kind: Kind::Services,
            buckets: SERVICE_BUCKETS,
            version,
            previous: &previous.services,
        }
        .split(&plans.services, &mut new),
        plans: Splitter {
            kind: Kind::Plans,
            buckets: PLAN_BUCKETS,
            version,
            previous: &previous.plans,
        }
        .split(&plans.plans, &mut new),
    };
    (contents, new)
}

/// Reads the version that introduced a stored chunk.
pub fn since(bytes: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct Since {
        since: u64,
    }
    let since: Since = serde_json::from_slice(bytes).ok()?;
    Some(since.since)
}

/// Reads the entries of a stored chunk into the lists.
pub(crate) fn read_into(
    bytes: &[u8],
    customers: &mut Customers,
    plans: &mut Plans,
) -> Result<(), serde_json::Error> {
    #[derive(Deserialize)]
    struct Head {
        kind: Kind,
    }
    let head: Head = serde_json::from_slice(bytes)?;
    match head.kind {
        Kind::Customers => customers.customers.extend(read_entries(bytes)?),
        Kind::Services => plans.services.extend(read_entries(bytes)?),
        Kind::Plans => plans.plans.extend(read_entries(bytes)?),
    }
    Ok(())
}

fn read_entries<T>(bytes: &[u8]) -> Result<BTreeMap<String, T>, serde_json::Error>
where
    T: DeserializeOwned,
{
    let bucket: Bucket<T> = serde_json::from_slice(bytes)?;
    Ok(bucket.entries)
}

struct Splitter<'a> {
    kind: Kind,
    buckets: u16,
    version: u64,
    previous: &'a [ChunkRef],
}

impl Splitter<'_> {
    fn split<T>(&self, entries: &BTreeMap<String, T>, new: &mut Vec<Chunk>) -> Vec<ChunkRef>
    where
        T: Serialize + Clone,
    {
        let mut buckets: BTreeMap<u16, BTreeMap<String, T>> = BTreeMap::new();
        for (name, entry) in entries {
            buckets
                .entry(bucket_of(name, self.buckets))
                .or_default()
                .insert(name.clone(), entry.clone());
        }
        buckets
            .into_iter()
            .map(|(bucket, entries)| self.chunk(bucket, entries, new))
            .collect()
    }

    fn chunk<T>(&self, bucket: u16, entries: BTreeMap<String, T>, new: &mut Vec<Chunk>) -> ChunkRef
    where
        T: Serialize,
    {
        let mut bucket = Bucket {
            since: self.version,
            kind: self.kind,
            bucket,
            entries,
        };
        if let Some(old) = self.previous.iter().find(|c| c.bucket == bucket.bucket) {
            bucket.since = old.since;
            if ChunkHash::of(&bucket.to_bytes()) == old.hash {
                return *old;
            }
            bucket.since = self.version;
        }
        let bytes = bucket.to_bytes();
        let hash = ChunkHash::of(&bytes);
        new.push(Chunk { hash, bytes });
        ChunkRef {
            bucket: bucket.bucket,
            since: bucket.since,
            hash,
        }
    }
}

impl<T> Bucket<T>
where
    T: Serialize,
{
    fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a bucket has string keys and no fallible types")
    }
}

fn bucket_of(name: &str, buckets: u16) -> u16 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    let number = u32::from_le_bytes([a, b, c, d]) % u32::from(buckets);
    u16::try_from(number).unwrap_or_default()
}
