//! Placing at an edge daemon under failing, slow and full backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use corianderworks_decision::edge::placing::{Among, Evidence, Pace, Placing, Query};
use corianderworks_decision::edge::servers::{Change, ServerEntry, ServerKey, Servers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SERVICE: &str = "ledger";

fn entry(id: &str, domain: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
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

fn query(may_repeat: bool) -> Query<'static> {
    Query {
        service: SERVICE,
        usual: at_ms(300),
        domain: "a",
        may_repeat,
        among: Among::AllBut(&[]),
    }
}

fn observe(
    placing: &mut Placing,
    servers: &Servers,
    key: ServerKey,
    evidence: Evidence,
    at: Duration,
) {
    let server = servers.get(key).expect("server is listed");
    placing.observe((key, server), evidence, at);
}

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_failure_moves_requests_away_and_time_brings_them_back() {
    let mut servers = Servers::new();
    let keys = [add(&mut servers, "s1", "a"), add(&mut servers, "s2", "a")];
    let mut placing = Placing::new();
    for key in keys {
        observe(
            &mut placing,
            &servers,
            key,
            Evidence::Success(Pace(100)),
            at_ms(1),
        );
    }
    observe(
        &mut placing,
        &servers,
        keys[0],
        Evidence::Failure,
        at_ms(100),
    );
    let choice = placing
        .choose(&servers, query(false), at_ms(110), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, keys[1]);
    // Without further evidence the belief returns to the base rate.
    for _ in 0..3 {
        placing.started(keys[1], at_ms(200));
    }
    let choice = placing
        .choose(&servers, query(false), at_ms(60_000), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, keys[0]);
}

#[test]
fn a_failing_server_is_used_when_all_others_are_far_beyond_full() {
    let mut servers = Servers::new();
    let failing = add(&mut servers, "s1", "a");
    let sound = add(&mut servers, "s2", "a");
    let mut placing = Placing::new();
    observe(
        &mut placing,
        &servers,
        sound,
        Evidence::Success(Pace(100)),
        at_ms(1),
    );
    observe(&mut placing, &servers, failing, Evidence::Failure, at_ms(1));
    observe(&mut placing, &servers, failing, Evidence::Failure, at_ms(2));
    placing.set_peer_in_flight(sound, 60, at_ms(1));
    let choice = placing
        .choose(&servers, query(false), at_ms(10), || 0.5)
        .expect("a server");
    assert_eq!(choice.key, failing);
}

#[test]
fn requests_stay_in_their_domain_until_it_is_full_or_fails() {
    let mut servers = Servers::new();
    let near = add(&mut servers, "near", "a");
    let far = add(&mut servers, "far", "b");
    let mut placing = Placing::new();
    for key in [near, far] {
        observe(
            &mut placing,
            &servers,
            key,
            Evidence::Success(Pace(100)),
            at_ms(1),
        );
    }
    let chosen = |placing: &Placing| {
        placing
            .choose(&servers, query(false), at_ms(10), || 0.5)
            .map(|c| c.key)
    };
    placing.set_peer_in_flight(near, 3, at_ms(1));
    assert_eq!(chosen(&placing), Some(near));
    placing.set_peer_in_flight(near, 9, at_ms(1));
    assert_eq!(chosen(&placing), Some(far));
}

#[test]
fn a_refusal_with_free_slots_counts_as_a_failure_and_one_of_a_full_server_does_not() {
    let mut servers = Servers::new();
    let key = add(&mut servers, "s1", "a");
    let mut placing = Placing::new();
    placing.set_peer_in_flight(key, 4, at_ms(1));
    observe(&mut placing, &servers, key, Evidence::Shed, at_ms(5));
    let full = placing
        .choose(&servers, query(false), at_ms(6), || 0.5)
        .expect("a server");
    assert!(full.failing < 0.1, "{full:?}");
    placing.set_peer_in_flight(key, 0, at_ms(1));
    observe(&mut placing, &servers, key, Evidence::Shed, at_ms(7));
    let free = placing
        .choose(&servers, query(false), at_ms(8), || 0.5)
        .expect("a server");
    assert!(free.failing > 0.3, "{free:?}");
}

/// Plays a service of which servers fail in turn for seconds, and returns the share of
/// requests that met a failing server.
fn play<F>(seed: u64, mut choose: F) -> f64
where
    F: FnMut(&mut Placing, &Servers, Duration, &mut Pcg64) -> ServerKey,
{
    let mut random = Pcg64::seed_from_u64(seed);
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..10)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut placing = Placing::new();
    let mut fails_until = [Duration::ZERO; 10];
    let mut running: Vec<(Duration, ServerKey, bool)> = Vec::new();
    let (mut failed, mut all) = (0, 0);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(120) {
        now += at_ms(25);
        for until in &mut fails_until {
            // Each server fails for 2.7 s in 9 s.
            if *until < now && random.random::<f64>() < 0.025 / 6.3 {
                *until = now + at_ms(2_700);
            }
        }
        running.retain(|(ends, key, fails)| {
            if *ends > now {
                return true;
            }
            placing.ended(*key);
            let evidence = match fails {
                true => Evidence::Failure,
                false => Evidence::Success(Pace(100)),
            };
            observe(&mut placing, &servers, *key, evidence, now);
            false
        });
        let key = choose(&mut placing, &servers, now, &mut random);
        let index = keys.iter().position(|k| *k == key).expect("a known server");
        let fails = fails_until[index] > now && random.random::<f64>() < 0.9;
        placing.started(key, now);
        let takes = if fails { at_ms(2) } else { at_ms(300) };
        running.push((now + takes, key, fails));
        all += 1;
        failed += u32::from(fails);
    }
    f64::from(failed) / f64::from(all)
}

