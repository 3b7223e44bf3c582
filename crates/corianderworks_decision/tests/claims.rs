//! Table-driven tests of idempotency keys and claims under faults.

use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};

const OWN: DaemonRun = run(1, 7);
const OTHER: DaemonRun = run(2, 9);

const fn run(daemon: u64, incarnation: u64) -> DaemonRun {
    DaemonRun {
        daemon: DaemonKey(daemon),
        incarnation: Incarnation(incarnation),
    }
}

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against keys that are routed to the wrong daemon, and against a second accepted
/// spelling of a key.
#[test]
fn key_routing() {
    let relayed_prefix = "cw-0000000000000002.9-1f-";
    let longest_suffix = "x".repeat(SUFFIX_MAX_BYTES);
    #[rustfmt::skip]
    let rows = [
        ("cw-0000000000000001.7-1f-a".to_owned(), KeyRoute::Local),
        ("cw-0000000000000001.6-1f-a".into(), KeyRoute::OwnerEnded(run(1, 6))),
        ("cw-0000000000000001.8-1f-a".into(), KeyRoute::OwnerEnded(run(1, 8))),
        (format!("{relayed_prefix}a-b-c"), KeyRoute::Relay(OTHER)),
        (format!("{relayed_prefix}{longest_suffix}"), KeyRoute::Relay(OTHER)),
        ("cw-0000000000000002.8-1f-a".into(), KeyRoute::OwnerEnded(run(2, 8))),
        ("cw-0000000000000002.a-1f-a".into(), KeyRoute::Relay(run(2, 10))),
        ("cw-0000000000000003.1-1f-a".into(), KeyRoute::OwnerEnded(run(3, 1))),
        ("order-17".into(), KeyRoute::NeedsClaim),
        ("x".repeat(CALLER_KEY_MAX_BYTES), KeyRoute::NeedsClaim),
        ("x".repeat(CALLER_KEY_MAX_BYTES + 1), KeyRoute::Malformed),
        (String::new(), KeyRoute::Malformed),
        ("order 17".into(), KeyRoute::Malformed),
        (relayed_prefix.into(), KeyRoute::Malformed),
        (format!("{relayed_prefix}{longest_suffix}x"), KeyRoute::Malformed),
        (format!("{relayed_prefix}a b"), KeyRoute::Malformed),
        (format!("{relayed_prefix}\u{e9}"), KeyRoute::Malformed),
        ("cw-2.9-1f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.9-01f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.9-1F-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.+9-1f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002-1f-a".into(), KeyRoute::Malformed),
        ("cw-".into(), KeyRoute::Malformed),
    ];
    for (key, expected) in rows {
        let live_incarnation = |daemon| (daemon == OTHER.daemon).then_some(OTHER.incarnation);
        assert_eq!(route(&key, OWN, live_incarnation), expected, "{key}");
    }
}

/// Step of a request with an issued key. Every step but `OtherKey` uses the same key.
#[derive(Clone, Copy)]
enum Step {
    Begin(u64),
    RecordDispatch,
    Refuse,
    Drop,
    Reissue,
    Finish(Outcome),
    State,
    Expire,
    Evict,
    OtherKey,
    Wait(u64),
    Restart,
}

/// Applies the steps to a table with a capacity of one key and returns its answers.
fn run_key_steps(steps: &[Step]) -> String {
    let mut table = KeyTable::new(OWN, 1);
    let mut now = s(1);
    let key: IssuedKey = (table.issue(now) + "k").parse().unwrap();
    let mut permission = None;
    let mut dispatched = None;
    let mut answers = Vec::new();
    for step in steps {
        match *step {
            Step::Begin(fingerprint) => {
                answers.push(match table.begin(now, &key, fingerprint, now + s(10)) {
                    BeginResult::Dispatch(issued) => {
                        permission = Some(issued);
                        "dispatch".into()
                    }
                    other => format!("{other:?}"),
                });
            }
            Step::RecordDispatch => answers.push(
                match table.record_dispatch(now, permission.take().unwrap()) {
                    DispatchCheck::Proceed(proof) => {
                        dispatched = Some(proof);
                        "proceed".into()
                    }
                    DispatchCheck::NotRun(reason) => format!("NotRun({reason:?})"),
                },
            ),
            Step::Refuse => {
                table.refuse(now, permission.take().unwrap(), NotRunReason::Refused);
            }
            Step::Drop => drop(permission.take()),
            Step::Reissue => {
                permission = Some(table.reissue_permission(dispatched.take().unwrap()))
            }
            Step::Finish(outcome) => table.finish(now, dispatched.take().unwrap(), outcome),
            Step::State => answers.push(format!("is {:?}", table.state(now, &key))),
            Step::Expire => table.expire(now),
            Step::Evict => answers.push(format!("evicted {}", table.evict(now))),
            Step::OtherKey => {
                let other: IssuedKey = (table.issue(now) + "o").parse().unwrap();
                answers.push(match table.begin(now, &other, 9, now + s(10)) {
                    BeginResult::Dispatch(_) => "other dispatch".into(),
                    refused => format!("other {refused:?}"),
                });
            }
            Step::Wait(seconds) => now += s(seconds),
            Step::Restart => table = KeyTable::new(run(1, 8), 1),
        }
    }
    answers.join(", ")
}

