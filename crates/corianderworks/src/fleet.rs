//! A complete deployment in one process: stand-ins for the platform and the backend servers, and
//! real daemons.
//!
//! The tests and the measurement commands use it.

use std::net::{Ipv4Addr, SocketAddr};

use corianderworks_lists::chunk;
use corianderworks_lists::lists::{Customer, Customers, Plan, Plans, Route, Service};
use corianderworks_lists::manifest::{AuditRecord, MANIFEST_PATH, Manifest};
use corianderworks_lists::settings::{Balance, Limits, LogFormat, Prefer, Settings};
use corianderworks_standin::backend::{BackendSettings, BackendStandIn};
use corianderworks_standin::platform::{PlatformSettings, PlatformStandIn, Vm, VmKind, VmState};
use thiserror::Error;

use crate::daemon::{Daemon, DaemonError};
use crate::keys_commands::Authority;

/// Share of each service's backend servers that ejection leaves in service, in percent.
pub const FLOOR_PERCENT: u8 = 70;

/// Why a fleet could not be started or extended.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A stand-in failed to start.
    #[error("a stand-in failed to start: {0}")]
    StandIn(#[from] std::io::Error),
    /// A daemon failed to start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A certificate or private key could not be generated.
    #[error("cannot generate keys: {0}")]
    Keys(#[from] rcgen::Error),
}

/// Service of a deployment: its backend servers and routes.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSpec {
    /// Service name; it also determines the route paths and the names of the backend servers.
    pub name: &'static str,
    /// Number of backend stand-ins; 0 when the caller adds servers of its own.
    pub upstreams: usize,
    /// Whether it has a `POST` route for orders, whose requests must run at most once.
    pub has_order_route: bool,
}

/// Services, failure domains and ejection preference of one region.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Region of all VMs.
    pub region: &'static str,
    /// Failure domains that daemons and backend servers are spread over, in turn.
    pub domains: &'static [&'static str],
    /// Services that the backend servers run.
    pub services: &'static [ServiceSpec],
    /// Number of slots of each backend server.
    pub slots: u32,
    /// Ejection preference: short detection time or few false ejections.
    pub prefer: Prefer,
}

const fn service(name: &'static str, upstreams: usize, has_order_route: bool) -> ServiceSpec {
    ServiceSpec {
        name,
        upstreams,
        has_order_route,
    }
}

const EE_NORTH_SERVICES: [ServiceSpec; 4] = [
    service("stock", 8, false),
    service("ordering", 11, true),
    service("refill-points", 8, false),
    service("delivery-history", 8, false),
];

const TH_CENTRAL_SERVICES: [ServiceSpec; 4] = [
    service("timber-grades", 8, false),
    service("fee-ledger", 10, true),
    service("drawing-archive", 9, false),
    service("apiary-sites", 8, false),
];

/// Returns the deployment of the Agency.
pub fn ee_north() -> Deployment {
    Deployment {
        region: "ee-north",
        domains: &["tallinn-a", "tallinn-b", "maardu", "keila"],
        services: &EE_NORTH_SERVICES,
        slots: 2,
        prefer: Prefer::Detection,
    }
}

/// Returns the deployment of the Association.
pub fn th_central() -> Deployment {
    Deployment {
        region: "th-central",
        domains: &["a", "b", "c", "d"],
        services: &TH_CENTRAL_SERVICES,
        slots: 4,
        prefer: Prefer::Stability,
    }
}

/// Backend server of a fleet with its stand-in.
pub struct FleetBackend {
    /// Name of the service that it runs.
    pub service: &'static str,
    /// Entry in the VM list; [`Fleet::publish_vms`] publishes a change.
    pub vm: Vm,
    /// Stand-in that responds to the requests.
    pub stand_in: BackendStandIn,
}

