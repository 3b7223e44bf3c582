//! Faults of keys and claims, in tables.

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

/// Guards against keys that are decided by the wrong daemon or have two spellings.
#[test]
fn key_routing() {
    let ok = "cw-0000000000000002.9-1f-";
    let long = "x".repeat(SUFFIX_MAX_BYTES);
    #[rustfmt::skip]
    let rows = [
        ("cw-0000000000000001.7-1f-a".to_owned(), KeyRoute::Here),
        ("cw-0000000000000001.6-1f-a".into(), KeyRoute::OwnerGone(run(1, 6))),
        ("cw-0000000000000001.8-1f-a".into(), KeyRoute::OwnerGone(run(1, 8))),
        (format!("{ok}a-b-c"), KeyRoute::Relay(OTHER)),
        (format!("{ok}{long}"), KeyRoute::Relay(OTHER)),
        ("cw-0000000000000002.8-1f-a".into(), KeyRoute::OwnerGone(run(2, 8))),
        ("cw-0000000000000002.a-1f-a".into(), KeyRoute::Relay(run(2, 10))),
        ("cw-0000000000000003.1-1f-a".into(), KeyRoute::OwnerGone(run(3, 1))),
        ("order-17".into(), KeyRoute::NeedsClaim),
        ("x".repeat(CALLER_KEY_MAX_BYTES), KeyRoute::NeedsClaim),
        ("x".repeat(CALLER_KEY_MAX_BYTES + 1), KeyRoute::Malformed),
        (String::new(), KeyRoute::Malformed),
        ("order 17".into(), KeyRoute::Malformed),
        (ok.into(), KeyRoute::Malformed),
        (format!("{ok}{long}x"), KeyRoute::Malformed),
        (format!("{ok}a b"), KeyRoute::Malformed),
        (format!("{ok}\u{e9}"), KeyRoute::Malformed),
        ("cw-2.9-1f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.9-01f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.9-1F-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002.+9-1f-a".into(), KeyRoute::Malformed),
        ("cw-0000000000000002-1f-a".into(), KeyRoute::Malformed),
        ("cw-".into(), KeyRoute::Malformed),
    ];
    for (key, expected) in rows {
        let live = |daemon| (daemon == OTHER.daemon).then_some(OTHER.incarnation);
        assert_eq!(route(&key, OWN, live), expected, "{key}");
    }
}

/// Step of a request with one key at its issuing daemon.
#[derive(Clone, Copy)]
enum Step {
    Begin(u64),
    Hand,
    Refuse,
    Drop,
    TakeBack,
    Finish(Outcome),
    State,
    Expire,
    Evict,
    Other,
    Wait(u64),
    Restart,
}

/// Runs a script against a table with room for one key and returns what it answered.
fn script(steps: &[Step]) -> String {
    let mut table = KeyTable::new(OWN, 1);
    let mut now = s(1);
    let key: IssuedKey = (table.issue(now) + "k").parse().unwrap();
    let mut permission = None;
    let mut handed = None;
    let mut answers = Vec::new();
    for step in steps {
        match *step {
            Step::Begin(fingerprint) => {
                answers.push(match table.begin(now, &key, fingerprint, now + s(10)) {
                    Begin::Dispatch(given) => {
                        permission = Some(given);
                        "dispatch".into()
                    }
                    other => format!("{other:?}"),
                });
            }
            Step::Hand => answers.push(match table.handed_over(now, permission.take().unwrap()) {
                HandOver::Go(proof) => {
                    handed = Some(proof);
                    "go".into()
                }
                HandOver::NotRun(reason) => format!("NotRun({reason:?})"),
            }),
            Step::Refuse => {
                table.refuse(now, permission.take().unwrap(), NotRunReason::Refused);
            }
            Step::Drop => drop(permission.take()),
            Step::TakeBack => permission = Some(table.take_back(handed.take().unwrap())),
            Step::Finish(outcome) => table.finish(now, handed.take().unwrap(), outcome),
            Step::State => answers.push(format!("is {:?}", table.state(now, &key))),
            Step::Expire => table.expire(now),
            Step::Evict => answers.push(format!("evicted {}", table.evict(now))),
            Step::Other => {
                let other: IssuedKey = (table.issue(now) + "o").parse().unwrap();
                answers.push(match table.begin(now, &other, 9, now + s(10)) {
                    Begin::Dispatch(_) => "other dispatch".into(),
                    refused => format!("other {refused:?}"),
                });
            }
            Step::Wait(seconds) => now += s(seconds),
            Step::Restart => table = KeyTable::new(run(1, 8), 1),
        }
    }
    answers.join(", ")
}

