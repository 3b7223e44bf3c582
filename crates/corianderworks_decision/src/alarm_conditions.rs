//! Conditions of a daemon and its view of the fleet that operators are alerted to if they last.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time in which a configuration must be in force everywhere.
const CONFIGURATION_LAG_MAX: Duration = Duration::from_secs(6);
/// Time for which the VM list may lag behind the VMs.
const VM_LIST_LAG_MAX: Duration = Duration::from_secs(60);
/// Time between two ticks from which on the process counts as paused.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Time after a pause for which operators are alerted to it.
const PAUSE_SHOWN: Duration = Duration::from_secs(300);
/// Time that a graceful shutdown may wait for requests in flight.
const DRAIN_MAX: Duration = Duration::from_secs(60);

/// Member as seen by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedMember<'a> {
    /// Name of the daemon, which is also the name of its VM.
    pub name: &'a str,
    /// Configuration version that the member last announced.
    pub version: u64,
    /// Whether the member answers probes.
    pub is_alive: bool,
}

/// How a member and the VM list differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmDifference {
    /// The member answers, but its VM is not listed.
    NotListed,
    /// The VM is listed, but its daemon doesn't answer.
    NoAnswer,
}

/// A time for which the process was not scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// Time between the two ticks around it.
    pub length: Duration,
    /// Time at which it ended.
    pub ended_at: Duration,
}

/// Keeps since when each condition has held.
#[derive(Debug, Default)]
pub struct AlarmConditions {
    last_tick: Option<Duration>,
    last_pause: Option<Pause>,
    behind_since: BTreeMap<Arc<str>, Duration>,
    differing_since: BTreeMap<(VmDifference, Arc<str>), Duration>,
    draining_since: Option<Duration>,
}

impl AlarmConditions {
    /// Records that the process runs. Called many times a second.
    pub fn tick(&mut self, now: Duration) {
        let previous = self.last_tick.replace(now);
        let length = previous.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if length >= PAUSE_MIN {
            self.last_pause = Some(Pause {
                length,
                ended_at: now,
            });
        }
    }

    /// Compares the other members with this daemon, which has configuration `own_version`, and with
    /// the names of the daemons in the VM list; empty if no list was read.
    pub fn observe_members<'a, M>(
        &mut self,
        members: M,
        own_version: u64,
        listed: &BTreeSet<&str>,
        now: Duration,
    ) where
        M: IntoIterator<Item = ObservedMember<'a>>,
    {
        let members: Vec<_> = members.into_iter().collect();
        let alive = || members.iter().filter(|m| m.is_alive);
        let behind = alive().filter(|m| m.version < own_version);
        let behind = behind.map(|m| m.name.into()).collect();
        keep_since(&mut self.behind_since, behind, now);
        let mut differing = BTreeSet::new();
        if !listed.is_empty() {
            let unlisted = alive().filter(|m| !listed.contains(m.name));
            differing.extend(unlisted.map(|m| (VmDifference::NotListed, m.name.into())));
            let silent = members.iter().filter(|m| !m.is_alive);
            let silent = silent.filter(|m| listed.contains(m.name));
            differing.extend(silent.map(|m| (VmDifference::NoAnswer, m.name.into())));
        }
        keep_since(&mut self.differing_since, differing, now);
    }

    /// Records whether this daemon waits for requests in flight to shut down.
    pub fn observe_drain(&mut self, is_draining: bool, now: Duration) {
        self.draining_since = match is_draining {
            true => self.draining_since.or(Some(now)),
            false => None,
        };
    }

    /// Returns the members that have had an older configuration than this daemon for too long.
    pub fn lagging_members(&self, now: Duration) -> Vec<Arc<str>> {
        lasting(&self.behind_since, CONFIGURATION_LAG_MAX, now)
    }

    /// Returns the members that have differed from the VM list for too long.
    pub fn vm_differences(&self, now: Duration) -> Vec<(VmDifference, Arc<str>)> {
        lasting(&self.differing_since, VM_LIST_LAG_MAX, now)
    }

    /// Returns the last pause of the process, if it ended lately.
    pub fn recent_pause(&self, now: Duration) -> Option<Pause> {
        self.last_pause
            .filter(|pause| now.saturating_sub(pause.ended_at) < PAUSE_SHOWN)
    }

    /// Returns the time for which the daemon has waited for requests in flight, if that is too long.
    pub fn slow_drain(&self, now: Duration) -> Option<Duration> {
        let since = self.draining_since?;
        let waited = now.saturating_sub(since);
        (waited > DRAIN_MAX).then_some(waited)
    }
}

/// Keeps the times of the keys that still hold, and adds the new ones.
fn keep_since<K>(since: &mut BTreeMap<K, Duration>, holding: BTreeSet<K>, now: Duration)
where
    K: Ord,
{
    since.retain(|key, _| holding.contains(key));
    for key in holding {
        since.entry(key).or_insert(now);
    }
}

fn lasting<K>(since: &BTreeMap<K, Duration>, longer_than: Duration, now: Duration) -> Vec<K>
where
    K: Clone,
{
    let lasting = since
        .iter()
        .filter(|(_, since)| now.saturating_sub(**since) > longer_than);
    lasting.map(|(key, _)| key.clone()).collect()
}
