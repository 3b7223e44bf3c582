//! Proxy that limits the rate at which the bytes of a server arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Bytes that are sent at a time.
const PART_BYTES: usize = 4096;

/// Link to a server, with one rate for the responses of all connections together.
#[derive(Debug, Clone)]
pub struct SlowLink {
    /// Address at which the server is reached over this link.
    pub address: SocketAddr,
    bits_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl SlowLink {
    pub async fn start(server: SocketAddr, mbit_per_s: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            bits_per_s: f64::from(mbit_per_s) * 1e6,
            free_at: Arc::new(Mutex::new(Instant::now())),
        };
        let accepting_link = link.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(accepting_link.clone().connect(client, server));
            }
        });
        link
    }

    /// Copies in both directions until one of the ends closes the connection.
    async fn connect(self, client: TcpStream, server: SocketAddr) {
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (mut from_client, to_client) = client.into_split();
        let (from_server, mut to_server) = server.into_split();
        tokio::select! {
            _ = tokio::io::copy(&mut from_client, &mut to_server) => {}
            () = self.copy_slowly(from_server, to_client) => {}
        }
    }

    async fn copy_slowly(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut part = [0; PART_BYTES];
        while let Ok(length @ 1..) = from.read(&mut part).await {
            sleep_until(self.reserve(length)).await;
            if to.write_all(&part[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Returns when a part will have passed the link.
    fn reserve(&self, length: usize) -> Instant {
        let duration = Duration::from_secs_f64(length as f64 * 8.0 / self.bits_per_s);
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}
