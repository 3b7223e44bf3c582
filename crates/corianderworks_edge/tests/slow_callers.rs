//! Slow callers without load: they are served whole as long as they keep to the configuration.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use support::{
    Backend, Daemon, OK, ROUTE_TIMEOUT, configuration_with_timeout, get, header, server_entry,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const LONG_BYTES: usize = 16 * 1024 * 1024;
const PART_BYTES: usize = 64 * 1024;
/// Receive buffer of slow callers, so that the buffers between the daemon and them fill up soon.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Starts a server with a long response, and tells when the daemon closes a connection early.
async fn start_server() -> (SocketAddr, tokio::sync::mpsc::Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = tokio::sync::mpsc::channel(16);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let complete = respond(stream).await.is_ok();
                // Fails if the test has ended.
                let _ = sender.send(complete).await;
            });
        }
    });
    (address, receiver)
}

async fn respond(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut received).await?;
    }
    let id = header(&String::from_utf8_lossy(&received), "request-id").expect("a request id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\
         Content-Length: {LONG_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let part = [b'x'; PART_BYTES];
    for _ in 0..LONG_BYTES / PART_BYTES {
        stream.write_all(&part).await?;
    }
    Ok(())
}

async fn start(timeout: Duration, idle_timeout: Duration, server: SocketAddr) -> Daemon {
    let daemon = Daemon::start().await;
    let mut configuration = configuration_with_timeout(1, timeout);
    configuration.limits.idle_timeout = idle_timeout;
    let installed = Arc::new(configuration);
    daemon.edge.install_configuration(installed, None, "test");
    daemon
        .edge
        .apply_entry(server_entry("s0", server, 4), "test");
    let edge = daemon.edge.clone();
    tokio::spawn(async move {
        // As the process does.
        loop {
            edge.tick();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    daemon
}

async fn connect_slowly(daemon: &Daemon) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a socket option");
    socket.connect(daemon.address).await.expect("a connection")
}

fn get_with_deadline(timeout: Duration) -> String {
    let deadline = format!("Deadline-Ms: {}", timeout.as_millis());
    get("/read/x", "r1").replace("Deadline-Ms: 3000", &deadline)
}

/// The account must not cut a long response whose caller is merely slower than its server.
#[tokio::test]
async fn long_slow_download_is_served_whole_without_load() {
    let timeout = Duration::from_secs(20);
    let (server, _ended) = start_server().await;
    let daemon = start(timeout, Duration::from_secs(5), server).await;
    let mut stream = connect_slowly(&daemon).await;
    let request = get_with_deadline(timeout);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request is sent");
    let started = Instant::now();
    let mut received = 0;
    let mut buffer = vec![0; 256 * 1024];
    while received < LONG_BYTES {
        let count = stream.read(&mut buffer).await.expect("more of the body");
        assert!(count > 0, "cut after {received} bytes");
        received += count;
        // Twice the interval of the progress passes without any.
        let in_pause = received > LONG_BYTES / 2 && started.elapsed() < Duration::from_secs(3);
        if in_pause {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

/// The kernel doesn't close the connection of a caller that takes nothing but acknowledges.
#[tokio::test]
async fn server_is_released_at_the_deadline_if_its_caller_does_not_read() {
    let (server, mut ended) = start_server().await;
    let daemon = start(ROUTE_TIMEOUT, Duration::from_secs(30), server).await;
    let mut stream = connect_slowly(&daemon).await;
    let request = get_with_deadline(ROUTE_TIMEOUT);
    // The second response waits for the first one, and its server for both.
    for _ in 0..2 {
        stream
            .write_all(request.as_bytes())
            .await
            .expect("a request is sent");
    }
    for _ in 0..2 {
        let complete = tokio::time::timeout(ROUTE_TIMEOUT * 5, ended.recv()).await;
        assert_eq!(complete, Ok(Some(false)));
    }
    let mut received = Vec::new();
    // Fails or ends early, either of which shows that the response is incomplete.
    let _ = stream.read_to_end(&mut received).await;
    assert!(received.len() < LONG_BYTES, "{}", received.len());
}

/// A caller that takes no byte for the idle timeout would hold its response for ever.
#[tokio::test]
async fn caller_that_takes_nothing_is_closed_after_the_idle_timeout() {
    let idle_timeout = Duration::from_millis(500);
    let (server, _ended) = start_server().await;
    let daemon = start(Duration::from_secs(60), idle_timeout, server).await;
    let mut stream = connect_slowly(&daemon).await;
    let request = get_with_deadline(Duration::from_secs(60));
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request is sent");
    let deadline = Instant::now() + Duration::from_secs(10);
    while daemon.edge.in_flight() > 0 || Instant::now() < deadline - Duration::from_secs(9) {
        assert!(Instant::now() < deadline, "the response is still held");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut received = Vec::new();
    assert!(stream.read_to_end(&mut received).await.is_err(), "no reset");
}

/// Pauses shorter than the idle timeout are within the limits, however small the parts are.
#[tokio::test]
async fn body_in_small_parts_with_pauses_is_accepted_without_load() {
    let backend = Backend::start([OK]).await;
    let daemon = start(
        Duration::from_secs(20),
        Duration::from_secs(5),
        backend.address,
    )
    .await;
    let mut caller = daemon.connect().await;
    let head = "PUT /read/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n\
                Deadline-Ms: 20000\r\nContent-Length: 3\r\n\r\n";
    caller.send(head).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        caller.send("x").await;
    }
    let response = caller.response().await.expect("a response");
    assert_eq!(response.status, 200);
}
