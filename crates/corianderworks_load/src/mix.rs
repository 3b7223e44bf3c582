//! Generation of a reproducible request mix from a seed.

use std::time::Duration;

use bytes::Bytes;
use corianderworks_standin::body::SeededBytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::settings::{HttpMethod, KeyKind, LoadSettings, RouteMix, Weighted};

/// A generated request that has not been sent yet.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Sequence number in the run, from 0.
    pub number: u64,
    /// Intended send time, from the start of the run.
    pub at: Duration,
    /// Index of the caller that sends the request.
    pub caller: usize,
    /// Service whose addresses the caller asks for.
    pub service: String,
    /// Request path, with the query that asks for the response size.
    pub path: String,
    /// Method, which also determines whether the request is idempotent.
    pub http_method: HttpMethod,
    /// Customer on whose behalf the request is sent.
    pub customer: String,
    /// Check id, unique to the request, which the response must echo.
    pub check: String,
    /// Kind of idempotency key; `None` for idempotent requests.
    pub key: Option<KeyKind>,
    /// Request body, derived from the check id; empty for GET and for routes without
    /// `request_sizes`.
    pub body: Bytes,
    /// Requested size of the response body; `None` for a short JSON body.
    pub size_bytes: Option<u64>,
}

impl PlannedRequest {
    /// Whether the request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.http_method != HttpMethod::Post
    }

    /// Value of the `idempotency-key` header, given the key prefix of an address response; `None`
    /// if the request has no key.
    pub fn key(&self, prefix: &str) -> Option<String> {
        match self.key? {
            KeyKind::Issued => Some(format!("{prefix}{}", self.check)),
            KeyKind::Own => Some(format!("own-{}", self.check)),
            KeyKind::None => None,
        }
    }
}

/// Iterator over the requests of a run, in order of their intended send time.
#[derive(Debug)]
pub struct RequestMix {
    settings: LoadSettings,
    random: Pcg64Mcg,
    run_id: u64,
    next_number: u64,
    phase: usize,
    phase_start: Duration,
    at: Duration,
}

impl RequestMix {
    /// Creates the mix of a run. `run_id` is part of the check ids, so that runs with the same seed
    /// have different ones.
    pub fn new(settings: &LoadSettings, run_id: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings: settings.clone(),
            run_id,
            next_number: 0,
            phase: 0,
            phase_start: Duration::ZERO,
            at: Duration::ZERO,
        }
    }

    /// Returns the next arrival of a Poisson process at the rate of the current phase, or `None`
    /// after the last phase.
    fn next_arrival(&mut self) -> Option<Duration> {
        loop {
            let phase = self.settings.phases.get(self.phase)?;
            let end = self.phase_start + Duration::from_millis(phase.for_ms);
            if phase.rate_per_s > 0.0 {
                let uniform: f64 = self.random.random();
                let interarrival_s = -(1.0 - uniform).ln() / phase.rate_per_s;
                let at = self.at + Duration::from_secs_f64(interarrival_s.min(86_400.0));
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

    fn choose_route(&mut self) -> usize {
        let routes = &self.settings.routes;
        let weights = routes.iter().map(|route| route.weight);
        choose_weighted_index(&mut self.random, weights)
    }
}

impl Iterator for RequestMix {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let at = self.next_arrival()?;
        let number = self.next_number;
        self.next_number += 1;
        let index = self.choose_route();
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
        let http_method = choose_weighted(random, methods);
        let size = choose_weighted(random, sizes);
        let check = format!("r{:x}-{number}", self.run_id);
        let body = if http_method == HttpMethod::Get || request_sizes.is_empty() {
            Bytes::new()
        } else {
            request_body(&check, choose_weighted(random, request_sizes))
        };
        let customer = random.random_range(0..settings.customers.len());
        Some(PlannedRequest {
            number,
            at,
            caller: random.random_range(0..settings.callers),
            service: service.clone(),
            path: match size {
                0 => path.clone(),
                size => format!("{path}?size={size}"),
            },
            http_method,
            customer: settings.customers[customer].clone(),
            key: (http_method == HttpMethod::Post).then(|| choose_weighted(random, &settings.keys)),
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

fn choose_weighted<T: Copy>(random: &mut Pcg64Mcg, list: &[Weighted<T>]) -> T {
    list[choose_weighted_index(random, list.iter().map(|item| item.weight))].value
}

fn choose_weighted_index(
    random: &mut Pcg64Mcg,
    weights: impl Iterator<Item = u32> + Clone,
) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    let mut remaining = random.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if remaining < u64::from(weight) {
            return index;
        }
        remaining -= u64::from(weight);
    }
    0
}
