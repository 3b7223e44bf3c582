//! Idempotency keys: at-most-once execution at the daemon that issued a key, or under a claim.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::claims::{
    Attempt, BeginResult, ClaimAction, ClaimAnswer, ClaimMachine, ClaimRecord, ClaimState, Claimed,
    DispatchCheck, Dispatched, Issued, IssuedKey, KEY_TABLE_MAX, KeyState, KeyTable, NotRunReason,
    Outcome, Permission, ReadResult, WriteBudget, WriteResult,
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

/// Writes per second that claims of the whole fleet may use, out of the platform's several
/// hundred; permits and lists need the rest.
const CLAIM_WRITES_PER_S: u32 = 150;

/// Keys that this daemon decides on.
pub struct Keys<C>
where
    C: Clock,
{
    me: DaemonRun,
    clock: Arc<C>,
    platform: PlatformClient,
    table: Mutex<KeyTable>,
    ended: Notify,
    budget: Mutex<WriteBudget>,
    claims: AtomicU64,
}

/// Dispatch of a request with a key; a guard that is dropped leaves the outcome unknown.
pub struct KeyGuard<C>
where
    C: Clock,
{
    keys: Arc<Keys<C>>,
    handed: Option<Handed>,
}

enum Handed {
    Issued(Dispatched<Issued>),
    Claimed(Box<ClaimMachine>, Dispatched<Claimed>, String),
}

impl<C> Keys<C>
where
    C: Clock,
{
    /// Starts with an empty table.
    pub fn new(me: DaemonRun, clock: Arc<C>, platform: PlatformClient) -> Arc<Self> {
        let now = clock.now();
        Arc::new(Self {
            me,
            clock,
            platform,
            table: Mutex::new(KeyTable::new(me, KEY_TABLE_MAX)),
            ended: Notify::new(),
            budget: Mutex::new(WriteBudget::new(now, CLAIM_WRITES_PER_S, 1)),
            claims: AtomicU64::new(0),
        })
    }

    /// Issues a key prefix.
    pub fn issue(&self) -> String {
        self.table.lock().issue(self.clock.now())
    }

    /// Sets the number of members that share the write budget.
    pub fn set_members(&self, members: usize) {
        self.budget.lock().set_members(self.clock.now(), members);
    }

    /// Removes outcomes past their lifetime.
    pub fn expire(&self) {
        self.table.lock().expire(self.clock.now());
    }

    /// State of a key that this run issued.
    pub fn state(&self, key: &IssuedKey) -> KeyState {
        self.table.lock().state(self.clock.now(), key)
    }

    /// Takes the only permission for a key that this run issued and hands the request over.
    pub async fn begin(
        self: &Arc<Self>,
        key: &IssuedKey,
        head: &JobHead,
    ) -> Result<KeyGuard<C>, Box<Reply>> {
        let fingerprint = fingerprint(head);
        loop {
            let ended = self.ended.notified();
            let now = self.clock.now();
            let begun = self
                .table
                .lock()
                .begin(now, key, fingerprint, head.deadline);
            match begun {
                BeginResult::Dispatch(permission) => return self.hand_over(permission),
                BeginResult::InProgress => {
                    let left = head.time_left(now);
                    if tokio::time::timeout(left, ended).await.is_err() {
                        return refuse(Refusal::unknown(Reason::KeyRunning));
                    }
                }
                BeginResult::Done(status) => return Err(Box::new(Ok(done(status)))),
                BeginResult::Unknown => return refuse(Refusal::unknown(Reason::KeyLost)),
                BeginResult::NotRun(reason) => return refuse(Refusal::not_run(not_run(reason))),
                BeginResult::NotRunConflict => {
                    return refuse(Refusal::not_run(Reason::KeyConflict));
                }
                BeginResult::TableFull => return refuse(Refusal::not_run(Reason::DaemonFull)),
            }
        }
    }

    fn hand_over(
        self: &Arc<Self>,
        permission: Permission<Issued>,
    ) -> Result<KeyGuard<C>, Box<Reply>> {
        let handed = self
            .table
            .lock()
            .record_dispatch(self.clock.now(), permission);
        match handed {
            DispatchCheck::Proceed(handed) => Ok(self.guard(Handed::Issued(handed))),
            DispatchCheck::NotRun(reason) => {
                self.ended.notify_waiters();
                refuse(Refusal::not_run(not_run(reason)))
            }
        }
    }

    fn guard(self: &Arc<Self>, handed: Handed) -> KeyGuard<C> {
        KeyGuard {
            keys: self.clone(),
            handed: Some(handed),
        }
    }

    /// Claims a caller-generated key in the platform and hands the request over.
    pub async fn claim(
        self: &Arc<Self>,
        key: &str,
        head: &JobHead,
    ) -> Result<KeyGuard<C>, Box<Reply>> {
        let path = claim_path(&head.customer, key);
        let attempt = match head.headers.get(headers::ATTEMPT) {
            Some(value) if value == "first" => Attempt::First,
            _ => Attempt::Repeated,
        };
        let number = self.claims.fetch_add(1, Ordering::Relaxed);
        let mut machine =
            ClaimMachine::new(self.me, number, fingerprint(head), attempt, head.deadline);
        let mut action = machine.start(self.clock.now(), &mut self.budget.lock());
        loop {
            action = match action {
                ClaimAction::Create(record) => {
                    let result = written(self.platform.create(&path, encode(&record)).await);
                    machine.handle_write_result(result)
                }
                ClaimAction::Read => {
                    let result = self.read_claim(&path).await;
                    machine.handle_read_result(self.clock.now(), result)
                }
                ClaimAction::Dispatch(permission) => {
                    match machine.record_dispatch(self.clock.now(), permission) {
                        DispatchCheck::Proceed(handed) => {
                            return Ok(self.guard(Handed::Claimed(machine.into(), handed, path)));
                        }
                        DispatchCheck::NotRun(reason) => {
                            self.record(machine, path);
                            return refuse(Refusal::not_run(not_run(reason)));
                        }
                    }
                }
                ClaimAction::Answer(answer) => return Err(Box::new(claim_reply(answer))),
                ClaimAction::Record(..) | ClaimAction::Nothing => {
                    return refuse(Refusal::unknown(Reason::PlatformDown));
                }
            };
        }
    }

    /// State of a caller-generated key.
    pub async fn claimed_state(&self, customer: &str, key: &str) -> KeyState {
        match self.read_claim(&claim_path(customer, key)).await {
            ReadResult::Found(record, _) => match record.state {
                ClaimState::Done(status) => KeyState::Done(status),
                ClaimState::NotRun => KeyState::NotRun,
                ClaimState::Held if record.holder == self.me => KeyState::Running,
                ClaimState::Held | ClaimState::Unknown => KeyState::Unknown,
            },
            // A claim may still be on its way.
            ReadResult::Absent | ReadResult::Unavailable => KeyState::Unknown,
        }
    }

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

    /// Records the outcome of a claim in the background.
    fn record(self: &Arc<Self>, mut machine: ClaimMachine, path: String) {
        let keys = self.clone();
        tokio::spawn(async move {
            let mut action = machine.pending_record();
            while let ClaimAction::Record(record, version) = action {
                let write = keys.platform.update(&path, version, encode(&record)).await;
                action = machine.handle_write_result(written(write));
            }
        });
    }

    fn finish(self: &Arc<Self>, handed: Handed, outcome: Outcome) {
        match handed {
            Handed::Issued(handed) => {
                self.table.lock().finish(self.clock.now(), handed, outcome);
                self.ended.notify_waiters();
            }
            Handed::Claimed(mut machine, handed, path) => {
                machine.finish(handed, outcome);
                self.record(*machine, path);
            }
        }
    }
}

