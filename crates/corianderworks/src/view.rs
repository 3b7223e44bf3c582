//! Immutable snapshot of what a daemon knows of the fleet: configuration, members and placement.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use corianderworks_decision::placement::{self, Candidate, Owners};
use corianderworks_lists::lists::{Customers, Plans};
use http::Method;

/// Route of a service, as requests are matched to it.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// Name of the route in the plans list, unique within its service.
    pub name: Arc<str>,
    /// Service that handles the requests.
    pub service: Arc<str>,
    /// HTTP methods that the route accepts.
    pub methods: Vec<Method>,
    /// Whether a request may be run more than once, so that a failed attempt can be repeated.
    pub idempotent: bool,
    /// Time limit of a request on this route.
    pub timeout: Duration,
}

/// Limits and permitted routes of a plan.
#[derive(Debug, Clone)]
pub struct PlanEntry {
    /// Priority under load; a higher one is served first.
    pub priority: u8,
    /// Largest request rate of one customer, in requests per second.
    pub rate_per_s: u32,
    /// Largest number of concurrent requests of one customer.
    pub concurrency: u32,
    uses: BTreeMap<String, Vec<String>>,
}

impl PlanEntry {
    /// Whether the plan allows a route; `*` allows all routes of a service.
    pub fn allows(&self, route: &RouteEntry) -> bool {
        let Some(routes) = self.uses.get(&*route.service) else {
            return false;
        };
        routes
            .iter()
            .any(|name| name == "*" || **name == *route.name)
    }
}

/// Result of matching a method and a path to a route.
pub enum RouteMatch<'t> {
    /// A route accepts the method and the path.
    Found(&'t RouteEntry),
    /// Routes have the longest matching path, but none of them accepts the method.
    MethodNotAllowed,
    /// No route's path is a prefix of the request's path.
    NoRoute,
}

/// Settings of a service from the plans list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Number of requests that one backend server runs concurrently.
    pub slots: u32,
    /// Percentage of the backend servers that ejections always leave in use.
    pub floor_percent: u8,
}

/// Lookup tables of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationTable {
    /// Configuration version; 0 before any is known.
    pub version: u64,
    /// Settings of each service, by its name.
    pub services: BTreeMap<Arc<str>, ServiceEntry>,
    routes: HashMap<String, Vec<RouteEntry>>,
    plans_by_customer: HashMap<String, Arc<PlanEntry>>,
    plans_by_key: HashMap<CustomerKey, Arc<PlanEntry>>,
}

impl ConfigurationTable {
    /// Builds the lookup tables of a configuration version. A customer with an unknown plan is left
    /// out, and so is an invalid method of a route.
    pub fn new(version: u64, customers: &Customers, plans: &Plans) -> Self {
        let plans_by_name: HashMap<&str, Arc<PlanEntry>> = plans
            .plans
            .iter()
            .map(|(name, plan)| {
                let entry = PlanEntry {
                    priority: plan.priority,
                    rate_per_s: plan.rate_per_s,
                    concurrency: plan.concurrency,
                    uses: plan.uses.clone(),
                };
                (name.as_str(), Arc::new(entry))
            })
            .collect();
        let plans_by_customer: HashMap<String, Arc<PlanEntry>> = customers
            .customers
            .iter()
            .filter_map(|(name, customer)| {
                Some((
                    name.clone(),
                    plans_by_name.get(customer.plan.as_str())?.clone(),
                ))
            })
            .collect();
        let plans_by_key = plans_by_customer
            .iter()
            .map(|(name, plan)| (CustomerKey::of(name), plan.clone()))
            .collect();
        let mut table = Self {
            plans_by_key,
            version,
            plans_by_customer,
            ..Self::default()
        };
        for (name, service) in &plans.services {
            let name: Arc<str> = name.as_str().into();
            let entry = ServiceEntry {
                slots: service.slots,
                floor_percent: service.floor_percent,
            };
            table.services.insert(name.clone(), entry);
            for (route_name, route) in &service.routes {
                let entry = RouteEntry {
                    name: route_name.as_str().into(),
                    service: name.clone(),
                    methods: route
                        .methods
                        .iter()
                        .filter_map(|m| m.parse().ok())
                        .collect(),
                    idempotent: route.idempotent,
                    timeout: Duration::from_millis(u64::from(route.timeout_ms)),
                };
                let path = route.path.trim_end_matches('/').to_owned();
                table.routes.entry(path).or_default().push(entry);
            }
        }
        table
    }

    /// Finds the plan of a customer by its name; `None` for an unknown customer.
    pub fn plan(&self, customer: &str) -> Option<&Arc<PlanEntry>> {
        self.plans_by_customer.get(customer)
    }

    /// Finds the plan of a customer by its key; `None` for an unknown customer.
    pub fn plan_by_key(&self, customer: CustomerKey) -> Option<&Arc<PlanEntry>> {
        self.plans_by_key.get(&customer)
    }

    /// Finds the route whose path is the longest prefix of `path`, by whole segments.
    pub fn route(&self, method: &Method, path: &str) -> RouteMatch<'_> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(routes) = self.routes.get(prefix) {
                let route = routes.iter().find(|route| route.methods.contains(method));
                return route.map_or(RouteMatch::MethodNotAllowed, RouteMatch::Found);
            }
            match prefix.rfind('/') {
                Some(segment_end) => prefix = &prefix[..segment_end],
                None => return RouteMatch::NoRoute,
            }
        }
    }
}

