//! QUIC connections between edge daemons.
//!
//! The platform provides no keys to daemons. Connections are encrypted with a self-signed
//! certificate generated at startup, and peers are trusted by their address on the platform's
//! private network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::edge::fleet::Member;
use corianderworks_decision::edge::peer_load::{Report, ServerTag, StoreView};
use corianderworks_decision::edge::servers::ServerEntry;
use corianderworks_wire::codec::{self, CodecError, PREFIX_BYTES};
use parking_lot::Mutex;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, Endpoint, SendStream, TransportConfig, VarInt};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::{DigitallySignedStruct, SignatureScheme};
use rustls_pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::state::EntryRemoval;

/// Subject name of the certificates, which is the same for all daemons.
const CERTIFICATE_NAME: &str = "corianderworks-edge";
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection that received no packet for this long is closed. Heartbeats are sent more often
/// than that.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// Round-trip time assumed until it is measured. With QUIC's default for the internet, the first
/// packet to a daemon that is just starting would be retransmitted only after 1 s.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Largest datagram that fits the MTU of every path.
pub const DATAGRAM_MAX_BYTES: usize = 1_100;
/// Size of the parts that a configuration is split into, one per message.
const CONFIGURATION_PART_BYTES: usize = 48 * 1024;
/// Largest number of store entries in one message.
const ENTRIES_PER_MESSAGE: usize = 200;

/// Error of the connections between daemons.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The certificate or the TLS configuration can't be created.
    #[error("cannot create the TLS certificate: {0}")]
    Certificate(String),
    /// The UDP socket can't be opened.
    #[error("cannot open the peer socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The connection can't be established or was lost.
    #[error("connection to a peer failed: {0}")]
    Connection(String),
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Changes of the store, sent by a daemon that watches it to the others of its domain.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Entries of backend servers that were added or updated.
    pub entries: Vec<ServerEntry>,
    /// Entries that were removed.
    pub removed: Vec<EntryRemoval>,
    /// Servers that said in a response that they are shutting down.
    pub leaving: Vec<ServerTag>,
    /// View of the store that was reported last, if that was recently.
    pub view: Option<StoreView>,
    /// New configuration, encoded as in the store.
    pub configuration: Option<Bytes>,
}

impl StoreUpdate {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        let Self {
            entries,
            removed,
            leaving,
            view,
            configuration,
        } = self;
        let has_objects = !entries.is_empty() || !removed.is_empty() || !leaving.is_empty();
        !has_objects && view.is_none() && configuration.is_none()
    }
}

/// Message between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// First message on a connection, sent by both ends.
    Hello {
        /// Member record of the sender.
        own: Member,
        /// All other members that the sender knows.
        others: Vec<Member>,
        /// Whether the sender has a configuration and servers. If not, a relay sends it the state of
        /// the store.
        has_state: bool,
    },
    /// Members that the sender has just discovered, or all that it knows.
    Members(Vec<Member>),
    /// Asks for all members that the receiver knows.
    MembersRequest,
    /// Reports; sent in a datagram, like the queries for a configuration.
    Reports(Vec<Report>),
    /// Changes of the store. A configuration is sent in parts instead.
    Store(StoreUpdate),
    /// Part of a configuration; the parts are sent in order on one stream.
    ConfigurationPart {
        /// Content of this part; never empty.
        bytes: Bytes,
        /// Whether it is the last part.
        last: bool,
    },
    /// Asks which configuration the receiver has and when it was last known to be current. Sent in a
    /// datagram; there is no response if the receiver doesn't know.
    ConfirmConfiguration {
        /// Number that the response repeats.
        sequence: u32,
    },
    /// Response to [`Message::ConfirmConfiguration`].
    ConfigurationConfirmed {
        /// Number of the query.
        sequence: u32,
        /// Version of the configuration in force at the sender.
        version: u64,
        /// Hash of its encoded form.
        digest: u64,
        /// Time since it was last known to be the latest one of the store, in milliseconds; rounded
        /// up.
        age_ms: u32,
    },
}

/// Events on the connections to other daemons.
#[derive(Debug)]
pub enum Incoming {
    /// A connection to this address was established by either side.
    Connected(SocketAddr),
    /// A message was received from this address.
    Message(SocketAddr, Message),
    /// All parts of a configuration were received from this address.
    Configuration(SocketAddr, Bytes),
}

/// Connections to other daemons, by address.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
    incoming: mpsc::UnboundedSender<Incoming>,
}

/// State of the connection to one daemon.
#[derive(Debug)]
enum PeerConnection {
    Connecting,
    Open {
        connection: Connection,
        /// Configuration to be sent next. The task that sends them ends when this is dropped.
        configuration: watch::Sender<Bytes>,
    },
}

