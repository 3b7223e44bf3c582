//! Home of a service: runs its requests on the upstreams that this daemon owns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::{
    Action, Admit, Dispatcher, Lease, Outcome, RequestView, Retry, Ticket,
};
use corianderworks_decision::ids::{ServiceKey, UpstreamKey};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::body::{self, Body, BodyEnd, Watched};
use crate::headers;
use crate::job::{Job, Reply};
use crate::refusal::{Reason, Refusal};
use crate::upstream::{Checkout, Upstreams};

/// What the control loop has to do for a home.
#[derive(Debug)]
pub struct HomeEvent {
    /// Service.
    pub service: ServiceKey,
    /// What to do.
    pub action: Action,
}

/// Answer to a request that waits for a slot.
enum Granted {
    Run(Lease),
    Refused(Reason),
}

struct HomeState {
    dispatcher: Dispatcher,
    waiting: HashMap<Ticket, oneshot::Sender<Granted>>,
    addresses: HashMap<UpstreamKey, SocketAddr>,
}

/// One service at one of its homes.
pub struct Home<C>
where
    C: Clock,
{
    service: ServiceKey,
    clock: Arc<C>,
    upstreams: Arc<Upstreams<C>>,
    state: Mutex<HomeState>,
    next_ticket: AtomicU64,
    events: mpsc::UnboundedSender<HomeEvent>,
}

/// Slot of an upstream, released when dropped.
struct LeaseGuard<C>
where
    C: Clock,
{
    home: Arc<Home<C>>,
    lease: Option<Lease>,
    started: Duration,
}

impl<C> LeaseGuard<C>
where
    C: Clock,
{
    fn elapsed(&self) -> Duration {
        self.home.clock.now().saturating_sub(self.started)
    }

    fn finish(mut self, outcome: Outcome) {
        if let Some(lease) = self.lease.take() {
            self.home.finish(lease, outcome);
        }
    }
}

impl<C> Drop for LeaseGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.home.finish(lease, Outcome::Cancelled);
        }
    }
}

/// Forgets a waiting request whose caller went away.
struct WaitGuard<C>
where
    C: Clock,
{
    home: Arc<Home<C>>,
    ticket: Ticket,
}

impl<C> Drop for WaitGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let mut state = self.home.state.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.dispatcher.cancel(self.home.clock.now(), self.ticket);
        }
    }
}

/// What follows one exchange with a backend server.
enum Step {
    Reply(Reply),
    Again { job: Job, outcome: Outcome, failed: UpstreamKey },
}
