//! Services of a daemon that find each other by name.
//!
//! Each service is a `kameo` actor. Several daemons may run in one process, so a name is
//! registered under the name of its daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kameo::Actor;
use kameo::actor::ActorRef;
use thiserror::Error;

/// Why a service can't be registered or found.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KernelError {
    /// Two services use one name.
    #[error("service {0} is already registered")]
    Taken(String),
    /// No service has this name and type.
    #[error("service {0} is not running")]
    Missing(String),
}

/// Number of the next name space.
static NEXT_SPACE: AtomicU64 = AtomicU64::new(0);

/// Names of a daemon's services.
#[derive(Debug, Clone)]
pub struct Kernel {
    daemon: Arc<str>,
}

impl Kernel {
    /// Creates the name space of a daemon. It is new also when another daemon of this process
    /// has the same name and incarnation, as in tests that start at the same millisecond.
    pub fn new(daemon: &str) -> Self {
        let number = NEXT_SPACE.fetch_add(1, Ordering::Relaxed);
        Self {
            daemon: format!("{daemon}/{number}").into(),
        }
    }

    /// Registers a service.
    pub fn register<A>(&self, name: &str, service: &ActorRef<A>) -> Result<(), KernelError>
    where
        A: Actor,
    {
        let full = self.full_name(name);
        service
            .register(full.clone())
            .map_err(|_| KernelError::Taken(full))
    }

    /// Finds a service.
    pub fn find<A>(&self, name: &str) -> Result<ActorRef<A>, KernelError>
    where
        A: Actor,
    {
        let full = self.full_name(name);
        let found = ActorRef::<A>::lookup(full.as_str());
        found.ok().flatten().ok_or(KernelError::Missing(full))
    }

    fn full_name(&self, name: &str) -> String {
        format!("{}/{name}", self.daemon)
    }
}
