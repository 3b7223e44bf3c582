//! Keys, claims and grants of a daemon against fakes of the store and the transport.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::claims::*;
use corianderworks_decision::clock::{Clock, SystemClock};
use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, Incarnation};
use corianderworks_decision::limits::{Allowance, AskFailure, GrantAnswer, GrantAsk, PeerState};
use parking_lot::Mutex;

#[path = "../src/grants.rs"]
mod grants;
#[path = "../src/keys.rs"]
mod keys;

use grants::{GrantHome, GrantTransport, Grants, LimitRefusal};
use keys::{ClaimDecision, ClaimStore, Claims, KeyDecision, Keys};

const RUN: DaemonRun = DaemonRun {
    daemon: DaemonKey(1),
    incarnation: Incarnation(1),
};
const CUSTOMER: CustomerKey = CustomerKey(5);

fn keys() -> (Arc<Keys<SystemClock>>, Arc<SystemClock>, IssuedKey) {
    let clock = Arc::new(SystemClock::new());
    let keys = Keys::new(RUN, Arc::clone(&clock));
    let key = (keys.issue() + "k").parse().unwrap();
    (keys, clock, key)
}

/// Guards against a repeated arrival that runs, or does not get the outcome of the first one.
#[tokio::test]
async fn repeated_arrival_waits_for_the_outcome() {
    let (keys, clock, key) = keys();
    let deadline = clock.now() + Duration::from_secs(5);
    let KeyDecision::Run(permit) = keys.begin(&key, 1, deadline).await else {
        panic!("the first arrival must run");
    };
    let repeat = tokio::spawn({
        let (keys, key) = (Arc::clone(&keys), key.clone());
        async move { keys.begin(&key, 1, deadline).await }
    });
    tokio::task::yield_now().await;
    let run = permit.hand_over().unwrap();
    assert!(run.proof().is_some());
    let short = clock.now() + Duration::from_millis(10);
    let impatient = keys.begin(&key, 1, short).await;
    assert!(matches!(impatient, KeyDecision::Running));
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert!(!repeat.is_finished());
    run.finish(Outcome::Done(201));
    assert!(matches!(repeat.await.unwrap(), KeyDecision::Done(201)));
}

/// Guards against a cancelled task that leaves its key running for ever.
#[tokio::test]
async fn dropped_permits_and_runs_end_the_key() {
    for (handed, state) in [(false, KeyState::NotRun), (true, KeyState::Unknown)] {
        let (keys, clock, key) = keys();
        let deadline = clock.now() + Duration::from_secs(5);
        let KeyDecision::Run(permit) = keys.begin(&key, 1, deadline).await else {
            panic!("the first arrival must run");
        };
        if handed {
            drop(permit.hand_over().unwrap());
        } else {
            drop(permit);
        }
        assert_eq!(keys.state(&key), state);
    }
}

/// Store with one record that loses the responses to creates on demand.
#[derive(Debug, Default)]
struct Store {
    record: Mutex<Option<(ClaimRecord, u64)>>,
    lose_creates: bool,
}

impl ClaimStore for Arc<Store> {
    async fn create(&self, _: &str, record: ClaimRecord) -> CreateResult {
        let mut held = self.record.lock();
        if held.is_some() {
            return CreateResult::Conflict;
        }
        *held = Some((record, 1));
        if self.lose_creates {
            CreateResult::Unknown
        } else {
            CreateResult::Written(1)
        }
    }

    async fn read(&self, _: &str) -> ReadResult {
        let held = *self.record.lock();
        held.map_or(ReadResult::Absent, |(record, version)| {
            ReadResult::Found(record, version)
        })
    }

    async fn update(&self, _: &str, record: ClaimRecord, version: u64) -> CreateResult {
        let mut held = self.record.lock();
        match *held {
            Some((_, known)) if known == version => {
                *held = Some((record, version + 1));
                CreateResult::Written(version + 1)
            }
            _ => CreateResult::Conflict,
        }
    }
}

