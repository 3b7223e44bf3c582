//! Connections between daemons: QUIC with mutual TLS.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_wire::codec::{self, CodecError, PREFIX_BYTES};
use parking_lot::Mutex;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, Endpoint, RecvStream, SendStream, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::mpsc;

use corianderworks_lists::settings::Tls;

use crate::keys_commands::FLEET_NAME;

/// Longest time for the handshake with another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection on which no packet was sent or received for this long is closed. Idle connections
/// send no keep-alives: at the design scale of 430 daemons, those of the connections to all other
/// daemons would use up the bandwidth budget for control traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of streams that the peer may have open on one connection at once; each relayed request
/// uses one.
const MAX_STREAMS: u32 = 4096;

/// Failure of the communication between daemons.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The certificates or the private key can't be used.
    #[error("invalid certificates or private key for peer connections: {0}")]
    Tls(String),
    /// The UDP socket can't be opened.
    #[error("the peer socket could not be opened: {0}")]
    Socket(#[from] std::io::Error),
    /// The connection could not be established.
    #[error("the connection to the peer failed: {0}")]
    Connect(String),
    /// The connection or the stream failed after it was established.
    #[error("the connection to the peer was lost: {0}")]
    Lost(String),
    /// A message could not be encoded or decoded.
    #[error("malformed peer message: {0}")]
    Codec(#[from] CodecError),
    /// The peer finished the stream before the end of a message.
    #[error("the peer finished the stream before the end of a message")]
    Ended,
    /// The handshake or the response took too long.
    #[error("the peer did not respond in time")]
    Timeout,
}

/// Counters of control traffic since the daemon started.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Payload of all datagrams that were passed to a connection, in bytes.
    pub datagram_bytes: AtomicU64,
    /// Attempts to establish a connection to another daemon.
    pub connects: AtomicU64,
}

#[derive(Default)]
struct PeerEntry {
    connection: Option<Connection>,
    connect_lock: Arc<tokio::sync::Mutex<()>>,
}

/// Connections to all other daemons, by peer address.
///
/// One socket both accepts and opens connections, so the remote address of a connection is the
/// peer address of the daemon at its other end, whichever side opened it.
pub struct Peers {
    endpoint: Endpoint,
    entries: Mutex<HashMap<SocketAddr, PeerEntry>>,
    new_connections: mpsc::UnboundedSender<Connection>,
    counters: PeerCounters,
}

impl Peers {
    /// Opens the socket for other daemons. Every new connection, opened by either side, is sent to
    /// the returned receiver. The caller must serve each connection that it receives there.
    pub fn bind(
        address: SocketAddr,
        tls: &Tls,
    ) -> Result<(Arc<Self>, mpsc::UnboundedReceiver<Connection>), PeerError> {
        let identity = TlsIdentity::parse(tls)?;
        let mut endpoint = Endpoint::server(identity.server_config()?, address)?;
        endpoint.set_default_client_config(identity.client_config()?);
        let (new_connections, receiver) = mpsc::unbounded_channel();
        let counters = PeerCounters::default();
        let peers = Arc::new(Self {
            endpoint,
            entries: Mutex::default(),
            new_connections,
            counters,
        });
        tokio::spawn(accept_connections(peers.clone()));
        Ok((peers, receiver))
    }

    /// Returns the local address of the socket, which other daemons connect to.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns the counters of control traffic.
    pub fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    /// Returns the open connection to a daemon, or establishes one. At most one handshake per
    /// daemon runs at a time.
    pub async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.existing_connection(to) {
            return Ok(connection);
        }
        let connect_lock = self
            .entries
            .lock()
            .entry(to)
            .or_default()
            .connect_lock
            .clone();
        let _connect_guard = connect_lock.lock().await;
        if let Some(connection) = self.existing_connection(to) {
            return Ok(connection);
        }
        let connection = self.connect(to).await?;
        self.register(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        self.counters.connects.fetch_add(1, Ordering::Relaxed);
        let connecting = self
            .endpoint
            .connect(to, FLEET_NAME)
            .map_err(|e| PeerError::Connect(e.to_string()))?;
        tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| PeerError::Timeout)?
            .map_err(|e| PeerError::Connect(e.to_string()))
    }

    fn register(&self, connection: Connection) {
        let mut entries = self.entries.lock();
        entries
            .entry(connection.remote_address())
            .or_default()
            .connection = Some(connection.clone());
        drop(entries);
        let _ = self.new_connections.send(connection);
    }

    /// Opens a stream to a daemon, on a new connection if none is open.
    pub async fn open_channel(&self, to: SocketAddr) -> Result<Channel, PeerError> {
        let connection = self.connection(to).await?;
        let (send, recv) = connection
            .open_bi()
            .await
            .map_err(|e| PeerError::Lost(e.to_string()))?;
        Ok(Channel {
            connection,
            send,
            recv,
        })
    }

    /// Stops using a connection whose [`received_packets`] has not risen above `received_before`,
    /// so that the next use opens a new one. The connection is not closed: other streams on it may
    /// only be slow, and a relayed request that is cut off may have run. Without traffic the
    /// connection ends at its idle timeout.
    pub fn discard_if_silent(&self, connection: &Connection, received_before: u64) {
        if received_packets(connection) > received_before {
            return;
        }
        let mut entries = self.entries.lock();
        if let Some(entry) = entries.get_mut(&connection.remote_address()) {
            let is_same = |current: &mut Connection| current.stable_id() == connection.stable_id();
            if entry.connection.take_if(is_same).is_some() {
                tracing::warn!(
                    "peer: no packets from {}; the next use opens a new connection",
                    connection.remote_address()
                );
            }
        }
    }

    /// Sends an unreliable datagram, on a new connection if none is open.
    pub async fn send_datagram(&self, to: SocketAddr, bytes: Bytes) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        self.counters
            .datagram_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        connection
            .send_datagram(bytes)
            .map_err(|e| PeerError::Lost(e.to_string()))
    }

    /// Sends a request on its own stream and waits for the response, in total for at most `timeout`.
    pub async fn request<Q, A>(
        &self,
        to: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let deadline = tokio::time::Instant::now() + timeout;
        let channel = tokio::time::timeout_at(deadline, self.open_channel(to)).await;
        let mut channel = channel.map_err(|_| PeerError::Timeout)??;
        let received_before = received_packets(&channel.connection);
        let exchange = async {
            channel.send(request).await?;
            channel.recv().await
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(response) => response,
            Err(_) => {
                self.discard_if_silent(&channel.connection, received_before);
                Err(PeerError::Timeout)
            }
        }
    }

    /// Closes all connections and the socket.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }

    fn existing_connection(&self, to: SocketAddr) -> Option<Connection> {
        let entries = self.entries.lock();
        entries.get(&to)?.connection.clone().filter(is_open)
    }
}

