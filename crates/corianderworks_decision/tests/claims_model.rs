//! Exhaustive search over small interleavings, and random walks, on the real key and claim
//! machines.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

#[path = "claims_model/claim.rs"]
mod claim;
#[path = "claims_model/issued.rs"]
mod issued;

/// System of real machines that a search drives.
trait Model {
    type Event: Copy + Debug;
    fn new() -> Self;
    /// Events that can happen now.
    fn events(&self) -> Vec<Self::Event>;
    fn apply(&mut self, event: Self::Event);
    /// Everything that later behaviour depends on.
    fn digest(&self) -> String;
    fn violation(&self) -> Option<String>;
}

/// Visits every state that `depth` events reach and returns their number.
///
/// Permissions can't be copied, so a state is rebuilt by replaying its shortest path.
fn search<M>(depth: usize) -> usize
where
    M: Model,
{
    let mut seen = HashSet::new();
    let mut frontier = vec![Vec::new()];
    for _ in 0..depth {
        let mut next = Vec::new();
        for path in &frontier {
            for event in replay::<M>(path).events() {
                let mut model = replay::<M>(path);
                model.apply(event);
                let mut longer = path.clone();
                longer.push(event);
                if let Some(violation) = model.violation() {
                    panic!("{violation} after {longer:?}");
                }
                let mut hasher = DefaultHasher::new();
                model.digest().hash(&mut hasher);
                if seen.insert(hasher.finish()) {
                    next.push(longer);
                }
            }
        }
        frontier = next;
    }
    seen.len()
}

fn replay<M>(path: &[M::Event]) -> M
where
    M: Model,
{
    let mut model = M::new();
    path.iter().for_each(|&event| model.apply(event));
    model
}

/// What the backend servers and the caller saw of one non-idempotent request.
#[derive(Debug, Default, Clone)]
struct Seen {
    runs: u32,
    /// The number of arrivals that had been sent at each answer "not run".
    not_run: Vec<u32>,
    done_without_run: bool,
    run_after_not_run: bool,
}

impl Seen {
    fn record_dispatch(&mut self, arrival: u32) {
        self.runs += 1;
        self.run_after_not_run |= self.not_run.iter().any(|&sent| arrival <= sent);
    }

    fn violation(&self) -> Option<String> {
        if self.runs > 1 {
            return Some(format!("the request was handed over {} times", self.runs));
        }
        if self.run_after_not_run {
            return Some("a request answered with \"not run\" was handed over".into());
        }
        self.done_without_run
            .then(|| "a request that was not handed over was answered with its status".into())
    }
}
