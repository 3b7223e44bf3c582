//! Life cycle of simulated requests: arrival, dispatch, retries, hedging and deadline.

use std::time::Duration;

use corianderworks_decision::dispatcher::{Admission, Lease, Outcome, RequestView, Retry, Ticket};
use corianderworks_decision::ids::CustomerKey;
use rand::Rng;

use super::servers::{MEDIAN_SERVICE_TIME, ResponseKind, SendResult};
use super::simulation::{
    Attempt, ENTRIES, Event, HOMES, Request, Simulation, System, upstream_key,
};

/// Deadline of each request, counted from its arrival.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from a drain signal after which a server must receive no new requests (P5).
const DRAIN_TARGET: Duration = Duration::from_secs(3);
/// Number of customers of a service.
const CUSTOMERS: u64 = 20;

impl Simulation {
    pub(super) fn handle_arrival(&mut self, now: Duration) {
        let exponential = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let next =
            now + Duration::from_secs_f64(exponential / (self.base_rate_per_s * self.load_factor));
        self.schedule_event(next, Event::Arrival);
        self.last_id += 1;
        let ticket = Ticket(self.last_id);
        let entry = self.rng.random_range(0..ENTRIES);
        let view = RequestView {
            ticket,
            customer: CustomerKey(self.rng.random_range(0..CUSTOMERS)),
            priority: self.rng.random_range(0..3),
            deadline: now + CALLER_TIMEOUT,
            idempotent: self.rng.random_range(0..100) >= self.service.non_idempotent_percent,
            tried: Vec::new(),
        };
        let node = match self.system {
            System::Baseline => entry,
            System::Fleet => self.choose_home(&[]),
        };
        self.measurements.arrived += 1;
        self.schedule_event(view.deadline, Event::Deadline(ticket));
        let request = Request {
            view,
            arrived_at: now,
            node,
            refused_by: Vec::new(),
            attempts: Vec::new(),
            executions: 0,
        };
        self.requests.insert(ticket, request);
        self.admit(now, ticket);
    }

    /// Picks two random homes and returns the less loaded one according to the latest load reports.
    pub(super) fn choose_home(&mut self, excluded: &[usize]) -> usize {
        let homes: Vec<usize> = (0..HOMES).filter(|h| !excluded.contains(h)).collect();
        let mut random_home = || homes[self.rng.random_range(0..homes.len())];
        let (a, b) = (random_home(), random_home());
        let spare_slots = |node: usize| {
            let load = self.nodes[node].load;
            i64::from(load.free_slots) - i64::from(load.queued)
        };
        if spare_slots(b) > spare_slots(a) {
            b
        } else {
            a
        }
    }

    pub(super) fn admit(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let (node, view) = (request.node, request.view.clone());
        let scheduler = self.nodes[node].daemon.scheduler();
        match scheduler.admit(now, view) {
            Admission::Run(lease) => self.dispatch(now, node, ticket, lease),
            Admission::Wait => {}
            Admission::Refuse(_) => self.handle_refusal(now, ticket),
        }
    }

