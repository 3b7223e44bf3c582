//! Commits to an in-memory object store, with a fault at any call and with concurrent writers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use corianderworks_lists::apply::{Action, Applied, Apply, Call, Outcome, Reply, Request};
use corianderworks_lists::chunk::{CHUNK_PREFIX, ChunkHash};
use corianderworks_lists::lists::{Customer, Customers, Plan, Plans};
use corianderworks_lists::manifest::{
    AuditRecord, KEPT_VERSIONS, MANIFEST_PATH, Manifest, Snapshot, assemble_contents, history_path,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Operations of an object store that the tests use.
trait ObjectStore {
    /// Performs a call without any fault and returns its reply.
    fn apply(&mut self, call: &Call) -> Reply;
}

/// Object store that keeps the former values of each object, for stale reads.
#[derive(Debug, Default)]
struct MemoryStore {
    objects: BTreeMap<String, Vec<(Vec<u8>, u64)>>,
}

impl MemoryStore {
    fn write(&mut self, path: &str, expected: u64, value: Option<&Vec<u8>>) -> Reply {
        let values = self.objects.entry(path.to_owned()).or_default();
        let current = values.last().map_or(0, |(_, version)| *version);
        match value {
            _ if current != expected => return Reply::Conflict,
            Some(value) => values.push((value.clone(), current + 1)),
            None => values.clear(),
        }
        Reply::Written
    }

    /// Returns the value before the latest one, as a replica that lags behind does.
    fn stale(&self, path: &str) -> Reply {
        let values = self.objects.get(path);
        let older = values.filter(|v| v.len() > 1).map(|v| &v[v.len() - 2]);
        Reply::Object(older.or(values.and_then(|v| v.last())).cloned())
    }

    fn value(&self, path: &str) -> Option<&Vec<u8>> {
        Some(&self.objects.get(path)?.last()?.0)
    }

    fn manifest(&self) -> Option<Manifest> {
        self.value(MANIFEST_PATH)
            .map(|v| Manifest::from_bytes(v).unwrap())
    }

    fn record(&self, version: u64) -> Option<AuditRecord> {
        let archived = self.value(&history_path(version));
        let archived = archived.map(|v| AuditRecord::from_bytes(v).unwrap());
        let current = || self.manifest()?.change().cloned();
        archived.or_else(current)
    }

    fn snapshot(&self, version: u64) -> Option<Snapshot> {
        let contents = self.manifest()?.contents_of(version)?;
        let chunk = |hash: &ChunkHash| self.value(&hash.path());
        Some(assemble_contents(version, &contents, chunk).unwrap())
    }

    fn chunks(&self) -> usize {
        let chunks = self.objects.iter();
        chunks
            .filter(|(path, v)| path.starts_with(CHUNK_PREFIX) && !v.is_empty())
            .count()
    }
}

impl ObjectStore for MemoryStore {
    fn apply(&mut self, call: &Call) -> Reply {
        match call {
            Call::Read(path) => {
                Reply::Object(self.objects.get(path).and_then(|v| v.last()).cloned())
            }
            Call::Create(path, value) => self.write(path, 0, Some(value)),
            Call::Update(path, version, value) => self.write(path, *version, Some(value)),
            Call::Delete(path, version) => self.write(path, *version, None),
            Call::List(prefix) => Reply::Listed(
                self.objects
                    .iter()
                    .filter(|(path, v)| path.starts_with(prefix) && !v.is_empty())
                    .map(|(path, v)| (path.clone(), v[v.len() - 1].1))
                    .collect(),
            ),
            Call::Pause(_) => Reply::Resumed,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The call does not reach the store, and the writer knows it.
    Unreachable,
    /// The call takes effect, but its response is lost.
    LostResponse,
    /// The call does not reach the store, which the writer cannot distinguish from a lost response.
    LostRequest,
    /// The response is lost and the call takes effect three calls later.
    Delayed,
    /// A read returns the value before the latest one.
    Stale,
    /// Another operator commits a change before this call.
    ConcurrentCommit,
}

const FAULTS: [Fault; 6] = [
    Fault::Unreachable,
    Fault::LostResponse,
    Fault::LostRequest,
    Fault::Delayed,
    Fault::Stale,
    Fault::ConcurrentCommit,
];

/// A writer whose calls a test performs one by one, with or without a fault.
struct Writer {
    apply: Apply,
    action: Action,
    calls: usize,
    /// Delayed calls, each with the number of the call before which it takes effect.
    delayed: VecDeque<(usize, Call)>,
}

impl Writer {
    fn new(request: Request) -> Self {
        let (apply, action) = Apply::new(request);
        Self {
            apply,
            action,
            calls: 0,
            delayed: VecDeque::new(),
        }
    }

    fn step(&mut self, store: &mut MemoryStore, fault: Option<Fault>) {
        let Action::Call(call) = &self.action else {
            return;
        };
        if !matches!(call, Call::Pause(_)) {
            self.calls += 1;
        }
        while self
            .delayed
            .front()
            .is_some_and(|(due, _)| *due <= self.calls)
        {
            store.apply(&self.delayed.pop_front().unwrap().1);
        }
        let reply = match (fault, call) {
            (_, Call::Pause(_)) => Reply::Resumed,
            (Some(Fault::Unreachable), _) => Reply::Failed("down".to_owned()),
            (Some(Fault::Stale), Call::Read(path)) => store.stale(path),
            (Some(Fault::ConcurrentCommit), _) => {
                let base = store.manifest().map_or(0, |m| m.version);
                run(store, request(base, "other", &[("raced", "gold")]), |_| {
                    None
                });
                store.apply(call)
            }
            (Some(Fault::Stale) | None, _) => store.apply(call),
            (Some(_), Call::Read(_) | Call::List(_)) => Reply::Failed("timeout".to_owned()),
            (Some(fault), _) => {
                match fault {
                    Fault::LostResponse => drop(store.apply(call)),
                    Fault::Delayed => self.delayed.push_back((self.calls + 3, call.clone())),
                    _ => {}
                }
                Reply::Unknown
            }
        };
        self.action = self.apply.handle_reply(reply);
    }

    fn outcome(&self) -> Option<&Outcome> {
        match &self.action {
            Action::Done(outcome) => Some(outcome),
            Action::Call(_) => None,
        }
    }
}

/// Runs a change to its outcome and returns that and the number of calls. `fault` selects the fault
/// of each call by its number.
fn run<F>(store: &mut MemoryStore, request: Request, fault: F) -> (Outcome, usize)
where
    F: Fn(usize) -> Option<Fault>,
{
    let mut writer = Writer::new(request);
    while writer.outcome().is_none() {
        writer.step(store, fault(writer.calls));
    }
    for (_, call) in std::mem::take(&mut writer.delayed) {
        store.apply(&call);
    }
    (writer.outcome().unwrap().clone(), writer.calls)
}

fn request(base_version: u64, who: &str, customers: &[(&str, &str)]) -> Request {
    let plan = Plan {
        priority: 1,
        rate_per_s: 1,
        concurrency: 1,
        uses: BTreeMap::new(),
        note: None,
    };
    let customer = |plan: &str| Customer {
        plan: plan.to_owned(),
        note: None,
    };
    Request {
        customers: Customers {
            customers: customers
                .iter()
                .map(|(n, p)| ((*n).to_owned(), customer(p)))
                .collect(),
        },
        plans: Plans {
            services: BTreeMap::new(),
            plans: ["gold", "iron"]
                .iter()
                .map(|n| ((*n).to_owned(), plan.clone()))
                .collect(),
        },
        base_version,
        change_id: format!("{who}-{base_version}"),
        who: who.to_owned(),
        when: jiff::Timestamp::UNIX_EPOCH,
        reason: "test".to_owned(),
    }
}

fn store_with_two_versions() -> MemoryStore {
    let mut store = MemoryStore::default();
    run(&mut store, request(0, "first", &[("ana", "gold")]), |_| {
        None
    });
    run(
        &mut store,
        request(1, "second", &[("ana", "iron"), ("ben", "gold")]),
        |_| None,
    );
    store
}

fn change_by_eva(base: u64) -> Request {
    request(
        base,
        "eva",
        &[("ana", "gold"), ("ben", "iron"), ("cy", "gold")],
    )
}

/// Checks the invariants of the store: every version has an audit record of its own change, and all
/// chunks of the version in force exist. Returns the ids of the changes, oldest first.
fn check_store(store: &MemoryStore) -> Vec<String> {
    let Some(current) = store.manifest() else {
        return Vec::new();
    };
    store.snapshot(current.version).unwrap();
    let mut ids = Vec::new();
    for version in 1..=current.version {
        let record = store.record(version).expect("every version has a record");
        assert_eq!(record.to_version, version);
        ids.push(record.change_id);
    }
    assert_eq!(
        ids.iter().collect::<BTreeSet<_>>().len(),
        ids.len(),
        "{ids:?}"
    );
    ids
}

/// Checks that the outcome of the change with this id agrees with the store.
fn check_outcome(store: &MemoryStore, outcome: &Outcome, id: &str) {
    let ids = check_store(store);
    match outcome {
        Outcome::Applied(Applied { version, .. }) => {
            assert_eq!(ids[usize::try_from(*version).unwrap() - 1], id);
        }
        Outcome::Outdated { since_base, .. } => {
            assert!(!ids.iter().any(|i| i == id));
            assert!(since_base.iter().all(|r| r.who == "other"));
            assert!(!since_base.is_empty());
        }
        Outcome::Unchanged { .. } | Outcome::Failed(_) => {
            assert!(!ids.iter().any(|i| i == id), "{outcome:?}");
        }
        Outcome::Undetermined(_) => {}
    }
}

/// Guards against a change that is lost, applied twice or partially applied when any single call
/// has any kind of fault.
#[test]
fn one_fault_at_every_step() {
    let (_, calls) = run(&mut store_with_two_versions(), change_by_eva(2), |_| None);
    for fault in FAULTS {
        for at in 0..calls {
            let mut store = store_with_two_versions();
            let (outcome, _) = run(&mut store, change_by_eva(2), |i| (i == at).then_some(fault));
            check_outcome(&store, &outcome, "eva-2");
            if fault != Fault::ConcurrentCommit {
                let applied = matches!(&outcome, Outcome::Applied(a) if a.version == 3);
                assert!(applied, "{fault:?} at call {at}: {outcome:?}");
            }
        }
    }
}

/// Guards against a wrong outcome when all calls from any call on have the same fault, and when the
/// operator then repeats the command.
#[test]
fn outage_from_every_step() {
    let (_, calls) = run(&mut store_with_two_versions(), change_by_eva(2), |_| None);
    for fault in FAULTS.into_iter().filter(|f| *f != Fault::ConcurrentCommit) {
        for from in 0..calls {
            let mut store = store_with_two_versions();
            let (outcome, _) = run(&mut store, change_by_eva(2), |i| {
                (i >= from).then_some(fault)
            });
            check_outcome(&store, &outcome, "eva-2");
            // The operator repeats the command with the same change id.
            let (outcome, _) = run(&mut store, change_by_eva(2), |_| None);
            assert!(
                matches!(&outcome, Outcome::Applied(a) if a.version == 3),
                "{outcome:?}"
            );
            check_outcome(&store, &outcome, "eva-2");
        }
    }
}

/// Guards against a wrong outcome when the response to the commit is lost and the writer reads the
/// manifest only after more changes than the manifest has records of.
#[test]
fn response_lost_before_many_changes() {
    for fault in [Fault::LostResponse, Fault::LostRequest] {
        let mut store = store_with_two_versions();
        let mut writer = Writer::new(change_by_eva(2));
        let commit = |w: &Writer| matches!(&w.action, Action::Call(Call::Update(..)));
        while !commit(&writer) {
            writer.step(&mut store, None);
        }
        writer.step(&mut store, Some(fault));
        for _ in 0..20 {
            let base = store.manifest().unwrap().version;
            let plan = if base.is_multiple_of(2) {
                "gold"
            } else {
                "iron"
            };
            run(&mut store, request(base, "other", &[("ana", plan)]), |_| {
                None
            });
        }
        while writer.outcome().is_none() {
            writer.step(&mut store, None);
        }
        let outcome = writer.outcome().unwrap();
        let applied = matches!(outcome, Outcome::Applied(a) if a.version == 3);
        assert_eq!(applied, fault == Fault::LostResponse, "{outcome:?}");
        check_outcome(&store, outcome, "eva-2");
    }
}

/// Guards against unreferenced chunks that accumulate, and against the deletion of a chunk that a
/// kept version needs. Failed changes leave chunks behind, and the same entries return repeatedly.
#[test]
fn old_chunks_are_deleted_and_kept_versions_are_complete() {
    let mut store = MemoryStore::default();
    let mut committed = BTreeMap::new();
    for base in 0..40 {
        let plan = if base % 2 == 0 { "gold" } else { "iron" };
        let interrupted = request(base, "lost", &[("ana", plan), ("ben", plan)]);
        let (outcome, _) = run(&mut store, interrupted, |i| {
            (i >= 4).then_some(Fault::Unreachable)
        });
        assert!(matches!(outcome, Outcome::Failed(_) | Outcome::Applied(_)));
        let version = store.manifest().map_or(0, |m| m.version);
        run(
            &mut store,
            request(version, "eva", &[("ana", plan)]),
            |_| None,
        );
        let snapshot = store.snapshot(store.manifest().unwrap().version).unwrap();
        committed.insert(snapshot.version, snapshot);
    }
    check_store(&store);
    let current = store.manifest().unwrap();
    let kept = current.contents.iter().count() + current.dropped.len();
    assert_eq!(store.chunks(), kept);
    for (version, snapshot) in &committed {
        let kept = version + KEPT_VERSIONS >= current.version;
        assert_eq!(store.snapshot(*version).as_ref(), kept.then_some(snapshot));
    }
}

proptest! {
    // The seed is fixed, so that every run tests the same cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against two changes of the same base version that are both applied, an outdated
    /// change that does not return the applied one, and a wrong outcome, for any interleaving of
    /// three writers with faults.
    #[test]
    fn racing_writers(
        turns in proptest::collection::vec((0..3_usize, proptest::option::weighted(0.2, 0..5_usize)), 0..120),
    ) {
        let mut store = store_with_two_versions();
        let names = ["eva", "fay", "gus"];
        let lists = [[("ana", "gold")], [("ana", "gold")], [("ben", "iron")]];
        let mut writers: Vec<Writer> = (0..3)
            .map(|i| Writer::new(request(2, names[i], &lists[i])))
            .collect();
        for (index, fault) in turns {
            writers[index].step(&mut store, fault.map(|f| FAULTS[f]));
        }
        while let Some(writer) = writers.iter_mut().find(|w| w.outcome().is_none()) {
            writer.step(&mut store, None);
        }
        let ids = check_store(&store);
        let mut applied = 0;
        for (writer, name) in writers.iter().zip(names) {
            let id = format!("{name}-2");
            match writer.outcome().unwrap() {
                Outcome::Applied(_) => { applied += 1; prop_assert!(ids.contains(&id)); }
                Outcome::Outdated { since_base, .. } => {
                    prop_assert!(!ids.contains(&id));
                    prop_assert_eq!(&since_base[0].change_id, &ids[2]);
                }
                Outcome::Failed(_) | Outcome::Unchanged { .. } => prop_assert!(!ids.contains(&id)),
                Outcome::Undetermined(_) => {}
            }
        }
        prop_assert!(applied <= 1);
    }
}
