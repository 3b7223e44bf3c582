//! Backend server stand-in: executes requests, counts executions and simulates
//! failures.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend_server::Backend;
pub use crate::backend_settings::{BackendSettings, HealthReport, Mode, PathFault, ServiceTime};
pub use crate::backend_stats::{BackendStats, Execution, Executions};
use crate::control::{ControlTasks, FaultControl};
use crate::serve::{Limits, Server};

/// Response header with the outcome of a refused request, such as `not-run`.
pub const OUTCOME_HEADER: &str = "cw-outcome";
/// Response header with the value `1`, set while the server drains.
pub const DRAIN_HEADER: &str = "cw-drain";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "cw-deadline-ms";
/// Request header with the id of the dispatched request.
pub const REQUEST_ID_HEADER: &str = "cw-request-id";
/// Request header with the idempotency key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Handle to a running backend stand-in; clones share the same server.
#[derive(Debug, Clone)]
pub struct BackendStandIn {
    backend: Arc<Backend>,
    server: Arc<Server>,
    control_tasks: Option<Arc<ControlTasks>>,
}

impl BackendStandIn {
    /// Binds the address and starts the stand-in; port 0 selects a free port. Fails if
    /// an address cannot be bound or the timeline does not fit the stand-in.
    pub async fn start(address: SocketAddr, settings: BackendSettings) -> io::Result<Self> {
        let limits = Limits {
            connections: settings.connections,
            connect_delay: Duration::from_micros(settings.connect_us),
        };
        let mode = settings.mode;
        let (name, control_address) = (settings.name.clone(), settings.control_address);
        let timeline = settings.timeline.clone();
        let backend = Arc::new(Backend::new(settings));
        let server = Arc::new(Server::start(address, limits, backend.clone()).await?);
        let stand_in = Self {
            backend,
            server,
            control_tasks: None,
        };
        stand_in.set_mode(mode);
        let control_tasks =
            ControlTasks::start(stand_in.clone(), &name, control_address, &timeline).await?;
        Ok(Self {
            control_tasks: Some(Arc::new(control_tasks)),
            ..stand_in
        })
    }

    /// Bound address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bound address of the control endpoint; `None` if the settings have none.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_tasks.as_ref()?.address()
    }

    /// Replaces the mode and resets the statistics since the last change of it.
    pub fn set_mode(&self, mode: Mode) {
        {
            let mut state = self.backend.state.lock();
            state.mode = mode;
            state.mode_since = Instant::now();
            state.stats.requests_since_mode = 0;
            state.stats.last_request_since_mode = None;
        }
        self.server.set_vm_lost(mode == Mode::Vanished);
    }

    /// Replaces the modes of individual clients, which take precedence over the mode
    /// of the server. If several faults name the same client, the last one takes
    /// effect.
    pub fn set_path_faults(&self, faults: Vec<PathFault>) {
        let modes_by_client = faults.iter().flat_map(|fault| {
            let clients = fault.clients.iter();
            clients.map(|client| (*client, fault.mode))
        });
        let modes_by_client: HashMap<IpAddr, Mode> = modes_by_client.collect();
        let unreachable_clients = modes_by_client
            .iter()
            .filter(|(_, mode)| **mode == Mode::Vanished);
        let unreachable_clients = unreachable_clients.map(|(client, _)| *client).collect();
        self.backend.state.lock().path_modes = modes_by_client;
        self.server.set_unreachable_from(unreachable_clients);
    }

    /// Mode of the server, for clients without a path fault.
    pub fn mode(&self) -> Mode {
        self.backend.state.lock().mode
    }

    /// Stops all traffic on every open connection permanently; new connections work.
    pub fn silence_connections(&self) {
        self.server.silence_connections();
    }

    /// Announces that the server is about to leave, by the `cw-drain` header, the load
    /// endpoint, GOAWAY on HTTP/2 and `connection: close` on HTTP/1.1.
    pub fn start_drain(&self) {
        let newly_draining = {
            let mut state = self.backend.state.lock();
            let newly_draining = state.drain_since.is_none();
            state.drain_since.get_or_insert_with(Instant::now);
            newly_draining
        };
        if newly_draining {
            self.server.go_away();
        }
    }

    /// Cancels a drain and resets its statistics.
    pub fn end_drain(&self) {
        let mut state = self.backend.state.lock();
        state.drain_since = None;
        state.stats.requests_since_drain = 0;
        state.stats.last_request_since_drain = None;
    }

    /// Restarts the cold-start period, as after a restart of the server.
    pub fn restart_cold_start(&self) {
        self.backend.state.lock().cold_start_since = Instant::now();
    }

    /// Returns a copy of the execution counts since the start.
    pub fn executions(&self) -> Executions {
        self.backend.executions.lock().clone()
    }

    /// Returns a snapshot of the statistics.
    pub fn stats(&self) -> BackendStats {
        let mut stats = self.backend.state.lock().stats;
        stats.busy = self.backend.busy() as u64;
        stats.connections = self.server.open_connections() as u64;
        stats.connections_peak = self.server.peak_connections() as u64;
        stats.connections_accepted = self.server.accepted_connections();
        stats.connections_refused = self.server.refused_connections();
        stats
    }

    /// Stops the control endpoint and the timeline, closes the listener and aborts all
    /// connections.
    pub async fn stop(&self) {
        if let Some(control_tasks) = &self.control_tasks {
            control_tasks.stop().await;
        }
        self.server.stop().await;
    }
}

impl FaultControl for BackendStandIn {
    type Faults = Mode;

    fn faults(&self) -> Mode {
        self.mode()
    }

    fn set_faults(&self, mode: Mode) {
        self.set_mode(mode);
    }

    fn executions(&self) -> Option<Executions> {
        Some(BackendStandIn::executions(self))
    }
}
