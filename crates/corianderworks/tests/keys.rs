//! Idempotency keys of a daemon: what a repeated request gets while the first one runs, after it has
//! ended, and after it was abandoned.

use std::sync::Arc;
use std::time::Duration;

use corianderworks::body;
use corianderworks::headers;
use corianderworks::job::{JobHead, Reply};
use corianderworks::keys::{IdempotencyKeys, KeyDispatchGuard};
use corianderworks::platform::PlatformClient;
use corianderworks::reasons::{Reason, RefusalOutcome};
use corianderworks_decision::claims::{IssuedKey, KeyState};
use corianderworks_decision::clock::{Clock, SystemClock};
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation};
use corianderworks_standin::platform::{PlatformFault, PlatformSettings, PlatformStandIn};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{sleep, timeout};

/// Time until the deadline of requests that don't wait for it.
const LONG: Duration = Duration::from_secs(10);
/// Time limit for a state that is written in the background.
const WRITTEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the write budget allows another claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);
const CUSTOMER: &str = "customer-0";

struct Daemon {
    keys: Arc<IdempotencyKeys<SystemClock>>,
    clock: Arc<SystemClock>,
    platform: PlatformStandIn,
}

impl Daemon {
    async fn start() -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let platform = PlatformStandIn::start(listen, PlatformSettings::default())
            .await
            .unwrap();
        let clock = Arc::new(SystemClock::new());
        let run = DaemonRun {
            daemon: DaemonKey::of("entry-0"),
            incarnation: Incarnation(1),
        };
        let client = PlatformClient::new(platform.address());
        let keys = IdempotencyKeys::new(run, clock.clone(), client);
        Self {
            keys,
            clock,
            platform,
        }
    }

    fn issue(&self) -> IssuedKey {
        format!("{}1", self.keys.issue()).parse().unwrap()
    }

    /// Head of a request that may run until its deadline.
    fn head(&self, time_left: Duration) -> JobHead {
        let mut headers = HeaderMap::new();
        headers.insert(headers::ATTEMPT, HeaderValue::from_static("first"));
        JobHead {
            service: "ordering".into(),
            customer: CUSTOMER.into(),
            route: "orders".into(),
            method: Method::POST,
            target: "/ordering/orders".parse().unwrap(),
            headers,
            idempotent: false,
            priority: 1,
            deadline: self.clock.now() + time_left,
            key: None,
        }
    }

    async fn claimed_state_becomes(&self, key: &str, expected: KeyState) {
        let written = timeout(WRITTEN_TIMEOUT, async {
            while self.keys.claimed_state(CUSTOMER, key).await != expected {
                sleep(Duration::from_millis(10)).await;
            }
        });
        let state = self.keys.claimed_state(CUSTOMER, key).await;
        assert!(written.await.is_ok(), "{state:?}, not {expected:?}");
    }
}

/// Ends a dispatched request with a complete response.
async fn complete(guard: KeyDispatchGuard<SystemClock>) {
    let mut response = Response::new(body::full("done"));
    *response.status_mut() = StatusCode::CREATED;
    let response = guard.track_reply(Ok(response)).unwrap();
    response.into_body().collect().await.unwrap();
}

/// Returns the refusal that a request got in place of its dispatch.
fn refusal(result: Result<KeyDispatchGuard<SystemClock>, Box<Reply>>) -> (RefusalOutcome, Reason) {
    match result.map_err(|reply| *reply) {
        Err(Err(refusal)) => (refusal.outcome, refusal.reason),
        Err(Ok(response)) => panic!("answered with {}", response.status()),
        Ok(_) => panic!("dispatched a second time"),
    }
}

