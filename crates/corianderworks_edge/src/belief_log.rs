//! Log lines for the moments at which a backend server comes under suspicion and ceases to be.

use std::time::Duration;

use corianderworks_decision::edge::load_balancer::LoadBalancer;
use corianderworks_decision::edge::servers::{Server, ServerKey, Servers};
use corianderworks_decision::edge::suspicions::{BeliefChange, Cause, Observer, Suspicions};

use crate::logs::LineRateLimiter;

/// Record of the suspected servers, which logs its changes.
#[derive(Debug, Default)]
pub struct BeliefLog {
    suspicions: Suspicions,
    line_limit: LineRateLimiter,
}

impl BeliefLog {
    /// Records an observation that the load balancer has just applied.
    pub(crate) fn record(
        &mut self,
        load_balancer: &LoadBalancer,
        (key, server): (ServerKey, &Server),
        cause: Cause,
        now: Duration,
    ) {
        if let Some(change) = self.suspicions.record(load_balancer, key, cause, now) {
            self.log(server, &change, now);
        }
    }

    /// Ends the suspicions whose evidence has become too old.
    pub(crate) fn clear_aged(
        &mut self,
        load_balancer: &LoadBalancer,
        servers: &Servers,
        now: Duration,
    ) {
        for (key, change) in self.suspicions.clear_aged(load_balancer, now) {
            if let Some(server) = servers.get(key) {
                self.log(server, &change, now);
            }
        }
    }

    /// Discards the suspicion of a server that left the list.
    pub(crate) fn remove_server(&mut self, key: ServerKey) {
        self.suspicions.remove_server(key);
    }

    /// Returns the number of lines omitted since the start.
    pub(crate) fn omitted_total(&self) -> u64 {
        self.line_limit.omitted_total()
    }

    fn log(&self, server: &Server, change: &BeliefChange, now: Duration) {
        let Some(omitted) = self.line_limit.try_acquire(now) else {
            return;
        };
        let (server, service) = (&*server.entry.id, &*server.entry.service);
        match change {
            BeliefChange::Suspected {
                cause,
                failing_probability,
            } => tracing::info!(
                server,
                service,
                evidence = cause.evidence.name(),
                source = source(cause.observer),
                failing = format_args!("{failing_probability:.2}"),
                omitted,
                "servers: suspected"
            ),
            BeliefChange::Cleared {
                cause,
                suspected_for,
                negative_count,
            } => tracing::info!(
                server,
                service,
                evidence = cause.map_or("none", |c| c.evidence.name()),
                source = cause.map(|c| source(c.observer)),
                suspected_ms = suspected_for.as_millis() as u64,
                failures = negative_count,
                omitted,
                "servers: no longer suspected"
            ),
        }
    }
}

fn source(observer: Observer) -> &'static str {
    match observer {
        Observer::Own => "own",
        Observer::Peer => "peer",
    }
}
