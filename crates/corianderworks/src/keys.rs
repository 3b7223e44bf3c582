//! Idempotency keys at the daemon that issued them, and claims of caller-generated keys.
#![allow(dead_code, reason = "the proxy that uses it is added separately")]

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corianderworks_decision::claims::{
    Attempt, Begin, ClaimAction, ClaimAnswer, ClaimMachine, ClaimRecord, Claimed, CreateResult,
    HandOver, HandedOver, Issued, IssuedKey, KEY_TABLE_MAX, KeyState, KeyTable, NotRunReason,
    Outcome, Permission, ReadResult, WriteBudget,
};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::{CustomerKey, DaemonRun};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Writes per second of the whole fleet for claims, out of the several hundred of the platform.
pub const CLAIM_WRITES_PER_S: u32 = 200;

/// Keys under the prefixes that this daemon run issued.
#[derive(Debug)]
pub struct Keys<C> {
    clock: Arc<C>,
    table: Mutex<KeyTable>,
    /// Wakes repeated arrivals that wait for the outcome of the first one.
    ended: Notify,
}

/// Decision on the arrival of a request with an issued key.
#[derive(Debug)]
pub enum KeyDecision<C>
where
    C: Clock,
{
    /// The request may be dispatched once.
    Run(KeyPermit<C>),
    /// The request ran and was answered with this status.
    Done(u16),
    /// The first arrival is still being processed at the deadline of this one.
    Running,
    /// The request may have run.
    Unknown,
    /// The request was not run and never will be.
    NotRun(NotRunReason),
}

/// Permission to dispatch; dropping it refuses the request as abandoned.
#[derive(Debug)]
pub struct KeyPermit<C>
where
    C: Clock,
{
    keys: Arc<Keys<C>>,
    permission: Option<Permission<Issued>>,
}

/// Request that was handed over; dropping it leaves the outcome unknown.
#[derive(Debug)]
pub struct KeyRun<C>
where
    C: Clock,
{
    keys: Arc<Keys<C>>,
    handed: Option<HandedOver<Issued>>,
}

impl<C> Keys<C>
where
    C: Clock,
{
    /// Creates the empty table of a daemon run.
    pub fn new(run: DaemonRun, clock: Arc<C>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            table: Mutex::new(KeyTable::new(run, KEY_TABLE_MAX)),
            ended: Notify::new(),
        })
    }

    /// Issues a key prefix.
    pub fn issue(&self) -> String {
        self.table.lock().issue(self.clock.now())
    }

    /// Decides on an arrival; a repeated one waits for the outcome until its deadline.
    pub async fn begin(
        self: &Arc<Self>,
        key: &IssuedKey,
        fingerprint: u64,
        deadline: Duration,
    ) -> KeyDecision<C> {
        loop {
            // Registered before the table is read, so that an outcome in between wakes it.
            let ended = self.ended.notified();
            let now = self.clock.now();
            let begin = self.table.lock().begin(now, key, fingerprint, deadline);
            match begin {
                Begin::Dispatch(permission) => return KeyDecision::Run(self.permit(permission)),
                Begin::Done(status) => return KeyDecision::Done(status),
                Begin::Unknown => return KeyDecision::Unknown,
                Begin::NotRun(reason) => return KeyDecision::NotRun(reason),
                Begin::NotRunConflict => return KeyDecision::NotRun(NotRunReason::Conflict),
                Begin::Full => return KeyDecision::NotRun(NotRunReason::Full),
                Begin::InProgress => {
                    let left = deadline.saturating_sub(now);
                    if timeout(left, ended).await.is_err() {
                        return KeyDecision::Running;
                    }
                }
            }
        }
    }

    /// Tells the state of a key; an unused one is sealed.
    pub fn state(&self, key: &IssuedKey) -> KeyState {
        self.table.lock().state(self.clock.now(), key)
    }

    /// Removes outcomes past their lifetime; called every few seconds.
    pub fn expire(&self) {
        self.table.lock().expire(self.clock.now());
        self.ended.notify_waiters();
    }

    /// Evicts outcomes past half their lifetime under memory pressure.
    pub fn evict(&self) -> usize {
        self.table.lock().evict(self.clock.now())
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.table.lock().len()
    }

    fn permit(self: &Arc<Self>, permission: Permission<Issued>) -> KeyPermit<C> {
        KeyPermit {
            keys: Arc::clone(self),
            permission: Some(permission),
        }
    }

    fn refuse(&self, permission: Permission<Issued>, reason: NotRunReason) {
        self.table
            .lock()
            .refuse(self.clock.now(), permission, reason);
        self.ended.notify_waiters();
    }

    fn finish(&self, handed: HandedOver<Issued>, outcome: Outcome) {
        self.table.lock().finish(self.clock.now(), handed, outcome);
        self.ended.notify_waiters();
    }
}

