//! Allowance of customers at an entry and at their limit homes.
#![allow(dead_code, reason = "the proxy that uses it is added separately")]

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::{CustomerKey, DaemonKey};
use corianderworks_decision::limits::{
    ASK_TIMEOUT, Admission, Allowance, AskFailure, ConcurrencyGuard, GrantAnswer, GrantAsk,
    LimitEntry, LimitHome, PeerState, SentAsk,
};
use corianderworks_wire::message;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time that a request waits for an ask: until the ask has timed out and the fallback applies.
const WAIT_MAX: Duration = ASK_TIMEOUT.saturating_add(Duration::from_millis(50));

/// Sends asks to limit homes.
pub trait GrantTransport: Send + Sync + 'static {
    /// Asks a home; this daemon itself may be the home.
    fn ask(
        &self,
        home: DaemonKey,
        ask: GrantAsk,
    ) -> impl Future<Output = Result<GrantAnswer, AskFailure>> + Send;
}

/// Why a request of a customer was refused; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LimitRefusal {
    /// The customer is over its rate.
    #[error("the customer is over its rate")]
    OverRate {
        /// Time until a new request makes sense.
        retry_after: Duration,
    },
    /// The customer has too many requests at once.
    #[error("the customer has too many requests at once")]
    OverConcurrency,
    /// Too many customers are active at this daemon.
    #[error("the table of customers is full")]
    Full,
}

/// Allowances of customers at this entry.
#[derive(Debug)]
pub struct Grants<T, C> {
    clock: Arc<C>,
    transport: T,
    entry: Mutex<LimitEntry>,
    /// Wakes requests that wait for the answer to an ask.
    answered: Notify,
}

impl<T, C> Grants<T, C>
where
    T: GrantTransport,
    C: Clock,
{
    /// Creates an entry without allowances.
    pub fn new(clock: Arc<C>, transport: T) -> Arc<Self> {
        Arc::new(Self {
            clock,
            transport,
            entry: Mutex::new(LimitEntry::default()),
            answered: Notify::new(),
        })
    }

    /// Admits a request; the guard is kept until the request has ended.
    ///
    /// It waits only when an ask is in flight and neither a grant nor credit is left.
    pub async fn admit(
        self: &Arc<Self>,
        customer: CustomerKey,
        allowance: Allowance,
        homes: [Option<DaemonKey>; 2],
        members: usize,
    ) -> Result<ConcurrencyGuard, LimitRefusal> {
        let arrived = self.clock.now();
        let mut repeated = false;
        let mut last = false;
        loop {
            // Registered before the decision, so that an answer in between wakes it.
            let answered = self.answered.notified();
            let now = self.clock.now();
            let (admission, ask) = self
                .entry
                .lock()
                .admit(now, customer, allowance, homes, members, repeated);
            if let Some(ask) = ask {
                self.send(ask);
            }
            match admission {
                Admission::Admitted(guard, _) => return Ok(guard),
                Admission::OverRate { retry_after } => {
                    return Err(LimitRefusal::OverRate { retry_after });
                }
                Admission::OverConcurrency => return Err(LimitRefusal::OverConcurrency),
                Admission::Full => return Err(LimitRefusal::Full),
                Admission::Wait => {}
            }
            let left = (arrived + WAIT_MAX).saturating_sub(now);
            if timeout(left, answered).await.is_err() {
                if last {
                    let retry_after = ASK_TIMEOUT;
                    return Err(LimitRefusal::OverRate { retry_after });
                }
                // After a pause the ask may have timed out unnoticed; the entry then falls back.
                last = true;
            }
            repeated = true;
        }
    }

    /// Forgets idle customers; called every few seconds.
    pub fn evict_idle(&self) -> usize {
        self.entry.lock().evict_idle(self.clock.now())
    }

    fn send(self: &Arc<Self>, sent: SentAsk) {
        let grants = Arc::clone(self);
        tokio::spawn(async move {
            let asked = timeout(ASK_TIMEOUT, grants.transport.ask(sent.home, sent.ask)).await;
            let result = asked.unwrap_or(Err(AskFailure::Unreachable));
            let now = grants.clock.now();
            match result {
                Ok(answer) => grants.entry.lock().answered(now, sent, answer),
                Err(failure) => grants.entry.lock().failed(now, sent, failure),
            }
            grants.answered.notify_waiters();
        });
    }
}

/// Allowances of the customers that this daemon is a limit home of.
#[derive(Debug)]
pub struct GrantHome<C> {
    clock: Arc<C>,
    home: Mutex<LimitHome>,
}

impl<C> GrantHome<C>
where
    C: Clock,
{
    /// Starts without saved allowance.
    pub fn new(clock: Arc<C>) -> Self {
        let home = Mutex::new(LimitHome::new(clock.now()));
        Self { clock, home }
    }

    /// Answers an ask; `None` means that the table is full and the ask failed.
    pub fn answer(
        &self,
        ask: GrantAsk,
        allowance: Allowance,
        peer: PeerState,
    ) -> Option<GrantAnswer> {
        let now = self.clock.now();
        self.home.lock().ask(now, ask, allowance, peer)
    }

    /// Notes a change of the members.
    pub fn members_changed(&self) {
        self.home.lock().members_changed(self.clock.now());
    }

    /// Forgets a customer that this daemon is no longer a home of.
    pub fn release(&self, customer: CustomerKey) {
        self.home.lock().release(customer);
    }

    /// Forgets idle customers; called every few seconds.
    pub fn evict_idle(&self) -> usize {
        self.home.lock().evict_idle(self.clock.now())
    }
}

/// Converts an ask to its message.
pub fn ask_to_wire(ask: GrantAsk) -> message::GrantAsk {
    message::GrantAsk {
        customer: ask.customer,
        credit: ask.credit,
        wanted: ask.wanted,
    }
}

/// Converts a message to an ask.
pub fn ask_from_wire(ask: message::GrantAsk) -> GrantAsk {
    GrantAsk {
        customer: ask.customer,
        credit: ask.credit,
        wanted: ask.wanted,
    }
}

/// Converts an answer to its message.
pub fn answer_to_wire(answer: GrantAnswer) -> message::GrantAnswer {
    message::GrantAnswer {
        allowed: answer.allowed,
        lifetime_ms: answer.lifetime_ms,
        retry_after_ms: answer.retry_after_ms,
    }
}

/// Converts a message to an answer.
pub fn answer_from_wire(answer: message::GrantAnswer) -> GrantAnswer {
    GrantAnswer {
        allowed: answer.allowed,
        lifetime_ms: answer.lifetime_ms,
        retry_after_ms: answer.retry_after_ms,
    }
}
