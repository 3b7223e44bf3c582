//! Load balancing of an edge daemon with failing, slow and full backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::load_balancer::{
    Candidates, Evidence, LoadBalancer, Query, RelativeLatency,
};
use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SERVICE: &str = "ledger";

fn entry(id: &str, domain: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        revision: 1,
        started_unix_ms: 1_000,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn add(servers: &mut Servers, id: &str, domain: &str) -> ServerKey {
    match servers.upsert(entry(id, domain), Duration::ZERO) {
        Change::Added(key) => key,
        other => panic!("{other:?}"),
    }
}

fn query(may_retry: bool) -> Query<'static> {
    Query {
        service: SERVICE,
        typical_latency: at_ms(300),
        domain: "a",
        may_retry,
        candidates: Candidates::Except(&[]),
    }
}

fn observe(
    load_balancer: &mut LoadBalancer,
    servers: &Servers,
    key: ServerKey,
    evidence: Evidence,
    at: Duration,
) {
    let server = servers.get(key).expect("server is listed");
    load_balancer.observe((key, server), evidence, at);
}

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_failure_diverts_requests_until_it_decays() {
    let mut servers = Servers::new();
    let keys = [add(&mut servers, "s1", "a"), add(&mut servers, "s2", "a")];
    let mut load_balancer = LoadBalancer::new();
    for key in keys {
        observe(
            &mut load_balancer,
            &servers,
            key,
            Evidence::Success(RelativeLatency(100)),
            at_ms(1),
        );
    }
    observe(
        &mut load_balancer,
        &servers,
        keys[0],
        Evidence::Failure,
        at_ms(100),
    );
    let choice = load_balancer
        .choose(&servers, query(false), at_ms(110), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, keys[1]);
    // Without further observations the failing probability returns to the base rate.
    for _ in 0..3 {
        load_balancer.attempt_started(keys[1], at_ms(200));
    }
    let choice = load_balancer
        .choose(&servers, query(false), at_ms(60_000), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, keys[0]);
}

#[test]
fn a_failing_server_is_used_when_all_others_are_overloaded() {
    let mut servers = Servers::new();
    let failing = add(&mut servers, "s1", "a");
    let healthy = add(&mut servers, "s2", "a");
    let mut load_balancer = LoadBalancer::new();
    observe(
        &mut load_balancer,
        &servers,
        healthy,
        Evidence::Success(RelativeLatency(100)),
        at_ms(1),
    );
    observe(
        &mut load_balancer,
        &servers,
        failing,
        Evidence::Failure,
        at_ms(1),
    );
    observe(
        &mut load_balancer,
        &servers,
        failing,
        Evidence::Failure,
        at_ms(2),
    );
    load_balancer.set_peer_in_flight(healthy, 60, at_ms(1));
    let choice = load_balancer
        .choose(&servers, query(false), at_ms(10), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, failing);
}

#[test]
fn requests_stay_in_their_domain_until_it_is_overloaded() {
    let mut servers = Servers::new();
    let near = add(&mut servers, "near", "a");
    let far = add(&mut servers, "far", "b");
    let mut load_balancer = LoadBalancer::new();
    for key in [near, far] {
        observe(
            &mut load_balancer,
            &servers,
            key,
            Evidence::Success(RelativeLatency(100)),
            at_ms(1),
        );
    }
    let chosen = |load_balancer: &LoadBalancer| {
        load_balancer
            .choose(&servers, query(false), at_ms(10), || 0.5)
            .map(|c| c.key)
    };
    load_balancer.set_peer_in_flight(near, 3, at_ms(1));
    assert_eq!(chosen(&load_balancer), Some(near));
    load_balancer.set_peer_in_flight(near, 9, at_ms(1));
    assert_eq!(chosen(&load_balancer), Some(far));
}

#[test]
fn a_refusal_counts_as_a_failure_only_if_the_server_has_free_slots() {
    let mut servers = Servers::new();
    let key = add(&mut servers, "s1", "a");
    let mut load_balancer = LoadBalancer::new();
    load_balancer.set_peer_in_flight(key, 4, at_ms(1));
    observe(&mut load_balancer, &servers, key, Evidence::Shed, at_ms(5));
    let when_full = load_balancer
        .choose(&servers, query(false), at_ms(6), || 0.5)
        .expect("a server");
    assert!(when_full.failing_probability < 0.1, "{when_full:?}");
    load_balancer.set_peer_in_flight(key, 0, at_ms(1));
    observe(&mut load_balancer, &servers, key, Evidence::Shed, at_ms(7));
    let with_free_slots = load_balancer
        .choose(&servers, query(false), at_ms(8), || 0.5)
        .expect("a server");
    assert!(
        with_free_slots.failing_probability > 0.3,
        "{with_free_slots:?}"
    );
}