/// Guards against a second run, a false "not run" and a lost outcome of an issued key.
#[test]
fn issued_key_faults() {
    use Step::*;
    let done = Finish(Outcome::Done(201));
    #[rustfmt::skip]
    let rows: &[(&str, &[Step], &str)] = &[
        ("repeat while running, then after", &[Begin(1), RecordDispatch, Begin(1), done, Begin(1), State],
            "dispatch, proceed, InProgress, Done(201), is Done(201)"),
        ("repeat before the hand-over", &[Begin(1), Begin(1), State], "dispatch, InProgress, is Running"),
        ("same key, different request", &[Begin(1), RecordDispatch, Begin(2)], "dispatch, proceed, NotRunConflict"),
        ("refused key is sealed", &[Begin(1), Refuse, Begin(1), State],
            "dispatch, NotRun(Refused), is NotRun"),
        ("pause past the deadline", &[Begin(1), Wait(10), RecordDispatch, Begin(1)],
            "dispatch, NotRun(DeadlinePassed), NotRun(DeadlinePassed)"),
        ("repeat seals a late permission", &[Begin(1), Wait(10), Begin(1), RecordDispatch],
            "dispatch, NotRun(DeadlinePassed), NotRun(DeadlinePassed)"),
        ("lost permission", &[Begin(1), Drop, Wait(9), State, Wait(1), State],
            "dispatch, is Running, is NotRun"),
        ("expiry of a lost permission frees its entry", &[Begin(1), Drop, Wait(10), Expire, Wait(600), OtherKey],
            "dispatch, other dispatch"),
        ("lost response", &[Begin(1), RecordDispatch, Finish(Outcome::Unknown), Begin(1), State],
            "dispatch, proceed, Unknown, is Unknown"),
        ("backend server states not run", &[Begin(1), RecordDispatch, Finish(Outcome::NotRun), Begin(1)],
            "dispatch, proceed, NotRun(Refused)"),
        ("permission reissued for another server",
            &[Begin(1), RecordDispatch, Reissue, Begin(1), RecordDispatch, done, Begin(1)],
            "dispatch, proceed, InProgress, proceed, Done(201)"),
        ("permission reissued past the deadline", &[Begin(1), RecordDispatch, Wait(10), Reissue, RecordDispatch],
            "dispatch, proceed, NotRun(DeadlinePassed)"),
        ("state queried before a late arrival", &[State, Begin(1)], "is NotRun, NotRun(SealedByQuery)"),
        ("first use after the window", &[Wait(300), Begin(1), State], "Unknown, is Unknown"),
        ("first use just before the window ends", &[Wait(299), Begin(1)], "dispatch"),
        ("running key is never removed", &[Begin(1), RecordDispatch, Wait(4000), Expire, Evict, Begin(1)],
            "dispatch, proceed, evicted 0, InProgress"),
        ("outcome kept for its lifetime", &[Begin(1), RecordDispatch, done, Wait(599), Expire, Begin(1)],
            "dispatch, proceed, Done(201)"),
        ("expired outcome is not run again", &[Begin(1), RecordDispatch, done, Wait(600), Expire, Begin(1), State],
            "dispatch, proceed, Unknown, is Unknown"),
        ("outcome is not evicted early", &[Begin(1), RecordDispatch, done, Wait(299), Evict, Begin(1)],
            "dispatch, proceed, evicted 0, Done(201)"),
        ("evicted outcome is not run again", &[Begin(1), RecordDispatch, done, Wait(300), Evict, Begin(1)],
            "dispatch, proceed, evicted 1, Unknown"),
        ("full table closes the prefix", &[OtherKey, Begin(1), Wait(299), State, Begin(1)],
            "other dispatch, TableFull, is NotRun, NotRun(TableFull)"),
        ("state of an unused key in a full table", &[OtherKey, State, Wait(290), Begin(1)],
            "other dispatch, is NotRun, NotRun(TableFull)"),
        ("a full table evicts an outcome", &[Begin(1), RecordDispatch, done, Wait(300), OtherKey, Begin(1)],
            "dispatch, proceed, other dispatch, Unknown"),
        ("restart", &[Begin(1), RecordDispatch, Restart, Begin(1), State], "dispatch, proceed, Unknown, is Unknown"),
        ("restart before use", &[Restart, Begin(1), State], "Unknown, is Unknown"),
    ];
    for (name, steps, expected) in rows {
        assert_eq!(run_key_steps(steps), *expected, "{name}");
    }
}

