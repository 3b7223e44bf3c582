//! Idempotency keys, under which a request runs at most once.
//!
//! Only the daemon run that issued a key permits a request under it to run. A caller-generated key
//! is claimed by a conditional write in the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::claims::{
    Attempt, BeginResult, ClaimAction, ClaimAnswer, ClaimMachine, ClaimRecord, ClaimState, Claimed,
    DispatchCheck, DispatchPermission, Dispatched, Issued, IssuedKey, KEY_TABLE_MAX, KeyState,
    KeyTable, NotRunReason, Outcome, ReadResult, WriteBudget, WriteResult,
};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::DaemonRun;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::body::{self, Body, BodyEnd, WatchedBody};
use crate::headers;
use crate::job::{JobHead, Reply};
use crate::platform::{PlatformClient, PlatformError, WriteOutcome};
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;

/// Writes per second for the claims of the whole fleet. The platform serves several hundred, of
/// which permits and lists need the rest.
const CLAIM_WRITES_PER_S: u32 = 150;

/// Idempotency keys under which this daemon dispatches requests: those that its run issued, and
/// caller-generated ones that it claims.
pub struct IdempotencyKeys<C>
where
    C: Clock,
{
    own_run: DaemonRun,
    clock: Arc<C>,
    platform: PlatformClient,
    table: Mutex<KeyTable>,
    finished: Notify,
    write_budget: Mutex<WriteBudget>,
    next_claim: AtomicU64,
}

/// Dispatched request with a key. Dropping the guard sets the outcome to unknown, unless it is
/// already set.
pub struct KeyDispatchGuard<C>
where
    C: Clock,
{
    keys: Arc<IdempotencyKeys<C>>,
    dispatched: Option<DispatchedKey>,
}

/// Dispatch under an issued key, or under a claim with its state machine and store path.
enum DispatchedKey {
    Issued(Dispatched<Issued>),
    Claimed(Box<ClaimMachine>, Dispatched<Claimed>, String),
}

