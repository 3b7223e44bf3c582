//! HTTP client and time limits shared by the tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Loopback address with port 0, which selects a free port.
pub fn loopback_any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Response with its body received in full.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn version(&self) -> u64 {
        let etag = self.header("etag").expect("an etag");
        etag.trim_matches('"').parse().expect("a version")
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

/// HTTP client with its own connection pool, bound to one server address.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpClient {
    pub fn http1(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, address }
    }

    pub fn http2(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        Self { client, address }
    }

    /// Creates an HTTP/1.1 client that connects from the loopback address `local`.
    pub fn from_address(address: SocketAddr, local: [u8; 4]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(Some(local.into()));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, address }
    }

    /// Sends a request and receives the response; `Err` if the connection fails or the
    /// body is incomplete.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Result<HttpResponse, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body)).expect("a valid request");
        let response = self.client.request(request).await;
        let (parts, body) = response.map_err(|e| format!("{e:?}"))?.into_parts();
        let body = body.collect().await.map_err(|e| format!("{e:?}"))?;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    pub async fn get(&self, path: &str) -> Result<HttpResponse, String> {
        self.send("GET", path, &[], "").await
    }
}

/// Fails the test if the future takes longer than five seconds.
pub async fn with_timeout<F: Future>(future: F) -> F::Output {
    let limit = Duration::from_secs(5);
    let result = tokio::time::timeout(limit, future).await;
    result.expect("took longer than five seconds")
}

/// Returns whether the future is still pending after `duration`.
pub async fn is_pending<F: Future>(future: F, duration: Duration) -> bool {
    tokio::time::timeout(duration, future).await.is_err()
}
