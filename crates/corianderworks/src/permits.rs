//! Ejection permits in the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::PermitNumber;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, ServiceKey};
use corianderworks_decision::permits::{self, PermitLedger, PermitTable, VmEvidence};
use tokio::sync::{Notify, mpsc};

use crate::control::Shared;
use crate::home::Homes;
use crate::platform::{PlatformClient, WriteOutcome};

/// Time between two looks at the permits of a service while nothing changes.
const PERIOD: Duration = Duration::from_secs(5);

/// Permits held for a service.
pub struct PermitEvent {
    /// Service.
    pub service: ServiceKey,
    /// Permits that may be used.
    pub permits: Vec<PermitNumber>,
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
    pub shared: Arc<Shared>,
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
        let mut ledgers = std::collections::HashMap::<ServiceKey, PermitLedger>::new();
        let mut leaving = false;
        loop {
            let view = self.shared.view.load_full();
            let mut held = 0;
            for (name, entry) in &view.table.services {
                let key = ServiceKey::of(name);
                let Some(place) = view.places.get(&key) else {
                    continue;
                };
                let known = ledgers.contains_key(&key);
                if !known && !place.is_home(self.me.daemon) {
                    continue;
                }
                let ledger = ledgers.entry(key).or_default();
                let upstreams = place.backends.len() as u32;
                let count = permits::permit_count(upstreams, u32::from(entry.floor_percent));
                let homes = if leaving { &[][..] } else { &place.homes[..] };
                self.look(name, key, ledger, homes, if leaving { 0 } else { count })
                    .await;
                held += ledger.held().len() as u64;
            }
            self.held.store(held, Ordering::Relaxed);
            tokio::select! {
                () = tokio::time::sleep(PERIOD) => {}
                () = self.return_all.notified() => leaving = true,
            }
        }
    }

    /// Claims and returns permits of one service.
    async fn look(
        &self,
        name: &str,
        key: ServiceKey,
        ledger: &mut PermitLedger,
        homes: &[DaemonKey],
        count: u32,
    ) {
        let path = format!("permits/{name}");
        let Ok(object) = self.platform.read(&path).await else {
            return;
        };
        let version = object.as_ref().map_or(0, |object| object.version);
        let table: PermitTable = match &object {
            None => PermitTable::default(),
            Some(object) => match serde_json::from_slice(&object.value) {
                Ok(table) => table,
                Err(error) => return tracing::warn!("permits: {path} is malformed: {error}"),
            },
        };
        ledger.confirmed(version, &table, self.me);
        let home = self.homes.get(key);
        let mut surplus = permits::surplus(&table, self.me, homes, count);
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
        if let Some(next) = next {
            self.write(&path, object.is_some().then_some(version), next, ledger)
                .await;
        }
        self.report(key, ledger);
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
            ledger.confirmed(version, &table, self.me);
        }
    }

    fn report(&self, service: ServiceKey, ledger: &PermitLedger) {
        let _ = self.events.send(PermitEvent {
            service,
            permits: ledger.held().to_vec(),
        });
    }

    fn evidence(&self, daemon: DaemonKey) -> VmEvidence {
        let released = self.shared.released.load();
        let gone = released.iter().any(|run| run.daemon == daemon);
        let listed = self
            .shared
            .vms
            .load()
            .iter()
            .any(|vm| DaemonKey::of(&vm.name) == daemon);
        if gone && !listed {
            VmEvidence::Gone
        } else {
            VmEvidence::Present
        }
    }
}
