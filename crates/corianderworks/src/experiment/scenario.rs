//! Services of the simulated deployments and scripts of the scenarios.

use std::time::Duration;

use corianderworks_decision::dispatcher::Prefer;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::servers::Fault;

/// Time before a fault, in which homes collect latencies, receive the stamps of the other homes and
/// wait until their permits are usable.
pub const WARM_UP: Duration = Duration::from_secs(15);
/// Time from the start of the fault to the end of a run.
const OBSERVATION_TIME: Duration = Duration::from_secs(20);
/// Range of the half period of a flapping server in milliseconds, drawn for each run.
const FLAP_HALF_PERIOD_MS: std::ops::Range<u64> = 200..1500;
/// Time from a drain signal until the VM list shows the server as leaving.
const VM_LIST_LAG: Duration = Duration::from_millis(1500);
/// Duration of a load spike or of a service-wide slowdown.
pub const BURST_DURATION: Duration = Duration::from_secs(10);

/// Simulated deployment, which determines the slots per upstream and the ejection preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// ee-north: prefers a short detection time.
    Agency,
    /// th-central: prefers few false ejections.
    Association,
}

/// A service with its production number of upstreams and slots.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Deployment that runs the service.
    pub deployment: Deployment,
    /// Service name; the seed of each run depends on it.
    pub name: &'static str,
    /// Number of configured upstreams, including one that joins during the run.
    pub upstreams: u32,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Share of requests that may run at most once, in percent.
    pub non_idempotent_percent: u32,
}

impl Service {
    /// Ejection preference of the deployment.
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
    non_idempotent_percent: u32,
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
        non_idempotent_percent,
    }
}

/// Services of both deployments.
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

/// Scripted scenario; the serialised name selects it on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A server responds with errors only.
    HardErrors,
    /// A server stops responding.
    Stall,
    /// A server is 10 times slower.
    TenTimesSlow,
    /// A server truncates its responses.
    Truncation,
    /// A server alternates between failing and healthy.
    Flapping,
    /// One owner receives no responses from a server, the other does.
    PathFault,
    /// The open connections of one owner to a server stop responding; new ones work.
    SilentConnection,
    /// All servers are 4 times slower for [`BURST_DURATION`].
    ServiceSlow,
    /// The load triples for [`BURST_DURATION`].
    LoadSpike,
    /// A server signals that it drains and is later listed as leaving.
    Leaving,
    /// A server joins and is slow until it is warm.
    ColdStart,
    /// Random short disturbances without an unhealthy server, for a day by default.
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
    /// Target of section 1.2 for the detection time at p99; `None` when detection isn't measured.
    pub fn detection_target(self) -> Option<Duration> {
        match self {
            Self::HardErrors | Self::Truncation => Some(Duration::from_secs(1)),
            Self::Stall | Self::TenTimesSlow => Some(Duration::from_secs(2)),
            Self::Flapping => Some(Duration::from_secs(3)),
            _ => None,
        }
    }
}

/// A scripted change of the simulated environment.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Starts a fault at a server, for this duration.
    Fault(usize, Fault, Duration),
    /// Sets the factor on the service time of all servers.
    ServiceTimeFactor(f64),
    /// Sets the factor on the arrival rate.
    LoadFactor(f64),
    /// A server starts to signal on its responses that it drains.
    Drain(usize),
    /// The VM list starts to show a server as leaving.
    ListLeaving(usize),
    /// A server starts cold and appears in the VM list.
    Join(usize),
    /// Messages from the first home to the second are lost while true.
    PeerLoss(usize, usize, bool),
}

/// Scripted changes and duration of one run.
#[derive(Debug)]
pub struct Script {
    /// Changes with their times, in order of time.
    pub changes: Vec<(Duration, Change)>,
    /// Server whose detection is measured and the start of its fault; `None` when the scenario has
    /// no detection target.
    pub measured_fault: Option<(usize, Duration)>,
    /// Simulated time at which the run ends.
    pub end: Duration,
    /// Server that the VM list doesn't show at the start.
    pub initially_absent: Option<usize>,
}