/// A complete deployment in one process.
pub struct Fleet {
    /// Services, domains and slots of the fleet.
    pub deployment: Deployment,
    /// Stand-in for the platform, which stores the VM list and the lists.
    pub platform: PlatformStandIn,
    /// Backend servers, ordered by service.
    pub backends: Vec<FleetBackend>,
    /// Running daemons with their entries in the VM list.
    pub daemons: Vec<(Vm, Daemon)>,
    /// Time for which callers may cache an address response, in seconds, for daemons started later.
    pub keep_s: u32,
    /// How daemons that are started later select upstreams.
    pub balance: Balance,
    /// Limits towards callers, for daemons that are started later.
    pub limits: Limits,
    authority: Authority,
    customers: Customers,
    plans: Plans,
}

impl Fleet {
    /// Starts the stand-ins, writes version 1 of the lists and publishes the VM list; starts no
    /// daemons.
    pub async fn start(
        deployment: Deployment,
        backend: BackendSettings,
        customer_count: usize,
    ) -> Result<Self, FleetError> {
        let platform = PlatformStandIn::start(any_port(), PlatformSettings::default()).await?;
        let mut backends = Vec::new();
        for spec in deployment.services {
            for number in 0..spec.upstreams {
                let name = format!("{}-{number}", spec.name);
                let settings = BackendSettings {
                    name: name.clone(),
                    slots: deployment.slots as usize,
                    seed: backends.len() as u64,
                    ..backend.clone()
                };
                let stand_in = BackendStandIn::start(any_port(), settings).await?;
                let vm = Vm {
                    name,
                    address: stand_in.address(),
                    region: deployment.region.to_owned(),
                    domain: deployment.domains[number % deployment.domains.len()].to_owned(),
                    state: VmState::Live,
                    kind: VmKind::Backend,
                    service: Some(spec.name.to_owned()),
                };
                backends.push(FleetBackend {
                    service: spec.name,
                    vm,
                    stand_in,
                });
            }
        }
        let customers = create_customers(customer_count);
        let plans = create_plans(&deployment);
        let fleet = Self {
            deployment,
            platform,
            backends,
            daemons: Vec::new(),
            keep_s: 2,
            balance: Balance::Owners,
            limits: Limits::default(),
            authority: Authority::new()?.0,
            customers,
            plans,
        };
        fleet.write_lists(1);
        fleet.publish_vms();
        Ok(fleet)
    }

    /// Starts daemons, spread over the failure domains, and publishes them in the VM list.
    pub async fn add_daemons(&mut self, count: usize) -> Result<(), FleetError> {
        for _ in 0..count {
            self.add_daemon().await?;
        }
        self.publish_vms();
        Ok(())
    }

    /// Starts one daemon without publishing it in the VM list; returns its index in `daemons`.
    pub async fn add_daemon(&mut self) -> Result<usize, FleetError> {
        let index = self.daemons.len();
        let name = format!("entry-{index}");
        let settings = self.settings(&name, index)?;
        let domain = settings.domain.clone();
        let daemon = Daemon::start(settings).await?;
        let vm = Vm {
            name,
            address: daemon.peer_address,
            region: self.deployment.region.to_owned(),
            domain,
            state: VmState::Live,
            kind: VmKind::Daemon,
            service: None,
        };
        self.daemons.push((vm, daemon));
        Ok(index)
    }

    /// Creates the settings of a daemon with new keys; its seeds are the first three daemons.
    pub fn settings(&self, name: &str, index: usize) -> Result<Settings, FleetError> {
        let seeds = self
            .daemons
            .iter()
            .take(3)
            .map(|(_, daemon)| daemon.peer_address)
            .collect();
        let domains = self.deployment.domains;
        Ok(Settings {
            name: name.to_owned(),
            region: self.deployment.region.to_owned(),
            domain: domains[index % domains.len()].to_owned(),
            http_address: any_port(),
            peer_address: any_port(),
            platform_address: self.platform.address(),
            seeds,
            tls: self.authority.issue(name)?,
            prefer: self.deployment.prefer,
            keep_s: self.keep_s,
            limits: self.limits.clone(),
            log: LogFormat::Text,
            balance: self.balance,
            outbound_ip: None,
        })
    }