/// Guards against a claim that is run by two daemons, or whose outcome is not recorded.
#[tokio::test]
async fn claims_are_read_back_and_recorded() {
    use ClaimState::{Done, NotRun, Unknown};
    let rows = [
        (false, Some(Outcome::Done(201)), Done(201)),
        (true, Some(Outcome::Done(201)), Done(201)),
        (true, Some(Outcome::Unknown), Unknown),
        (false, None, NotRun),
    ];
    for (lose_creates, outcome, recorded) in rows {
        let store = Arc::new(Store {
            lose_creates,
            ..Store::default()
        });
        let clock = Arc::new(SystemClock::new());
        let deadline = clock.now() + Duration::from_secs(5);
        let at = |daemon| {
            let run = DaemonRun {
                daemon: DaemonKey(daemon),
                ..RUN
            };
            Claims::new(run, Arc::clone(&clock), Arc::clone(&store), 1)
        };
        let (first, second) = (at(1), at(2));
        let claim = first.claim(CUSTOMER, "order/17", 1, Attempt::First, deadline);
        let ClaimDecision::Run(permit) = claim.await else {
            panic!("the first arrival must run");
        };
        let repeat = second.claim(CUSTOMER, "order/17", 1, Attempt::Repeated, deadline);
        let ClaimDecision::Answer(answer) = repeat.await else {
            panic!("the claim was taken over");
        };
        assert_eq!(answer, ClaimAnswer::Held(RUN));
        match outcome {
            Some(outcome) => permit.hand_over().unwrap().finish(outcome),
            None => drop(permit),
        }
        tokio::task::yield_now().await;
        let state = store.record.lock().map(|(record, _)| record.state);
        assert_eq!(state, Some(recorded));
    }
}

/// Limit homes in this process, or none that answers.
struct Homes(Option<GrantHome<SystemClock>>);

impl GrantTransport for Homes {
    fn ask(
        &self,
        _: DaemonKey,
        ask: GrantAsk,
    ) -> impl Future<Output = Result<GrantAnswer, AskFailure>> + Send {
        let home = self.0.as_ref();
        let answer = home.and_then(|home| home.answer(ask, allowance(1), PeerState::Dead));
        async move {
            tokio::task::yield_now().await;
            match answer {
                Some(answer) => Ok(answer),
                None => std::future::pending().await,
            }
        }
    }
}

fn allowance(concurrency: u32) -> Allowance {
    Allowance {
        rate_per_s: 100,
        concurrency,
    }
}

/// Guards against a burst within the plan that is refused while an ask is in flight, and
/// against places that are not released.
#[tokio::test]
async fn requests_wait_for_an_ask() {
    let clock = Arc::new(SystemClock::new());
    let homes = Homes(Some(GrantHome::new(Arc::clone(&clock))));
    let grants = Grants::new(clock, homes);
    // A new home saves nothing for 200 ms, and then 25 requests at half of the rate.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let admit = |limit| {
        let grants = Arc::clone(&grants);
        let homes = [Some(DaemonKey(1)), Some(DaemonKey(2))];
        tokio::spawn(async move { grants.admit(CUSTOMER, allowance(limit), homes, 2).await })
    };
    let burst: Vec<_> = (0..10).map(|_| admit(10)).collect();
    let mut guards = Vec::new();
    for request in burst {
        guards.push(request.await.unwrap().expect("within the plan"));
    }
    let over = admit(10).await.unwrap();
    assert_eq!(over.err(), Some(LimitRefusal::OverConcurrency));
    guards.clear();
    assert!(admit(10).await.unwrap().is_ok());
}

/// Guards against requests that hang, or are all refused, while no home answers.
#[tokio::test]
async fn fallback_when_no_home_answers() {
    let clock = Arc::new(SystemClock::new());
    let grants = Grants::new(Arc::clone(&clock), Homes(None));
    let homes = [Some(DaemonKey(1)), Some(DaemonKey(2))];
    let admit = || grants.admit(CUSTOMER, allowance(9), homes, 2);
    assert!(admit().await.is_ok(), "one request on credit");
    assert!(admit().await.is_ok(), "fallback after the ask timed out");
}

/// Guards against fields that are lost between a machine and its message.
#[test]
fn messages_keep_every_field() {
    let ask = GrantAsk {
        customer: CUSTOMER,
        credit: 1,
        wanted: 2,
    };
    let answer = GrantAnswer {
        allowed: 3,
        lifetime_ms: 4,
        retry_after_ms: 5,
    };
    assert_eq!(grants::ask_from_wire(grants::ask_to_wire(ask)), ask);
    assert_eq!(
        grants::answer_from_wire(grants::answer_to_wire(answer)),
        answer
    );
}
