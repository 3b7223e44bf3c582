//! Routes of a configuration: which service a request goes to, and its limits.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Version of a configuration; a higher number is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}

/// Part of a route's traffic and the service that gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that gets this part.
    pub service: Arc<str>,
    /// Share of the traffic, relative to the sum of all weights.
    pub weight: u32,
}

/// A route of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Path prefix that selects the route.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub repeatability: Repeatability,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which a response is worth most to the caller.
    pub latency_objective: Duration,
    /// Rank among the requests of a service; 0 is the most urgent.
    pub priority: u32,
    /// Largest number of backend servers that one request may be sent to.
    pub attempts_max: u32,
    /// Services that share the traffic, at least one.
    pub split: Vec<SplitPart>,
}

impl Route {
    /// Returns the service for a request; `point` in 0..1 selects by weight.
    pub fn service_at(&self, point: f64) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|p| u64::from(p.weight)).sum();
        let mut left = point * total as f64;
        for part in &self.split {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.split.last().map(|p| &p.service)
    }
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one backend server accepts from all callers together.
    pub connections_max: u32,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// A configuration as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSettings>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    names: HashSet<Arc<str>>,
}

impl Configuration {
    /// Builds a configuration; the routes of each host may come in any order.
    pub fn new<H, S>(version: ConfigVersion, limits: CallerLimits, hosts: H, services: S) -> Self
    where
        H: IntoIterator<Item = (String, Vec<Route>)>,
        S: IntoIterator<Item = ServiceSettings>,
    {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, routes) in hosts {
            let entry = by_host.entry(host.to_ascii_lowercase()).or_default();
            entry.extend(routes.into_iter().map(Arc::new));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let names = by_host.values().flatten().map(|r| r.name.clone()).collect();
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            limits,
            services,
            hosts: by_host,
            names,
        }
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Removes the port of a `Host` header.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Replaces `current` if `next` is newer. Returns whether it did.
pub fn accept_newer(current: &mut Option<Arc<Configuration>>, next: Arc<Configuration>) -> bool {
    if current.as_ref().is_some_and(|c| c.version >= next.version) {
        return false;
    }
    *current = Some(next);
    true
}