/// Guards against two callers that receive the same prefix, and against acceptance of keys that
/// were never issued.
#[test]
fn prefixes_are_unique_and_issued() {
    let mut table = KeyTable::new(OWN, 10);
    let (a, b) = (table.issue(s(1)), table.issue(s(1)));
    assert_ne!(a, b);
    let forged: IssuedKey = (IssuedKey::prefix(OWN, 5_000_000) + "k").parse().unwrap();
    assert!(matches!(
        table.begin(s(6), &forged, 1, s(9)),
        BeginResult::Unknown
    ));
}

/// Call of the claim machine, or result that the platform returns to it.
#[derive(Clone, Copy)]
enum ClaimEvent {
    Start,
    OverBudget,
    StartLate,
    Write(WriteResult),
    FoundOwn,
    Found(ClaimState),
    FoundDifferent,
    Absent,
    ReadUnavailable,
    RecordDispatch,
    RecordDispatchLate,
    Refuse,
    Finish(Outcome),
}

fn run_claim_events(attempt: Attempt, events: &[ClaimEvent]) -> String {
    let mut machine = ClaimMachine::new(OWN, 4, 1, attempt, s(10));
    let own = ClaimRecord {
        holder: OWN,
        number: 4,
        fingerprint: 1,
        state: ClaimState::Held,
    };
    let other = ClaimRecord {
        holder: OTHER,
        ..own
    };
    let mut budget = WriteBudget::new(s(0), 200, 430);
    let (mut permission, mut dispatched, mut answers) = (None, None, Vec::new());
    for event in events {
        let action = match *event {
            ClaimEvent::Start => machine.start(s(1), &mut budget),
            ClaimEvent::StartLate => machine.start(s(10), &mut budget),
            ClaimEvent::OverBudget => {
                assert!(budget.take(s(1)));
                machine.start(s(1), &mut budget)
            }
            ClaimEvent::Write(result) => machine.handle_write_result(result),
            ClaimEvent::FoundOwn => machine.handle_read_result(s(1), ReadResult::Found(own, 3)),
            ClaimEvent::Found(state) => machine
                .handle_read_result(s(1), ReadResult::Found(ClaimRecord { state, ..other }, 3)),
            ClaimEvent::FoundDifferent => machine.handle_read_result(
                s(1),
                ReadResult::Found(
                    ClaimRecord {
                        fingerprint: 2,
                        ..other
                    },
                    3,
                ),
            ),
            ClaimEvent::Absent => machine.handle_read_result(s(1), ReadResult::Absent),
            ClaimEvent::ReadUnavailable => {
                machine.handle_read_result(s(1), ReadResult::Unavailable)
            }
            ClaimEvent::RecordDispatch | ClaimEvent::RecordDispatchLate => {
                let now = if matches!(event, ClaimEvent::RecordDispatch) {
                    s(9)
                } else {
                    s(10)
                };
                match machine.record_dispatch(now, permission.take().unwrap()) {
                    DispatchCheck::Proceed(proof) => dispatched = Some(proof),
                    DispatchCheck::NotRun(reason) => answers.push(format!("{reason:?}")),
                }
                machine.pending_record()
            }
            ClaimEvent::Refuse => {
                machine.refuse(permission.take().unwrap());
                machine.pending_record()
            }
            ClaimEvent::Finish(outcome) => {
                machine.finish(dispatched.take().unwrap(), outcome);
                machine.pending_record()
            }
        };
        answers.push(match action {
            ClaimAction::Dispatch(issued) => {
                permission = Some(issued);
                "dispatch".into()
            }
            ClaimAction::Create(record) => format!("create {:?}", record.state),
            ClaimAction::UpdateRecord(record, version) => {
                format!("record {:?} v{version}", record.state)
            }
            ClaimAction::Answer(answer) => format!("{answer:?}"),
            ClaimAction::Read => "read".into(),
            ClaimAction::Nothing => "-".into(),
        });
    }
    answers.join(", ")
}

