//! Model checking of the production key table and claim machine: a search of all short
//! interleavings, and random walks.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

#[path = "claims_model/claim.rs"]
mod claim;
#[path = "claims_model/issued.rs"]
mod issued;

/// Production state machines together with a model of their environment.
trait Model {
    type Event: Copy + Debug;
    fn new() -> Self;
    /// Returns the events that are possible in the current state.
    fn events(&self) -> Vec<Self::Event>;
    fn apply(&mut self, event: Self::Event);
    /// Formats everything on which later behaviour depends; equal texts are the same state.
    fn state_text(&self) -> String;
    fn violation(&self) -> Option<String>;
}

/// Checks every state that at most `depth` events reach and returns the number of states.
///
/// Permissions can't be copied, so a state is rebuilt by replaying a shortest path to it.
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
                model.state_text().hash(&mut hasher);
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

/// Runs and answers of one non-idempotent request, as seen by backend servers and caller.
#[derive(Debug, Default, Clone)]
struct Observed {
    runs: u32,
    /// Number of arrivals sent before each answer "not run".
    not_run: Vec<u32>,
    done_without_run: bool,
    run_after_not_run: bool,
}

impl Observed {
    fn record_dispatch(&mut self, arrival: u32) {
        self.runs += 1;
        self.run_after_not_run |= self.not_run.iter().any(|&sent| arrival <= sent);
    }

    fn violation(&self) -> Option<String> {
        if self.runs > 1 {
            return Some(format!("the request was dispatched {} times", self.runs));
        }
        if self.run_after_not_run {
            return Some("a request answered with \"not run\" was dispatched".into());
        }
        self.done_without_run
            .then(|| "a request that was not dispatched was answered with a status".into())
    }
}