/// Simulates a service whose servers fail independently for some seconds each. Returns the
/// share of failed requests.
fn simulate<F>(seed: u64, mut choose: F) -> f64
where
    F: FnMut(&mut LoadBalancer, &Servers, Duration, &mut Pcg64) -> ServerKey,
{
    let mut random = Pcg64::seed_from_u64(seed);
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..10)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut load_balancer = LoadBalancer::new();
    let mut fails_until = [Duration::ZERO; 10];
    let mut running: Vec<(Duration, ServerKey, bool)> = Vec::new();
    let (mut failed, mut total) = (0, 0);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(120) {
        now += at_ms(25);
        for until in &mut fails_until {
            // Each server fails for 2.7 s of every 9 s on average.
            if *until < now && random.random::<f64>() < 0.025 / 6.3 {
                *until = now + at_ms(2_700);
            }
        }
        running.retain(|(done_at, key, fails)| {
            if *done_at > now {
                return true;
            }
            load_balancer.attempt_ended(*key);
            let evidence = match fails {
                true => Evidence::Failure,
                false => Evidence::Success(RelativeLatency(100)),
            };
            observe(&mut load_balancer, &servers, *key, evidence, now);
            false
        });
        let key = choose(&mut load_balancer, &servers, now, &mut random);
        let index = keys.iter().position(|k| *k == key).expect("a known server");
        let fails = fails_until[index] > now && random.random::<f64>() < 0.9;
        load_balancer.attempt_started(key, now);
        let duration = if fails { at_ms(2) } else { at_ms(300) };
        running.push((now + duration, key, fails));
        total += 1;
        failed += u32::from(fails);
    }
    f64::from(failed) / f64::from(total)
}

#[test]
fn fewer_requests_fail_than_with_least_loaded_balancing() {
    for seed in 1..=5 {
        let with_evidence = simulate(seed, |load_balancer, servers, now, random| {
            let choice = load_balancer.choose(servers, query(false), now, || random.random());
            choice.expect("a server").key
        });
        // Least-loaded balancing, which ignores failures, as the daemon did it before.
        let least_loaded = simulate(seed, |load_balancer, servers, _, random| {
            let keys: Vec<_> = servers.of_service(SERVICE).map(|(k, _)| k).collect();
            let mut loads: Vec<_> = keys
                .into_iter()
                .map(|k| (load_balancer.own_in_flight(k), random.random::<u32>(), k))
                .collect();
            loads.sort();
            loads[0].2
        });
        assert!(
            with_evidence < least_loaded / 4.0 && with_evidence < 0.05,
            "seed {seed}: {with_evidence} against {least_loaded}"
        );
    }
}

#[test]
fn partial_failure_spreads_requests_to_all_servers_within_two_seconds() {
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..6)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut load_balancer = LoadBalancer::new();
    for key in &keys {
        observe(
            &mut load_balancer,
            &servers,
            *key,
            Evidence::Failure,
            at_ms(1),
        );
    }
    let mut used = std::collections::HashSet::new();
    for i in 0..76_u64 {
        let now = at_ms(5_000 + i * 26);
        let choice = load_balancer
            .choose(&servers, query(false), now, || 0.5)
            .expect("a server");
        used.insert(choice.key);
        load_balancer.attempt_started(choice.key, now);
        load_balancer.attempt_ended(choice.key);
        let evidence = match i % 9 {
            0 => Evidence::Failure,
            _ => Evidence::Success(RelativeLatency(100)),
        };
        observe(&mut load_balancer, &servers, choice.key, evidence, now);
    }
    assert_eq!(used.len(), keys.len());
}

#[test]
fn a_burst_of_failures_spreads_requests_to_idle_servers_within_two_seconds() {
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..6)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut load_balancer = LoadBalancer::new();
    for key in &keys {
        observe(
            &mut load_balancer,
            &servers,
            *key,
            Evidence::Success(RelativeLatency(100)),
            at_ms(1),
        );
    }
    let mut used = std::collections::HashSet::new();
    // 81 requests in 2 s, of which 9 consecutive ones fail, after several seconds without a
    // failure.
    for i in 0..324_u64 {
        let now = at_ms(5_000 + i * 25);
        let choice = load_balancer
            .choose(&servers, query(false), now, || 0.5)
            .expect("a server");
        load_balancer.attempt_started(choice.key, now);
        load_balancer.attempt_ended(choice.key);
        let fails = (260..269).contains(&i);
        let evidence = match fails {
            true => Evidence::Failure,
            false => Evidence::Success(RelativeLatency(100)),
        };
        observe(&mut load_balancer, &servers, choice.key, evidence, now);
        if (244..324).contains(&i) {
            used.insert(choice.key);
        }
    }
    // At least 70% of the 6 healthy servers must be used, which is 5.
    assert!(used.len() >= 5, "{} of 6 used", used.len());
}

