//! Backend server with responses of a size that the path says. It holds no bodies.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which the server aborts a response that is left unread.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
static PART: [u8; 64 * 1024] = [b'x'; 64 * 1024];

/// Starts a server. The path `/read/1000-x` gives a response with a body of 1,000 bytes.
pub async fn start() -> SocketAddr {
    start_with_nodelay(false).await
}

/// Same; `nodelay` tells whether small responses are sent at once, although the daemon has not yet
/// acknowledged their heads.
pub async fn start_with_nodelay(nodelay: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(nodelay).expect("a socket option");
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    loop {
        let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") else {
            if stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).into_owned();
        received.drain(..end + 4);
        let mut body_left =
            header(&head, "content-length").map_or(0, |l| l.parse::<usize>().expect("a length"));
        while body_left > 0 {
            let taken = received.len().min(body_left);
            received.drain(..taken);
            body_left -= taken;
            if body_left > 0 && stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
        respond(&mut stream, &head).await?;
    }
}

async fn respond(stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let id = header(head, "request-id").unwrap_or_default();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let size = path.rsplit('/').next().and_then(|p| p.split('-').next());
    let mut left = size.and_then(|s| s.parse::<usize>().ok()).unwrap_or(2);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
         Content-Length: {left}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    while left > 0 {
        let part = &PART[..left.min(PART.len())];
        timeout(UNREAD_TIMEOUT, stream.write_all(part)).await??;
        left -= part.len();
    }
    Ok(())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let pairs = head.lines().filter_map(|l| l.split_once(':'));
    let mut found = pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.trim())
}