    pub(super) fn handle_refusal(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.refused_by.push(request.node);
        let refused_by = request.refused_by.clone();
        let may_relay_again = self.system == System::Fleet && refused_by.len() < 3;
        if may_relay_again && now + MEDIAN_SERVICE_TIME < request.view.deadline {
            let node = self.choose_home(&refused_by);
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.node = node;
            }
            return self.admit(now, ticket);
        }
        self.measurements.refused += 1;
        self.requests.remove(&ticket);
    }

    pub(super) fn simulate_response(
        &mut self,
        now: Duration,
        node: usize,
        server: usize,
    ) -> Option<(Duration, ResponseKind)> {
        let connection_opened = self.nodes[node].connections_opened[server];
        self.servers[server].respond(
            &mut self.rng,
            now,
            node,
            connection_opened,
            self.service_time_factor,
        )
    }

    pub(super) fn dispatch(&mut self, now: Duration, node: usize, ticket: Ticket, lease: Lease) {
        let server = (lease.upstream.0 - 1) as usize;
        self.last_id += 1;
        let id = self.last_id;
        let target_server = &mut self.servers[server];
        let in_flight = target_server.running + target_server.waiting.len() as u32;
        self.measurements.overruns += u64::from(in_flight >= target_server.slots);
        if target_server
            .draining_since
            .is_some_and(|from| now > from + DRAIN_TARGET)
        {
            self.measurements.violations += 1;
        }
        let send_result = target_server.accept(id);
        self.attempts.insert(
            id,
            Attempt {
                ticket,
                node,
                server,
                lease,
                sent_at: now,
            },
        );
        self.leases.insert((node, lease.number), id);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.attempts.push(id);
        }
        match send_result {
            SendResult::Running => self.start_attempt(now, id),
            SendResult::Waiting => {}
            SendResult::Shed => {
                let latency = Duration::from_millis(2);
                self.schedule_event(
                    now + latency,
                    Event::AttemptEnd(id, Outcome::NotRun { latency }),
                );
            }
        }
        self.schedule_hedge(now, node, ticket);
    }

    pub(super) fn schedule_hedge(&mut self, now: Duration, node: usize, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if request.attempts.len() == 1
            && let Some(home) = self.nodes[node].daemon.dispatcher()
            && let Some(delay) = home.hedge_after(now, &request.view)
        {
            self.schedule_event(now + delay, Event::Hedge(ticket, node));
        }
    }

    /// Starts an attempt at its server and schedules its end; counts a second execution of a
    /// non-idempotent request as a violation.
    pub(super) fn start_attempt(&mut self, now: Duration, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (node, server, ticket, sent_at) = (
            attempt.node,
            attempt.server,
            attempt.ticket,
            attempt.sent_at,
        );
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.executions += 1;
            if request.executions > 1 && !request.view.idempotent {
                self.measurements.violations += 1;
            }
        }
        let Some((delay, response)) = self.simulate_response(now, node, server) else {
            return;
        };
        let latency = now + delay - sent_at;
        let draining = self.servers[server].draining_since.is_some();
        let outcome = match response {
            ResponseKind::Complete if draining => Outcome::Drained { latency },
            ResponseKind::Complete => Outcome::Success { latency },
            ResponseKind::Error => Outcome::Error {
                status: 500,
                latency,
            },
            ResponseKind::Truncated => Outcome::Truncated { latency },
        };
        self.schedule_event(now + delay, Event::AttemptEnd(id, outcome));
    }

    /// Removes an attempt from its server, starts the next waiting one and reports the outcome to
    /// the daemon.
    pub(super) fn end_attempt(
        &mut self,
        now: Duration,
        id: u64,
        outcome: Outcome,
    ) -> Option<Ticket> {
        let attempt = self.attempts.remove(&id)?;
        self.leases.remove(&(attempt.node, attempt.lease.number));
        if !matches!(outcome, Outcome::NotRun { .. })
            && let Some(next) = self.servers[attempt.server].remove(id)
        {
            self.start_attempt(now, next);
        }
        if let Some(request) = self.requests.get_mut(&attempt.ticket) {
            request.attempts.retain(|a| *a != id);
            request.view.tried.push(upstream_key(attempt.server));
        }
        let scheduler = self.nodes[attempt.node].daemon.scheduler();
        let actions = scheduler.finish(now, attempt.lease, outcome);
        self.apply_actions(now, attempt.node, actions);
        Some(attempt.ticket)
    }

    pub(super) fn handle_attempt_end(&mut self, now: Duration, id: u64, outcome: Outcome) {
        let Some(ticket) = self.end_attempt(now, id, outcome) else {
            return;
        };
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if matches!(outcome, Outcome::Success { .. } | Outcome::Drained { .. }) {
            let other_attempts = request.attempts.clone();
            self.requests.remove(&ticket);
            self.measurements.record_success(now, self.spike);
            for other in other_attempts {
                self.cancel_attempt(now, other);
            }
        } else if request.attempts.is_empty() {
            self.retry(now, ticket, outcome);
        }
    }

    pub(super) fn cancel_attempt(&mut self, now: Duration, id: u64) {
        if let Some(attempt) = self.attempts.get(&id) {
            let latency = now - attempt.sent_at;
            self.end_attempt(now, id, Outcome::Cancelled { latency });
        }
    }

    pub(super) fn retry(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let (node, view) = (request.node, request.view.clone());
        let scheduler = self.nodes[node].daemon.scheduler();
        match scheduler.may_retry(now, &view, outcome) {
            Retry::Retry => self.admit(now, ticket),
            Retry::GiveUp => {
                self.requests.remove(&ticket);
            }
        }
    }

    pub(super) fn handle_deadline(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        self.nodes[request.node]
            .daemon
            .scheduler()
            .cancel(now, ticket);
        for id in request.attempts {
            let latency = now - request.arrived_at;
            self.end_attempt(now, id, Outcome::Stalled { latency });
        }
    }

    pub(super) fn handle_hedge(&mut self, now: Duration, ticket: Ticket, node: usize) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if request.attempts.len() != 1 {
            return;
        }
        let mut view = request.view.clone();
        view.tried.extend(
            request
                .attempts
                .iter()
                .map(|id| upstream_key(self.attempts[id].server)),
        );
        if let Some(home) = self.nodes[node].daemon.dispatcher()
            && let Some(lease) = home.admit_hedge(now, &view)
        {
            self.dispatch(now, node, ticket, lease);
        }
    }
}
