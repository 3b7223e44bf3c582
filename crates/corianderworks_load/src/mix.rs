//! Seeded mix of requests.

use std::time::Duration;

use bytes::Bytes;
use corianderworks_standin::body::SeededBytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::settings::{KeyKind, LoadSettings, RouteMix, Verb, Weighted};

/// One request before it is sent.
#[derive(Debug, Clone)]
pub struct Planned {
    /// Position in the run.
    pub number: u64,
    /// Intended send time, from the start of the run.
    pub at: Duration,
    /// Caller that sends it.
    pub caller: usize,
    /// Service of the route.
    pub service: String,
    /// Path with query.
    pub path: String,
    /// Method.
    pub verb: Verb,
    /// Customer.
    pub customer: String,
    /// Id that the response must return.
    pub check: String,
    /// Kind of key; `None` for idempotent requests.
    pub key: Option<KeyKind>,
    /// Request body.
    pub body: Bytes,
    /// Size of the response body; `None` for a short JSON body.
    pub size_bytes: Option<u64>,
}

impl Planned {
    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.verb != Verb::Post
    }

    /// Value of `idempotency-key`, given the prefix in the address response.
    pub fn key(&self, prefix: &str) -> Option<String> {
        match self.key? {
            KeyKind::Issued => Some(format!("{prefix}{}", self.check)),
            KeyKind::Own => Some(format!("own-{}", self.check)),
            KeyKind::None => None,
        }
    }
}

/// Requests of a run in order of their intended send time.
#[derive(Debug)]
pub struct Mix {
    settings: LoadSettings,
    random: Pcg64Mcg,
    run: u64,
    next: u64,
    phase: usize,
    phase_start: Duration,
    at: Duration,
}

impl Mix {
    /// Mix of a run; `run` distinguishes the check ids of runs with one seed.
    pub fn new(settings: &LoadSettings, run: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings: settings.clone(),
            run,
            next: 0,
            phase: 0,
            phase_start: Duration::ZERO,
            at: Duration::ZERO,
        }
    }

    /// Next arrival of a Poisson process at the rate of the phase.
    fn advance(&mut self) -> Option<Duration> {
        loop {
            let phase = self.settings.phases.get(self.phase)?;
            let end = self.phase_start + Duration::from_millis(phase.for_ms);
            if phase.rate_per_s > 0.0 {
                let unit: f64 = self.random.random();
                let gap_s = -(1.0 - unit).ln() / phase.rate_per_s;
                let at = self.at + Duration::from_secs_f64(gap_s.min(86_400.0));
                if at < end {
                    self.at = at;
                    return Some(at);
                }
            }
            self.phase += 1;
            self.phase_start = end;
            self.at = end;
        }
    }

    fn route(&mut self) -> usize {
        let routes = &self.settings.routes;
        let weights = routes.iter().map(|route| route.weight);
        choose_index(&mut self.random, weights)
    }
}

impl Iterator for Mix {
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        let at = self.advance()?;
        let number = self.next;
        self.next += 1;
        let index = self.route();
        let settings = &self.settings;
        let random = &mut self.random;
        let RouteMix {
            service,
            path,
            methods,
            sizes,
            request_sizes,
            ..
        } = &settings.routes[index];
        let verb = choose(random, methods);
        let size = choose(random, sizes);
        let check = format!("r{:x}-{number}", self.run);
        let body = if verb == Verb::Get || request_sizes.is_empty() {
            Bytes::new()
        } else {
            request_body(&check, choose(random, request_sizes))
        };
        let customer = random.random_range(0..settings.customers.len());
        Some(Planned {
            number,
            at,
            caller: random.random_range(0..settings.callers),
            service: service.clone(),
            path: match size {
                0 => path.clone(),
                size => format!("{path}?size={size}"),
            },
            verb,
            customer: settings.customers[customer].clone(),
            key: (verb == Verb::Post).then(|| choose(random, &settings.keys)),
            body,
            size_bytes: (size > 0).then_some(size),
            check,
        })
    }
}

fn request_body(check: &str, size_bytes: u64) -> Bytes {
    let mut bytes = SeededBytes::new(&format!("request {check}"), size_bytes);
    let mut body = Vec::new();
    while let Some(frame) = bytes.next_frame() {
        body.extend_from_slice(&frame);
    }
    body.into()
}

fn choose<T: Copy>(random: &mut Pcg64Mcg, list: &[Weighted<T>]) -> T {
    list[choose_index(random, list.iter().map(|item| item.weight))].value
}

fn choose_index(random: &mut Pcg64Mcg, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    let mut left = random.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if left < u64::from(weight) {
            return index;
        }
        left -= u64::from(weight);
    }
    0
}
