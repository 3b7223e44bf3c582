//! Callers of the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of callers that read slowly. A small one makes them slow after few bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// Encodes a GET request for a response with a body of `bytes`.
pub fn get(bytes: usize, id: &str) -> String {
    format!(
        "GET /read/{bytes}-x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 10000\r\n\r\n"
    )
}

/// Encodes the head of a request with a body.
pub fn put_head(framing: &str, id: &str) -> String {
    format!(
        "PUT /read/2-x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 10000\r\n{framing}\r\n\r\n"
    )
}

/// Opens a connection with a small receive buffer. Returns `None` if the daemon refuses it.
pub async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)
        .expect("a socket option");
    let connected = timeout(EXCHANGE_TIMEOUT, socket.connect(address)).await;
    connected.ok().and_then(Result::ok)
}

/// Sends a request on a new connection and returns what is received until the connection is closed
/// or the time is over. Returns `None` if nothing is received.
pub async fn exchange(address: SocketAddr, request: &str) -> Option<String> {
    let mut received = Vec::new();
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        stream.read_to_end(&mut received).await
    };
    // What was received before an error or the end of the time is checked by the caller.
    let _ = timeout(EXCHANGE_TIMEOUT, exchange).await;
    (!received.is_empty()).then(|| String::from_utf8_lossy(&received).into_owned())
}

/// Sends bytes one after the other, with a pause between them, until the connection is closed.
pub async fn dribble(stream: &mut TcpStream, bytes: &[u8], pause: Duration) {
    for byte in bytes {
        if stream.write_all(std::slice::from_ref(byte)).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Reads a byte a second until the connection is closed.
pub async fn read_slowly(stream: &mut TcpStream) {
    let mut byte = [0];
    while matches!(stream.read(&mut byte).await, Ok(1..)) {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Sends a small request on a connection and returns the response, or `None` if the daemon closes the
/// connection before.
pub async fn ask(stream: &mut TcpStream, id: &str) -> Option<Vec<u8>> {
    let sent = stream.write_all(get(2, id).as_bytes()).await;
    sent.expect("a request is sent");
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nxx") {
        let count = stream.read_buf(&mut received).await.expect("a response");
        if count == 0 {
            return None;
        }
    }
    Some(received)
}

/// Sends small requests one after the other on a connection, and returns how many were answered.
pub async fn ask_repeatedly(address: SocketAddr, caller: usize, requests: usize) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut answered = 0;
    for request in 0..requests {
        let response = ask(&mut stream, &format!("c{caller}-{request}")).await;
        let response = response.unwrap_or_else(|| panic!("closed after {answered} responses"));
        answered += usize::from(response.starts_with(b"HTTP/1.1 200"));
    }
    answered
}
