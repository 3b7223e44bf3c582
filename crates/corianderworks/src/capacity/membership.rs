//! Resource use and convergence time of the membership protocol.
//!
//! The membership state machines of a fleet exchange encoded datagrams in one simulation loop.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use corianderworks_decision::membership::{
    Action, Event, ListedVm, MemberMessage, MemberRecord, MemberState, Membership, TICK_INTERVAL,
};
use corianderworks_wire::codec::{decode, encode};
use corianderworks_wire::message::Datagram;

use super::{CPU_MAX_PERCENT, CapacityError, MEMORY_MAX_BYTES, Sample, TRAFFIC_MAX_BYTES_S};

/// Assumptions behind the metrics of this module, printed after the table.
pub(super) const ASSUMPTIONS: &str = "Traffic is sent plus received, as the mean of all daemons. \
Measured: encoded bytes. Added: 28 bytes of IP and UDP header per packet. Estimated: 30 bytes of \
QUIC per datagram, an acknowledgement packet of 61 bytes for each datagram that no message \
answers, and 5,000 bytes per new connection after 30 s without traffic between two daemons. \
Peaks are the busiest second of the busiest daemon. Times are simulated, with 10 ms within a \
region and 40 ms between regions; CPU time is measured and includes the loop itself.";

const IP_UDP_HEADER_BYTES: u64 = 28;
const QUIC_OVERHEAD_BYTES: u64 = 30;
const QUIC_ACK_PACKET_BYTES: u64 = IP_UDP_HEADER_BYTES + 33;
const HANDSHAKE_BYTES: u64 = 5_000;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const DOMAINS: usize = 7;
/// Number of failure domains of the first region.
const FIRST_REGION_DOMAINS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const DELAY_IN_REGION: Duration = Duration::from_millis(10);
const DELAY_BETWEEN_REGIONS: Duration = Duration::from_millis(40);
const SEED_COUNT: usize = 3;
/// Time from the join until all membership updates have been disseminated.
const WARM_UP: Duration = Duration::from_secs(120);
const STEADY_TIME: Duration = Duration::from_secs(60);
const PARTITION_TIME: Duration = Duration::from_secs(120);
/// Maximum simulated time until the expected membership states are reached.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time from an event over which traffic is averaged.
const EVENT_WINDOW: Duration = Duration::from_secs(60);
const FAILURES: usize = 5;

/// Measures the traffic, CPU time and state size of a fleet without membership changes.
pub(super) fn steady_state(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.reset();
    let start = Instant::now();
    fleet.run(STEADY_TIME)?;
    let cpu_s = start.elapsed().as_secs_f64();
    let daemon_seconds = members as f64 * STEADY_TIME.as_secs_f64();
    let max_state_bytes = fleet.memberships.iter().map(Membership::state_bytes).max();
    let sample = |metric, unit, limit, value| Sample {
        metric,
        unit,
        limit,
        value,
    };
    Ok(vec![
        sample(
            "member: traffic",
            "bytes/s",
            Some(TRAFFIC_MAX_BYTES_S),
            fleet.bytes.iter().sum::<u64>() as f64 / daemon_seconds,
        ),
        sample(
            "member: datagrams sent",
            "1/s",
            None,
            fleet.datagrams as f64 / daemon_seconds,
        ),
        sample(
            "member: CPU",
            "% of a core",
            Some(CPU_MAX_PERCENT),
            100.0 * cpu_s / daemon_seconds,
        ),
        sample(
            "member: state",
            "bytes",
            Some(MEMORY_MAX_BYTES),
            max_state_bytes.unwrap_or(0) as f64,
        ),
    ])
}