/// Guards against a claim that changes its holder, runs twice, or is falsely answered with
/// "not run".
#[test]
fn claim_faults() {
    use Attempt::{First, Repeated};
    use ClaimEvent::*;
    use WriteResult::{Conflict, Unavailable, Unknown, Written};
    let done = Finish(Outcome::Done(201));
    #[rustfmt::skip]
    let rows: &[(&str, Attempt, &[ClaimEvent], &str)] = &[
        ("created and recorded", Repeated, &[Start, Write(Written(1)), RecordDispatch, done, Write(Written(2))],
            "create Held, dispatch, -, record Done(201) v1, -"),
        ("lost response, own record", Repeated, &[Start, Write(Unknown), FoundOwn], "create Held, read, dispatch"),
        ("lost response, other record", First, &[Start, Write(Unknown), Found(ClaimState::Held)],
            "create Held, read, Held(DaemonRun { daemon: DaemonKey(2), incarnation: Incarnation(9) })"),
        ("lost response, no record, first", First, &[Start, Write(Unknown), Absent],
            "create Held, read, NotRun(Outage)"),
        ("lost response, no record, repeated", Repeated, &[Start, Write(Unknown), Absent, FoundOwn],
            "create Held, read, Unknown, -"),
        ("lost response, then an outage", First,
            &[Start, Write(Unknown), ReadUnavailable, ReadUnavailable, ReadUnavailable, FoundOwn],
            "create Held, read, read, read, NotRun(Outage), -"),
        ("conflict, done", Repeated, &[Start, Write(Conflict), Found(ClaimState::Done(201))],
            "create Held, read, Done(201)"),
        ("conflict, not run", Repeated, &[Start, Write(Conflict), Found(ClaimState::NotRun)],
            "create Held, read, NotRun(Refused)"),
        ("conflict, unknown", First, &[Start, Write(Conflict), Found(ClaimState::Unknown)],
            "create Held, read, Unknown"),
        ("conflict, different request", First, &[Start, Write(Conflict), FoundDifferent],
            "create Held, read, NotRun(Conflict)"),
        ("conflict, then an outage", First,
            &[Start, Write(Conflict), ReadUnavailable, ReadUnavailable, ReadUnavailable],
            "create Held, read, read, read, Unknown"),
        ("conflict, then no record", First, &[Start, Write(Conflict), Absent], "create Held, read, Unknown"),
        ("outage, first", First, &[Start, Write(Unavailable)], "create Held, NotRun(Outage)"),
        ("outage, repeated", Repeated, &[Start, Write(Unavailable)], "create Held, Unknown"),
        ("over budget, first", First, &[OverBudget], "NotRun(OverBudget)"),
        ("over budget, repeated", Repeated, &[OverBudget], "Unknown"),
        ("past the deadline, first", First, &[StartLate, Start], "NotRun(DeadlinePassed), -"),
        ("pause after the claim", Repeated, &[Start, Write(Written(1)), RecordDispatchLate],
            "create Held, dispatch, DeadlinePassed, record NotRun v1"),
        ("refused after the claim", Repeated, &[Start, Write(Written(1)), Refuse],
            "create Held, dispatch, record NotRun v1"),
        ("repeated write response", Repeated, &[Start, Write(Written(1)), Write(Written(1)), FoundOwn],
            "create Held, dispatch, -, -"),
        ("response to the outcome lost, outcome written", First,
            &[Start, Write(Written(1)), RecordDispatch, done, Write(Unknown), Write(Conflict)],
            "create Held, dispatch, -, record Done(201) v1, record Done(201) v1, -"),
        ("outcome in an outage", First,
            &[Start, Write(Written(1)), RecordDispatch, done, Write(Unavailable), Write(Unavailable), Write(Unavailable)],
            "create Held, dispatch, -, record Done(201) v1, record Done(201) v1, record Done(201) v1, -"),
    ];
    for (name, attempt, events, expected) in rows {
        assert_eq!(run_claim_events(*attempt, events), *expected, "{name}");
    }
}

/// Guards against members whose claims together exceed the write rate of the fleet.
#[test]
fn write_budget_is_shared() {
    let mut budget = WriteBudget::new(s(0), 200, 100);
    let mut taken = 0;
    for ms in 0..10_000 {
        taken += u64::from(budget.take(Duration::from_millis(ms)));
    }
    // A share of 2 writes/s allows one claim per second, after one claim at the start.
    assert!((10..=11).contains(&taken), "{taken} claims in 10 s");
    budget.set_members(s(10), 1);
    assert!((0..100).all(|_| budget.take(s(11))) && !budget.take(s(11)));
}
