//! HTTP endpoints that the daemon itself serves, for callers, operators and monitoring.

use std::sync::Arc;

use corianderworks_decision::addresses::{AddressEntry, addresses};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::ServiceKey;
use corianderworks_wire::message::KeyState;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::body::{Body, full};
use crate::control::SharedState;
use crate::headers;
use crate::metrics_api::MetricsApi;
use crate::proxy::EntryProxy;
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::status_api::StatusApi;

/// Address response: daemons that a caller may send its requests to.
#[derive(Debug, Serialize)]
struct AddressResponse {
    addresses: Vec<Address>,
    keep_s: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    key_prefix: Option<String>,
}

/// One daemon in an address response.
#[derive(Debug, Serialize)]
struct Address {
    name: String,
    address: String,
    domain: String,
    weight: u32,
}

/// Handler of the endpoints that the daemon itself serves.
pub struct Api<C>
where
    C: Clock,
{
    /// Entry point of callers' requests, for the state and the prefixes of idempotency keys.
    pub entry: Arc<EntryProxy<C>>,
    /// State published by the control loop.
    pub shared: Arc<SharedState>,
    /// Renders the response of `/metrics`.
    pub metrics: MetricsApi<C>,
    /// Builds the responses of `/v1/status` and `/v1/explain`.
    pub status: StatusApi<C>,
    /// Time for which callers may use an address response, in seconds.
    pub keep_s: u32,
}

impl<C> Api<C>
where
    C: Clock,
{
    /// Responds to a request for an endpoint of the daemon. Returns `None` for any other request,
    /// which is then a caller's request to a service. `caller_hash`, a hash of the caller's
    /// address, varies the choice of daemons in the address response.
    pub async fn handle<B>(
        &self,
        request: &Request<B>,
        caller_hash: u64,
    ) -> Option<Response<Body>> {
        let is_get = request.method() == Method::GET;
        let is_post = request.method() == Method::POST;
        match request.uri().path() {
            "/healthz" if is_get => Some(text_response(StatusCode::OK, "ok\n")),
            "/readyz" if is_get => Some(self.readiness()),
            "/v1/addresses" if is_get => Some(self.addresses(request, caller_hash)),
            "/metrics" if is_get => Some(text_response(StatusCode::OK, &self.metrics.render())),
            "/v1/status" if is_get => Some(json_response(&self.status.status().await)),
            "/v1/explain" if is_get => Some(self.explain(request)),
            "/v1/keys" if is_post => Some(self.key_prefix_response()),
            path if is_get => {
                let key = path.strip_prefix("/v1/keys/")?;
                let customer = request.headers().get(headers::CUSTOMER);
                let customer = customer
                    .and_then(|name| name.to_str().ok())
                    .unwrap_or_default();
                Some(key_state_response(
                    self.entry.key_state(customer, key).await,
                ))
            }
            _ => None,
        }
    }

    fn explain<B>(&self, request: &Request<B>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| percent_decode(value))
        };
        let (Some(customer), Some(path)) = (parameter("customer"), parameter("path")) else {
            return text_response(StatusCode::BAD_REQUEST, "customer and path are needed\n");
        };
        let method = parameter("method").unwrap_or_else(|| "GET".to_owned());
        json_response(&self.status.explain(&customer, &method, &path))
    }

    fn issue_key_prefix(&self) -> Option<String> {
        let allowed = self.shared.phase().allowed_operations().new_keys;
        allowed.then(|| self.entry.parts.keys.issue())
    }

    fn key_prefix_response(&self) -> Response<Body> {
        match self.issue_key_prefix() {
            Some(key_prefix) => json_response(&serde_json::json!({ "key_prefix": key_prefix })),
            None => Refusal::not_run(Reason::NotReady).response(),
        }
    }

    fn readiness(&self) -> Response<Body> {
        let phase = self.shared.phase();
        if phase.allowed_operations().listed {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{phase:?}\n"))
        }
    }

    fn addresses<B>(&self, request: &Request<B>, caller_hash: u64) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let view = self.shared.view.load();
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
        };
        let service = parameter("service").map_or(ServiceKey(0), |(_, name)| ServiceKey::of(name));
        let domain = parameter("domain").map(|(_, domain)| domain);
        let entries: Vec<AddressEntry> = view
            .members
            .iter()
            .filter(|member| member.is_advertised)
            .map(|member| AddressEntry {
                daemon: member.daemon,
                region: member.region.to_string(),
                domain: member.domain.to_string(),
                http_address: member.http_address,
            })
            .collect();
        let homes = view
            .placements
            .get(&service)
            .map(|placement| &placement.homes[..])
            .unwrap_or_default();
        let selected = addresses(&entries, service, homes, domain, caller_hash);
        let addresses = selected
            .into_iter()
            .filter_map(|selected| {
                let member = view.member(selected.daemon)?;
                Some(Address {
                    name: member.name.to_string(),
                    address: selected.http_address.to_string(),
                    domain: member.domain.to_string(),
                    weight: selected.weight,
                })
            })
            .collect();
        let key_prefix = self.issue_key_prefix();
        json_response(&AddressResponse {
            addresses,
            keep_s: self.keep_s,
            key_prefix,
        })
    }
}

/// Builds a plain-text response without a `content-type`.
pub fn text_response(status: StatusCode, content: &str) -> Response<Body> {
    let mut response = Response::new(full(content.to_owned()));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response, or a 500 response if the value can't be serialised.
pub fn json_response<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let content_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Decodes the percent escapes of a query value; `None` when they are malformed.
fn percent_decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || char::from(rest.next()?).to_digit(16);
        bytes.push((digit()? * 16 + digit()?) as u8);
    }
    String::from_utf8(bytes).ok()
}

fn key_state_response(state: KeyState) -> Response<Body> {
    let (state_name, status) = match state {
        KeyState::NotRun => ("not-run", None),
        KeyState::Running => ("running", None),
        KeyState::Done(status) => ("done", Some(status)),
        KeyState::Unknown => ("unknown", None),
    };
    json_response(&serde_json::json!({ "state": state_name, "status": status }))
}