/// Guards against a second run, a false "not run", and lost outcomes of issued keys.
#[test]
fn issued_key_faults() {
    use Step::*;
    let done = Finish(Outcome::Done(201));
    #[rustfmt::skip]
    let rows: &[(&str, &[Step], &str)] = &[
        ("repeat while running, then after", &[Begin(1), Hand, Begin(1), done, Begin(1), State],
            "dispatch, go, InProgress, Done(201), is Done(201)"),
        ("repeat before the hand-over", &[Begin(1), Begin(1), State], "dispatch, InProgress, is Running"),
        ("same key, different request", &[Begin(1), Hand, Begin(2)], "dispatch, go, NotRunConflict"),
        ("refused key is sealed", &[Begin(1), Refuse, Begin(1), State],
            "dispatch, NotRun(Refused), is NotRun"),
        ("pause past the deadline", &[Begin(1), Wait(10), Hand, Begin(1)],
            "dispatch, NotRun(TooLate), NotRun(TooLate)"),
        ("repeat seals a late permission", &[Begin(1), Wait(10), Begin(1), Hand],
            "dispatch, NotRun(TooLate), NotRun(TooLate)"),
        ("lost permission", &[Begin(1), Drop, Wait(9), State, Wait(1), State],
            "dispatch, is Running, is NotRun"),
        ("expiry of a lost permission frees its place", &[Begin(1), Drop, Wait(10), Expire, Wait(600), Other],
            "dispatch, other dispatch"),
        ("lost answer", &[Begin(1), Hand, Finish(Outcome::Unknown), Begin(1), State],
            "dispatch, go, Unknown, is Unknown"),
        ("backend server states not run", &[Begin(1), Hand, Finish(Outcome::NotRun), Begin(1)],
            "dispatch, go, NotRun(Refused)"),
        ("taken back and tried elsewhere", &[Begin(1), Hand, TakeBack, Begin(1), Hand, done, Begin(1)],
            "dispatch, go, InProgress, go, Done(201)"),
        ("taken back past the deadline", &[Begin(1), Hand, Wait(10), TakeBack, Hand],
            "dispatch, go, NotRun(TooLate)"),
        ("state asked before a late arrival", &[State, Begin(1)], "is NotRun, NotRun(Asked)"),
        ("late first use", &[Wait(300), Begin(1), State], "Unknown, is Unknown"),
        ("use just in time", &[Wait(299), Begin(1)], "dispatch"),
        ("running key is never removed", &[Begin(1), Hand, Wait(4000), Expire, Evict, Begin(1)],
            "dispatch, go, evicted 0, InProgress"),
        ("outcome kept for its lifetime", &[Begin(1), Hand, done, Wait(599), Expire, Begin(1)],
            "dispatch, go, Done(201)"),
        ("expired outcome is not run again", &[Begin(1), Hand, done, Wait(600), Expire, Begin(1), State],
            "dispatch, go, Unknown, is Unknown"),
        ("outcome is not evicted early", &[Begin(1), Hand, done, Wait(299), Evict, Begin(1)],
            "dispatch, go, evicted 0, Done(201)"),
        ("evicted outcome is not run again", &[Begin(1), Hand, done, Wait(300), Evict, Begin(1)],
            "dispatch, go, evicted 1, Unknown"),
        ("full table closes the prefix", &[Other, Begin(1), Wait(299), State, Begin(1)],
            "other dispatch, Full, is NotRun, NotRun(Full)"),
        ("state of an unused key in a full table", &[Other, State, Wait(290), Begin(1)],
            "other dispatch, is NotRun, NotRun(Full)"),
        ("a full table makes room by eviction", &[Begin(1), Hand, done, Wait(300), Other, Begin(1)],
            "dispatch, go, other dispatch, Unknown"),
        ("restart", &[Begin(1), Hand, Restart, Begin(1), State], "dispatch, go, Unknown, is Unknown"),
        ("restart before use", &[Restart, Begin(1), State], "Unknown, is Unknown"),
    ];
    for (name, steps, expected) in rows {
        assert_eq!(script(steps), *expected, "{name}");
    }
}

