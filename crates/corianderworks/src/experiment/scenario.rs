//! The services of both deployments and the scripted scenarios.

use std::time::Duration;

use corianderworks_decision::dispatcher::Prefer;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::servers::Fault;

/// Time before a fault, so that latencies and stamps are known and permits are usable.
pub const WARM_UP: Duration = Duration::from_secs(15);
/// Time from the fault to the end of a run.
const OBSERVE: Duration = Duration::from_secs(20);
/// Half period of a flapping server in milliseconds, drawn for each run.
const FLAP_HALF_MS: std::ops::Range<u64> = 200..1500;
/// Time from a drain signal to its appearance in the VM list.
const VM_LIST_LAG: Duration = Duration::from_millis(1500);
/// Duration of a load spike or of a service-wide slowdown.
pub const SPIKE: Duration = Duration::from_secs(10);

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// ee-north, prefers a short detection time.
    Agency,
    /// th-central, prefers few false ejections.
    Association,
}

/// A service with its real number of upstreams and slots.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Its deployment.
    pub deployment: Deployment,
    /// Its name.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Slots of each upstream.
    pub slots: u32,
    /// Share of requests that may run only once, in percent.
    pub once_percent: u32,
}

impl Service {
    /// Weights of the deployment.
    pub fn prefer(&self) -> Prefer {
        match self.deployment {
            Deployment::Agency => Prefer::Detection,
            Deployment::Association => Prefer::Stability,
        }
    }
}

const fn service(
    deployment: Deployment,
    name: &'static str,
    upstreams: u32,
    once_percent: u32,
) -> Service {
    let slots = match deployment {
        Deployment::Agency => 2,
        Deployment::Association => 4,
    };
    Service {
        deployment,
        name,
        upstreams,
        slots,
        once_percent,
    }
}

/// The services of both deployments.
pub const SERVICES: [Service; 8] = [
    service(Deployment::Agency, "stock", 8, 0),
    service(Deployment::Agency, "ordering", 11, 50),
    service(Deployment::Agency, "refill-points", 8, 0),
    service(Deployment::Agency, "delivery-history", 8, 0),
    service(Deployment::Association, "timber-grades", 8, 0),
    service(Deployment::Association, "fee-ledger", 10, 50),
    service(Deployment::Association, "drawing-archive", 9, 0),
    service(Deployment::Association, "apiary-sites", 8, 0),
];

/// A scripted scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A server answers with errors only.
    HardErrors,
    /// A server stops responding.
    Stall,
    /// A server is 10 times slower.
    TenTimesSlow,
    /// A server truncates its responses.
    Truncation,
    /// A server alternates between failing and healthy.
    Flapping,
    /// One owner gets no responses from a server, the other does.
    PathFault,
    /// The open connections of one owner go silent, new ones work.
    SilentConnection,
    /// All servers are 4 times slower.
    ServiceSlow,
    /// Three times the load.
    LoadSpike,
    /// A server drains and exits.
    Leaving,
    /// A server joins cold.
    ColdStart,
    /// A day of noise without an unhealthy server.
    Noise,
}

/// All scenarios, in the order of the report.
pub const SCENARIOS: [Scenario; 12] = [
    Scenario::HardErrors,
    Scenario::Stall,
    Scenario::TenTimesSlow,
    Scenario::Truncation,
    Scenario::Flapping,
    Scenario::PathFault,
    Scenario::SilentConnection,
    Scenario::ServiceSlow,
    Scenario::LoadSpike,
    Scenario::Leaving,
    Scenario::ColdStart,
    Scenario::Noise,
];

impl Scenario {
    /// Target of section 1.2 for the detection time at p99.
    pub fn detection_target(self) -> Option<Duration> {
        match self {
            Self::HardErrors | Self::Truncation => Some(Duration::from_secs(1)),
            Self::Stall | Self::TenTimesSlow => Some(Duration::from_secs(2)),
            Self::Flapping => Some(Duration::from_secs(3)),
            _ => None,
        }
    }
}

/// A scripted change.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// A fault begins at a server and lasts this long.
    Fault(usize, Fault, Duration),
    /// All servers become slower by a factor.
    ServiceFactor(f64),
    /// The arrival rate changes by a factor.
    LoadFactor(f64),
    /// A server announces on its responses that it drains.
    Drain(usize),
    /// The VM list shows a server as leaving.
    ListLeaving(usize),
    /// A server starts cold and the VM list shows it.
    Join(usize),
    /// Messages between two homes are lost, or no longer.
    PeerLoss(usize, usize, bool),
}

