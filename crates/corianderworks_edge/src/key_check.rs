//! Checks of the keys of organisations: who may send a request now, and the messages that prove to
//! this daemon that its configuration is current.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderworks_decision::edge::fleet::Topology;
use corianderworks_decision::edge::key_permission::{
    PermitError, Query, QueryScope, Role, SendPermit,
};
use corianderworks_decision::edge::organisations::{CallerIdentity, UnknownKey};
use corianderworks_decision::edge::routes::{Configuration, Route};
use corianderworks_platform::headers;
use corianderworks_wire::codec;

use crate::forward::Routing;
use crate::http1::RequestHead;
use crate::peers::{Message, Peers};
use crate::reason::Reason;
use crate::state::Edge;

/// Configuration in force, and whether its keys could be used when it was read.
pub(crate) struct CheckedConfiguration {
    pub(crate) configuration: Arc<Configuration>,
    are_keys_usable: bool,
}

/// Returns the configuration in force, or `None` before the first one.
pub(crate) fn configuration(edge: &Edge) -> Option<CheckedConfiguration> {
    let state = edge.lock_state();
    Some(CheckedConfiguration {
        configuration: state.configuration.clone()?,
        are_keys_usable: state.key_permission.is_valid(edge.clock.since_boot()),
    })
}

impl CheckedConfiguration {
    /// Determines whom a request comes from. If keys can't be used, a request on a public route
    /// counts as one without a key, and a key that is not known may have been added since.
    pub(crate) fn identify(
        &self,
        route: &Route,
        head: &RequestHead,
    ) -> Result<CallerIdentity, Reason> {
        let identified = identify(&self.configuration, route, head);
        match identified {
            Ok(CallerIdentity::Organisation(_)) if !self.are_keys_usable => match route.is_public {
                true => Ok(CallerIdentity::Anonymous),
                false => Err(Reason::KeyCheckExpired),
            },
            Ok(caller) => Ok(caller),
            Err(UnknownKey) if !self.are_keys_usable && key(head).is_some() => {
                Err(Reason::KeyCheckExpired)
            }
            Err(UnknownKey) => Err(Reason::UnknownKey),
        }
    }
}

