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

/// Longest time to set up a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection without any packet for this long is closed. Idle connections are not kept
/// alive: 430 of them would use up the control budget.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Relays that one connection carries at once.
const STREAMS_MAX: u32 = 4096;

/// Why daemons can't talk to each other.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The keys are unusable.
    #[error("keys for peer connections are unusable: {0}")]
    Keys(String),
    /// The socket can't be opened.
    #[error("the peer socket can't be opened: {0}")]
    Socket(#[from] std::io::Error),
    /// The connection can't be set up.
    #[error("the connection to the peer failed: {0}")]
    Connect(String),
    /// The connection was lost.
    #[error("the connection to the peer was lost: {0}")]
    Lost(String),
    /// The peer sent something malformed.
    #[error("the peer sent a malformed message: {0}")]
    Codec(#[from] CodecError),
    /// The peer ended the stream too early.
    #[error("the peer ended the stream early")]
    Ended,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    Timeout,
}

/// Counts of control traffic.
#[derive(Debug, Default)]
pub struct PeerCounts {
    /// Payload of datagrams sent, in bytes.
    pub datagram_bytes: AtomicU64,
    /// Connections set up.
    pub connects: AtomicU64,
}

#[derive(Default)]
struct Slot {
    connection: Option<Connection>,
    connecting: Arc<tokio::sync::Mutex<()>>,
}

/// Connections to all other daemons, by peer address.
///
/// One socket both accepts and sets up connections, so the remote address of a connection is
/// the peer address of the daemon at its other end, whoever set it up.
pub struct Peers {
    endpoint: Endpoint,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    opened: mpsc::UnboundedSender<Connection>,
    counts: PeerCounts,
}

impl Peers {
    /// Opens the socket for other daemons. Every new connection, set up by either end, is
    /// handed to the receiver, which has to serve it.
    pub fn bind(
        address: SocketAddr,
        tls: &Tls,
    ) -> Result<(Arc<Self>, mpsc::UnboundedReceiver<Connection>), PeerError> {
        let keys = Keys::parse(tls)?;
        let mut endpoint = Endpoint::server(keys.server()?, address)?;
        endpoint.set_default_client_config(keys.client()?);
        let (opened, receiver) = mpsc::unbounded_channel();
        let counts = PeerCounts::default();
        let peers = Arc::new(Self {
            endpoint,
            slots: Mutex::default(),
            opened,
            counts,
        });
        tokio::spawn(accept(peers.clone()));
        Ok((peers, receiver))
    }

    /// Returns the address that other daemons use.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns counts of control traffic.
    pub fn counts(&self) -> &PeerCounts {
        &self.counts
    }

    /// Returns a live connection, which is set up when there is none.
    pub async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(live) = self.live(to) {
            return Ok(live);
        }
        let connecting = self.slots.lock().entry(to).or_default().connecting.clone();
        let _one_at_a_time = connecting.lock().await;
        if let Some(live) = self.live(to) {
            return Ok(live);
        }
        let connection = self.connect(to).await?;
        self.register(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        self.counts.connects.fetch_add(1, Ordering::Relaxed);
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
        let mut slots = self.slots.lock();
        slots
            .entry(connection.remote_address())
            .or_default()
            .connection = Some(connection.clone());
        drop(slots);
        let _ = self.opened.send(connection);
    }

    /// Opens a stream to a daemon.
    pub async fn open(&self, to: SocketAddr) -> Result<Channel, PeerError> {
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

    /// Stops using a connection on which nothing arrived for a while, so that the next use sets
    /// up a new one. It is not closed: other streams on it may only be slow, and a relay that
    /// is cut off may have run. Without traffic it ends at its idle timeout.
    pub fn retire_if_silent(&self, connection: &Connection, received: u64) {
        if received_count(connection) > received {
            return;
        }
        let mut slots = self.slots.lock();
        if let Some(slot) = slots.get_mut(&connection.remote_address()) {
            let same = |live: &mut Connection| live.stable_id() == connection.stable_id();
            if slot.connection.take_if(same).is_some() {
                tracing::warn!(
                    "peer: {} is silent; a new connection is used",
                    connection.remote_address()
                );
            }
        }
    }

    /// Sends a datagram, on a new connection when none is live.
    pub async fn send_datagram(&self, to: SocketAddr, bytes: Bytes) -> Result<(), PeerError> {
        let connection = self.connection(to).await?;
        self.counts
            .datagram_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        connection
            .send_datagram(bytes)
            .map_err(|e| PeerError::Lost(e.to_string()))
    }

    /// Sends an ask on a stream of its own and waits for the answer.
    pub async fn ask<Q, A>(&self, to: SocketAddr, ask: &Q, within: Duration) -> Result<A, PeerError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let end = tokio::time::Instant::now() + within;
        let channel = tokio::time::timeout_at(end, self.open(to)).await;
        let mut channel = channel.map_err(|_| PeerError::Timeout)??;
        let received = received_count(&channel.connection);
        let exchange = async {
            channel.send(ask).await?;
            channel.recv().await
        };
        match tokio::time::timeout_at(end, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                self.retire_if_silent(&channel.connection, received);
                Err(PeerError::Timeout)
            }
        }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }

    fn live(&self, to: SocketAddr) -> Option<Connection> {
        let slots = self.slots.lock();
        slots.get(&to)?.connection.clone().filter(is_open)
    }
}