/// Creates the script of a run for a random server and start time.
///
/// `owners_of` returns the daemons that send to a server, whose paths or connections can fail.
pub fn create_script(
    scenario: Scenario,
    service: &Service,
    rng: &mut Pcg64Mcg,
    owners_of: &dyn Fn(usize) -> Vec<usize>,
    noise_duration: Duration,
) -> Script {
    let server = rng.random_range(0..service.upstreams as usize);
    let at = WARM_UP + Duration::from_millis(rng.random_range(0..1000));
    let owner = owners_of(server)[0];
    let fault = |fault| vec![(at, Change::Fault(server, fault, OBSERVATION_TIME))];
    let temporary = |on, off| vec![(at, on), (at + BURST_DURATION, off)];
    let changes = match scenario {
        Scenario::HardErrors => fault(Fault::Errors),
        Scenario::Stall => fault(Fault::Stall),
        Scenario::TenTimesSlow => fault(Fault::Slow(10.0)),
        Scenario::Truncation => fault(Fault::Truncate),
        Scenario::Flapping => {
            let half_period = Duration::from_millis(rng.random_range(FLAP_HALF_PERIOD_MS));
            fault(Fault::Flap(half_period))
        }
        Scenario::PathFault => fault(Fault::PathLoss(owner)),
        Scenario::SilentConnection => fault(Fault::SilentConnections(owner)),
        Scenario::ServiceSlow => temporary(
            Change::ServiceTimeFactor(4.0),
            Change::ServiceTimeFactor(1.0),
        ),
        Scenario::LoadSpike => temporary(Change::LoadFactor(3.0), Change::LoadFactor(1.0)),
        Scenario::Leaving => vec![
            (at, Change::Drain(server)),
            (at + VM_LIST_LAG, Change::ListLeaving(server)),
        ],
        Scenario::ColdStart => vec![(at, Change::Join(server))],
        Scenario::Noise => noise_changes(service, rng, owners_of, noise_duration),
    };
    let measured_fault = scenario.detection_target().map(|_| (server, at));
    let end = match scenario {
        Scenario::Noise => WARM_UP + noise_duration,
        _ => at + OBSERVATION_TIME,
    };
    Script {
        changes,
        measured_fault,
        end,
        initially_absent: (scenario == Scenario::ColdStart).then_some(server),
    }
}

/// Creates the noise events; each kind recurs at exponentially distributed intervals.
fn noise_changes(
    service: &Service,
    rng: &mut Pcg64Mcg,
    owners_of: &dyn Fn(usize) -> Vec<usize>,
    noise_duration: Duration,
) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    let random_times = |rng: &mut Pcg64Mcg, mean: Duration| {
        let mut at = WARM_UP;
        std::iter::from_fn(|| {
            at += mean.mul_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln());
            (at < WARM_UP + noise_duration).then_some(at)
        })
        .collect::<Vec<_>>()
    };
    let minutes = |m: u64| Duration::from_secs(60 * m);
    let millis = Duration::from_millis;
    for server in 0..service.upstreams as usize {
        for at in random_times(rng, minutes(30)) {
            let pause = millis(rng.random_range(200..400));
            changes.push((at, Change::Fault(server, Fault::Pause, pause)));
        }
        for at in random_times(rng, minutes(60)) {
            changes.push((at, Change::Fault(server, Fault::Errors, millis(100))));
        }
        for at in random_times(rng, minutes(120)) {
            let owners = owners_of(server);
            let owner = owners[rng.random_range(0..owners.len())];
            let silent_connections =
                Change::Fault(server, Fault::SilentConnections(owner), minutes(1));
            changes.push((at, silent_connections));
        }
    }
    for at in random_times(rng, minutes(60)) {
        changes.push((at, Change::ServiceTimeFactor(3.0)));
        changes.push((at + Duration::from_secs(2), Change::ServiceTimeFactor(1.0)));
    }
    for at in random_times(rng, minutes(60)) {
        changes.push((at, Change::LoadFactor(2.0)));
        changes.push((at + Duration::from_secs(5), Change::LoadFactor(1.0)));
    }
    for at in random_times(rng, minutes(60)) {
        let (a, b) = (rng.random_range(0..4), rng.random_range(0..4));
        changes.push((at, Change::PeerLoss(a, b, true)));
        changes.push((at + Duration::from_secs(5), Change::PeerLoss(a, b, false)));
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}
