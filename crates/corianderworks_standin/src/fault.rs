//! Scripted faults of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use crate::backend::{BackendStandIn, Mode, PathFault};
use crate::platform::{PlatformFault, PlatformStandIn};

/// One kind of fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Fault of the platform.
    Platform(PlatformFault),
    /// Mode of a backend server.
    Backend(Mode),
    /// Mode of a backend server towards some clients only.
    Path(PathFault),
    /// A backend server drains.
    Drain,
    /// The open connections of a backend server go silent for good; the
    /// duration of the event has no effect.
    SilenceConnections,
    /// A backend server begins its cold start again; the duration of the event
    /// has no effect.
    ColdStart,
    /// Fault of a target outside this crate.
    Other {
        /// Name of the fault.
        name: String,
        /// Arguments of the fault.
        #[serde(default)]
        arguments: serde_json::Value,
    },
}

/// Fault at a target for some time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// Beginning, from the start of the timeline.
    pub at_ms: u64,
    /// Duration; absent for a fault that does not end.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Name of the target; a final `*` matches every target with that prefix.
    pub target: String,
    /// The fault.
    pub fault: Fault,
}

impl FaultEvent {
    fn matches(&self, target: &str) -> bool {
        match self.target.strip_suffix('*') {
            Some(prefix) => target.starts_with(prefix),
            None => self.target == target,
        }
    }

    fn end_ms(&self) -> Option<u64> {
        Some(self.at_ms.saturating_add(self.for_ms?))
    }

    fn is_active(&self, at_ms: u64) -> bool {
        self.at_ms <= at_ms && self.end_ms().is_none_or(|end| at_ms < end)
    }
}

/// Change of the faults of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Time from the start of the timeline.
    pub at: Duration,
    /// Name of the target.
    pub target: String,
    /// All faults in force from now on, in the order of the list.
    pub active: Vec<Fault>,
    /// Those of them that begin now.
    pub begun: Vec<Fault>,
}

/// Something that faults can be applied to.
pub trait FaultTarget: Send + Sync {
    /// Whether the target can have the fault.
    fn supports(&self, fault: &Fault) -> bool;

    /// Puts exactly the faults in `active` into force.
    fn apply(&self, change: &Change);
}

/// Targets of a timeline by name.
pub type Targets = BTreeMap<String, Arc<dyn FaultTarget>>;

/// Timeline that names a target or fault that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TimelineError {
    /// No target matches the event.
    #[error("event {index} of the fault timeline: no target matches \"{target}\"")]
    UnknownTarget {
        /// Position in the list.
        index: usize,
        /// Name in the event.
        target: String,
    },
    /// The target cannot have the fault.
    #[error("event {index} of the fault timeline: \"{target}\" cannot have this fault")]
    UnsupportedFault {
        /// Position in the list.
        index: usize,
        /// Name of the target.
        target: String,
    },
}

/// List of faults with their times.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FaultTimeline {
    /// Events in any order.
    pub events: Vec<FaultEvent>,
}

