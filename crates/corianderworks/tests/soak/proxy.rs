//! TCP proxy on the loopback interface that injects faults into its connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time for which a silenced connection stays open, longer than a run.
const SILENCE_MAX: Duration = Duration::from_secs(600);
const BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with connections and the bytes on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    Pass,
    /// Each chunk that was read is forwarded after this delay.
    Delay(Duration),
    /// Open and new connections are closed.
    Close,
    /// Nothing is forwarded in either direction; connections stay open.
    Stall,
    /// Nothing is forwarded from the server to the client; connections stay open.
    StallResponses,
}

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    /// Number of times that the open connections were silenced.
    silenced: watch::Sender<u32>,
}

impl Proxy {
    pub async fn for_server(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mode = watch::Sender::new(ProxyMode::Pass);
        let silenced = watch::Sender::new(0);
        let (modes, silences) = (mode.clone(), silenced.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (mode, silenced) = (modes.subscribe(), silences.subscribe());
                tokio::spawn(forward(stream, server, mode, silenced));
            }
        });
        Self {
            address,
            mode,
            silenced,
        }
    }

    /// Forwards nothing more on the connections that are open now, and leaves them open.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(
    client: TcpStream,
    server: SocketAddr,
    mode: watch::Receiver<ProxyMode>,
    mut silenced: watch::Receiver<u32>,
) {
    if *mode.borrow() == ProxyMode::Close {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forwarding = async {
        tokio::select! {
            () = copy_direction(client_read, server_write, mode.clone(), false) => {}
            () = copy_direction(server_read, client_write, mode, true) => {}
        }
    };
    tokio::pin!(forwarding);
    tokio::select! {
        () = &mut forwarding => {}
        // Keeps the connections open, since `forwarding` owns them.
        Ok(()) = silenced.changed() => sleep(SILENCE_MAX).await,
    }
}

async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    from_server: bool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    let mut close_mode = mode.clone();
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = close_mode.wait_for(|m| *m == ProxyMode::Close) => return,
        };
        let Ok(bytes @ 1..) = read else { return };
        let stalled = |m: &ProxyMode| {
            *m == ProxyMode::Stall || (from_server && *m == ProxyMode::StallResponses)
        };
        let current = match mode.wait_for(|m| !stalled(m)).await {
            Ok(current) => *current,
            Err(_) => return,
        };
        match current {
            ProxyMode::Close => return,
            ProxyMode::Delay(time) => sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