impl<C> KeyGuard<C>
where
    C: Clock,
{
    /// Ties the outcome of the key to the end of the reply.
    pub fn track_reply(mut self, reply: Reply) -> Reply {
        let response = match reply {
            Ok(response) => response,
            Err(refusal) => {
                self.end(match refusal.outcome {
                    RefusalOutcome::NotRun => Outcome::NotRun,
                    RefusalOutcome::Unknown => Outcome::Unknown,
                });
                return Err(refusal);
            }
        };
        let status = response.status().as_u16();
        Ok(response.map(move |inner| {
            let watched = WatchedBody::new(inner, move |end| match end {
                BodyEnd::Complete => self.end(Outcome::Done(status)),
                BodyEnd::Truncated | BodyEnd::Dropped => self.end(Outcome::Unknown),
            });
            watched.boxed_unsync()
        }))
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(handed) = self.handed.take() {
            self.keys.finish(handed, outcome);
        }
    }
}

impl<C> Drop for KeyGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.end(Outcome::Unknown);
    }
}

fn refuse<T>(refusal: Refusal) -> Result<T, Box<Reply>> {
    Err(Box::new(Err(refusal)))
}

/// Response for a request that already ran; the body was given to the first arrival.
fn done(status: u16) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    response
        .headers_mut()
        .insert(headers::OUTCOME, HeaderValue::from_static(headers::DONE));
    response
}

fn not_run(reason: NotRunReason) -> Reason {
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

fn claim_reply(answer: ClaimAnswer) -> Reply {
    match answer {
        ClaimAnswer::Done(status) => Ok(done(status)),
        ClaimAnswer::NotRun(reason) => Err(Refusal::not_run(not_run(reason))),
        ClaimAnswer::Held(_) => Err(Refusal::unknown(Reason::KeyRunning)),
        ClaimAnswer::Unknown => Err(Refusal::unknown(Reason::PlatformDown)),
    }
}

fn written(result: Result<WriteOutcome, PlatformError>) -> WriteResult {
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

/// Identity of a request apart from its body, which is streamed.
fn fingerprint(head: &JobHead) -> u64 {
    let identity = format!("{}\n{}\n{}", head.customer, head.method, head.target);
    let hash = blake3::hash(identity.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// Path of a claim; the customer is part of it, since callers choose the key.
fn claim_path(customer: &str, key: &str) -> String {
    let identity = format!("{customer}\n{key}");
    format!("claims/{}", blake3::hash(identity.as_bytes()).to_hex())
}

/// Time between two looks for outcomes past their lifetime.
pub const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
