//! Fault injection for the stand-ins: timelines of faults and the targets they apply to.

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

/// Fault that a timeline can inject, tagged by `kind` in JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// The platform handles calls from some or all clients with this fault.
    Platform(PlatformFault),
    /// A backend server handles the requests of all clients in this mode.
    Backend(Mode),
    /// A backend server handles the requests of some clients in another mode.
    Path(PathFault),
    /// A backend server announces that it is about to leave and keeps serving.
    Drain,
    /// The open connections of a backend server stop sending and processing
    /// data permanently; the duration of the event has no effect.
    SilenceConnections,
    /// A backend server restarts its cold-start period; the duration of the
    /// event has no effect.
    ColdStart,
    /// Fault defined by a target outside this crate; the stand-ins reject it.
    Other {
        /// Identifies the fault to the target.
        name: String,
        /// Parameters interpreted by the target; null if absent.
        #[serde(default)]
        arguments: serde_json::Value,
    },
}

/// Injects a fault into the matching targets for a limited or unlimited time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// Start time, in milliseconds after the start of the timeline.
    pub at_ms: u64,
    /// Duration in milliseconds; absent for a fault that does not end.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Name of the target; a final `*` matches every target with that prefix.
    pub target: String,
    /// Fault to inject; each matching target must support it.
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

/// Change to the set of active faults of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultChange {
    /// Time of the change, measured from the start of the timeline.
    pub at: Duration,
    /// Full name of the target, with wildcards resolved.
    pub target: String,
    /// All faults active from this time on, in the order of the timeline.
    pub active: Vec<Fault>,
    /// The subset of `active` that starts at this time.
    pub started: Vec<Fault>,
}

/// Component into which faults can be injected.
pub trait FaultTarget: Send + Sync {
    /// Whether the target can simulate the fault.
    fn supports(&self, fault: &Fault) -> bool;

    /// Makes the faults in `change.active` the only active ones.
    fn apply(&self, change: &FaultChange);
}

/// Fault targets by the name that timeline events refer to.
pub type FaultTargets = BTreeMap<String, Arc<dyn FaultTarget>>;

/// Error in a timeline whose targets or faults do not match the available targets.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TimelineError {
    /// No target matches the event.
    #[error("event {index} of the fault timeline: no target matches \"{target}\"")]
    UnknownTarget {
        /// Zero-based index of the event in the timeline.
        index: usize,
        /// Target name or pattern of the event.
        target: String,
    },
    /// A matching target does not support the fault.
    #[error("event {index} of the fault timeline: target \"{target}\" does not support this fault")]
    UnsupportedFault {
        /// Zero-based index of the event in the timeline.
        index: usize,
        /// Full name of the first target that does not support the fault.
        target: String,
    },
}

/// Schedule of fault events.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FaultTimeline {
    /// Events in any order.
    pub events: Vec<FaultEvent>,
}

impl FaultTimeline {
    /// Generates random events in order of time. Equal settings, seed included,
    /// give equal events.
    pub fn random(settings: &RandomFaultSettings) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut events = Vec::new();
        for _ in 0..settings.count {
            let (Some(target), Some(fault)) = (
                settings.targets.choose(&mut rng),
                settings.faults.choose(&mut rng),
            ) else {
                break;
            };
            let (shortest, longest) = settings.for_ms;
            events.push(FaultEvent {
                at_ms: rng.random_range(0..=settings.within_ms),
                for_ms: Some(rng.random_range(shortest..=longest.max(shortest))),
                target: target.clone(),
                fault: fault.clone(),
            });
        }
        events.sort_by_key(|event| event.at_ms);
        Self { events }
    }

    /// Computes the changes for the given targets, in order of time. Each change
    /// lists all active faults, so that overlapping faults end independently.
    pub fn changes<'a, N>(&self, targets: N) -> Vec<FaultChange>
    where
        N: IntoIterator<Item = &'a str>,
    {
        let mut changes: Vec<FaultChange> = targets
            .into_iter()
            .flat_map(|target| self.changes_for(target))
            .collect();
        changes.sort_by_key(|change| change.at);
        changes
    }

    fn changes_for(&self, target: &str) -> Vec<FaultChange> {
        let events: Vec<_> = self.events.iter().filter(|e| e.matches(target)).collect();
        let times: BTreeSet<u64> = events
            .iter()
            .flat_map(|event| [Some(event.at_ms), event.end_ms()])
            .flatten()
            .collect();
        let select = |predicate: &dyn Fn(&FaultEvent) -> bool| -> Vec<Fault> {
            let selected = events.iter().filter(|event| predicate(event));
            selected.map(|event| event.fault.clone()).collect()
        };
        times
            .into_iter()
            .map(|at_ms| FaultChange {
                at: Duration::from_millis(at_ms),
                target: target.to_owned(),
                active: select(&|event| event.is_active(at_ms)),
                started: select(&|event| event.at_ms == at_ms),
            })
            .collect()
    }

    /// Checks that every event has a target that supports its fault.
    pub fn validate(&self, targets: &FaultTargets) -> Result<(), TimelineError> {
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

    /// Validates the timeline, applies each change at its time and returns after
    /// the last one.
    pub async fn run(&self, targets: &FaultTargets) -> Result<(), TimelineError> {
        self.validate(targets)?;
        let start = Instant::now();
        for change in self.changes(targets.keys().map(String::as_str)) {
            sleep_until(start + change.at).await;
            let (target, count) = (&change.target, change.active.len());
            tracing::info!("fault: {target} now has {count} active faults");
            if let Some(target) = targets.get(target) {
                target.apply(&change);
            }
        }
        Ok(())
    }
}

/// Settings for generating a random fault timeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomFaultSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of events to generate.
    pub count: usize,
    /// Latest start time of an event, in milliseconds.
    pub within_ms: u64,
    /// Shortest and longest duration of an event, in milliseconds.
    pub for_ms: (u64, u64),
    /// Target names to choose from; no events are generated if empty.
    pub targets: Vec<String>,
    /// Faults to choose from; no events are generated if empty.
    pub faults: Vec<Fault>,
}

impl FaultTarget for PlatformStandIn {
    fn supports(&self, fault: &Fault) -> bool {
        matches!(fault, Fault::Platform(_))
    }

    fn apply(&self, change: &FaultChange) {
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

    /// If several modes are active, the last one in the timeline takes effect.
    fn apply(&self, change: &FaultChange) {
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
        if change.started.contains(&Fault::SilenceConnections) {
            self.silence_connections();
        }
        if change.started.contains(&Fault::ColdStart) {
            self.restart_cold_start();
        }
    }
}