impl<C> KeyPermit<C>
where
    C: Clock,
{
    /// Records the hand-over; call it immediately before the first byte is written.
    pub fn hand_over(mut self) -> Result<KeyRun<C>, NotRunReason> {
        let Some(permission) = self.permission.take() else {
            return Err(NotRunReason::Abandoned);
        };
        let now = self.keys.clock.now();
        let checked = self.keys.table.lock().handed_over(now, permission);
        match checked {
            HandOver::Go(handed) => Ok(KeyRun {
                keys: Arc::clone(&self.keys),
                handed: Some(handed),
            }),
            HandOver::NotRun(reason) => {
                self.keys.ended.notify_waiters();
                Err(reason)
            }
        }
    }

    /// Refuses the request.
    pub fn refuse(mut self, reason: NotRunReason) {
        if let Some(permission) = self.permission.take() {
            self.keys.refuse(permission, reason);
        }
    }
}

impl<C> Drop for KeyPermit<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(permission) = self.permission.take() {
            self.keys.refuse(permission, NotRunReason::Abandoned);
        }
    }
}

impl<C> KeyRun<C>
where
    C: Clock,
{
    /// Proof for the functions that write to a backend server.
    pub fn proof(&self) -> Option<&HandedOver<Issued>> {
        self.handed.as_ref()
    }

    /// Records how the request ended.
    pub fn finish(mut self, outcome: Outcome) {
        if let Some(handed) = self.handed.take() {
            self.keys.finish(handed, outcome);
        }
    }

    /// Allows another dispatch after the backend server stated that it did not run the request.
    pub fn take_back(mut self) -> Option<KeyPermit<C>> {
        let handed = self.handed.take()?;
        let permission = self.keys.table.lock().take_back(handed);
        Some(self.keys.permit(permission))
    }
}

impl<C> Drop for KeyRun<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(handed) = self.handed.take() {
            self.keys.finish(handed, Outcome::Unknown);
        }
    }
}

/// Records of claims in the platform.
pub trait ClaimStore: Send + Sync + 'static {
    /// Creates a record under the condition that none exists at this path.
    ///
    /// `Unavailable` means that the write certainly has no effect, now or later.
    fn create(&self, path: &str, record: ClaimRecord) -> impl Future<Output = CreateResult> + Send;

    /// Reads a record.
    fn read(&self, path: &str) -> impl Future<Output = ReadResult> + Send;

    /// Replaces a record under the condition that it has this version.
    fn update(
        &self,
        path: &str,
        record: ClaimRecord,
        version: u64,
    ) -> impl Future<Output = CreateResult> + Send;
}

/// Claims of caller-generated keys by this daemon.
#[derive(Debug)]
pub struct Claims<S, C> {
    run: DaemonRun,
    clock: Arc<C>,
    store: S,
    budget: Mutex<WriteBudget>,
    numbers: AtomicU64,
}

/// Decision on the arrival of a request with a caller-generated key.
#[derive(Debug)]
pub enum ClaimDecision<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    /// The claim is held, and the request may be dispatched once.
    Run(ClaimPermit<S, C>),
    /// Answer without a dispatch.
    Answer(ClaimAnswer),
}

/// Held claim; dropping it records that the request was not run.
#[derive(Debug)]
pub struct ClaimPermit<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    claim: Option<(Claim<S, C>, Permission<Claimed>)>,
}

/// Claimed request that was handed over; dropping it records an unknown outcome.
#[derive(Debug)]
pub struct ClaimRun<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    claim: Option<(Claim<S, C>, HandedOver<Claimed>)>,
}

#[derive(Debug)]
struct Claim<S, C> {
    claims: Arc<Claims<S, C>>,
    path: String,
    machine: ClaimMachine,
}