fn identify(
    configuration: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<CallerIdentity, UnknownKey> {
    match &configuration.organisations {
        Some(organisations) => organisations.identify(key(head), route.is_public),
        None => Ok(CallerIdentity::NotUsed),
    }
}

/// Returns the key of a request. One with several keys is treated like one with a malformed key,
/// because other components might read another one of them.
fn key(head: &RequestHead) -> Option<&[u8]> {
    let mut values = head.headers.values(headers::AUTHORIZATION);
    match (values.next(), values.next()) {
        (Some(value), None) => headers::organisation_key(value),
        _ => None,
    }
}

/// Whether a request may be sent to a backend server now.
pub(crate) enum KeyDecision {
    /// It may be sent with the name of its organisation, if it has one.
    Send(SendPermit),
    /// It may be sent like a request without a key.
    SendWithoutKey(SendPermit),
    /// It may not be sent.
    Refuse(Reason),
}

/// Decides whether a request may be sent now. Its key is looked up again if another configuration
/// is in force by now.
pub(crate) fn decide(edge: &Edge, routing: &Routing, head: &RequestHead) -> KeyDecision {
    let state = edge.lock_state();
    let now = edge.clock.since_boot();
    let permission = &state.key_permission;
    let mut result = permission.permit(&routing.caller, routing.version, now);
    if let (Err(PermitError::OtherConfiguration), Some(configuration)) =
        (&result, &state.configuration)
    {
        let holds_key = match identify(configuration, &routing.route, head) {
            Ok(CallerIdentity::Organisation(organisation)) => {
                let before = routing.caller.organisation();
                before.is_some_and(|before| before.name == organisation.name)
            }
            _ => false,
        };
        if !holds_key && !routing.route.is_public {
            return KeyDecision::Refuse(Reason::UnknownKey);
        }
        if holds_key {
            result = permission.permit(&routing.caller, configuration.version, now);
        }
    }
    if let Ok(permit) = result {
        return KeyDecision::Send(permit);
    }
    let without_key = permission.permit(&CallerIdentity::Anonymous, routing.version, now);
    match without_key {
        Ok(permit) if routing.route.is_public => KeyDecision::SendWithoutKey(permit),
        _ => KeyDecision::Refuse(Reason::KeyCheckExpired),
    }
}

/// Returns whether the configuration has to be read from the store for a proof, and counts that as
/// a read.
pub(crate) fn take_store_read(edge: &Edge) -> bool {
    let (now, since_boot) = (edge.clock.now(), edge.clock.since_boot());
    let mut state = edge.lock_state();
    if !state.key_permission.is_active() {
        return false;
    }
    let role = match state.fleet.relay_position(now) {
        Some(_) => Role::Relay,
        None => Role::Other,
    };
    state.key_permission.take_store_read(role, since_boot)
}

/// Sends the response to the query of a peer, if this daemon has a proof.
pub(crate) fn respond(edge: &Edge, peers: &Peers, to: SocketAddr, sequence: u32) {
    let now = edge.clock.since_boot();
    let Some(confirmation) = edge.lock_state().key_permission.confirmation(now) else {
        return;
    };
    // Rounded up: a proof must not become younger on its way.
    let age_ms = confirmation.age.as_millis() + 1;
    send(
        peers,
        to,
        &Message::ConfigurationConfirmed {
            sequence,
            version: confirmation.configuration.version.0,
            digest: confirmation.configuration.digest,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        },
    );
}

fn send(peers: &Peers, to: SocketAddr, message: &Message) {
    match codec::encode(message) {
        Ok(bytes) => peers.send_datagram(to, bytes),
        Err(error) => tracing::error!(%error, "keys: cannot encode a message"),
    }
}

/// Sends queries to peers, and logs when the permission ends and returns.
#[derive(Debug, Default)]
pub(crate) struct KeyChecks {
    /// Whether the permission was valid at the last check; `None` before the first one.
    was_valid: Option<bool>,
}

impl KeyChecks {
    /// Sends the queries that are due.
    pub(crate) fn run_due(&mut self, edge: &Edge, peers: &Peers, topology: &Topology) {
        let (now, since_boot) = (edge.clock.now(), edge.clock.since_boot());
        let mut state = edge.lock_state();
        if !state.key_permission.is_active() {
            self.was_valid = None;
            return;
        }
        let role = match topology.relay_position {
            Some(_) if state.fleet.watches_store(now) => Role::Watcher,
            Some(_) => Role::Relay,
            None => Role::Other,
        };
        // Half of the daemons use the first relay, so that the queries are shared.
        let offset = state.fleet.own().key().0 as usize;
        let version = state.configuration_version();
        let is_valid = state.key_permission.is_valid(since_boot);
        let query = state.key_permission.next_query(role, since_boot);
        drop(state);
        self.log_change(is_valid, version);
        if let Some(query) = query {
            send_query(peers, topology, query, offset);
        }
    }

    fn log_change(&mut self, is_valid: bool, version: u64) {
        let was_valid = self.was_valid.replace(is_valid);
        match (was_valid, is_valid) {
            (Some(true), false) => tracing::warn!(
                version,
                "keys: permission ended, requests with keys are refused"
            ),
            (None | Some(false), true) => tracing::info!(version, "keys: permission obtained"),
            _ => {}
        }
    }
}

fn send_query(peers: &Peers, topology: &Topology, query: Query, offset: usize) {
    // Relays ask the daemons that watch the store, the others ask their relays.
    let is_relay = topology.relay_position.is_some();
    let preferred = match is_relay && !topology.watchers.is_empty() {
        true => &topology.watchers,
        false => &topology.relays,
    };
    let message = Message::ConfirmConfiguration {
        sequence: query.sequence,
    };
    match query.scope {
        QueryScope::One if !preferred.is_empty() => {
            send(peers, preferred[offset % preferred.len()], &message);
        }
        QueryScope::One => {}
        QueryScope::All => {
            let relays = topology.relays.iter();
            let others = relays.filter(|relay| !topology.watchers.contains(relay));
            for to in topology.watchers.iter().chain(others) {
                send(peers, *to, &message);
            }
        }
    }
}
