//! The two lists: plans that customers hold, and what each plan may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Entry of a plan's `uses` that allows all routes of a service.
pub const ALL_ROUTES: &str = "*";

/// Methods that a route may accept.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// First list: plans that customers hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the plan that the customer holds.
    pub plan: String,
    /// Note for operators. Comments of the files are not stored; notes are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Second list: what each plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
}

/// A service with its routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Share of the backend servers that ejection never goes below.
    pub floor_percent: u8,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Note for operators. Comments of the files are not stored; notes are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Methods that the route accepts.
    pub methods: Vec<String>,
    /// Path prefix, matched by whole segments; the longest match wins.
    pub path: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time allowed for a request, in milliseconds.
    pub timeout_ms: u32,
}

/// What a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Priority under load; higher is served first.
    pub priority: u8,
    /// Requests per second of one customer.
    pub rate_per_s: u32,
    /// Requests of one customer at once.
    pub concurrency: u32,
    /// Routes allowed by service; `*` allows all routes of the service.
    pub uses: BTreeMap<String, Vec<String>>,
    /// Note for operators. Comments of the files are not stored; notes are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}