impl<S, C> Claims<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    /// Creates the claims of a daemon run in a fleet of this many live members.
    pub fn new(run: DaemonRun, clock: Arc<C>, store: S, members: usize) -> Arc<Self> {
        let budget = WriteBudget::new(clock.now(), CLAIM_WRITES_PER_S, members);
        Arc::new(Self {
            run,
            clock,
            store,
            budget: Mutex::new(budget),
            numbers: AtomicU64::new(0),
        })
    }

    /// Notes a change of the number of live members.
    pub fn set_members(&self, members: usize) {
        let now = self.clock.now();
        self.budget.lock().set_members(now, members);
    }

    /// Claims a key, reading the claim back when the response to its write is lost.
    ///
    /// Dropping the future leaves a claim that nobody holds; the key is then unknown.
    pub async fn claim(
        self: &Arc<Self>,
        customer: CustomerKey,
        key: &str,
        fingerprint: u64,
        attempt: Attempt,
        deadline: Duration,
    ) -> ClaimDecision<S, C> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let mut claim = Claim {
            claims: Arc::clone(self),
            path: claim_path(customer, key),
            machine: ClaimMachine::new(self.run, number, fingerprint, attempt, deadline),
        };
        let now = self.clock.now();
        let mut action = claim.machine.start(now, &mut self.budget.lock());
        loop {
            action = match action {
                ClaimAction::Create(record) => {
                    let result = self.store.create(&claim.path, record).await;
                    claim.machine.written(result)
                }
                ClaimAction::Read => {
                    let result = self.store.read(&claim.path).await;
                    claim.machine.read(self.clock.now(), result)
                }
                ClaimAction::Dispatch(permission) => {
                    return ClaimDecision::Run(ClaimPermit {
                        claim: Some((claim, permission)),
                    });
                }
                ClaimAction::Answer(answer) => return ClaimDecision::Answer(answer),
                ClaimAction::Record(..) | ClaimAction::Nothing => {
                    return ClaimDecision::Answer(ClaimAnswer::Unknown);
                }
            };
        }
    }
}

impl<S, C> Claim<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    /// Records the outcome in the background: the caller's answer does not wait for it.
    fn record(mut self) {
        // Without a runtime the daemon is stopping; readers then see the outcome as unknown.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let mut action = self.machine.unrecorded();
            while let ClaimAction::Record(record, version) = action {
                let store = &self.claims.store;
                let result = store.update(&self.path, record, version).await;
                action = self.machine.written(result);
            }
        });
    }
}

impl<S, C> ClaimPermit<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    /// Checks the deadline; call it immediately before the first byte is written.
    pub fn hand_over(mut self) -> Result<ClaimRun<S, C>, NotRunReason> {
        let Some((mut claim, permission)) = self.claim.take() else {
            return Err(NotRunReason::Abandoned);
        };
        let now = claim.claims.clock.now();
        match claim.machine.handed_over(now, permission) {
            HandOver::Go(handed) => Ok(ClaimRun {
                claim: Some((claim, handed)),
            }),
            HandOver::NotRun(reason) => {
                claim.record();
                Err(reason)
            }
        }
    }
}

impl<S, C> Drop for ClaimPermit<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    fn drop(&mut self) {
        if let Some((mut claim, permission)) = self.claim.take() {
            claim.machine.refuse(permission);
            claim.record();
        }
    }
}

impl<S, C> ClaimRun<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    /// Proof for the functions that write to a backend server.
    pub fn proof(&self) -> Option<&HandedOver<Claimed>> {
        self.claim.as_ref().map(|(_, handed)| handed)
    }

    /// Records how the request ended.
    pub fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    /// Allows another dispatch after the backend server stated that it did not run the request.
    pub fn take_back(mut self) -> Option<ClaimPermit<S, C>> {
        let (mut claim, handed) = self.claim.take()?;
        let permission = claim.machine.take_back(handed);
        Some(ClaimPermit {
            claim: Some((claim, permission)),
        })
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some((mut claim, handed)) = self.claim.take() {
            claim.machine.finish(handed, outcome);
            claim.record();
        }
    }
}

impl<S, C> Drop for ClaimRun<S, C>
where
    S: ClaimStore,
    C: Clock,
{
    fn drop(&mut self) {
        self.end(Outcome::Unknown);
    }
}

/// Path of the claim of a key; hashed, because a key may hold any visible character.
pub fn claim_path(customer: CustomerKey, key: &str) -> String {
    let hash = blake3::hash(key.as_bytes()).to_hex();
    format!("claims/{:016x}/{hash}", customer.0)
}