/// Guards against two callers with the same prefix and against keys that were never issued.
#[test]
fn prefixes_are_unique_and_issued() {
    let mut table = KeyTable::new(OWN, 10);
    let (a, b) = (table.issue(s(1)), table.issue(s(1)));
    assert_ne!(a, b);
    let forged: IssuedKey = (IssuedKey::prefix(OWN, 5_000_000) + "k").parse().unwrap();
    assert!(matches!(
        table.begin(s(6), &forged, 1, s(9)),
        Begin::Unknown
    ));
}

/// Event of a claim.
#[derive(Clone, Copy)]
enum On {
    Start,
    OverBudget,
    Late,
    Write(CreateResult),
    Own,
    Found(ClaimState),
    FoundDifferent,
    Absent,
    Down,
    Hand,
    HandLate,
    Refuse,
    Finish(Outcome),
}

fn claim_script(attempt: Attempt, events: &[On]) -> String {
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
    let (mut permission, mut handed, mut answers) = (None, None, Vec::new());
    for event in events {
        let action = match *event {
            On::Start => machine.start(s(1), &mut budget),
            On::Late => machine.start(s(10), &mut budget),
            On::OverBudget => {
                assert!(budget.take(s(1)));
                machine.start(s(1), &mut budget)
            }
            On::Write(result) => machine.written(result),
            On::Own => machine.read(s(1), ReadResult::Found(own, 3)),
            On::Found(state) => {
                machine.read(s(1), ReadResult::Found(ClaimRecord { state, ..other }, 3))
            }
            On::FoundDifferent => machine.read(
                s(1),
                ReadResult::Found(
                    ClaimRecord {
                        fingerprint: 2,
                        ..other
                    },
                    3,
                ),
            ),
            On::Absent => machine.read(s(1), ReadResult::Absent),
            On::Down => machine.read(s(1), ReadResult::Unavailable),
            On::Hand | On::HandLate => {
                let now = if matches!(event, On::Hand) {
                    s(9)
                } else {
                    s(10)
                };
                match machine.handed_over(now, permission.take().unwrap()) {
                    HandOver::Go(proof) => handed = Some(proof),
                    HandOver::NotRun(reason) => answers.push(format!("{reason:?}")),
                }
                machine.unrecorded()
            }
            On::Refuse => {
                machine.refuse(permission.take().unwrap());
                machine.unrecorded()
            }
            On::Finish(outcome) => {
                machine.finish(handed.take().unwrap(), outcome);
                machine.unrecorded()
            }
        };
        answers.push(match action {
            ClaimAction::Dispatch(given) => {
                permission = Some(given);
                "dispatch".into()
            }
            ClaimAction::Create(record) => format!("create {:?}", record.state),
            ClaimAction::Record(record, version) => format!("record {:?} v{version}", record.state),
            ClaimAction::Answer(answer) => format!("{answer:?}"),
            ClaimAction::Read => "read".into(),
            ClaimAction::Nothing => "-".into(),
        });
    }
    answers.join(", ")
}