async fn accept_connections(peers: Arc<Peers>) {
    while let Some(incoming) = peers.endpoint.accept().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => peers.register(connection),
                Err(error) => tracing::warn!("peer: an incoming connection failed: {error}"),
            }
        });
    }
}

/// Returns the number of packets received on a connection. If it doesn't rise while a response is
/// awaited, the connection is lost; otherwise the response is only slow.
pub fn received_packets(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

fn is_open(connection: &Connection) -> bool {
    connection.close_reason().is_none()
}

/// Bidirectional stream of length-prefixed messages.
pub struct Channel {
    /// Connection that the stream belongs to.
    pub connection: Connection,
    /// Sending side of the stream.
    pub send: SendStream,
    /// Receiving side of the stream.
    pub recv: RecvStream,
}

impl Channel {
    /// Encodes and sends one message.
    pub async fn send<M>(&mut self, message: &M) -> Result<(), PeerError>
    where
        M: Serialize,
    {
        send_message(&mut self.send, message).await
    }

    /// Receives and decodes one message.
    pub async fn recv<M>(&mut self) -> Result<M, PeerError>
    where
        M: DeserializeOwned,
    {
        recv_message(&mut self.recv).await
    }
}

/// Encodes one message and writes it to a stream.
pub async fn send_message<M>(send: &mut SendStream, message: &M) -> Result<(), PeerError>
where
    M: Serialize,
{
    let bytes = codec::encode_prefixed(message)?;
    send.write_chunk(bytes)
        .await
        .map_err(|e| PeerError::Lost(e.to_string()))
}

/// Reads one message from a stream and decodes it.
pub async fn recv_message<M>(recv: &mut RecvStream) -> Result<M, PeerError>
where
    M: DeserializeOwned,
{
    let mut prefix = [0; PREFIX_BYTES];
    recv.read_exact(&mut prefix).await.map_err(read_error)?;
    let mut payload = vec![0; codec::decode_prefix(prefix)?];
    recv.read_exact(&mut payload).await.map_err(read_error)?;
    Ok(codec::decode(&payload)?)
}

fn read_error(error: quinn::ReadExactError) -> PeerError {
    match error {
        quinn::ReadExactError::FinishedEarly(_) => PeerError::Ended,
        quinn::ReadExactError::ReadError(e) => PeerError::Lost(e.to_string()),
    }
}

struct TlsIdentity {
    root_certificates: Arc<RootCertStore>,
    certificate_chain: Vec<CertificateDer<'static>>,
    private_key: PrivateKeyDer<'static>,
}

impl TlsIdentity {
    fn parse(tls: &Tls) -> Result<Self, PeerError> {
        let mut root_certificates = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(tls.authority_pem.as_bytes()) {
            root_certificates
                .add(certificate.map_err(tls_error)?)
                .map_err(tls_error)?;
        }
        let certificate_chain = CertificateDer::pem_slice_iter(tls.certificate_pem.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(tls_error)?;
        let private_key =
            PrivateKeyDer::from_pem_slice(tls.key_pem.as_bytes()).map_err(tls_error)?;
        Ok(Self {
            root_certificates: Arc::new(root_certificates),
            certificate_chain,
            private_key,
        })
    }

    fn server_config(&self) -> Result<quinn::ServerConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            self.root_certificates.clone(),
            provider.clone(),
        )
        .build()
        .map_err(tls_error)?;
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificate_chain.clone(), self.private_key.clone_key())
            .map_err(tls_error)?;
        let quic = QuicServerConfig::try_from(config).map_err(tls_error)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(quic));
        server.transport_config(Arc::new(transport_config()));
        Ok(server)
    }

    fn client_config(&self) -> Result<quinn::ClientConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(tls_error)?
            .with_root_certificates(self.root_certificates.clone())
            .with_client_auth_cert(self.certificate_chain.clone(), self.private_key.clone_key())
            .map_err(tls_error)?;
        let quic = QuicClientConfig::try_from(config).map_err(tls_error)?;
        let mut client = quinn::ClientConfig::new(Arc::new(quic));
        client.transport_config(Arc::new(transport_config()));
        Ok(client)
    }
}

fn tls_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Tls(error.to_string())
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    config.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    config.datagram_receive_buffer_size(Some(256 * 1024));
    config
}
