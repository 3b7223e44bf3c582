//! Control address of a stand-in and the timeline of its settings.

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
use crate::serve::{self, Body, Closed, Connection, Handler, Limits, Server};

const BODY_LIMIT_BYTES: usize = 1_000_000;

/// A value that can be read and replaced through `/control/faults`.
pub(crate) trait Controlled: Send + Sync + 'static {
    /// The faults in force.
    type Faults: Serialize + DeserializeOwned + Send;

    /// Returns the faults in force.
    fn faults(&self) -> Self::Faults;

    /// Replaces the faults in force.
    fn set_faults(&self, faults: Self::Faults);

    /// Executions for `/control/executions`, if the stand-in counts any.
    fn executions(&self) -> Option<Executions> {
        None
    }
}

struct Control<C>(C);

impl<C: Controlled> Handler for Control<C> {
    async fn handle(
        self: Arc<Self>,
        _: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Closed> {
        match request.uri().path() {
            "/control/faults" => {}
            "/control/executions" if request.method() == Method::GET => {
                let status = StatusCode::OK;
                return Ok(serve::json(
                    status,
                    &self.0.executions().unwrap_or_default(),
                ));
            }
            _ => return Ok(serve::whole(StatusCode::NOT_FOUND, "unknown call")),
        }
        match *request.method() {
            Method::GET => {}
            Method::PUT => {
                let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES);
                let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
                match serde_json::from_slice(&body) {
                    Ok(faults) => self.0.set_faults(faults),
                    Err(error) => {
                        return Ok(serve::whole(StatusCode::BAD_REQUEST, error.to_string()));
                    }
                }
            }
            _ => return Ok(serve::whole(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
        Ok(serve::json(StatusCode::OK, &self.0.faults()))
    }
}

/// What runs beside the server of a stand-in; ends when dropped.
#[derive(Debug)]
pub(crate) struct Side {
    control: Option<Server>,
    timeline: Option<JoinHandle<()>>,
}

impl Side {
    /// Starts the control address and the timeline, as far as they are set.
    pub(crate) async fn start<S>(
        standin: S,
        name: &str,
        address: Option<SocketAddr>,
        timeline: &FaultTimeline,
    ) -> io::Result<Self>
    where
        S: Controlled + FaultTarget + Clone,
    {
        let timeline = if timeline.events.is_empty() {
            None
        } else {
            let target: Arc<dyn FaultTarget> = Arc::new(standin.clone());
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
        let control = match address {
            Some(address) => {
                Some(Server::start(address, limits, Arc::new(Control(standin))).await?)
            }
            None => None,
        };
        Ok(Self { control, timeline })
    }

    /// Address of `/control/faults`.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Ends the control address and the timeline.
    pub(crate) async fn stop(&self) {
        if let Some(timeline) = &self.timeline {
            timeline.abort();
        }
        if let Some(control) = &self.control {
            control.stop().await;
        }
    }
}

impl Drop for Side {
    fn drop(&mut self) {
        if let Some(timeline) = &self.timeline {
            timeline.abort();
        }
    }
}
