//! Routing configuration: maps requests to services and defines limits.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::organisations::{Organisations, RateLimit};

/// Version of a configuration; higher numbers are newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times, also concurrently.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}

/// Service that gets part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the route's traffic, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Requests of a host with a common path prefix, and how they are forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs; also identifies its latency statistics.
    pub name: Arc<str>,
    /// Path prefix that requests must have; the longest match wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Time limit for a request, including all attempts.
    pub timeout: Duration,
    /// Target for response times; responses within it are worth most to the caller.
    pub latency_objective: Duration,
    /// Priority among the requests of a service; 0 is the highest.
    pub priority: u32,
    /// Maximum number of backend servers that one request may be sent to.
    pub attempts_max: u32,
    /// Whether its requests need no key of an organisation.
    pub is_public: bool,
    /// Services that share the route's traffic. Empty if the route is malformed and its requests
    /// are refused.
    pub split: Vec<WeightedService>,
}

impl Route {
    /// Creates a route that refuses all requests that match it. They must not fall through to a
    /// route with a shorter prefix, which may lead to another service.
    pub fn refusing(name: Arc<str>, path_prefix: String) -> Self {
        Self {
            name,
            path_prefix,
            idempotency: Idempotency::NonIdempotent,
            timeout: Duration::ZERO,
            latency_objective: Duration::ZERO,
            priority: 0,
            attempts_max: 1,
            is_public: false,
            split: Vec::new(),
        }
    }

    /// Selects the service for a request by weight, or returns `None` if the route refuses all
    /// requests. `point` is uniformly distributed in 0..1.
    pub fn select_service(&self, point: f64) -> Option<&Arc<str>> {
        let part = pick_weighted(&self.split, |part| f64::from(part.weight), point);
        part.map(|part| &part.service)
    }
}

/// Picks an item with a probability in proportion to its weight, or returns `None` if there are none.
/// `point` is uniformly distributed in 0..1.
pub(super) fn pick_weighted<T, F>(items: &[T], weight: F, point: f64) -> Option<&T>
where
    F: Fn(&T) -> f64,
{
    let mut remaining = point * items.iter().map(&weight).sum::<f64>();
    for item in items {
        remaining -= weight(item);
        if remaining < 0.0 {
            return Some(item);
        }
    }
    items.last()
}

/// Settings that apply to all backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the health check requests.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all of its clients.
    pub connections_max: u32,
}

/// Limits on requests and connections of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is received; these are common
    /// defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// A complete configuration, which is replaced as a whole by newer versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version that decides which of two configurations is newer.
    pub version: ConfigVersion,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSettings>,
    /// Organisations that may send requests; `None` if requests need no keys.
    pub organisations: Option<Organisations>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    route_names: HashSet<Arc<str>>,
    /// Highest priority of any request of each service; 0 is the highest.
    highest_priorities: HashMap<Arc<str>, u32>,
}

impl Configuration {
    /// Creates a configuration. Routes may be in any order; host names are case-insensitive.
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
        let route_names = by_host.values().flatten().map(|r| r.name.clone()).collect();
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut configuration = Self {
            version,
            limits,
            services,
            organisations: None,
            hosts: by_host,
            route_names,
            highest_priorities: HashMap::new(),
        };
        configuration.update_highest_priorities();
        configuration
    }

    /// Restricts the configuration to requests with keys of these organisations, except on public
    /// routes.
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = Some(organisations);
        self.update_highest_priorities();
        self
    }

    /// Returns the names and limits of the organisations that have a limit.
    pub fn quota_limits(&self) -> impl Iterator<Item = (Arc<str>, RateLimit)> {
        let organisations = self.organisations.iter().flat_map(Organisations::iter);
        organisations.filter_map(|o| Some((o.name.clone(), o.limit?)))
    }

    /// Returns the highest priority that requests of a service may have, by its routes and the
    /// organisations; 0 is the highest.
    pub fn highest_priority(&self, service: &str) -> u32 {
        self.highest_priorities.get(service).copied().unwrap_or(0)
    }

    fn update_highest_priorities(&mut self) {
        let organisations = self.organisations.iter().flat_map(Organisations::iter);
        let priorities: Vec<Option<u32>> = organisations.map(|o| o.priority).collect();
        let of_organisations = priorities.iter().flatten().copied().min();
        let are_all_ranked = !priorities.is_empty() && priorities.iter().all(Option::is_some);
        let mut highest: HashMap<Arc<str>, u32> = HashMap::new();
        for route in self.hosts.values().flatten() {
            // The priority of an organisation replaces that of the route.
            let of_route = (route.is_public || !are_all_ranked).then_some(route.priority);
            let Some(priority) = of_route.into_iter().chain(of_organisations).min() else {
                continue;
            };
            for part in &route.split {
                let entry = highest.entry(part.service.clone()).or_insert(priority);
                *entry = priority.min(*entry);
            }
        }
        self.highest_priorities = highest;
    }

    /// Returns the route of a host with the longest prefix of `path`. Ignores a port in `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = strip_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether any host has a route with this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.route_names.contains(name)
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Removes the port from the value of a `Host` header.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Replaces `current` if `next` has a higher version. Returns whether it did.
pub fn replace_if_newer(
    current: &mut Option<Arc<Configuration>>,
    next: Arc<Configuration>,
) -> bool {
    if current.as_ref().is_some_and(|c| c.version >= next.version) {
        return false;
    }
    *current = Some(next);
    true
}