/// Guards against a claim that is taken over, run twice, or falsely answered with "not run".
#[test]
fn claim_faults() {
    use Attempt::{First, Repeated};
    use CreateResult::{Conflict, Unavailable, Unknown, Written};
    use On::*;
    let done = Finish(Outcome::Done(201));
    #[rustfmt::skip]
    let rows: &[(&str, Attempt, &[On], &str)] = &[
        ("created and recorded", Repeated, &[Start, Write(Written(1)), Hand, done, Write(Written(2))],
            "create Held, dispatch, -, record Done(201) v1, -"),
        ("lost response, own record", Repeated, &[Start, Write(Unknown), Own], "create Held, read, dispatch"),
        ("lost response, other record", First, &[Start, Write(Unknown), Found(ClaimState::Held)],
            "create Held, read, Held(DaemonRun { daemon: DaemonKey(2), incarnation: Incarnation(9) })"),
        ("lost response, no record, first", First, &[Start, Write(Unknown), Absent],
            "create Held, read, NotRun(Outage)"),
        ("lost response, no record, repeated", Repeated, &[Start, Write(Unknown), Absent, Own],
            "create Held, read, Unknown, -"),
        ("lost response, then an outage", First, &[Start, Write(Unknown), Down, Down, Down, Own],
            "create Held, read, read, read, NotRun(Outage), -"),
        ("conflict, done", Repeated, &[Start, Write(Conflict), Found(ClaimState::Done(201))],
            "create Held, read, Done(201)"),
        ("conflict, not run", Repeated, &[Start, Write(Conflict), Found(ClaimState::NotRun)],
            "create Held, read, NotRun(Refused)"),
        ("conflict, unknown", First, &[Start, Write(Conflict), Found(ClaimState::Unknown)],
            "create Held, read, Unknown"),
        ("conflict, different request", First, &[Start, Write(Conflict), FoundDifferent],
            "create Held, read, NotRun(Conflict)"),
        ("conflict, then an outage", First, &[Start, Write(Conflict), Down, Down, Down],
            "create Held, read, read, read, Unknown"),
        ("conflict, then no record", First, &[Start, Write(Conflict), Absent], "create Held, read, Unknown"),
        ("outage, first", First, &[Start, Write(Unavailable)], "create Held, NotRun(Outage)"),
        ("outage, repeated", Repeated, &[Start, Write(Unavailable)], "create Held, Unknown"),
        ("over budget, first", First, &[OverBudget], "NotRun(OverBudget)"),
        ("over budget, repeated", Repeated, &[OverBudget], "Unknown"),
        ("late, first", First, &[Late, Start], "NotRun(TooLate), -"),
        ("pause after the claim", Repeated, &[Start, Write(Written(1)), HandLate],
            "create Held, dispatch, TooLate, record NotRun v1"),
        ("refused after the claim", Repeated, &[Start, Write(Written(1)), Refuse],
            "create Held, dispatch, record NotRun v1"),
        ("repeated write response", Repeated, &[Start, Write(Written(1)), Write(Written(1)), Own],
            "create Held, dispatch, -, -"),
        ("outcome lost, written after all", First,
            &[Start, Write(Written(1)), Hand, done, Write(Unknown), Write(Conflict)],
            "create Held, dispatch, -, record Done(201) v1, record Done(201) v1, -"),
        ("outcome in an outage", First,
            &[Start, Write(Written(1)), Hand, done, Write(Unavailable), Write(Unavailable), Write(Unavailable)],
            "create Held, dispatch, -, record Done(201) v1, record Done(201) v1, record Done(201) v1, -"),
    ];
    for (name, attempt, events, expected) in rows {
        assert_eq!(claim_script(*attempt, events), *expected, "{name}");
    }
}

/// Guards against claims that together exceed the platform's write rate.
#[test]
fn write_budget_is_shared() {
    let mut budget = WriteBudget::new(s(0), 200, 100);
    let mut taken = 0;
    for ms in 0..10_000 {
        taken += u64::from(budget.take(Duration::from_millis(ms)));
    }
    // A share of 2 writes/s is one claim per second, and one claim at the start.
    assert!((10..=11).contains(&taken), "{taken} claims in 10 s");
    budget.set_members(s(10), 1);
    assert!((0..100).all(|_| budget.take(s(11))) && !budget.take(s(11)));
}