/// The repeat must neither run nor wait for its deadline once the outcome is known.
#[tokio::test]
async fn outcome_of_a_request_answers_the_repeat_that_waits_for_it() {
    let daemon = Daemon::start().await;
    let key = daemon.issue();
    let guard = daemon.keys.begin(&key, &daemon.head(LONG)).await;
    let (keys, head, repeated_key) = (daemon.keys.clone(), daemon.head(LONG), key.clone());
    let repeat = tokio::spawn(async move { keys.begin(&repeated_key, &head).await });
    sleep(Duration::from_millis(100)).await;
    assert!(!repeat.is_finished(), "the first request still runs");
    complete(guard.unwrap_or_else(|_| panic!("the key is new"))).await;
    let answered = timeout(LONG / 2, repeat).await.expect("an answer at once");
    let reply = answered.unwrap().map_err(|reply| *reply);
    match reply {
        Err(Ok(response)) => assert_eq!(response.status(), StatusCode::CREATED),
        _ => panic!("the repeat gets the outcome of the first request"),
    }
}

/// A repeat that can't wait longer must not be told that the request did not run.
#[tokio::test]
async fn repeat_of_a_running_request_waits_until_its_deadline_only() {
    let daemon = Daemon::start().await;
    let key = daemon.issue();
    let first = daemon.keys.begin(&key, &daemon.head(LONG)).await;
    let head = daemon.head(Duration::from_millis(300));
    let repeat = timeout(LONG / 2, daemon.keys.begin(&key, &head)).await;
    let repeat = repeat.expect("an answer at the deadline");
    assert_eq!(
        refusal(repeat),
        (RefusalOutcome::Unknown, Reason::KeyRunning)
    );
    assert!(daemon.clock.now() >= head.deadline, "it waits");
    assert!(first.is_ok());
}

/// A caller that leaves drops its request, which a backend server may be running.
#[tokio::test]
async fn abandoned_request_counts_as_one_that_may_have_run() {
    let daemon = Daemon::start().await;
    let key = daemon.issue();
    let head = daemon.head(LONG);
    drop(daemon.keys.begin(&key, &head).await);
    assert_eq!(daemon.keys.state(&key), KeyState::Unknown);
    let repeat = timeout(LONG / 2, daemon.keys.begin(&key, &head)).await;
    let repeat = repeat.expect("an answer at once");
    assert_eq!(refusal(repeat), (RefusalOutcome::Unknown, Reason::KeyLost));
}

/// Another daemon learns the outcome from the platform only.
#[tokio::test]
async fn outcome_of_a_claimed_key_is_written_to_the_platform() {
    let daemon = Daemon::start().await;
    let claim = daemon.keys.claim("order-1", &daemon.head(LONG)).await;
    let guard = claim.unwrap_or_else(|_| panic!("the key is new"));
    let running = daemon.keys.claimed_state(CUSTOMER, "order-1").await;
    assert_eq!(running, KeyState::Running);
    complete(guard).await;
    daemon
        .claimed_state_becomes("order-1", KeyState::Done(201))
        .await;
}

#[tokio::test]
async fn abandoned_claim_is_written_to_the_platform() {
    let daemon = Daemon::start().await;
    drop(daemon.keys.claim("order-1", &daemon.head(LONG)).await);
    daemon
        .claimed_state_becomes("order-1", KeyState::Unknown)
        .await;
}

/// The write took effect: without reading it back, the request would be refused although nobody else
/// can run it.
#[tokio::test]
async fn claim_whose_response_was_lost_is_read_and_dispatched_once() {
    let daemon = Daemon::start().await;
    daemon.platform.set_fault(PlatformFault {
        lost_response_share: 1.0,
        ..PlatformFault::default()
    });
    let head = daemon.head(LONG);
    let claim = daemon.keys.claim("order-1", &head).await;
    assert!(claim.is_ok(), "{:?}", refusal(claim));
    // The caller doesn't say that this is its first attempt.
    let mut repeated_head = daemon.head(LONG);
    repeated_head.headers.clear();
    sleep(CLAIM_INTERVAL).await;
    let repeat = daemon.keys.claim("order-1", &repeated_head).await;
    assert_eq!(
        refusal(repeat),
        (RefusalOutcome::Unknown, Reason::KeyRunning)
    );
    assert!(claim.is_ok());
}
