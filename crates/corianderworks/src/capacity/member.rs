//! Cost and speed of membership, at machines that exchange encoded datagrams in one loop.

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

/// What the figures of this module rest on besides measured bytes.
pub(super) const ASSUMPTIONS: &str = "Traffic is sent plus received, as the mean of all daemons. \
Measured: encoded bytes. Added: 28 bytes of IP and UDP header per packet. Estimated: 30 bytes of \
QUIC per datagram, an acknowledgement packet of 61 bytes for each datagram that no message \
answers, and 5,000 bytes per new connection after 30 s without traffic between two daemons. \
Peaks are the busiest second of the busiest daemon. Times are simulated, with 10 ms within a \
region and 40 ms between regions; CPU time is measured and includes the loop itself.";

const IP_UDP_BYTES: u64 = 28;
const QUIC_BYTES: u64 = 30;
const QUIC_ACK_PACKET_BYTES: u64 = IP_UDP_BYTES + 33;
const HANDSHAKE_BYTES: u64 = 5_000;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const DOMAINS: usize = 7;
/// Failure domains of the first region.
const DOMAINS_NORTH: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const DELAY_NEAR: Duration = Duration::from_millis(10);
const DELAY_FAR: Duration = Duration::from_millis(40);
const SEEDS: usize = 3;
/// Time for joining and for the news of it to be sent out.
const WARM_UP: Duration = Duration::from_secs(120);
const STEADY: Duration = Duration::from_secs(60);
const SPLIT: Duration = Duration::from_secs(120);
/// Simulated time after which views that still differ are an error.
const CONVERGE_LIMIT: Duration = Duration::from_secs(300);
/// Time from an event over which its traffic is averaged.
const AFTER_EVENT: Duration = Duration::from_secs(60);
const DEATHS: usize = 5;

/// Traffic, CPU and state in a fleet in which nothing happens.
pub(super) fn steady(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.reset();
    let start = Instant::now();
    fleet.run(STEADY)?;
    let cpu = start.elapsed().as_secs_f64();
    let daemon_seconds = members as f64 * STEADY.as_secs_f64();
    let state = fleet.machines.iter().map(Membership::state_bytes).max();
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
            100.0 * cpu / daemon_seconds,
        ),
        sample(
            "member: state",
            "bytes",
            Some(MEMORY_MAX_BYTES),
            state.unwrap_or(0) as f64,
        ),
    ])
}

/// Time until the death of one member is noticed first and known everywhere, the worst of some.
pub(super) fn one_death(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    let (mut first, mut last) = (0.0, 0.0);
    for victim in (0..DEATHS).map(|n| members / DEATHS * n + 1) {
        let start = fleet.now;
        fleet.running[victim] = false;
        let dead = |fleet: &Fleet, at: usize| fleet.state(at, victim) == Some(MemberState::Dead);
        fleet.converge("one death", |f| f.live().any(|at| dead(f, at)))?;
        first = f64::max(first, (fleet.now - start).as_secs_f64());
        fleet.converge("one death", |f| f.live().all(|at| dead(f, at)))?;
        last = f64::max(last, (fleet.now - start).as_secs_f64());
    }
    Ok(vec![
        seconds("member: one death, first noticed", first),
        seconds("member: one death, known everywhere", last),
    ])
}

/// Time until every survivor knows that a failure domain is lost.
pub(super) fn lost_domain(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    let lost: Vec<usize> = (0..members).filter(|i| i % DOMAINS == 1).collect();
    lost.iter().for_each(|i| fleet.running[*i] = false);
    fleet.reset();
    let took = fleet.converge("lost domain", |f| {
        let dead = |at, of| f.state(at, of) == Some(MemberState::Dead);
        f.live().all(|at| lost.iter().all(|of| dead(at, *of)))
    })?;
    Ok(vec![
        seconds("member: lost domain, known everywhere", took),
        fleet.mean_after_event("member: lost domain, mean traffic of 60 s")?,
        peak("member: lost domain, peak traffic", &fleet),
    ])
}

/// Time until the views are complete after all daemons restarted at once.
pub(super) fn restart_of_all(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.machines = (0..members).map(|i| machine(i, 2)).collect();
    fleet.reset();
    let took = fleet.converge("restart of all", Fleet::all_alive)?;
    let mean = fleet.mean_after_event("member: restart of all, mean traffic of 60 s")?;
    Ok(vec![
        seconds("member: restart of all, views complete", took),
        mean,
        Sample {
            metric: "member: restart of all, of which connection set-up",
            unit: "bytes/s",
            limit: None,
            value: fleet.handshakes as f64 / fleet.daemon_seconds(),
        },
        peak("member: restart of all, peak traffic", &fleet),
    ])
}

