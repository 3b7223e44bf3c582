//! Measures how many bytes one change distributes to every daemon, with the number of customers,
//! services, routes and plans that the system is designed for.

use std::collections::BTreeMap;
use std::time::Instant;

use corianderworks_lists::chunk::{Chunk, ChunkHash, split};
use corianderworks_lists::lists::{Customer, Customers, Plan, Plans, Route, Service};
use corianderworks_lists::manifest::{AuditRecord, Manifest, assemble};

const CUSTOMERS: usize = 19_000;
const SERVICES: usize = 150;
const ROUTES: usize = 4_100;
const PLANS: usize = 24;
const CHANGES: u64 = 40;

fn main() {
    let (mut customers, mut plans) = generate_lists();
    let mut store: BTreeMap<ChunkHash, Vec<u8>> = BTreeMap::new();
    let (contents, chunks) = split(&customers, &plans, 1, None);
    let total_bytes: usize = chunks.iter().map(|c| c.bytes.len()).sum();
    let mut manifest = Manifest::next(None, contents, record(0));
    println!(
        "first version: {} chunks, {total_bytes} bytes, manifest {} bytes",
        chunks.len(),
        manifest.to_bytes().len()
    );
    let mut sizes: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    add_chunks(&mut store, chunks);
    for version in 2..CHANGES + 2 {
        let index = usize::try_from(version).unwrap_or_default() * 97;
        let kind = change_one_entry(&mut customers, &mut plans, index);
        let (contents, chunks) = split(&customers, &plans, version, Some(&manifest.contents));
        manifest = Manifest::next(Some(&manifest), contents, record(version - 1));
        let chunk_bytes: usize = chunks.iter().map(|c| c.bytes.len()).sum();
        let sizes_of_kind = sizes.entry(kind).or_default();
        sizes_of_kind.push(chunk_bytes + manifest.to_bytes().len());
        add_chunks(&mut store, chunks);
    }
    println!(
        "manifest after {CHANGES} changes: {} bytes",
        manifest.to_bytes().len()
    );
    for (kind, sizes) in &sizes {
        let mean = sizes.iter().sum::<usize>() / sizes.len();
        let max = sizes.iter().max().copied().unwrap_or_default();
        println!("one changed {kind}: mean {mean} bytes, max {max} bytes");
    }
    let start = Instant::now();
    let (_, new_chunks) = split(&customers, &plans, CHANGES + 2, Some(&manifest.contents));
    println!(
        "split: {:.1} ms, {} new chunks",
        elapsed_ms(start),
        new_chunks.len()
    );
    let start = Instant::now();
    let snapshot = assemble(&manifest, |hash| store.get(hash));
    println!(
        "assemble: {:.1} ms, ok {}",
        elapsed_ms(start),
        snapshot.is_ok()
    );
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

fn add_chunks(store: &mut BTreeMap<ChunkHash, Vec<u8>>, chunks: Vec<Chunk>) {
    store.extend(chunks.into_iter().map(|c| (c.hash, c.bytes)));
}

/// Changes one entry and returns its kind: a customer in half of the cases, else a route or a plan.
fn change_one_entry(customers: &mut Customers, plans: &mut Plans, index: usize) -> &'static str {
    match index % 4 {
        0 => {
            let plan = plans.plans.values_mut().nth(index % PLANS);
            plan.into_iter().for_each(|p| p.rate_per_s += 1);
            "plan"
        }
        1 => {
            let service = plans.services.values_mut().nth(index % SERVICES);
            let routes = service.into_iter().flat_map(|s| s.routes.values_mut());
            routes.take(1).for_each(|r| r.timeout_ms += 1);
            "route"
        }
        _ => {
            let customer = customers.customers.values_mut().nth(index % CUSTOMERS);
            customer.into_iter().for_each(|c| c.plan.push('x'));
            "customer"
        }
    }
}

fn record(from: u64) -> AuditRecord {
    AuditRecord {
        from_version: from,
        to_version: from + 1,
        change_id: format!("{from:032x}"),
        who: "operator@example".to_owned(),
        when: jiff::Timestamp::UNIX_EPOCH,
        reason: "a reason of the usual length for a change".to_owned(),
        summary: vec![
            "1 customer".to_owned(),
            "customer `organisation-00123`: plan `plan-03` -> `plan-04`".to_owned(),
        ],
    }
}

fn generate_lists() -> (Customers, Plans) {
    let services: Vec<String> = (0..SERVICES).map(|i| format!("service-{i:03}")).collect();
    let customer = |i: usize| Customer {
        plan: format!("plan-{:02}", i % PLANS),
        note: None,
    };
    let route = |i: usize| Route {
        methods: vec!["GET".to_owned(), "HEAD".to_owned()],
        path: format!("/service-{:03}/resource-{i:04}", i % SERVICES),
        idempotent: true,
        timeout_ms: 1_500,
    };
    let service = |s: usize| Service {
        slots: 4,
        floor_percent: 60,
        routes: (s..ROUTES)
            .step_by(SERVICES)
            .map(|i| (format!("resource-{i:04}"), route(i)))
            .collect(),
        note: None,
    };
    let plan = |p: usize| Plan {
        priority: 5,
        rate_per_s: 20,
        concurrency: 10,
        uses: (p % 3..SERVICES)
            .step_by(3)
            .map(|s| (services[s].clone(), vec!["*".to_owned()]))
            .collect(),
        note: None,
    };
    let customers = (0..CUSTOMERS).map(|i| (format!("organisation-{i:05}"), customer(i)));
    let plans = (0..PLANS).map(|p| (format!("plan-{p:02}"), plan(p)));
    let services = services.iter().enumerate();
    (
        Customers {
            customers: customers.collect(),
        },
        Plans {
            services: services
                .map(|(s, name)| (name.clone(), service(s)))
                .collect(),
            plans: plans.collect(),
        },
    )
}