/// Returns the server chosen for a request of domain `a`. The random delay of due servers is half
/// of its range.
fn chosen(
    load_balancer: &LoadBalancer,
    servers: &Servers,
    may_retry: bool,
    at: Duration,
) -> ServerKey {
    load_balancer
        .choose(servers, query(may_retry), at, || 0.5)
        .expect("a server")
        .key
}

/// Records a request that succeeded at once.
fn succeed(load_balancer: &mut LoadBalancer, servers: &Servers, key: ServerKey, at: Duration) {
    load_balancer.attempt_started(key, at);
    load_balancer.attempt_ended(key);
    observe(
        load_balancer,
        servers,
        key,
        Evidence::Success(RelativeLatency(100)),
        at,
    );
}

#[test]
fn idle_server_gets_a_request_from_its_own_domain_first() {
    let mut servers = Servers::new();
    let near = add(&mut servers, "near", "a");
    let far = add(&mut servers, "far", "b");
    let mut load_balancer = LoadBalancer::new();
    succeed(&mut load_balancer, &servers, near, at_ms(1_000));
    succeed(&mut load_balancer, &servers, far, at_ms(1_000));
    // Both have been idle for the same time; in domain `a`, only the near one is due.
    let at = at_ms(2_400);
    assert_eq!(chosen(&load_balancer, &servers, true, at), near);
    succeed(&mut load_balancer, &servers, near, at);
    assert_eq!(chosen(&load_balancer, &servers, true, at), near);
    // The daemons of domain `b` have had time to use the far one.
    assert_eq!(chosen(&load_balancer, &servers, true, at_ms(2_700)), far);
}

#[test]
fn suspected_server_is_retried_after_a_delay_that_grows() {
    let mut servers = Servers::new();
    let failing = add(&mut servers, "failing", "a");
    let healthy = add(&mut servers, "healthy", "a");
    let mut load_balancer = LoadBalancer::new();
    let mut retries = Vec::new();
    for evidence in [Evidence::Failure, Evidence::Failure] {
        observe(&mut load_balancer, &servers, failing, evidence, at_ms(1));
    }
    for i in 0..1_200 {
        let now = at_ms(10 + i * 10);
        let key = chosen(&load_balancer, &servers, true, now);
        if key == failing {
            retries.push(now);
            load_balancer.attempt_started(key, now);
            load_balancer.attempt_ended(key);
            observe(&mut load_balancer, &servers, key, Evidence::Failure, now);
        } else {
            succeed(&mut load_balancer, &servers, healthy, now);
        }
    }
    let delays: Vec<_> = std::iter::once(&at_ms(1))
        .chain(&retries)
        .zip(&retries)
        .map(|(from, to)| (*to - *from).as_millis() / 100)
        .collect();
    // Each delay includes 250 ms, half of the range of the random delay.
    assert_eq!(delays, [32, 47], "{retries:?}");
}

#[test]
fn requests_that_cannot_be_retried_avoid_idle_servers_if_there_are_few() {
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..10)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut load_balancer = LoadBalancer::new();
    for key in &keys {
        succeed(&mut load_balancer, &servers, *key, at_ms(1));
    }
    let mut last = keys[0];
    // Two requests a second are too few to use all ten servers within 2 s.
    for i in 20..40_u64 {
        let now = at_ms(i * 500);
        let key = chosen(&load_balancer, &servers, false, now);
        assert!(i == 20 || key == last, "at {now:?}");
        last = key;
        succeed(&mut load_balancer, &servers, key, now);
    }
    let now = at_ms(20_000);
    assert_ne!(chosen(&load_balancer, &servers, true, now), last);
}

#[test]
fn reported_response_counts_as_use_if_the_request_was_never_in_flight() {
    let mut servers = Servers::new();
    let keys = [add(&mut servers, "s1", "a"), add(&mut servers, "s2", "a")];
    let mut load_balancer = LoadBalancer::new();
    let success = Evidence::Success(RelativeLatency(100));
    for key in keys {
        succeed(&mut load_balancer, &servers, key, at_ms(1_000));
    }
    let listed = |key| (key, servers.get(key).expect("server is listed"));
    // The first server has had a short request, the second one a long one that has ended.
    load_balancer.observe_reported(listed(keys[0]), success, at_ms(2_000));
    load_balancer.set_peer_in_flight(keys[1], 1, at_ms(1_000));
    load_balancer.observe_reported(listed(keys[1]), success, at_ms(2_000));
    load_balancer.set_peer_in_flight(keys[1], 0, at_ms(2_000));
    assert_eq!(
        chosen(&load_balancer, &servers, true, at_ms(2_400)),
        keys[1]
    );
}
