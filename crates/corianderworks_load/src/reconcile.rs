//! Reconciliation of the outcomes that callers saw with the executions on the backend servers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_standin::backend::{BackendStandIn, Executions};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::caller::FinishedRequest;
use crate::check::Violation;
use crate::outcome::Outcome;

/// Timeout for reading the executions of one backend server.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Source of the executions that the backend servers counted.
pub trait Reconcile {
    /// Returns all executions so far, or `None` if the backend servers do not count them.
    fn executions(&self) -> impl Future<Output = io::Result<Option<Executions>>> + Send;
}

impl Reconcile for Executions {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        Ok(Some(self.clone()))
    }
}

impl Reconcile for Vec<BackendStandIn> {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        let mut all = Executions::default();
        for backend in self {
            all.merge(&backend.executions());
        }
        Ok(Some(all))
    }
}

/// Control addresses of backend stand-ins in other processes, from which executions are read over
/// HTTP.
#[derive(Debug, Clone)]
pub struct ControlAddresses(pub Vec<SocketAddr>);

impl Reconcile for ControlAddresses {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let mut all = Executions::default();
        for address in &self.0 {
            let uri = format!("http://{address}/control/executions");
            let uri = uri.parse().map_err(io::Error::other)?;
            let body = timeout(READ_TIMEOUT, async {
                let response = client.get(uri).await.map_err(io::Error::other)?;
                let body = response.into_body().collect().await;
                body.map_err(io::Error::other)
            })
            .await??;
            all.merge(&serde_json::from_slice(&body.to_bytes())?);
        }
        Ok(Some(all))
    }
}

/// Disables the reconciliation, for a run against backend servers that do not count executions.
#[derive(Debug, Clone, Copy)]
pub struct NotReconciled;

impl Reconcile for NotReconciled {
    async fn executions(&self) -> io::Result<Option<Executions>> {
        Ok(None)
    }
}

/// Checks the outcome of a finished request against the executions. Idempotent requests are not
/// checked. An execution counts once it has started, because a cancelled one may already have taken
/// effect.
pub fn reconcile(finished: &FinishedRequest, executions: &Executions) -> Option<Violation> {
    if finished.planned.is_idempotent() {
        return None;
    }
    // A request whose key was dropped on the way is still found by its check id.
    let by_check = executions.by_check.get(&finished.planned.check);
    let by_key = finished.key.as_ref().and_then(|k| executions.by_key.get(k));
    let count = |found: Option<&corianderworks_standin::backend::Execution>| {
        found.map_or(0, |execution| execution.started)
    };
    let executed = count(by_check).max(count(by_key));
    match finished.outcome {
        _ if executed > 1 => Some(Violation::ExecutedTwice),
        Outcome::NotRun | Outcome::Unsent if executed > 0 => Some(Violation::NotRunYetExecuted),
        Outcome::Answered if executed == 0 => Some(Violation::AnsweredYetNotExecuted),
        _ => None,
    }
}
