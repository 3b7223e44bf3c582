//! The requests of a run, from their arrival to their end.

use std::time::Duration;

use corianderworks_decision::dispatcher::{Admission, Lease, Outcome, RequestView, Retry, Ticket};
use corianderworks_decision::ids::CustomerKey;
use rand::Rng;

use super::fleet::{Attempt, ENTRIES, Event, HOMES, Request, Run, System, key_of};
use super::servers::{Ending, SERVICE_TIME, Sent};

/// Time until a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which no new request may go to a server that drains (P5).
const DRAIN_TARGET: Duration = Duration::from_secs(3);
/// Customers of a service.
const CUSTOMERS: u64 = 20;

impl Run {
    pub(super) fn arrive(&mut self, now: Duration) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let next = now + Duration::from_secs_f64(gap / (self.rate * self.load_factor));
        self.schedule(next, Event::Arrive);
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let entry = self.rng.random_range(0..ENTRIES);
        let view = RequestView {
            ticket,
            customer: CustomerKey(self.rng.random_range(0..CUSTOMERS)),
            priority: self.rng.random_range(0..3),
            deadline: now + CALLER_TIMEOUT,
            idempotent: self.rng.random_range(0..100) >= self.service.once_percent,
            tried: Vec::new(),
        };
        let node = match self.system {
            System::Baseline => entry,
            System::Fleet => self.choose_home(&[]),
        };
        self.measures.arrived += 1;
        self.schedule(view.deadline, Event::Deadline(ticket));
        let request = Request {
            view,
            arrived: now,
            node,
            refused_at: Vec::new(),
            attempts: Vec::new(),
            ran: 0,
        };
        self.requests.insert(ticket, request);
        self.admit(now, ticket);
    }

    /// The less loaded of two random homes, by the reports that entries hold.
    pub(super) fn choose_home(&mut self, except: &[usize]) -> usize {
        let homes: Vec<usize> = (0..HOMES).filter(|h| !except.contains(h)).collect();
        let mut pick = || homes[self.rng.random_range(0..homes.len())];
        let (a, b) = (pick(), pick());
        let spare = |node: usize| {
            let load = self.nodes[node].load;
            i64::from(load.free_slots) - i64::from(load.queued)
        };
        if spare(b) > spare(a) { b } else { a }
    }

    pub(super) fn admit(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let (node, view) = (request.node, request.view.clone());
        let schedule = self.nodes[node].daemon.schedule();
        match schedule.admit(now, view) {
            Admission::Run(lease) => self.dispatch(now, node, ticket, lease),
            Admission::Wait => {}
            Admission::Refuse(_) => self.refused(now, ticket),
        }
    }

    pub(super) fn refused(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.refused_at.push(request.node);
        let refused_at = request.refused_at.clone();
        let again = self.system == System::Fleet && refused_at.len() < 3;
        if again && now + SERVICE_TIME < request.view.deadline {
            let node = self.choose_home(&refused_at);
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.node = node;
            }
            return self.admit(now, ticket);
        }
        self.measures.refused += 1;
        self.requests.remove(&ticket);
    }

    pub(super) fn respond(
        &mut self,
        now: Duration,
        node: usize,
        server: usize,
    ) -> Option<(Duration, Ending)> {
        let opened = self.nodes[node].connections[server];
        self.servers[server].respond(&mut self.rng, now, node, opened, self.service_factor)
    }

    pub(super) fn dispatch(&mut self, now: Duration, node: usize, ticket: Ticket, lease: Lease) {
        let server = (lease.upstream.0 - 1) as usize;
        self.next_id += 1;
        let id = self.next_id;
        let target = &mut self.servers[server];
        let in_flight = target.running + target.waiting.len() as u32;
        self.measures.overruns += u64::from(in_flight >= target.slots);
        if target
            .leaving_from
            .is_some_and(|from| now > from + DRAIN_TARGET)
        {
            self.measures.violations += 1;
        }
        let sent = target.send(id);
        self.attempts.insert(
            id,
            Attempt {
                ticket,
                node,
                server,
                lease,
                sent: now,
            },
        );
        self.leases.insert((node, lease.number), id);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.attempts.push(id);
        }
        match sent {
            Sent::Running => self.run_attempt(now, id),
            Sent::Waiting => {}
            Sent::Shed => {
                let latency = Duration::from_millis(2);
                self.schedule(now + latency, Event::Done(id, Outcome::NotRun { latency }));
            }
        }
        self.plan_hedge(now, node, ticket);
    }

    pub(super) fn plan_hedge(&mut self, now: Duration, node: usize, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if request.attempts.len() == 1
            && let Some(home) = self.nodes[node].daemon.home()
            && let Some(after) = home.hedge_after(now, &request.view)
        {
            self.schedule(now + after, Event::Hedge(ticket, node));
        }
    }

    /// A server begins to run a request.
    pub(super) fn run_attempt(&mut self, now: Duration, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (node, server, ticket, sent) =
            (attempt.node, attempt.server, attempt.ticket, attempt.sent);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.ran += 1;
            if request.ran > 1 && !request.view.idempotent {
                self.measures.violations += 1;
            }
        }
        let Some((after, ending)) = self.respond(now, node, server) else {
            return;
        };
        let latency = now + after - sent;
        let draining = self.servers[server].leaving_from.is_some();
        let outcome = match ending {
            Ending::Complete if draining => Outcome::Drained { latency },
            Ending::Complete => Outcome::Success { latency },
            Ending::Error => Outcome::Error {
                status: 500,
                latency,
            },
            Ending::Truncated => Outcome::Truncated { latency },
        };
        self.schedule(now + after, Event::Done(id, outcome));
    }

    /// Takes an attempt off its server and reports it to its daemon.
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
            self.run_attempt(now, next);
        }
        if let Some(request) = self.requests.get_mut(&attempt.ticket) {
            request.attempts.retain(|a| *a != id);
            request.view.tried.push(key_of(attempt.server));
        }
        let schedule = self.nodes[attempt.node].daemon.schedule();
        let actions = schedule.finish(now, attempt.lease, outcome);
        self.apply(now, attempt.node, actions);
        Some(attempt.ticket)
    }

    pub(super) fn done(&mut self, now: Duration, id: u64, outcome: Outcome) {
        let Some(ticket) = self.end_attempt(now, id, outcome) else {
            return;
        };
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if matches!(outcome, Outcome::Success { .. } | Outcome::Drained { .. }) {
            let others = request.attempts.clone();
            self.requests.remove(&ticket);
            self.measures.success(now, self.spike);
            for other in others {
                self.cancel_attempt(now, other);
            }
        } else if request.attempts.is_empty() {
            self.retry(now, ticket, outcome);
        }
    }

    pub(super) fn cancel_attempt(&mut self, now: Duration, id: u64) {
        if let Some(attempt) = self.attempts.get(&id) {
            let latency = now - attempt.sent;
            self.end_attempt(now, id, Outcome::Cancelled { latency });
        }
    }

    pub(super) fn retry(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let (node, view) = (request.node, request.view.clone());
        let schedule = self.nodes[node].daemon.schedule();
        match schedule.may_retry(now, &view, outcome) {
            Retry::Retry => self.admit(now, ticket),
            Retry::GiveUp => {
                self.requests.remove(&ticket);
            }
        }
    }

    pub(super) fn deadline(&mut self, now: Duration, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        self.nodes[request.node]
            .daemon
            .schedule()
            .cancel(now, ticket);
        for id in request.attempts {
            let latency = now - request.arrived;
            self.end_attempt(now, id, Outcome::Stalled { latency });
        }
    }

    pub(super) fn hedge(&mut self, now: Duration, ticket: Ticket, node: usize) {
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
                .map(|id| key_of(self.attempts[id].server)),
        );
        if let Some(home) = self.nodes[node].daemon.home()
            && let Some(lease) = home.admit_hedge(now, &view)
        {
            self.dispatch(now, node, ticket, lease);
        }
    }
}
