//! HTTP control endpoint of a stand-in, and the task that runs the fault timeline
//! of its settings.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::JoinHandle;

use crate::backend_stats::Executions;
use crate::fault::{FaultTarget, FaultTargets, FaultTimeline};
use crate::serve::{self, Body, Connection, ConnectionClosed, Handler, Limits, Server};

const MAX_BODY_BYTES: usize = 1_000_000;

/// Stand-in whose active faults can be read and replaced through
/// `/control/faults`.
pub(crate) trait FaultControl: Send + Sync + 'static {
    /// JSON representation of the active faults.
    type Faults: Serialize + DeserializeOwned + Send;

    /// Returns the active faults.
    fn faults(&self) -> Self::Faults;

    /// Replaces the active faults.
    fn set_faults(&self, faults: Self::Faults);

    /// Returns the executions for `/control/executions`; `None` if the stand-in does
    /// not count them.
    fn executions(&self) -> Option<Executions> {
        None
    }
}

struct ControlHandler<C>(C);

impl<C: FaultControl> Handler for ControlHandler<C> {
    async fn handle(
        self: Arc<Self>,
        _: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionClosed> {
        match request.uri().path() {
            "/control/faults" => {}
            "/control/executions" if request.method() == Method::GET => {
                let status = StatusCode::OK;
                return Ok(serve::json_response(
                    status,
                    &self.0.executions().unwrap_or_default(),
                ));
            }
            _ => return Ok(serve::full_response(StatusCode::NOT_FOUND, "unknown call")),
        }
        match *request.method() {
            Method::GET => {}
            Method::PUT => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
                let body = body
                    .collect()
                    .await
                    .map_err(|_| ConnectionClosed)?
                    .to_bytes();
                match serde_json::from_slice(&body) {
                    Ok(faults) => self.0.set_faults(faults),
                    Err(error) => {
                        return Ok(serve::full_response(
                            StatusCode::BAD_REQUEST,
                            error.to_string(),
                        ));
                    }
                }
            }
            _ => return Ok(serve::full_response(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
        Ok(serve::json_response(StatusCode::OK, &self.0.faults()))
    }
}

/// Control server and timeline task of a stand-in; dropping it stops both.
#[derive(Debug)]
pub(crate) struct ControlTasks {
    control_server: Option<Server>,
    timeline_task: Option<JoinHandle<()>>,
}

impl ControlTasks {
    /// Starts the control server if there is an address, and the timeline task if
    /// the timeline has events. Fails if the timeline does not fit the stand-in.
    pub(crate) async fn start<S>(
        stand_in: S,
        name: &str,
        control_address: Option<SocketAddr>,
        timeline: &FaultTimeline,
    ) -> io::Result<Self>
    where
        S: FaultControl + FaultTarget + Clone,
    {
        let timeline_task = if timeline.events.is_empty() {
            None
        } else {
            let target: Arc<dyn FaultTarget> = Arc::new(stand_in.clone());
            let targets = FaultTargets::from([(name.to_owned(), target)]);
            timeline.validate(&targets).map_err(io::Error::other)?;
            let timeline = timeline.clone();
            Some(tokio::spawn(async move {
                let _ = timeline.run(&targets).await;
            }))
        };
        let limits = Limits {
            connections: usize::MAX,
            connect_delay: Duration::ZERO,
        };
        let control_server = match control_address {
            Some(control_address) => Some(
                Server::start(control_address, limits, Arc::new(ControlHandler(stand_in))).await?,
            ),
            None => None,
        };
        Ok(Self {
            control_server,
            timeline_task,
        })
    }

    /// Bound address of the control server, if one was started.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.control_server.as_ref().map(Server::address)
    }

    /// Stops the control server and the timeline task.
    pub(crate) async fn stop(&self) {
        if let Some(timeline_task) = &self.timeline_task {
            timeline_task.abort();
        }
        if let Some(control_server) = &self.control_server {
            control_server.stop().await;
        }
    }
}

impl Drop for ControlTasks {
    fn drop(&mut self) {
        if let Some(timeline_task) = &self.timeline_task {
            timeline_task.abort();
        }
    }
}
