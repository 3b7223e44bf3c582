//! Content-addressed chunks of a list version.
//!
//! Customers, services and plans are partitioned into buckets by a hash of their name, so that a
//! change of one entry rewrites one bucket. The bytes of a chunk contain the version that
//! introduced it. A chunk that a later version dropped is therefore never referenced again, even if
//! a bucket returns to the same entries, and can be deleted at any time without a race against a
//! writer.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::lists::{Customers, Plans};

/// Path prefix of the chunks in the platform.
pub const CHUNK_PREFIX: &str = "lists/chunks/";

/// Number of buckets of customers. More buckets make the rewritten bucket smaller and the manifest
/// larger. Measured with the example `change_size` at 19,000 customers: the change of one customer
/// distributes 31 KB with 32 buckets, 23 KB with 64 and 22 KB with 128, while other changes
/// distribute 5 KB more with 128.
pub const CUSTOMER_BUCKETS: u16 = 64;

/// Number of buckets of services, with the same trade-off as [`CUSTOMER_BUCKETS`].
pub const SERVICE_BUCKETS: u16 = 32;

/// Number of buckets of plans, with the same trade-off as [`CUSTOMER_BUCKETS`].
pub const PLAN_BUCKETS: u16 = 8;

/// BLAKE3 hash of the stored bytes of a chunk, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChunkHash([u8; 32]);

impl ChunkHash {
    /// Hashes the stored bytes of a chunk.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the path of the chunk in the platform.
    pub fn path(&self) -> String {
        format!("{CHUNK_PREFIX}{self}")
    }

    /// Parses the hash in the last segment of a path; `None` if that is not a hash.
    pub fn from_path(path: &str) -> Option<Self> {
        path.rsplit('/').next()?.to_owned().try_into().ok()
    }

    /// Returns the binary form of the hash.
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

/// A chunk to be written to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the bytes, which determines the path.
    pub hash: ChunkHash,
    /// Stored form: the bucket as JSON.
    pub bytes: Vec<u8>,
}

/// Reference to a chunk in a manifest, stored as the array `[bucket, since, hash]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u64, ChunkHash)", into = "(u16, u64, ChunkHash)")]
pub struct ChunkRef {
    /// Index of the bucket within its kind.
    pub bucket: u16,
    /// Version that introduced the chunk.
    pub since: u64,
    /// Hash of the stored bytes.
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

/// References to the chunks of one version, sorted by bucket. Empty buckets have no chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Contents {
    /// Chunks of the customers, at most [`CUSTOMER_BUCKETS`].
    pub customers: Vec<ChunkRef>,
    /// Chunks of the services, at most [`SERVICE_BUCKETS`].
    pub services: Vec<ChunkRef>,
    /// Chunks of the plans, at most [`PLAN_BUCKETS`].
    pub plans: Vec<ChunkRef>,
}

impl Contents {
    /// Iterates over the chunks of all kinds.
    pub fn iter(&self) -> impl Iterator<Item = &ChunkRef> {
        self.iter_with_kind().map(|(_, chunk)| chunk)
    }

    /// Iterates over all chunks with the kind of their entries.
    pub fn iter_with_kind(&self) -> impl Iterator<Item = (Kind, &ChunkRef)> {
        fn with_kind(kind: Kind, chunks: &[ChunkRef]) -> impl Iterator<Item = (Kind, &ChunkRef)> {
            chunks.iter().map(move |chunk| (kind, chunk))
        }
        with_kind(Kind::Customers, &self.customers)
            .chain(with_kind(Kind::Services, &self.services))
            .chain(with_kind(Kind::Plans, &self.plans))
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
    /// Customers with the plans that they hold.
    Customers,
    /// Services with their routes.
    Services,
    /// Plans with the routes that they may use.
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
    /// Index of the bucket within its kind.
    bucket: u16,
    /// Entries by name.
    entries: BTreeMap<String, T>,
}

/// Splits the lists into the chunks of version `version`.
///
/// Buckets whose entries equal those in `previous` keep their chunk. The second value contains only
/// the chunks that are new in this version.
pub fn split(
    customers: &Customers,
    plans: &Plans,
    version: u64,
    previous: Option<&Contents>,
) -> (Contents, Vec<Chunk>) {
    let mut new_chunks = Vec::new();
    let empty = Contents::default();
    let previous = previous.unwrap_or(&empty);
    let contents = Contents {
        customers: Splitter {
            kind: Kind::Customers,
            buckets: CUSTOMER_BUCKETS,
            version,
            previous: &previous.customers,
        }
        .split(&customers.customers, &mut new_chunks),
        services: Splitter {
            kind: Kind::Services,
            buckets: SERVICE_BUCKETS,
            version,
            previous: &previous.services,
        }
        .split(&plans.services, &mut new_chunks),
        plans: Splitter {
            kind: Kind::Plans,
            buckets: PLAN_BUCKETS,
            version,
            previous: &previous.plans,
        }
        .split(&plans.plans, &mut new_chunks),
    };
    (contents, new_chunks)
}

/// Returns the version that introduced a stored chunk, or `None` if the chunk cannot be parsed.
pub fn introducing_version(bytes: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct Introduced {
        since: u64,
    }
    let introduced: Introduced = serde_json::from_slice(bytes).ok()?;
    Some(introduced.since)
}

/// Adds the entries of a stored chunk to the lists.
pub(crate) fn decode_into(
    bytes: &[u8],
    customers: &mut Customers,
    plans: &mut Plans,
) -> Result<(), serde_json::Error> {
    #[derive(Deserialize)]
    struct Header {
        kind: Kind,
    }
    let header: Header = serde_json::from_slice(bytes)?;
    match header.kind {
        Kind::Customers => customers.customers.extend(decode_entries(bytes)?),
        Kind::Services => plans.services.extend(decode_entries(bytes)?),
        Kind::Plans => plans.plans.extend(decode_entries(bytes)?),
    }
    Ok(())
}

fn decode_entries<T>(bytes: &[u8]) -> Result<BTreeMap<String, T>, serde_json::Error>
where
    T: DeserializeOwned,
{
    let bucket: Bucket<T> = serde_json::from_slice(bytes)?;
    Ok(bucket.entries)
}

/// Splits the entries of one kind into buckets.
struct Splitter<'a> {
    kind: Kind,
    buckets: u16,
    version: u64,
    previous: &'a [ChunkRef],
}

impl Splitter<'_> {
    fn split<T>(&self, entries: &BTreeMap<String, T>, new_chunks: &mut Vec<Chunk>) -> Vec<ChunkRef>
    where
        T: Serialize + Clone,
    {
        let mut buckets: BTreeMap<u16, BTreeMap<String, T>> = BTreeMap::new();
        for (name, entry) in entries {
            buckets
                .entry(bucket_index(name, self.buckets))
                .or_default()
                .insert(name.clone(), entry.clone());
        }
        buckets
            .into_iter()
            .map(|(bucket, entries)| self.chunk(bucket, entries, new_chunks))
            .collect()
    }

    fn chunk<T>(
        &self,
        bucket: u16,
        entries: BTreeMap<String, T>,
        new_chunks: &mut Vec<Chunk>,
    ) -> ChunkRef
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
        new_chunks.push(Chunk { hash, bytes });
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

fn bucket_index(name: &str, buckets: u16) -> u16 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    let index = u32::from_le_bytes([a, b, c, d]) % u32::from(buckets);
    u16::try_from(index).unwrap_or_default()
}
