//! Splitting of lists into chunks and assembly of lists from them.

use std::collections::BTreeMap;

use corianderworks_lists::chunk::{Chunk, ChunkHash, Contents, split};
use corianderworks_lists::lists::{Customer, Customers, Plan, Plans, Route, Service};
use corianderworks_lists::manifest::{AuditRecord, Manifest, ManifestError, assemble};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn customers(names: &BTreeMap<String, String>) -> Customers {
    let customer = |plan: &String| Customer {
        plan: plan.clone(),
        note: None,
    };
    Customers {
        customers: names
            .iter()
            .map(|(name, plan)| (name.clone(), customer(plan)))
            .collect(),
    }
}

fn plans(names: &BTreeMap<String, String>) -> Plans {
    let route = Route {
        methods: vec!["GET".to_owned()],
        path: "/a".to_owned(),
        idempotent: true,
        timeout_ms: 500,
    };
    let service = Service {
        slots: 2,
        floor_percent: 60,
        routes: BTreeMap::from([("read".to_owned(), route)]),
        note: None,
    };
    let plan = Plan {
        priority: 1,
        rate_per_s: 5,
        concurrency: 2,
        uses: BTreeMap::new(),
        note: None,
    };
    Plans {
        services: names
            .keys()
            .map(|name| (name.clone(), service.clone()))
            .collect(),
        plans: names
            .values()
            .map(|name| (name.clone(), plan.clone()))
            .collect(),
    }
}

fn record(from: u64) -> AuditRecord {
    AuditRecord {
        from_version: from,
        to_version: from + 1,
        change_id: format!("change-{from}"),
        who: "ana".to_owned(),
        when: jiff::Timestamp::UNIX_EPOCH,
        reason: "test".to_owned(),
        summary: Vec::new(),
    }
}

fn store(chunks: Vec<Chunk>) -> BTreeMap<ChunkHash, Vec<u8>> {
    chunks.into_iter().map(|c| (c.hash, c.bytes)).collect()
}

fn names() -> impl Strategy<Value = BTreeMap<String, String>> {
    proptest::collection::btree_map("[a-zé\"\\\\ ]{1,12}", "[a-z]{1,3}", 1..60)
}

proptest! {
    // The seed is fixed, so that every run tests the same cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against entries that are lost or changed when lists are split, stored and assembled.
    #[test]
    fn assemble_returns_what_was_split(names in names()) {
        let (customers, plans) = (customers(&names), plans(&names));
        let (contents, chunks) = split(&customers, &plans, 1, None);
        let manifest = Manifest::next(None, contents, record(0));
        let manifest = Manifest::from_bytes(&manifest.to_bytes()).unwrap();
        let chunks = store(chunks);
        let snapshot = assemble(&manifest, |hash| chunks.get(hash)).unwrap();
        prop_assert_eq!(snapshot.version, 1);
        prop_assert_eq!(snapshot.customers, customers);
        prop_assert_eq!(snapshot.plans, plans);
    }

    /// Guards against a change of one customer that rewrites more than one bucket, and against a
    /// bucket that returns to former entries and reuses a chunk that may be deleted at any time.
    #[test]
    fn one_changed_customer_changes_one_chunk(names in names(), pick in any::<prop::sample::Index>()) {
        let before = customers(&names);
        let plans = plans(&names);
        let mut after = before.clone();
        let name = names.keys().nth(pick.index(names.len())).unwrap();
        after.customers.get_mut(name).unwrap().plan.push_str("-changed");
        let (first, _) = split(&before, &plans, 1, None);
        let (second, new_chunks) = split(&after, &plans, 2, Some(&first));
        prop_assert_eq!(new_chunks.len(), 1);
        let (third, new_chunks) = split(&before, &plans, 3, Some(&second));
        prop_assert_eq!(new_chunks.len(), 1);
        prop_assert!(!first.contains(&new_chunks[0].hash));
        prop_assert_eq!(first.iter().filter(|c| !third.contains(&c.hash)).count(), 1);
    }
}

/// Guards against a version that is assembled although a chunk is missing or corrupt.
#[test]
fn missing_and_corrupt_chunks_are_errors() {
    let names = BTreeMap::from([("a".to_owned(), "gold".to_owned())]);
    let (contents, chunks) = split(&customers(&names), &plans(&names), 1, None);
    let manifest = Manifest::next(None, contents, record(0));
    let mut chunks = store(chunks);
    let hash = manifest.contents.customers[0].hash;
    chunks.get_mut(&hash).unwrap().push(b' ');
    let corrupt = assemble(&manifest, |h| chunks.get(h));
    assert!(matches!(corrupt, Err(ManifestError::Corrupt(h)) if h == hash));
    chunks.remove(&hash);
    let missing = assemble(&manifest, |h| chunks.get(h));
    assert!(matches!(missing, Err(ManifestError::Missing { hashes, .. }) if hashes == [hash]));
    assert_eq!(Contents::default().iter().count(), 0);
}
