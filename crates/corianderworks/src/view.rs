//! What a daemon knows of the fleet at one moment: lists, members, placement.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use corianderworks_decision::placement::{self, Candidate, Owners};
use corianderworks_lists::lists::{Customers, Plans};
use http::Method;

/// A route, ready for look-up.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Arc<str>,
    /// Service that serves it.
    pub service: Arc<str>,
    /// Methods that it accepts.
    pub methods: Vec<Method>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time allowed for a request.
    pub timeout: Duration,
}

/// A plan, ready for look-up.
#[derive(Debug, Clone)]
pub struct PlanEntry {
    /// Priority under load, higher is served first.
    pub priority: u8,
    /// Requests per second of one customer.
    pub rate_per_s: u32,
    /// Requests of one customer at once.
    pub concurrency: u32,
    uses: BTreeMap<String, Vec<String>>,
}

impl PlanEntry {
    /// Whether the plan allows a route.
    pub fn allows(&self, route: &RouteEntry) -> bool {
        let Some(routes) = self.uses.get(&*route.service) else {
            return false;
        };
        routes
            .iter()
            .any(|name| name == "*" || **name == *route.name)
    }
}

/// Result of a route look-up.
pub enum RouteMatch<'t> {
    /// The route.
    Found(&'t RouteEntry),
    /// A route has this path but not this method.
    OtherMethod,
    /// No route has this path.
    NoRoute,
}

/// Settings of a service out of the lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Share of the backend servers that ejection never goes below.
    pub floor_percent: u8,
}

/// One configuration version, ready for look-up.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Version of the lists; 0 before any is known.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceEntry>,
    routes: HashMap<String, Vec<RouteEntry>>,
    customers: HashMap<String, Arc<PlanEntry>>,
    by_key: HashMap<CustomerKey, Arc<PlanEntry>>,
}

impl Table {
    /// Builds the look-up tables of a configuration version.
    pub fn new(version: u64, customers: &Customers, plans: &Plans) -> Self {
        let by_name: HashMap<&str, Arc<PlanEntry>> = plans
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
        let customers: HashMap<String, Arc<PlanEntry>> = customers
            .customers
            .iter()
            .filter_map(|(name, customer)| {
                Some((name.clone(), by_name.get(customer.plan.as_str())?.clone()))
            })
            .collect();
        let by_key = customers
            .iter()
            .map(|(name, plan)| (CustomerKey::of(name), plan.clone()))
            .collect();
        let mut table = Self {
            by_key,
            version,
            customers,
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

    /// Finds the plan of a customer.
    pub fn plan(&self, customer: &str) -> Option<&Arc<PlanEntry>> {
        self.customers.get(customer)
    }

    /// Finds the plan of a customer by its key.
    pub fn plan_of(&self, customer: CustomerKey) -> Option<&Arc<PlanEntry>> {
        self.by_key.get(&customer)
    }

    /// Finds the route with the longest path, by whole segments.
    pub fn route(&self, method: &Method, path: &str) -> RouteMatch<'_> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(routes) = self.routes.get(prefix) {
                let found = routes.iter().find(|route| route.methods.contains(method));
                return found.map_or(RouteMatch::OtherMethod, RouteMatch::Found);
            }
            match prefix.rfind('/') {
                Some(end) => prefix = &prefix[..end],
                None => return RouteMatch::NoRoute,
            }
        }
    }
}

/// A daemon as other daemons and callers see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Key of the daemon.
    pub daemon: DaemonKey,
    /// Its present run.
    pub run: DaemonRun,
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Whether callers may be sent to it: alive, not suspected, not leaving.
    pub steady: bool,
}

/// State of a backend server by the VM list and by its own signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// In service.
    Live,
    /// Leaving: gets no new work.
    Leaving,
}

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Name of the VM.
    pub name: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// State.
    pub state: BackendState,
}

/// Placement of one service.
#[derive(Debug, Clone, Default)]
pub struct ServicePlace {
    /// Home set, best first.
    pub homes: Vec<DaemonKey>,
    /// Backend servers with their owners.
    pub backends: Vec<(Backend, Option<Owners>)>,
}

/// Key of a backend server.
pub fn upstream_key(service: &str, name: &str, address: SocketAddr) -> UpstreamKey {
    UpstreamKey::of(&format!("{service}/{name}/{address}"))
}

impl ServicePlace {
    /// Homes with slots of a live backend server. A home of a small service may own none, and a
    /// request with a body that went there could not be sent on.
    pub fn dispatching(&self) -> impl Iterator<Item = DaemonKey> {
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

    /// Whether a daemon is a home of the service.
    pub fn is_home(&self, daemon: DaemonKey) -> bool {
        self.homes.contains(&daemon)
    }
}

/// What a daemon knows of the fleet at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration in force.
    pub table: Arc<Table>,
    /// Daemons that take part in placement.
    pub members: Arc<Vec<MemberView>>,
    /// Daemons that leave. They take no part in placement, but answer for the keys they issued.
    pub leaving: Arc<Vec<MemberView>>,
    /// Placement of each service.
    pub places: HashMap<ServiceKey, ServicePlace>,
}

impl View {
    /// Computes the placement of all services.
    pub fn new(
        table: Arc<Table>,
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
        let places = table
            .services
            .iter()
            .map(|(name, service)| {
                let backends = backends.get(name).unwrap_or(&none);
                let key = ServiceKey::of(name);
                (key, place(key, service.slots, backends, &candidates))
            })
            .collect();
        Self {
            table,
            members,
            leaving: Arc::default(),
            places,
        }
    }

    /// Finds a member.
    pub fn member(&self, daemon: DaemonKey) -> Option<&MemberView> {
        self.members.iter().find(|member| member.daemon == daemon)
    }

    /// Finds a daemon that answers for the keys it issued: a member, or one that leaves.
    pub fn issuer(&self, daemon: DaemonKey) -> Option<&MemberView> {
        let leaving = || self.leaving.iter().find(|member| member.daemon == daemon);
        self.member(daemon).or_else(leaving)
    }

    /// Returns the two limit homes of a customer.
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

fn place(
    service: ServiceKey,
    slots: u32,
    backends: &[Backend],
    candidates: &[Candidate],
) -> ServicePlace {
    let homes = placement::homes(candidates, service, backends.len());
    let pool: Vec<Candidate> = candidates
        .iter()
        .filter(|c| homes.contains(&c.daemon))
        .cloned()
        .collect();
    let backends = backends
        .iter()
        .map(|backend| {
            (
                backend.clone(),
                placement::owners(&pool, backend.upstream, slots),
            )
        })
        .collect();
    ServicePlace { homes, backends }
}