impl Peers {
    /// Opens the UDP socket and accepts connections. Messages and new connections are sent to the
    /// returned receiver.
    ///
    /// # Errors
    ///
    /// Fails if the certificate can't be created or the socket can't be opened.
    pub fn bind(
        address: SocketAddr,
    ) -> Result<(Arc<Self>, mpsc::UnboundedReceiver<Incoming>), PeerError> {
        let (server, client) = quic_configs()?;
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let (incoming, receiver) = mpsc::unbounded_channel();
        let peers = Arc::new(Self {
            endpoint,
            connections: Mutex::default(),
            incoming,
        });
        tokio::spawn(accept_connections(peers.clone()));
        Ok((peers, receiver))
    }

    /// Whether a connection to `to` is open or being established.
    pub fn has_connection(&self, to: SocketAddr) -> bool {
        match self.connections.lock().get(&to) {
            Some(PeerConnection::Open { connection, .. }) => connection.close_reason().is_none(),
            Some(PeerConnection::Connecting) => true,
            None => false,
        }
    }

    /// Connects to `to` in the background, unless there is a connection already.
    pub fn start_connecting(self: &Arc<Self>, to: SocketAddr) {
        if self.has_connection(to) {
            return;
        }
        self.connections
            .lock()
            .insert(to, PeerConnection::Connecting);
        let peers = self.clone();
        tokio::spawn(async move {
            match peers.connect(to).await {
                Ok(connection) => peers.add_connection(to, connection),
                Err(error) => {
                    tracing::debug!(%to, %error, "peers: cannot connect");
                    let mut connections = peers.connections.lock();
                    if matches!(connections.get(&to), Some(PeerConnection::Connecting)) {
                        connections.remove(&to);
                    }
                }
            }
        });
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let connection_error = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
        let connecting = self
            .endpoint
            .connect(to, CERTIFICATE_NAME)
            .map_err(|e| connection_error(&e))?;
        tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| connection_error(&"no response in time"))?
            .map_err(|e| connection_error(&e))
    }

    fn add_connection(self: &Arc<Self>, to: SocketAddr, connection: Connection) {
        let (configuration, configurations) = watch::channel(Bytes::new());
        self.connections.lock().insert(
            to,
            PeerConnection::Open {
                connection: connection.clone(),
                configuration,
            },
        );
        tokio::spawn(send_configurations(to, connection.clone(), configurations));
        tokio::spawn(read_datagrams(self.clone(), to, connection.clone()));
        tokio::spawn(read_streams(self.clone(), to, connection));
        self.deliver(Incoming::Connected(to));
    }

    fn deliver(&self, incoming: Incoming) {
        // The receiver is only dropped when the process exits.
        if self.incoming.send(incoming).is_err() {
            tracing::debug!("peers: message dropped, the receiver is closed");
        }
    }

    fn connection(&self, to: SocketAddr) -> Option<Connection> {
        match self.connections.lock().get(&to) {
            Some(PeerConnection::Open { connection, .. })
                if connection.close_reason().is_none() =>
            {
                Some(connection.clone())
            }
            _ => None,
        }
    }

    /// Sends changes of the store in the background. A configuration waits until the peer has
    /// received the one before, and is not sent if a later one follows meanwhile. Does nothing
    /// without an open connection.
    pub fn send_store_update(&self, to: SocketAddr, update: &StoreUpdate) {
        let messages = store_messages(update);
        if !messages.is_empty() {
            self.send(to, messages);
        }
        let Some(bytes) = &update.configuration else {
            return;
        };
        if let Some(PeerConnection::Open { configuration, .. }) = self.connections.lock().get(&to) {
            configuration.send_replace(bytes.clone());
        }
    }

    /// Sends an encoded message in a datagram. Does nothing without an open connection.
    pub fn send_datagram(&self, to: SocketAddr, bytes: Bytes) {
        if let Some(connection) = self.connection(to)
            && let Err(error) = connection.send_datagram(bytes)
        {
            tracing::debug!(%to, %error, "peers: datagram not sent");
        }
    }

    /// Sends messages in order on a new stream, in the background. Does nothing without an open
    /// connection.
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

