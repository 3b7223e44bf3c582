//! Claims and returns ejection permits, which are stored in the platform's `permits` objects.

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

/// Interval between reads of the permits of a service while nothing changes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between checks for services whose homes or permit counts changed.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Permits that this daemon may use for a service. Replaces the previous set of the service.
pub struct PermitEvent {
    /// Service that the permits apply to.
    pub service: ServiceKey,
    /// Numbers of the permits; empty when none may be used.
    pub permits: Vec<PermitNumber>,
}

/// State of the permits of one service.
#[derive(Default)]
struct ServicePermits {
    ledger: PermitLedger,
    homes: Vec<DaemonKey>,
    count: u32,
    last_checked: Option<tokio::time::Instant>,
    /// Whether the last check left nothing to claim or return.
    is_settled: bool,
}

/// Claims permits for the services that this daemon is a home of, and returns surplus ones.
pub struct PermitManager<C>
where
    C: Clock,
{
    /// Current run of this daemon; permits are claimed in its name.
    pub local_run: DaemonRun,
    /// Client for the platform's object API.
    pub platform: PlatformClient,
    /// State published by the control loop: view, VM list and ended runs.
    pub shared: Arc<SharedState>,
    /// Homes, which tell whether a permit is in use.
    pub homes: Arc<Homes<C>>,
    /// Channel to the control loop for the permits held.
    pub events: mpsc::UnboundedSender<PermitEvent>,
    /// Number of permits held over all services; updated after each check.
    pub held: Arc<AtomicU64>,
    /// Requests the return of all permits, sent when the daemon stops.
    pub return_all: Arc<Notify>,
}

impl<C> PermitManager<C>
where
    C: Clock,
{
    /// Claims and returns permits until the task is aborted.
    pub async fn run(self) {
        let mut services = HashMap::<ServiceKey, ServicePermits>::new();
        let mut is_leaving = false;
        loop {
            self.check_all(&mut services, is_leaving).await;
            let held = services
                .values()
                .map(|state| state.ledger.held().len() as u64)
                .sum();
            self.held.store(held, Ordering::Relaxed);
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = self.return_all.notified() => is_leaving = true,
            }
        }
    }

    async fn check_all(
        &self,
        services: &mut HashMap<ServiceKey, ServicePermits>,
        is_leaving: bool,
    ) {
        let view = self.shared.view.load_full();
        for (name, entry) in &view.table.services {
            let key = ServiceKey::of(name);
            let Some(placement) = view.placements.get(&key) else {
                continue;
            };
            if !services.contains_key(&key) && !placement.is_home(self.local_run.daemon) {
                continue;
            }
            let state = services.entry(key).or_default();
            let upstreams = placement.backends.len() as u32;
            let permit_count = permits::permit_count(upstreams, u32::from(entry.floor_percent));
            let (homes, permit_count) = if is_leaving {
                (Vec::new(), 0)
            } else {
                (placement.homes.clone(), permit_count)
            };
            let is_due = state
                .last_checked
                .is_none_or(|last_checked| last_checked.elapsed() >= REFRESH_INTERVAL);
            if !is_due && state.is_settled && (&state.homes, state.count) == (&homes, permit_count)
            {
                continue;
            }
            state.last_checked = Some(tokio::time::Instant::now());
            state.is_settled = self
                .check_service(name, key, &mut state.ledger, &homes, permit_count)
                .await;
            (state.homes, state.count) = (homes, permit_count);
        }
    }

    /// Claims or returns permits of one service. Returns whether nothing is left to do.
    async fn check_service(
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
        ledger.record_confirmed(version, &table, self.local_run);
        let home = self.homes.get(key);
        let mut surplus = permits::surplus(&table, self.local_run, homes, count);
        let has_surplus = !surplus.is_empty();
        surplus.retain(|permit| {
            home.as_ref().is_none_or(|home| {
                !home.read(|dispatcher, now| dispatcher.permit_in_use(now, *permit))
            })
        });
        let new_table = if surplus.is_empty() {
            permits::claim(&table, self.local_run, homes, count, |daemon| {
                self.vm_presence(daemon)
            })
        } else {
            ledger.returning(&surplus, version);
            // The home must stop using a returned permit before the write can reach the platform.
            self.publish_held(key, ledger);
            permits::release(&table, self.local_run, &surplus)
        };
        // A permit that is still in use is returned at a later check.
        let is_settled = new_table.is_none() && !has_surplus;
        if let Some(new_table) = new_table {
            self.write(
                &path,
                object.is_some().then_some(version),
                new_table,
                ledger,
            )
            .await;
        }
        self.publish_held(key, ledger);
        is_settled
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
        let result = match version {
            Some(version) => self.platform.update(path, version, value).await,
            None => self.platform.create(path, value).await,
        };
        // After a conflict or a lost response, the next check reads the current permit table.
        if let Ok(WriteOutcome::Written(version)) = result {
            ledger.record_confirmed(version, &table, self.local_run);
        }
    }

    fn publish_held(&self, service: ServiceKey, ledger: &PermitLedger) {
        let _ = self.events.send(PermitEvent {
            service,
            permits: ledger.held().to_vec(),
        });
    }

    fn vm_presence(&self, daemon: DaemonKey) -> VmPresence {
        let ended_runs = self.shared.ended_runs.load();
        let has_ended = ended_runs.iter().any(|run| run.daemon == daemon);
        let is_listed = self
            .shared
            .vms
            .load()
            .iter()
            .any(|vm| DaemonKey::of(&vm.name) == daemon);
        if has_ended && !is_listed {
            VmPresence::Removed
        } else {
            VmPresence::Present
        }
    }
}
