//! Records of this daemon and the others in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_platform::daemons;
use corianderworks_platform::store::{StoreClient, StoreError};
use rand::Rng;
use tokio::time::sleep;

use crate::peers::Peers;
use crate::state::Edge;

/// Shortest pause between refreshes of the own record, up to twice that. Two calls of each
/// daemon in it are 1.4 calls a second at 430 daemons.
const REFRESH: Duration = Duration::from_secs(600);
/// First and longest pause after a failed registration.
const REGISTER_RETRY_MIN: Duration = Duration::from_millis(300);
const REGISTER_RETRY_MAX: Duration = Duration::from_millis(3_000);
/// Pause between registering and listing; VMs start within 0.3 s of each other.
const REGISTER_SETTLE: Duration = Duration::from_millis(600);

/// Registers this daemon in the store and learns of the others from there.
pub async fn register(edge: Arc<Edge>, store: Arc<StoreClient>, peers: Arc<Peers>) {
    let own = edge.lock_state().fleet.own().clone();
    for seed in &edge.settings.seeds {
        if *seed != edge.settings.address {
            peers.start_connecting(SocketAddr::new(*seed, edge.settings.peer_port));
        }
    }
    if !edge.settings.first_start {
        // Records of earlier runs name the addresses, which seldom change.
        learn_registered(&edge, &store).await;
    }
    let mut pause = REGISTER_RETRY_MIN;
    loop {
        match daemons::register(&store, &own).await {
            Ok(()) => break,
            Err(error) => tracing::warn!(%error, "fleet: not registered yet"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(REGISTER_RETRY_MAX);
    }
    if edge.settings.first_start {
        // Daemons that start together see each other only after all have registered.
        sleep(REGISTER_SETTLE).await;
        learn_registered(&edge, &store).await;
    }
    loop {
        let spread = rand::rng().random::<f64>();
        sleep(REFRESH.mul_f64(1.0 + spread)).await;
        if let Err(error) = refresh(&edge, &store).await {
            tracing::warn!(%error, "fleet: records not refreshed");
        }
    }
}

/// Writes the own record again, in case it was removed while this daemon was cut off,
/// learns of the others, and removes the records of daemons that are gone.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn refresh(edge: &Edge, store: &StoreClient) -> Result<(), StoreError> {
    let own = edge.lock_state().fleet.own().clone();
    daemons::register(store, &own).await?;
    let registered = daemons::list(store).await?;
    let now = edge.clock.now();
    let (removed, is_first_relay) = {
        let mut state = edge.lock_state();
        let removed = std::mem::take(&mut state.removed_members);
        (removed, state.fleet.relay_position(now) == Some(0))
    };
    for record in registered {
        // A later run of the VM has a record of its own.
        if !removed.contains(&record.member) {
            edge.lock_state().fleet.learn(record.member, false, now);
        } else if is_first_relay {
            daemons::remove(store, &record).await?;
            tracing::info!(vm = &*record.member.vm, "fleet: record removed");
        }
    }
    Ok(())
}

/// Learns of the registered daemons; tries until the store answers.
async fn learn_registered(edge: &Edge, store: &StoreClient) {
    let mut pause = REGISTER_RETRY_MIN;
    loop {
        match daemons::list(store).await {
            Ok(members) => {
                let now = edge.clock.now();
                let mut state = edge.lock_state();
                for registered in members {
                    state.fleet.learn(registered.member, false, now);
                }
                return;
            }
            Err(error) => tracing::warn!(%error, "fleet: other daemons not listed yet"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(REGISTER_RETRY_MAX);
    }
}