/// Splits changes of the store into messages of limited length, without the configuration.
fn store_messages(update: &StoreUpdate) -> Vec<Message> {
    let mut messages = Vec::new();
    for entries in update.entries.chunks(ENTRIES_PER_MESSAGE) {
        messages.push(Message::Store(StoreUpdate {
            entries: entries.to_vec(),
            ..StoreUpdate::default()
        }));
    }
    for removed in update.removed.chunks(ENTRIES_PER_MESSAGE) {
        messages.push(Message::Store(StoreUpdate {
            removed: removed.to_vec(),
            ..StoreUpdate::default()
        }));
    }
    for leaving in update.leaving.chunks(ENTRIES_PER_MESSAGE) {
        messages.push(Message::Store(StoreUpdate {
            leaving: leaving.to_vec(),
            ..StoreUpdate::default()
        }));
    }
    if update.view.is_some() {
        messages.push(Message::Store(StoreUpdate {
            view: update.view,
            ..StoreUpdate::default()
        }));
    }
    messages
}

/// Splits a configuration into messages of limited length.
fn configuration_parts(mut rest: Bytes) -> Vec<Message> {
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let bytes = rest.split_to(rest.len().min(CONFIGURATION_PART_BYTES));
        let last = rest.is_empty();
        messages.push(Message::ConfigurationPart { bytes, last });
    }
    messages
}

/// Sends the latest configuration each time that the peer has received the one before, until the
/// connection ends.
async fn send_configurations(
    to: SocketAddr,
    connection: Connection,
    mut configurations: watch::Receiver<Bytes>,
) {
    while configurations.changed().await.is_ok() {
        let configuration = configurations.borrow_and_update().clone();
        let messages = configuration_parts(configuration);
        if let Err(error) = deliver_stream(&connection, &messages).await {
            tracing::debug!(%to, %error, "peers: configuration not sent");
            return;
        }
    }
}

/// Writes messages to a new stream and waits until the peer has received them.
async fn deliver_stream(connection: &Connection, messages: &[Message]) -> Result<(), PeerError> {
    let stream = write_stream(connection, messages).await?;
    let stopped = stream.stopped().await;
    stopped
        .map(drop)
        .map_err(|e| PeerError::Connection(e.to_string()))
}

/// Writes messages to a new stream, which is sent on after this returns.
async fn write_stream(
    connection: &Connection,
    messages: &[Message],
) -> Result<SendStream, PeerError> {
    let connection_error = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
    let mut stream = connection
        .open_uni()
        .await
        .map_err(|e| connection_error(&e))?;
    for message in messages {
        let bytes = codec::encode_prefixed(message)?;
        stream
            .write_all(&bytes)
            .await
            .map_err(|e| connection_error(&e))?;
    }
    stream.finish().map_err(|e| connection_error(&e))?;
    Ok(stream)
}

async fn accept_connections(peers: Arc<Peers>) {
    while let Some(incoming) = peers.endpoint.accept().await {
        let peers = peers.clone();
        tokio::spawn(async move {
            let from = incoming.remote_address();
            match incoming.await {
                Ok(connection) => peers.add_connection(from, connection),
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
    // `read_datagrams` logs why the connection ended.
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
    let connection_error = |e: &dyn std::fmt::Display| PeerError::Connection(e.to_string());
    let mut configuration = Vec::new();
    loop {
        let mut prefix = [0; PREFIX_BYTES];
        match stream.read_exact(&mut prefix).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(()),
            Err(error) => return Err(connection_error(&error)),
        }
        let mut bytes = vec![0; codec::decode_prefix(prefix)?];
        stream
            .read_exact(&mut bytes)
            .await
            .map_err(|e| connection_error(&e))?;
        match codec::decode(&bytes)? {
            Message::ConfigurationPart { bytes, last } => {
                configuration.extend_from_slice(&bytes);
                if last {
                    let bytes = std::mem::take(&mut configuration).into();
                    peers.deliver(Incoming::Configuration(from, bytes));
                }
            }
            message => peers.deliver(Incoming::Message(from, message)),
        }
    }
}

fn quic_configs() -> Result<(quinn::ServerConfig, quinn::ClientConfig), PeerError> {
    let certificate_error = |e: &dyn std::fmt::Display| PeerError::Certificate(e.to_string());
    let generated = rcgen::generate_simple_self_signed(vec![CERTIFICATE_NAME.to_owned()])
        .map_err(|e| certificate_error(&e))?;
    let certificate = generated.cert.der().clone();
    let key = PrivatePkcs8KeyDer::from(generated.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| certificate_error(&e))?
        .with_no_client_auth()
        .with_single_cert(vec![certificate], key.into())
        .map_err(|e| certificate_error(&e))?;
    let client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| certificate_error(&e))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    let server = QuicServerConfig::try_from(server).map_err(|e| certificate_error(&e))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| certificate_error(&e))?;
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
    // MTU discovery probes would cost more than larger packets save with such small messages.
    transport.mtu_discovery_config(None);
    transport
}

/// Accepts any certificate; peers are trusted by their address.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
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