impl<C> IdempotencyKeys<C>
where
    C: Clock,
{
    /// Creates an empty table, with the fleet's whole write budget until
    /// [`set_members`](Self::set_members) is called.
    pub fn new(own_run: DaemonRun, clock: Arc<C>, platform: PlatformClient) -> Arc<Self> {
        let now = clock.now();
        Arc::new(Self {
            own_run,
            clock,
            platform,
            table: Mutex::new(KeyTable::new(own_run, KEY_TABLE_MAX)),
            finished: Notify::new(),
            write_budget: Mutex::new(WriteBudget::new(now, CLAIM_WRITES_PER_S, 1)),
            next_claim: AtomicU64::new(0),
        })
    }

    /// Issues a prefix to which the caller appends a suffix for each key.
    pub fn issue(&self) -> String {
        self.table.lock().issue(self.clock.now())
    }

    /// Sets the number of live members that share the write budget for claims.
    pub fn set_members(&self, members: usize) {
        self.write_budget
            .lock()
            .set_members(self.clock.now(), members);
    }

    /// Sets issued keys that were not dispatched by their deadline to "not run", and removes those
    /// whose outcome is past its lifetime.
    pub fn expire(&self) {
        self.table.lock().expire(self.clock.now());
    }

    /// State of a key that this daemon run issued, as reported to a caller.
    pub fn state(&self, key: &IssuedKey) -> KeyState {
        self.table.lock().state(self.clock.now(), key)
    }

    /// Takes the only permission to dispatch a request under a key that this daemon run issued.
    ///
    /// Waits until the deadline while another request with the key is running. The error is the
    /// reply to a request that is not dispatched.
    pub async fn begin(
        self: &Arc<Self>,
        key: &IssuedKey,
        head: &JobHead,
    ) -> Result<KeyDispatchGuard<C>, Box<Reply>> {
        let fingerprint = fingerprint(head);
        loop {
            let finished = self.finished.notified();
            let now = self.clock.now();
            let begin_result = self
                .table
                .lock()
                .begin(now, key, fingerprint, head.deadline);
            match begin_result {
                BeginResult::Dispatch(permission) => return self.dispatch(permission),
                BeginResult::InProgress => {
                    let remaining = head.time_left(now);
                    if tokio::time::timeout(remaining, finished).await.is_err() {
                        return refuse(Refusal::unknown(Reason::KeyRunning));
                    }
                }
                BeginResult::Done(status) => return Err(Box::new(Ok(done_response(status)))),
                BeginResult::Unknown => return refuse(Refusal::unknown(Reason::KeyLost)),
                BeginResult::NotRun(reason) => {
                    return refuse(Refusal::not_run(not_run_reason(reason)));
                }
                BeginResult::NotRunConflict => {
                    return refuse(Refusal::not_run(Reason::KeyConflict));
                }
                BeginResult::TableFull => return refuse(Refusal::not_run(Reason::DaemonFull)),
            }
        }
    }

    /// Records the dispatch of a request unless its deadline has passed.
    fn dispatch(
        self: &Arc<Self>,
        permission: DispatchPermission<Issued>,
    ) -> Result<KeyDispatchGuard<C>, Box<Reply>> {
        let dispatched = self
            .table
            .lock()
            .record_dispatch(self.clock.now(), permission);
        match dispatched {
            DispatchCheck::Proceed(dispatched) => Ok(self.guard(DispatchedKey::Issued(dispatched))),
            DispatchCheck::NotRun(reason) => {
                self.finished.notify_waiters();
                refuse(Refusal::not_run(not_run_reason(reason)))
            }
        }
    }

    /// Creates the guard through which the outcome is reported.
    fn guard(self: &Arc<Self>, dispatched: DispatchedKey) -> KeyDispatchGuard<C> {
        KeyDispatchGuard {
            keys: self.clone(),
            dispatched: Some(dispatched),
        }
    }

    /// Claims a caller-generated key in the platform and records the dispatch of its request.
    ///
    /// The error is the reply to a request that is not dispatched.
    pub async fn claim(
        self: &Arc<Self>,
        key: &str,
        head: &JobHead,
    ) -> Result<KeyDispatchGuard<C>, Box<Reply>> {
        let path = claim_path(&head.customer, key);
        let attempt = match head.headers.get(headers::ATTEMPT) {
            Some(value) if value == "first" => Attempt::First,
            _ => Attempt::Repeated,
        };
        let claim_number = self.next_claim.fetch_add(1, Ordering::Relaxed);
        let mut machine = ClaimMachine::new(
            self.own_run,
            claim_number,
            fingerprint(head),
            attempt,
            head.deadline,
        );
        let mut action = machine.start(self.clock.now(), &mut self.write_budget.lock());
        loop {
            action = match action {
                ClaimAction::Create(record) => {
                    let result = write_result(self.platform.create(&path, encode(&record)).await);
                    machine.handle_write_result(result)
                }
                ClaimAction::Read => {
                    let result = self.read_claim(&path).await;
                    machine.handle_read_result(self.clock.now(), result)
                }
                ClaimAction::Dispatch(permission) => {
                    match machine.record_dispatch(self.clock.now(), permission) {
                        DispatchCheck::Proceed(dispatched) => {
                            return Ok(self.guard(DispatchedKey::Claimed(
                                machine.into(),
                                dispatched,
                                path,
                            )));
                        }
                        DispatchCheck::NotRun(reason) => {
                            self.record_outcome(machine, path);
                            return refuse(Refusal::not_run(not_run_reason(reason)));
                        }
                    }
                }
                ClaimAction::Answer(answer) => return Err(Box::new(claim_reply(answer))),
                ClaimAction::UpdateRecord(..) | ClaimAction::Nothing => {
                    return refuse(Refusal::unknown(Reason::PlatformDown));
                }
            };
        }
    }

    /// State of a caller-generated key, read from its claim in the platform.
    pub async fn claimed_state(&self, customer: &str, key: &str) -> KeyState {
        match self.read_claim(&claim_path(customer, key)).await {
            ReadResult::Found(record, _) => match record.state {
                ClaimState::Done(status) => KeyState::Done(status),
                ClaimState::NotRun => KeyState::NotRun,
                ClaimState::Held if record.holder == self.own_run => KeyState::Running,
                ClaimState::Held | ClaimState::Unknown => KeyState::Unknown,
            },
            // The key may be in use even without a record, as its claim may still be in flight.
            ReadResult::Absent | ReadResult::Unavailable => KeyState::Unknown,
        }
    }

    /// Reads the record of a claim. A malformed one counts as unavailable.
    async fn read_claim(&self, path: &str) -> ReadResult {
        match self.platform.read(path).await {
            Ok(None) => ReadResult::Absent,
            Ok(Some(object)) => match serde_json::from_slice(&object.value) {
                Ok(record) => ReadResult::Found(record, object.version),
                Err(_) => ReadResult::Unavailable,
            },
            Err(_) => ReadResult::Unavailable,
        }
    }

    /// Writes the outcome of a claim to the platform in the background.
    fn record_outcome(self: &Arc<Self>, mut machine: ClaimMachine, path: String) {
        let keys = self.clone();
        tokio::spawn(async move {
            let mut action = machine.pending_record();
            while let ClaimAction::UpdateRecord(record, version) = action {
                let write = keys.platform.update(&path, version, encode(&record)).await;
                action = machine.handle_write_result(write_result(write));
            }
        });
    }

    /// Records the outcome of a dispatched request.
    fn finish(self: &Arc<Self>, dispatched: DispatchedKey, outcome: Outcome) {
        match dispatched {
            DispatchedKey::Issued(dispatched) => {
                self.table
                    .lock()
                    .finish(self.clock.now(), dispatched, outcome);
                self.finished.notify_waiters();
            }
            DispatchedKey::Claimed(mut machine, dispatched, path) => {
                machine.finish(dispatched, outcome);
                self.record_outcome(*machine, path);
            }
        }
    }
}