/// Time until the views are complete after two regions were split and reconnected.
pub(super) fn split_and_heal(members: usize) -> Result<Vec<Sample>, CapacityError> {
    let mut fleet = Fleet::joined(members)?;
    fleet.split = true;
    fleet.reset();
    fleet.run(SPLIT)?;
    let split_peak = peak("member: split regions, peak traffic", &fleet);
    fleet.split = false;
    fleet.reset();
    let took = fleet.converge("heal of regions", Fleet::all_alive)?;
    Ok(vec![
        split_peak,
        seconds("member: healed regions, views complete", took),
        fleet.mean_after_event("member: healed regions, mean traffic of 60 s")?,
        peak("member: healed regions, peak traffic", &fleet),
    ])
}

fn seconds(metric: &'static str, value: f64) -> Sample {
    Sample {
        metric,
        unit: "s",
        limit: None,
        value,
    }
}

fn peak(metric: &'static str, fleet: &Fleet) -> Sample {
    Sample {
        metric,
        unit: "bytes/s",
        limit: None,
        value: fleet.peak as f64,
    }
}

fn name(index: usize) -> String {
    format!("entry-vm-{index:03}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7400))
}

fn is_north(index: usize) -> bool {
    index % DOMAINS < DOMAINS_NORTH
}

fn machine(index: usize, run: u64) -> Membership {
    let mut http_address = address(index);
    http_address.set_port(8080);
    let record = MemberRecord {
        run: DaemonRun {
            daemon: DaemonKey::of(&name(index)),
            // A start in wall-clock milliseconds takes as many bytes as in production.
            incarnation: Incarnation(1_790_000_000_000 + run),
        },
        refutation: 0,
        name: name(index),
        region: if is_north(index) {
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
    Membership::new(record, index as u64 + (run << 32))
        .with_seeds((0..SEEDS).map(address).collect())
}

/// Machines, datagrams in transit and counters.
struct Fleet {
    now: Duration,
    machines: Vec<Membership>,
    running: Vec<bool>,
    split: bool,
    keys: Vec<DaemonKey>,
    index: HashMap<SocketAddr, usize>,
    transit: BTreeMap<(Duration, u64), (usize, usize, Bytes)>,
    sequence: u64,
    contacts: HashMap<(usize, usize), Duration>,
    datagrams: u64,
    bytes: Vec<u64>,
    handshakes: u64,
    second: Vec<u64>,
    peak: u64,
    reset_at: Duration,
}

impl Fleet {
    /// A fleet that joined through its seeds and has sent out the news of it.
    fn joined(members: usize) -> Result<Self, CapacityError> {
        let mut fleet = Self {
            now: Duration::ZERO,
            machines: (0..members).map(|i| machine(i, 1)).collect(),
            running: vec![true; members],
            split: false,
            keys: (0..members).map(|i| DaemonKey::of(&name(i))).collect(),
            index: (0..members).map(|i| (address(i), i)).collect(),
            transit: BTreeMap::new(),
            sequence: 0,
            contacts: HashMap::new(),
            datagrams: 0,
            bytes: vec![0; members],
            handshakes: 0,
            second: vec![0; members],
            peak: 0,
            reset_at: Duration::ZERO,
        };
        let vm = |i| ListedVm {
            name: name(i),
            peer_address: address(i),
            leaving: false,
        };
        let list: Vec<ListedVm> = (0..members).map(vm).collect();
        for i in 0..members {
            let actions = fleet.machines[i].update_vm_list(fleet.now, &list);
            fleet.take(i, actions)?;
        }
        fleet.converge("join", Self::all_alive)?;
        fleet.run(WARM_UP)?;
        Ok(fleet)
    }

    /// Clears the counters.
    fn reset(&mut self) {
        self.datagrams = 0;
        self.bytes.fill(0);
        self.second.fill(0);
        self.handshakes = 0;
        self.peak = 0;
        self.reset_at = self.now;
    }

    /// Runs on until [`AFTER_EVENT`] since the counters were cleared, if that is not past.
    fn mean_after_event(&mut self, metric: &'static str) -> Result<Sample, CapacityError> {
        let rest = (self.reset_at + AFTER_EVENT).saturating_sub(self.now);
        self.run(rest)?;
        Ok(Sample {
            metric,
            unit: "bytes/s",
            limit: Some(TRAFFIC_MAX_BYTES_S),
            value: self.bytes.iter().sum::<u64>() as f64 / self.daemon_seconds(),
        })
    }

    fn daemon_seconds(&self) -> f64 {
        self.live().count() as f64 * (self.now - self.reset_at).as_secs_f64()
    }

    fn live(&self) -> impl Iterator<Item = usize> {
        (0..self.machines.len()).filter(|i| self.running[*i])
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.machines[at].member(self.keys[of]).map(|m| m.state)
    }

    /// Whether every member holds every other one for alive in its current run.
    fn all_alive(&self) -> bool {
        let others = self.machines.len() - 1;
        self.machines.iter().all(|machine| {
            let alive = machine.members().filter(|m| {
                let of = self.index[&m.record.peer_address];
                m.state == MemberState::Alive
                    && m.record.run == self.machines[of].local_record().run
            });
            alive.count() == others
        })
    }

    /// Runs until `done` holds and returns the time that took, in seconds.
    fn converge<F>(&mut self, metric: &'static str, done: F) -> Result<f64, CapacityError>
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while !done(self) {
            if self.now >= start + CONVERGE_LIMIT {
                return Err(CapacityError::NotConverged {
                    metric,
                    members: self.machines.len(),
                    limit_s: CONVERGE_LIMIT.as_secs(),
                });
            }
            self.run(TICK_INTERVAL)?;
        }
        Ok((self.now - start).as_secs_f64())
    }

    fn run(&mut self, time: Duration) -> Result<(), CapacityError> {
        let end = self.now + time;
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
            self.peak = self.second.iter().copied().fold(self.peak, u64::max);
            self.second.fill(0);
        }
        for i in (phase..self.machines.len()).step_by(phases) {
            if self.running[i] {
                let actions = self.machines[i].tick(self.now);
                self.take(i, actions)?;
            }
        }
        while let Some(entry) = self.transit.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, bytes) = entry.remove();
            self.deliver(from, to, &bytes)?;
        }
        Ok(())
    }

    fn take(&mut self, from: usize, actions: Vec<Action>) -> Result<(), CapacityError> {
        for action in actions {
            if let Action::Send { to, message } = action
                && let Some(&to) = self.index.get(&to)
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
        let answered = matches!(message, MemberMessage::Ping(_));
        let bytes = encode(&Datagram::from(message))?;
        let cost = self.cost(from, to, bytes.len(), answered);
        self.datagrams += 1;
        self.count(from, cost);
        let lost = self.split && is_north(from) != is_north(to);
        if lost || !self.running[to] {
            return Ok(());
        }
        self.count(to, cost);
        let delay = if is_north(from) == is_north(to) {
            DELAY_NEAR
        } else {
            DELAY_FAR
        };
        self.sequence += 1;
        self.transit
            .insert((self.now + delay, self.sequence), (from, to, bytes));
        Ok(())
    }

    /// Bytes on the wire that a datagram causes at either end.
    fn cost(&mut self, from: usize, to: usize, length: usize, answered: bool) -> u64 {
        let pair = (from.min(to), from.max(to));
        let last = self.contacts.insert(pair, self.now);
        let mut cost = length as u64 + IP_UDP_BYTES + QUIC_BYTES;
        if !answered {
            cost += QUIC_ACK_PACKET_BYTES;
        }
        if last.is_none_or(|at| self.now > at + IDLE_TIMEOUT) {
            cost += HANDSHAKE_BYTES;
            // Counted at both ends, like the rest of the traffic.
            self.handshakes += 2 * HANDSHAKE_BYTES;
        }
        cost
    }

    fn count(&mut self, at: usize, cost: u64) {
        self.bytes[at] += cost;
        self.second[at] += cost;
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) -> Result<(), CapacityError> {
        if !self.running[to] {
            return Ok(());
        }
        if let Some(message) = decode::<Datagram>(bytes)?.into_member() {
            let from = address(from);
            let actions = self.machines[to].handle(self.now, Event::Message { from, message });
            self.take(to, actions)?;
        }
        Ok(())
    }
}