/// Measures the time until the failure of one member is detected by the first member and by all
/// members, as the maximum over [`FAILURES`] failures.
pub(super) fn member_failure(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    let (mut first_detection, mut last_detection) = (0.0, 0.0);
    for failed_member in (0..FAILURES).map(|n| members / FAILURES * n + 1) {
        let start = fleet.now;
        fleet.running[failed_member] = false;
        let considers_dead = |fleet: &Fleet, observer: usize| {
            fleet.state(observer, failed_member) == Some(MemberState::Dead)
        };
        fleet.run_until("one death", |f| {
            f.running_members()
                .any(|observer| considers_dead(f, observer))
        })?;
        first_detection = f64::max(first_detection, (fleet.now - start).as_secs_f64());
        fleet.run_until("one death", |f| {
            f.running_members()
                .all(|observer| considers_dead(f, observer))
        })?;
        last_detection = f64::max(last_detection, (fleet.now - start).as_secs_f64());
    }
    Ok(vec![
        seconds_sample("member: one death, first noticed", first_detection),
        seconds_sample("member: one death, known everywhere", last_detection),
    ])
}

/// Measures the time until all remaining members consider the members of a lost domain dead.
pub(super) fn domain_loss(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    let lost_members: Vec<usize> = (0..members).filter(|i| i % DOMAINS == 1).collect();
    lost_members.iter().for_each(|i| fleet.running[*i] = false);
    fleet.reset();
    let duration_s = fleet.run_until("lost domain", |f| {
        let considers_dead =
            |observer, subject| f.state(observer, subject) == Some(MemberState::Dead);
        f.running_members().all(|observer| {
            lost_members
                .iter()
                .all(|subject| considers_dead(observer, *subject))
        })
    })?;
    Ok(vec![
        seconds_sample("member: lost domain, known everywhere", duration_s),
        fleet.mean_after_event("member: lost domain, mean traffic of 60 s")?,
        peak_traffic("member: lost domain, peak traffic", &fleet),
    ])
}

/// Measures the time until all members consider each other alive after all restarted at once.
pub(super) fn full_restart(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.memberships = (0..members).map(|i| create_membership(i, 2)).collect();
    fleet.reset();
    let duration_s = fleet.run_until("restart of all", Fleet::all_alive)?;
    let mean = fleet.mean_after_event("member: restart of all, mean traffic of 60 s")?;
    Ok(vec![
        seconds_sample("member: restart of all, views complete", duration_s),
        mean,
        Sample {
            metric: "member: restart of all, of which connection set-up",
            unit: "bytes/s",
            limit: None,
            value: fleet.handshake_bytes as f64 / fleet.daemon_seconds(),
        },
        peak_traffic("member: restart of all, peak traffic", &fleet),
    ])
}

/// Measures the time until all members consider each other alive after a network partition between
/// the regions.
pub(super) fn partition_and_heal(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.partitioned = true;
    fleet.reset();
    fleet.run(PARTITION_TIME)?;
    let partition_peak = peak_traffic("member: split regions, peak traffic", &fleet);
    fleet.partitioned = false;
    fleet.reset();
    let duration_s = fleet.run_until("heal of regions", Fleet::all_alive)?;
    Ok(vec![
        partition_peak,
        seconds_sample("member: healed regions, views complete", duration_s),
        fleet.mean_after_event("member: healed regions, mean traffic of 60 s")?,
        peak_traffic("member: healed regions, peak traffic", &fleet),
    ])
}

fn seconds_sample(metric: &'static str, value: f64) -> Sample {
    Sample {
        metric,
        unit: "s",
        limit: None,
        value,
    }
}

fn peak_traffic(metric: &'static str, fleet: &Fleet) -> Sample {
    Sample {
        metric,
        unit: "bytes/s",
        limit: None,
        value: fleet.peak_bytes_per_s as f64,
    }
}