/// Member of the fleet, with the addresses that other daemons and callers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Key derived from the daemon's name.
    pub daemon: DaemonKey,
    /// Current run of the daemon; a restart changes it.
    pub run: DaemonRun,
    /// Name from the daemon's settings.
    pub name: Arc<str>,
    /// Region that the daemon runs in.
    pub region: Arc<str>,
    /// Failure domain that the daemon runs in.
    pub domain: Arc<str>,
    /// Address that serves callers over HTTP.
    pub http_address: SocketAddr,
    /// QUIC address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// Whether address responses may list the daemon: alive, not suspected, not leaving.
    pub is_advertised: bool,
}

/// State of a backend server according to the VM list and its own drain signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts new requests.
    Live,
    /// About to stop: gets no new requests.
    Leaving,
}

/// Backend server of a service, from the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Key derived from service, name and address.
    pub upstream: UpstreamKey,
    /// Name of the VM that runs the backend server.
    pub name: Arc<str>,
    /// HTTP address of the backend server.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Arc<str>,
    /// Whether the backend server gets new requests.
    pub state: BackendState,
}

/// Homes of one service, and the owners of its backend servers.
#[derive(Debug, Clone, Default)]
pub struct ServicePlacement {
    /// Homes of the service, in order of preference.
    pub homes: Vec<DaemonKey>,
    /// Backend servers with their owners; without owners when the service has no home.
    pub backends: Vec<(Backend, Option<Owners>)>,
}

/// Derives the key of a backend server. A server with a new address gets a new key.
pub fn upstream_key(service: &str, name: &str, address: SocketAddr) -> UpstreamKey {
    UpstreamKey::of(&format!("{service}/{name}/{address}"))
}

impl ServicePlacement {
    /// Homes that own slots of at least one live backend server. A home of a small service may own
    /// none, and a request with a body that is relayed to it can't be forwarded from there.
    pub fn homes_with_slots(&self) -> impl Iterator<Item = DaemonKey> {
        let has_slots = |home: DaemonKey| {
            self.backends.iter().any(|(backend, owners)| {
                let share = owners.and_then(|owners| owners.share(home));
                backend.state == BackendState::Live && share.is_some_and(|slots| slots > 0)
            })
        };
        self.homes
            .iter()
            .copied()
            .filter(move |home| has_slots(*home))
    }

    /// Whether a daemon is one of the homes.
    pub fn is_home(&self, daemon: DaemonKey) -> bool {
        self.homes.contains(&daemon)
    }
}

/// Snapshot of the fleet as one daemon knows it; the control loop replaces it as a whole.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Lookup tables of the configuration in force.
    pub table: Arc<ConfigurationTable>,
    /// Daemons that take part in placement.
    pub members: Arc<Vec<MemberView>>,
    /// Leaving daemons. They take no part in placement, but still handle the idempotency keys they
    /// issued.
    pub leaving: Arc<Vec<MemberView>>,
    /// Placement of each service in the configuration.
    pub placements: HashMap<ServiceKey, ServicePlacement>,
}

impl FleetView {
    /// Computes the placement of all services of `table`. The leaving members are left empty.
    pub fn new(
        table: Arc<ConfigurationTable>,
        members: Arc<Vec<MemberView>>,
        backends: &BTreeMap<Arc<str>, Vec<Backend>>,
    ) -> Self {
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|m| Candidate {
                daemon: m.daemon,
                domain: m.domain.to_string(),
            })
            .collect();
        let none = Vec::new();
        let placements = table
            .services
            .iter()
            .map(|(name, service)| {
                let backends = backends.get(name).unwrap_or(&none);
                let key = ServiceKey::of(name);
                (
                    key,
                    place_service(key, service.slots, backends, &candidates),
                )
            })
            .collect();
        Self {
            table,
            members,
            leaving: Arc::default(),
            placements,
        }
    }

    /// Finds a member that takes part in placement.
    pub fn member(&self, daemon: DaemonKey) -> Option<&MemberView> {
        self.members.iter().find(|member| member.daemon == daemon)
    }

    /// Finds a daemon that can handle the idempotency keys it issued: a member or a leaving daemon.
    pub fn key_issuer(&self, daemon: DaemonKey) -> Option<&MemberView> {
        let find_leaving = || self.leaving.iter().find(|member| member.daemon == daemon);
        self.member(daemon).or_else(find_leaving)
    }

    /// Returns the limit homes of a customer: up to two members, in different failure domains if
    /// possible.
    pub fn limit_homes(&self, customer: CustomerKey) -> Vec<DaemonKey> {
        let candidates: Vec<Candidate> = self
            .members
            .iter()
            .map(|m| Candidate {
                daemon: m.daemon,
                domain: m.domain.to_string(),
            })
            .collect();
        placement::select_across_domains(&candidates, customer.0, 2)
    }
}

fn place_service(
    service: ServiceKey,
    slots: u32,
    backends: &[Backend],
    candidates: &[Candidate],
) -> ServicePlacement {
    let homes = placement::homes(candidates, service, backends.len());
    let home_candidates: Vec<Candidate> = candidates
        .iter()
        .filter(|candidate| homes.contains(&candidate.daemon))
        .cloned()
        .collect();
    let backends = backends
        .iter()
        .map(|backend| {
            (
                backend.clone(),
                placement::owners(&home_candidates, backend.upstream, slots),
            )
        })
        .collect();
    ServicePlacement { homes, backends }
}
