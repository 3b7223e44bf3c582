//! Connections between edge daemons over QUIC.
//!
//! The platform gives daemons no keys. Connections are encrypted with a certificate made
//! at start; peers are trusted by their address on the platform's private network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::fleet::Member;
use corianderworks_decision::edge::peer_load::Report;
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_wire::codec::{self, CodecError, PREFIX_BYTES};
use parking_lot::Mutex;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, Endpoint, TransportConfig, VarInt};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::{DigitallySignedStruct, SignatureScheme};
use rustls_pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Name in the certificates.
const CERTIFICATE_NAME: &str = "corianderworks-edge";
/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection without a packet for this long is closed; heartbeats come more often.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Round-trip time before it is measured. The default for the internet would send the first
/// packet to a daemon that has just started again only after 1 s.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Most bytes of a datagram that fit every path.
pub const DATAGRAM_MAX_BYTES: usize = 1_100;
/// Most bytes of a configuration in one message.
const PART_BYTES: usize = 48 * 1024;
/// Most entries in one message.
const ENTRIES_PER_MESSAGE: usize = 200;

/// Failure of the connections between daemons.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The certificate can't be made.
    #[error("cannot make a certificate: {0}")]
    Certificate(String),
    /// The socket can't be opened.
    #[error("cannot open the peer socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The connection can't be set up or was lost.
    #[error("connection to a peer failed: {0}")]
    Connection(String),
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// What a daemon that watches the store tells the others of its domain.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreNews {
    /// New states of entries.
    pub entries: Vec<ServerEntry>,
    /// Ids of entries that vanished, and for how many milliseconds they stay in use.
    pub vanished: Vec<(String, u64)>,
    /// Configuration as it stands in the store.
    pub configuration: Option<Bytes>,
}

/// Message between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// First message of a connection.
    Hello {
        /// The sender.
        own: Member,
        /// Members that the sender knows.
        others: Vec<Member>,
        /// Whether the sender knows a configuration.
        has_configuration: bool,
    },
    /// Members that the receiver may not know.
    Members(Vec<Member>),
    /// Reports, in a datagram.
    Reports(Vec<Report>),
    /// News of the store, without a configuration.
    Store(StoreNews),
    /// Part of a configuration; the parts follow each other on one stream.
    ConfigurationPart {
        /// Bytes of this part.
        bytes: Bytes,
        /// Whether it is the last part.
        last: bool,
    },
}

/// What arrives from other daemons.
#[derive(Debug)]
pub enum Incoming {
    /// A connection was set up.
    Linked(SocketAddr),
    /// A message arrived.
    Message(SocketAddr, Message),
    /// A configuration arrived.
    Configuration(Bytes),
}

/// Connections to other daemons by their address.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    links: Mutex<HashMap<SocketAddr, Link>>,
    incoming: mpsc::UnboundedSender<Incoming>,
}

#[derive(Debug)]
enum Link {
    Connecting,
    Open(Connection),
}

impl Peers {
    /// Opens the socket. What arrives is handed to the receiver.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be opened.
    pub fn bind(
        address: SocketAddr,
    ) -> Result<(Arc<Self>, mpsc::UnboundedReceiver<Incoming>), PeerError> {
        let (server, client) = quic_configs()?;
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let (incoming, receiver) = mpsc::unbounded_channel();
        let peers = Arc::new(Self {
            endpoint,
            links: Mutex::default(),
            incoming,
        });
        tokio::spawn(accept(peers.clone()));
        Ok((peers, receiver))
    }

    /// Whether a connection to `to` is open or being set up.
    pub fn is_linked(&self, to: SocketAddr) -> bool {
        match self.links.lock().get(&to) {
            Some(Link::Open(connection)) => connection.close_reason().is_none(),
            Some(Link::Connecting) => true,
            None => false,
        }
    }

    /// Sets up a connection in the background.
    pub fn link(self: &Arc<Self>, to: SocketAddr) {
        if self.is_linked(to) {
            return;
        }
        self.links.lock().insert(to, Link::Connecting);
        let peers = self.clone();
        tokio::spawn(async move {
            match peers.connect(to).await {
                Ok(connection) => peers.opened(to, connection),
                Err(error) => {
                    tracing::debug!(%to, %error, "peers: no connection");
                    let mut links = peers.links.lock();
                    if matches!(links.get(&to), Some(Link::Connecting)) {
                        links.remove(&to);
                    }
                }
            }
        });
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let failed = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
        let connecting = self
            .endpoint
            .connect(to, CERTIFICATE_NAME)
            .map_err(|e| failed(&e))?;
        tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed(&"no response in time"))?
            .map_err(|e| failed(&e))
    }

    fn opened(self: &Arc<Self>, to: SocketAddr, connection: Connection) {
        self.links.lock().insert(to, Link::Open(connection.clone()));
        tokio::spawn(read_datagrams(self.clone(), to, connection.clone()));
        tokio::spawn(read_streams(self.clone(), to, connection));
        self.deliver(Incoming::Linked(to));
    }

    fn deliver(&self, incoming: Incoming) {
        // The receiver ends with the process only.
        if self.incoming.send(incoming).is_err() {
            tracing::debug!("peers: message after the end of the receiver");
        }
    }

    fn connection(&self, to: SocketAddr) -> Option<Connection> {
        match self.links.lock().get(&to) {
            Some(Link::Open(connection)) if connection.close_reason().is_none() => {
                Some(connection.clone())
            }
            _ => None,
        }
    }

    /// Sends an encoded message in a datagram, if there is a connection.
    pub fn send_datagram(&self, to: SocketAddr, bytes: Bytes) {
        if let Some(connection) = self.connection(to)
            && let Err(error) = connection.send_datagram(bytes)
        {
            tracing::debug!(%to, %error, "peers: datagram not sent");
        }
    }

    /// Sends messages in order on a stream, in the background.
    pub fn send(&self, to: SocketAddr, messages: Vec<Message>) {
        let Some(connection) = self.connection(to) else {
            return;
        };
        tokio::spawn(async move {
            if let Err(error) = write_stream(&connection, &messages).await {
                tracing::debug!(%to, %error, "peers: message not sent");
            }
        });
    }
}

