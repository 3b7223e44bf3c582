//! Ejection permits in the platform.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::PermitNumber;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, ServiceKey};
use corianderworks_decision::permits::{self, PermitLedger, PermitTable, VmPresence};
use tokio::sync::{Notify, mpsc};

use crate::control::SharedState;
use crate::home::Homes;
use crate::platform::{PlatformClient, WriteOutcome};

/// Time between two looks at the permits of a service while nothing changes.
const PERIOD: Duration = Duration::from_secs(30);
/// Time between two looks at the homes of the services.
const POLL: Duration = Duration::from_millis(500);

/// Permits held for a service.
pub struct PermitEvent {
    /// Service.
    pub service: ServiceKey,
    /// Permits that may be used.
    pub permits: Vec<PermitNumber>,
}

/// What is kept about the permits of one service.
#[derive(Default)]
struct Kept {
    ledger: PermitLedger,
    homes: Vec<DaemonKey>,
    count: u32,
    looked: Option<tokio::time::Instant>,
    /// Whether the last look found nothing left to do.
    settled: bool,
}

/// Holds permits of the services that this daemon is a home of.
pub struct PermitKeeper<C>
where
    C: Clock,
{
    /// This daemon in its present run.
    pub me: DaemonRun,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// What the control loop knows.
    pub shared: Arc<SharedState>,
    /// Services that this daemon is a home of.
    pub homes: Arc<Homes<C>>,
    /// Where changes go.
    pub events: mpsc::UnboundedSender<PermitEvent>,
    /// Number of permits held over all services.
    pub held: Arc<AtomicU64>,
    /// Asks for the return of all permits.
    pub return_all: Arc<Notify>,
}

impl<C> PermitKeeper<C>
where
    C: Clock,
{
    /// Looks after the permits until the daemon stops.
    pub async fn run(self) {
        let mut services = HashMap::<ServiceKey, Kept>::new();
        let mut leaving = false;
        loop {
            self.look_at_all(&mut services, leaving).await;
            let held = services
                .values()
                .map(|kept| kept.ledger.held().len() as u64)
                .sum();
            self.held.store(held, Ordering::Relaxed);
            tokio::select! {
                () = tokio::time::sleep(POLL) => {}
                () = self.return_all.notified() => leaving = true,
            }
        }
    }

    async fn look_at_all(&self, services: &mut HashMap<ServiceKey, Kept>, leaving: bool) {
        let view = self.shared.view.load_full();
        for (name, entry) in &view.table.services {
            let key = ServiceKey::of(name);
            let Some(place) = view.places.get(&key) else {
                continue;
            };
            if !services.contains_key(&key) && !place.is_home(self.me.daemon) {
                continue;
            }
            let kept = services.entry(key).or_default();
            let upstreams = place.backends.len() as u32;
            let count = permits::permit_count(upstreams, u32::from(entry.floor_percent));
            let (homes, count) = if leaving {
                (Vec::new(), 0)
            } else {
                (place.homes.clone(), count)
            };
            let due = kept.looked.is_none_or(|looked| looked.elapsed() >= PERIOD);
            if !due && kept.settled && (&kept.homes, kept.count) == (&homes, count) {
                continue;
            }
            kept.looked = Some(tokio::time::Instant::now());
            kept.settled = self.look(name, key, &mut kept.ledger, &homes, count).await;
            (kept.homes, kept.count) = (homes, count);
        }
    }

    /// Claims and returns permits of one service; returns whether nothing is left to do.
    async fn look(
        &self,
        name: &str,
        key: ServiceKey,
        ledger: &mut PermitLedger,
        homes: &[DaemonKey],
        count: u32,
    ) -> bool {
        let path = format!("permits/{name}");
        let Ok(object) = self.platform.read(&path).await else {
            return false;
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        let table: PermitTable = match &object {
            None => PermitTable::default(),
            Some(object) => match serde_json::from_slice(&object.value) {
                Ok(table) => table,
                Err(error) => {
                    tracing::warn!("permits: {path} is malformed: {error}");
                    return false;
                }
            },
        };
        ledger.record_confirmed(version, &table, self.me);
        let home = self.homes.get(key);
        let mut surplus = permits::surplus(&table, self.me, homes, count);
        let wants_return = !surplus.is_empty();
        surplus.retain(|permit| {
            home.as_ref()
                .is_none_or(|home| !home.read(|d, now| d.permit_in_use(now, *permit)))
        });
        let next = if surplus.is_empty() {
            permits::claim(&table, self.me, homes, count, |daemon| {
                self.evidence(daemon)
            })
        } else {
            ledger.returning(&surplus, version);
            // A returned permit must be out of use here before the write can reach the platform.
            self.report(key, ledger);
            permits::release(&table, self.me, &surplus)
        };
        // A permit still in use goes back at a later look.
        let settled = next.is_none() && !wants_return;
        if let Some(next) = next {
            self.write(&path, object.is_some().then_some(version), next, ledger)
                .await;
        }
        self.report(key, ledger);
        settled
    }

    async fn write(
        &self,
        path: &str,
        version: Option<u64>,
        table: PermitTable,
        ledger: &mut PermitLedger,
    ) {
        let Ok(value) = serde_json::to_vec(&table) else {
            return;
        };
        let value = Bytes::from(value);
        let written = match version {
            Some(version) => self.platform.update(path, version, value).await,
            None => self.platform.create(path, value).await,
        };
        // After a conflict or a lost response the next look reads what is in force.
        if let Ok(WriteOutcome::Written(version)) = written {
            ledger.record_confirmed(version, &table, self.me);
        }
    }

    fn report(&self, service: ServiceKey, ledger: &PermitLedger) {
        let _ = self.events.send(PermitEvent {
            service,
            permits: ledger.held().to_vec(),
        });
    }

    fn evidence(&self, daemon: DaemonKey) -> VmPresence {
        let released = self.shared.ended_runs.load();
        let gone = released.iter().any(|run| run.daemon == daemon);
        let listed = self
            .shared
            .vms
            .load()
            .iter()
            .any(|vm| DaemonKey::of(&vm.name) == daemon);
        if gone && !listed {
            VmPresence::Gone
        } else {
            VmPresence::Present
        }
    }
}