fn member_name(index: usize) -> String {
    format!("entry-vm-{index:03}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7400))
}

fn is_first_region(index: usize) -> bool {
    index % DOMAINS < FIRST_REGION_DOMAINS
}

fn create_membership(index: usize, start_number: u64) -> Membership {
    let mut http_address = address(index);
    http_address.set_port(8080);
    let record = MemberRecord {
        run: DaemonRun {
            daemon: DaemonKey::of(&member_name(index)),
            // Start times in wall-clock milliseconds are encoded to as many bytes as in production.
            incarnation: Incarnation(1_790_000_000_000 + start_number),
        },
        refutation: 0,
        name: member_name(index),
        region: if is_first_region(index) {
            "ee-north"
        } else {
            "ee-south"
        }
        .to_owned(),
        domain: format!("tallinn-{}", index % DOMAINS),
        peer_address: address(index),
        http_address,
        config_version: 1,
    };
    Membership::new(record, index as u64 + (start_number << 32))
        .with_seeds((0..SEED_COUNT).map(address).collect())
}

/// Simulated fleet: membership state machines, datagrams in transit and traffic counters.
struct Fleet {
    now: Duration,
    memberships: Vec<Membership>,
    running: Vec<bool>,
    partitioned: bool,
    keys: Vec<DaemonKey>,
    index_by_address: HashMap<SocketAddr, usize>,
    in_transit: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    last_sequence: u64,
    last_contacts: HashMap<(usize, usize), Duration>,
    datagrams: u64,
    bytes: Vec<u64>,
    handshake_bytes: u64,
    bytes_this_second: Vec<u64>,
    peak_bytes_per_s: u64,
    reset_at: Duration,
}

impl Fleet {
    /// Creates a fleet whose members joined through the seeds and disseminated all updates.
    fn joined(members: usize) -> Result<Self, CapacityError> {
        let mut fleet = Self {
            now: Duration::ZERO,
            memberships: (0..members).map(|i| create_membership(i, 1)).collect(),
            running: vec![true; members],
            partitioned: false,
            keys: (0..members)
                .map(|i| DaemonKey::of(&member_name(i)))
                .collect(),
            index_by_address: (0..members).map(|i| (address(i), i)).collect(),
            in_transit: BTreeMap::new(),
            last_sequence: 0,
            last_contacts: HashMap::new(),
            datagrams: 0,
            bytes: vec![0; members],
            handshake_bytes: 0,
            bytes_this_second: vec![0; members],
            peak_bytes_per_s: 0,
            reset_at: Duration::ZERO,
        };
        let listed_vm = |i| ListedVm {
            name: member_name(i),
            peer_address: address(i),
            leaving: false,
        };
        let vm_list: Vec<ListedVm> = (0..members).map(listed_vm).collect();
        for i in 0..members {
            let actions = fleet.memberships[i].update_vm_list(fleet.now, &vm_list);
            fleet.apply_actions(i, actions)?;
        }
        fleet.run_until("join", Self::all_alive)?;
        fleet.run(WARM_UP)?;
        Ok(fleet)
    }

    /// Resets the traffic counters.
    fn reset(&mut self) {
        self.datagrams = 0;
        self.bytes.fill(0);
        self.bytes_this_second.fill(0);
        self.handshake_bytes = 0;
        self.peak_bytes_per_s = 0;
        self.reset_at = self.now;
    }

    /// Runs until [`EVENT_WINDOW`] has passed since the counters were reset, and returns the mean
    /// traffic per member since then.
    fn mean_after_event(&mut self, metric: &'static str) -> Result<Sample, CapacityError> {
        let remaining = (self.reset_at + EVENT_WINDOW).saturating_sub(self.now);
        self.run(remaining)?;
        Ok(Sample {
            metric,
            unit: "bytes/s",
            limit: Some(TRAFFIC_MAX_BYTES_S),
            value: self.bytes.iter().sum::<u64>() as f64 / self.daemon_seconds(),
        })
    }

    fn daemon_seconds(&self) -> f64 {
        self.running_members().count() as f64 * (self.now - self.reset_at).as_secs_f64()
    }

    fn running_members(&self) -> impl Iterator<Item = usize> {
        (0..self.memberships.len()).filter(|i| self.running[*i])
    }

    fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        self.memberships[observer]
            .member(self.keys[subject])
            .map(|m| m.state)
    }

    /// Whether every member considers all others alive, with the incarnation that they run now.
    fn all_alive(&self) -> bool {
        let others = self.memberships.len() - 1;
        self.memberships.iter().all(|membership| {
            let alive = membership.members().filter(|m| {
                let subject = self.index_by_address[&m.record.peer_address];
                m.state == MemberState::Alive
                    && m.record.run == self.memberships[subject].local_record().run
            });
            alive.count() == others
        })
    }

    /// Runs until `done` returns true and returns the simulated time that passed, in seconds.
    fn run_until<F>(&mut self, event: &'static str, done: F) -> Result<f64, CapacityError>
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while !done(self) {
            if self.now >= start + CONVERGENCE_TIMEOUT {
                return Err(CapacityError::NotConverged {
                    event,
                    members: self.memberships.len(),
                    limit_s: CONVERGENCE_TIMEOUT.as_secs(),
                });
            }
            self.run(TICK_INTERVAL)?;
        }
        Ok((self.now - start).as_secs_f64())
    }

    fn run(&mut self, duration: Duration) -> Result<(), CapacityError> {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.step()?;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), CapacityError> {
        let phases = (TICK_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        let phase = (self.now.as_millis() / STEP.as_millis()) as usize % phases;
        if self.now.subsec_millis() == 0 {
            self.peak_bytes_per_s = self
                .bytes_this_second
                .iter()
                .copied()
                .fold(self.peak_bytes_per_s, u64::max);
            self.bytes_this_second.fill(0);
        }
        for i in (phase..self.memberships.len()).step_by(phases) {
            if self.running[i] {
                let actions = self.memberships[i].tick(self.now);
                self.apply_actions(i, actions)?;
            }
        }
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, bytes) = entry.remove();
            self.deliver(from, to, &bytes)?;
        }
        Ok(())
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<Action>) -> Result<(), CapacityError> {
        for action in actions {
            if let Action::Send { to, message } = action
                && let Some(&to) = self.index_by_address.get(&to)
            {
                self.send(from, to, message)?;
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        message: MemberMessage,
    ) -> Result<(), CapacityError> {
        let expects_response = matches!(message, MemberMessage::Ping(_));
        let bytes = encode(&Datagram::from(message))?;
        let wire_bytes = self.wire_bytes(from, to, bytes.len(), expects_response);
        self.datagrams += 1;
        self.add_traffic(from, wire_bytes);
        let dropped = self.partitioned && is_first_region(from) != is_first_region(to);
        if dropped || !self.running[to] {
            return Ok(());
        }
        self.add_traffic(to, wire_bytes);
        let delay = if is_first_region(from) == is_first_region(to) {
            DELAY_IN_REGION
        } else {
            DELAY_BETWEEN_REGIONS
        };
        self.last_sequence += 1;
        self.in_transit
            .insert((self.now + delay, self.last_sequence), (from, to, bytes));
        Ok(())
    }

    /// Returns the bytes on the wire that a datagram causes at each end.
    fn wire_bytes(&mut self, from: usize, to: usize, length: usize, expects_response: bool) -> u64 {
        let pair = (from.min(to), from.max(to));
        let last_contact = self.last_contacts.insert(pair, self.now);
        let mut wire_bytes = length as u64 + IP_UDP_HEADER_BYTES + QUIC_OVERHEAD_BYTES;
        if !expects_response {
            wire_bytes += QUIC_ACK_PACKET_BYTES;
        }
        if last_contact.is_none_or(|at| self.now > at + IDLE_TIMEOUT) {
            wire_bytes += HANDSHAKE_BYTES;
            // Counted at both ends, like all traffic.
            self.handshake_bytes += 2 * HANDSHAKE_BYTES;
        }
        wire_bytes
    }

    fn add_traffic(&mut self, member: usize, wire_bytes: u64) {
        self.bytes[member] += wire_bytes;
        self.bytes_this_second[member] += wire_bytes;
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) -> Result<(), CapacityError> {
        if !self.running[to] {
            return Ok(());
        }
        if let Some(message) = decode::<Datagram>(bytes)?.into_member() {
            let from = address(from);
            let actions = self.memberships[to].handle(self.now, Event::Message { from, message });
            self.apply_actions(to, actions)?;
        }
        Ok(())
    }
}