impl FaultTimeline {
    /// Random faults, the same for the same seed.
    pub fn random(noise: &Noise) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(noise.seed);
        let mut events = Vec::new();
        for _ in 0..noise.count {
            let (Some(target), Some(fault)) = (
                noise.targets.choose(&mut random),
                noise.faults.choose(&mut random),
            ) else {
                break;
            };
            let (shortest, longest) = noise.for_ms;
            events.push(FaultEvent {
                at_ms: random.random_range(0..=noise.within_ms),
                for_ms: Some(random.random_range(shortest..=longest.max(shortest))),
                target: target.clone(),
                fault: fault.clone(),
            });
        }
        events.sort_by_key(|event| event.at_ms);
        Self { events }
    }

    /// Changes in order of time for the given targets. Each change lists all
    /// faults in force, so that overlapping faults end independently.
    pub fn changes<'a, N>(&self, targets: N) -> Vec<Change>
    where
        N: IntoIterator<Item = &'a str>,
    {
        let mut changes: Vec<Change> = targets
            .into_iter()
            .flat_map(|target| self.changes_of(target))
            .collect();
        changes.sort_by_key(|change| change.at);
        changes
    }

    fn changes_of(&self, target: &str) -> Vec<Change> {
        let events: Vec<_> = self.events.iter().filter(|e| e.matches(target)).collect();
        let times: BTreeSet<u64> = events
            .iter()
            .flat_map(|event| [Some(event.at_ms), event.end_ms()])
            .flatten()
            .collect();
        let select = |keep: &dyn Fn(&FaultEvent) -> bool| -> Vec<Fault> {
            let kept = events.iter().filter(|event| keep(event));
            kept.map(|event| event.fault.clone()).collect()
        };
        times
            .into_iter()
            .map(|at_ms| Change {
                at: Duration::from_millis(at_ms),
                target: target.to_owned(),
                active: select(&|event| event.is_active(at_ms)),
                begun: select(&|event| event.at_ms == at_ms),
            })
            .collect()
    }

    /// Checks that every event has a target that supports its fault.
    pub fn check(&self, targets: &Targets) -> Result<(), TimelineError> {
        for (index, event) in self.events.iter().enumerate() {
            let mut matched = false;
            for (name, target) in targets.iter().filter(|(name, _)| event.matches(name)) {
                matched = true;
                if !target.supports(&event.fault) {
                    let target = name.clone();
                    return Err(TimelineError::UnsupportedFault { index, target });
                }
            }
            if !matched {
                let target = event.target.clone();
                return Err(TimelineError::UnknownTarget { index, target });
            }
        }
        Ok(())
    }

    /// Applies the events at their times and returns after the last change.
    pub async fn run(&self, targets: &Targets) -> Result<(), TimelineError> {
        self.check(targets)?;
        let start = Instant::now();
        for change in self.changes(targets.keys().map(String::as_str)) {
            sleep_until(start + change.at).await;
            let (target, count) = (&change.target, change.active.len());
            tracing::info!("fault: {target} has {count} faults");
            if let Some(target) = targets.get(target) {
                target.apply(&change);
            }
        }
        Ok(())
    }
}

/// Choice of random faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Seed.
    pub seed: u64,
    /// Number of events.
    pub count: usize,
    /// Latest beginning of an event.
    pub within_ms: u64,
    /// Shortest and longest duration.
    pub for_ms: (u64, u64),
    /// Targets to choose from.
    pub targets: Vec<String>,
    /// Faults to choose from.
    pub faults: Vec<Fault>,
}

impl FaultTarget for PlatformStandIn {
    fn supports(&self, fault: &Fault) -> bool {
        matches!(fault, Fault::Platform(_))
    }

    fn apply(&self, change: &Change) {
        let faults = change.active.iter().filter_map(|fault| match fault {
            Fault::Platform(fault) => Some(fault.clone()),
            _ => None,
        });
        self.set_faults(faults.collect());
    }
}

impl FaultTarget for BackendStandIn {
    fn supports(&self, fault: &Fault) -> bool {
        !matches!(fault, Fault::Platform(_) | Fault::Other { .. })
    }

    /// Of overlapping modes, the last one in the list is in force.
    fn apply(&self, change: &Change) {
        let mut modes = change.active.iter().filter_map(|fault| match fault {
            Fault::Backend(mode) => Some(*mode),
            _ => None,
        });
        let mode = modes.next_back().unwrap_or_default();
        if mode != self.mode() {
            self.set_mode(mode);
        }
        let paths = change.active.iter().filter_map(|fault| match fault {
            Fault::Path(path) => Some(path.clone()),
            _ => None,
        });
        self.set_path_faults(paths.collect());
        if change.active.contains(&Fault::Drain) {
            self.start_drain();
        } else {
            self.end_drain();
        }
        if change.begun.contains(&Fault::SilenceConnections) {
            self.silence_connections();
        }
        if change.begun.contains(&Fault::ColdStart) {
            self.restart_cold();
        }
    }
}
