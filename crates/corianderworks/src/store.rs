//! Configuration version in force and VM list, as other daemons may ask for them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_lists::chunk::ChunkHash;
use corianderworks_lists::manifest::{MANIFEST_PATH, Manifest, ManifestError, Snapshot, assemble};
use corianderworks_wire::message::{Answer, PeerRequest};
use thiserror::Error;

use crate::peer::{PeerError, Peers};
use crate::platform::{PlatformClient, PlatformError, Vm};

/// VMs in one page of the VM list; a page stays below the limit of a message.
const VMS_PER_PAGE: usize = 200;
/// Longest time for one ask of a fetch.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a version can't be fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The peer failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The source has no such manifest or chunk.
    #[error("the source lacks {0}")]
    Missing(&'static str),
    /// Manifest or chunks are unusable.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
}

/// One configuration version with the bytes it was read from.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// Encoded manifest, empty before any version is known.
    pub manifest: Bytes,
    /// Chunks by hash.
    pub chunks: HashMap<ChunkHash, Bytes>,
    /// Lists.
    pub snapshot: Arc<Snapshot>,
}

/// Where chunks and manifests come from.
pub enum Origin<'s> {
    /// Another daemon.
    Peer(&'s Peers, SocketAddr),
    /// The platform.
    Platform(&'s PlatformClient),
}

impl Origin<'_> {
    async fn manifest(&self) -> Result<Bytes, FetchError> {
        match self {
            Self::Peer(peers, address) => {
                match peers
                    .ask(*address, &PeerRequest::Version, ASK_TIMEOUT)
                    .await?
                {
                    Answer::Version(Some(bytes)) => Ok(bytes),
                    _ => Err(FetchError::Missing("the manifest")),
                }
            }
            Self::Platform(platform) => {
                let object = platform.read(MANIFEST_PATH).await?;
                Ok(object.ok_or(FetchError::Missing("the manifest"))?.value)
            }
        }
    }

    async fn chunk(&self, hash: ChunkHash) -> Result<Bytes, FetchError> {
        match self {
            Self::Peer(peers, address) => {
                let ask = PeerRequest::Chunk(*hash.as_bytes());
                match peers.ask(*address, &ask, ASK_TIMEOUT).await? {
                    Answer::Chunk(Some(bytes)) => Ok(bytes),
                    _ => Err(FetchError::Missing("a chunk")),
                }
            }
            Self::Platform(platform) => {
                let object = platform.read(&hash.path()).await?;
                Ok(object.ok_or(FetchError::Missing("a chunk"))?.value)
            }
        }
    }
}

/// Fetches the manifest and the chunks that `known` lacks.
pub async fn fetch(origin: Origin<'_>, known: Arc<Stored>) -> Result<Stored, FetchError> {
    let bytes = origin.manifest().await?;
    let manifest = Manifest::from_bytes(&bytes)?;
    let mut chunks = HashMap::new();
    for chunk in manifest.contents.iter() {
        let content = match known.chunks.get(&chunk.hash) {
            Some(content) => content.clone(),
            None => origin.chunk(chunk.hash).await?,
        };
        chunks.insert(chunk.hash, content);
    }
    let snapshot = assemble(&manifest, |hash| chunks.get(hash).cloned())?;
    Ok(Stored {
        manifest: bytes,
        chunks,
        snapshot: Arc::new(snapshot),
    })
}

/// Encodes one page of the VM list.
pub fn vm_page(vms: &[Vm], page: u32) -> Option<Bytes> {
    let page = vms.chunks(VMS_PER_PAGE).nth(page as usize)?;
    serde_json::to_vec(page).ok().map(Bytes::from)
}

/// Fetches the VM list from another daemon.
pub async fn fetch_vms(peers: &Peers, address: SocketAddr) -> Result<Vec<Vm>, FetchError> {
    let mut vms = Vec::new();
    for page in 0.. {
        let Answer::Vms(Some(bytes)) = peers
            .ask(address, &PeerRequest::Vms(page), ASK_TIMEOUT)
            .await?
        else {
            break;
        };
        let part: Vec<Vm> =
            serde_json::from_slice(&bytes).map_err(|_| FetchError::Missing("the VM list"))?;
        vms.extend(part);
    }
    if vms.is_empty() {
        Err(FetchError::Missing("the VM list"))
    } else {
        Ok(vms)
    }
}

/// Groups the backend servers of a VM list by service.
pub fn backends_by_service(vms: &[Vm]) -> BTreeMap<Arc<str>, Vec<crate::view::Backend>> {
    use crate::platform::{VmKind, VmState};
    use crate::view::{Backend, BackendState};

    let mut services: BTreeMap<Arc<str>, Vec<Backend>> = BTreeMap::new();
    for vm in vms.iter().filter(|vm| vm.kind == VmKind::Backend) {
        let Some(service) = &vm.service else { continue };
        let backend = Backend {
            upstream: crate::view::upstream_key(service, &vm.name, vm.address),
            name: vm.name.as_str().into(),
            address: vm.address,
            domain: vm.domain.as_str().into(),
            state: match vm.state {
                VmState::Live => BackendState::Live,
                VmState::Leaving => BackendState::Leaving,
            },
        };
        services
            .entry(service.as_str().into())
            .or_default()
            .push(backend);
    }
    services
}