/// Splits news of the store into messages of limited length.
pub fn store_messages(news: &StoreNews) -> Vec<Message> {
    let mut messages = Vec::new();
    for entries in news.entries.chunks(ENTRIES_PER_MESSAGE) {
        messages.push(Message::Store(StoreNews {
            entries: entries.to_vec(),
            ..StoreNews::default()
        }));
    }
    for vanished in news.vanished.chunks(ENTRIES_PER_MESSAGE) {
        messages.push(Message::Store(StoreNews {
            vanished: vanished.to_vec(),
            ..StoreNews::default()
        }));
    }
    let mut rest = news.configuration.clone().unwrap_or_default();
    while !rest.is_empty() {
        let bytes = rest.split_to(rest.len().min(PART_BYTES));
        let last = rest.is_empty();
        messages.push(Message::ConfigurationPart { bytes, last });
    }
    messages
}

async fn write_stream(connection: &Connection, messages: &[Message]) -> Result<(), PeerError> {
    let failed = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
    let mut stream = connection.open_uni().await.map_err(|e| failed(&e))?;
    for message in messages {
        let bytes = codec::encode_prefixed(message)?;
        stream.write_all(&bytes).await.map_err(|e| failed(&e))?;
    }
    stream.finish().map_err(|e| failed(&e))
}

async fn accept(peers: Arc<Peers>) {
    while let Some(incoming) = peers.endpoint.accept().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            let from = incoming.remote_address();
            match incoming.await {
                Ok(connection) => peers.opened(from, connection),
                Err(error) => tracing::debug!(%from, %error, "peers: connection not accepted"),
            }
        });
    }
}

async fn read_datagrams(peers: Arc<Peers>, from: SocketAddr, connection: Connection) {
    loop {
        let bytes = match connection.read_datagram().await {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::debug!(%from, %error, "peers: connection ended");
                return;
            }
        };
        match codec::decode(&bytes) {
            Ok(message) => peers.deliver(Incoming::Message(from, message)),
            Err(error) => tracing::warn!(%from, %error, "peers: malformed datagram"),
        }
    }
}

async fn read_streams(peers: Arc<Peers>, from: SocketAddr, connection: Connection) {
    // The other reader logs the end of the connection.
    while let Ok(stream) = connection.accept_uni().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            if let Err(error) = read_stream(&peers, from, stream).await {
                tracing::warn!(%from, %error, "peers: malformed stream");
            }
        });
    }
}

async fn read_stream(
    peers: &Peers,
    from: SocketAddr,
    mut stream: quinn::RecvStream,
) -> Result<(), PeerError> {
    let failed = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
    let mut configuration = Vec::new();
    loop {
        let mut prefix = [0; PREFIX_BYTES];
        match stream.read_exact(&mut prefix).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(()),
            Err(error) => return Err(failed(&error)),
        }
        let mut bytes = vec![0; codec::decode_prefix(prefix)?];
        stream
            .read_exact(&mut bytes)
            .await
            .map_err(|e| failed(&e))?;
        match codec::decode(&bytes)? {
            Message::ConfigurationPart { bytes, last } => {
                configuration.extend_from_slice(&bytes);
                if last {
                    let bytes = std::mem::take(&mut configuration).into();
                    peers.deliver(Incoming::Configuration(bytes));
                }
            }
            message => peers.deliver(Incoming::Message(from, message)),
        }
    }
}

fn quic_configs() -> Result<(quinn::ServerConfig, quinn::ClientConfig), PeerError> {
    let unusable = |e: &dyn std::fmt::Display| PeerError::Certificate(e.to_string());
    let made = rcgen::generate_simple_self_signed(vec![CERTIFICATE_NAME.to_owned()])
        .map_err(|e| unusable(&e))?;
    let certificate = made.cert.der().clone();
    let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| unusable(&e))?
        .with_no_client_auth()
        .with_single_cert(vec![certificate], key.into())
        .map_err(|e| unusable(&e))?;
    let client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| unusable(&e))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
        .with_no_client_auth();
    let server = QuicServerConfig::try_from(server).map_err(|e| unusable(&e))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| unusable(&e))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    let transport = Arc::new(transport());
    server.transport_config(transport.clone());
    client.transport_config(transport);
    Ok((server, client))
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.initial_rtt(INITIAL_RTT);
    // Probes for larger packets would cost more than they save on small messages.
    transport.mtu_discovery_config(None);
    transport
}

/// Accepts every certificate; see the comment of this module.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
