//! Memory that responses take until their callers read them. In a file of its own, because it
//! measures the memory of the process.

mod support;

use std::net::SocketAddr;

use support::{Daemon, ROUTE_TIMEOUT, get, header, peak_memory_bytes, server_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest body that the daemon receives completely before it responds.
const BODY_BYTES: usize = 1024 * 1024;
static PART: [u8; 64 * 1024] = [b'x'; 64 * 1024];
const CALLERS: usize = 6;
const REQUESTS_PER_CALLER: usize = 32;

/// Starts a server with large responses that takes no memory for them.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream));
        }
    });
    address
}

/// Responds to each request on a connection until it is closed.
async fn respond(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await? > 0 {
        let text = String::from_utf8_lossy(&received).into_owned();
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        received.drain(..head.len() + 4);
        let id = header(head, "request-id").expect("a request id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..BODY_BYTES / PART.len() {
            stream.write_all(&PART).await?;
        }
    }
    Ok(())
}

/// Callers that pipeline requests for large responses and don't read them must not take a daemon over
/// the memory of its VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_that_callers_do_not_read_fit_into_the_memory_of_the_vm() {
    let daemon = Daemon::with_backends(&[]).await;
    for number in 0..2 {
        let address = start_server().await;
        let entry = server_entry(&format!("s{number}"), address, 200);
        daemon.edge.apply_entry(entry, "test");
    }
    let before = peak_memory_bytes();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = daemon.connect().await;
        for request in 0..REQUESTS_PER_CALLER {
            let id = format!("r{number}-{request}");
            caller.send(&get("/read/x", &id)).await;
        }
        callers.push(caller);
    }
    tokio::time::sleep(ROUTE_TIMEOUT / 2).await;
    let taken = peak_memory_bytes() - before;
    let limit = daemon.edge.settings.memory_bytes / 2;
    assert!(taken < limit, "{taken} bytes, {limit} allowed");
    // Responses that are held completely outlast the timeout of their route, the others are cut.
    let mut complete = 0;
    for caller in &mut callers {
        for _ in 0..REQUESTS_PER_CALLER {
            let Some(response) = caller.response().await else {
                break;
            };
            assert_eq!((response.status, response.body.len()), (200, BODY_BYTES));
            complete += 1;
        }
    }
    assert!(complete > 0);
}
