//! The two lists: the plan that each customer holds, and the routes that each plan may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Entry in a plan's `uses` that allows all routes of a service.
pub const ALL_ROUTES: &str = "*";

/// HTTP methods that a route may accept.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// First list: the plan that each customer holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
}

/// A customer in the first list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the plan that the customer holds, defined in the second list.
    pub plan: String,
    /// Note for operators. Unlike comments in the files, it is stored with the lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Second list: the services with their routes, and the routes that each plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
}

/// A service: its routes and the limits that apply to its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of requests that one backend server runs at the same time.
    pub slots: u32,
    /// Share of the backend servers that ejection must leave in use, in percent.
    pub floor_percent: u8,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Note for operators. Unlike comments in the files, it is stored with the lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// A route of a service, selected by the method and path of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP methods that the route accepts, out of [`METHODS`].
    pub methods: Vec<String>,
    /// Path prefix, matched by whole segments. The route with the longest match is selected.
    pub path: String,
    /// Whether a request may be run more than once, for example by a retry.
    pub idempotent: bool,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u32,
}

/// A plan: the priority and limits of its customers, and the routes that they may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Priority under load; requests with a higher number are served first.
    pub priority: u8,
    /// Maximum rate of one customer, in requests per second.
    pub rate_per_s: u32,
    /// Maximum number of concurrent requests of one customer.
    pub concurrency: u32,
    /// Names of the allowed routes by service; [`ALL_ROUTES`] allows all routes of the service.
    pub uses: BTreeMap<String, Vec<String>>,
    /// Note for operators. Unlike comments in the files, it is stored with the lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}
