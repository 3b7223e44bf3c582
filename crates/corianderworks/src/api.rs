//! Endpoints of the daemon itself.

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
use crate::proxy::Entry;
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::status_api::StatusApi;

/// Address response.
#[derive(Debug, Serialize)]
struct AddressAnswer {
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

/// Endpoints of the daemon itself.
pub struct Api<C>
where
    C: Clock,
{
    /// Entry of callers' requests.
    pub entry: Arc<Entry<C>>,
    /// What the control loop knows.
    pub shared: Arc<SharedState>,
    /// Metrics.
    pub metrics: MetricsApi<C>,
    /// State for operators.
    pub status: StatusApi<C>,
    /// Time that callers keep an address response, in seconds.
    pub keep_s: u32,
}

impl<C> Api<C>
where
    C: Clock,
{
    /// Answers a request for the daemon itself, `None` when the path is a caller's.
    pub async fn answer<B>(&self, request: &Request<B>, caller: u64) -> Option<Response<Body>> {
        let get = request.method() == Method::GET;
        let post = request.method() == Method::POST;
        match request.uri().path() {
            "/healthz" if get => Some(text(StatusCode::OK, "ok\n")),
            "/readyz" if get => Some(self.ready()),
            "/v1/addresses" if get => Some(self.addresses(request, caller)),
            "/metrics" if get => Some(text(StatusCode::OK, &self.metrics.render())),
            "/v1/status" if get => Some(json(&self.status.status().await)),
            "/v1/explain" if get => Some(self.explain(request)),
            "/v1/keys" if post => Some(self.new_key()),
            path if get => {
                let key = path.strip_prefix("/v1/keys/")?;
                let customer = request.headers().get(headers::CUSTOMER);
                let customer = customer
                    .and_then(|name| name.to_str().ok())
                    .unwrap_or_default();
                Some(key_answer(self.entry.key_state(customer, key).await))
            }
            _ => None,
        }
    }

    fn explain<B>(&self, request: &Request<B>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| unescaped(value))
        };
        let (Some(customer), Some(path)) = (value("customer"), value("path")) else {
            return text(StatusCode::BAD_REQUEST, "customer and path are needed\n");
        };
        let method = value("method").unwrap_or_else(|| "GET".to_owned());
        json(&self.status.explain(&customer, &method, &path))
    }

    fn key_prefix(&self) -> Option<String> {
        let allowed = self.shared.phase().allowed_operations().new_keys;
        allowed.then(|| self.entry.parts.keys.issue())
    }

    fn new_key(&self) -> Response<Body> {
        match self.key_prefix() {
            Some(prefix) => json(&serde_json::json!({ "key_prefix": prefix })),
            None => Refusal::not_run(Reason::NotReady).response(),
        }
    }

    fn ready(&self) -> Response<Body> {
        let phase = self.shared.phase();
        if phase.allowed_operations().listed {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, &format!("{phase:?}\n"))
        }
    }

    fn addresses<B>(&self, request: &Request<B>, caller: u64) -> Response<Body> {
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
            .map(|place| &place.homes[..])
            .unwrap_or_default();
        let chosen = addresses(&entries, service, homes, domain, caller);
        let addresses = chosen
            .into_iter()
            .filter_map(|chosen| {
                let member = view.member(chosen.daemon)?;
                Some(Address {
                    name: member.name.to_string(),
                    address: chosen.http_address.to_string(),
                    domain: member.domain.to_string(),
                    weight: chosen.weight,
                })
            })
            .collect();
        let key_prefix = self.key_prefix();
        json(&AddressAnswer {
            addresses,
            keep_s: self.keep_s,
            key_prefix,
        })
    }
}

/// Builds a text response.
pub fn text(status: StatusCode, content: &str) -> Response<Body> {
    let mut response = Response::new(full(content.to_owned()));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response.
pub fn json<T>(value: &T) -> Response<Body>
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
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Decodes the percent escapes of a query value; `None` when they are malformed.
fn unescaped(value: &str) -> Option<String> {
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

fn key_answer(state: KeyState) -> Response<Body> {
    let (name, status) = match state {
        KeyState::NotRun => ("not-run", None),
        KeyState::Running => ("running", None),
        KeyState::Done(status) => ("done", Some(status)),
        KeyState::Unknown => ("unknown", None),
    };
    json(&serde_json::json!({ "state": name, "status": status }))
}
