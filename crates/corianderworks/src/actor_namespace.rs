//! Lookup of a daemon's `kameo` actors by name.
//!
//! The registry of `kameo` is global, and several daemons may run in one process. Each daemon
//! therefore registers its actors in a namespace of its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kameo::Actor;
use kameo::actor::ActorRef;
use thiserror::Error;

/// Error on registering or looking up an actor. The text is the full name of the actor.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ActorNamespaceError {
    /// Another actor of the daemon already uses the name.
    #[error("actor {0} is already registered")]
    AlreadyRegistered(String),
    /// No actor of the daemon has this name and type.
    #[error("actor {0} is not running")]
    NotFound(String),
}

/// Number of the next namespace, unique in the process.
static NEXT_NAMESPACE: AtomicU64 = AtomicU64::new(0);

/// Namespace of the actors of one daemon.
#[derive(Debug, Clone)]
pub struct ActorNamespace {
    daemon: Arc<str>,
}

impl ActorNamespace {
    /// Creates a namespace for a daemon. It is distinct even if another daemon in this process has
    /// the same name and incarnation, as in tests that start daemons in the same millisecond.
    pub fn new(daemon: &str) -> Self {
        let number = NEXT_NAMESPACE.fetch_add(1, Ordering::Relaxed);
        Self {
            daemon: format!("{daemon}/{number}").into(),
        }
    }

    /// Registers an actor under a name that must be unique in this namespace.
    pub fn register<A>(&self, name: &str, actor: &ActorRef<A>) -> Result<(), ActorNamespaceError>
    where
        A: Actor,
    {
        let qualified = self.qualified_name(name);
        actor
            .register(qualified.clone())
            .map_err(|_| ActorNamespaceError::AlreadyRegistered(qualified))
    }

    /// Looks up an actor of this namespace by its name and type.
    pub fn find<A>(&self, name: &str) -> Result<ActorRef<A>, ActorNamespaceError>
    where
        A: Actor,
    {
        let qualified = self.qualified_name(name);
        let found = ActorRef::<A>::lookup(qualified.as_str());
        found
            .ok()
            .flatten()
            .ok_or(ActorNamespaceError::NotFound(qualified))
    }

    fn qualified_name(&self, name: &str) -> String {
        format!("{}/{name}", self.daemon)
    }
}