#[test]
fn fewer_requests_meet_a_failing_server_than_with_the_fewest_in_flight() {
    for seed in 1..=5 {
        let believed = play(seed, |placing, servers, now, random| {
            let choice = placing.choose(servers, query(false), now, || random.random());
            choice.expect("a server").key
        });
        // The former way of a daemon that knows loads but no evidence.
        let least_loaded = play(seed, |placing, servers, _, random| {
            let keys: Vec<_> = servers.of_service(SERVICE).map(|(k, _)| k).collect();
            let mut loads: Vec<_> = keys
                .into_iter()
                .map(|k| (placing.own_in_flight(k), random.random::<u32>(), k))
                .collect();
            loads.sort();
            loads[0].2
        });
        assert!(
            believed < least_loaded / 4.0 && believed < 0.05,
            "seed {seed}: {believed} against {least_loaded}"
        );
    }
}

#[test]
fn a_service_that_fails_in_part_uses_all_of_its_servers_within_two_seconds() {
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..6)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut placing = Placing::new();
    for key in &keys {
        observe(&mut placing, &servers, *key, Evidence::Failure, at_ms(1));
    }
    let mut used = std::collections::HashSet::new();
    for i in 0..76_u64 {
        let now = at_ms(5_000 + i * 26);
        let choice = placing
            .choose(&servers, query(false), now, || 0.5)
            .expect("a server");
        used.insert(choice.key);
        placing.started(choice.key, now);
        placing.ended(choice.key);
        let evidence = match i % 9 {
            0 => Evidence::Failure,
            _ => Evidence::Success(Pace(100)),
        };
        observe(&mut placing, &servers, choice.key, evidence, now);
    }
    assert_eq!(used.len(), keys.len());
}

#[test]
fn a_burst_of_failures_brings_idle_servers_into_use_before_its_two_seconds_end() {
    let mut servers = Servers::new();
    let keys: Vec<_> = (0..6)
        .map(|i| add(&mut servers, &format!("s{i}"), "a"))
        .collect();
    let mut placing = Placing::new();
    for key in &keys {
        observe(
            &mut placing,
            &servers,
            *key,
            Evidence::Success(Pace(100)),
            at_ms(1),
        );
    }
    let mut used = std::collections::HashSet::new();
    // 81 requests in 2 s, 9 of which fail in a row, after seconds without a failure.
    for i in 0..324_u64 {
        let now = at_ms(5_000 + i * 25);
        let choice = placing
            .choose(&servers, query(false), now, || 0.5)
            .expect("a server");
        placing.started(choice.key, now);
        placing.ended(choice.key);
        let fails = (260..269).contains(&i);
        let evidence = match fails {
            true => Evidence::Failure,
            false => Evidence::Success(Pace(100)),
        };
        observe(&mut placing, &servers, choice.key, evidence, now);
        if (244..324).contains(&i) {
            used.insert(choice.key);
        }
    }
    // At least 70% of the sound servers: 5 of 6.
    assert!(used.len() >= 5, "{} of 6 used", used.len());
}