    /// Publishes the daemons and backend servers in the VM list.
    pub fn publish_vms(&self) {
        let daemons = self.daemons.iter().map(|(vm, _)| vm.clone());
        let backends = self.backends.iter().map(|backend| backend.vm.clone());
        self.platform.set_vms(daemons.chain(backends).collect());
    }

    /// Writes the lists with this version to the platform, without the checks of the operator's
    /// command.
    pub fn write_lists(&self, version: u64) {
        let (contents, chunks) = chunk::split(&self.customers, &self.plans, version, None);
        for chunk in chunks {
            self.platform.write(&chunk.hash.path(), chunk.bytes);
        }
        let record = AuditRecord {
            from_version: version - 1,
            to_version: version,
            change_id: format!("fleet-{version}"),
            who: "fleet".to_owned(),
            when: jiff::Timestamp::now(),
            reason: "first lists".to_owned(),
            summary: Vec::new(),
        };
        let manifest = Manifest::next(None, contents, record);
        self.platform.write(MANIFEST_PATH, manifest.to_bytes());
    }

    /// Raises the request rate of every plan; [`Self::write_lists`] publishes the change.
    pub fn raise_rates(&mut self, by_per_s: u32) {
        for plan in self.plans.plans.values_mut() {
            plan.rate_per_s += by_per_s;
        }
    }

    /// Edits the customers and plans; [`Self::write_lists`] publishes the change.
    pub fn edit_lists<F>(&mut self, edit: F)
    where
        F: FnOnce(&mut Customers, &mut Plans),
    {
        edit(&mut self.customers, &mut self.plans);
    }

    /// Returns the backend server with this VM name.
    pub fn backend(&self, name: &str) -> Option<&FleetBackend> {
        self.backends.iter().find(|backend| backend.vm.name == name)
    }

    /// Marks a daemon or backend server as leaving and publishes the VM list.
    pub fn mark_leaving(&mut self, name: &str) {
        let daemons = self.daemons.iter_mut().map(|(vm, _)| vm);
        let backends = self.backends.iter_mut().map(|backend| &mut backend.vm);
        daemons
            .chain(backends)
            .filter(|vm| vm.name == name)
            .for_each(|vm| vm.state = VmState::Leaving);
        self.publish_vms();
    }

    /// Returns the names of all customers.
    pub fn customer_names(&self) -> Vec<String> {
        self.customers.customers.keys().cloned().collect()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn create_customers(count: usize) -> Customers {
    let customers = (0..count).map(|number| {
        let plan = if number % 4 == 0 { "depot" } else { "school" };
        (
            format!("customer-{number}"),
            Customer {
                plan: plan.to_owned(),
                note: None,
            },
        )
    });
    Customers {
        customers: customers.collect(),
    }
}

fn create_plans(deployment: &Deployment) -> Plans {
    let route = |methods: &[&str], path: String, idempotent| Route {
        methods: methods.iter().map(|m| (*m).to_owned()).collect(),
        path,
        idempotent,
        timeout_ms: 3_000,
    };
    let services = deployment.services.iter().map(|spec| {
        let mut routes = std::collections::BTreeMap::new();
        let read = route(&["GET"], format!("/{}", spec.name), true);
        routes.insert("read".to_owned(), read);
        if spec.has_order_route {
            let order = route(&["POST"], format!("/{}/orders", spec.name), false);
            routes.insert("order".to_owned(), order);
        }
        let service = Service {
            slots: deployment.slots,
            floor_percent: FLOOR_PERCENT,
            note: None,
            routes,
        };
        (spec.name.to_owned(), service)
    });
    let allow_all_routes = |spec: &ServiceSpec| (spec.name.to_owned(), vec!["*".to_owned()]);
    let plan = |priority, rate_per_s, concurrency| Plan {
        priority,
        rate_per_s,
        concurrency,
        note: None,
        uses: deployment.services.iter().map(allow_all_routes).collect(),
    };
    let plans = [
        ("depot", plan(2, 2_000, 200)),
        ("school", plan(1, 2_000, 200)),
    ];
    Plans {
        services: services.collect(),
        plans: plans
            .into_iter()
            .map(|(name, plan)| (name.to_owned(), plan))
            .collect(),
    }
}
