//! Registers this daemon in the store and discovers the other daemons there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_platform::daemons;
use corianderworks_platform::store::{StoreClient, StoreError};
use rand::Rng;
use tokio::time::sleep;

use crate::peers::Peers;
use crate::state::Edge;

/// Shortest interval between refreshes of the own record; the longest is twice that. With two calls
/// per daemon and interval, 430 daemons make 1.4 calls per second.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_secs(600);
/// First and longest delay before the retry of a failed call. It doubles with each failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(300);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(3_000);
/// Delay between registering and listing at the first start of the fleet. Its VMs start within 0.3 s
/// of each other, and weak ones take longer to register.
const LIST_DELAY: Duration = Duration::from_millis(1_000);

/// Registers this daemon in the store, discovers the other daemons, and refreshes the records
/// until the daemon exits.
pub async fn register(edge: Arc<Edge>, store: Arc<StoreClient>, peers: Arc<Peers>) {
    let own = edge.lock_state().fleet.own().clone();
    for seed in &edge.settings.seeds {
        if *seed != edge.settings.address {
            peers.start_connecting(SocketAddr::new(*seed, edge.settings.peer_port));
        }
    }
    if !edge.settings.first_start {
        // The records of earlier runs contain the addresses of the daemons, which rarely change.
        load_registered_members(&edge, &store).await;
    }
    let mut retry_delay = RETRY_DELAY_MIN;
    loop {
        match daemons::register(&store, &own, edge.settings.first_start).await {
            Ok(()) => break,
            Err(error) => tracing::warn!(%error, "fleet: cannot register, trying again"),
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
    }
    if edge.settings.first_start {
        // Daemons that start at the same time only find each other after all have registered.
        sleep(LIST_DELAY).await;
        load_registered_members(&edge, &store).await;
    }
    loop {
        let jitter = rand::rng().random::<f64>();
        sleep(REFRESH_INTERVAL_MIN.mul_f64(1.0 + jitter)).await;
        if let Err(error) = refresh(&edge, &store).await {
            tracing::warn!(%error, "fleet: cannot refresh the records");
        }
    }
}

/// Writes the own record again, in case it was removed while this daemon was partitioned, adds
/// the registered daemons to the fleet, and removes the records of daemons that count as removed.
/// Only the first relay of a domain removes records.
///
/// # Errors
///
/// Fails if the store doesn't respond or refuses a call.
pub async fn refresh(edge: &Edge, store: &StoreClient) -> Result<(), StoreError> {
    let own = edge.lock_state().fleet.own().clone();
    daemons::register(store, &own, false).await?;
    let registered = daemons::list(store).await?;
    let now = edge.clock.now();
    let (removed, is_first_relay) = {
        let mut state = edge.lock_state();
        let removed = std::mem::take(&mut state.removed_members);
        (removed, state.fleet.relay_position(now) == Some(0))
    };
    for record in registered {
        // A later run on the same VM has a different record, which is kept.
        if !removed.contains(&record.member) {
            edge.lock_state().fleet.learn(record.member, false, now);
        } else if is_first_relay {
            daemons::remove(store, &record).await?;
            tracing::info!(vm = &*record.member.vm, "fleet: record removed");
        }
    }
    Ok(())
}

/// Adds the registered daemons to the fleet. Retries until the store responds.
async fn load_registered_members(edge: &Edge, store: &StoreClient) {
    let mut retry_delay = RETRY_DELAY_MIN;
    loop {
        match daemons::list(store).await {
            Ok(records) => {
                let now = edge.clock.now();
                let mut state = edge.lock_state();
                for registered in records {
                    state.fleet.learn(registered.member, false, now);
                }
                state.knows_registered_members = true;
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "fleet: cannot list the other daemons, trying again")
            }
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}
