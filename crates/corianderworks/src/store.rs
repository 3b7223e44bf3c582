//! Fetches the configuration and the VM list, and prepares both for requests of other daemons.

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

/// VMs in one page of the VM list, so that a page stays below the size limit of a peer message.
const VMS_PER_PAGE: usize = 200;
/// Longest time for one request to another daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure to fetch a configuration version or the VM list.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The request to another daemon failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The request to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The source does not have the manifest, a chunk or a usable VM list.
    #[error("the source does not have {0}")]
    Missing(&'static str),
    /// The manifest or a chunk is malformed, or a chunk does not match its hash.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
}

/// Configuration version in decoded form, with the bytes it was read from. The bytes are sent to
/// daemons that fetch the version from this one.
#[derive(Debug, Clone, Default)]
pub struct StoredConfiguration {
    /// Encoded manifest; empty before any version is known.
    pub manifest: Bytes,
    /// Encoded chunks, by hash.
    pub chunks: HashMap<ChunkHash, Bytes>,
    /// Decoded customers and plans.
    pub snapshot: Arc<Snapshot>,
}

/// Source of manifests and chunks.
pub enum Origin<'s> {
    /// Another daemon, by its peer address.
    Peer(&'s Peers, SocketAddr),
    /// The platform's object API.
    Platform(&'s PlatformClient),
}

impl Origin<'_> {
    async fn manifest(&self) -> Result<Bytes, FetchError> {
        match self {
            Self::Peer(peers, address) => {
                match peers
                    .request(*address, &PeerRequest::Version, REQUEST_TIMEOUT)
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
                let request = PeerRequest::Chunk(*hash.as_bytes());
                match peers.request(*address, &request, REQUEST_TIMEOUT).await? {
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

/// Fetches the manifest and the chunks that are not in `known`.
pub async fn fetch(
    origin: Origin<'_>,
    known: Arc<StoredConfiguration>,
) -> Result<StoredConfiguration, FetchError> {
    let manifest_bytes = origin.manifest().await?;
    let manifest = Manifest::from_bytes(&manifest_bytes)?;
    let mut chunks = HashMap::new();
    for chunk in manifest.contents.iter() {
        let content = match known.chunks.get(&chunk.hash) {
            Some(content) => content.clone(),
            None => origin.chunk(chunk.hash).await?,
        };
        chunks.insert(chunk.hash, content);
    }
    let snapshot = assemble(&manifest, |hash| chunks.get(hash).cloned())?;
    Ok(StoredConfiguration {
        manifest: manifest_bytes,
        chunks,
        snapshot: Arc::new(snapshot),
    })
}

/// Encodes one page of the VM list, counted from 0; `None` behind the last page.
pub fn vm_page(vms: &[Vm], page: u32) -> Option<Bytes> {
    let page = vms.chunks(VMS_PER_PAGE).nth(page as usize)?;
    serde_json::to_vec(page).ok().map(Bytes::from)
}

/// Fetches the VM list from another daemon, page by page. Fails if the list is empty.
pub async fn fetch_vms(peers: &Peers, address: SocketAddr) -> Result<Vec<Vm>, FetchError> {
    let mut vms = Vec::new();
    for page in 0.. {
        let Answer::Vms(Some(bytes)) = peers
            .request(address, &PeerRequest::Vms(page), REQUEST_TIMEOUT)
            .await?
        else {
            break;
        };
        let page_vms: Vec<Vm> =
            serde_json::from_slice(&bytes).map_err(|_| FetchError::Missing("the VM list"))?;
        vms.extend(page_vms);
    }
    if vms.is_empty() {
        Err(FetchError::Missing("the VM list"))
    } else {
        Ok(vms)
    }
}

/// Groups the backend servers of a VM list by service. Those without a service are left out.
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