impl<C> KeyDispatchGuard<C>
where
    C: Clock,
{
    /// Sets the outcome from a refusal, or once the body of a response ends.
    pub fn track_reply(mut self, reply: Reply) -> Reply {
        let response = match reply {
            Ok(response) => response,
            Err(refusal) => {
                self.set_outcome(match refusal.outcome {
                    RefusalOutcome::NotRun => Outcome::NotRun,
                    RefusalOutcome::Unknown => Outcome::Unknown,
                });
                return Err(refusal);
            }
        };
        let status = response.status().as_u16();
        Ok(response.map(move |inner| {
            let watched = WatchedBody::new(inner, move |end| match end {
                BodyEnd::Complete => self.set_outcome(Outcome::Done(status)),
                BodyEnd::Truncated | BodyEnd::Dropped => self.set_outcome(Outcome::Unknown),
            });
            watched.boxed_unsync()
        }))
    }

    fn set_outcome(&mut self, outcome: Outcome) {
        if let Some(dispatched) = self.dispatched.take() {
            self.keys.finish(dispatched, outcome);
        }
    }
}

impl<C> Drop for KeyDispatchGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.set_outcome(Outcome::Unknown);
    }
}

fn refuse<T>(refusal: Refusal) -> Result<T, Box<Reply>> {
    Err(Box::new(Err(refusal)))
}

/// Response to a repeated request. It has no body, as that was sent in reply to the first one.
fn done_response(status: u16) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(headers::OUTCOME, HeaderValue::from_static(headers::DONE));
    response
}

/// Reason sent to the caller for a request that was not run.
fn not_run_reason(reason: NotRunReason) -> Reason {
    match reason {
        NotRunReason::DeadlinePassed => Reason::Deadline,
        NotRunReason::Conflict => Reason::KeyConflict,
        NotRunReason::OverBudget => Reason::ClaimBudget,
        NotRunReason::Outage => Reason::PlatformDown,
        NotRunReason::TableFull => Reason::DaemonFull,
        NotRunReason::Refused | NotRunReason::Abandoned | NotRunReason::SealedByQuery => {
            Reason::KeyNotRun
        }
    }
}

/// Converts the answer of a claim to a reply.
fn claim_reply(answer: ClaimAnswer) -> Reply {
    match answer {
        ClaimAnswer::Done(status) => Ok(done_response(status)),
        ClaimAnswer::NotRun(reason) => Err(Refusal::not_run(not_run_reason(reason))),
        ClaimAnswer::Held(_) => Err(Refusal::unknown(Reason::KeyRunning)),
        ClaimAnswer::Unknown => Err(Refusal::unknown(Reason::PlatformDown)),
    }
}

/// Converts the result of a write to the platform; an error means that it had no effect.
fn write_result(result: Result<WriteOutcome, PlatformError>) -> WriteResult {
    match result {
        Ok(WriteOutcome::Written(version)) => WriteResult::Written(version),
        Ok(WriteOutcome::Conflict) => WriteResult::Conflict,
        Ok(WriteOutcome::Unknown) => WriteResult::Unknown,
        Err(_) => WriteResult::Unavailable,
    }
}

fn encode(record: &ClaimRecord) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

/// Hash that identifies a request, by which the use of its key for another request is detected. The
/// body is not included because it is streamed.
fn fingerprint(head: &JobHead) -> u64 {
    let identity = format!("{}\n{}\n{}", head.customer, head.method, head.target);
    let hash = blake3::hash(identity.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// Store path of a claim. It includes the customer, because callers of different customers may
/// choose the same key.
fn claim_path(customer: &str, key: &str) -> String {
    let identity = format!("{customer}\n{key}");
    format!("claims/{}", blake3::hash(identity.as_bytes()).to_hex())
}

/// Interval at which outcomes past their lifetime are removed.
pub const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
