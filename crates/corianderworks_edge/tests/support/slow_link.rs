//! Proxies that limit the rate at which bytes arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Bytes that are sent at a time.
const PART_BYTES: usize = 4096;

/// Rate of a link, which all connections over it share.
#[derive(Debug, Clone)]
struct Link {
    bits_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    fn new(mbit_per_s: u32) -> Self {
        Self {
            bits_per_s: f64::from(mbit_per_s) * 1e6,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Returns when the next `length` bytes will have passed the link.
    fn reserve(&self, length: usize) -> Instant {
        let duration = Duration::from_secs_f64(length as f64 * 8.0 / self.bits_per_s);
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}

/// Forwards connections to `server`, whose bytes arrive at the rate of a link. Returns the address
/// at which the server is reached.
pub async fn start_link(server: SocketAddr, mbit_per_s: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let link = Link::new(mbit_per_s);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(connect(link.clone(), client, server));
        }
    });
    address
}

/// Copies in both directions until one of the ends closes the connection.
async fn connect(link: Link, client: TcpStream, server: SocketAddr) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (mut from_client, to_client) = client.into_split();
    let (from_server, mut to_server) = server.into_split();
    tokio::select! {
        _ = tokio::io::copy(&mut from_client, &mut to_server) => {}
        () = copy_slowly(&link, from_server, to_client) => {}
    }
}

async fn copy_slowly(link: &Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut part = [0; PART_BYTES];
    while let Ok(length @ 1..) = from.read(&mut part).await {
        sleep_until(link.reserve(length)).await;
        if to.write_all(&part[..length]).await.is_err() {
            return;
        }
    }
}

/// Datagrams that wait for a link. Further ones are lost.
const QUEUED_DATAGRAMS_MAX: usize = 100;
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Forwards the datagrams that one client sends to `server` at the rate of a link, and those of the
/// server without a limit. Returns the address at which the client reaches the server.
pub async fn start_datagram_link(server: SocketAddr, mbit_per_s: u32) -> SocketAddr {
    let bind = || UdpSocket::bind("127.0.0.1:0");
    let client_side = Arc::new(bind().await.expect("a free port"));
    let server_side = Arc::new(bind().await.expect("a free port"));
    let address = client_side.local_addr().expect("an address");
    let client = Arc::new(Mutex::new(None));
    let (queue, queued) = mpsc::channel(QUEUED_DATAGRAMS_MAX);
    let link = Link::new(mbit_per_s);
    tokio::spawn(enqueue(client_side.clone(), client.clone(), queue));
    tokio::spawn(send_queued(link, queued, server_side.clone(), server));
    tokio::spawn(send_back(server_side, client_side, client));
    address
}

type ClientAddress = Arc<Mutex<Option<SocketAddr>>>;

async fn enqueue(from: Arc<UdpSocket>, client: ClientAddress, queue: mpsc::Sender<Vec<u8>>) {
    let mut datagram = [0; DATAGRAM_MAX_BYTES];
    while let Ok((length, address)) = from.recv_from(&mut datagram).await {
        *client.lock() = Some(address);
        // A full link loses datagrams.
        let _ = queue.try_send(datagram[..length].to_vec());
    }
}

async fn send_queued(
    link: Link,
    mut queued: mpsc::Receiver<Vec<u8>>,
    to: Arc<UdpSocket>,
    server: SocketAddr,
) {
    while let Some(datagram) = queued.recv().await {
        sleep_until(link.reserve(datagram.len())).await;
        // The server may have closed its socket.
        let _ = to.send_to(&datagram, server).await;
    }
}

async fn send_back(from: Arc<UdpSocket>, to: Arc<UdpSocket>, client: ClientAddress) {
    let mut datagram = [0; DATAGRAM_MAX_BYTES];
    while let Ok((length, _)) = from.recv_from(&mut datagram).await {
        let address = *client.lock();
        if let Some(address) = address {
            let _ = to.send_to(&datagram[..length], address).await;
        }
    }
}