/// The script of one run.
#[derive(Debug)]
pub struct Script {
    /// Changes in order of time.
    pub changes: Vec<(Duration, Change)>,
    /// The server whose detection is measured, and the start of its fault.
    pub subject: Option<(usize, Duration)>,
    /// End of the run.
    pub end: Duration,
    /// Absent at the start.
    pub absent: Option<usize>,
}

/// Writes the script of a run; `homes` are the daemons whose connections can fail.
pub fn script(
    scenario: Scenario,
    service: &Service,
    rng: &mut Pcg64Mcg,
    owners_of: &dyn Fn(usize) -> Vec<usize>,
    noise: Duration,
) -> Script {
    let server = rng.random_range(0..service.upstreams as usize);
    let at = WARM_UP + Duration::from_millis(rng.random_range(0..1000));
    let owner = owners_of(server)[0];
    let fault = |fault| vec![(at, Change::Fault(server, fault, OBSERVE))];
    let burst = |on, off| vec![(at, on), (at + SPIKE, off)];
    let changes = match scenario {
        Scenario::HardErrors => fault(Fault::Errors),
        Scenario::Stall => fault(Fault::Stall),
        Scenario::TenTimesSlow => fault(Fault::Slow(10.0)),
        Scenario::Truncation => fault(Fault::Truncate),
        Scenario::Flapping => {
            let half = Duration::from_millis(rng.random_range(FLAP_HALF_MS));
            fault(Fault::Flap(half))
        }
        Scenario::PathFault => fault(Fault::Path(owner)),
        Scenario::SilentConnection => fault(Fault::Silent(owner)),
        Scenario::ServiceSlow => burst(Change::ServiceFactor(4.0), Change::ServiceFactor(1.0)),
        Scenario::LoadSpike => burst(Change::LoadFactor(3.0), Change::LoadFactor(1.0)),
        Scenario::Leaving => vec![
            (at, Change::Drain(server)),
            (at + VM_LIST_LAG, Change::ListLeaving(server)),
        ],
        Scenario::ColdStart => vec![(at, Change::Join(server))],
        Scenario::Noise => noise_changes(service, rng, owners_of, noise),
    };
    let subject = scenario.detection_target().map(|_| (server, at));
    let end = match scenario {
        Scenario::Noise => WARM_UP + noise,
        _ => at + OBSERVE,
    };
    Script {
        changes,
        subject,
        end,
        absent: (scenario == Scenario::ColdStart).then_some(server),
    }
}

/// Noise events, each at random times with this mean interval.
fn noise_changes(
    service: &Service,
    rng: &mut Pcg64Mcg,
    owners_of: &dyn Fn(usize) -> Vec<usize>,
    noise: Duration,
) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    let times = |rng: &mut Pcg64Mcg, mean: Duration| {
        let mut at = WARM_UP;
        std::iter::from_fn(|| {
            at += mean.mul_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln());
            (at < WARM_UP + noise).then_some(at)
        })
        .collect::<Vec<_>>()
    };
    let minutes = |m: u64| Duration::from_secs(60 * m);
    let millis = Duration::from_millis;
    for server in 0..service.upstreams as usize {
        for at in times(rng, minutes(30)) {
            let pause = millis(rng.random_range(200..400));
            changes.push((at, Change::Fault(server, Fault::Pause, pause)));
        }
        for at in times(rng, minutes(60)) {
            changes.push((at, Change::Fault(server, Fault::Errors, millis(100))));
        }
        for at in times(rng, minutes(120)) {
            let owners = owners_of(server);
            let owner = owners[rng.random_range(0..owners.len())];
            let silent = Change::Fault(server, Fault::Silent(owner), minutes(1));
            changes.push((at, silent));
        }
    }
    for at in times(rng, minutes(60)) {
        changes.push((at, Change::ServiceFactor(3.0)));
        changes.push((at + Duration::from_secs(2), Change::ServiceFactor(1.0)));
    }
    for at in times(rng, minutes(60)) {
        changes.push((at, Change::LoadFactor(2.0)));
        changes.push((at + Duration::from_secs(5), Change::LoadFactor(1.0)));
    }
    for at in times(rng, minutes(60)) {
        let (a, b) = (rng.random_range(0..4), rng.random_range(0..4));
        changes.push((at, Change::PeerLoss(a, b, true)));
        changes.push((at + Duration::from_secs(5), Change::PeerLoss(a, b, false)));
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}
