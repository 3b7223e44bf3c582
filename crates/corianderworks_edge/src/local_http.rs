//! HTTP endpoints of the daemon itself: readiness, address lookup and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_platform::addresses;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::state::Edge;

/// Time for which callers may cache an address response. Callers may still use a stopped daemon
/// for this long, but each renewal is a request. They may keep a response three times as long.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Timeout of reading a request head; the clients of these endpoints have shorter timeouts.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Path of the metrics; must match the deploy file.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Serves readiness, addresses and metrics on a listener; never returns. The connections of a listener
/// for callers are limited together with those of their requests.
pub async fn serve(edge: Arc<Edge>, listener: TcpListener, is_for_callers: bool) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "local http: accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // The callers of the directory must not take the descriptors of others.
        let descriptor = match is_for_callers {
            true => match edge.account.caller_descriptor() {
                Some(descriptor) => Some(descriptor),
                None => continue,
            },
            false => None,
        };
        let edge = edge.clone();
        tokio::spawn(async move {
            let _descriptor = descriptor;
            let service = service_fn(|request| {
                let edge = edge.clone();
                async move { Ok::<_, Infallible>(respond(&edge, &request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "local http: connection failed");
            }
        });
    }
}

async fn respond(edge: &Arc<Edge>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        addresses::READY_PATH if edge.is_ready() => {
            response(StatusCode::OK, "text/plain", Bytes::new())
        }
        addresses::READY_PATH => {
            response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new())
        }
        addresses::RESOLVE_PATH => resolve(edge, request.uri().query().unwrap_or_default()),
        METRICS_PATH => metrics(edge).await,
        _ => response(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    }
}

/// Encodes the metrics on a thread of its own: thousands of series take longer than a request may
/// wait.
async fn metrics(edge: &Arc<Edge>) -> Response<Full<Bytes>> {
    edge.record_state_metrics();
    let metrics = edge.metrics.clone();
    let encoded = tokio::task::spawn_blocking(move || metrics.prometheus_text()).await;
    let error = match encoded {
        Ok(Ok(text)) => return response(StatusCode::OK, "text/plain; version=0.0.4", text.into()),
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    tracing::error!(error, "local http: cannot encode metrics");
    response(
        StatusCode::INTERNAL_SERVER_ERROR,
        "text/plain",
        Bytes::new(),
    )
}

fn resolve(edge: &Edge, query: &str) -> Response<Full<Bytes>> {
    let request = addresses::decode_request(query);
    let daemons: Vec<SocketAddr> = edge.addresses_for(&request.domain);
    if daemons.is_empty() {
        return response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new());
    }
    let ttl = ADDRESS_TTL.min(edge.settings.address_ttl_max);
    match addresses::encode_response(&daemons, ttl) {
        Ok(body) => response(StatusCode::OK, "application/json", body),
        Err(error) => {
            tracing::error!(%error, "local http: cannot encode addresses");
            response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                Bytes::new(),
            )
        }
    }
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}
