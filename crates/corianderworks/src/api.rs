//! Endpoints of the daemon itself.

use std::sync::Arc;

use corianderworks_decision::addresses::{Entry as AddressEntry, addresses};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::ServiceKey;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::{Body, full};
use crate::control::Shared;
use crate::proxy::Entry;

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
    pub shared: Arc<Shared>,
    /// Time that callers keep an address response, in seconds.
    pub keep_s: u32,
}

impl<C> Api<C>
where
    C: Clock,
{
    /// Answers a request for the daemon itself, `None` when the path is a caller's.
    pub fn answer(
        &self,
        method: &http::Method,
        uri: &http::Uri,
        caller: u64,
    ) -> Option<Response<Body>> {
        let get = method == http::Method::GET;
        match uri.path() {
            "/healthz" if get => Some(text(StatusCode::OK, "ok\n")),
            "/readyz" if get => Some(self.ready()),
            "/v1/addresses" if get => Some(self.addresses(uri.query().unwrap_or(""), caller)),
            _ => None,
        }
    }

    fn ready(&self) -> Response<Body> {
        let phase = self.shared.phase();
        if phase.allows().listed {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, &format!("{phase:?}\n"))
        }
    }

    fn addresses(&self, query: &str, caller: u64) -> Response<Body> {
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
            .filter(|member| member.steady)
            .map(|member| AddressEntry {
                daemon: member.daemon,
                region: member.region.to_string(),
                domain: member.domain.to_string(),
                http_address: member.http_address,
            })
            .collect();
        let homes = view
            .places
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
        let key_prefix = None;
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