async fn accept(peers: Arc<Peers>) {
    while let Some(incoming) = peers.endpoint.accept().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => peers.register(connection),
                Err(error) => tracing::warn!("peer: connection refused: {error}"),
            }
        });
    }
}

/// Packets received on a connection, to tell a silent one from a slow answer.
pub fn received_count(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

fn is_open(connection: &Connection) -> bool {
    connection.close_reason().is_none()
}

/// Stream of length-prefixed messages in both directions.
pub struct Channel {
    /// Connection that carries it.
    pub connection: Connection,
    /// Sending half.
    pub send: SendStream,
    /// Receiving half.
    pub recv: RecvStream,
}

impl Channel {
    /// Sends one message.
    pub async fn send<M>(&mut self, message: &M) -> Result<(), PeerError>
    where
        M: Serialize,
    {
        send_message(&mut self.send, message).await
    }

    /// Receives one message.
    pub async fn recv<M>(&mut self) -> Result<M, PeerError>
    where
        M: DeserializeOwned,
    {
        recv_message(&mut self.recv).await
    }
}

/// Sends one message on a stream.
pub async fn send_message<M>(send: &mut SendStream, message: &M) -> Result<(), PeerError>
where
    M: Serialize,
{
    let bytes = codec::encode_prefixed(message)?;
    send.write_chunk(bytes)
        .await
        .map_err(|e| PeerError::Lost(e.to_string()))
}

/// Receives one message from a stream.
pub async fn recv_message<M>(recv: &mut RecvStream) -> Result<M, PeerError>
where
    M: DeserializeOwned,
{
    let mut prefix = [0; PREFIX_BYTES];
    recv.read_exact(&mut prefix).await.map_err(read_error)?;
    let mut content = vec![0; codec::decode_prefix(prefix)?];
    recv.read_exact(&mut content).await.map_err(read_error)?;
    Ok(codec::decode(&content)?)
}

fn read_error(error: quinn::ReadExactError) -> PeerError {
    match error {
        quinn::ReadExactError::FinishedEarly(_) => PeerError::Ended,
        quinn::ReadExactError::ReadError(e) => PeerError::Lost(e.to_string()),
    }
}

struct Keys {
    authority: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Keys {
    fn parse(tls: &Tls) -> Result<Self, PeerError> {
        let mut authority = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(tls.authority_pem.as_bytes()) {
            authority
                .add(certificate.map_err(unusable)?)
                .map_err(unusable)?;
        }
        let chain = CertificateDer::pem_slice_iter(tls.certificate_pem.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(unusable)?;
        let key = PrivateKeyDer::from_pem_slice(tls.key_pem.as_bytes()).map_err(unusable)?;
        Ok(Self {
            authority: Arc::new(authority),
            chain,
            key,
        })
    }

    fn server(&self) -> Result<quinn::ServerConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authority.clone(), provider.clone())
                .build()
                .map_err(unusable)?;
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        let quic = QuicServerConfig::try_from(config).map_err(unusable)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(quic));
        server.transport_config(Arc::new(transport()));
        Ok(server)
    }

    fn client(&self) -> Result<quinn::ClientConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_root_certificates(self.authority.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        let quic = QuicClientConfig::try_from(config).map_err(unusable)?;
        let mut client = quinn::ClientConfig::new(Arc::new(quic));
        client.transport_config(Arc::new(transport()));
        Ok(client)
    }
}

fn unusable(error: impl std::fmt::Display) -> PeerError {
    PeerError::Keys(error.to_string())
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport.datagram_receive_buffer_size(Some(256 * 1024));
    transport
}
