//! Loopback proxy that harms the connections that pass through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Each piece is held for a while.
    Delay(Duration),
    /// Open and new connections end.
    Reset,
    /// Bytes stay where they are.
    Silent,
    /// Bytes of the server stay where they are.
    OneWay,
}

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    pub async fn before(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = watch::Sender::new(Mode::Pass);
        let modes = mode.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, server, modes.subscribe()));
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn pass(client: TcpStream, server: SocketAddr, mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = pump(client_read, server_write, mode.clone(), false) => {}
        () = pump(server_read, client_write, mode, true) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    from_server: bool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    let mut resets = mode.clone();
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = resets.wait_for(|m| *m == Mode::Reset) => return,
        };
        let Ok(bytes @ 1..) = read else { return };
        let held = |m: &Mode| *m == Mode::Silent || (from_server && *m == Mode::OneWay);
        let current = match mode.wait_for(|m| !held(m)).await {
            Ok(current) => *current,
            Err(_) => return,
        };
        match current {
            Mode::Reset => return,
            Mode::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
