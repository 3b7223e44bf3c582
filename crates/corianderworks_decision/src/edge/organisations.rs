//! Organisations that send requests: their keys, priorities and limits.
//!
//! Keys are stored and looked up as keyed hashes, so that neither the memory of the daemon nor the
//! time of a lookup tells anything about them.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

/// Size of the secret of the hashes, in bytes.
pub const HASH_SECRET_BYTES: usize = 32;

/// Limit on the requests of an organisation over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second that are always allowed.
    pub rate_per_s: f64,
    /// Number of requests that may exceed the rate at once.
    pub burst: f64,
}

/// Organisation that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name that backend servers get with each request.
    pub name: Arc<str>,
    /// Priority of its requests, in place of that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit of its requests, `None` if there is no limit.
    pub limit: Option<RateLimit>,
}

/// Problem with an organisation of a configuration, which is logged. Keys are never named.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationProblem {
    /// A key is held by two organisations and therefore identifies neither.
    #[error("organisations `{first}` and `{second}` hold the same key, which is not accepted")]
    SharedKey {
        /// Organisation that is listed first.
        first: Arc<str>,
        /// Organisation that is listed second.
        second: Arc<str>,
    },
    /// Another organisation of this name is listed before.
    #[error("organisation `{0}` is listed twice; the later entry is left out")]
    DuplicateName(Arc<str>),
}

/// Whom a request comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerIdentity {
    /// The configuration holds no organisations; all headers are forwarded.
    NotUsed,
    /// The request needs no key and has no valid one.
    Anonymous,
    /// The request has a key of this organisation.
    Organisation(Arc<Organisation>),
}

impl CallerIdentity {
    /// Returns the organisation that the request comes from, if it is known.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::NotUsed | Self::Anonymous => None,
        }
    }
}

/// Error of a request whose key is missing, malformed or held by no organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the key is missing or unknown")]
pub struct UnknownKey;

type KeyHash = [u8; 32];

/// Who holds a key.
#[derive(Debug, Clone, PartialEq)]
enum Holder {
    One(Arc<Organisation>),
    /// Several organisations hold the key, so it identifies none of them.
    Several(Arc<str>),
}

/// Organisations of a configuration by their keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisations {
    hash_secret: [u8; HASH_SECRET_BYTES],
    by_key: HashMap<KeyHash, Holder>,
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
}

impl Organisations {
    /// Creates an empty list. `hash_secret` has to be random.
    pub fn new(hash_secret: [u8; HASH_SECRET_BYTES]) -> Self {
        Self {
            hash_secret,
            by_key: HashMap::new(),
            by_name: HashMap::new(),
        }
    }

    /// Adds an organisation with its keys, and returns the problems found.
    pub fn add<I, K>(&mut self, organisation: Organisation, keys: I) -> Vec<OrganisationProblem>
    where
        I: IntoIterator<Item = K>,
        K: AsRef<[u8]>,
    {
        let organisation = Arc::new(organisation);
        let name = organisation.name.clone();
        if self.by_name.contains_key(&name) {
            return vec![OrganisationProblem::DuplicateName(name)];
        }
        self.by_name.insert(name.clone(), organisation.clone());
        let mut problems = Vec::new();
        for key in keys {
            let hash = self.hash(key.as_ref());
            match self.by_key.entry(hash) {
                Entry::Vacant(entry) => {
                    entry.insert(Holder::One(organisation.clone()));
                }
                Entry::Occupied(mut entry) => {
                    let first = match entry.get() {
                        Holder::One(holder) => holder.name.clone(),
                        Holder::Several(first) => first.clone(),
                    };
                    if first != name {
                        entry.insert(Holder::Several(first.clone()));
                        problems.push(OrganisationProblem::SharedKey {
                            first,
                            second: name.clone(),
                        });
                    }
                }
            }
        }
        problems
    }

    /// Returns whom a request with this key comes from. A request on a public route needs no key.
    ///
    /// # Errors
    ///
    /// Fails if the route isn't public and no organisation holds the key.
    pub fn identify(
        &self,
        key: Option<&[u8]>,
        is_public: bool,
    ) -> Result<CallerIdentity, UnknownKey> {
        let holder = key.and_then(|key| self.by_key.get(&self.hash(key)));
        match holder {
            Some(Holder::One(organisation)) => {
                Ok(CallerIdentity::Organisation(organisation.clone()))
            }
            _ if is_public => Ok(CallerIdentity::Anonymous),
            _ => Err(UnknownKey),
        }
    }

    /// Returns an organisation by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns all organisations in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn hash(&self, key: &[u8]) -> KeyHash {
        *blake3::keyed_hash(&self.hash_secret, key).as_bytes()
    }
}
